"""Admission of requests with weighted max-min fairness between client accounts."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Mapping

import trio
import xxhash

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.timers import Timers

MAX_ACCOUNTS = 4096
# Buckets shared by accounts without state of their own; included in MAX_ACCOUNTS.
SHARED_BUCKETS = 512
ACCOUNT_IDLE_S = 60.0
MAX_QUEUED = 256
# Weight of a new duration in the moving average of the request time.
MEAN_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.05
# Share of its spare time that a request may wait. Under sustained overload the queue is as long as
# admission allows; with a share of 1, every request would start just before its deadline.
MAX_WAIT_SHARE = 0.5
# Lower bound of the mean request time: shorter times give no usable estimate of the wait.
MIN_SERVICE_S = 0.001


class Demand:
    """
    Capacity of the pools that a request needs.

    Parameters
    ----------
    occupancy : mapping of str to float
        Average calls in progress at each pool while the request runs; the values sum to 1.
    service_s : float
        Expected time from admission to the answer, in seconds.
    needed_s : float
        Time within which the answer almost always arrives, in seconds.
    """

    __slots__ = ("occupancy", "service_s", "needed_s")

    def __init__(
        self, *, occupancy: Mapping[str, float], service_s: float, needed_s: float
    ) -> None:
        self.occupancy = occupancy
        self.service_s = service_s
        self.needed_s = needed_s


class _Waiter:
    __slots__ = ("demand", "event", "failure", "weight")

    def __init__(self, *, demand: Demand, weight: float) -> None:
        self.demand = demand
        self.event = trio.Event()
        self.failure: Failure | None = None
        self.weight = weight


class _Account:
    __slots__ = ("virtual_finish", "queue", "used_at", "weight")

    def __init__(self) -> None:
        self.virtual_finish = 0.0
        self.queue: list[tuple[int, int, _Waiter]] = []
        self.used_at = 0.0
        self.weight = 1.0


class Admission:
    """
    Decides which requests start, wait or are refused.

    Each admitted request reserves its average occupancy of each pool that it uses, so that a
    request in its first stage does not take capacity needed by requests in later stages. Accounts
    with waiting requests are served by start-time fair queueing on the expected work divided by
    their weight.

    Parameters
    ----------
    timers : Timers
        Clock.
    limit_of : callable
        Returns the calls that this node may have in progress at a pool.
    """

    __slots__ = (
        "_timers",
        "_limit_of",
        "_accounts",
        "_waiting",
        "_waiting_weight",
        "_numbers",
        "_held",
        "_virtual_time",
        "_queued",
        "_running",
        "_mean_service_s",
        "_swept_at",
    )

    def __init__(self, *, timers: Timers, limit_of: Callable[[str], int]) -> None:
        self._timers = timers
        self._limit_of = limit_of
        self._accounts: dict[str, _Account] = {}
        # Accounts with a queue and the sum of their weights, so that a refusal scans no account.
        self._waiting: dict[_Account, None] = {}
        self._waiting_weight = 0.0
        self._numbers = itertools.count()
        self._held: dict[str, float] = {}
        self._virtual_time = 0.0
        self._queued = 0
        self._running = 0
        self._mean_service_s = 0.0
        self._swept_at = timers.now()

    @property
    def running(self) -> int:
        """Number of admitted requests."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return self._queued

    @property
    def account_count(self) -> int:
        """Number of accounts and shared buckets with state."""
        return len(self._accounts)

    async def enter(
        self, client_account: str, *, weight: float, priority: int, deadline: float, demand: Demand
    ) -> Failure | None:
        """
        Wait for the admission of a request; an admitted request must be ended with `leave`.

        Parameters
        ----------
        client_account : str
            The account.
        weight : float
            Its share under overload.
        priority : int
            Order among the requests of the account; 0 is the most urgent.
        deadline : float
            Monotonic time by which the request must be answered, in seconds.
        demand : Demand
            Capacity of the pools that it needs.

        Returns
        -------
        Failure or None
            None if it is admitted; else the refusal, without a wait if the expected wait would use
            up the deadline.
        """
        now = self._timers.now()
        if not self._queued and self._fits(demand):
            self._start(self._account(client_account, weight, now), demand)
            return None
        spare_s = max(0.0, MAX_WAIT_SHARE * (deadline - now - demand.needed_s))
        wait_s = self._expected_wait(client_account, weight)
        if wait_s > spare_s:
            return _refusal(wait_s - spare_s, "the expected wait would use up the deadline")
        if self._queued >= MAX_QUEUED and not self._evict_for(client_account, weight):
            return _refusal(wait_s, "the queue is full")
        account = self._account(client_account, weight, now)
        return await self._wait(account, priority, deadline - demand.needed_s, demand)

    async def _wait(
        self, account: _Account, priority: int, latest: float, demand: Demand
    ) -> Failure | None:
        waiter = _Waiter(demand=demand, weight=account.weight)
        item = (priority, next(self._numbers), waiter)
        heapq.heappush(account.queue, item)
        self._queued += 1
        if account not in self._waiting:
            self._waiting[account] = None
            self._waiting_weight += account.weight
        self._dispatch()
        try:
            with trio.move_on_at(latest) as scope:
                await waiter.event.wait()
        except trio.Cancelled:
            # Tasks cancelled together end one by one: the end of one may have admitted or evicted
            # this one, which was already cancelled.
            if not waiter.event.is_set():
                self._remove(account, item)
            elif waiter.failure is None:
                self.leave(demand, None)
            raise
        if scope.cancelled_caught and not waiter.event.is_set():
            self._remove(account, item)
            return _refusal(self._expected_wait("", account.weight), "no room in time")
        return waiter.failure

    def leave(self, demand: Demand, duration_s: float | None) -> None:
        """
        End an admitted request.

        Parameters
        ----------
        demand : Demand
            As given to `enter`.
        duration_s : float or None
            Time since its admission in seconds; None if it did not run to its end.
        """
        self._running -= 1
        for pool, share in demand.occupancy.items():
            self._held[pool] -= share
            if self._running == 0:
                # Reset rounding errors, which would add up over time.
                self._held[pool] = 0.0
        if duration_s is not None:
            weight = MEAN_WEIGHT if self._mean_service_s else 1.0
            self._mean_service_s += weight * (duration_s - self._mean_service_s)
        self._dispatch()

    def _account(self, client_account: str, weight: float, now: float) -> _Account:
        if now - self._swept_at > ACCOUNT_IDLE_S / 4:
            self._sweep(now)
        account = self._accounts.get(client_account)
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS - SHARED_BUCKETS:
                client_account = shared_bucket(client_account)
            account = self._accounts.setdefault(client_account, _Account())
        account.used_at = now
        if account not in self._waiting:
            # A changed weight takes effect only when the queue of the account is empty.
            account.weight = weight
        return account

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.queue or now - account.used_at < ACCOUNT_IDLE_S
        }

    def _fits(self, demand: Demand) -> bool:
        return all(
            self._held.get(pool, 0.0) + share <= self._limit_of(pool) + 1e-9
            for pool, share in demand.occupancy.items()
        )

    def _start(self, account: _Account, demand: Demand) -> None:
        self._running += 1
        for pool, share in demand.occupancy.items():
            self._held[pool] = self._held.get(pool, 0.0) + share
        start = max(self._virtual_time, account.virtual_finish)
        self._virtual_time = start
        account.virtual_finish = start + demand.service_s / account.weight

    def _dispatch(self) -> None:
        while self._queued:
            best = self._next_account()
            if best is None:
                return
            _, _, waiter = heapq.heappop(best.queue)
            self._count_removal(best)
            self._start(best, waiter.demand)
            waiter.event.set()

    def _next_account(self) -> _Account | None:
        best: _Account | None = None
        for account in self._waiting:
            if best is not None and account.virtual_finish >= best.virtual_finish:
                continue
            if self._fits(account.queue[0][2].demand):
                best = account
        return best

    def _expected_wait(self, client_account: str, weight: float) -> float:
        rate = self._running / max(self._mean_service_s, MIN_SERVICE_S)
        if rate <= 0:
            return 0.0
        known = self._accounts.get(client_account)
        if known is None:
            known = self._accounts.get(shared_bucket(client_account))
        own = len(known.queue) if known is not None else 0
        weights = self._waiting_weight
        if known is None or known not in self._waiting:
            weights += weight
        return (own + 1) * weights / weight / rate

    def _evict_for(self, client_account: str, weight: float) -> bool:
        """Refuse the last request of the longest weighted queue in favour of a shorter one."""
        longest = max(self._waiting, key=lambda item: len(item.queue) / item.weight)
        known = self._accounts.get(client_account)
        own = len(known.queue) if known is not None else 0
        if (own + 1) / weight >= len(longest.queue) / longest.weight:
            return False
        item = max(longest.queue, key=lambda entry: entry[:2])
        self._remove(longest, item)
        waiter = item[2]
        waiter.failure = _refusal(self._expected_wait("", longest.weight), "the queue is full")
        waiter.event.set()
        return True

    def _remove(self, account: _Account, item: tuple[int, int, _Waiter]) -> None:
        account.queue.remove(item)
        heapq.heapify(account.queue)
        self._count_removal(account)

    def _count_removal(self, account: _Account) -> None:
        self._queued -= 1
        if not account.queue:
            self._waiting.pop(account, None)
            self._waiting_weight -= account.weight
            if not self._waiting:
                self._waiting_weight = 0.0


def shared_bucket(client_account: str) -> str:
    """
    Return the name of the shared bucket of an account without state of its own.

    Parameters
    ----------
    client_account : str
        The account.

    Returns
    -------
    str
        Name that no account can have, since account names are not empty and contain no NUL.
    """
    number = xxhash.xxh64_intdigest(client_account.encode()) % SHARED_BUCKETS
    return f"\0{number}"


def _refusal(retry_after_s: float, detail: str) -> Failure:
    return Failure(
        reason=Reason.OVERLOADED,
        run_state=RunState.NOT_RUN,
        step="admission",
        detail=detail,
        retry_after_s=round(max(MIN_RETRY_AFTER_S, retry_after_s), 3),
    )

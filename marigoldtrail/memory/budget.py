"""Budget of bytes that unfinished messages of all peers may take together."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from types import TracebackType

from marigoldtrail.timers import Notifier, Timers

BYTES_PER_MB = 1_000_000
# An idle process takes half of the smallest host; parsing and sending copy a message twice.
BUDGET_SHARE = 0.125
# Requests, responses and frames have apart what they need: a request holds its memory while it
# waits for its response, and a call while it waits for another host. Multiples of the budget.
REQUEST_RATIO = 0.8
FRAME_RATIO = 0.5
# Budget of a host whose settings name no limit.
DEFAULT_BUDGET_BYTES = 64 * BYTES_PER_MB
# A message grows no larger than the memory that is free, so that many without end leave room for
# others. One at a time may grow to this multiple of it: proper ones that need a little more
# complete one by one. A larger multiple would leave less room.
AHEAD_MULTIPLE = 3
# Many messages leave more room for the one that is ahead.
MANY_MESSAGES = 8
MANY_MULTIPLE = 0.5
# Complete messages give their memory back within this time, so that others only wait for it.
PATIENCE_S = 0.25
# A complete message that is being sent is given up only if nothing of it is sent for so long. Sound
# peers and links are silent for up to 2.5 s.
MAX_SEND_PAUSE_S = 3.0
# A message that was given up gives its bytes back within this multiple of the time.
LEAVING_MULTIPLE = 6
# Share at which a message of announced size counts when the largest is given up: it has an end.
ANNOUNCED_WEIGHT = 0.3

_log = logging.getLogger(__name__)


def compute_request_bytes(memory_mb: float) -> int:
    """Return the memory of the requests of callers for a limit in MB; 0 if there is none."""
    return int(compute_budget_bytes(memory_mb) * REQUEST_RATIO)


def compute_frame_bytes(memory_mb: float) -> int:
    """Return the memory of the frames of other hosts for a limit in MB; 0 if there is none."""
    return int(compute_budget_bytes(memory_mb) * FRAME_RATIO)


def compute_budget_bytes(memory_mb: float) -> int:
    """
    Return the budget for a limit on the memory of the process.

    Parameters
    ----------
    memory_mb : float
        The limit in MB; 0 if there is none.

    Returns
    -------
    int
        The budget in bytes.

    Examples
    --------
    >>> compute_budget_bytes(160), compute_budget_bytes(0)
    (20000000, 64000000)
    """
    return int(memory_mb * BYTES_PER_MB * BUDGET_SHARE) or DEFAULT_BUDGET_BYTES


class MemoryAccount:
    """
    Bytes that one unfinished message takes.

    Used as a context manager, which closes it.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it belongs to.
    purpose : str
        Kind of the message, from a small set; label of metrics.
    peer : str
        Who sends it, for the log.
    has_known_size : bool
        Whether the peer has announced the size of the message.
    evict : callable
        Called once if the message has to be given up.

    Attributes
    ----------
    budget : MemoryBudget
        The budget that it belongs to.
    size : int
        Bytes taken.
    is_evicted : bool
        Whether the message has to be given up.
    is_over_budget : bool
        Whether the message is longer than the whole budget.
    is_complete : bool
        Whether all of the message has arrived.
    is_closed : bool
        Whether it takes no more bytes.
    is_waiting : bool
        Whether it waits for bytes that are not free.
    sent_at : float or None
        Monotonic time in seconds at which a part of the complete message was last sent; None if it
        is in use otherwise.
    """

    __slots__ = (
        "purpose",
        "peer",
        "has_known_size",
        "size",
        "is_evicted",
        "is_over_budget",
        "is_complete",
        "is_closed",
        "is_waiting",
        "sent_at",
        "budget",
        "_evict",
    )

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        purpose: str,
        peer: str,
        has_known_size: bool,
        evict: Callable[[], None],
    ) -> None:
        self.purpose = purpose
        self.peer = peer
        self.has_known_size = has_known_size
        self.size = 0
        self.is_evicted = False
        self.is_over_budget = False
        self.is_complete = False
        self.is_closed = False
        self.is_waiting = False
        self.sent_at: float | None = None
        self.budget = budget
        self._evict = evict

    async def take(self, count: int) -> bool:
        """
        Take bytes, and wait for them if there is no room.

        Parameters
        ----------
        count : int
            Number of bytes.

        Returns
        -------
        bool
            False if the message has to be given up, or the account was closed.
        """
        return await self.budget.take(self, count)

    def give_back(self, count: int) -> None:
        """Give back bytes that are no longer held."""
        self.budget.give_back(self, min(count, self.size))

    def complete(self) -> None:
        """Note that all of the message has arrived; it is no longer given up."""
        self.is_complete = True
        self.budget.forget_ahead(self)

    def note_sent(self) -> None:
        """Note that a part of the complete message was sent, or that its send begins."""
        self.complete()
        self.sent_at = self.budget.note_progress()

    def is_in_use(self, now: float) -> bool:
        """Return whether a complete message must not be given up at a monotonic time in seconds."""
        is_stalled = self.sent_at is not None and now > self.sent_at + MAX_SEND_PAUSE_S
        return self.is_complete and not self.is_evicted and not is_stalled

    def call_on_eviction(self, evict: Callable[[], None]) -> None:
        """Call another function than before if the message has to be given up."""
        self._evict = evict

    def evict(self) -> None:
        """Give the message up, because others need the memory."""
        self.is_evicted = True
        self._evict()

    def close(self) -> None:
        """Give back all bytes; the account may be closed again."""
        self.budget.close(self)
        # What would be called refers to the account: only the garbage collector would free both,
        # with the message.
        self._evict = ignore_eviction

    def __enter__(self) -> MemoryAccount:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


class MemoryBudget:
    """
    Bytes that all unfinished messages of one host may take together.

    A message grows no larger than the memory that is free, except for one at a time, which is
    ahead: it is the first that had to wait, and memory that it waits for is kept for it. A message
    that finds no room waits for those that complete. If none does in time, the largest one is given
    up, which is one without end if there is any. A message that has arrived completely and is still
    in use is not given up, unless its send has stopped; if too few others remain to make room, the
    message waits.

    Parameters
    ----------
    total_bytes : int
        The budget.
    timers : Timers
        Clock.
    patience_s : float
        Seconds without room after which a message is given up.

    Attributes
    ----------
    total_bytes : int
        The budget.
    used_bytes : int
        Bytes taken.
    evicted : Counter
        Number of messages that were given up, by purpose.

    Examples
    --------
    >>> import trio
    >>> budget = MemoryBudget(total_bytes=1000, timers=Timers())
    >>> async def receive():
    ...     with budget.open("response", "i-1") as account:
    ...         return await account.take(600), budget.used_bytes
    >>> trio.run(receive), budget.used_bytes
    ((True, 600), 0)
    """

    __slots__ = (
        "total_bytes",
        "used_bytes",
        "evicted",
        "_timers",
        "_patience_s",
        "_accounts",
        "_evicted_at",
        "_progress_at",
        "_ahead",
        "_kept_bytes",
        "_changed",
    )

    def __init__(self, *, total_bytes: int, timers: Timers, patience_s: float = PATIENCE_S) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.evicted: Counter[str] = Counter()
        self._timers = timers
        self._patience_s = patience_s
        self._accounts: set[MemoryAccount] = set()
        # When accounts that still hold bytes were given up.
        self._evicted_at: dict[MemoryAccount, float] = {}
        # When a message last gave its bytes back by itself, or a part of a complete one was sent.
        self._progress_at = float("-inf")
        # The account that may grow beyond the free memory, and what it waits for.
        self._ahead: MemoryAccount | None = None
        self._kept_bytes = 0
        self._changed = Notifier()

    def open(
        self,
        purpose: str,
        peer: str,
        *,
        has_known_size: bool = False,
        evict: Callable[[], None] = lambda: None,
    ) -> MemoryAccount:
        """
        Open the account of a message.

        Parameters
        ----------
        purpose : str
            Kind of the message, from a small set; label of metrics.
        peer : str
            Who sends it, for the log.
        has_known_size : bool
            Whether its size was announced.
        evict : callable
            Called if it has to be given up while it takes no more bytes; it must lead to a close
            of the account.

        Returns
        -------
        MemoryAccount
            The account, without bytes.
        """
        account = MemoryAccount(
            budget=self, purpose=purpose, peer=peer, has_known_size=has_known_size, evict=evict
        )
        self._accounts.add(account)
        return account

    def note_progress(self) -> float:
        """Note that memory is about to come back; return the monotonic time in seconds."""
        self._progress_at = self._timers.now()
        return self._progress_at

    def may_take(self, account: MemoryAccount, count: int) -> bool:
        """Return whether an account may take bytes without waiting."""
        return self._has_share(account, count, self.used_bytes)

    def _has_share(self, account: MemoryAccount, count: int, used_bytes: int) -> bool:
        """Return whether an account may take bytes while a number of bytes is taken."""
        is_ahead = account is self._ahead
        free_bytes = self.total_bytes - used_bytes - (0 if is_ahead else self._kept_bytes)
        if count > free_bytes:
            return False
        multiple = 1.0
        if is_ahead:
            multiple = AHEAD_MULTIPLE
        elif len(self._accounts) >= MANY_MESSAGES:
            multiple = MANY_MULTIPLE
        return account.size + count <= multiple * free_bytes or len(self._accounts) == 1

    async def take(self, account: MemoryAccount, count: int) -> bool:
        """Take bytes for an account; see `MemoryAccount.take`."""
        if account.size + count > self.total_bytes:
            account.is_over_budget = True
            self._evict(account)
            return False
        account.is_waiting = True
        try:
            await self._wait_for_share(account, count)
        finally:
            account.is_waiting = False
            if account is self._ahead:
                self._kept_bytes = 0
        if account.is_evicted or account.is_closed:
            return False
        self.used_bytes += count
        account.size += count
        return True

    async def _wait_for_share(self, account: MemoryAccount, count: int) -> None:
        """Wait until an account may take bytes, is given up or is closed."""
        started = self._timers.now()
        while not (account.is_evicted or account.is_closed or self.may_take(account, count)):
            if self._ahead is None:
                self._ahead = account
            if account is self._ahead:
                self._kept_bytes = count
                if self.may_take(account, count):
                    return
            patient_until = max(started, self._progress_at) + self._patience_s
            left_s = patient_until - self._timers.now()
            if left_s <= 0:
                self._make_room(account, count)
                left_s = self._patience_s
            if not account.is_evicted:
                await self._changed.wait_with_timeout(left_s)

    def _make_room(self, account: MemoryAccount, count: int) -> None:
        """Give up the largest message, unless enough is about to be given back."""
        now = self._timers.now()
        leaving_s = LEAVING_MULTIPLE * self._patience_s
        leaving = sum(item.size for item, at in self._evicted_at.items() if now < at + leaving_s)
        if leaving and self._has_share(account, count, self.used_bytes - leaving):
            return
        kept = [item for item in self._accounts if item.is_in_use(now)]
        if sum(item.size for item in kept) + count > self.total_bytes:
            return
        largest = self._find_largest(now)
        if largest is not None:
            self._evict(largest)
        elif not account.is_complete:
            self._evict(account)

    def _find_largest(self, now: float) -> MemoryAccount | None:
        """Return the largest message that may be given up, first of those that are incomplete."""
        found = [i for i in self._accounts if i.size and not (i.is_evicted or i.is_in_use(now))]
        incomplete = [item for item in found if not item.is_complete]
        # The message that is ahead goes on to its end, or to the bound that shows it has none.
        ahead = None if self._ahead is None or self._ahead.has_known_size else self._ahead
        others = [item for item in incomplete if item is not ahead]
        return max(others or incomplete or found, key=weigh_account, default=None)

    def _evict(self, largest: MemoryAccount) -> None:
        self.evicted[largest.purpose] += 1
        self._evicted_at[largest] = self._timers.now()
        self.forget_ahead(largest)
        _log.warning(
            "a message was given up for want of memory",
            extra={
                "purpose": largest.purpose,
                "peer": largest.peer,
                "bytes": largest.size,
                "used_bytes": self.used_bytes,
                "total_bytes": self.total_bytes,
            },
        )
        # Before its own task gives the bytes back: others have to see that they come.
        self._changed.notify()
        largest.evict()

    def forget_ahead(self, account: MemoryAccount) -> None:
        """Let another message be ahead of the others."""
        if account is self._ahead:
            self._ahead = None
            self._kept_bytes = 0
            self._changed.notify()

    def give_back(self, account: MemoryAccount, count: int) -> None:
        """Give back bytes of an account."""
        account.size -= count
        self.used_bytes -= count
        if count:
            self._changed.notify()

    def close(self, account: MemoryAccount) -> None:
        """Give back all bytes of an account and forget it."""
        if account.size and not account.is_evicted:
            self._progress_at = self._timers.now()
        account.is_closed = True
        self._accounts.discard(account)
        self._evicted_at.pop(account, None)
        self.forget_ahead(account)
        self.give_back(account, account.size)
        self._changed.notify()


def ignore_eviction() -> None:
    """Do nothing: the message of a closed account holds no memory."""


def weigh_account(account: MemoryAccount) -> float:
    """Return by what size an account counts when the largest message is given up."""
    return account.size * (ANNOUNCED_WEIGHT if account.has_known_size else 1.0)

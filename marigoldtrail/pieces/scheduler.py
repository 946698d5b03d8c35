"""
Scheduler for the pieces of one service: queue, batching and choice of workers, without I/O.

Designed for many small stages on few upstreams that run one call at a time: waiting pieces are
batched, the most urgent first, close to where their results are read. A plan sorts the queue once
for all idle upstreams, because the queue is longest in bursts, when sorting costs most.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from marigoldtrail.pieces.fair_shares import (
    are_accounts_contending,
    compute_share,
    compute_work_ahead,
)
from marigoldtrail.pieces.job import Piece, PieceJob
from marigoldtrail.pieces.queue import Queue
from marigoldtrail.pieces.waiting_jobs import ServiceRate, find_hopeless_jobs
from marigoldtrail.pieces.worker import SIZE_MARGIN, Worker
from marigoldtrail.routing import PieceSpec, Upstream

# Maximum wait of a job with large results for an upstream in the data centre of their reader.
LOCAL_WAIT_S = 0.25
# The room estimate from a "no room" answer decays to zero over this time: a call that finds no room
# for some of its pieces costs less than an idle upstream.
ROOM_MEMORY_S = 1.0
# Jobs may be split between calls while more than this many full calls are waiting.
SPLIT_CALLS = 1.5
# A worker whose call failed gets no pieces for this time, doubled with each failure in a row.
EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
# Pause for a full worker: it runs calls of another scheduler, which this one may have replaced.
BUSY_PAUSE_S = 0.25
# An upstream gets no piece that another one would finish within this share of its call time.
FASTER_SHARE = 0.8
# A call overdue by this much gives no estimate of when its worker is free.
OVERDUE_S = 0.1
# Jobs that wait beside an idle upstream are looked at again after this time even if nothing has
# happened: estimates of room and of the times at which calls end change all the time.
REPLAN_S = 0.02
# Waiting jobs are re-evaluated at most this often, which bounds the cost in bursts.
REVIEW_INTERVAL_S = 0.1
# Accounts contend from this backlog on, half of the longest one that is admitted. With less, nobody
# is refused for it, and any other order than by urgency makes more requests late.
CONTENDED_BACKLOG_S = 0.65
MAX_REMEMBERED_PAUSES = 256
# Rank under which the deferred pieces of an account are counted: no request waits for them.
DEFERRED_RANK = float("inf")
MAX_TRIES = 4


class Backlog(NamedTuple):
    """
    Time that the admitted work of a service takes.

    Parameters
    ----------
    ahead_s : float
        Seconds until the work ahead of a request is done.
    total_s : float
        Seconds until all admitted work is done.
    """

    ahead_s: float
    total_s: float


class PieceScheduler:
    """
    Pieces and workers of one service.

    Parameters
    ----------
    spec : PieceSpec
        Capacity of one upstream.

    Attributes
    ----------
    workers : dict
        Upstreams by name.
    jobs : dict
        Jobs with waiting pieces, in order of arrival.
    planned : Counter
        Unfinished pieces of the requests that can be on time, queued or not, by rank.
    deferred : int
        Unfinished pieces of the deferred requests, which run after all others.
    by_account : dict
        Unfinished pieces by account and rank, the deferred ones under `DEFERRED_RANK`.
    is_changed : bool
        Whether something has happened since the last plan that may lead to a call.
    plan_at : float
        Monotonic time in seconds from which a plan may give another result without that.
    """

    __slots__ = (
        "is_changed",
        "plan_at",
        "_review_at",
        "spec",
        "workers",
        "jobs",
        "planned",
        "deferred",
        "by_account",
        "_pauses",
        "_nearby",
        "_finish_times_s",
    )

    def __init__(self, *, spec: PieceSpec) -> None:
        self.spec = spec
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[PieceJob, None] = {}
        self.planned: Counter[int] = Counter()
        self.deferred = 0
        self.by_account: dict[str, Counter[float]] = {}
        self.is_changed = True
        self.plan_at = 0.0
        self._review_at = 0.0
        # Pauses that upstreams asked for which are not listed now: name, and time of the end.
        self._pauses: dict[str, float] = {}
        # The workers by data centre.
        self._nearby: dict[str, list[Worker]] = {}
        # Cache during a plan: seconds until a data centre finishes a call, by number of pieces.
        self._finish_times_s: dict[str, dict[int, float]] = {}

    def set_upstreams(self, upstreams: list[Upstream]) -> None:
        """Replace the list of upstreams; calls in progress at removed ones are not affected."""
        names = {upstream.name for upstream in upstreams}
        for name in [name for name in self.workers if name not in names]:
            self._remember_pause(self.workers.pop(name))
        for upstream in upstreams:
            worker = self.workers.get(upstream.name)
            if worker is None:
                worker = self.workers[upstream.name] = Worker(upstream=upstream)
                worker.no_calls_until = self._pauses.pop(upstream.name, 0.0)
                worker.paused_until = worker.no_calls_until
            else:
                worker.upstream = upstream
        self._nearby.clear()
        for worker in self.workers.values():
            self._nearby.setdefault(worker.upstream.data_centre, []).append(worker)
        self.is_changed = True

    def _remember_pause(self, worker: Worker) -> None:
        """Keep the pause that an upstream asked for, in case it is listed again."""
        if worker.no_calls_until:
            self._pauses[worker.upstream.name] = worker.no_calls_until
        while len(self._pauses) > MAX_REMEMBERED_PAUSES:
            del self._pauses[next(iter(self._pauses))]

    def add(self, job: PieceJob) -> None:
        """Queue all pieces of a job."""
        job.waiting += [Piece(job=job, index=index) for index in range(len(job.handles))]
        self.jobs[job] = None
        self.is_changed = True

    def requeue(self, pieces: list[Piece], now: float) -> None:
        """Queue the pieces of a failed call again, unless they have been sent `MAX_TRIES` times."""
        for piece in pieces:
            job = piece.job
            piece.calls -= 1
            if not job.is_open or job.handles[piece.index]:
                continue
            if piece.calls or piece in job.waiting:
                # Another call may still return its result.
                continue
            if piece.tries >= MAX_TRIES or now >= job.expires_at:
                job.fail("upstreams failed")
            else:
                job.waiting.append(piece)
                self.jobs[job] = None
                self.is_changed = True

    def repeat(self, pieces: list[Piece]) -> list[Piece]:
        """
        Queue the pieces of a slow call again, for another worker.

        Parameters
        ----------
        pieces : list of Piece
            Pieces of the call.

        Returns
        -------
        list of Piece
            Those that were queued; each is repeated once at most.
        """
        repeated = [p for p in pieces if p.job.is_open and not p.is_repeated]
        for piece in repeated:
            piece.is_repeated = True
            piece.job.waiting.append(piece)
            self.jobs[piece.job] = None
            self.is_changed = True
        return repeated

    def waiting_count(self) -> int:
        """Return the number of waiting pieces."""
        return sum(len(job.waiting) for job in self.jobs)

    def duration_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the expected duration of a call with some pieces in seconds."""
        return self._nominal_s(count) * worker.slowness_at(now)

    def _nominal_s(self, count: int) -> float:
        return self.spec.call_overhead_s + count * self.spec.item_s

    def idle_workers(self, now: float) -> list[Worker]:
        """Return the workers that can take a call now, the fastest first."""
        idle = [worker for worker in self.workers.values() if worker.is_idle(now)]
        if len(idle) > 1:
            idle.sort(key=lambda worker: worker.slowness_at(now))
        return idle

    def is_plan_due(self, now: float) -> bool:
        """Tell whether a plan may lead to calls, since it costs the more the longer the queue."""
        return bool(self.jobs) and (self.is_changed or now >= self.plan_at)

    def plan(self, now: float) -> list[tuple[Worker, list[Piece]]]:
        """
        Choose the calls to make now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of (Worker, list of Piece)
            The workers are marked busy and the pieces are removed from the queue.
        """
        self.is_changed = False
        self._drop_finished(now)
        if now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_S
            self._refuse_hopeless(now)
        idle = self.idle_workers(now)
        calls = self._plan_calls(idle, now) if self.jobs and idle else []
        wait_s = self._next_change(now)
        is_any_left = len(calls) < len(idle)
        self.plan_at = now + (min(wait_s, REPLAN_S) if is_any_left else wait_s)
        return calls

    def _plan_calls(self, idle: list[Worker], now: float) -> list[tuple[Worker, list[Piece]]]:
        calls = []
        self._finish_times_s.clear()
        queue = Queue(jobs=list(self.jobs), now=now)
        waiting = self.waiting_count()
        for worker in idle:
            if not self.jobs:
                break
            pieces = self._take_pieces(worker, queue, waiting, now)
            if pieces:
                waiting -= len(pieces)
                worker.is_busy = True
                worker.busy_until = now + self.duration_s(worker, len(pieces), now)
                self._finish_times_s.pop(worker.upstream.data_centre, None)
                calls.append((worker, pieces))
        return calls

    def _drop_finished(self, now: float) -> None:
        ended = [
            job for job in self.jobs if now >= job.expires_at or not job.is_open or not job.waiting
        ]
        for job in ended:
            if now >= job.expires_at:
                job.fail("too late")
            if not job.is_open:
                job.waiting.clear()
            if not job.waiting:
                del self.jobs[job]

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse waiting jobs that can't be done in time, unless all upstreams may just be late."""
        piece_s, batch = self._piece_s(now), self.spec.batch
        if not piece_s:
            return
        first_s = min(
            max(0.0, worker.busy_until - now) if worker.is_busy else 0.0
            for worker in self.workers.values()
            if worker.paused_until <= now and not self._is_overdue(worker, now)
        )
        rate = ServiceRate(first_call_s=first_s, call_interval_s=batch * piece_s, batch=batch)
        for job, wait_s in find_hopeless_jobs(self.jobs, now, rate):
            job.refuse(wait_s)
            job.waiting.clear()
            del self.jobs[job]

    def _take_pieces(self, worker: Worker, queue: Queue, waiting: int, now: float) -> list[Piece]:
        if self._would_finish_sooner_elsewhere(worker, waiting, now):
            return []
        taken = self._fill_call(worker, queue, waiting, now)
        changed = list(dict.fromkeys(piece.job for piece in taken))
        for piece in taken:
            piece.tries += 1
            piece.calls += 1
        for job in changed:
            job.is_started = True
            job.open_calls += 1
            job.calls_begun += 1
            if not job.waiting:
                del self.jobs[job]
        if changed:
            queue.reposition(changed)
        return taken

    def _fill_call(self, worker: Worker, queue: Queue, waiting: int, now: float) -> list[Piece]:
        """
        Choose pieces that fit into one call and into the room for its results.

        A job is taken as a whole if possible, since the results of a part would take room until
        the rest is done.
        """
        room = self.spec.result_capacity_bytes or float("inf")
        used = worker.own_bytes() + self._other_bytes(worker, now)
        may_split = waiting > SPLIT_CALLS * self.spec.batch
        is_queue_long = waiting > self.spec.batch * len(self.workers)
        taken: list[Piece] = []
        for job in queue.jobs_for(worker.upstream.data_centre):
            if job.is_apart and (taken or job.open_calls):
                continue
            if not is_queue_long and not self._may_take(job, worker, now):
                continue
            size = max(1.0, job.result_bytes * SIZE_MARGIN)
            free_places = self.spec.batch - len(taken)
            fitting = max(0, int(min(free_places, (room - used) / size)))
            whole = min(len(job.waiting), free_places)
            if fitting < whole and used and not job.is_started:
                # The results of a part would take the room that the rest of the job needs.
                continue
            if whole < len(job.waiting) and taken and not (may_split or job.is_started):
                continue
            part = job.waiting[:fitting]
            del job.waiting[:fitting]
            taken += part
            used += size * len(part)
            if len(taken) >= self.spec.batch or (part and job.is_apart):
                break
        return taken

    def _other_bytes(self, worker: Worker, now: float) -> float:
        """Return the estimated bytes taken by results of another scheduler."""
        if not worker.other_bytes:
            return 0.0
        gone = (now - worker.other_bytes_at) / ROOM_MEMORY_S
        return worker.other_bytes * max(0.0, 1 - gone)

    @staticmethod
    def _is_overdue(worker: Worker, now: float) -> bool:
        """Tell whether the call of a worker is overdue, so that it may be slow or gone."""
        return worker.is_busy and now > worker.busy_until + OVERDUE_S

    def _finish_in_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the seconds until a worker would finish a call that it gets next."""
        if self._is_overdue(worker, now):
            return float("inf")
        wait_s = max(0.0, worker.busy_until - now) if worker.is_busy else 0.0
        return wait_s + self.duration_s(worker, count, now)

    def _would_finish_sooner_elsewhere(self, worker: Worker, waiting: int, now: float) -> bool:
        limit_s = self.duration_s(worker, 1, now) * FASTER_SHARE
        if limit_s <= self._nominal_s(1):
            # No worker is faster than nominal.
            return False
        others = [w for w in self.workers.values() if w is not worker and w.paused_until <= now]
        # The full calls ahead of the last waiting piece are shared by the other workers.
        calls = (waiting - 1) // self.spec.batch
        queue_s = calls * self._nominal_s(self.spec.batch) / max(1, len(others))
        return any(self._finish_in_s(w, 1, now) + queue_s < limit_s for w in others)

    def _may_take(self, job: PieceJob, worker: Worker, now: float) -> bool:
        """Tell whether a worker may take a job while the queue is short."""
        if not job.is_large or job.data_centre in ("", worker.upstream.data_centre):
            return True
        if now >= job.queued_at + LOCAL_WAIT_S:
            return True
        count = min(len(job.handles), self.spec.batch)
        soonest_s = self._earliest_finish_s(job.data_centre, count, now)
        return soonest_s - self.duration_s(worker, count, now) > LOCAL_WAIT_S

    def _earliest_finish_s(self, data_centre: str, count: int, now: float) -> float:
        """Return the seconds until the first worker of a data centre would finish a call."""
        known = self._finish_times_s.setdefault(data_centre, {})
        if count not in known:
            known[count] = min(
                (
                    self._finish_in_s(worker, count, now)
                    for worker in self._nearby.get(data_centre, ())
                    if worker.paused_until <= now
                ),
                default=float("inf"),
            )
        return known[count]

    def finish(self, worker: Worker, pieces: int, took_s: float | None, now: float) -> None:
        """
        Record the end of a call.

        Parameters
        ----------
        worker : Worker
            The worker that ran it.
        pieces : int
            Number of pieces in the call.
        took_s : float or None
            Its duration in seconds; None if it failed.
        now : float
            Monotonic time in seconds.
        """
        worker.is_busy = False
        self.is_changed = True
        if took_s is None:
            return
        worker.failures = 0
        worker.record_call_time(took_s / self._nominal_s(pieces), now)

    def record_no_room(self, worker: Worker, now: float) -> None:
        """Record that a worker had no room: results of another scheduler take the rest."""
        if self.spec.result_capacity_bytes:
            worker.other_bytes = max(0.0, self.spec.result_capacity_bytes - worker.own_bytes())
            worker.other_bytes_at = now

    def eject(self, worker: Worker, now: float) -> None:
        """Give no pieces to a worker whose call failed, longer after each failure in a row."""
        pause_s = min(MAX_EJECTION_S, EJECTION_S * 2**worker.failures)
        worker.failures += 1
        self.pause(worker, pause_s, now)

    def pause(self, worker: Worker, seconds: float, now: float) -> None:
        """Give no pieces to a worker for some seconds."""
        worker.paused_until = max(worker.no_calls_until, now + seconds)

    def _next_change(self, now: float) -> float:
        """Return the seconds until a pause or a wait ends, or a job expires."""
        soonest = float("inf")
        for worker in self.workers.values():
            at = max(worker.paused_until, worker.next_call_at)
            if now < at < soonest:
                soonest = at
        for job in self.jobs:
            if now < job.expires_at < soonest:
                soonest = job.expires_at
            if job.is_large and now < job.queued_at + LOCAL_WAIT_S < soonest:
                soonest = job.queued_at + LOCAL_WAIT_S
        return max(0.005, soonest - now) if soonest < float("inf") else 1.0

    def count_unfinished(
        self, account: str, priority: int, pieces: int, *, is_deferred: bool
    ) -> None:
        """Add unfinished pieces of a request; a negative number removes them."""
        if is_deferred:
            self.deferred += pieces
        else:
            self.planned[priority] += pieces
        counts = self.by_account.setdefault(account, Counter())
        rank = DEFERRED_RANK if is_deferred else priority
        counts[rank] += pieces
        if not counts[rank]:
            del counts[rank]
        if not counts:
            del self.by_account[account]

    def work_by_account(self, priority: float = DEFERRED_RANK) -> dict[str, int]:
        """Return the unfinished pieces of each account that are not less urgent than a rank."""
        return {
            account: sum(count for rank, count in counts.items() if rank <= priority)
            for account, counts in self.by_account.items()
        }

    def _contending_work(self) -> dict[str, int]:
        """Return all unfinished pieces by account; empty while accounts don't contend."""
        rounds = max(1.0, CONTENDED_BACKLOG_S / self._nominal_s(self.spec.batch))
        free_pieces = round(rounds * self.spec.batch * len(self.workers))
        # Most requests meet no backlog, and the counts of all accounts cost more than this.
        if len(self.by_account) < 2 or self._count_unfinished_pieces() <= free_pieces:
            return {}
        work = self.work_by_account()
        return work if are_accounts_contending(work, free_pieces) else {}

    def _count_unfinished_pieces(self) -> int:
        return sum(self.planned.values()) + self.deferred

    def estimate_excess_s(self, account: str, now: float) -> float:
        """Return the seconds that the work of an account above its share takes."""
        work = self._contending_work()
        excess = work.get(account, 0) - compute_share(work)
        return excess * self._piece_s(now) if excess > 0 else 0.0

    def _piece_s(self, now: float) -> float:
        """Return the seconds per piece in full calls of all present workers; 0 without any."""
        full_call_s = self._nominal_s(self.spec.batch)
        speed = 0.0
        # The conditions of `_is_overdue`, written out since this runs for each stage of a request.
        for worker in self.workers.values():
            if worker.paused_until > now:
                continue
            if not worker.is_busy or now <= worker.busy_until + OVERDUE_S:
                speed += worker.speed(full_call_s, now)
        return full_call_s / self.spec.batch / speed if speed else 0.0

    def estimate_backlog(self, now: float, priority: int, account: str = "") -> Backlog:
        """
        Estimate how long the present workers take for the admitted work in full calls.

        Full calls are assumed because calls fill up as soon as work waits. The time per piece in
        the small calls of normal load would show a service as full at half of its capacity.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        priority : int
            Rank of a request; less urgent and deferred work runs after it.
        account : str
            Its account, which waits for others only up to its own work while they contend.

        Returns
        -------
        Backlog
            Both times are infinite without any worker.
        """
        piece_s = self._piece_s(now)
        if not piece_s:
            unknown_s = EJECTION_S if self.workers else float("inf")
            return Backlog(ahead_s=unknown_s, total_s=unknown_s)
        work = self._contending_work()
        if work:
            ahead = compute_work_ahead(self.work_by_account(priority), account)
            total = compute_work_ahead(work, account)
            return Backlog(ahead_s=ahead * piece_s, total_s=total * piece_s)
        ahead = sum(count for rank, count in self.planned.items() if rank <= priority)
        total = self._count_unfinished_pieces()
        return Backlog(ahead_s=ahead * piece_s, total_s=total * piece_s)

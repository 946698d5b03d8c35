"""
Queue of the pieces of one service and the choice of who works on them, free of any I/O.

Answers the load of many small stages on few upstreams that work on one call at a time: pieces that
wait together are worked on together, the most urgent first, near where their results are read. A
plan sorts what waits once for all idle upstreams, since bursts make it and its cost grow together.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from marigoldtrail.pieces.job import Piece, PieceJob
from marigoldtrail.pieces.worker import SIZE_MARGIN, Worker
from marigoldtrail.routing import PieceSpec, Upstream

# Large results are worth a short wait for an upstream in the reader's data centre.
LOCAL_WAIT_S = 0.25
# An answer that there was no room is believed less and less until this time has passed: a call
# that finds no room for some of its pieces costs little, an idle upstream more.
ROOM_MEMORY_S = 1.0
# Jobs are divided among calls while more calls than these are waiting.
SPLIT_CALLS = 1.5
# A worker whose call failed is left alone, each time in a row for twice as long.
EJECTION_S = 1.0
LONGEST_EJECTION_S = 6.0
# A worker that is full is busy for another scheduler, which this one may have replaced.
BUSY_PAUSE_S = 0.25
# An upstream gets no work that another one would finish in this share of its own time.
FASTER_SHARE = 0.8
# A call that ends this much later than expected says nothing about when its worker is free.
OVERDUE_S = 0.1
MAX_TRIES = 4


class Place(NamedTuple):
    """
    Place of a job in the queue; the least is first.

    Parameters
    ----------
    is_new : bool
        Whether no piece of it was begun.
    is_last : bool
        Whether it comes after all jobs that can be on time.
    start_by : float
        Monotonic time in seconds at which it should begin.
    number : int
        Keeps equal ones in the order in which they came.
    """

    is_new: bool
    is_last: bool
    start_by: float
    number: int


class Queue:
    """
    Jobs with waiting pieces in the order of their urgency, during one plan.

    Parameters
    ----------
    jobs : list of PieceJob
        The jobs.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_now", "_jobs", "_places")

    def __init__(self, *, jobs: list[PieceJob], now: float) -> None:
        self._now = now
        self._jobs = jobs
        self._places = sorted(self._place(number) for number in range(len(jobs)))

    def _place(self, number: int) -> Place:
        return Place(*self._jobs[number].order(self._now), number)

    def jobs_for(self, data_centre: str) -> Iterator[PieceJob]:
        """
        Return the jobs in the order in which an upstream takes them.

        Among jobs that are begun alike, those whose large results are read elsewhere come last.
        """
        begun = [place for place in self._places if not place.is_new]
        for places in (begun, self._places[len(begun) :]):
            on_time = [place for place in places if not place.is_last]
            for group in (on_time, places[len(on_time) :]):
                remote = []
                for place in group:
                    job = self._jobs[place.number]
                    if job.is_large and job.data_centre != data_centre:
                        remote.append(job)
                    else:
                        yield job
                yield from remote

    def note_taken(self, jobs: list[PieceJob]) -> None:
        """Take jobs without waiting pieces out, and put those that are begun first."""
        changed = set(jobs)
        taken = [place for place in self._places if self._jobs[place.number] in changed]
        self._places = [p for p in self._places if self._jobs[p.number] not in changed]
        for place in taken:
            if self._jobs[place.number].waiting:
                insort(self._places, self._place(place.number))


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
        Jobs with pieces that no call was made for, in the order in which they came.
    planned : Counter
        Pieces of the requests that are to be on time, waiting or not yet, by rank.
    deferred : int
        Pieces of the requests that will be late and come after all others.
    """

    __slots__ = ("spec", "workers", "jobs", "planned", "deferred", "_soonest")

    def __init__(self, *, spec: PieceSpec) -> None:
        self.spec = spec
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[PieceJob, None] = {}
        self.planned: Counter[int] = Counter()
        self.deferred = 0
        # During a plan: when a data centre would be done with a call of some pieces.
        self._soonest: dict[str, dict[int, float]] = {}

    def set_upstreams(self, upstreams: list[Upstream]) -> None:
        """Use these upstreams from now on; calls in progress at others are not affected."""
        names = {upstream.name for upstream in upstreams}
        for name in [name for name in self.workers if name not in names]:
            del self.workers[name]
        for upstream in upstreams:
            worker = self.workers.get(upstream.name)
            if worker is None:
                self.workers[upstream.name] = Worker(upstream=upstream)
            else:
                worker.upstream = upstream

    def add(self, job: PieceJob) -> None:
        """Queue all pieces of a job."""
        job.waiting += [Piece(job=job, index=index) for index in range(len(job.handles))]
        self.jobs[job] = None

    def put_back(self, pieces: list[Piece], now: float) -> None:
        """Queue pieces again whose call failed, unless they have been tried too often."""
        for piece in pieces:
            job = piece.job
            piece.calls -= 1
            if not job.is_open or job.handles[piece.index]:
                continue
            if piece.calls or piece in job.waiting:
                # Another call may still bring its result.
                continue
            if piece.tries >= MAX_TRIES or now >= job.expires_at:
                job.fail("upstreams failed")
            else:
                job.waiting.append(piece)
                self.jobs[job] = None

    def repeat(self, pieces: list[Piece]) -> list[Piece]:
        """
        Queue pieces whose call takes long once more, for another worker.

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
        return repeated

    def waiting_count(self) -> int:
        """Return the number of pieces that no call was made for."""
        return sum(len(job.waiting) for job in self.jobs)

    def duration_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the seconds that a call with some pieces will probably take."""
        return self._stated_s(count) * worker.slowness_at(now)

    def _stated_s(self, count: int) -> float:
        return self.spec.call_s + count * self.spec.item_s

    def idle_workers(self, now: float) -> list[Worker]:
        """Return the workers that could make a call now, the fastest first."""
        idle = [w for w in self.workers.values() if not w.is_busy and w.paused_until <= now]
        idle.sort(key=lambda worker: worker.slowness_at(now))
        return idle

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
            The workers are marked busy and the pieces no longer wait.
        """
        if not self.jobs:
            return []
        self._drop_closed(now)
        idle = self.idle_workers(now)
        if not self.jobs or not idle:
            return []
        calls = []
        self._soonest.clear()
        queue = Queue(jobs=list(self.jobs), now=now)
        for worker in idle:
            if not self.jobs:
                break
            pieces = self._take_for(worker, queue, now)
            if pieces:
                worker.is_busy = True
                worker.busy_until = now + self.duration_s(worker, len(pieces), now)
                self._soonest.pop(worker.upstream.data_centre, None)
                calls.append((worker, pieces))
        return calls

    def _drop_closed(self, now: float) -> None:
        for job in list(self.jobs):
            if now >= job.expires_at:
                job.fail("too late")
            if not job.is_open:
                job.waiting.clear()
            if not job.waiting:
                del self.jobs[job]

    def _take_for(self, worker: Worker, queue: Queue, now: float) -> list[Piece]:
        waiting = self.waiting_count()
        if self._would_finish_sooner_elsewhere(worker, waiting, now):
            return []
        taken = self._fill(worker, queue, waiting, now)
        changed = list(dict.fromkeys(piece.job for piece in taken))
        for piece in taken:
            piece.tries += 1
            piece.calls += 1
        for job in changed:
            job.is_begun = True
            if not job.waiting:
                del self.jobs[job]
        if changed:
            queue.note_taken(changed)
        return taken

    def _fill(self, worker: Worker, queue: Queue, waiting: int, now: float) -> list[Piece]:
        """
        Choose pieces that fit one call and the room for its results.

        A job is taken whole where possible: the results of its first pieces would take room while
        they wait for the rest.
        """
        room = self.spec.room_bytes or float("inf")
        used = worker.own_bytes() + self._other_bytes(worker, now)
        may_split = waiting > SPLIT_CALLS * self.spec.batch
        is_behind = waiting > self.spec.batch * len(self.workers)
        taken: list[Piece] = []
        for job in queue.jobs_for(worker.upstream.data_centre):
            if not is_behind and not self._suits(job, worker, now):
                continue
            size = max(1.0, job.result_bytes * SIZE_MARGIN)
            places = self.spec.batch - len(taken)
            fitting = max(0, int(min(places, (room - used) / size)))
            whole = min(len(job.waiting), places)
            if fitting < whole and used and not job.is_begun:
                # A part of the job would only hold the room that the rest waits for.
                continue
            if whole < len(job.waiting) and taken and not (may_split or job.is_begun):
                continue
            part = job.waiting[:fitting]
            del job.waiting[:fitting]
            taken += part
            used += size * len(part)
            if len(taken) >= self.spec.batch:
                break
        return taken

    def _other_bytes(self, worker: Worker, now: float) -> float:
        """Return the room that results of another scheduler probably take."""
        if not worker.other_bytes:
            return 0.0
        gone = (now - worker.other_since) / ROOM_MEMORY_S
        return worker.other_bytes * max(0.0, 1 - gone)

    @staticmethod
    def _is_overdue(worker: Worker, now: float) -> bool:
        """Tell whether a call takes so long that its worker may be slow or gone."""
        return worker.is_busy and now > worker.busy_until + OVERDUE_S

    def _done_in_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the seconds in which a worker would be done with pieces given to it next."""
        if self._is_overdue(worker, now):
            return float("inf")
        wait_s = max(0.0, worker.busy_until - now) if worker.is_busy else 0.0
        return wait_s + self.duration_s(worker, count, now)

    def _would_finish_sooner_elsewhere(self, worker: Worker, waiting: int, now: float) -> bool:
        limit_s = self.duration_s(worker, 1, now) * FASTER_SHARE
        if limit_s <= self._stated_s(1):
            # No worker is faster than stated.
            return False
        others = [w for w in self.workers.values() if w is not worker and w.paused_until <= now]
        # All that waits is more than one call for the others; what is left over comes later.
        calls = (waiting - 1) // self.spec.batch
        queue_s = calls * self._stated_s(self.spec.batch) / max(1, len(others))
        return any(self._done_in_s(w, 1, now) + queue_s < limit_s for w in others)

    def _suits(self, job: PieceJob, worker: Worker, now: float) -> bool:
        """Tell whether a worker may take a job while not all workers are needed."""
        if not job.is_large or job.data_centre in ("", worker.upstream.data_centre):
            return True
        if now >= job.queued_at + LOCAL_WAIT_S:
            return True
        count = min(len(job.handles), self.spec.batch)
        soonest_s = self._soonest_s(job.data_centre, count, now)
        return soonest_s - self.duration_s(worker, count, now) > LOCAL_WAIT_S

    def _soonest_s(self, data_centre: str, count: int, now: float) -> float:
        """Return the seconds in which some worker of a data centre would be done with a call."""
        known = self._soonest.setdefault(data_centre, {})
        if count not in known:
            known[count] = min(
                (
                    self._done_in_s(worker, count, now)
                    for worker in self.workers.values()
                    if worker.upstream.data_centre == data_centre and worker.paused_until <= now
                ),
                default=float("inf"),
            )
        return known[count]

    def finish(self, worker: Worker, pieces: int, took_s: float | None, now: float) -> None:
        """
        Note the end of a call.

        Parameters
        ----------
        worker : Worker
            Who made it.
        pieces : int
            Pieces in the call.
        took_s : float or None
            Its duration in seconds; None if it failed.
        now : float
            Monotonic time in seconds.
        """
        worker.is_busy = False
        if took_s is None:
            return
        worker.failures = 0
        worker.note_speed(took_s / self._stated_s(pieces), now)

    def note_no_room(self, worker: Worker, now: float) -> None:
        """Note that a worker had no room for a result: another scheduler has taken the rest."""
        if self.spec.room_bytes:
            worker.other_bytes = max(0.0, self.spec.room_bytes - worker.own_bytes())
            worker.other_since = now

    def eject(self, worker: Worker, now: float) -> None:
        """Give a worker whose call failed no pieces for a while."""
        pause_s = min(LONGEST_EJECTION_S, EJECTION_S * 2**worker.failures)
        worker.failures += 1
        self.pause(worker, pause_s, now)

    def pause(self, worker: Worker, seconds: float, now: float) -> None:
        """Give a worker no pieces for some seconds."""
        worker.paused_until = max(worker.closed_until, now + seconds)

    def next_change(self, now: float) -> float:
        """Return the seconds after which `plan` may find something without any other event."""
        times = [w.paused_until for w in self.workers.values() if w.paused_until > now]
        times += [job.queued_at + LOCAL_WAIT_S for job in self.jobs if job.is_large]
        times += [job.expires_at for job in self.jobs]
        future = [time for time in times if time > now]
        return max(0.005, min(future) - now) if future else 1.0

    def backlog_s(self, now: float, priority: int) -> float:
        """
        Return the seconds in which the work that goes before a request will be done.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        priority : int
            Rank of the request; what is less urgent, and what is deferred, comes after it.

        Returns
        -------
        float
            Infinite without any worker.
        """
        planned = sum(count for rank, count in self.planned.items() if rank <= priority)
        return self._work_s(planned, now)

    def total_backlog_s(self, now: float) -> float:
        """Return the seconds in which all work that was taken on will be done."""
        return self._work_s(sum(self.planned.values()) + self.deferred, now)

    def _work_s(self, pieces: int, now: float) -> float:
        """
        Return the seconds for some pieces, in full calls at the speed of the present workers.

        Calls fill up as soon as work waits; the time of a piece in the small calls of an ordinary
        minute would say that a service is full while it could do twice as much.
        """
        workers = [
            worker
            for worker in self.workers.values()
            if worker.paused_until <= now and not self._is_overdue(worker, now)
        ]
        if not workers:
            return float("inf") if not self.workers else EJECTION_S
        speed = sum(1 / worker.slowness_at(now) for worker in workers)
        return pieces * (self.spec.call_s / self.spec.batch + self.spec.item_s) / speed

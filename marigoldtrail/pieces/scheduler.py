"""
Queue of the pieces of one service and the choice of who works on them, free of any I/O.

Answers the load of many small stages on few upstreams that work on one call at a time: pieces that
wait together are worked on together, the most urgent first, near where their results are read.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Sequence

import msgspec
import trio

from marigoldtrail.pieces.graph import LARGE_RESULT_BYTES
from marigoldtrail.routing import PieceSpec, Upstream

# Large results are worth a short wait for an upstream in the reader's data centre.
LOCAL_WAIT_S = 0.25
# Results take a little more room than their stated size.
SIZE_MARGIN = 1.06
# An answer that there was no room is believed less and less until this time has passed: a call
# that finds no room for some of its pieces costs little, an idle upstream more.
ROOM_MEMORY_S = 1.0
# Jobs are divided among calls while more calls than these are waiting.
SPLIT_CALLS = 1.5
RATE_WEIGHT = 0.1
# A worker whose call failed is left alone, each time in a row for twice as long.
EJECTION_S = 1.0
LONGEST_EJECTION_S = 6.0
# A worker that is full is busy for another scheduler, which this one may have replaced.
BUSY_PAUSE_S = 0.25
# How much a request yields to others once it will be late.
LATE_YIELD_S = 3.0
SPEED_WEIGHT = 0.3
SPEED_HALF_LIFE_S = 3.0
# A change of the speed by this factor is not chance: the next calls will take as long.
SPEED_JUMP = 2.0
MAX_TRIES = 4
# Handles by which a late copy of an answer is known.
RECENT_HANDLES = 512


class PieceJob:
    """
    One stage of one request.

    Parameters
    ----------
    request_id : str
        The request.
    stage : int
        Number of the stage.
    key : str
        Key of the input; empty for a stage that reads results.
    inputs : list of str
        Handles of the results that it reads.
    count : int
        Number of pieces.
    expires_at, start_by : float
        Monotonic times in seconds: when the results are of no more use, and when the work must
        begin so that the request is not late.
    may_wait : bool
        Whether the job may be put off once the request will be late anyway. Results that it would
        read and that take much room speak against it.
    yield_s : float
        Seconds by which the request yields to more urgent ones.
    data_centre : str
        Where the results are read, or where those that it reads lie; empty if that does not matter.
    result_bytes : int
        Size of a result.
    moved_bytes : int
        Bytes that cross data centres if the job is not worked on in `data_centre`.
    """

    __slots__ = (
        "request_id",
        "stage",
        "key",
        "inputs",
        "expires_at",
        "start_by",
        "may_wait",
        "yield_s",
        "data_centre",
        "result_bytes",
        "moved_bytes",
        "handles",
        "is_begun",
        "missing",
        "failure",
        "done",
        "queued_at",
    )

    def __init__(
        self,
        *,
        request_id: str,
        stage: int,
        key: str,
        inputs: list[str],
        count: int,
        expires_at: float,
        start_by: float,
        may_wait: bool,
        yield_s: float,
        data_centre: str,
        result_bytes: int,
        moved_bytes: int,
        queued_at: float,
    ) -> None:
        self.request_id = request_id
        self.stage = stage
        self.key = key
        self.inputs = inputs
        self.expires_at = expires_at
        self.start_by = start_by
        self.may_wait = may_wait
        self.yield_s = yield_s
        self.data_centre = data_centre
        self.result_bytes = result_bytes
        self.moved_bytes = moved_bytes
        self.queued_at = queued_at
        self.handles: list[str] = [""] * count
        self.is_begun = False
        self.missing = count
        self.failure = ""
        self.done = trio.Event()

    def order(self, now: float) -> tuple[bool, bool, float]:
        """
        Return the place in the queue; the least is first.

        The results of a job that was divided take room until the rest is done, so that it comes
        first. Requests that will be late anyway and hold no results yet come last: served in the
        order of their times alone, all of them would be a little late in a burst. Those that hold
        results yield for a while only, since results are not kept for long.
        """
        is_late = self.may_wait and now > self.start_by
        yield_s = self.yield_s + (LATE_YIELD_S if is_late else 0.0)
        return not self.is_begun, is_late and not self.inputs, self.start_by + yield_s

    @property
    def is_open(self) -> bool:
        """Whether results are still wanted."""
        return not self.done.is_set()

    def finish_piece(self, index: int, handle: str) -> None:
        """Take a result."""
        if not self.handles[index]:
            self.handles[index] = handle
            self.missing -= 1
        if self.missing == 0:
            self.done.set()

    def fail(self, reason: str) -> None:
        """Give the job up."""
        if self.is_open:
            self.failure = reason
            self.done.set()


class Piece(msgspec.Struct, kw_only=True, eq=False):
    """
    One piece of a job.

    Parameters
    ----------
    job : PieceJob
        The job.
    index : int
        Number of the piece.
    tries : int
        How often it was sent.
    """

    job: PieceJob
    index: int
    tries: int = 0

    @property
    def identity(self) -> tuple[str, int, int]:
        """Request, stage and number of the piece."""
        return self.job.request_id, self.job.stage, self.index


class PieceResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    What became of one piece of a call.

    Parameters
    ----------
    handle : str
        Names the result; empty if there is none.
    reason : str
        Why there is none: ``"late"``, ``"gone"``, ``"room"`` or ``"error"``.
    """

    handle: str = ""
    reason: str = ""


class Worker:
    """
    An upstream that works on pieces.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    """

    __slots__ = (
        "upstream",
        "busy_until",
        "is_busy",
        "paused_until",
        "closed_until",
        "_recent",
        "slowness",
        "timed_at",
        "room",
        "other_bytes",
        "other_since",
        "failures",
    )

    def __init__(self, *, upstream: Upstream) -> None:
        self.upstream = upstream
        self.is_busy = False
        self.busy_until = 0.0
        self.paused_until = 0.0
        # Until when it wants no calls of any kind from this host.
        self.closed_until = 0.0
        # For each recent handle the request, stage and piece that it was given for.
        self._recent: OrderedDict[str, tuple[str, int, int]] = OrderedDict()
        self.slowness = 1.0
        self.timed_at = 0.0
        self.failures = 0
        # Size of each result that it keeps, by handle.
        self.room: dict[str, int] = {}
        # Room that the results of another scheduler took, and when that was seen.
        self.other_bytes = 0.0
        self.other_since = 0.0

    def close(self, seconds: float, now: float) -> None:
        """Make no calls for some seconds, as the upstream has asked."""
        self.closed_until = max(self.closed_until, now + seconds)
        self.paused_until = max(self.paused_until, self.closed_until)

    def note_handle(self, handle: str, piece: Piece) -> None:
        """Remember for which piece a handle was given."""
        self._recent[handle] = piece.identity
        while len(self._recent) > RECENT_HANDLES:
            self._recent.popitem(last=False)

    def is_copy(self, pieces: Sequence[Piece], results: Sequence[PieceResult]) -> bool:
        """
        Tell whether an answer is a late copy of the answer to an earlier call.

        Such a copy has handles that were given for other pieces.
        """
        return any(
            self._recent.get(result.handle, piece.identity) != piece.identity
            for piece, result in zip(pieces, results, strict=True)
            if result.handle
        )

    def own_bytes(self) -> float:
        """Return the room that the results of this scheduler take."""
        return sum(self.room.values()) * SIZE_MARGIN

    def slowness_at(self, now: float) -> float:
        """Return how many times longer than stated its calls take; fades while it makes none."""
        fade = 0.5 ** ((now - self.timed_at) / SPEED_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * fade

    def note_speed(self, ratio: float, now: float) -> None:
        """Take in how many times longer than stated a call took."""
        ratio = max(1.0, ratio)
        known = self.slowness_at(now)
        is_jump = not known / SPEED_JUMP < ratio < known * SPEED_JUMP
        self.slowness = ratio if is_jump else known + SPEED_WEIGHT * (ratio - known)
        self.timed_at = now


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
    waiting : list of Piece
        Pieces that no call was made for.
    planned : Counter
        Pieces of all requests that were taken on and are not done, waiting or not yet, by rank.
    """

    __slots__ = ("spec", "workers", "waiting", "planned", "_piece_s")

    def __init__(self, *, spec: PieceSpec) -> None:
        self.spec = spec
        self.workers: dict[str, Worker] = {}
        self.waiting: list[Piece] = []
        self.planned: Counter[int] = Counter()
        # Seconds of a worker for each piece, over calls that were made while others waited.
        self._piece_s = spec.call_s / spec.batch + spec.item_s

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
        self.waiting += [Piece(job=job, index=index) for index in range(len(job.handles))]

    def put_back(self, pieces: list[Piece], now: float) -> None:
        """Queue pieces again whose call failed, unless they have been tried too often."""
        for piece in pieces:
            if not piece.job.is_open:
                continue
            if piece.tries >= MAX_TRIES or now >= piece.job.expires_at:
                piece.job.fail("upstreams failed")
            else:
                self.waiting.append(piece)

    def duration_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the seconds that a call with some pieces will probably take."""
        return self._stated_s(count) * worker.slowness_at(now)

    def _stated_s(self, count: int) -> float:
        return self.spec.call_s + count * self.spec.item_s

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
        self._drop_closed(now)
        calls = []
        idle = [w for w in self.workers.values() if not w.is_busy and w.paused_until <= now]
        idle.sort(key=lambda worker: self.duration_s(worker, 1, now))
        for worker in idle:
            if not self.waiting:
                break
            pieces = self._take_for(worker, now)
            if pieces:
                worker.is_busy = True
                worker.busy_until = now + self.duration_s(worker, len(pieces), now)
                calls.append((worker, pieces))
        return calls

    def _drop_closed(self, now: float) -> None:
        for piece in self.waiting:
            if now >= piece.job.expires_at:
                piece.job.fail("too late")
        self.waiting = [piece for piece in self.waiting if piece.job.is_open]

    def _take_for(self, worker: Worker, now: float) -> list[Piece]:
        if self._would_finish_sooner_elsewhere(worker, now):
            return []
        near = worker.upstream.data_centre

        def place(pieces: list[Piece]) -> tuple[bool, bool, bool, float]:
            job = pieces[0].job
            is_new, is_last, time = job.order(now)
            return is_new, is_last, job.data_centre != near and is_large(job), time

        groups = group_by_job(self.waiting)
        wanted = sorted((g for g in groups if self._suits(g[0].job, worker, now)), key=place)
        taken = self._fill(worker, wanted, now)
        chosen = set(taken)
        self.waiting = [piece for piece in self.waiting if piece not in chosen]
        for piece in taken:
            piece.tries += 1
            piece.job.is_begun = True
        return taken

    def _fill(self, worker: Worker, wanted: list[list[Piece]], now: float) -> list[Piece]:
        """
        Choose pieces that fit one call and the room for its results.

        A job is taken whole where possible: the results of its first pieces would take room while
        they wait for the rest.
        """
        room = self.spec.room_bytes or float("inf")
        used = worker.own_bytes() + self._other_bytes(worker, now)
        may_split = sum(map(len, wanted)) > SPLIT_CALLS * self.spec.batch
        taken: list[Piece] = []
        for pieces in wanted:
            job = pieces[0].job
            size = max(1.0, job.result_bytes * SIZE_MARGIN)
            places = self.spec.batch - len(taken)
            fitting = max(0, int(min(places, (room - used) / size)))
            whole = min(len(pieces), places)
            if fitting < whole and used and not job.is_begun:
                # A part of the job would only hold the room that the rest waits for.
                continue
            if whole < len(pieces) and taken and not (may_split or job.is_begun):
                continue
            part = pieces[:fitting]
            taken += part
            used += size * len(part)
            if len(taken) >= self.spec.batch:
                break
        return taken

    def _other_bytes(self, worker: Worker, now: float) -> float:
        """Return the room that results of another scheduler probably take."""
        gone = (now - worker.other_since) / ROOM_MEMORY_S
        return worker.other_bytes * max(0.0, 1 - gone)

    def _done_in_s(self, worker: Worker, count: int, now: float) -> float:
        """Return the seconds in which a worker would be done with pieces given to it next."""
        wait_s = max(0.0, worker.busy_until - now) if worker.is_busy else 0.0
        return wait_s + self.duration_s(worker, count, now)

    def _would_finish_sooner_elsewhere(self, worker: Worker, now: float) -> bool:
        others = [w for w in self.workers.values() if w is not worker and w.paused_until <= now]
        # All that waits is more than one call for the others; what is left over comes later.
        calls = (len(self.waiting) - 1) // self.spec.batch
        queue_s = calls * self._stated_s(self.spec.batch) / max(1, len(others))
        own_s = self.duration_s(worker, 1, now)
        return any(self._done_in_s(w, 1, now) + queue_s < own_s * 0.8 for w in others)

    def _is_behind(self) -> bool:
        """Tell whether more waits than one call of each worker; then no worker may be idle."""
        return len(self.waiting) > self.spec.batch * len(self.workers)

    def _suits(self, job: PieceJob, worker: Worker, now: float) -> bool:
        if job.data_centre in ("", worker.upstream.data_centre) or not is_large(job):
            return True
        if now >= job.queued_at + LOCAL_WAIT_S or self._is_behind():
            return True
        count = min(len(job.handles), self.spec.batch)
        own_s = self.duration_s(worker, count, now)
        waits = [
            self._done_in_s(other, count, now) - own_s
            for other in self.workers.values()
            if other.upstream.data_centre == job.data_centre and other.paused_until <= now
        ]
        return not waits or min(waits) > LOCAL_WAIT_S

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
        if self.waiting:
            self._piece_s += RATE_WEIGHT * (took_s / pieces - self._piece_s)
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
        times += [piece.job.queued_at + LOCAL_WAIT_S for piece in self.waiting]
        times += [piece.job.expires_at for piece in self.waiting]
        future = [time for time in times if time > now]
        return max(0.005, min(future) - now) if future else 1.0

    def backlog_s(self, now: float, priority: int) -> float:
        """Return the seconds in which all that is planned up to some rank will be done."""
        workers = [w for w in self.workers.values() if w.paused_until <= now]
        if not workers:
            return float("inf") if not self.workers else EJECTION_S
        planned = sum(count for rank, count in self.planned.items() if rank <= priority)
        return planned * self._piece_s / len(workers)


def group_by_job(pieces: list[Piece]) -> list[list[Piece]]:
    """Return the pieces of each job together, jobs in the order of their first pieces."""
    groups: dict[int, list[Piece]] = {}
    for piece in pieces:
        groups.setdefault(id(piece.job), []).append(piece)
    return list(groups.values())


def is_large(job: PieceJob) -> bool:
    """Tell whether a job should be worked on in its data centre, even after a short wait."""
    return job.moved_bytes >= LARGE_RESULT_BYTES

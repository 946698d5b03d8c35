"""Makes the calls that the schedulers plan, and frees results at the upstreams."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.job import Piece, PieceResult
from marigoldtrail.pieces.results import ResultStore
from marigoldtrail.pieces.scheduler import BUSY_PAUSE_S, PieceScheduler
from marigoldtrail.pieces.worker import Worker
from marigoldtrail.registry import FleetPicture
from marigoldtrail.routing import Upstream
from marigoldtrail.telemetry.exposition import Exposition
from marigoldtrail.timers import Signal, Timers, run_guarded

# Other workers are asked for the pieces of a call that takes this many times longer than expected.
# An upstream does not end a call that it works on when the connection closes, so that its late
# answer is waited for: it tells how slow the upstream is.
REPEAT_FACTOR = 1.75
REPEAT_SLACK_S = 0.05
# A call that takes this many times longer than expected is given up.
CALL_PATIENCE = 6.0
CALL_SLACK_S = 0.3
UPSTREAMS_INTERVAL_S = 0.2
NO_ROOM = "room"
# The time of the piece was up, or one of its inputs is gone: repeating it is of no use.
FINAL_REASONS = ("late", "gone")
# Results are freed, several at a time, once more of the room than the first share is taken, or than
# the second one while work waits; above the third share they are freed at once.
FREE_SHARE = 0.5
FREE_NEEDED_SHARE = 0.25
FREE_AT_ONCE_SHARE = 0.75
FREE_INTERVAL_S = 0.08

_log = logging.getLogger(__name__)


class PieceCall(msgspec.Struct, kw_only=True, frozen=True):
    """
    How upstreams are asked to work on pieces and to free results.

    Parameters
    ----------
    run : callable
        Sends pieces with the seconds that are left of each; returns a result for each.
    free : callable
        Frees results at an upstream.
    """

    run: Callable[[Upstream, list[Piece], list[float]], Awaitable[list[PieceResult] | Failure]]
    free: Callable[[Upstream, list[str]], Awaitable[Failure | None]]


class CallInProgress:
    """
    A call that an upstream works on.

    Parameters
    ----------
    scheduler : PieceScheduler
        Scheduler of its service.
    pieces : list of Piece
        What it was asked for.
    repeat_at : float
        Monotonic time in seconds at which others are asked for the same.
    """

    __slots__ = ("scheduler", "pieces", "repeat_at")

    def __init__(self, *, scheduler: PieceScheduler, pieces: list[Piece], repeat_at: float) -> None:
        self.scheduler = scheduler
        self.pieces = pieces
        self.repeat_at = repeat_at


class PieceRunner:
    """
    Schedulers of all piece services, and the calls that they plan.

    Parameters
    ----------
    picture : FleetPicture
        Services and upstreams.
    call : PieceCall
        Calls the upstreams.
    timers : Timers
        Clock.
    metrics : Exposition
        Counts pieces.
    """

    __slots__ = (
        "_picture",
        "_call",
        "_timers",
        "_metrics",
        "_schedulers",
        "_results",
        "_later",
        "_in_progress",
        "_listed_at",
        "_nursery",
        "_wake",
    )

    def __init__(
        self, *, picture: FleetPicture, call: PieceCall, timers: Timers, metrics: Exposition
    ) -> None:
        self._picture = picture
        self._call = call
        self._timers = timers
        self._metrics = metrics
        self._schedulers: dict[str, PieceScheduler] = {}
        self._results = ResultStore()
        # Monotonic times in seconds at which results will not be read any more, with their handles.
        self._later: list[tuple[float, list[str]]] = []
        # Calls by their workers, for the time at which others are asked for their pieces.
        self._in_progress: dict[Worker, CallInProgress] = {}
        self._listed_at = float("-inf")
        self._nursery: trio.Nursery | None = None
        self._wake = Signal()

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                try:
                    self._dispatch()
                except Exception:
                    # Without the scheduler the host still serves the configuration.
                    _log.exception("calls were not planned")
                await self._wake.wait_for(self._next_change())

    def wake(self) -> None:
        """Plan calls now, since pieces were queued."""
        self._wake.notify()

    def _next_change(self) -> float:
        """Return the seconds after which there may be something to do without any event."""
        now = self._timers.now()
        waits = [s.next_change(now) for s in self._schedulers.values() if s.jobs]
        waits += [max(0.0, self._later[0][0] - now)] if self._later else []
        waits += [max(0.0, call.repeat_at - now) for call in self._in_progress.values()]
        return min([UPSTREAMS_INTERVAL_S, *waits])

    def _dispatch(self) -> None:
        nursery = self._nursery
        assert nursery is not None
        now = self._timers.now()
        self._results.expire(now)
        self._list_upstreams(now)
        self._release_due(now)
        self._repeat_late(now)
        for scheduler in self._schedulers.values():
            for worker, pieces in scheduler.plan(now):
                nursery.start_soon(self._work, scheduler, worker, pieces)
            if scheduler.jobs and scheduler.spec.room_bytes:
                # What waits may wait for their room.
                for worker in scheduler.idle_workers(now):
                    self._free_if_short(worker)

    def _list_upstreams(self, now: float) -> None:
        """Take over the list of upstreams if it has changed, and from time to time."""
        is_known = self._listed_at >= self._picture.upstreams_changed_at
        if is_known and now < self._listed_at + UPSTREAMS_INTERVAL_S:
            return
        self._listed_at = now
        for name, scheduler in self._schedulers.items():
            scheduler.set_upstreams(self._picture.usable_upstreams(name))

    def scheduler(self, service: str) -> PieceScheduler | None:
        """Return the scheduler of a service; None if it does not work on pieces."""
        found = self._picture.find_service(service)
        spec = found.pieces if found is not None else None
        if spec is None:
            return None
        self._list_upstreams(self._timers.now())
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = PieceScheduler(spec=spec)
            scheduler.set_upstreams(self._picture.usable_upstreams(service))
        scheduler.spec = spec
        return scheduler

    def bytes_by_data_centre(self, handles: set[str]) -> dict[str, int]:
        """Return the size of results in each data centre."""
        return self._results.bytes_by_data_centre(handles)

    def free(self, handles: set[str]) -> None:
        """Let the upstreams that keep some results use their room for others."""
        for worker in self._results.release(handles):
            self._free_if_short(worker)

    def free_later(self, handles: set[str], wait_s: float, least_bytes: int) -> None:
        """Free results of at least some size after some seconds, the same for all calls."""
        large = [handle for handle in handles if self._results.size_of(handle) >= least_bytes]
        if large:
            self._later.append((self._timers.now() + wait_s, large))
            self._wake.notify()

    def _release_due(self, now: float) -> None:
        """Free the results whose time for that has come."""
        due = [handles for at, handles in self._later if at <= now]
        self._later = self._later[len(due) :]
        for handles in due:
            self.free(set(handles))

    def _free_if_short(self, worker: Worker) -> None:
        """Free results that nobody reads if not much room is left for others."""
        scheduler = self._schedulers.get(worker.upstream.service)
        if scheduler is None or not scheduler.spec.room_bytes or not worker.unread:
            return
        share = worker.own_bytes() / scheduler.spec.room_bytes
        # What waits may wait for this room, also while the upstream works on another call.
        if share > (FREE_NEEDED_SHARE if scheduler.jobs else FREE_SHARE):
            now = self._timers.now()
            if share > FREE_AT_ONCE_SHARE or now >= worker.freed_at + FREE_INTERVAL_S:
                worker.freed_at = now
                self._free_unread(worker)

    def _free_unread(self, worker: Worker) -> None:
        if worker.is_freeing or self._nursery is None:
            return
        worker.is_freeing = True
        handles = self._results.take_unread(worker)
        self._nursery.start_soon(run_guarded, self._free_at, worker, handles)

    async def _free_at(self, worker: Worker, handles: list[str]) -> None:
        try:
            # A worker that wants no calls is not asked to free anything either.
            await self._timers.sleep(max(0.0, worker.closed_until - self._timers.now()))
            failure = await self._call.free(worker.upstream, handles)
        finally:
            worker.is_freeing = False
        if failure is not None:
            worker.close(failure.retry_after_s, self._timers.now())
            # The results stay until their time is up.
            _log.warning("results were not freed: %s", failure)
            return
        # Only now is there room again at the upstream.
        self._results.drop(handles)
        self._wake.notify()

    async def _work(self, scheduler: PieceScheduler, worker: Worker, pieces: list[Piece]) -> None:
        """Make a call; an unexpected error must neither end the process nor lose the worker."""
        try:
            await self._make_call(scheduler, worker, pieces)
        except Exception as exc:
            _log.exception("a call was not taken in")
            failure = Failure(
                reason=Reason.INTERNAL,
                run_state=RunState.MAY_HAVE_RUN,
                step="pieces",
                peer=worker.upstream.name,
                detail=str(exc),
            )
            self._note_failure(scheduler, worker, pieces, failure, self._timers.now())
        self._wake.notify()

    async def _make_call(
        self, scheduler: PieceScheduler, worker: Worker, pieces: list[Piece]
    ) -> None:
        started = self._timers.now()
        room_mb = worker.own_bytes() / 1e6
        expected_s = scheduler.duration_s(worker, len(pieces), started)
        lefts = [max(0.0, piece.job.expires_at - started) for piece in pieces]
        results: list[PieceResult] | Failure = Failure(
            reason=Reason.TIMEOUT,
            run_state=RunState.MAY_HAVE_RUN,
            step="pieces",
            peer=worker.upstream.name,
            detail="no answer in time",
        )
        limit_s = expected_s * CALL_PATIENCE + CALL_SLACK_S
        self._in_progress[worker] = CallInProgress(
            scheduler=scheduler,
            pieces=pieces,
            repeat_at=started + expected_s * REPEAT_FACTOR + REPEAT_SLACK_S,
        )
        try:
            with trio.move_on_after(limit_s):
                results = await self._call.run(worker.upstream, pieces, lefts)
        except Exception:
            # A fault in one call must not end the schedulers.
            _log.exception("a call failed")
        finally:
            del self._in_progress[worker]
        now = self._timers.now()
        if not isinstance(results, Failure) and worker.is_copy(pieces, results):
            results = Failure(
                reason=Reason.BAD_ANSWER,
                run_state=RunState.MAY_HAVE_RUN,
                step="pieces",
                peer=worker.upstream.name,
                detail="results of an earlier call",
            )
        if isinstance(results, Failure):
            self._note_failure(scheduler, worker, pieces, results, now)
        else:
            # A longer time says that this process stood still, not that the upstream is slow.
            took_s = now - started if now - started <= limit_s else None
            scheduler.finish(worker, len(pieces), took_s, now)
            _log.info(
                "pieces done",
                extra={
                    "subject": worker.upstream.name,
                    "service": worker.upstream.service,
                    "count": len(pieces),
                    "stages": sorted({piece.job.stage for piece in pieces}),
                    "took_ms": round((now - started) * 1000),
                    "expected_ms": round(expected_s * 1000),
                    "waiting": scheduler.waiting_count(),
                    "room_mb": round(worker.own_bytes() / 1e6, 2),
                    "failed": dict(Counter(r.reason for r in results if r.reason)),
                    "room_before_mb": round(room_mb, 2),
                    "remote": sum(
                        p.job.data_centre not in ("", worker.upstream.data_centre) for p in pieces
                    ),
                    "requests": dict(Counter(piece.job.request_id for piece in pieces)),
                },
            )
            self._take_results(scheduler, worker, pieces, results)

    def _repeat_late(self, now: float) -> None:
        """Ask other workers for the pieces of calls that take much longer than expected."""
        for worker, call in self._in_progress.items():
            if call.repeat_at > now:
                continue
            call.repeat_at = float("inf")
            repeated = call.scheduler.repeat(call.pieces)
            if repeated:
                _log.info(
                    "pieces are repeated",
                    extra={
                        "subject": worker.upstream.name,
                        "count": len(repeated),
                        "requests": sorted({piece.job.request_id for piece in repeated}),
                    },
                )

    def _note_failure(
        self,
        scheduler: PieceScheduler,
        worker: Worker,
        pieces: list[Piece],
        failure: Failure,
        now: float,
    ) -> None:
        scheduler.finish(worker, len(pieces), None, now)
        self._metrics.count_pieces(failure.reason.value, len(pieces))
        if failure.reason is Reason.OVERLOADED:
            scheduler.pause(worker, BUSY_PAUSE_S, now)
            worker.close(failure.retry_after_s, now)
        else:
            scheduler.eject(worker, now)
        _log.warning(
            "pieces failed: %s",
            failure,
            extra={"subject": worker.upstream.name, "requests": [p.job.request_id for p in pieces]},
        )
        scheduler.put_back(pieces, now)

    def _take_results(
        self,
        scheduler: PieceScheduler,
        worker: Worker,
        pieces: list[Piece],
        results: list[PieceResult],
    ) -> None:
        now = self._timers.now()
        for outcome, count in Counter(result.reason or "done" for result in results).items():
            self._metrics.count_pieces(outcome, count)
        unwanted = set()
        again = []
        for piece, result in zip(pieces, results, strict=True):
            job = piece.job
            if result.handle:
                worker.note_handle(result.handle, piece)
                until = now + scheduler.spec.keep_s
                self._results.add(worker, result.handle, job.result_bytes, until=until)
                if not job.finish_piece(piece, result.handle):
                    unwanted.add(result.handle)
            elif result.reason in FINAL_REASONS:
                if piece.calls == 1 and not job.handles[piece.index]:
                    job.fail(result.reason)
                # Otherwise another worker was asked as well.
                again.append(piece)
            else:
                again.append(piece)
                if result.reason == NO_ROOM:
                    # The piece was not begun.
                    piece.tries -= 1
                    scheduler.note_no_room(worker, now)
                else:
                    scheduler.pause(worker, BUSY_PAUSE_S, now)
        scheduler.put_back(again, now)
        self.free(unwanted)
        self._free_if_short(worker)

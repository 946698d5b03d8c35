"""Makes the calls planned by the schedulers and frees results at the upstreams."""

from __future__ import annotations

import logging
from collections import Counter

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.call import PieceCall
from marigoldtrail.pieces.crashes import PieceCrashes
from marigoldtrail.pieces.job import Piece, PieceResult
from marigoldtrail.pieces.results import ResultStore
from marigoldtrail.pieces.scheduler import BUSY_PAUSE_S, PieceScheduler
from marigoldtrail.pieces.worker import Worker
from marigoldtrail.registry import FleetState
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Notifier, Timers, run_guarded

# A call that takes this many times longer than expected has its pieces repeated by other workers.
# Closing the connection does not stop the work at the upstream, so the late answer is awaited: it
# shows how slow the upstream is.
REPEAT_FACTOR = 1.75
REPEAT_MARGIN_S = 0.05
# A call that takes this many times longer than expected times out.
CALL_TIMEOUT_FACTOR = 6.0
CALL_TIMEOUT_MARGIN_S = 0.3
UPSTREAMS_INTERVAL_S = 0.2
NO_ROOM = "room"
# The deadline of the piece has passed, or one of its inputs is lost: a retry would fail too.
FINAL_REASONS = ("late", "gone")
# Unneeded results are freed in batches, at most one batch per interval, when more than the first
# share of the room is taken (the second share while pieces wait); above the third share, at once.
FREE_IDLE_SHARE = 0.5
FREE_NEEDED_SHARE = 0.25
FREE_AT_ONCE_SHARE = 0.75
# Share of the limit of an upstream that one scheduler uses: two of them may make calls while one
# takes over from the other.
LIMIT_SHARE = 0.75
FREE_INTERVAL_S = 0.08

_log = logging.getLogger(__name__)


class CallInProgress:
    """
    A call in progress at an upstream.

    Parameters
    ----------
    scheduler : PieceScheduler
        Scheduler of its service.
    pieces : list of Piece
        The pieces sent.
    repeat_at : float
        Monotonic time in seconds at which the pieces are queued for other workers.
    """

    __slots__ = ("scheduler", "pieces", "repeat_at")

    def __init__(self, *, scheduler: PieceScheduler, pieces: list[Piece], repeat_at: float) -> None:
        self.scheduler = scheduler
        self.pieces = pieces
        self.repeat_at = repeat_at


class PieceRunner:
    """
    Schedulers of all piece services and the calls planned by them.

    Parameters
    ----------
    fleet_state : FleetState
        Services and upstreams.
    call : PieceCall
        Calls the upstreams.
    timers : Timers
        Clock.
    metrics : PrometheusMetrics
        Counts pieces.

    Attributes
    ----------
    crashes : PieceCrashes
        Crashes of upstreams under its calls.
    """

    __slots__ = (
        "crashes",
        "_fleet_state",
        "_call",
        "_timers",
        "_metrics",
        "_schedulers",
        "_results",
        "_scheduled_frees",
        "_in_progress",
        "_refreshed_at",
        "_nursery",
        "_wake",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        call: PieceCall,
        timers: Timers,
        metrics: PrometheusMetrics,
    ) -> None:
        self.crashes = PieceCrashes(prompts=fleet_state.prompts)
        self._fleet_state = fleet_state
        self._call = call
        self._timers = timers
        self._metrics = metrics
        self._schedulers: dict[str, PieceScheduler] = {}
        self._results = ResultStore()
        # Monotonic times in seconds at which results are to be freed, with their handles.
        self._scheduled_frees: list[tuple[float, list[str]]] = []
        # Calls in progress by worker, checked for pieces to repeat.
        self._in_progress: dict[Worker, CallInProgress] = {}
        self._refreshed_at = float("-inf")
        self._nursery: trio.Nursery | None = None
        self._wake = Notifier()

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                try:
                    self._dispatch()
                except Exception:
                    # An error here must not stop the host, which also serves the configuration.
                    _log.exception("piece schedulers failed to plan calls")
                await self._wake.wait_with_timeout(self._next_change())
                # One plan, and fuller calls, for all that the same event brings: the requests whose
                # stages have ended in a call queue their next ones first.
                await trio.lowlevel.checkpoint()

    def wake(self) -> None:
        """Plan calls now, after pieces were queued."""
        self._wake.notify()

    def _next_change(self) -> float:
        """Return the seconds until the next planning round if no event comes earlier."""
        now = self._timers.now()
        soonest = now + UPSTREAMS_INTERVAL_S
        for scheduler in self._schedulers.values():
            if scheduler.jobs and scheduler.plan_at < soonest:
                soonest = scheduler.plan_at
        if self._scheduled_frees and self._scheduled_frees[0][0] < soonest:
            soonest = self._scheduled_frees[0][0]
        for call in self._in_progress.values():
            if call.repeat_at < soonest:
                soonest = call.repeat_at
        return max(0.0, soonest - now)

    def _dispatch(self) -> None:
        nursery = self._nursery
        assert nursery is not None
        now = self._timers.now()
        kept = len(self._results)
        self._results.expire(now)
        if len(self._results) < kept:
            self._note_room()
        self._refresh_upstreams(now)
        self._free_due(now)
        self._repeat_slow_calls(now)
        for scheduler in self._schedulers.values():
            if not scheduler.is_plan_due(now):
                continue
            for worker, pieces in scheduler.plan(now):
                nursery.start_soon(self._run_call, scheduler, worker, pieces)
            if scheduler.jobs and scheduler.spec.result_capacity_bytes:
                # Waiting jobs may need the room of unneeded results.
                for worker in scheduler.workers.values():
                    if worker.unneeded and worker.is_idle(now):
                        self._free_if_short(worker)

    def _note_room(self) -> None:
        """Plan again: upstreams have room for more results."""
        for scheduler in self._schedulers.values():
            scheduler.is_changed = True

    def _refresh_upstreams(self, now: float) -> None:
        """Update the upstreams if the list has changed or `UPSTREAMS_INTERVAL_S` has passed."""
        is_known = self._refreshed_at >= self._fleet_state.upstreams_changed_at
        if is_known and now < self._refreshed_at + UPSTREAMS_INTERVAL_S:
            return
        self._refreshed_at = now
        for name, scheduler in self._schedulers.items():
            scheduler.set_upstreams(self._fleet_state.usable_upstreams(name))

    def scheduler(self, service: str) -> PieceScheduler | None:
        """Return the scheduler of a service; None if the service does not run pieces."""
        found = self._fleet_state.find_service(service)
        spec = found.pieces if found is not None else None
        if spec is None:
            return None
        self._refresh_upstreams(self._timers.now())
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = PieceScheduler(spec=spec)
            scheduler.set_upstreams(self._fleet_state.usable_upstreams(service))
        scheduler.spec = spec
        return scheduler

    def bytes_by_data_centre(self, handles: set[str]) -> dict[str, int]:
        """Return the total size of results by data centre."""
        return self._results.bytes_by_data_centre(handles)

    def has_results(self, handles: list[str]) -> bool:
        """Return whether no result has expired or was freed."""
        return self._results.has_all(handles)

    def free(self, handles: set[str]) -> None:
        """Mark results as unneeded and free them where room is short."""
        for worker in self._results.mark_unneeded(handles):
            self._free_if_short(worker)

    def schedule_free(self, handles: set[str], wait_s: float, least_bytes: int) -> None:
        """Free results of at least a given size after a delay, which is the same for all calls."""
        large = [handle for handle in handles if self._results.size_of(handle) >= least_bytes]
        if large:
            self._scheduled_frees.append((self._timers.now() + wait_s, large))
            self._wake.notify()

    def _free_due(self, now: float) -> None:
        """Free the results whose delay has passed."""
        due = [handles for at, handles in self._scheduled_frees if at <= now]
        self._scheduled_frees = self._scheduled_frees[len(due) :]
        for handles in due:
            self.free(set(handles))

    def _free_if_short(self, worker: Worker) -> None:
        """Free the unneeded results of an upstream if its room is short."""
        scheduler = self._schedulers.get(worker.upstream.service)
        if scheduler is None or not scheduler.spec.result_capacity_bytes or not worker.unneeded:
            return
        share = worker.own_bytes() / scheduler.spec.result_capacity_bytes
        # Waiting jobs may need this room, also while the upstream runs another call.
        if share > (FREE_NEEDED_SHARE if scheduler.jobs else FREE_IDLE_SHARE):
            now = self._timers.now()
            if share > FREE_AT_ONCE_SHARE or now >= worker.freed_at + FREE_INTERVAL_S:
                worker.freed_at = now
                self._free_unneeded(worker)

    def _free_unneeded(self, worker: Worker) -> None:
        if worker.is_freeing or self._nursery is None:
            return
        worker.is_freeing = True
        handles = self._results.take_unneeded(worker)
        self._nursery.start_soon(run_guarded, self._free_at, worker, handles)

    async def _free_at(self, worker: Worker, handles: list[str]) -> None:
        try:
            # The time without calls requested by a worker covers calls that free results too.
            wait_until = max(worker.no_calls_until, worker.next_call_at)
            await self._timers.sleep(max(0.0, wait_until - self._timers.now()))
            self._count_call(worker)
            failure = await self._call.free(worker.upstream, handles)
        finally:
            worker.is_freeing = False
        if failure is not None:
            worker.back_off(failure.retry_after_s, self._timers.now())
            # The results count until they expire, or until they are freed by another call.
            self._results.mark_unneeded(handles)
            worker.freed_at = self._timers.now()
            _log.warning("unneeded results were not freed at the upstream: %s", failure)
            return
        # The room is available only after the upstream has confirmed.
        self._results.drop(handles)
        self._note_room()
        self._wake.notify()

    def _count_call(self, worker: Worker) -> None:
        """Count a call against the limit that the upstream has set, if any."""
        limit = self._fleet_state.limits.get_limit(worker.upstream.name)
        worker.calls_per_s = float("inf") if limit is None else LIMIT_SHARE * limit
        worker.record_call(self._timers.now())

    async def _run_call(
        self, scheduler: PieceScheduler, worker: Worker, pieces: list[Piece]
    ) -> None:
        """Make a call; an unexpected error must not end the process or block the worker."""
        try:
            await self._make_call(scheduler, worker, pieces)
        except Exception as exc:
            _log.exception("failed to process the answer of upstream %s", worker.upstream.name)
            failure = Failure(
                reason=Reason.INTERNAL,
                run_state=RunState.MAY_HAVE_RUN,
                step="pieces",
                peer=worker.upstream.name,
                detail=str(exc),
            )
            self._handle_failure(scheduler, worker, pieces, failure, self._timers.now())
        finally:
            for job in {piece.job for piece in pieces}:
                job.open_calls -= 1
        self._wake.notify()

    async def _make_call(
        self, scheduler: PieceScheduler, worker: Worker, pieces: list[Piece]
    ) -> None:
        self._count_call(worker)
        started = self._timers.now()
        room_mb = worker.own_bytes() / 1e6
        expected_s = scheduler.duration_s(worker, len(pieces), started)
        remaining_s = [max(0.0, piece.job.expires_at - started) for piece in pieces]
        results: list[PieceResult] | Failure = Failure(
            reason=Reason.TIMEOUT,
            run_state=RunState.MAY_HAVE_RUN,
            step="pieces",
            peer=worker.upstream.name,
            detail="no answer in time",
        )
        limit_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
        self._in_progress[worker] = CallInProgress(
            scheduler=scheduler,
            pieces=pieces,
            repeat_at=started + expected_s * REPEAT_FACTOR + REPEAT_MARGIN_S,
        )
        try:
            with trio.move_on_after(limit_s):
                results = await self._call.run(worker.upstream, pieces, remaining_s)
        except Exception:
            # An error in one call must not end the schedulers.
            _log.exception("unexpected error in a call to upstream %s", worker.upstream.name)
        finally:
            del self._in_progress[worker]
        now = self._timers.now()
        if not isinstance(results, Failure) and worker.is_duplicate_answer(pieces, results):
            results = Failure(
                reason=Reason.BAD_ANSWER,
                run_state=RunState.MAY_HAVE_RUN,
                step="pieces",
                peer=worker.upstream.name,
                detail="results of an earlier call",
            )
        if isinstance(results, Failure):
            self._handle_failure(scheduler, worker, pieces, results, now)
        else:
            # A longer time means that this process was paused, not that the upstream is slow.
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
            self._process_results(scheduler, worker, pieces, results)

    def _repeat_slow_calls(self, now: float) -> None:
        """Queue the pieces of calls that take much longer than expected for other workers."""
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

    def _handle_failure(
        self,
        scheduler: PieceScheduler,
        worker: Worker,
        pieces: list[Piece],
        failure: Failure,
        now: float,
    ) -> None:
        scheduler.finish(worker, len(pieces), None, now)
        if failure.run_state is RunState.MAY_HAVE_RUN:
            # Its results may take room, and nobody knows their handles to free them.
            end = now + scheduler.duration_s(worker, len(pieces), now)
            self._results.add_unanswered(
                worker,
                sum(piece.job.result_bytes for piece in pieces),
                until=end + scheduler.spec.result_retention_s,
            )
        self._metrics.count_pieces(failure.reason.value, len(pieces))
        if failure.reason is Reason.OVERLOADED:
            scheduler.pause(worker, BUSY_PAUSE_S, now)
            worker.back_off(failure.retry_after_s, now)
        else:
            scheduler.eject(worker, now)
        if failure.reason is Reason.DISCONNECTED and failure.run_state is RunState.MAY_HAVE_RUN:
            jobs = dict.fromkeys(piece.job for piece in pieces)
            self.crashes.record_crash(worker.upstream.name, jobs)
        _log.warning(
            "pieces failed: %s",
            failure,
            extra={"subject": worker.upstream.name, "requests": [p.job.request_id for p in pieces]},
        )
        scheduler.requeue(pieces, now)

    def _process_results(
        self,
        scheduler: PieceScheduler,
        worker: Worker,
        pieces: list[Piece],
        results: list[PieceResult],
    ) -> None:
        now = self._timers.now()
        for outcome, count in Counter(result.reason or "done" for result in results).items():
            self._metrics.count_pieces(outcome, count)
        unneeded = set()
        retried = []
        until = now + scheduler.spec.result_retention_s
        for piece, result in zip(pieces, results, strict=True):
            job = piece.job
            if result.handle:
                worker.record_handle(result.handle, piece)
                self._results.add(worker, result.handle, job.result_bytes, until=until)
                if not job.finish_piece(piece, result.handle):
                    unneeded.add(result.handle)
                elif not job.missing:
                    self.crashes.record_done(job)
            elif result.reason in FINAL_REASONS:
                if piece.calls == 1 and not job.handles[piece.index]:
                    job.fail(result.reason)
                # Otherwise another call may still return its result.
                retried.append(piece)
            else:
                retried.append(piece)
                if result.reason == NO_ROOM:
                    # The piece was not started, so this does not count as an attempt.
                    piece.tries -= 1
                    scheduler.record_no_room(worker, now)
                else:
                    scheduler.pause(worker, BUSY_PAUSE_S, now)
        scheduler.requeue(retried, now)
        self.free(unneeded)
        self._free_if_short(worker)

"""Runs the schedulers of piece services on a control host."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import trio

from marigoldtrail.consensus.parts import Signal
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Handlers
from marigoldtrail.pieces.engines import EngineBoard, Placement
from marigoldtrail.pieces.graph import LARGE_RESULT_BYTES, StageGraph
from marigoldtrail.pieces.scheduler import (
    BUSY_PAUSE_S,
    EJECTION_S,
    Piece,
    PieceJob,
    PieceScheduler,
    Worker,
)
from marigoldtrail.policy.placement import choose_engine
from marigoldtrail.registry import FleetPicture
from marigoldtrail.routing import PieceSpec, Upstream
from marigoldtrail.schema.generated.pieces import (
    NoteProgress,
    ProgressNoted,
    Pulse,
    PulseReply,
    RunStages,
    StageRequest,
    StagesReply,
)
from marigoldtrail.timers import Timers

# A call that takes this many times longer than expected is given up.
CALL_PATIENCE = 3.0
CALL_SLACK_S = 0.3
UPSTREAMS_INTERVAL_S = 0.2
# A kept prompt of this length decides where a request will run.
LONG_PROMPT_TOKENS = 2000
# How long a dropped request is remembered, in case its pieces come back later.
MAX_JOBS_KEPT = 4096

_log = logging.getLogger(__name__)


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


class PieceService:
    """
    Schedulers of all piece services for which this host is asked.

    Parameters
    ----------
    host : str
        Name of this host.
    picture : FleetPicture
        Services and upstreams.
    call : PieceCall
        Calls the upstreams.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties between engines.
    """

    __slots__ = (
        "_rng",
        "_engines",
        "_host",
        "_picture",
        "_call",
        "_timers",
        "_schedulers",
        "_jobs",
        "_nursery",
        "_wake",
    )

    def __init__(
        self,
        *,
        host: str,
        picture: FleetPicture,
        call: PieceCall,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._rng = rng
        self._engines: dict[str, EngineBoard] = {}
        self._picture = picture
        self._call = call
        self._timers = timers
        self._schedulers: dict[str, PieceScheduler] = {}
        self._jobs: dict[str, list[PieceJob]] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = Signal()

    def handlers(self) -> Handlers:
        """
        Return the handlers of this service.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        return {RunStages: self._run_stages, NoteProgress: self._note_progress, Pulse: self._pulse}

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._dispatch()
                now = self._timers.now()
                waits = [s.next_change(now) for s in self._schedulers.values() if s.waiting]
                await self._wake.wait_for(min([UPSTREAMS_INTERVAL_S, *waits]))

    def _dispatch(self) -> None:
        nursery = self._nursery
        assert nursery is not None
        now = self._timers.now()
        for name, scheduler in self._schedulers.items():
            scheduler.set_upstreams(self._picture.usable_upstreams(name))
            for worker, pieces in scheduler.plan(now):
                nursery.start_soon(self._work, scheduler, worker, pieces)

    def _scheduler(self, service: str) -> PieceScheduler | None:
        routes = self._picture.routes
        spec: PieceSpec | None = None
        if routes is not None and service in routes.services:
            spec = routes.services[service].pieces
        if spec is None:
            return None
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = PieceScheduler(spec=spec)
            scheduler.set_upstreams(self._picture.usable_upstreams(service))
        scheduler.spec = spec
        return scheduler

    async def _run_stages(self, request: RunStages, sender: str) -> StagesReply | Failure:
        graph = StageGraph(stages=request.stages)
        expires_at = self._timers.now() + request.left_ms / 1000
        due_at = self._timers.now() + request.slack_ms / 1000
        data_centre = self._expected_data_centre(request)
        results: dict[int, PieceJob] = {}
        finished = Signal()

        async def run_stage(job: PieceJob, number: int) -> None:
            await job.done.wait()
            results[number] = job
            finished.notify()

        jobs: list[PieceJob] = []
        try:
            async with trio.open_nursery() as nursery:
                while not graph.is_done():
                    for number in graph.take_startable():
                        job = self._queue(request, graph, number, expires_at, due_at, data_centre)
                        if isinstance(job, Failure):
                            nursery.cancel_scope.cancel()
                            return job
                        jobs.append(job)
                        nursery.start_soon(run_stage, job, number)
                    await finished.wait()
                    for number, job in list(results.items()):
                        del results[number]
                        if job.failure:
                            nursery.cancel_scope.cancel()
                            return self._job_failure(job)
                        self._free(set(graph.finish(number, job.handles)))
        finally:
            # Without an effect on jobs that are done; the entry may have left.
            for job in jobs:
                job.fail("the request has ended")
        handles = graph.final_handles()
        upstream = self._place(request, handles, jobs, expires_at)
        return StagesReply(handles=handles, upstream=upstream or "")

    def _engine_board(self, service: str) -> EngineBoard | None:
        routes = self._picture.routes
        spec = None
        if routes is not None and service in routes.services:
            spec = routes.services[service].engine
        if spec is None:
            return None
        board = self._engines.get(service)
        if board is None:
            board = self._engines[service] = EngineBoard(spec=spec)
        board.spec = spec
        return board

    def _engine_candidates(self, request: RunStages) -> list[Upstream]:
        now = self._timers.now()
        upstreams = self._picture.usable_upstreams(request.engine_service)
        untried = [u for u in upstreams if u.name not in request.excluded]
        # Entries share the limit of a cold engine; the scheduler leaves it to them.
        warm = [u for u in untried if u.cold_until <= now]
        return warm or untried

    def _expected_data_centre(self, request: RunStages) -> str:
        """Return where the results will be read if an engine has kept the prompt; else nothing."""
        board = self._engine_board(request.engine_service)
        if board is None:
            return request.data_centre
        upstreams = self._engine_candidates(request)
        cached = {u.data_centre: board.cached_tokens(u.name, request.prompt) for u in upstreams}
        best = max(cached, key=lambda name: cached[name], default="")
        return best if cached.get(best, 0) >= LONG_PROMPT_TOKENS else ""

    def _place(
        self, request: RunStages, handles: list[str], jobs: list[PieceJob], expires_at: float
    ) -> str | None:
        board = self._engine_board(request.engine_service)
        if board is None:
            return None
        options = board.options(
            self._engine_candidates(request),
            request.prompt,
            loads=self._picture.loads,
            bytes_in=self._bytes_by_data_centre(set(handles)),
            now=self._timers.now(),
        )
        name = choose_engine(options, prompt_tokens=request.prompt_tokens, rng=self._rng)
        if name is not None:
            cached = next(o.cached_tokens for o in options if o.name == name)
            placement = Placement(
                upstream=name,
                unread=max(0, request.prompt_tokens - cached),
                tokens=request.prompt_tokens + request.output_tokens,
                expires_at=expires_at,
            )
            board.place(request.request_id, name, request.prompt, placement)
        return name

    def _bytes_by_data_centre(self, handles: set[str]) -> dict[str, int]:
        found: dict[str, int] = {}
        for scheduler in self._schedulers.values():
            for worker in scheduler.workers.values():
                size = sum(worker.room[handle] for handle in handles if handle in worker.room)
                if size:
                    data_centre = worker.upstream.data_centre
                    found[data_centre] = found.get(data_centre, 0) + size
        return found

    def _queue(
        self,
        request: RunStages,
        graph: StageGraph,
        number: int,
        expires_at: float,
        due_at: float,
        data_centre: str,
    ) -> PieceJob | Failure:
        stage = graph.stages[number]
        scheduler = self._scheduler(stage.service)
        if scheduler is None:
            return self._failure(Reason.NOT_FOUND, f"no piece service {stage.service!r}")
        now = self._timers.now()
        if now + scheduler.backlog_s(now) > expires_at:
            return self._failure(Reason.OVERLOADED, "the pieces can't be done in time")
        inputs = graph.inputs_of(number)
        job = PieceJob(
            request_id=request.request_id,
            stage=number,
            key="" if inputs else request.key,
            inputs=inputs,
            count=stage.count,
            expires_at=expires_at,
            start_by=due_at - self._path_s(request.stages, number),
            may_wait=sum(
                request.stages[other].result_bytes * request.stages[other].count
                for other in stage.after
            )
            < LARGE_RESULT_BYTES,
            priority=request.priority,
            data_centre=data_centre,
            result_bytes=stage.result_bytes,
            queued_at=now,
        )
        self._jobs.setdefault(request.request_id, []).append(job)
        while len(self._jobs) > MAX_JOBS_KEPT:
            del self._jobs[next(iter(self._jobs))]
        scheduler.add(job)
        self._wake.notify()
        return job

    def _path_s(self, stages: list[StageRequest], number: int) -> float:
        """Return the seconds that a stage and all that follow it take at least."""
        stage = stages[number]
        own_s = 0.0
        scheduler = self._scheduler(stage.service)
        if stage.count and scheduler is not None:
            spec = scheduler.spec
            own_s = spec.call_s + min(stage.count, spec.batch) * spec.item_s
        # A stage follows only earlier ones or the graph would never end; see `_run_stages`.
        later = [self._path_s(stages, n) for n, s in enumerate(stages) if number in s.after]
        return own_s + max(later, default=0.0)

    def _job_failure(self, job: PieceJob) -> Failure:
        reason = Reason.UPSTREAM_ERROR
        if job.failure == "gone":
            reason = Reason.NOT_FOUND
        elif job.failure in ("late", "too late"):
            reason = Reason.DEADLINE
        return self._failure(reason, f"stage {job.stage}: {job.failure}")

    async def _note_progress(self, request: NoteProgress, sender: str) -> ProgressNoted:
        for engines in self._engines.values():
            if request.has_ended:
                engines.end(request.request_id)
            else:
                engines.begin(request.request_id)
        if request.has_ended or request.frees_results:
            handles: set[str] = set()
            for job in self._jobs.pop(request.request_id, []):
                job.fail("dropped")
                handles.update(handle for handle in job.handles if handle)
            self._free(handles)
        return ProgressNoted()

    async def _pulse(self, request: Pulse, sender: str) -> PulseReply:
        return PulseReply()

    def _free(self, handles: set[str]) -> None:
        nursery = self._nursery
        if not handles or nursery is None:
            return
        for scheduler in self._schedulers.values():
            for worker in scheduler.workers.values():
                kept = [handle for handle in handles if handle in worker.room]
                if kept:
                    nursery.start_soon(self._free_at, worker, kept)

    async def _free_at(self, worker: Worker, handles: list[str]) -> None:
        failure = await self._call.free(worker.upstream, handles)
        if failure is not None:
            # The results stay until their time is up.
            _log.warning("results were not freed: %s", failure)
            return
        # Only now is there room again at the upstream.
        for handle in handles:
            worker.room.pop(handle, None)
        self._wake.notify()

    async def _work(self, scheduler: PieceScheduler, worker: Worker, pieces: list[Piece]) -> None:
        started = self._timers.now()
        room_mb = sum(worker.room.values()) / 1e6
        expected_s = scheduler.duration_s(worker, len(pieces), started)
        lefts = [max(0.0, piece.job.expires_at - started) for piece in pieces]
        results: list[PieceResult] | Failure = self._failure(Reason.TIMEOUT, "no answer in time")
        with trio.move_on_after(expected_s * CALL_PATIENCE + CALL_SLACK_S):
            results = await self._call.run(worker.upstream, pieces, lefts)
        now = self._timers.now()
        if isinstance(results, Failure):
            self._note_failure(scheduler, worker, pieces, results, now)
        else:
            scheduler.finish(worker, len(pieces), now - started, now)
            _log.info(
                "pieces done",
                extra={
                    "subject": worker.upstream.name,
                    "service": worker.upstream.service,
                    "count": len(pieces),
                    "stages": sorted({piece.job.stage for piece in pieces}),
                    "took_ms": round((now - started) * 1000),
                    "expected_ms": round(expected_s * 1000),
                    "waiting": len(scheduler.waiting),
                    "room_mb": round(sum(worker.room.values()) / 1e6, 2),
                    "failed": dict(Counter(r.reason for r in results if r.reason)),
                    "room_before_mb": round(room_mb, 2),
                    "remote": sum(
                        p.job.data_centre not in ("", worker.upstream.data_centre) for p in pieces
                    ),
                    "requests": [piece.job.request_id for piece in pieces],
                },
            )
            self._take_results(scheduler, worker, pieces, results)
        self._wake.notify()

    def _note_failure(
        self,
        scheduler: PieceScheduler,
        worker: Worker,
        pieces: list[Piece],
        failure: Failure,
        now: float,
    ) -> None:
        scheduler.finish(worker, len(pieces), None, now)
        is_full = failure.reason is Reason.OVERLOADED
        scheduler.pause(worker, BUSY_PAUSE_S if is_full else EJECTION_S, now)
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
        unwanted = set()
        again = []
        for piece, result in zip(pieces, results, strict=True):
            job = piece.job
            if result.handle:
                worker.room[result.handle] = job.result_bytes
                if job.is_open:
                    job.finish_piece(piece.index, result.handle)
                else:
                    unwanted.add(result.handle)
                self._expire_later(scheduler, worker, result.handle)
            elif result.reason in ("late", "gone"):
                job.fail(result.reason)
            else:
                again.append(piece)
        if again:
            scheduler.pause(worker, BUSY_PAUSE_S, now)
            scheduler.put_back(again, now)
        if unwanted:
            self._free(unwanted)

    def _expire_later(self, scheduler: PieceScheduler, worker: Worker, handle: str) -> None:
        async def expire() -> None:
            await self._timers.sleep(scheduler.spec.keep_s)
            worker.room.pop(handle, None)

        if self._nursery is not None:
            self._nursery.start_soon(expire)

    def _failure(self, reason: Reason, detail: str) -> Failure:
        return Failure(
            reason=reason,
            run_state=RunState.NOT_RUN,
            step="pieces",
            peer=self._host,
            detail=detail,
        )

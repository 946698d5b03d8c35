"""Scheduler on a control host: runs the stages of requests and chooses their engines."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Handlers
from marigoldtrail.pieces.admission import (
    StageEstimate,
    can_be_on_time,
    compute_lateness_s,
    estimate_stage,
    find_critical_path_s,
)
from marigoldtrail.pieces.fair_shares import compute_share
from marigoldtrail.pieces.graph import LARGE_RESULT_BYTES, StageGraph
from marigoldtrail.pieces.job import CRASHES_UPSTREAMS, OUT_OF_TIME, PieceJob
from marigoldtrail.pieces.joinable_runs import JoinableRun
from marigoldtrail.pieces.placer import EnginePlacer
from marigoldtrail.pieces.runner import PieceCall, PieceRunner
from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.quarantine import make_stage_part
from marigoldtrail.registry import FleetState
from marigoldtrail.schema.generated.pieces import (
    NoteProgress,
    ProgressNoted,
    Pulse,
    PulseReply,
    RunStages,
    StageRequest,
    StagesReply,
)
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Notifier, Timers, run_guarded

# Pieces of one request. Each takes memory from its admission on, and the callers name the count.
MAX_PIECES = 10_000
# Requests whose results are tracked until their entry reports the end.
MAX_REQUESTS_KEPT = 4096
# If a result is lost with its upstream, all stages run again from the start.
MAX_RUNS = 3
RESULTS_GONE = "gone"
# Time for which a host that has no list of services or upstreams yet holds a request.
VIEW_WAIT_S = 0.5
# A new upstream appears in the list within this time.
NO_UPSTREAM_RETRY_S = 1.0
# Time from the choice of an engine until it has fetched its inputs.
INPUT_FETCH_S = 0.12

_log = logging.getLogger(__name__)


class AccountWork(msgspec.Struct, kw_only=True, frozen=True):
    """
    Work of an account at the services of a request, by stage.

    Parameters
    ----------
    pieces : list of int
        Its unfinished pieces.
    shares : list of float
        Pieces of an equal share among the accounts with work there.
    """

    pieces: list[int]
    shares: list[float]


class AdmittedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request admitted by the scheduler.

    Parameters
    ----------
    request : RunStages
        The request.
    work : list of StageEstimate
        Estimated run time and waiting time of each of its stages.
    started : float
        Monotonic time in seconds at which it arrived.
    data_centre : str
        Where its results will probably be read; empty if unknown.
    is_deferred : bool
        Whether it is certain to be late and runs after those that can be on time.
    """

    request: RunStages
    work: list[StageEstimate]
    started: float
    data_centre: str
    is_deferred: bool

    @property
    def expires_at(self) -> float:
        """Monotonic time in seconds after which its results are useless."""
        return self.started + self.request.left_ms / 1000


class PieceService:
    """
    Scheduler of the fleet: runs the stages of requests and chooses their engines.

    Parameters
    ----------
    host : str
        Name of this host.
    fleet_state : FleetState
        Services and upstreams.
    call : PieceCall
        Calls the upstreams.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties between engines.
    metrics : PrometheusMetrics
        Counts pieces.
    """

    __slots__ = (
        "_host",
        "_fleet_state",
        "_timers",
        "_metrics",
        "_runner",
        "_placer",
        "_jobs",
        "_runs",
        "_nursery",
    )

    def __init__(
        self,
        *,
        host: str,
        fleet_state: FleetState,
        call: PieceCall,
        timers: Timers,
        rng: random.Random,
        metrics: PrometheusMetrics,
    ) -> None:
        self._host = host
        self._fleet_state = fleet_state
        self._timers = timers
        self._metrics = metrics
        self._runner = PieceRunner(
            fleet_state=fleet_state, call=call, timers=timers, metrics=metrics
        )
        self._placer = EnginePlacer(
            fleet_state=fleet_state, timers=timers, rng=rng, metrics=metrics
        )
        self._jobs: dict[str, list[PieceJob]] = {}
        # Latest run of the stages of each request.
        self._runs: dict[str, JoinableRun] = {}
        self._nursery: trio.Nursery | None = None

    def get_handlers(self) -> Handlers:
        """
        Return the message handlers of this service.

        Returns
        -------
        dict
            Handlers by message type, for `marigoldtrail.net.serve_peers`.
        """
        return {RunStages: self._run_stages, NoteProgress: self._note_progress, Pulse: self._pulse}

    async def run(self) -> None:
        """Plan and make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._runner.run)
            while True:
                await self._fleet_state.changed.wait()
                self._placer.forget_except(set(self._fleet_state.upstreams))

    async def _run_stages(self, request: RunStages, sender: str) -> StagesReply | Failure:
        if self._nursery is None:
            return await self._run_once(request)
        latest = self._runs.get(request.request_id)
        if latest is not None and latest.is_later_than(request, sender):
            return self._failure(Reason.UPSTREAM_ERROR, "the run has ended")
        run = self._find_run(request, sender)
        if run is None:
            run = self._start_run(self._nursery, request, sender)
        run.waiting += 1
        run.asked += 1
        try:
            await run.done.wait()
        finally:
            run.waiting -= 1
            if not run.waiting and not run.done.is_set():
                self._nursery.start_soon(run_guarded, run.end_unless_joined, self._timers)
        return run.reply

    def _start_run(self, nursery: trio.Nursery, request: RunStages, sender: str) -> JoinableRun:
        # An entry that asks for another run does not need the results of the one before.
        self._drop_jobs(request.request_id)
        dropped = self._failure(Reason.UPSTREAM_ERROR, "dropped")
        run = JoinableRun(sender=sender, number=request.run, reply=dropped)
        # The latest run is the last one to be forgotten.
        self._runs.pop(request.request_id, None)
        self._runs[request.request_id] = run
        while len(self._runs) > MAX_REQUESTS_KEPT:
            del self._runs[next(iter(self._runs))]
        nursery.start_soon(run_guarded, run.execute, self._run_once, request)
        return run

    def _find_run(self, request: RunStages, sender: str) -> JoinableRun | None:
        """Return the run that an entry asks for again, unless it has no usable results."""
        run = self._runs.get(request.request_id)
        if run is None or not run.is_asked_for(request, sender):
            return None
        is_usable = not run.done.is_set() or (
            isinstance(run.reply, StagesReply) and self._runner.has_results(run.reply.handles)
        )
        if not is_usable:
            return None
        _log.info("entry asks again for a run", extra={"request_id": request.request_id})
        return run

    async def _run_once(self, request: RunStages) -> StagesReply | Failure:
        await self._wait_for_view(request)
        admitted = self._admit(request)
        if isinstance(admitted, Failure):
            return admitted
        handles = await self._run_with_reruns(admitted)
        if isinstance(handles, Failure):
            return handles
        bytes_in = self._runner.bytes_by_data_centre(set(handles))
        upstream = self._placer.place(
            request, bytes_in, admitted.expires_at, admitted_at=admitted.started
        )
        if upstream is not None and not request.keeps_results:
            # The engine fetches its inputs as soon as it has the request.
            self._runner.schedule_free(set(handles), INPUT_FETCH_S, LARGE_RESULT_BYTES)
        return StagesReply(handles=handles, upstream=upstream or "")

    async def _wait_for_view(self, request: RunStages) -> None:
        """Wait up to `VIEW_WAIT_S` for the services and upstreams that a request needs."""
        if not self._describe_missing_view(request):
            return
        with trio.move_on_after(VIEW_WAIT_S):
            while self._describe_missing_view(request):
                await self._fleet_state.changed.wait()

    def _describe_missing_view(self, request: RunStages) -> str:
        """Return what is missing on a host that has just started or is a version behind."""
        for stage in request.stages:
            if not stage.count:
                continue
            scheduler = self._runner.scheduler(stage.service)
            if scheduler is None:
                return f"no piece service {stage.service!r} is known yet"
            if not scheduler.workers and not self._fleet_state.has_upstream_list:
                return "no upstreams are known yet"
        return ""

    def _admit(self, request: RunStages) -> AdmittedRequest | Failure:
        """Admit a request, deferred if it can't be on time, or refuse it."""
        started = self._timers.now()
        missing = self._describe_missing_view(request)
        if missing:
            return self._failure(Reason.VIEW_NOT_CURRENT, missing)
        count = sum(stage.count for stage in request.stages)
        if count > MAX_PIECES:
            return self._failure(Reason.BAD_REQUEST, f"{count} pieces, over {MAX_PIECES}")
        work = self._estimate_work(request)
        path = find_critical_path_s(request.stages, work)
        on_time = can_be_on_time(work, path, request.slack_ms / 1000)
        if not on_time:
            refusal = self._refuse_if_too_late(request, work, path)
            if refusal is not None:
                return refusal
            self._log_deferral(request, work, path)
        return AdmittedRequest(
            request=request,
            work=work,
            started=started,
            data_centre=self._placer.expected_data_centre(request),
            is_deferred=not on_time,
        )

    def _log_deferral(self, request: RunStages, work: list[StageEstimate], path: float) -> None:
        self._metrics.count_declined("deferred", "late")
        account = self._count_account_work(request)
        _log.info(
            "request deferred",
            extra={
                "request_id": request.request_id,
                "account": request.account,
                "account_pieces": account.pieces,
                "account_share": account.shares,
                "rank": request.priority,
                "path_s": round(path, 2),
                "backlog_s": [round(item.backlog_s, 2) for item in work],
                "slack_ms": request.slack_ms,
                "left_ms": request.left_ms,
            },
        )

    async def _run_with_reruns(self, admitted: AdmittedRequest) -> list[str] | Failure:
        """Run all stages, again if results were lost; return the handles of the final results."""
        for run in range(1, MAX_RUNS + 1):
            graph = StageGraph(stages=admitted.request.stages)
            failed = await self._run_graph(admitted, graph)
            if failed is None:
                break
            if failed.failure == OUT_OF_TIME:
                return self._refuse_waiting(admitted, failed)
            is_over = run == MAX_RUNS or self._timers.now() >= admitted.expires_at
            if failed.failure != RESULTS_GONE or is_over:
                return self._job_failure(failed)
            request_id = admitted.request.request_id
            _log.info(
                "stages of the request run again because a result was lost",
                extra={"request_id": request_id},
            )
        return graph.final_handles()

    def _estimate_work(self, request: RunStages) -> list[StageEstimate]:
        """Estimate the run time and waiting time of each stage of a request."""
        now = self._timers.now()
        return [
            estimate_stage(
                self._runner.scheduler(stage.service), stage, now, request.priority, request.account
            )
            for stage in request.stages
        ]

    def _count_account_work(self, request: RunStages) -> AccountWork:
        """Return the work of the account of a request, and its share."""
        account = AccountWork(pieces=[], shares=[])
        for stage in request.stages:
            scheduler = self._runner.scheduler(stage.service)
            work = scheduler.work_by_account() if scheduler is not None else {}
            account.pieces.append(work.get(request.account, 0))
            account.shares.append(round(compute_share(work), 1))
        return account

    def _refuse_if_too_late(
        self, request: RunStages, work: list[StageEstimate], path: float
    ) -> Failure | None:
        """Return a refusal if the stages of a request can't finish in time."""
        late_s = compute_lateness_s(
            work,
            path,
            request.left_ms / 1000,
            wait_share=request.wait_share,
        )
        if late_s <= 0:
            return None
        if math.isinf(late_s):
            return self._refuse_without_upstreams(request)
        self._metrics.count_declined("refused", "overloaded")
        account = self._count_account_work(request)
        _log.info(
            "request refused",
            extra={
                "request_id": request.request_id,
                "account": request.account,
                "account_pieces": account.pieces,
                "account_share": account.shares,
                "reason": "its stages can't be done in time",
                "backlog_s": [round(item.backlog_s, 2) for item in work],
                "total_s": [round(item.total_s, 2) for item in work],
                "left_ms": request.left_ms,
                "retry_after_s": round(late_s, 2),
            },
        )
        return self._failure(
            Reason.OVERLOADED, "the stages can't be done in time", retry_after_s=late_s
        )

    def _refuse_waiting(self, admitted: AdmittedRequest, job: PieceJob) -> Failure:
        """Refuse an admitted request that can no longer be done in time."""
        request = admitted.request
        now = self._timers.now()
        work = self._estimate_work(request)
        path = find_critical_path_s(request.stages, work)
        left_s = admitted.expires_at - now
        late_s = compute_lateness_s(work, path, left_s, wait_share=request.wait_share)
        # The caller has to be admitted again, and by then the work ahead has to be done.
        retry_after_s = max(job.retry_after_s, late_s if math.isfinite(late_s) else 0.0)
        self._metrics.count_declined("refused", "out_of_time")
        account = self._count_account_work(request)
        _log.info(
            "request refused",
            extra={
                "request_id": request.request_id,
                "account": request.account,
                "account_pieces": account.pieces,
                "account_share": account.shares,
                "reason": OUT_OF_TIME,
                "stage": job.stage,
                "waited_ms": round(1000 * (now - admitted.started)),
                "backlog_s": [round(item.backlog_s, 2) for item in work],
                "total_s": [round(item.total_s, 2) for item in work],
                "left_ms": round(1000 * left_s),
                "retry_after_s": round(retry_after_s, 2),
            },
        )
        return self._failure(Reason.OVERLOADED, OUT_OF_TIME, retry_after_s=retry_after_s)

    def _refuse_without_upstreams(self, request: RunStages) -> Failure:
        self._metrics.count_declined("refused", "no_upstream")
        _log.info(
            "request refused",
            extra={
                "request_id": request.request_id,
                "account": request.account,
                "reason": "a service of its stages has no upstreams",
                "left_ms": request.left_ms,
                "retry_after_s": NO_UPSTREAM_RETRY_S,
            },
        )
        return self._failure(
            Reason.NO_UPSTREAM,
            "a service of the stages has no upstreams",
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )

    async def _run_graph(self, admitted: AdmittedRequest, graph: StageGraph) -> PieceJob | None:
        """Run all stages; return the job that failed, if one did."""
        ended: list[PieceJob] = []
        changed = Notifier()
        prompts = self._fleet_state.prompts

        def note_end(job: PieceJob) -> None:
            prompts.unwatch(job.withdraw)
            ended.append(job)
            changed.notify()

        jobs: list[PieceJob] = []
        # Counted at the same scheduler to the end, also if its service leaves the configuration.
        unfinished = {
            number: (stage, self._runner.scheduler(stage.service))
            for number, stage in enumerate(graph.stages)
        }
        self._count_planned(admitted, unfinished.values(), 1)
        try:
            while not graph.is_done():
                for number in graph.take_startable():
                    jobs.append(self._queue(admitted, graph, number, note_end))
                # A job of a service that is gone has ended by now.
                while not ended:
                    await changed.wait()
                while ended:
                    job = ended.pop()
                    if job.failure:
                        return job
                    self._count_planned(admitted, [unfinished.pop(job.stage)], -1)
                    self._runner.free(set(graph.finish(job.stage, job.handles)))
            return None
        finally:
            self._count_planned(admitted, unfinished.values(), -1)
            # The entry may have left. This has no effect on jobs that are done.
            for job in jobs:
                job.fail("the request has ended")

    def _count_planned(
        self,
        admitted: AdmittedRequest,
        stages: Iterable[tuple[StageRequest, PieceScheduler | None]],
        sign: int,
    ) -> None:
        for stage, scheduler in stages:
            if scheduler is not None:
                scheduler.count_unfinished(
                    admitted.request.account,
                    admitted.request.priority,
                    sign * stage.count,
                    is_deferred=admitted.is_deferred,
                )

    def _queue(
        self,
        admitted: AdmittedRequest,
        graph: StageGraph,
        number: int,
        on_end: Callable[[PieceJob], None],
    ) -> PieceJob:
        """Queue a stage; its job fails when its request is quarantined."""
        request = admitted.request
        stage = graph.stages[number]
        data_centre = admitted.data_centre
        now = self._timers.now()
        inputs = graph.inputs_of(number)
        input_bytes = sum(
            request.stages[other].result_bytes * request.stages[other].count
            for other in stage.after
        )
        scheduler = self._runner.scheduler(stage.service)
        moved_bytes = stage.result_bytes
        if inputs:
            # Each piece reads all inputs, so each input is moved `stage.count` times.
            bytes_in = self._runner.bytes_by_data_centre(set(inputs))
            moved_bytes = sum(bytes_in.values()) * stage.count
            data_centre = max(bytes_in, key=lambda name: bytes_in[name], default="")
        rest_s = find_critical_path_s(request.stages, admitted.work, number)
        excess_s = scheduler.estimate_excess_s(request.account, now) if scheduler else 0.0
        job = PieceJob(
            request_id=request.request_id,
            stage=number,
            key="" if inputs else request.key,
            inputs=inputs,
            count=stage.count,
            expires_at=admitted.expires_at - rest_s,
            # A negative slack counts as 0 here; `is_deferred` places a late request last.
            start_by=admitted.started + max(0, request.slack_ms) / 1000 - rest_s,
            is_deferred=admitted.is_deferred,
            may_yield=input_bytes < LARGE_RESULT_BYTES,
            yield_s=request.yield_ms / 1000 + excess_s,
            data_centre=data_centre,
            result_bytes=stage.result_bytes,
            moved_bytes=moved_bytes,
            queued_at=now,
            crash_part=make_stage_part(request.fingerprint, number) if request.fingerprint else "",
            is_trial=request.is_trial,
            on_end=on_end,
        )
        if job.crash_part and not job.is_trial:
            self._fleet_state.prompts.watch(frozenset((job.crash_part,)), job.withdraw)
        job.is_apart = self._runner.crashes.has_crashed(job.crash_part)
        self._jobs.setdefault(request.request_id, []).append(job)
        while len(self._jobs) > MAX_REQUESTS_KEPT:
            del self._jobs[next(iter(self._jobs))]
        if scheduler is None:
            job.fail("the service is gone")
        else:
            scheduler.add(job)
        self._runner.wake()
        return job

    def _job_failure(self, job: PieceJob) -> Failure:
        reason = Reason.UPSTREAM_ERROR
        if job.failure in ("late", "too late"):
            reason = Reason.DEADLINE
        elif job.failure == CRASHES_UPSTREAMS:
            reason = Reason.QUARANTINED
        return self._failure(reason, f"stage {job.stage}: {job.failure}")

    async def _note_progress(self, request: NoteProgress, sender: str) -> ProgressNoted:
        self._placer.record_progress(request)
        run = self._runs.get(request.request_id)
        if run is None or run.sender == sender:
            self._drop_jobs(request.request_id)
        # Otherwise the request has moved to another entry, whose run has replaced the sender's.
        return ProgressNoted()

    def _drop_jobs(self, request_id: str) -> None:
        """Free the results of a request and drop its unfinished jobs."""
        run = self._runs.get(request_id)
        if run is not None:
            run.drop()
        handles: set[str] = set()
        for job in self._jobs.pop(request_id, []):
            job.fail("dropped")
            handles.update(handle for handle in job.handles if handle)
        self._runner.free(handles)

    async def _pulse(self, request: Pulse, sender: str) -> PulseReply:
        return PulseReply()

    def _failure(self, reason: Reason, detail: str, *, retry_after_s: float = 0.0) -> Failure:
        return Failure(
            reason=reason,
            run_state=RunState.NOT_RUN,
            step="pieces",
            peer=self._host,
            detail=detail,
            retry_after_s=retry_after_s,
        )

"""Accepts requests, runs them through their pipelines, and drains."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import Demand
from marigoldtrail.schema.generated.manifest import Pipeline
from marigoldtrail.schema.generated.records import (
    FindRecords,
    FindRecordsReply,
    PutRecord,
    ResultRecord,
)
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.serving.addresses import list_alternative_addresses
from marigoldtrail.serving.catalog import Catalog
from marigoldtrail.serving.keys import qualify_refusal
from marigoldtrail.serving.pipeline import build_record, run_pipeline
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.shared import SharedState
from marigoldtrail.serving.targets import RETRY_AFTER_S
from marigoldtrail.serving.types import Answer, PipelineRequest, Sink
from marigoldtrail.telemetry import Telemetry, mark_failure, metric_part, request_id_var
from marigoldtrail.timers import Timers

# Callers use an address response for max_age_s (5 s); 1 s covers its transmission.
GRACE_S = 6.0
MAX_DEADLINE_S = 11.0
TAKEOUT_CHECK_INTERVAL_S = 0.25
FIND_TIMEOUT_S = 3.0
DRAIN_SETTLE_TIMEOUT_S = 2.0


class Server:
    """
    Serves the requests of one entry node.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    view : FleetView
        The node's view of the fleet.
    control : ControlClient
        Claims and records.
    slots : SlotClient
        Slots of upstreams in cold start.
    upstreams : UpstreamClient
        Calls to upstreams.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Spans, metrics, decisions.
    rng : random.Random
        Source of ids and random choices.

    Examples
    --------
    Typical use in a node::

        server = Server(cfg=cfg, view=view, control=control, slots=slots, upstreams=upstreams,
                        timers=timers, telemetry=telemetry, rng=rng)
        await nursery.start(server.run)
        outcome = await server.run_request(req, sink)
    """

    __slots__ = (
        "_shared",
        "_draining_since",
        "_out_of_service_since",
        "_has_checked_takeouts",
        "_in_progress",
        "_idle",
    )

    def __init__(
        self,
        *,
        cfg: Settings,
        view: Any,
        control: Any,
        slots: Any,
        upstreams: Any,
        timers: Timers,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._shared = SharedState(
            cfg=cfg,
            view=view,
            control=control,
            slots=slots,
            upstreams=upstreams,
            timers=timers,
            telemetry=telemetry,
            rng=rng,
        )
        self._draining_since: float | None = None
        self._out_of_service_since: float | None = None
        self._has_checked_takeouts = False
        self._in_progress = 0
        self._idle = trio.Event()

    @property
    def in_progress(self) -> int:
        """Number of requests accepted and not yet answered."""
        return self._in_progress

    @property
    def is_draining(self) -> bool:
        """Whether `start_draining` has been called."""
        return self._draining_since is not None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run the background tasks; requests are served only while this runs.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Signals that requests are accepted.
        """
        shared = self._shared
        async with trio.open_nursery() as nursery:
            shared.background.open(nursery)
            try:
                task_status.started()
                async for _ in shared.timers.subscribe("takeouts", TAKEOUT_CHECK_INTERVAL_S):
                    self._update_takeout_state()
            finally:
                shared.background.close()

    async def run_request(self, req: PipelineRequest, sink: Sink | None) -> Answer | Failure:
        """
        Run one request through its pipeline.

        Parameters
        ----------
        req : PipelineRequest
            The checked request.
        sink : Sink or None
            Receiver of the tokens if the request asks for a stream.

        Returns
        -------
        Answer or Failure
            The complete answer with its record committed; or a failure whose run state is true of
            the whole request. A refusal is returned immediately.
        """
        token = request_id_var.set(req.request_id)
        self._in_progress += 1
        try:
            return await self._run_request(req, sink if req.stream else None)
        finally:
            self._in_progress -= 1
            if self._in_progress == 0:
                self._idle.set()
            request_id_var.reset(token)

    async def _run_request(self, req: PipelineRequest, sink: Sink | None) -> Answer | Failure:
        shared = self._shared
        arrived = shared.timers.now()
        checked = self._check(req)
        if isinstance(checked, Failure):
            checked = await qualify_refusal(shared, shared.catalog(), req, checked)
            return self._record_refusal(req, checked)
        catalog, pipeline, weight = checked
        deadline = min(req.deadline, arrived + MAX_DEADLINE_S)
        if deadline < req.deadline:
            req = msgspec.structs.replace(req, deadline=deadline)
        demand = self._estimate_demand(pipeline)
        failure = await shared.admission.enter(
            req.client_account,
            weight=weight,
            priority=req.priority,
            deadline=deadline,
            demand=demand,
        )
        if failure is not None:
            failure = await qualify_refusal(shared, catalog, req, failure)
            return self._record_refusal(req, failure)
        run = Run(shared=shared, req=req, pipeline=pipeline, catalog=catalog, arrived=arrived)
        admitted_at = shared.timers.now()
        outcome: Answer | Failure | None = None
        try:
            outcome = await self._run_admitted(run, sink, deadline)
        finally:
            answered = isinstance(outcome, Answer)
            duration_s = shared.timers.now() - admitted_at
            shared.admission.leave(demand, duration_s if answered else None)
        if isinstance(outcome, Failure) and not run.is_key_known:
            outcome = await qualify_refusal(shared, catalog, req, outcome)
        self._record_outcome(run, outcome)
        return outcome

    async def _run_admitted(self, run: Run, sink: Sink | None, deadline: float) -> Answer | Failure:
        shared = self._shared
        outcome: Answer | Failure | None = None
        with shared.telemetry.span(
            "request",
            request_id=run.req.request_id,
            pipeline=run.pipeline.name,
            client_account=run.req.client_account,
        ) as span:
            # The view may have lapsed while the request waited for admission.
            if shared.view.is_current():
                with trio.move_on_at(deadline):
                    outcome = await run_pipeline(run, sink)
                if outcome is None:
                    outcome = _deadline_failure(run)
            else:
                outcome = self._view_failure()
            if isinstance(outcome, Failure):
                outcome = run.apply_run_state(outcome)
                mark_failure(span, outcome)
        return outcome

    def _check(self, req: PipelineRequest) -> tuple[Catalog, Pipeline, float] | Failure:
        shared = self._shared
        if not shared.background.is_open:
            return _refusal(Reason.STOPPING, "the server is not running")
        catalog = shared.catalog()
        if catalog is None or not shared.view.is_current():
            return self._view_failure()
        failure = self._check_service()
        if failure is not None:
            return failure
        pipeline = catalog.pipelines.get(req.pipeline)
        if pipeline is None:
            return _refusal(Reason.UNKNOWN_PIPELINE, f"no pipeline {req.pipeline!r}")
        weight = catalog.weight_of(req.client_account)
        if weight is None:
            detail = f"no client account {req.client_account!r}"
            return _refusal(Reason.UNKNOWN_ACCOUNT, detail)
        return catalog, pipeline, weight

    def _check_service(self) -> Failure | None:
        now = self._shared.timers.now()
        if self._draining_since is not None and now >= self._draining_since + GRACE_S:
            return self._redirect(Reason.DRAINING, "this node is shutting down")
        self._update_takeout_state()
        if self._out_of_service_since is not None and now >= self._out_of_service_since + GRACE_S:
            return self._redirect(Reason.OUT_OF_SERVICE, "this node is out of service")
        return None

    def _update_takeout_state(self) -> None:
        shared = self._shared
        if shared.view.manifest is None or not shared.view.is_current():
            return
        cfg = shared.cfg
        is_out_of_service = shared.view.is_out_of_service(
            "data_centre", cfg.data_centre
        ) or shared.view.is_out_of_service("host", cfg.host)
        if not is_out_of_service:
            self._out_of_service_since = None
        elif self._out_of_service_since is None:
            # No grace time for a node that starts out of service: its address has not been listed.
            self._out_of_service_since = (
                shared.timers.now() if self._has_checked_takeouts else float("-inf")
            )
        self._has_checked_takeouts = True

    def _redirect(self, reason: Reason, detail: str) -> Failure:
        shared = self._shared
        hint = list_alternative_addresses(shared.view, shared.cfg, shared.rng)
        return _refusal(reason, detail, hint=",".join(hint))

    def _view_failure(self) -> Failure:
        detail = "the node has no confirmed view of the fleet"
        return _refusal(Reason.VIEW_NOT_CURRENT, detail, retry_after_s=RETRY_AFTER_S)

    def _estimate_demand(self, pipeline: Pipeline) -> Demand:
        shared = self._shared
        total_ms = needed_ms = 0.0
        pool_times: list[tuple[str, float]] = []
        for stage in pipeline.stages:
            estimator = shared.estimator(pipeline.name, stage)
            median_ms = estimator.quantile(0.5)
            pool_times.append((stage.pool, median_ms))
            total_ms += median_ms
            # Without measurements only the expected duration is known.
            needed_ms += estimator.quantile(0.95) if estimator.is_learned else median_ms
        occupancy: dict[str, float] = {}
        for pool, median_ms in pool_times:
            occupancy[pool] = occupancy.get(pool, 0.0) + median_ms / total_ms
        return Demand(
            occupancy=occupancy,
            service_s=(total_ms + shared.record_time.quantile(0.5)) / 1000,
            needed_s=(needed_ms + shared.record_time.quantile(0.95)) / 1000,
        )

    def _record_refusal(self, req: PipelineRequest, failure: Failure) -> Failure:
        telemetry = self._shared.telemetry
        telemetry.metrics.count(f"requests.refused.{failure.reason.value}")
        telemetry.decisions.add(
            "refuse",
            req.pipeline,
            failure.reason.value,
            request_id=req.request_id,
            client_account=req.client_account,
            retry_after_s=failure.retry_after_s,
        )
        return failure

    def _record_outcome(self, run: Run, outcome: Answer | Failure) -> None:
        telemetry = self._shared.telemetry
        duration_ms = (self._shared.timers.now() - run.arrived) * 1000
        name = metric_part(run.pipeline.name)
        if isinstance(outcome, Answer):
            telemetry.metrics.count(f"attainment.{name}.met")
            telemetry.metrics.timing(f"request.{name}", duration_ms)
            return
        telemetry.metrics.count(f"attainment.{name}.missed")
        self._record_refusal(run.req, outcome)
        if outcome.run_state is RunState.MAY_HAVE_RUN:
            record = build_record(run, outcome="may_have_run")
            self._shared.background.start(self._put_record, record)

    async def _put_record(self, record: ResultRecord) -> None:
        await self._shared.control.put_record(PutRecord(record=record), timeout_s=FIND_TIMEOUT_S)

    def add_evidence(self, upstream: str, instance: str, state: str, reason: str) -> None:
        """
        Record evidence that an upstream is not warm; the upstream client's `on_evidence` handler.

        Parameters
        ----------
        upstream, instance : str
            Upstream and instance that were observed.
        state : str
            ``"cold"``, ``"warming"``, ``"leaving"`` or ``"down"``.
        reason : str
            The evidence.
        """
        self._shared.add_evidence(upstream, instance, state, reason)

    def start_draining(self) -> None:
        """Refuse new requests after `GRACE_S`; callers may use the address until then."""
        if self._draining_since is None:
            self._draining_since = self._shared.timers.now()

    async def wait_idle(self) -> None:
        """Wait until the node refuses new requests and those in progress have ended."""
        timers = self._shared.timers
        if self._draining_since is not None:
            await timers.sleep_until(self._draining_since + GRACE_S)
        await self.wait_for_requests()
        with trio.move_on_after(DRAIN_SETTLE_TIMEOUT_S):
            await self._shared.background.wait_idle()

    async def wait_for_requests(self) -> None:
        """Wait until no request is in progress, including refusals that still look up their key."""
        while self._in_progress:
            self._idle = trio.Event()
            await self._idle.wait()

    async def find_request(self, request_id: str) -> ResultRecord | Failure:
        """
        Look up the record of a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        ResultRecord or Failure
            The record, or a failure; ``NOT_FOUND`` if the request has no record (yet).
        """
        groups = self._record_groups()
        try:
            group = groups[int(request_id[:2], 16)]
        except (ValueError, IndexError):
            return _refusal(Reason.NOT_FOUND, f"{request_id!r} is not a request id", step="find")
        found = await self._find(FindRecords(group=group, request_id=request_id, limit=1))
        if isinstance(found, Failure):
            return found
        if not found:
            return _refusal(Reason.NOT_FOUND, f"no record of {request_id!r}", step="find")
        return found[0]

    async def find_result(self, digest: str) -> list[ResultRecord] | Failure:
        """
        Look up the records with a result digest, in all record groups.

        Parameters
        ----------
        digest : str
            SHA-256 of the result, hexadecimal.

        Returns
        -------
        list of ResultRecord or Failure
            The records; a failure if any group could not be queried.
        """
        found: list[ResultRecord] = []
        failures: list[Failure] = []

        async def query_group(group: str) -> None:
            records = await self._find(FindRecords(group=group, result_digest=digest))
            if isinstance(records, Failure):
                failures.append(records)
            else:
                found.extend(records)

        async with trio.open_nursery() as nursery:
            for group in self._record_groups():
                nursery.start_soon(query_group, group)
        return failures[0] if failures else sorted(found, key=lambda item: item.started_ms)

    async def _find(self, request: FindRecords) -> list[ResultRecord] | Failure:
        reply = await self._shared.control.find_records(request, timeout_s=FIND_TIMEOUT_S)
        if isinstance(reply, FindRecordsReply):
            return reply.records
        return reply

    def _record_groups(self) -> list[str]:
        groups = [group.name for group in self._shared.cfg.groups if group.name != "config"]
        return groups or ["records-0"]


def _deadline_failure(run: Run) -> Failure:
    if run.step == "record":
        return run.fail(Reason.RECORD_NOT_DURABLE, "the record was not committed in time")
    return run.fail(Reason.DEADLINE, "the deadline has passed")


def _refusal(
    reason: Reason,
    detail: str,
    *,
    step: str = "admission",
    retry_after_s: float = 0.0,
    hint: str = "",
) -> Failure:
    return Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step=step,
        detail=detail,
        retry_after_s=retry_after_s,
        hint=hint,
    )

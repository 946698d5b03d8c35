"""Run the stages of a request, choose an upstream and send the request to it."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryBudget
from marigoldtrail.pieces.client import PieceClient, StageRun
from marigoldtrail.policy.engine_choice import estimate_idle_first_event_s
from marigoldtrail.ratelimits import Place
from marigoldtrail.reachability import ReachabilityMonitor, UpstreamContact
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.abandoned import AbandonedAttempts
from marigoldtrail.relay.attempts import AttemptRunner
from marigoldtrail.relay.exchange import MIN_ABANDON_PAUSE_S, Exchange
from marigoldtrail.relay.peer_forwarding import PeerForwarder, make_unforwarded_failure
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.request_mover import Assignment, RequestMover
from marigoldtrail.relay.responses import CompleteResponse, StreamForwarded
from marigoldtrail.relay.retry_budgets import RetryBudgets
from marigoldtrail.relay.send_gate import SendGate
from marigoldtrail.relay.sender import Sender
from marigoldtrail.relay.stage_request import make_stage_request
from marigoldtrail.relay.stream_admission import StreamAdmission, is_version_unknown
from marigoldtrail.relay.stream_services import StreamServices
from marigoldtrail.relay.stream_versions import StreamVersions
from marigoldtrail.relay.transmission import Transmitter
from marigoldtrail.relay.types import HeaderCodec
from marigoldtrail.relay.upstream_chooser import DEFAULT_DURATION_S, UpstreamChooser
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

# A retry with less time left is not started.
MIN_RETRY_TIME_S = 0.02
PLACEMENT_TIMEOUT_S = 0.3
MAX_STAGE_RUNS = 2

_log = logging.getLogger(__name__)


class Dispatcher:
    """
    Dispatches requests to upstreams.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    fleet_state : FleetState
        Configuration and upstreams of the fleet.
    monitor : UpstreamMonitor
        Observed state of the upstreams.
    pool : ConnectionPool
        Connections to the upstreams.
    contact : UpstreamContact
        Contact of this host with the upstreams.
    reachability : ReachabilityMonitor
        Tells whether this host reaches upstreams.
    pieces : PieceClient
        Client of the schedulers that run the stages.
    header_codec : HeaderCodec
        Converts headers.
    bounds : Bounds
        Limits for the whole fleet.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties between upstreams.
    metrics : PrometheusMetrics
        Counts sends.
    gate : SendGate
        Decides whether requests may be sent now.
    versions : StreamVersions
        Records and finds the versions that began streams.
    forwarder : PeerForwarder
        Forwards requests to another entry while this host reaches no upstream.
    memory : MemoryBudget
        Memory for responses.
    nursery : trio.Nursery
        Runs probes of upstreams.
    """

    __slots__ = (
        "_data_centre",
        "_fleet_state",
        "_monitor",
        "_reachability",
        "_pieces",
        "_timers",
        "_metrics",
        "_attempts",
        "_abandoned",
        "_budgets",
        "_gate",
        "_chooser",
        "_admission",
        "_services",
        "_mover",
        "_forwarder",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        fleet_state: FleetState,
        monitor: UpstreamMonitor,
        pool: ConnectionPool,
        contact: UpstreamContact,
        reachability: ReachabilityMonitor,
        pieces: PieceClient,
        header_codec: HeaderCodec,
        bounds: Bounds,
        timers: Timers,
        rng: random.Random,
        metrics: PrometheusMetrics,
        gate: SendGate,
        versions: StreamVersions,
        forwarder: PeerForwarder,
        memory: MemoryBudget,
        nursery: trio.Nursery,
    ) -> None:
        self._data_centre = data_centre
        self._fleet_state = fleet_state
        self._monitor = monitor
        self._reachability = reachability
        self._pieces = pieces
        self._budgets = RetryBudgets(bounds=bounds, fleet_state=fleet_state, timers=timers)
        self._timers = timers
        self._metrics = metrics
        self._gate = gate
        self._chooser = UpstreamChooser(
            fleet_state=fleet_state, monitor=monitor, versions=versions, rng=rng
        )
        self._services = StreamServices(fleet_state=fleet_state, versions=versions, timers=timers)
        self._admission = StreamAdmission(
            fleet_state=fleet_state, versions=versions, services=self._services, timers=timers
        )
        self._forwarder = forwarder
        transmitter = Transmitter(
            pool=pool,
            contact=contact,
            monitor=monitor,
            prompts=fleet_state.prompts,
            header_codec=header_codec,
            timers=timers,
        )
        self._mover = RequestMover(
            chooser=self._chooser,
            gate=gate,
            monitor=monitor,
            transmitter=transmitter,
            budgets=self._budgets,
            on_refused=self._note_failed_send,
            nursery=nursery,
        )
        sender = Sender(
            transmitter=transmitter,
            header_codec=header_codec,
            timers=timers,
            admit_stream=self._admission.admit,
            on_first_event=self._handle_first_event,
            note_events=self._admission.note_events,
            mover=self._mover,
            memory=memory,
        )
        self._abandoned = AbandonedAttempts(
            pool=pool,
            prompts=fleet_state.prompts,
            reachability=reachability,
            timers=timers,
            nursery=nursery,
        )
        self._attempts = AttemptRunner(
            sender=sender,
            admission=self._admission,
            monitor=monitor,
            reachability=reachability,
            mover=self._mover,
            abandoned=self._abandoned,
            timers=timers,
        )

    async def follow_routes(self) -> None:
        """Record the streams that a new configuration affects, until cancelled."""
        await self._services.run()

    def finish(self, exchange: Exchange) -> None:
        """Release what a finished request still holds: stage results, and an unfinished record."""
        self._admission.finish(exchange)
        self._mover.cancel(exchange)
        self._budgets.release(exchange)
        if exchange.stage_run is not None:
            self._pieces.report_end(exchange.stage_run)

    def handle_leave(self, exchange: Exchange) -> None:
        """Watch the upstream of a stream whose caller left after it had waited in vain."""
        if exchange.is_stream and self._timers.now() - exchange.started >= MIN_ABANDON_PAUSE_S:
            self.handle_deadline(exchange)

    def handle_deadline(self, exchange: Exchange) -> None:
        """Watch the upstream of a request that ended at its deadline without an answer."""
        upstream = self._fleet_state.upstreams.get(exchange.last_upstream)
        if upstream is not None and exchange.may_have_run and exchange.first_event_at is None:
            self._abandoned.watch(exchange, upstream)

    async def run(self, exchange: Exchange) -> CompleteResponse | StreamForwarded | Failure:
        """
        Run the stages of a request, then the request itself at an upstream.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Returns
        -------
        CompleteResponse, StreamForwarded or Failure
            The response, the note that a stream was forwarded, or the reason for the failure.
        """
        result = await self._run(exchange)
        if isinstance(result, StreamForwarded):
            self._record_stream_time(exchange)
        is_not_run = isinstance(result, Failure) and result.run_state is RunState.NOT_RUN
        if is_not_run and exchange.may_have_run:
            # The failure is that of the last step; an earlier attempt may have run.
            return msgspec.structs.replace(result, run_state=RunState.MAY_HAVE_RUN)
        return result

    def _record_stream_time(self, exchange: Exchange) -> None:
        stage_run, first_event_at = exchange.stage_run, exchange.first_event_at
        if stage_run is not None and first_event_at is not None and is_first_choice(exchange):
            stage_run.stream_s = self._timers.now() - first_event_at

    async def _run(self, exchange: Exchange) -> CompleteResponse | StreamForwarded | Failure:
        if self._reachability.is_cut_off:
            # The other entry counts the request for the budget of retries.
            return await self._serve_elsewhere(exchange)
        await self._services.restore(exchange)
        self._budgets.add_request(exchange.service.name)
        failure = await self._gate.check_arrival(exchange)
        if failure is not None:
            return failure
        if exchange.is_resumed:
            failure = await self._admission.find_version(exchange)
            if failure is not None:
                return failure
            if not self._chooser.list_upstreams(exchange):
                return self._make_no_upstream_failure(exchange)
        failure = self._admission.check_arrival(exchange)
        if failure is not None:
            return failure
        for _ in range(MAX_STAGE_RUNS):
            failure = await self._run_stages(exchange)
            if failure is not None:
                return failure
            result = await self._try_upstreams(exchange)
            if not isinstance(result, Failure) or result.reason is not Reason.NOT_FOUND:
                return result
        return result

    async def _run_stages(self, exchange: Exchange) -> Failure | None:
        """Request the stages, and the choice of an engine, from the fleet's scheduler."""
        if not exchange.has_pieces and exchange.service.engine is None:
            return None
        stage_run = StageRun(
            request=make_stage_request(
                exchange,
                excluded=self._chooser.list_excluded(exchange),
                suspects=self._monitor.get_ejected(),
                data_centre=self._data_centre,
            ),
            deadline=exchange.start_deadline - self._estimate_first_event_s(exchange),
            due_at=exchange.due_at - self._estimate_first_event_s(exchange),
            response_deadline=exchange.deadline,
        )
        if exchange.stage_run is not None:
            # Notify the schedulers of an earlier run only when the request ends: notified now, they
            # could mistake it for the end of the new run.
            stage_run.schedulers_used |= exchange.stage_run.schedulers_used
        exchange.stage_run, exchange.are_inputs_freed = stage_run, False
        if exchange.has_pieces:
            failure = await self._pieces.run(exchange.stage_run)
            exchange.stages_done_at = self._timers.now()
            return failure
        # If the scheduler does not respond in time, this entry chooses the engine itself.
        with trio.move_on_after(PLACEMENT_TIMEOUT_S):
            await self._pieces.run(exchange.stage_run)
        return None

    def _estimate_first_event_s(self, exchange: Exchange) -> float:
        """Estimate the seconds from the end of the last stage to the first event."""
        return estimate_idle_first_event_s(exchange.info.prompt_tokens)

    async def _try_upstreams(
        self, exchange: Exchange
    ) -> CompleteResponse | StreamForwarded | Failure:
        failure = self._make_no_upstream_failure(exchange)
        while True:
            # What another upstream has taken is sent already, and withdrawn by its attempt.
            assignment = self._mover.take(exchange)
            held = self._gate.check_send(exchange) if assignment is None else None
            if held is not None:
                return held
            if assignment is None and self._is_for_another_entry(exchange):
                return await self._serve_elsewhere(exchange)
            if assignment is None:
                upstream, place = await self._choose_upstream(exchange)
                if upstream is None:
                    break
                if place is None:
                    continue
                if exchange.sends > 0 and not self._budgets.try_send_again(exchange):
                    self._gate.release(place, was_rejected=False)
                    break
                self._monitor.record_send(upstream, exchange.service)
                assignment = Assignment(upstream=upstream, place=place)
            result = await self._send_in_place(exchange, assignment)
            if isinstance(result, StreamForwarded):
                return result
            if isinstance(result, CompleteResponse):
                if not result.is_error or not (exchange.may_run_again() or exchange.left):
                    return result
                exchange.held.keep_error(result)
                failure = make_status_failure(exchange, result)
            else:
                failure = result
                if result.reason is Reason.NOT_FOUND:
                    # It only lacks the inputs; the request may have left it and gone back.
                    exchange.tried.discard(assignment.upstream.name)
                    return result
                if result.reason is Reason.VIEW_NOT_CURRENT and not (
                    exchange.may_run_again() and self._admission.withdraw_record(exchange)
                ):
                    return result
            exchange.tried.add(assignment.upstream.name)
            if self._mover.has_taken(exchange):
                if isinstance(result, Failure) and result.reason is Reason.TIMEOUT:
                    exchange.left.append(assignment.upstream.name)
                continue
            if exchange.may_have_run and not (exchange.may_run_again() or exchange.left):
                break
            if exchange.deadline - self._timers.now() < MIN_RETRY_TIME_S:
                break
        if exchange.held.error is not None:
            return exchange.held.error
        upstreams = self._chooser.list_upstreams(exchange)
        ready_in_s = self._monitor.get_ready_in_s(upstreams, exchange.service)
        return msgspec.structs.replace(failure, retry_after_s=ready_in_s)

    def _is_for_another_entry(self, exchange: Exchange) -> bool:
        """
        Return whether a request leaves this host because it finds itself cut off.

        One that no other entry may serve, and that left an upstream only for its silence, goes back
        there: the finding may be a silence of all upstreams.
        """
        if not self._reachability.is_cut_off:
            return False
        return exchange.may_run_elsewhere() or not exchange.left

    async def _choose_upstream(self, exchange: Exchange) -> tuple[Upstream | None, Place | None]:
        """Return the next upstream, if any, and the place of the request there, if granted."""
        upstream, max_wait_s = None, 0.0
        may_try_others = self._budgets.may_try_others(exchange)
        if may_try_others and (not exchange.may_have_run or exchange.may_run_again()):
            upstream = self._chooser.choose(exchange)
            if upstream is None:
                # Those that limit their requests may take this one a little later.
                max_wait_s = self._find_max_wait_s(exchange)
                upstream = self._gate.choose_limited(exchange, max_wait_s)
        if upstream is None:
            # It counts once for the number of upstreams to which the request may be sent.
            upstream, max_wait_s = self._chooser.choose_left(exchange), 0.0
        if upstream is None:
            return None, None
        return upstream, await self._gate.take_permit(exchange, upstream, max_wait_s)

    def _find_max_wait_s(self, exchange: Exchange) -> float:
        """Return the seconds that a request can wait for an upstream and still be on time."""
        if exchange.service.engine is not None:
            needed_s = self._estimate_first_event_s(exchange)
        else:
            needed_s = DEFAULT_DURATION_S
        return max(0.0, exchange.due_at - needed_s - self._timers.now())

    def _note_failed_send(self, exchange: Exchange, upstream: Upstream, failure: Failure) -> None:
        self._metrics.count_send(failure.reason.value)
        _log.info(
            "send failed",
            extra={
                "request_id": exchange.info.request_id,
                "subject": upstream.name,
                "address": upstream.address,
                "upstream_version": upstream.version,
                "failure": str(failure),
                "sends": exchange.sends,
                "runs": exchange.runs,
                "max_attempts": exchange.route.max_attempts,
                "idempotent": exchange.route.is_idempotent,
                "last_event": exchange.splitter.last_id,
                "events": exchange.splitter.count,
                "prompt": [part for part, _ in exchange.info.prefix],
                "fingerprint": exchange.fingerprint,
                "left_ms": round((exchange.deadline - self._timers.now()) * 1000),
                "picture_age_ms": round(self._fleet_state.age_s() * 1000),
            },
        )

    async def _send_in_place(
        self, exchange: Exchange, assignment: Assignment
    ) -> CompleteResponse | StreamForwarded | Failure:
        """Send a request to an upstream and give its place there back."""
        result: CompleteResponse | StreamForwarded | Failure | None = None
        try:
            result = await self._attempts.send(
                exchange, assignment.upstream, taken=assignment.taken
            )
        finally:
            was_rejected = isinstance(result, Failure) and result.reason is Reason.OVERLOADED
            self._gate.release(assignment.place, was_rejected=was_rejected)
        if isinstance(result, Failure):
            self._note_failed_send(exchange, assignment.upstream, result)
        else:
            self._metrics.count_send("answered")
        return result

    def _handle_first_event(self, exchange: Exchange) -> None:
        # An engine that generates has read its inputs, so their results may be evicted. The stages
        # of the few streams that are resumed at another upstream are then run again.
        stage_run = exchange.stage_run
        if stage_run is None:
            return
        exchange.are_inputs_freed = bool(stage_run.handles)
        if is_first_choice(exchange):
            stage_run.first_event_s = self._timers.now() - exchange.sent_at
        self._pieces.report_prompt_read(stage_run)

    async def _serve_elsewhere(
        self, exchange: Exchange
    ) -> CompleteResponse | StreamForwarded | Failure:
        """Forward a request to another entry, unless it was forwarded or may not run again."""
        if not exchange.may_run_elsewhere() or (
            exchange.may_have_run and not self._budgets.try_take(exchange.service.name)
        ):
            return make_unforwarded_failure(exchange)
        result = await self._forwarder.forward(exchange)
        self._metrics.count_send("forwarded")
        return result

    def _make_no_upstream_failure(self, exchange: Exchange) -> Failure:
        return Failure(
            reason=Reason.NO_UPSTREAM,
            run_state=RunState.NOT_RUN,
            step="upstream.choose",
            peer=exchange.service.name,
            detail=(
                "the list shows the upstream of the stream at another version"
                if is_version_unknown(exchange, self._fleet_state)
                else describe_missing_upstream(exchange.stream_version)
            ),
        )


def is_first_choice(exchange: Exchange) -> bool:
    """Return whether the scheduler's engine has the request, which was sent to no other one."""
    stage_run = exchange.stage_run
    return (
        stage_run is not None
        and exchange.sends == 1
        and exchange.last_upstream == stage_run.upstream
    )


def make_status_failure(exchange: Exchange, error: CompleteResponse) -> Failure:
    """Return the failure of a request whose last upstream responded with an error."""
    return Failure(
        reason=Reason.UPSTREAM_ERROR,
        run_state=RunState.MAY_HAVE_RUN,
        step="upstream",
        peer=exchange.last_upstream,
        detail=f"status {error.status}",
    )


def describe_missing_upstream(stream_version: str | None) -> str:
    """Return why no upstream can take a request, or continue a stream of a version."""
    if stream_version is None:
        return "no upstream of the service is in service"
    return f"no upstream of version {stream_version!r}, which began the stream, is in service"

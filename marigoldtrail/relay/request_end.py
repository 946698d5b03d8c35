"""Log and count the ends of requests."""

from __future__ import annotations

import logging

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.connection_end import EndReason
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.responses import CompleteResponse, StreamForwarded
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

_log = logging.getLogger(__name__)


class RequestRecorder:
    """
    Logs and counts the ends of requests and of callers' connections.

    Parameters
    ----------
    fleet_state : FleetState
        Configuration and upstreams of the fleet.
    timers : Timers
        Clock.
    metrics : PrometheusMetrics
        Counts them.

    Attributes
    ----------
    connection_ends, connections_reset : int
        Number of connections that were closed, and of those that were reset.
    stop_refusals : int
        Number of requests that were refused because the host stops.
    """

    __slots__ = (
        "_fleet_state",
        "_timers",
        "_metrics",
        "connection_ends",
        "connections_reset",
        "stop_refusals",
    )

    def __init__(
        self, *, fleet_state: FleetState, timers: Timers, metrics: PrometheusMetrics
    ) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._metrics = metrics
        self.connection_ends = 0
        self.connections_reset = 0
        self.stop_refusals = 0

    def record(
        self,
        exchange: Exchange,
        result: CompleteResponse | StreamForwarded | Failure | None,
        *,
        has_left: bool,
    ) -> None:
        """
        Log and count the end of a request.

        Parameters
        ----------
        exchange : Exchange
            The request.
        result : CompleteResponse, StreamForwarded, Failure or None
            Its result; None if there is none.
        has_left : bool
            Whether the caller has closed the connection.
        """
        now = self._timers.now()
        outcome = "served"
        if has_left:
            outcome = "caller left"
        elif isinstance(result, Failure):
            outcome = str(result)
        elif isinstance(result, CompleteResponse):
            outcome = f"status {result.status}"
        self._count(exchange, result, has_left=has_left)
        first_s = exchange.first_event_at
        stages_s = exchange.stages_done_at
        _log.info(
            "request ended",
            extra={
                "request_id": exchange.info.request_id,
                "route": exchange.route.name,
                "account": exchange.account_name,
                "rank": exchange.priority,
                "outcome": outcome,
                "upstream": exchange.last_upstream,
                "upstream_version": self._find_version(exchange.last_upstream),
                "resumed_id": exchange.info.resumed_id,
                "resume_after": exchange.info.resume_after,
                "sends": exchange.sends,
                "stages_ms": (
                    None if stages_s is None else round((stages_s - exchange.started) * 1e3)
                ),
                "first_ms": None if first_s is None else round((first_s - exchange.started) * 1e3),
                "events": exchange.splitter.count,
                "waited_ms": round(exchange.waited_s * 1000),
                "took_ms": round((now - exchange.started) * 1000),
                "left_ms": round((exchange.deadline - now) * 1000),
                "version": self._fleet_state.version(),
            },
        )

    def _find_version(self, upstream: str) -> str:
        found = self._fleet_state.upstreams.get(upstream)
        return found.version if found is not None else ""

    def _count(
        self,
        exchange: Exchange,
        result: CompleteResponse | StreamForwarded | Failure | None,
        *,
        has_left: bool,
    ) -> None:
        reason = "served"
        if has_left:
            reason = "caller_left"
        elif isinstance(result, Failure):
            reason = result.reason.value
        elif isinstance(result, CompleteResponse) and result.is_error:
            reason = "upstream_status"
        latency_s = None
        if exchange.first_event_at is not None:
            latency_s = exchange.first_event_at - exchange.started
        elif isinstance(result, CompleteResponse):
            latency_s = self._timers.now() - exchange.started
        self._metrics.count_request(exchange.route.name, reason, latency_s)

    def record_unanswered(self, request_id: str, cause: EndReason) -> None:
        """
        Count a whole request that ends without a complete answer; log it unless its caller left.

        Parameters
        ----------
        request_id : str
            Id of the request.
        cause : EndReason
            Why its connection ends.
        """
        self._metrics.count_unanswered(cause.value)
        if cause is EndReason.CALLER_LEFT:
            return
        _log.info(
            "request ended without an answer",
            extra={
                "request_id": request_id,
                "cause": cause.value,
                "version": self._fleet_state.version(),
            },
        )

    def record_broken(self, exchange: Exchange, failure: Failure | None) -> None:
        """
        Count and log a response that is broken off.

        Parameters
        ----------
        exchange : Exchange
            The request.
        failure : Failure or None
            Why; None if the connection can't carry a response any more.
        """
        reason = failure.reason.value if failure is not None else "connection"
        cause = exchange.owed.given_up_for
        given_up_for = cause.value if cause is not None else ""
        self._metrics.count_broken_response(reason)
        if given_up_for:
            self._metrics.count_given_up_response(given_up_for)
        routes = self._fleet_state.routes
        _log.info(
            "response broken off",
            extra={
                "request_id": exchange.info.request_id,
                "reason": reason,
                "given_up_for": given_up_for,
                "failure": str(failure or ""),
                "events": exchange.splitter.count,
                "left_ms": round((exchange.deadline - self._timers.now()) * 1000),
                # A new configuration may have taken away what the request needed.
                "is_route_current": routes is not None and exchange.route in routes.table.routes,
                "left_upstreams": exchange.left,
            },
        )

    def record_stop_refusal(self) -> None:
        """Count a request that is refused because the host stops."""
        self.stop_refusals += 1
        self._metrics.count_stop_refusal()

    def record_connection_end(
        self, reason: EndReason, dropped_bytes: int, *, was_reset: bool
    ) -> None:
        """
        Count the end of a caller's connection; log it if data was dropped.

        Parameters
        ----------
        reason : EndReason
            Why it was closed.
        dropped_bytes : int
            Bytes that were received and not served.
        was_reset : bool
            Whether it was closed with data that was not read.
        """
        self.connection_ends += 1
        self.connections_reset += was_reset
        self._metrics.count_connection_end(reason.value, dropped_bytes, was_reset=was_reset)
        if dropped_bytes:
            _log.info(
                "data of a caller was dropped at the end of its connection",
                extra={
                    "cause": reason.value,
                    "bytes": dropped_bytes,
                    "version": self._fleet_state.version(),
                },
            )


def make_deadline_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request whose deadline has passed."""
    return _make_failure(exchange, Reason.DEADLINE, "the time of the request is up")


def make_stop_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request that the stop of this host ends."""
    return _make_failure(exchange, Reason.STOPPING, "the host stops")


def make_memory_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request whose response was given up for want of memory."""
    return _make_failure(exchange, Reason.NO_MEMORY, "the host has no memory left")


def make_error_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request in which an unexpected exception was raised."""
    return _make_failure(exchange, Reason.INTERNAL, "the host failed")


def _make_failure(exchange: Exchange, reason: Reason, detail: str) -> Failure:
    return Failure(
        reason=reason,
        run_state=RunState.MAY_HAVE_RUN if exchange.may_have_run else RunState.NOT_RUN,
        step="relay",
        peer=exchange.last_upstream,
        detail=detail,
    )

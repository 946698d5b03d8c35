"""Serve callers' connections and forward each request through its stages to an upstream."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory.requests import RequestMemory, make_default_request_memory
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.caller_connection import CallerConnection, CallerRequest, Closed, Refusal
from marigoldtrail.relay.connection_end import EndReason
from marigoldtrail.relay.dispatch import Dispatcher
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.idle_wait import IdleLimits
from marigoldtrail.relay.owed_response import GiveUpCause
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.request_end import (
    RequestRecorder,
    make_deadline_failure,
    make_error_failure,
    make_memory_failure,
    make_stop_failure,
)
from marigoldtrail.relay.request_router import MAX_FLEET_STATE_AGE_S, RequestRouter
from marigoldtrail.relay.responses import CompleteResponse, StreamForwarded
from marigoldtrail.relay.stop_admission import StopAdmission
from marigoldtrail.relay.types import HeaderCodec, RequestInfo
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Limits
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers, run_guarded

RETRY_AFTER_S = 0.5
PRUNE_INTERVAL_S = 2.0
DRAIN_POLL_INTERVAL_S = 0.05
# Time for the answers to requests that are still in progress when a drain must end.
LAST_ANSWERS_S = 0.3

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode


class StopCounts(msgspec.Struct, kw_only=True, frozen=True):
    """
    Counts of a relay while its host stops.

    Parameters
    ----------
    connections, requests : int
        Open connections, and requests that are being read or served.
    closed, reset : int
        Connections that were closed, and those of them that were reset, since the start.
    refused : int
        Requests that were refused because the host stops.
    """

    connections: int
    requests: int
    closed: int
    reset: int
    refused: int


class Relay:
    """
    Forwards the requests of callers to upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    fleet_state : FleetState
        Configuration and upstreams of the fleet.
    monitor : UpstreamMonitor
        Observed state of the upstreams.
    pool : ConnectionPool
        Connections to the upstreams.
    dispatcher : Dispatcher
        Dispatches requests to upstreams.
    header_codec : HeaderCodec
        Converts headers.
    timers : Timers
        Clock.
    rng : random.Random
        Jitter for the retry times sent to callers.
    metrics : PrometheusMetrics
        Counts requests.
    memory : RequestMemory or None
        Memory of the requests of all callers; None for the default.
    """

    __slots__ = (
        "_host",
        "_fleet_state",
        "_monitor",
        "_pool",
        "_header_codec",
        "_timers",
        "_rng",
        "_recorder",
        "_dispatcher",
        "_reading",
        "_idle_limits",
        "_stop",
        "_exchanges",
        "_router",
        "_memory",
        "connections",
        "requests",
    )

    def __init__(
        self,
        *,
        host: str,
        fleet_state: FleetState,
        monitor: UpstreamMonitor,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        header_codec: HeaderCodec,
        timers: Timers,
        rng: random.Random,
        metrics: PrometheusMetrics,
        memory: RequestMemory | None = None,
    ) -> None:
        self._host = host
        self._fleet_state = fleet_state
        self._monitor = monitor
        self._pool = pool
        self._header_codec = header_codec
        self._timers = timers
        self._rng = rng
        self._recorder = RequestRecorder(fleet_state=fleet_state, timers=timers, metrics=metrics)
        self._dispatcher = dispatcher
        # Connections that wait for a request or are reading one.
        self._reading: set[CallerConnection] = set()
        self._idle_limits = IdleLimits(get_limit_s=lambda: self.limits().idle_timeout_s)
        self._stop = StopAdmission()
        self._exchanges: set[Exchange] = set()
        self._router = RequestRouter(fleet_state=fleet_state, stop=self._stop)
        self._memory = memory or make_default_request_memory()
        self.connections = 0
        self.requests = 0

    def limits(self) -> Limits:
        """Return the current limits for callers."""
        routes = self._fleet_state.routes
        return routes.table.limits if routes is not None else Limits()

    async def run(self) -> None:
        """Follow the configuration and the list of upstreams until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_idle_limit)
            nursery.start_soon(self._prune_regularly)
            nursery.start_soon(self._dispatcher.follow_routes)

    async def _follow_idle_limit(self) -> None:
        while True:
            self._idle_limits.update(self._timers.now())
            await self._fleet_state.changed.wait()

    def _find_idle_limit_s(self, since: float) -> float:
        return self._idle_limits.find_longest_s(since=since, now=self._timers.now())

    async def _prune_regularly(self) -> None:
        """Remove connections and records of upstreams that are gone; run until cancelled."""
        async for _ in self._timers.subscribe("trim", PRUNE_INTERVAL_S):
            await run_guarded(self._prune)

    async def _prune(self) -> None:
        names = set(self._fleet_state.upstreams)
        if self._fleet_state.age_s() < MAX_FLEET_STATE_AGE_S:
            await self._pool.close_except(names)
            self._monitor.remove_except(names)
        self._router.prune()
        await self._pool.close_expired()

    def start_draining(self, ends_at: float = float("inf")) -> None:
        """
        Let each response announce that its connection is closed; refuse what can't be finished.

        Parameters
        ----------
        ends_at : float
            Monotonic time in seconds at which requests in progress are cut.
        """
        self._stop.start(now=self._timers.now(), ends_at=ends_at)
        for exchange in self._exchanges:
            exchange.conn.announces_close = True

    def close_idle(self) -> None:
        """Close connections on which no part of a request has arrived."""
        for conn in self._reading:
            conn.close_if_idle()

    async def drain(self, latest_end: float) -> None:
        """
        Serve what has arrived, answer with failure what takes too long, and close all connections.

        Parameters
        ----------
        latest_end : float
            Monotonic time in seconds after which requests in progress fail.
        """
        await self._close_until(latest_end)
        self._stop.end()
        for exchange in self._exchanges:
            exchange.scope.cancel()
        for conn in self._reading:
            conn.refuse_incomplete()
        await self._close_until(latest_end + LAST_ANSWERS_S)

    async def _close_until(self, end: float) -> None:
        """Close connections as they become idle, until none is left or a time has come."""
        self.close_idle()
        while self.connections and self._timers.now() < end:
            await self._timers.sleep(DRAIN_POLL_INTERVAL_S)
            self.close_idle()

    def count_ends(self) -> StopCounts:
        """Return the counts of the stop so far."""
        recorder = self._recorder
        return StopCounts(
            connections=self.connections,
            requests=self.active_requests,
            closed=recorder.connection_ends,
            reset=recorder.connections_reset,
            refused=recorder.stop_refusals,
        )

    @property
    def active_requests(self) -> int:
        """Number of requests that are being read or served."""
        return self.requests + sum(conn.is_receiving for conn in self._reading)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """
        Serve one connection of a caller until it closes.

        Parameters
        ----------
        stream : trio.abc.Stream
            The accepted stream.
        """
        conn = CallerConnection(
            stream=stream,
            limits=self.limits,
            find_idle_limit_s=self._find_idle_limit_s,
            memory=self._memory,
        )
        self.connections += 1
        reason: EndReason | None = None
        is_forced = True
        try:
            while reason is None:
                reason = await self._serve_next(conn)
            # Nothing is sent after an idle connection's last response, so no byte of a request that
            # crosses the close may be read.
            is_forced = reason in (EndReason.IDLE, EndReason.IDLE_AT_STOP)
        except* STREAM_ERRORS as group:
            reason = EndReason.CALLER_FAILED
            _log.debug("caller connection failed: %s", group.exceptions[0])
        except* Exception as group:
            reason = EndReason.HANDLER_ERROR
            log_exception(group)
        finally:
            dropped = 0
            try:
                dropped = await conn.aclose(is_forced=is_forced)
            finally:
                self.connections -= 1
                self._recorder.record_connection_end(
                    reason or EndReason.HOST_STOPPED, dropped, was_reset=conn.was_reset
                )

    async def _serve_next(self, conn: CallerConnection) -> EndReason | None:
        """Serve the next request; return why the connection must be closed."""
        self._reading.add(conn)
        try:
            request = await conn.read_request()
        finally:
            self._reading.discard(conn)
        if isinstance(request, Closed):
            return request.value
        if isinstance(request, Refusal):
            self._count_stop_refusal(request)
            await self._send_error(conn, request.status, request.detail, is_last=True)
            return EndReason.REFUSAL
        reason = await self._serve_recorded(conn, request)
        # The caller may send its next request if the last response did not announce the close.
        if reason is None and not conn.prepare_next_request():
            return EndReason.LAST_RESPONSE
        return reason

    def _count_stop_refusal(self, refusal: Refusal) -> None:
        if refusal.status == 503 and self._stop.is_stopping:
            self._recorder.record_stop_refusal()

    async def _serve_recorded(
        self, conn: CallerConnection, request: CallerRequest
    ) -> EndReason | None:
        """Serve a request; record and return why it got no complete response, if so."""
        info = self._header_codec.parse_request(request.headers)
        reason: EndReason | None = EndReason.HOST_STOPPED
        self.requests += 1
        try:
            reason = await self._serve_request(conn, request, info)
        except Exception as exc:
            reason = EndReason.HANDLER_ERROR
            reason = await self._handle_error(conn, exc)
        finally:
            self.requests -= 1
            if reason is not None:
                self._recorder.record_unanswered(info.request_id, reason)
        return reason

    async def _handle_error(self, conn: CallerConnection, exc: Exception) -> EndReason | None:
        """Respond after an unexpected exception if that is possible; else return why not."""
        if conn.is_broken:
            _log.debug("caller connection failed: %r", exc)
            return EndReason.CALLER_FAILED
        log_exception(exc)
        if conn.has_started:
            conn.is_broken = True
            return EndReason.HANDLER_ERROR
        await self._send_error(conn, 502, "the host failed", is_last=True)
        return None

    async def _serve_request(
        self, conn: CallerConnection, request: CallerRequest, info: RequestInfo
    ) -> EndReason | None:
        """Respond to a request; return why it got no complete response, if so."""
        started = self._timers.now()
        routed = self._route(conn, request, info, started)
        if isinstance(routed, Refusal):
            self._count_stop_refusal(routed)
            _log.info(
                "request refused",
                extra={
                    "request_id": info.request_id,
                    "status": routed.status,
                    "reason": routed.detail,
                    "picture_age_ms": round(min(self._fleet_state.age_s(), 1e6) * 1000),
                },
            )
            await self._send_error(
                conn, routed.status, routed.detail, retry_after_s=routed.retry_after_s
            )
            return None
        try:
            return await self._answer(routed)
        finally:
            routed.held.close()

    async def _answer(self, routed: Exchange) -> EndReason | None:
        """Dispatch a request and send its response; return why that is not complete, if so."""
        result, has_left = await self._dispatch(routed)
        if result is None and has_left:
            self._dispatcher.handle_leave(routed)
        elif result is None:
            result = self._make_cancelled_failure(routed)
        if isinstance(result, StreamForwarded | CompleteResponse):
            self._stop.record_duration(routed.route.name, self._timers.now() - routed.started)
        self._recorder.record(routed, result, has_left=has_left)
        if result is None:
            routed.conn.is_broken = True
            return EndReason.CALLER_LEFT
        return await self._send_result(routed, result)

    def _make_cancelled_failure(self, exchange: Exchange) -> Failure:
        """Return the failure of a request that the end of a stop, or its deadline, cancelled."""
        if self._stop.has_ended:
            return make_stop_failure(exchange)
        self._dispatcher.handle_deadline(exchange)
        return make_deadline_failure(exchange)

    async def _dispatch(
        self, exchange: Exchange
    ) -> tuple[CompleteResponse | StreamForwarded | Failure | None, bool]:
        """Return the result, None if it was cancelled, and whether the caller has left."""
        result: CompleteResponse | StreamForwarded | Failure | None = None
        has_left = False

        async def watch(scope: trio.CancelScope) -> None:
            nonlocal has_left
            await exchange.conn.wait_closed()
            has_left = True
            scope.cancel()

        exchange.conn.announces_close = self._stop.is_stopping
        self._exchanges.add(exchange)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch, nursery.cancel_scope)
                with exchange.scope:
                    result = await self._dispatcher.run(exchange)
                nursery.cancel_scope.cancel()
        except Exception as exc:
            # Errors of other connections than the caller's are failures of the request.
            if exchange.conn.is_broken:
                raise
            log_exception(exc)
            result = make_error_failure(exchange)
        finally:
            self._exchanges.discard(exchange)
            self._dispatcher.finish(exchange)
        return result, has_left

    def _route(
        self, conn: CallerConnection, request: CallerRequest, info: RequestInfo, started: float
    ) -> Exchange | Refusal:
        if self._stop.has_ended:
            return Refusal(status=503, detail="the host stops")
        try:
            return self._router.make_exchange(conn, request, info, started)
        except Exception as exc:
            log_exception(exc)
            return Refusal(status=503, detail="the request could not be routed")

    async def _send_result(
        self, exchange: Exchange, result: CompleteResponse | StreamForwarded | Failure
    ) -> EndReason | None:
        conn = exchange.conn
        if isinstance(result, StreamForwarded):
            return None
        failure = result if isinstance(result, Failure) else None
        if conn.has_started:
            # Close the connection so that the caller detects the incomplete stream.
            conn.is_broken = True
        elif isinstance(result, Failure):
            await self._send_failure(conn, result)
        elif exchange.held.send_scope.cancel_called:
            await self._send_failure(conn, make_memory_failure(exchange))
        else:
            await self._send_complete(exchange, result)
        if not conn.is_broken:
            return None
        self._recorder.record_broken(exchange, failure)
        return EndReason.BROKEN_RESPONSE

    async def _send_complete(self, exchange: Exchange, result: CompleteResponse) -> None:
        """Send a response unless its memory is needed while its caller reads nothing."""
        conn = exchange.conn
        headers = [*result.headers, *self._make_connection_headers()]
        with exchange.held.begin_send() as scope:
            await conn.send_response(
                result.status, headers, result.body, on_sent=exchange.held.note_sent
            )
        if scope.cancelled_caught:
            exchange.owed.give_up(GiveUpCause.MEMORY)
            conn.is_broken = True

    async def _send_failure(self, conn: CallerConnection, result: Failure) -> None:
        status = 503 if result.run_state is RunState.NOT_RUN else 502
        if status == 502 and result.reason is Reason.DEADLINE:
            status = 504
        may_return = status == 503 or result.reason is Reason.VIEW_NOT_CURRENT
        retry_after_s = result.retry_after_s if may_return else 0.0
        await self._send_error(conn, status, str(result), retry_after_s=retry_after_s)

    async def _send_error(
        self,
        conn: CallerConnection,
        status: int,
        detail: str,
        *,
        is_last: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        headers = [(b"content-type", b"application/json"), *self._make_connection_headers(is_last)]
        if status in (429, 503) or retry_after_s:
            pause_s = retry_after_s or RETRY_AFTER_S * self._rng.uniform(0.5, 1.5)
            headers.append((b"retry-after", f"{pause_s:.2f}".encode()))
        await conn.send_response(status, headers, _encode({"error": detail, "host": self._host}))

    def _make_connection_headers(self, is_last: bool = False) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if is_last or self._stop.is_stopping else []


def log_exception(exc: Exception) -> None:
    """
    Log an unexpected exception in a request.

    It must not end the process and with it all other requests.
    """
    _log.error("request handler raised an exception", exc_info=exc)

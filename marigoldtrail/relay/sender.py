"""Send a request to one upstream and forward the response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.quarantine import PromptAttempt, PromptGuard
from marigoldtrail.reachability import UpstreamContact
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.idle_wait import ARRIVED_CHECK_S
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.prefill import PrefillReservation
from marigoldtrail.relay.request_mover import RequestMover
from marigoldtrail.relay.responses import (
    NOT_RUN_STATUSES,
    CompleteResponse,
    StreamForwarded,
    make_refusal_failure,
    read_body,
)
from marigoldtrail.relay.stall_timer import StallTimer
from marigoldtrail.relay.types import Forwarding, HeaderCodec
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

HTTP_SUCCESS = range(200, 300)


class Sender:
    """
    Sends requests to upstreams.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the upstreams.
    contact : UpstreamContact
        Counts the requests that wait for upstreams.
    monitor : UpstreamMonitor
        Records the outcomes.
    prompts : PromptGuard
        Holds off requests that crash upstreams.
    header_codec : HeaderCodec
        Converts headers.
    timers : Timers
        Clock.
    admit_stream : callable
        Waits until the events of an upstream may be forwarded; returns why they may not.
    on_first_event : callable
        Called when the first event of a stream is received.
    mover : RequestMover
        Decides whether a stalled stream moves to another upstream.
    """

    __slots__ = (
        "_pool",
        "_contact",
        "_monitor",
        "_prompts",
        "_header_codec",
        "_timers",
        "_admit_stream",
        "_on_first_event",
        "_mover",
    )

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        contact: UpstreamContact,
        monitor: UpstreamMonitor,
        prompts: PromptGuard,
        header_codec: HeaderCodec,
        timers: Timers,
        admit_stream: Callable[[Exchange, Upstream], Awaitable[Failure | None]],
        on_first_event: Callable[[Exchange, Upstream], None],
        mover: RequestMover,
    ) -> None:
        self._pool = pool
        self._contact = contact
        self._monitor = monitor
        self._prompts = prompts
        self._header_codec = header_codec
        self._timers = timers
        self._admit_stream = admit_stream
        self._on_first_event = on_first_event
        self._mover = mover

    async def send(
        self, exchange: Exchange, upstream: Upstream, *, prefill_tokens: int
    ) -> CompleteResponse | StreamForwarded | Failure:
        """
        Send a request to an upstream.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.
        prefill_tokens : int
            Prompt tokens that the upstream must prefill.

        Returns
        -------
        CompleteResponse, StreamForwarded or Failure
            The response, the note that a stream was forwarded, or the failure. A failure is
            ``NOT_RUN`` only if the upstream has not run the request.
        """
        conn = await self._pool.acquire(
            upstream,
            may_repeat=exchange.route.is_idempotent,
            request_id=exchange.info.request_id,
        )
        if isinstance(conn, Failure):
            self._monitor.record_failure(upstream.name, is_dead=True)
            return conn
        exchange.sends += 1
        self._monitor.start_request(upstream.name, prefill_tokens)
        self._contact.start_request()
        reservation = PrefillReservation(
            monitor=self._monitor, name=upstream.name, tokens=prefill_tokens
        )
        is_done = False
        try:
            result = await self._run_attempt(exchange, upstream, conn, reservation)
            is_done = not isinstance(result, Failure)
            return result
        finally:
            reservation.release()
            self._contact.finish_request()
            self._monitor.finish_request(upstream.name)
            with trio.CancelScope(shield=True):
                if is_done or conn.is_reusable():
                    await self._pool.release(upstream.name, conn)
                else:
                    # Closing the connection makes the upstream stop working on the request.
                    await conn.aclose()

    async def _run_attempt(
        self,
        exchange: Exchange,
        upstream: Upstream,
        conn: UpstreamConnection,
        reservation: PrefillReservation,
    ) -> CompleteResponse | StreamForwarded | Failure:
        started = self._timers.now()
        forwarding = Forwarding(
            upstream=upstream.name,
            left_s=max(0.0, exchange.deadline - started),
            account=exchange.account_name,
            removes_key=exchange.removes_key,
            priority=exchange.priority if exchange.service.engine is not None else None,
            inputs=exchange.stage_run.handles if exchange.stage_run is not None else (),
            resume_after=exchange.splitter.last_id,
        )
        request = exchange.request
        headers = self._header_codec.build_request_headers(request.headers, forwarding)
        had_not_run = not exchange.may_have_run
        exchange.start_send(upstream.name)
        exchange.runs += 1
        conn.prepare_request(
            request.method,
            request.target,
            headers,
            request.body,
            request_id=exchange.info.request_id,
        )
        attempt = self._start_prompt_attempt(exchange, upstream)
        result: CompleteResponse | StreamForwarded | Failure | None = None
        try:
            with attempt.scope:
                result = await self._exchange_messages(
                    exchange, upstream, conn, reservation, attempt
                )
        finally:
            attempt.end()
        if result is None:
            result = conn.make_failure(
                Reason.QUARANTINED, "the request was quarantined before the answer began"
            )
        record_prompt_outcome(attempt, result)
        if isinstance(result, Failure) and result.run_state is RunState.NOT_RUN:
            exchange.runs -= 1
            exchange.may_have_run = not had_not_run
        self._record_outcome(exchange, upstream, result, started)
        return result

    def _start_prompt_attempt(self, exchange: Exchange, upstream: Upstream) -> PromptAttempt:
        is_trial, exchange.has_trial_grant = exchange.has_trial_grant, False
        return PromptAttempt(
            guard=self._prompts,
            request=exchange.identity,
            parts=exchange.parts,
            upstream=upstream.name,
            is_trial=is_trial,
        )

    async def _exchange_messages(
        self,
        exchange: Exchange,
        upstream: Upstream,
        conn: UpstreamConnection,
        reservation: PrefillReservation,
        attempt: PromptAttempt,
    ) -> CompleteResponse | StreamForwarded | Failure:
        """Send the prepared request and handle the response, which may begin meanwhile."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.send_request)
            head = await conn.read_head()
            if isinstance(head, Failure):
                result: CompleteResponse | StreamForwarded | Failure = head
            else:
                result = await self._handle_response(
                    exchange, upstream, conn, head, reservation, attempt
                )
            nursery.cancel_scope.cancel()
        return result

    def _record_outcome(
        self,
        exchange: Exchange,
        upstream: Upstream,
        result: CompleteResponse | StreamForwarded | Failure,
        started: float,
    ) -> None:
        name = upstream.name
        if isinstance(result, StreamForwarded):
            self._monitor.record_success(name)
        elif isinstance(result, CompleteResponse):
            if result.is_error:
                self._monitor.record_failure(name, is_dead=False)
            else:
                self._monitor.record_success(name, self._timers.now() - started)
        elif result.reason is Reason.OVERLOADED:
            self._monitor.record_failure(name, is_dead=False)
            self._monitor.start_pause(name, result.retry_after_s)
        elif result.reason not in (Reason.NOT_FOUND, Reason.QUARANTINED):
            self._monitor.record_failure(name, is_dead=True)

    async def _handle_response(
        self,
        exchange: Exchange,
        upstream: Upstream,
        conn: UpstreamConnection,
        head: ResponseHead,
        reservation: PrefillReservation,
        attempt: PromptAttempt,
    ) -> CompleteResponse | StreamForwarded | Failure:
        info = head.info
        if info.is_misdirected or info.is_refusal:
            body = await read_body(conn)
            if isinstance(body, Failure):
                return body
            return make_refusal_failure(exchange.last_upstream, head)
        is_ok = head.status in HTTP_SUCCESS
        if info.is_encoded or not info.is_signed:
            return conn.make_failure(
                Reason.BAD_ANSWER, f"an unsigned answer with status {head.status}"
            )
        if head.status in NOT_RUN_STATUSES and not exchange.route.is_idempotent:
            # The upstream does not state that it did not run the request.
            return conn.make_failure(
                Reason.BAD_ANSWER, f"status {head.status} of a request that may have run"
            )
        if exchange.is_stream and is_ok:
            return await self._forward_stream(exchange, upstream, conn, head, reservation, attempt)
        body = await read_body(conn)
        if isinstance(body, Failure):
            return body
        return CompleteResponse(
            status=head.status,
            headers=self._header_codec.build_response_headers(head.headers),
            body=body,
        )

    async def _forward_stream(
        self,
        exchange: Exchange,
        upstream: Upstream,
        conn: UpstreamConnection,
        head: ResponseHead,
        reservation: PrefillReservation,
        attempt: PromptAttempt,
    ) -> StreamForwarded | Failure:
        caller, splitter = exchange.conn, exchange.splitter
        is_admitted = False
        stall_timer = StallTimer(now=self._timers.now())
        while True:
            data = await self._read_events(exchange, conn, stall_timer)
            if isinstance(data, Failure):
                return data
            if not is_admitted:
                failure = await self._admit_stream(exchange, upstream)
                if failure is not None:
                    return failure
                is_admitted = True
            if not data:
                break
            count_before = splitter.count
            events = splitter.feed(data)
            attempt.count_events(splitter.count - count_before)
            if splitter.is_event_too_long:
                return conn.make_failure(Reason.BAD_ANSWER, "an event without end")
            if events:
                if exchange.first_event_at is None:
                    exchange.record_first_event(self._timers.now())
                    self._on_first_event(exchange, upstream)
                reservation.release()
                await self._start_response(exchange, head)
                await caller.send_body_part(events)
                # Time spent on a slow caller does not count as a stall of the upstream.
                stall_timer.note_progress(self._timers.now())
        is_within_event = splitter.is_within_event
        rest = splitter.discard_partial()
        if is_within_event:
            # An answer without length or chunks ends with its connection, also if it is incomplete.
            return conn.make_failure(Reason.DISCONNECTED, "the stream ended within an event")
        await self._start_response(exchange, head)
        if rest:
            await caller.send_body_part(rest)
        await caller.end_response()
        return StreamForwarded()

    async def _start_response(self, exchange: Exchange, head: ResponseHead) -> None:
        """Send the head to the caller, once; a stream that moves keeps that of its first events."""
        if not exchange.conn.has_started:
            headers = self._header_codec.build_response_headers(head.headers)
            await exchange.conn.start_response(head.status, headers)

    async def _read_events(
        self, exchange: Exchange, conn: UpstreamConnection, stall_timer: StallTimer
    ) -> bytes | Failure:
        """
        Read the next bytes of a stream; fail if the upstream sends no events for too long.

        Only complete events count as progress: bytes that never complete an event would otherwise
        hold the request until its deadline.
        """
        while True:
            next_check_at = stall_timer.next_check_at(exchange)
            with trio.move_on_after(max(0.0, next_check_at - self._timers.now())):
                return await conn.read_body_part()
            if self._timers.now() >= stall_timer.give_up_at(exchange):
                return conn.make_failure(Reason.TIMEOUT, "no event while its caller waits for one")
            if await self._mover.reserve(exchange, exchange.last_upstream):
                with trio.move_on_after(ARRIVED_CHECK_S):
                    data = await conn.read_body_part()
                    self._mover.cancel(exchange)
                    return data
                return conn.make_failure(Reason.TIMEOUT, "the stream has stopped")
            stall_timer.last_check_at = self._timers.now()


def record_prompt_outcome(
    attempt: PromptAttempt, result: CompleteResponse | StreamForwarded | Failure
) -> None:
    """Record whether an upstream answered a request or closed the connection before."""
    if isinstance(result, Failure):
        if result.reason is Reason.DISCONNECTED:
            attempt.record_disconnect()
    elif not (isinstance(result, CompleteResponse) and result.is_error):
        attempt.record_answer()

"""Send a request to one upstream and forward the response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.memory import MemoryAccount, MemoryBudget
from marigoldtrail.relay.buffering import (
    count_held,
    make_stream_eviction_failure,
    read_held_body,
    run_stream,
)
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.request_mover import RequestMover
from marigoldtrail.relay.responses import (
    NOT_RUN_STATUSES,
    CompleteResponse,
    StreamForwarded,
    discard_body,
    is_event_stream,
)
from marigoldtrail.relay.stall_watch import StallWatch
from marigoldtrail.relay.transmission import Transmission, Transmitter, find_fault
from marigoldtrail.relay.types import HeaderCodec
from marigoldtrail.relay.upstream_connection import ResponseHead
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers


class Sender:
    """
    Sends requests to upstreams and forwards their responses.

    Parameters
    ----------
    transmitter : Transmitter
        Sends and accounts for the requests.
    header_codec : HeaderCodec
        Converts headers.
    timers : Timers
        Clock.
    admit_stream : callable
        Waits until the events of an upstream may be forwarded; returns why they may not.
    on_first_event : callable
        Called when the first event of a stream is received.
    note_events : callable
        Called with the upstream of each received part of a stream that holds events.
    mover : RequestMover
        Moves a stalled stream to another upstream.
    memory : MemoryBudget
        Memory for responses.
    """

    __slots__ = (
        "_transmitter",
        "_header_codec",
        "_timers",
        "_admit_stream",
        "_on_first_event",
        "_note_events",
        "_mover",
        "_memory",
    )

    def __init__(
        self,
        *,
        transmitter: Transmitter,
        header_codec: HeaderCodec,
        timers: Timers,
        admit_stream: Callable[[Exchange, Upstream], Awaitable[Failure | None]],
        on_first_event: Callable[[Exchange], None],
        note_events: Callable[[Exchange, Upstream], None],
        mover: RequestMover,
        memory: MemoryBudget,
    ) -> None:
        self._transmitter = transmitter
        self._header_codec = header_codec
        self._timers = timers
        self._admit_stream = admit_stream
        self._on_first_event = on_first_event
        self._note_events = note_events
        self._mover = mover
        self._memory = memory

    async def send(
        self, exchange: Exchange, upstream: Upstream, *, taken: Transmission | None = None
    ) -> CompleteResponse | StreamForwarded | Failure:
        """
        Send a request to an upstream.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.
        taken : Transmission or None
            The transmission if the upstream has taken the request already.

        Returns
        -------
        CompleteResponse, StreamForwarded or Failure
            The response, the note that a stream was forwarded, or the failure. A failure is
            ``NOT_RUN`` only if the upstream has not run the request.
        """
        tx = taken or await self._transmitter.open(exchange, upstream)
        if isinstance(tx, Failure):
            return tx
        try:
            return await self._run_attempt(exchange, tx)
        finally:
            await self._transmitter.close(tx)

    async def _run_attempt(
        self, exchange: Exchange, tx: Transmission
    ) -> CompleteResponse | StreamForwarded | Failure:
        exchange.start_response_of(tx.upstream.name)
        result: CompleteResponse | StreamForwarded | Failure | None = None
        with tx.attempt.scope:
            result = await self._exchange_messages(exchange, tx)
        if result is None:
            result = tx.conn.make_failure(
                Reason.QUARANTINED, "the request was quarantined before the answer began"
            )
        self._transmitter.record(exchange, tx, result)
        return result

    async def _exchange_messages(
        self, exchange: Exchange, tx: Transmission
    ) -> CompleteResponse | StreamForwarded | Failure:
        """Send the prepared request and handle the response, which may begin meanwhile."""
        async with trio.open_nursery() as nursery:
            if not tx.conn.is_sent:
                nursery.start_soon(tx.conn.send_request)
            head = tx.head if tx.head is not None else await tx.conn.read_head()
            if isinstance(head, Failure):
                result: CompleteResponse | StreamForwarded | Failure = head
            else:
                result = await self._handle_response(exchange, tx, head)
            nursery.cancel_scope.cancel()
        return result

    async def _handle_response(
        self, exchange: Exchange, tx: Transmission, head: ResponseHead
    ) -> CompleteResponse | StreamForwarded | Failure:
        fault = find_fault(tx, head)
        if fault is not None:
            if fault.reason is Reason.BAD_ANSWER:
                return fault
            await discard_body(tx.conn)
            return fault
        if head.status in NOT_RUN_STATUSES and not exchange.route.is_idempotent:
            # The upstream does not state that it did not run the request.
            return tx.conn.make_failure(
                Reason.BAD_ANSWER, f"status {head.status} of a request that may have run"
            )
        if exchange.is_stream and is_event_stream(head):
            return await self._forward_stream(exchange, tx, head)
        if exchange.conn.has_started:
            detail = f"status {head.status}, or no events, in place of the rest of a stream"
            return tx.conn.make_failure(Reason.BAD_ANSWER, detail)
        body = await read_held_body(self._memory, tx.conn, exchange.held)
        if isinstance(body, Failure):
            return body
        return CompleteResponse(
            status=head.status,
            headers=self._header_codec.build_response_headers(head.headers),
            body=body,
        )

    async def _forward_stream(
        self, exchange: Exchange, tx: Transmission, head: ResponseHead
    ) -> StreamForwarded | Failure:
        """Forward a stream, and meanwhile look for another upstream whenever it stalls."""
        watch = StallWatch(
            exchange=exchange,
            upstream=tx.upstream.name,
            mover=self._mover,
            timers=self._timers,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            result = await run_stream(
                self._memory,
                tx.conn,
                exchange.owed,
                lambda account: self._forward_events(exchange, tx, head, watch, account),
            )
            nursery.cancel_scope.cancel()
        return result

    async def _forward_events(
        self,
        exchange: Exchange,
        tx: Transmission,
        head: ResponseHead,
        watch: StallWatch,
        account: MemoryAccount,
    ) -> StreamForwarded | Failure:
        caller, splitter = exchange.conn, exchange.splitter
        is_admitted = False
        while True:
            data = await watch.read(tx.conn)
            if isinstance(data, Failure):
                return data
            if not is_admitted:
                failure = await self._admit_stream(exchange, tx.upstream)
                if failure is not None:
                    return failure
                is_admitted = True
            if not data:
                break
            count_before = splitter.count
            events = splitter.feed(data)
            tx.attempt.count_events(splitter.count - count_before)
            if splitter.is_event_too_long:
                return tx.conn.make_failure(Reason.BAD_ANSWER, "an event without end")
            if not await count_held(account, splitter.held_bytes + len(events)):
                return make_stream_eviction_failure(tx.conn)
            if events:
                if exchange.first_event_at is None:
                    exchange.record_first_event(self._timers.now())
                    self._on_first_event(exchange)
                self._note_events(exchange, tx.upstream)
                tx.prefill.release()
                await self._start_response(exchange, head)
                await caller.send_body_part(events)
                # Time spent on a slow caller does not count as a stall of the upstream.
                watch.note_progress()
        is_within_event = splitter.is_within_event
        rest = splitter.discard_partial()
        if is_within_event:
            # An answer without length or chunks ends with its connection, also if it is incomplete.
            return tx.conn.make_failure(Reason.DISCONNECTED, "the stream ended within an event")
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

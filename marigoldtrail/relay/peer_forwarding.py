"""Forward requests through another entry while this host reaches no upstream."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryAccount, MemoryBudget
from marigoldtrail.net import Address, Network
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.buffering import (
    count_held,
    make_stream_eviction_failure,
    read_held_body,
    run_stream,
)
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.responses import (
    NOT_RUN_STATUSES,
    CompleteResponse,
    StreamForwarded,
    is_event_stream,
)
from marigoldtrail.relay.types import HeaderCodec
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection
from marigoldtrail.schema.generated.registry import EntryList
from marigoldtrail.timers import Timers

CONNECT_TIMEOUT_S = 0.3
MAX_CONNECTS = 2
# The list of entries is read again after this time, and not used after the second one.
LIST_INTERVAL_S = 1.0
MAX_LIST_AGE_S = 5.0
# A caller may try another entry at once.
RETRY_AFTER_S = 0.05
# No entry reaches an upstream, which each of them tries again after this time. Callers come back
# only a few times.
NO_ENTRY_RETRY_AFTER_S = 0.5
# Gives a configuration time to reach all entries, since callers come back only a few times.
DENIED_RETRY_AFTER_S = 0.5

# Asks the leader for the entries that reach upstreams.
ListEntriesFn = Callable[[], Awaitable[EntryList | Failure]]

_log = logging.getLogger(__name__)


class PeerForwarder:
    """
    Forwards requests to entries that reach upstreams.

    The other entry treats them like requests of callers: its limits, budgets and records count
    them once. It forwards none of them again. Each request is given to at most one entry, on a
    connection of its own, so that no answer can belong to another one.

    Parameters
    ----------
    host : str
        Name of this host.
    network : Network
        Opens connections.
    header_codec : HeaderCodec
        Converts headers.
    list_entries : callable
        Asks the leader for the entries that reach upstreams.
    timers : Timers
        Clock.
    rng : random.Random
        Chooses among the entries.
    memory : MemoryBudget
        Memory for responses.
    """

    __slots__ = (
        "_host",
        "_network",
        "_header_codec",
        "_list_entries",
        "_timers",
        "_rng",
        "_addresses",
        "_listed_at",
        "_tried_at",
        "_list_lock",
        "_memory",
    )

    def __init__(
        self,
        *,
        host: str,
        network: Network,
        header_codec: HeaderCodec,
        list_entries: ListEntriesFn,
        timers: Timers,
        rng: random.Random,
        memory: MemoryBudget,
    ) -> None:
        self._host = host
        self._network = network
        self._header_codec = header_codec
        self._list_entries = list_entries
        self._timers = timers
        self._rng = rng
        self._addresses: list[str] = []
        self._listed_at = float("-inf")
        self._tried_at = float("-inf")
        self._list_lock = trio.Lock()
        self._memory = memory

    async def forward(self, exchange: Exchange) -> CompleteResponse | StreamForwarded | Failure:
        """
        Forward a request and its response.

        Parameters
        ----------
        exchange : Exchange
            The request; nothing of its response was sent yet.

        Returns
        -------
        CompleteResponse, StreamForwarded or Failure
            The response of the other entry, which may be a refusal; a failure is ``NOT_RUN`` only
            if no entry got the request.
        """
        addresses = list(await self._get_addresses())
        self._rng.shuffle(addresses)
        for address in addresses[:MAX_CONNECTS]:
            conn = await self._connect(address)
            if conn is None:
                continue
            try:
                return await self._exchange_messages(exchange, conn, address)
            finally:
                await conn.aclose()
        return make_unforwarded_failure(exchange, is_alone=self._knows_no_entry())

    async def _get_addresses(self) -> list[str]:
        async with self._list_lock:
            now = self._timers.now()
            if now >= self._tried_at + LIST_INTERVAL_S:
                self._tried_at = now
                reply = await self._list_entries()
                if not isinstance(reply, Failure):
                    self._addresses = reply.addresses
                    self._listed_at = now
        is_current = self._timers.now() < self._listed_at + MAX_LIST_AGE_S
        return self._addresses if is_current else []

    def _knows_no_entry(self) -> bool:
        """Return whether the leader says that no other entry reaches an upstream."""
        return not self._addresses and self._timers.now() < self._listed_at + MAX_LIST_AGE_S

    async def _connect(self, address: str) -> UpstreamConnection | None:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await self._network.connect(Address.parse(address))
                return UpstreamConnection(
                    stream=stream, upstream=address, header_codec=self._header_codec
                )
            except STREAM_ERRORS as exc:
                _log.info("entry not reached: %s", exc, extra={"address": address})
        return None

    async def _exchange_messages(
        self, exchange: Exchange, conn: UpstreamConnection, address: str
    ) -> CompleteResponse | StreamForwarded | Failure:
        request = exchange.request
        left_s = max(0.0, exchange.deadline - self._timers.now())
        headers = self._header_codec.build_forwarded_headers(request.headers, left_s, self._host)
        conn.prepare_request(request.method, request.target, headers, request.body)
        ran_before = exchange.may_have_run
        exchange.may_have_run = True
        exchange.start_response_of(address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.send_request)
            head = await conn.read_head()
            if isinstance(head, Failure):
                result: CompleteResponse | StreamForwarded | Failure = head
            elif exchange.is_stream and is_event_stream(head):
                result = await self._forward_stream(exchange, conn, head)
            else:
                result = await self._read_response(exchange, conn, head)
            nursery.cancel_scope.cancel()
        if not isinstance(head, Failure) and is_denial(head):
            exchange.may_have_run = ran_before
            return make_denied_failure(exchange, address, head.status)
        if isinstance(result, CompleteResponse) and result.status in NOT_RUN_STATUSES:
            if ran_before:
                # The promise of the other entry does not hold for an earlier attempt of this one.
                return conn.make_failure(Reason.OVERLOADED, "refused by another entry")
            exchange.may_have_run = False
        return result

    async def _read_response(
        self, exchange: Exchange, conn: UpstreamConnection, head: ResponseHead
    ) -> CompleteResponse | Failure:
        body = await read_held_body(self._memory, conn, exchange.held)
        if isinstance(body, Failure):
            return body
        headers = self._header_codec.build_response_headers(head.headers)
        return CompleteResponse(status=head.status, headers=headers, body=body)

    async def _forward_stream(
        self, exchange: Exchange, conn: UpstreamConnection, head: ResponseHead
    ) -> StreamForwarded | Failure:
        return await run_stream(
            self._memory,
            conn,
            exchange.owed,
            lambda account: self._forward_events(exchange, conn, head, account),
        )

    async def _forward_events(
        self,
        exchange: Exchange,
        conn: UpstreamConnection,
        head: ResponseHead,
        account: MemoryAccount,
    ) -> StreamForwarded | Failure:
        """Forward whole events; a connection that ends within one must not look complete."""
        caller, splitter = exchange.conn, exchange.splitter
        headers = self._header_codec.build_response_headers(head.headers)
        while True:
            data = await conn.read_body_part()
            if isinstance(data, Failure):
                return data
            events = splitter.feed(data)
            if splitter.is_event_too_long:
                return conn.make_failure(Reason.BAD_ANSWER, "an event without end")
            if not await count_held(account, splitter.held_bytes + len(events)):
                return make_stream_eviction_failure(conn)
            if not data:
                if splitter.is_within_event:
                    return conn.make_failure(
                        Reason.DISCONNECTED, "the stream ended within an event"
                    )
                events = splitter.discard_partial()
            if events and exchange.first_event_at is None:
                exchange.record_first_event(self._timers.now())
            if (events or not data) and not caller.has_started:
                await caller.start_response(head.status, headers)
            if events:
                await caller.send_body_part(events)
            if not data:
                await caller.end_response()
                return StreamForwarded()


def is_denial(head: ResponseHead) -> bool:
    """
    Return whether another entry denies a request by its configuration or limits.

    Upstreams sign their answers. Statuses that promise that a request has not run are no denials.
    """
    is_refusal = 400 <= head.status < 500 and head.status not in NOT_RUN_STATUSES
    return is_refusal and not head.info.is_signed


def make_denied_failure(exchange: Exchange, address: str, status: int) -> Failure:
    """
    Return the failure of a request that this host accepted, and another entry denied.

    One of the two has another configuration than that of the arrival. The denial is not passed on,
    since callers do not come back after it.
    """
    return Failure(
        reason=Reason.VIEW_NOT_CURRENT,
        run_state=RunState.MAY_HAVE_RUN if exchange.may_have_run else RunState.NOT_RUN,
        step="entry.forward",
        peer=address,
        detail=f"status {status} of another configuration",
        retry_after_s=DENIED_RETRY_AFTER_S,
    )


def make_unforwarded_failure(exchange: Exchange, *, is_alone: bool = False) -> Failure:
    """
    Return the failure of a request that no host can serve, or that must not be forwarded.

    Parameters
    ----------
    exchange : Exchange
        The request.
    is_alone : bool
        Whether no other entry is known to reach upstreams.

    Returns
    -------
    Failure
        ``UNREACHABLE``, with the time after which its caller may come back.
    """
    run_state = RunState.MAY_HAVE_RUN if exchange.may_have_run else RunState.NOT_RUN
    is_alone = is_alone or exchange.info.is_forwarded
    return Failure(
        reason=Reason.UNREACHABLE,
        run_state=run_state,
        step="upstream.choose",
        peer=exchange.service.name,
        detail="this host reaches no upstream",
        retry_after_s=NO_ENTRY_RETRY_AFTER_S if is_alone else RETRY_AFTER_S,
    )

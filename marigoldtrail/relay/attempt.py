"""Sends a request to one upstream and passes the answer on."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.relay.board import UpstreamBoard
from marigoldtrail.relay.connection import Head, UpstreamConnection
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.types import Dialect, Forwarding, Headers
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# Beyond the patience of its caller a stalled stream has no reader.
PATIENCE_MARGIN_S = 0.5
HTTP_OK = range(200, 300)
HTTP_SERVER_ERROR = 500


class WholeAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    A complete answer of an upstream that was not passed on yet.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Headers for the caller.
    body : bytes
        The body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def is_error(self) -> bool:
        """Whether another upstream may do better."""
        return self.status >= HTTP_SERVER_ERROR


class StreamPassedOn(msgspec.Struct, frozen=True):
    """A stream was passed on to its end."""


class Sender:
    """
    Sends requests to upstreams.

    Parameters
    ----------
    pool : ConnectionPool
        Connections.
    board : UpstreamBoard
        Takes note of outcomes.
    dialect : Dialect
        Writes heads.
    timers : Timers
        Clock.
    on_first_event : callable
        Called when the first event of a stream has arrived.
    may_leave : callable
        Tells whether a stream that has stopped may go on at another upstream.
    """

    __slots__ = ("_pool", "_board", "_dialect", "_timers", "_on_first_event", "_may_leave")

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        board: UpstreamBoard,
        dialect: Dialect,
        timers: Timers,
        on_first_event: Callable[[Exchange], None],
        may_leave: Callable[[Exchange], bool],
    ) -> None:
        self._pool = pool
        self._board = board
        self._dialect = dialect
        self._timers = timers
        self._on_first_event = on_first_event
        self._may_leave = may_leave

    async def send(
        self, exchange: Exchange, upstream: Upstream, *, prefill_tokens: int
    ) -> WholeAnswer | StreamPassedOn | Failure:
        """
        Send a request to an upstream.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.
        prefill_tokens : int
            Prompt tokens that it will have to read.

        Returns
        -------
        WholeAnswer, StreamPassedOn or Failure
            The answer; that a stream was passed on; or what went wrong. A failure is ``NOT_RUN``
            only if the upstream has not run the request.
        """
        conn = await self._pool.take(
            upstream,
            may_repeat=exchange.route.is_idempotent,
            request_id=exchange.facts.request_id,
        )
        if isinstance(conn, Failure):
            self._board.fail(upstream.name, is_dead=True)
            return conn
        exchange.sends += 1
        exchange.last_upstream = upstream.name
        self._board.begin(upstream.name, prefill_tokens)
        counted = PrefillCount(board=self._board, name=upstream.name, tokens=prefill_tokens)
        is_done = False
        try:
            result = await self._exchange(exchange, upstream, conn, counted)
            is_done = not isinstance(result, Failure)
            return result
        finally:
            counted.end()
            self._board.end(upstream.name)
            with trio.CancelScope(shield=True):
                if is_done or conn.is_reusable():
                    await self._pool.give_back(upstream.name, conn)
                else:
                    # Closing tells the upstream to stop working on the request.
                    await conn.aclose()

    async def _exchange(
        self,
        exchange: Exchange,
        upstream: Upstream,
        conn: UpstreamConnection,
        counted: PrefillCount,
    ) -> WholeAnswer | StreamPassedOn | Failure:
        started = self._timers.now()
        forwarding = Forwarding(
            upstream=upstream.name,
            left_s=max(0.0, exchange.deadline - started),
            account=exchange.account_name,
            hides_key=exchange.hides_key,
            priority=exchange.priority if exchange.service.engine is not None else None,
            inputs=exchange.work.handles if exchange.work is not None else (),
            resume_after=exchange.cutter.last_id,
        )
        request = exchange.request
        headers = self._dialect.build_request(request.headers, forwarding)
        # Until a refusal has been read, the upstream must be taken to run the request.
        was_unrun = not exchange.may_have_run
        exchange.may_have_run = True
        exchange.runs += 1
        conn.begin(
            request.method,
            request.target,
            headers,
            request.body,
            request_id=exchange.facts.request_id,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.send)
            head = await conn.read_head()
            if isinstance(head, Failure):
                result: WholeAnswer | StreamPassedOn | Failure = head
            else:
                result = await self._take_answer(exchange, conn, head, counted)
            nursery.cancel_scope.cancel()
        if isinstance(result, Failure) and result.run_state is RunState.NOT_RUN:
            exchange.runs -= 1
            exchange.may_have_run = not was_unrun
        self._note_outcome(exchange, upstream, result, started)
        return result

    def _note_outcome(
        self,
        exchange: Exchange,
        upstream: Upstream,
        result: WholeAnswer | StreamPassedOn | Failure,
        started: float,
    ) -> None:
        name = upstream.name
        if isinstance(result, StreamPassedOn):
            self._board.succeed(name)
        elif isinstance(result, WholeAnswer):
            if result.is_error:
                self._board.fail(name, is_dead=False)
            else:
                self._board.succeed(name, self._timers.now() - started)
        elif result.reason is Reason.OVERLOADED:
            self._board.fail(name, is_dead=False)
            self._board.close(name, result.retry_after_s)
        elif result.reason is not Reason.NOT_FOUND:
            self._board.fail(name, is_dead=True)

    async def _take_answer(
        self, exchange: Exchange, conn: UpstreamConnection, head: Head, counted: PrefillCount
    ) -> WholeAnswer | StreamPassedOn | Failure:
        facts = head.facts
        if facts.is_other_upstream or facts.is_refusal:
            body = await read_whole(conn)
            if isinstance(body, Failure):
                return body
            return refusal_failure(exchange.last_upstream, head)
        is_ok = head.status in HTTP_OK
        if facts.is_encoded or not facts.is_signed:
            return conn.failure(Reason.BAD_ANSWER, f"an unsigned answer with status {head.status}")
        if exchange.is_stream and is_ok:
            return await self._pass_stream(exchange, conn, head, counted)
        body = await read_whole(conn)
        if isinstance(body, Failure):
            return body
        return WholeAnswer(
            status=head.status, headers=self._dialect.build_answer(head.headers), body=body
        )

    async def _pass_stream(
        self, exchange: Exchange, conn: UpstreamConnection, head: Head, counted: PrefillCount
    ) -> StreamPassedOn | Failure:
        caller, cutter = exchange.conn, exchange.cutter
        if not caller.has_started:
            await caller.start_answer(head.status, self._dialect.build_answer(head.headers))
        stall = StallClock(now=self._timers.now())
        while True:
            data = await self._read_events(exchange, conn, stall)
            if isinstance(data, Failure):
                cutter.drop_rest()
                return data
            if not data:
                break
            events = cutter.push(data)
            if cutter.is_too_long:
                cutter.drop_rest()
                return conn.failure(Reason.BAD_ANSWER, "an event without end")
            if events:
                if exchange.first_event_at is None:
                    exchange.note_first_event(self._timers.now())
                    self._on_first_event(exchange)
                counted.end()
                await caller.send_part(events)
                # A caller that reads slowly is no stall of the upstream.
                stall.note_progress(self._timers.now())
        rest = cutter.drop_rest()
        if rest:
            await caller.send_part(rest)
        await caller.end_answer()
        return StreamPassedOn()

    async def _read_events(
        self, exchange: Exchange, conn: UpstreamConnection, stall: StallClock
    ) -> bytes | Failure:
        """
        Read the next bytes of a stream; leave an upstream that sends no events.

        Only whole events are progress: bytes that never make one would hold the request until its
        deadline.
        """
        while True:
            wake_at = stall.wake_at(exchange)
            with trio.move_on_after(max(0.0, wake_at - self._timers.now())):
                return await conn.read_part()
            if self._timers.now() >= stall.give_up_at(exchange):
                return conn.failure(Reason.TIMEOUT, "no event while its caller waits for one")
            if self._may_leave(exchange):
                return conn.failure(Reason.TIMEOUT, "the stream has stopped")
            stall.asked_at = self._timers.now()


class StallClock:
    """
    Since when a stream has made no progress.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which its head arrived.

    Attributes
    ----------
    progress_at : float
        Monotonic time in seconds of its head or last event.
    asked_at : float
        When it was last considered to go on elsewhere, or `progress_at`.
    """

    __slots__ = ("progress_at", "asked_at")

    def __init__(self, *, now: float) -> None:
        self.progress_at = now
        self.asked_at = now

    def note_progress(self, now: float) -> None:
        """Note that an event has arrived."""
        self.progress_at = self.asked_at = now

    def give_up_at(self, exchange: Exchange) -> float:
        """Return the time after which no caller waits for the next event."""
        if exchange.first_event_at is None:
            # The scope of the request bounds the wait for the first event.
            return float("inf")
        return self.progress_at + exchange.patience_s + PATIENCE_MARGIN_S

    def wake_at(self, exchange: Exchange) -> float:
        """Return the time at which the stream may be left if no bytes arrive."""
        give_up_at = self.give_up_at(exchange)
        if not exchange.may_run_again():
            return give_up_at
        return min(give_up_at, self.asked_at + exchange.stall_s)


class PrefillCount:
    """
    Prompt tokens that are counted as unread until `end` is called.

    Parameters
    ----------
    board : UpstreamBoard
        Where they are counted.
    name : str
        The upstream.
    tokens : int
        How many.
    """

    __slots__ = ("_board", "_name", "_tokens")

    def __init__(self, *, board: UpstreamBoard, name: str, tokens: int) -> None:
        self._board = board
        self._name = name
        self._tokens = tokens

    def end(self) -> None:
        """Count them as read; more calls have no effect."""
        if self._tokens:
            self._board.end_prefill(self._name, self._tokens)
            self._tokens = 0


async def read_whole(conn: UpstreamConnection) -> bytes | Failure:
    """
    Read the whole body of an answer.

    Parameters
    ----------
    conn : UpstreamConnection
        Its head was read.

    Returns
    -------
    bytes or Failure
        The body, at most `MAX_BUFFERED_BYTES`.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        data = await conn.read_part()
        if isinstance(data, Failure):
            return data
        if not data:
            return b"".join(parts)
        parts.append(data)
        size += len(data)
        if size > MAX_BUFFERED_BYTES:
            return conn.failure(Reason.BAD_ANSWER, f"more than {MAX_BUFFERED_BYTES} bytes")


def refusal_failure(upstream: str, head: Head) -> Failure:
    """
    Return the failure for an answer that says that the request was not run.

    Parameters
    ----------
    upstream : str
        Who answered.
    head : Head
        Head of the answer.

    Returns
    -------
    Failure
        ``NOT_FOUND`` if inputs were gone, ``STALE_EPOCH`` if another upstream has the address.
    """
    if head.facts.is_other_upstream:
        reason, detail = Reason.STALE_EPOCH, "another upstream has the address"
    elif head.facts.lacks_inputs:
        reason, detail = Reason.NOT_FOUND, "results of the stages are gone"
    else:
        reason, detail = Reason.OVERLOADED, f"refused with status {head.status}"
    return Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step="upstream",
        peer=upstream,
        detail=detail,
        retry_after_s=head.facts.pause_s or 0.0,
    )

"""Reads the token events of a generation from an engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.upstream.connections import EXCHANGE_ERRORS, Connection
from marigoldtrail.upstream.messages import WireChunk, find_mismatch
from marigoldtrail.upstream.types import StageCall, TokenChunk

MAX_EVENT_BYTES = 65536
# The end of the response arrives in the same segment as the end marker or right after it.
END_OF_BODY_TIMEOUT_S = 0.05

_decode_chunk = msgspec.json.Decoder(WireChunk).decode


class EngineStream:
    """
    A `marigoldtrail.upstream.TokenStream` over one connection.

    Parameters
    ----------
    conn : Connection
        The connection, used by this stream alone.
    response : httpcore.Response
        Head of the response.
    call : StageCall
        The call.
    peer, step : str
        Named in failures.
    deadline : float
        Monotonic time at which the stream times out.
    release : callable
        Asynchronous function, called once at the end with whether the connection can be used
        again and whether the engine may still be generating.
    """

    __slots__ = (
        "instance",
        "state",
        "load",
        "request_id",
        "attempt_id",
        "client_account",
        "_conn",
        "_response",
        "_call",
        "_peer",
        "_step",
        "_deadline",
        "_deadline_scope",
        "_is_expired",
        "_release",
        "_buffer",
        "_items",
        "_next_token",
        "_is_done",
        "_failed_reason",
        "_is_released",
    )

    def __init__(
        self,
        *,
        conn: Connection,
        response: httpcore.Response,
        call: StageCall,
        peer: str,
        step: str,
        deadline: float,
        release: Callable[[bool, bool], Awaitable[None]],
    ) -> None:
        self.instance = conn.instance
        self.state = ""
        self.load = -1
        self.request_id = ""
        self.attempt_id = ""
        self.client_account = ""
        self._conn = conn
        self._response = response
        self._call = call
        self._peer = peer
        self._step = step
        self._deadline = deadline
        self._deadline_scope = trio.CancelScope()
        self._is_expired = False
        self._release = release
        self._buffer = b""
        self._items: deque[TokenChunk | Failure] = deque()
        self._next_token = call.resume_from
        self._is_done = False
        self._failed_reason: Reason | None = None
        self._is_released = False

    def __aiter__(self) -> EngineStream:
        """Return itself."""
        return self

    def start_deadline_watch(self) -> None:
        """
        Start a task that ends the stream at its deadline, unless it is closed before.

        A cancel scope around each read would cost a third of the processing of a token.
        """
        trio.lowlevel.spawn_system_task(self._watch_deadline)

    async def _watch_deadline(self) -> None:
        with self._deadline_scope:
            await trio.sleep_until(self._deadline)
            self._is_expired = True
            # A read in progress fails immediately.
            await self._conn.aclose()

    async def __anext__(self) -> Any:
        """Return the next `TokenChunk`, or a `Failure` as the last item."""
        while not self._items:
            if self._is_done or self._failed_reason is not None:
                raise StopAsyncIteration
            await self._receive()
        return self._items.popleft()

    async def _receive(self) -> None:
        try:
            data = await self._conn.read_body()
        except EXCHANGE_ERRORS as exc:
            if self._is_expired:
                self._fail(Reason.TIMEOUT, "no end marker before the deadline")
            else:
                self._fail(Reason.UNREACHABLE, str(exc) or type(exc).__name__)
            return
        if data:
            self._parse(data)
        else:
            self._fail(Reason.BAD_ANSWER, "the stream ended without its end marker")

    def _parse(self, data: bytes) -> None:
        data = self._buffer + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._buffer = data.split(b"\n\n")
        for event in events:
            if self._is_done or self._failed_reason is not None:
                return
            self._parse_event(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._fail(Reason.BAD_ANSWER, f"an event exceeds {MAX_EVENT_BYTES} bytes")

    def _parse_event(self, event: bytes) -> None:
        if b"\n" in event or not event.startswith(b"data: "):
            payload = join_data_lines(event)
        else:
            payload = event[6:]
        if not payload:
            return
        if payload == b"[DONE]":
            self._is_done = True
            return
        try:
            chunk = _decode_chunk(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            self._fail(Reason.BAD_ANSWER, str(exc))
            return
        self._accept_chunk(chunk)

    def _accept_chunk(self, chunk: WireChunk) -> None:
        if chunk.attempt_id or chunk.request_id or chunk.client_account:
            if mismatch := find_mismatch(self._call, chunk):
                self._fail(Reason.BAD_ANSWER, mismatch)
                return
            self.request_id = chunk.request_id
            self.attempt_id = chunk.attempt_id
            self.client_account = chunk.client_account
        if chunk.n != self._next_token:
            self._fail(Reason.BAD_ANSWER, f"token {chunk.n} follows; expected {self._next_token}")
            return
        if chunk.count < 1 or chunk.n + chunk.count > self._call.max_tokens:
            self._fail(Reason.BAD_ANSWER, f"more than {self._call.max_tokens} tokens")
            return
        self._next_token += chunk.count
        self._items.append(TokenChunk(first=chunk.n, text=chunk.text, count=chunk.count))

    def _fail(self, reason: Reason, detail: str) -> None:
        self._failed_reason = reason
        self._items.append(
            Failure(
                reason=reason,
                run_state=RunState.MAY_HAVE_RUN,
                step=self._step,
                peer=self._peer,
                detail=detail,
            )
        )

    async def aclose(self) -> None:
        """Cancel the attempt at the engine if it may still run, and release the connection."""
        if self._is_released:
            return
        self._is_released = True
        self._deadline_scope.cancel()
        is_complete = False
        if self._is_done:
            try:
                is_complete = not await self._conn.read_body(
                    trio.current_time() + END_OF_BODY_TIMEOUT_S
                )
            except EXCHANGE_ERRORS:
                pass
        if is_complete:
            await self._response.aclose()
        # An engine ends an attempt by itself when its connection has ended.
        may_still_run = not self._is_done and self._failed_reason is not Reason.UNREACHABLE
        await self._release(is_complete, may_still_run)


def join_data_lines(event: bytes) -> bytes:
    """
    Return the data of a server-sent event.

    Parameters
    ----------
    event : bytes
        Lines of the event.

    Returns
    -------
    bytes
        Its data lines joined; empty for a comment.

    Examples
    --------
    >>> join_data_lines(b"event: token\\ndata: a\\ndata:b")
    b'a\\nb'
    """
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)

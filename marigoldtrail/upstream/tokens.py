"""Reads the events of a generation from an engine."""

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
# The end of the response follows the end marker in the same segment or right after it.
END_OF_BODY_S = 0.05

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
        "_watch",
        "_expired",
        "_release",
        "_buffer",
        "_items",
        "_next",
        "_done",
        "_failed",
        "_released",
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
        self._watch = trio.CancelScope()
        self._expired = False
        self._release = release
        self._buffer = b""
        self._items: deque[TokenChunk | Failure] = deque()
        self._next = call.resume_from
        self._done = False
        self._failed: Reason | None = None
        self._released = False

    def __aiter__(self) -> EngineStream:
        """Return itself."""
        return self

    def start_watch(self) -> None:
        """
        End the stream at its deadline, until it is closed.

        A cancel scope around each read would cost a third of the work for a token.
        """
        trio.lowlevel.spawn_system_task(self._watch_deadline)

    async def _watch_deadline(self) -> None:
        with self._watch:
            await trio.sleep_until(self._deadline)
            self._expired = True
            # A read that waits fails at once.
            await self._conn.aclose()

    async def __anext__(self) -> Any:
        """Return the next `TokenChunk`, or a `Failure` as the last item."""
        while not self._items:
            if self._done or self._failed is not None:
                raise StopAsyncIteration
            await self._receive()
        return self._items.popleft()

    async def _receive(self) -> None:
        try:
            data = await self._conn.read_body()
        except EXCHANGE_ERRORS as exc:
            if self._expired:
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
            if self._done or self._failed is not None:
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
            self._done = True
            return
        try:
            chunk = _decode_chunk(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            self._fail(Reason.BAD_ANSWER, str(exc))
            return
        self._take_chunk(chunk)

    def _take_chunk(self, chunk: WireChunk) -> None:
        if chunk.attempt_id or chunk.request_id or chunk.client_account:
            if mismatch := find_mismatch(self._call, chunk):
                self._fail(Reason.BAD_ANSWER, mismatch)
                return
            self.request_id = chunk.request_id
            self.attempt_id = chunk.attempt_id
            self.client_account = chunk.client_account
        if chunk.n != self._next:
            self._fail(Reason.BAD_ANSWER, f"token {chunk.n} follows; expected {self._next}")
            return
        if chunk.count < 1 or chunk.n + chunk.count > self._call.max_tokens:
            self._fail(Reason.BAD_ANSWER, f"more than {self._call.max_tokens} tokens")
            return
        self._next += chunk.count
        self._items.append(TokenChunk(first=chunk.n, text=chunk.text, count=chunk.count))

    def _fail(self, reason: Reason, detail: str) -> None:
        self._failed = reason
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
        if self._released:
            return
        self._released = True
        self._watch.cancel()
        complete = False
        if self._done:
            try:
                complete = not await self._conn.read_body(trio.current_time() + END_OF_BODY_S)
            except EXCHANGE_ERRORS:
                pass
        if complete:
            await self._response.aclose()
        # After the end of the connection the engine has stopped by itself.
        still_running = not self._done and self._failed is not Reason.UNREACHABLE
        await self._release(complete, still_running)


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

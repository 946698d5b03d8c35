"""Client-side reader of streamed responses of the HTTP API."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import msgspec
import trio

from marigoldtrail.api.problems import Problem, problem_to_failure
from marigoldtrail.errors import Failure, Reason, RunState

MAX_EVENT_BYTES = 1024 * 1024
TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class ApiStream:
    """
    A streamed response: iterate over its tokens, then check `end` or `failure`.

    Parameters
    ----------
    response : httpcore.Response
        Response whose headers have been received.
    peer : str
        Address of the entry.
    timeout_s : float
        Timeout for each event in seconds.

    Attributes
    ----------
    request_id, idempotency_key, traceparent : str
        From the response's headers.
    text : str
        Text received so far.
    end : dict or None
        The verified end marker; None until it is received.
    failure : Failure or None
        Why the response is incomplete; None if no failure occurred.
    """

    __slots__ = (
        "request_id",
        "idempotency_key",
        "traceparent",
        "end",
        "failure",
        "problem",
        "_body",
        "_buffer",
        "_events",
        "_peer",
        "_timeout_s",
        "_parts",
        "_next_token",
    )

    def __init__(self, *, response: httpcore.Response, peer: str, timeout_s: float) -> None:
        fields = {name.lower(): value.decode("latin-1") for name, value in response.headers}
        self.request_id = fields.get(b"request-id", "")
        self.idempotency_key = fields.get(b"idempotency-key", "")
        self.traceparent = fields.get(b"traceparent", "")
        self.end: dict[str, Any] | None = None
        self.failure: Failure | None = None
        self.problem: Problem | None = None
        self._body: AsyncIterator[bytes] = response.stream.__aiter__()  # type: ignore[union-attr]
        self._buffer = b""
        self._events: deque[bytes] = deque()
        self._peer = peer
        self._timeout_s = timeout_s
        self._parts: list[str] = []
        self._next_token = 0

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(self._parts)

    def __aiter__(self) -> ApiStream:
        """Return itself."""
        return self

    async def __anext__(self) -> tuple[int, str]:
        """Return the first token number and the text of the next token event."""
        while self.end is None and self.failure is None:
            while self._events and self.end is None and self.failure is None:
                item = self._handle_event(self._events.popleft())
                if item is not None:
                    return item
            if self.end is None and self.failure is None:
                await self._receive()
        raise StopAsyncIteration

    async def _receive(self) -> None:
        data: bytes | None = None
        with trio.move_on_after(self._timeout_s):
            try:
                data = await anext(self._body, b"")
            except TRANSPORT_ERRORS as exc:
                self._fail(Reason.UNREACHABLE, str(exc) or type(exc).__name__)
                return
        if data is None:
            self._fail(Reason.TIMEOUT, f"no event within {self._timeout_s} s")
        elif not data:
            self._fail(Reason.BAD_ANSWER, "the stream ended without its end marker")
        else:
            *events, self._buffer = (self._buffer + data).split(b"\n\n")
            self._events.extend(events)
            if len(self._buffer) > MAX_EVENT_BYTES:
                self._fail(Reason.BAD_ANSWER, f"an event exceeds {MAX_EVENT_BYTES} bytes")

    def _handle_event(self, event: bytes) -> tuple[int, str] | None:
        head, _, data = event.partition(b"\n")
        name = head.removeprefix(b"event: ").decode("latin-1")
        data = data.removeprefix(b"data: ")
        try:
            fields = msgspec.json.decode(data, type=dict[str, Any])
            if name == "token":
                return self._handle_token(int(fields["n"]), str(fields["text"]))
            if name == "end":
                self._handle_end_marker(fields)
            elif name == "refusal":
                self.problem = msgspec.convert(fields, Problem)
                self.failure = problem_to_failure(self.problem, self._peer)
            else:
                self._fail(Reason.BAD_ANSWER, f"unknown event {name[:40]!r}")
        except (msgspec.MsgspecError, KeyError, ValueError) as exc:
            self._fail(Reason.BAD_ANSWER, f"event {name[:40]!r}: {exc}")
        return None

    def _handle_token(self, first: int, text: str) -> tuple[int, str] | None:
        if first < self._next_token:
            self._fail(Reason.BAD_ANSWER, f"token {first} follows token {self._next_token - 1}")
            return None
        self._next_token = first + 1
        self._parts.append(text)
        return first, text

    def _handle_end_marker(self, fields: dict[str, Any]) -> None:
        digest = hashlib.sha256(self.text.encode()).hexdigest()
        if fields["digest"] != digest:
            self._fail(Reason.BAD_ANSWER, "the digest in the end marker is not that of the text")
        elif int(fields["count"]) < self._next_token:
            self._fail(
                Reason.BAD_ANSWER, f"token {self._next_token - 1} exceeds the end marker's count"
            )
        elif fields["request_id"] != self.request_id:
            self._fail(Reason.BAD_ANSWER, "the end marker is that of another request")
        else:
            self.end = fields

    def _fail(self, reason: Reason, detail: str) -> None:
        if self.failure is None:
            self.failure = Failure(
                reason=reason,
                run_state=RunState.MAY_HAVE_RUN,
                step="api.stream",
                peer=self._peer,
                detail=detail,
            )

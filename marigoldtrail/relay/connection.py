"""One HTTP/1.1 connection to an upstream."""

from __future__ import annotations

from collections.abc import Callable

import h11
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.types import AnswerFacts, Dialect, Headers

READ_BYTES = 65536
# Longer heads are not an answer of an upstream.
MAX_HEAD_BYTES = 65536
MAX_FOREIGN_ANSWERS = 4
MAX_FOREIGN_BYTES = 1024 * 1024
MAX_INFORMATIONAL_ANSWERS = 8


class Head:
    """
    Status and headers of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Headers with lower-case names.
    facts : AnswerFacts
        What they say.
    """

    __slots__ = ("status", "headers", "facts")

    def __init__(self, *, status: int, headers: Headers, facts: AnswerFacts) -> None:
        self.status = status
        self.headers = headers
        self.facts = facts


class UpstreamConnection:
    """
    An open connection; it carries one request at a time.

    Parameters
    ----------
    stream : trio.abc.Stream
        The open stream.
    upstream : str
        Name of the upstream, for failures.
    dialect : Dialect
        Reads the heads of answers.
    on_leaving : callable or None
        Called with the upstream's name when an answer says that it leaves.

    Attributes
    ----------
    request_id : str
        Id of the present or last request; empty if it has none.
    wrote : bool
        Whether a byte of the present request may have left this host.
    idle_since : float
        Monotonic time in seconds since which it has been idle.
    idle_limit_s : float or None
        Seconds after which the upstream closes it when idle.
    """

    __slots__ = (
        "request_id",
        "wrote",
        "idle_since",
        "idle_limit_s",
        "_stream",
        "_upstream",
        "_dialect",
        "_on_leaving",
        "_exchanges",
        "_conn",
        "_request",
        "_unsent",
        "_is_sent",
        "_is_complete",
        "_is_closing",
    )

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        upstream: str,
        dialect: Dialect,
        on_leaving: Callable[[str], None] | None = None,
    ) -> None:
        self.request_id = ""
        self.wrote = False
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self._stream = stream
        self._upstream = upstream
        self._dialect = dialect
        self._on_leaving = on_leaving
        self._exchanges = 0
        self._conn = new_client()
        self._request = h11.Request(method="GET", target="/", headers=[("host", "-")])
        self._unsent = b""
        self._is_sent = False
        self._is_complete = True
        self._is_closing = False

    def is_quiet(self) -> bool:
        """Tell whether the upstream has neither closed the idle connection nor sent anything."""
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        return True

    def is_reusable(self) -> bool:
        """Tell whether the last exchange is complete and another may follow."""
        return (
            self._is_sent
            and self._is_complete
            and not self._is_closing
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
        )

    def begin(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        request_id: str = "",
    ) -> None:
        """
        Begin an exchange; `send` then sends the request.

        Parameters
        ----------
        method, target : bytes
            Method, and path with query.
        headers : list of tuple
            Headers without the length of the body.
        body : bytes
            The body.
        request_id : str
            Id that the answer repeats; answers to other requests are dropped. Empty to take any.

        Raises
        ------
        h11.LocalProtocolError
            If the request can't be written in HTTP/1.1.
        """
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers = [*headers, (b"content-length", str(len(body)).encode())]
        self.request_id = request_id
        self._exchanges += 1
        self._conn = new_client()
        self._request = h11.Request(method=method, target=target, headers=headers)
        data = self._conn.send(self._request) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        self._unsent = data
        self._is_sent = self._is_complete = self._is_closing = False

    async def send(self) -> None:
        """Send the request of the exchange; the answer may be read at the same time."""
        self.wrote = True
        try:
            await self._stream.send_all(self._unsent)
            self._is_sent = True
        except STREAM_ERRORS:
            # The upstream may have answered before it closed; reading tells.
            return

    async def read_head(self) -> Head | Failure:
        """
        Read the head of the answer.

        Returns
        -------
        Head or Failure
            ``MAY_HAVE_RUN``, since the request was sent.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await self._read_any_head()
            if isinstance(head, Failure):
                return head
            if not self.request_id or head.facts.request_id == self.request_id:
                self._note_leaving(head.facts)
                return head
            if not head.facts.request_id:
                return self._take_unnamed(head)
            skipped = await self._skip_answer()
            if skipped is not None:
                return skipped
        return self.failure(Reason.BAD_ANSWER, "answers to other requests")

    def _note_leaving(self, facts: AnswerFacts) -> None:
        """Tell that the upstream leaves, unless another one has its address."""
        if facts.is_leaving and not facts.is_other_upstream and self._on_leaving is not None:
            self._on_leaving(self._upstream)

    def _take_unnamed(self, head: Head) -> Head | Failure:
        """Take an answer without an id, unless it may be a late copy of an earlier one."""
        if self._exchanges == 1:
            self._note_leaving(head.facts)
            return head
        return self.failure(Reason.BAD_ANSWER, "an answer without id on a used connection")

    async def _read_any_head(self) -> Head | Failure:
        try:
            for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
                event = await self._next_event()
                if isinstance(event, h11.Response):
                    break
                if not isinstance(event, h11.InformationalResponse):
                    return self.failure(Reason.UNREACHABLE, "closed before the answer")
            else:
                return self.failure(Reason.BAD_ANSWER, "informational answers without end")
        except h11.RemoteProtocolError as exc:
            return self.failure(Reason.BAD_ANSWER, str(exc))
        except STREAM_ERRORS as exc:
            return self.failure(Reason.UNREACHABLE, str(exc) or type(exc).__name__)
        headers = list(event.headers)
        facts = self._dialect.read_answer(event.status_code, headers)
        self.idle_limit_s = facts.keep_alive_s
        if any(n == b"connection" and b"close" in v.lower() for n, v in headers):
            self._is_closing = True
        return Head(status=event.status_code, headers=headers, facts=facts)

    async def _skip_answer(self) -> Failure | None:
        """Read to the end of an answer that belongs to no request, and expect another one."""
        size = 0
        while True:
            data = await self.read_part()
            if isinstance(data, Failure):
                return data
            if not data:
                break
            size += len(data)
            if size > MAX_FOREIGN_BYTES:
                return self.failure(Reason.BAD_ANSWER, "a long answer to another request")
        if self._conn.their_state is not h11.DONE:
            return self.failure(Reason.UNREACHABLE, "closed after an answer to another request")
        rest, is_closed = self._conn.trailing_data
        self._conn = new_client()
        self._conn.send(self._request)
        self._conn.receive_data(rest)
        if is_closed:
            self._conn.receive_data(b"")
        self._is_complete = False
        return None

    async def read_part(self) -> bytes | Failure:
        """
        Read the next part of the answer's body: all that has arrived.

        Returns
        -------
        bytes or Failure
            Empty at the end of a complete body.
        """
        parts: list[bytes] = []
        try:
            while not self._is_complete:
                event = self._conn.next_event()
                if isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._is_complete = True
                elif event is h11.NEED_DATA:
                    if parts:
                        break
                    self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
                else:
                    return self.failure(Reason.UNREACHABLE, "closed within the answer")
        except h11.RemoteProtocolError as exc:
            if parts:
                return b"".join(parts)
            return self.failure(Reason.BAD_ANSWER, str(exc))
        except STREAM_ERRORS as exc:
            return self.failure(Reason.UNREACHABLE, str(exc) or type(exc).__name__)
        return b"".join(parts)

    async def _next_event(self) -> object:
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))

    def failure(self, reason: Reason, detail: str) -> Failure:
        """Return a failure of the present exchange."""
        state = RunState.MAY_HAVE_RUN if self.wrote else RunState.NOT_RUN
        return Failure(
            reason=reason, run_state=state, step="upstream", peer=self._upstream, detail=detail
        )

    async def aclose(self) -> None:
        """Close the connection at once."""
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)


def new_client() -> h11.Connection:
    """Return the state of a connection on which no request was sent."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

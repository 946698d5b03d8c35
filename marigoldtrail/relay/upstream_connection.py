"""HTTP/1.1 connection to an upstream."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import h11
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.types import HeaderCodec, Headers, ResponseInfo

READ_BYTES = 65536
# Upstreams send no longer response heads.
MAX_HEAD_BYTES = 65536
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 8
# Other tasks run after this many parts of a body: chunks may be as short as one byte.
PARTS_BETWEEN_TURNS = 128
STATUSES_WITHOUT_BODY = (204, 304)
MAX_STATUS = 599
# A connection with more refused requests than can be remembered is not used again.
MAX_REFUSED_REQUESTS = 64
# Latest answers without an id that are recognised when an upstream sends one of them again.
REMEMBERED_ANSWERS = 128

_END_OF_REQUEST = h11.EndOfMessage()
_STATES_BEFORE_BODY = (h11.IDLE, h11.SEND_RESPONSE)
# `h11.Connection.trailing_data` of an open connection without unread data.
_NO_DATA = (b"", False)

OnAnswer = Callable[[str, ResponseInfo, float], None]


class ResponseHead:
    """
    Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Headers with lower-case names.
    info : ResponseInfo
        Metadata from the status and headers.
    """

    __slots__ = ("status", "headers", "info")

    def __init__(self, *, status: int, headers: Headers, info: ResponseInfo) -> None:
        self.status = status
        self.headers = headers
        self.info = info


class UpstreamConnection:
    """
    Open connection that carries one request at a time.

    Parameters
    ----------
    stream : trio.abc.Stream
        The open stream.
    upstream : str
        Name of the upstream, used in failures.
    header_codec : HeaderCodec
        Reads the heads of responses.
    on_answer : callable or None
        Called with the upstream's name, the metadata of each of its responses, and the monotonic
        time in seconds at which the request was sent.
    on_bytes : callable
        Called when the upstream has sent something or closed the connection.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    request_id : str
        Id of the current or last request; empty if it has none.
    may_have_sent : bool
        Whether a byte of the current request may have left this host.
    idle_since : float
        Monotonic time in seconds at which it became idle.
    idle_limit_s : float or None
        Idle time in seconds after which the upstream closes it; None if not stated.
    announced_bytes : int or None
        Length of the body that the last head announced; None if it has another end.
    """

    __slots__ = (
        "request_id",
        "may_have_sent",
        "idle_since",
        "idle_limit_s",
        "announced_bytes",
        "upstream",
        "_stream",
        "_header_codec",
        "_on_answer",
        "_on_bytes",
        "_sent_at",
        "_request_count",
        "_refused",
        "_answers",
        "_conn",
        "_request",
        "_unsent",
        "_is_sent",
        "_is_response_complete",
        "_is_closing",
        "_is_closed_by_upstream",
        "_error",
    )

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        upstream: str,
        header_codec: HeaderCodec,
        on_answer: OnAnswer | None = None,
        on_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        self.request_id = ""
        self.may_have_sent = False
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.announced_bytes: int | None = None
        self._stream = stream
        self.upstream = upstream
        self._header_codec = header_codec
        self._on_answer = on_answer
        self._on_bytes = on_bytes
        self._sent_at = float("-inf")
        self._request_count = 0
        # Hashes of the ids of all refused requests: callers choose ids of any length.
        self._refused: set[int] = set()
        # Hashes of the statuses and bodies of answers without ids, and whether they are usual.
        self._answers: deque[tuple[int, bool]] = deque(maxlen=REMEMBERED_ANSWERS)
        self._conn = make_client_state()
        self._request = h11.Request(method="GET", target="/", headers=[("host", "-")])
        self._unsent = b""
        # The first error of a write or read; the connection is not used again then.
        self._error: str | None = None
        self._is_sent = False
        self._is_response_complete = True
        self._is_closing = False
        self._is_closed_by_upstream = False

    def has_no_pending_input(self) -> bool:
        """Return whether the idle connection is open and has no unread data."""
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        return True

    @property
    def is_sent(self) -> bool:
        """Whether the whole current request was sent."""
        return self._is_sent

    def is_reusable(self) -> bool:
        """Return whether the last request is complete and another one may follow."""
        return (
            self._is_sent
            and self._is_response_complete
            and not self._is_closing
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
            and len(self._refused) < MAX_REFUSED_REQUESTS
        )

    def may_carry(self, request_id: str) -> bool:
        """
        Return whether a response with this id could only belong to a new request.

        An upstream may send a copy of a refusal much later, when the same request is tried again.
        """
        if not request_id:
            return True
        return request_id != self.request_id and hash(request_id) not in self._refused

    def note_answer(self, status: int, body: bytes, *, is_usual: bool) -> bool:
        """
        Remember an answer without an id.

        Parameters
        ----------
        status : int
            HTTP status.
        body : bytes
            The body.
        is_usual : bool
            Whether equal answers are usual among those for which this is set.

        Returns
        -------
        bool
            Whether it may be a copy of an earlier answer on this connection.
        """
        answer = hash((status, body))
        is_copy = (answer, False) in self._answers
        if not is_usual:
            is_copy = is_copy or (answer, True) in self._answers
        if (answer, is_usual) not in self._answers:
            self._answers.append((answer, is_usual))
        return is_copy

    def forbid_reuse(self) -> None:
        """Carry no further request: the answer to the last one may still be on its way."""
        self._is_closing = True

    def prepare_request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        request_id: str = "",
    ) -> None:
        """
        Encode a request; `send_request` then sends it.

        Parameters
        ----------
        method, target : bytes
            Method, and path with query.
        headers : list of tuple
            Headers without the content length.
        body : bytes
            The body.
        request_id : str
            Id that the response must repeat; responses to other requests are skipped. Empty
            to accept any.

        Raises
        ------
        h11.LocalProtocolError
            If the request is not valid in HTTP/1.1.
        """
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers = [*headers, (b"content-length", str(len(body)).encode())]
        self.request_id = request_id
        self._request_count += 1
        self._conn = make_client_state()
        self._request = h11.Request(method=method, target=target, headers=headers)
        data = self._conn.send(self._request) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(_END_OF_REQUEST) or b""
        self._unsent = data
        self._is_sent = self._is_response_complete = self._is_closing = False

    async def send_request(self) -> None:
        """Send the prepared request; the response may be read at the same time."""
        self.may_have_sent = True
        self._sent_at = trio.current_time()
        try:
            await self._stream.send_all(self._unsent)
            self._is_sent = True
        except STREAM_ERRORS as exc:
            # The upstream may have responded before it closed the connection; reading shows it.
            self._keep_error(exc)

    async def read_head(self) -> ResponseHead | Failure:
        """
        Read the head of the response.

        Returns
        -------
        ResponseHead or Failure
            A failure is ``MAY_HAVE_RUN`` once the request may have been sent.
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            head = await self._read_next_head()
            if isinstance(head, Failure):
                return head
            if not self.request_id or head.info.request_id == self.request_id:
                self._accept(head.info)
                return head
            if not head.info.request_id:
                return self._accept_without_id(head)
            skip_failure = await self._skip_response()
            if skip_failure is not None:
                return skip_failure
        return self.make_failure(Reason.BAD_ANSWER, "answers to other requests")

    def _accept(self, info: ResponseInfo) -> None:
        if self.request_id and (info.is_refusal or info.is_misdirected):
            self._refused.add(hash(self.request_id))
        self._report_answer(info)

    def _report_answer(self, info: ResponseInfo) -> None:
        """Report what the upstream says of itself, unless another one has its address."""
        if not info.is_misdirected and self._on_answer is not None:
            self._on_answer(self.upstream, info, self._sent_at)

    def _accept_without_id(self, head: ResponseHead) -> ResponseHead | Failure:
        """Accept a response without an id unless it may be a late copy of an earlier response."""
        if self._request_count == 1:
            self._accept(head.info)
            return head
        return self.make_failure(Reason.BAD_ANSWER, "an answer without id on a used connection")

    async def _read_next_head(self) -> ResponseHead | Failure:
        try:
            for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
                event = await self._next_event()
                if isinstance(event, h11.Response):
                    break
                if not isinstance(event, h11.InformationalResponse):
                    return self.make_failure(Reason.DISCONNECTED, "closed before the answer")
            else:
                return self.make_failure(Reason.BAD_ANSWER, "informational answers without end")
        except h11.RemoteProtocolError as exc:
            return self._make_protocol_failure(exc)
        except STREAM_ERRORS as exc:
            return self.make_failure(Reason.DISCONNECTED, str(exc) or type(exc).__name__)
        if event.status_code > MAX_STATUS:
            return self.make_failure(Reason.BAD_ANSWER, f"invalid status {event.status_code}")
        headers = list(event.headers)
        info = self._header_codec.parse_response(event.status_code, headers)
        self.idle_limit_s = info.keep_alive_s
        self.announced_bytes = self._find_announced_bytes(event.status_code, headers)
        if any(n == b"connection" and b"close" in v.lower() for n, v in headers):
            self._is_closing = True
        return ResponseHead(status=event.status_code, headers=headers, info=info)

    def _find_announced_bytes(self, status: int, headers: Headers) -> int | None:
        """Return the length of a body; None if it ends otherwise, or if there is none."""
        values = dict(headers)
        if b"transfer-encoding" in values:
            return None
        if self._request.method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
            return None
        # h11 accepts only digits here, and the same value if there are several.
        length = values.get(b"content-length")
        return int(length) if length is not None else None

    async def _skip_response(self) -> Failure | None:
        """Read and discard a response to another request, then prepare to read the next one."""
        size = 0
        while True:
            data = await self.read_body_part()
            if isinstance(data, Failure):
                return data
            if not data:
                break
            size += len(data)
            if size > MAX_SKIPPED_BYTES:
                return self.make_failure(Reason.BAD_ANSWER, "a long answer to another request")
        if self._conn.their_state is not h11.DONE:
            return self.make_failure(
                Reason.DISCONNECTED, "closed after an answer to another request"
            )
        rest, is_closed = self._conn.trailing_data
        self._conn = make_client_state()
        self._conn.send(self._request)
        # Empty data would mean that the upstream has closed the connection.
        if rest:
            self._conn.receive_data(rest)
        if is_closed:
            self._conn.receive_data(b"")
        self._is_response_complete = False
        return None

    async def read_body_part(self) -> bytes | Failure:
        """
        Read the next part of the response body: all data received so far.

        Returns
        -------
        bytes or Failure
            Empty at the end of a complete body.
        """
        parts: list[bytes] = []
        try:
            while not self._is_response_complete:
                event = self._conn.next_event()
                if isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    if len(parts) % PARTS_BETWEEN_TURNS == 0:
                        # Not cancelled, since the parts would be lost.
                        await trio.lowlevel.cancel_shielded_checkpoint()
                elif isinstance(event, h11.EndOfMessage):
                    self._is_response_complete = True
                elif event is h11.NEED_DATA:
                    if parts:
                        break
                    await self._receive()
                else:
                    return self.make_failure(Reason.DISCONNECTED, "closed within the answer")
        except h11.RemoteProtocolError as exc:
            if parts:
                return b"".join(parts)
            return self._make_protocol_failure(exc)
        except STREAM_ERRORS as exc:
            return self.make_failure(Reason.DISCONNECTED, str(exc) or type(exc).__name__)
        return b"".join(parts)

    async def _next_event(self) -> object:
        if self._conn.their_state in _STATES_BEFORE_BODY and self._conn.trailing_data == _NO_DATA:
            # Parsing begins once there is something to parse.
            await self._receive()
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        try:
            data = bytes(await self._stream.receive_some(READ_BYTES))
        except STREAM_ERRORS as exc:
            self._keep_error(exc)
            raise
        self._is_closed_by_upstream = not data
        if not data and not (self._is_sent and self._error is None):
            # A socket reports a reset once. If the write or an earlier read got it, this one sees a
            # regular end, which would complete a response without a length. The write raises its
            # error only after other tasks have run, so that any end before the whole request was
            # sent counts as a reset.
            detail = self._error or "it ended while the request was being sent"
            raise trio.BrokenResourceError(f"the connection was reset: {detail}")
        self._on_bytes()
        self._conn.receive_data(data)

    def _keep_error(self, exc: Exception) -> None:
        if self._error is None:
            self._error = str(exc) or type(exc).__name__

    def _make_protocol_failure(self, exc: h11.RemoteProtocolError) -> Failure:
        """Tell an answer that ended with its connection from one that is not valid."""
        reason = Reason.DISCONNECTED if self._is_closed_by_upstream else Reason.BAD_ANSWER
        return self.make_failure(reason, str(exc))

    def make_failure(self, reason: Reason, detail: str) -> Failure:
        """Return a failure of the current request."""
        state = RunState.MAY_HAVE_RUN if self.may_have_sent else RunState.NOT_RUN
        return Failure(
            reason=reason, run_state=state, step="upstream", peer=self.upstream, detail=detail
        )

    async def aclose(self) -> None:
        """Close the connection immediately."""
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)


def make_client_state() -> h11.Connection:
    """Return the protocol state of a connection on which no request was sent."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

"""Server side of a caller's HTTP/1.1 connection."""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable

import h11
import msgspec
import trio

from marigoldtrail.memory.requests import (
    SMALL_BYTES,
    RequestMemory,
    make_default_request_memory,
)
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.net.network import name_peer
from marigoldtrail.relay.connection_end import (
    MAX_CLOSE_BYTES,
    READ_BYTES,
    EndReason,
    close_gracefully,
    has_unread_data,
    reset_on_close,
)
from marigoldtrail.relay.idle_wait import FindIdleLimitFn, IdleWait
from marigoldtrail.relay.types import Headers
from marigoldtrail.routing import Limits

# Longest pause between two parts of a body, and longest time for a whole body.
MAX_BODY_PAUSE_S = 5.0
BODY_TIMEOUT_S = 20.0
# Pipelined requests are read up to this size while an earlier request is served.
MAX_PIPELINED_BYTES = 65536
# Longer bodies are not copied behind their heads: a slow caller would hold the memory twice.
MAX_JOINED_BYTES = 65536
# The first part of them is read without an account, so that a close is noticed.
PIPELINED_READ_BYTES = 4096
# Parts of a body that are parsed before other tasks run: chunks of a byte cost most.
PARTS_PER_TURN = 256
# Heads of this size are refused, also if the configuration allows longer ones.
MAX_INCOMPLETE_BYTES = 1024 * 1024

# A stop leaves callers this much time to send the first request on a new connection.
NEW_CONNECTION_WAIT_S = 0.3

ReadEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request that is refused before it is sent to an upstream.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    detail : str
        Reason for the caller.
    retry_after_s : float
        Seconds after which the caller may come back, with status 503; 0 for the usual time.
    """

    status: int
    detail: str
    retry_after_s: float = 0.0


class CallerRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    Complete request of a caller.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as received.
    headers : list of tuple
        Headers with lower-case names.
    body : bytes
        The whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str:
        """Return the value of a header; empty if it is missing."""
        return next((v.decode("latin-1") for n, v in self.headers if n == name), "")


class Closed(enum.Enum):
    """Result of a read on a connection that the caller closed or that was idle for too long."""

    CALLER = EndReason.CALLER
    IDLE = EndReason.IDLE
    IDLE_AT_STOP = EndReason.IDLE_AT_STOP


class CallerConnection:
    """
    Connection of a caller.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted stream.
    limits : callable
        Returns the current limits.
    find_idle_limit_s : callable or None
        Returns the longest idle limit in seconds that was in force since a monotonic time; None
        for the current one.
    memory : RequestMemory or None
        Memory of all requests of the host; None for one without a site.

    Attributes
    ----------
    announces_close : bool
        Whether the heads of streams say that the connection is closed after them.
    is_broken : bool
        Whether nothing more may be sent.
    was_reset : bool
        Whether it was closed with data that was not read, which resets it.
    """

    __slots__ = (
        "_stream",
        "_limits",
        "_find_idle_limit_s",
        "_conn",
        "_idle_wait",
        "_read_scope",
        "_is_new",
        "_is_head",
        "_has_started",
        "_pipelined_bytes",
        "_unparsed_bytes",
        "_memory",
        "_account",
        "_body_bytes",
        "_due_bytes",
        "announces_close",
        "is_broken",
        "was_reset",
    )

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        limits: Callable[[], Limits],
        find_idle_limit_s: FindIdleLimitFn | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._find_idle_limit_s = find_idle_limit_s or (lambda since: limits().idle_timeout_s)
        # The limit in force on heads, which may change meanwhile, is checked by `_read_head`.
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_BYTES)
        self._idle_wait: IdleWait | None = None
        self._read_scope = trio.CancelScope()
        # Whether nothing has been received yet.
        self._is_new = True
        # Responses to HEAD requests have no body.
        self._is_head = False
        self._has_started = False
        self._pipelined_bytes = 0
        # Bytes that have arrived and wait for their memory.
        self._unparsed_bytes = 0
        self._memory = memory or make_default_request_memory()
        self._account = self._memory.open(name_peer(stream), self._stop_reading)
        self._body_bytes = 0
        # Bytes that the caller may still send of a request that is refused.
        self._due_bytes = 0
        self.announces_close = False
        self.is_broken = False
        self.was_reset = False

    @property
    def has_started(self) -> bool:
        """Whether the head of the current response was sent."""
        return self._has_started

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the next request has been received."""
        has_data = self._unparsed_bytes > 0 or self.buffered_bytes > 0
        return has_data or self._conn.their_state is h11.SEND_BODY

    async def read_request(self) -> CallerRequest | Refusal | Closed:
        """
        Read the next request.

        Returns
        -------
        CallerRequest, Refusal or Closed
            The request, the reason for its refusal, or the note that there is none.
        """
        result: CallerRequest | Refusal | Closed | None = None
        with trio.CancelScope() as self._read_scope:
            result = await self._read_request()
        if isinstance(result, CallerRequest):
            return result
        if self._account.is_evicted:
            return Refusal(status=503, detail="the host has no memory left for the request")
        return result or Refusal(status=503, detail="the host stops")

    async def _read_request(self) -> CallerRequest | Refusal | Closed:
        try:
            event = await self._begin_head()
            if isinstance(event, Closed):
                return event
            # Read after the wait, during which they may have changed.
            limits = self._limits()
            head = await self._read_head(event, limits)
            if not isinstance(head, h11.Request):
                return head
            self._is_head = head.method == b"HEAD"
            self._due_bytes = find_due_bytes(head)
            fault = check_head(head, limits, self._memory.max_body_bytes)
            if fault is not None:
                return fault
            body = await self._read_body(limits, find_body_length(head))
        except h11.RemoteProtocolError as exc:
            self._due_bytes = 0
            return Refusal(status=exc.error_status_hint or 400, detail=str(exc))
        except STREAM_ERRORS:
            return Closed.CALLER
        if not isinstance(body, bytes):
            return body
        self._due_bytes = 0
        self._body_bytes = len(body)
        self._account.complete(self._body_bytes + self.buffered_bytes)
        return CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers),
            body=body,
        )

    def _stop_reading(self) -> None:
        self._read_scope.cancel()

    async def _begin_head(self) -> ReadEvent | Closed:
        """Wait until a part of the next request has arrived."""
        if not await self._account.hold(self.buffered_bytes):
            return Closed.CALLER
        event = self._conn.next_event()
        if event is not h11.NEED_DATA or self._conn.trailing_data[0]:
            return event
        data = await self._wait_for_data()
        if isinstance(data, EndReason):
            return Closed(data)
        return await self._take_in(data)

    async def _take_in(self, data: bytes, held: int = 0) -> ReadEvent | Closed:
        """Parse data that has arrived, once there is memory for it and what is held already."""
        self._unparsed_bytes = len(data)
        if not await self._account.hold(held + self.buffered_bytes + len(data)):
            # The request is refused; see `read_request`.
            return Closed.CALLER
        self._unparsed_bytes = 0
        self._conn.receive_data(data)
        return self._conn.next_event()

    async def _read_head(
        self, event: ReadEvent | Closed, limits: Limits
    ) -> h11.Request | Refusal | Closed:
        with trio.move_on_after(limits.header_timeout_s):
            while event is h11.NEED_DATA:
                if len(self._conn.trailing_data[0]) > limits.max_header_bytes:
                    return refuse_head(limits)
                event = await self._take_in(bytes(await self._stream.receive_some(READ_BYTES)))
        if isinstance(event, h11.Request):
            return event
        if event is h11.NEED_DATA:
            detail = f"the head was not complete within {limits.header_timeout_s} s"
            return Refusal(status=408, detail=detail)
        return Closed.CALLER

    async def _wait_for_data(self) -> bytes | EndReason:
        self._idle_wait = IdleWait(
            stream=self._stream,
            find_limit_s=self._find_idle_limit_s,
            min_s=NEW_CONNECTION_WAIT_S if self._is_new else 0.0,
        )
        try:
            data = await self._idle_wait.receive()
            self._is_new = False
            return data
        finally:
            self._idle_wait = None

    def close_if_idle(self) -> None:
        """Close the connection unless data of a request has arrived."""
        if self._idle_wait is not None:
            self._idle_wait.stop()

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being read, because the host stops."""
        if self.is_receiving:
            self._read_scope.cancel()

    async def _read_body(self, limits: Limits, length: int | None) -> bytes | Refusal | Closed:
        max_bytes = min(limits.max_body_bytes, self._memory.max_body_bytes)
        if length is not None and not await self._account.reserve(length, has_known_size=True):
            return Closed.CALLER
        # One object: the parts of a body may be single bytes.
        body = bytearray()
        parts = 0
        event: ReadEvent | Closed = self._conn.next_event()
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                if event is h11.NEED_DATA:
                    size = len(body) + self.buffered_bytes
                    bound = length or (max_bytes if size >= SMALL_BYTES else 0)
                    if not await self._account.reserve(bound, has_known_size=False):
                        return Closed.CALLER
                    data = await self._receive_body_part(
                        READ_BYTES if bound else SMALL_BYTES - size
                    )
                    if data is None:
                        break
                    event = await self._take_in(data, held=len(body))
                elif isinstance(event, h11.Data):
                    body += event.data
                    self._due_bytes -= len(event.data)
                    if len(body) > max_bytes:
                        return refuse_body(limits, len(body))
                    parts += 1
                    if parts % PARTS_PER_TURN == 0:
                        await trio.lowlevel.checkpoint()
                    event = self._conn.next_event()
                elif isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                else:
                    return Closed.CALLER
        return Refusal(status=408, detail="the body did not arrive in time")

    async def _receive_body_part(self, max_bytes: int) -> bytes | None:
        """Return data of a body; None if none arrives for too long."""
        if self._conn.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._conn.send(proceed) or b"")
        with trio.move_on_after(MAX_BODY_PAUSE_S):
            return bytes(await self._stream.receive_some(max_bytes))
        return None

    async def wait_closed(self) -> None:
        """Wait until the caller closes the connection, while its request is served."""
        self._pipelined_bytes = 0
        try:
            while True:
                data = await self._stream.receive_some(PIPELINED_READ_BYTES)
                if not data:
                    return
                self._pipelined_bytes += len(data)
                self._conn.receive_data(bytes(data))
                if not await self._may_read_ahead():
                    # Too much pipelined data: stop reading, so that a close is no longer detected.
                    await trio.sleep_forever()
        except STREAM_ERRORS:
            return

    async def _may_read_ahead(self) -> bool:
        """Return whether more of the requests after the current one may be read."""
        if self._pipelined_bytes <= PIPELINED_READ_BYTES:
            return True
        size = self._body_bytes + self.buffered_bytes
        return self._pipelined_bytes <= MAX_PIPELINED_BYTES and await self._account.try_hold(size)

    async def start_response(self, status: int, headers: Headers) -> None:
        """
        Send the head of a stream.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the caller has closed the connection.
        h11.LocalProtocolError
            If a header is not valid; nothing was sent then, and another response may be.
        """
        if self.announces_close:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        self._has_started = True
        await self._send(self._conn.send(response) or b"")

    async def send_body_part(self, data: bytes) -> None:
        """Send a part of the response body; raises like `start_response`."""
        await self._send(self._conn.send(h11.Data(data=data)) or b"")

    async def end_response(self) -> None:
        """End the response body; raises like `start_response`."""
        await self._send(self._conn.send(h11.EndOfMessage()) or b"")

    async def send_response(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """
        Send a whole response, in one write if it is short; raises like `start_response`.

        `on_sent` is called after each part of a long body.
        """
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.is_broken = True
            return
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        response = h11.Response(status_code=status, headers=headers)
        self._has_started = True
        data = self._conn.send(response) or b""
        if len(body) > MAX_JOINED_BYTES and not self._is_head:
            await self._send(data)
            for start in range(0, len(body), MAX_JOINED_BYTES):
                await self.send_body_part(body[start : start + MAX_JOINED_BYTES])
                on_sent()
            await self.end_response()
            return
        if not self._is_head:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        if self.is_broken:
            raise trio.BrokenResourceError("an earlier write did not complete")
        try:
            await self._stream.send_all(data)
        except BaseException:
            # A part of the data may have been sent, so nothing else may be sent after it.
            self.is_broken = True
            raise

    def prepare_next_request(self) -> bool:
        """
        Prepare the connection for its next request.

        Returns
        -------
        bool
            False if the connection must be closed.
        """
        if self.is_broken:
            return False
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        self._has_started = False
        # The next request may be refused before its method is known.
        self._is_head = False
        self._account.close()
        return True

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that were received and belong to no request that was read."""
        return len(self._conn.trailing_data[0])

    def _ends_with_close(self) -> bool:
        """Return whether the caller would take a close for the end of the current response."""
        # HTTP/1.0 has no chunks, so that a body of unknown length ends with its connection.
        return self._conn.our_state is h11.SEND_BODY and self._conn.their_http_version == b"1.0"

    async def aclose(self, *, is_forced: bool = False) -> int:
        """
        Close the connection.

        Parameters
        ----------
        is_forced : bool
            Whether to close immediately and drop data that has not been sent.

        Returns
        -------
        int
            Number of received bytes that were dropped without being served.
        """
        dropped = self.buffered_bytes + self._unparsed_bytes
        self._account.end()
        if is_forced or self.is_broken:
            if self._ends_with_close():
                reset_on_close(self._stream)
            self.was_reset = has_unread_data(self._stream)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)
        else:
            # Frees what was read: the graceful close takes time.
            self._conn = h11.Connection(h11.SERVER)
            dropped += await close_gracefully(self._stream, self._due_bytes - dropped)
        return dropped


def check_head(
    head: h11.Request, limits: Limits, max_body_bytes: int = sys.maxsize
) -> Refusal | None:
    """
    Refuse heads that are too large or whose body length is ambiguous (request smuggling).

    Parameters
    ----------
    head : h11.Request
        The head.
    limits : Limits
        Current limits.
    max_body_bytes : int
        Size of the largest body that the host can hold.

    Returns
    -------
    Refusal or None
        None if the head is acceptable.
    """
    size = sum(len(name) + len(value) for name, value in head.headers) + len(head.target)
    if size > limits.max_header_bytes:
        return refuse_head(limits)
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return Refusal(status=400, detail="content-length and transfer-encoding exclude each other")
    if names.count(b"transfer-encoding") > 1 or names.count(b"host") > 1:
        return Refusal(status=400, detail="a header that may be given once is given twice")
    if head.method == b"CONNECT":
        return Refusal(status=400, detail="CONNECT is not supported")
    length = find_body_length(head)
    if length is not None and length > min(limits.max_body_bytes, max_body_bytes):
        return refuse_body(limits, length)
    return None


def find_body_length(head: h11.Request) -> int | None:
    """Return the announced length of a body; None if there is none."""
    lengths = [value for name, value in head.headers if name == b"content-length"]
    return max((int(value) for value in lengths if value.isdigit()), default=None)


def find_due_bytes(head: h11.Request) -> int:
    """Return how many bytes of a body are read after the refusal of its request."""
    length = find_body_length(head)
    if length is None:
        is_chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
        return MAX_CLOSE_BYTES if is_chunked else 0
    return min(length, MAX_CLOSE_BYTES)


def refuse_body(limits: Limits, size: int) -> Refusal:
    """Return the refusal of a body that is too large for the configuration, or for this host."""
    if size > limits.max_body_bytes:
        return Refusal(status=413, detail=f"a body has at most {limits.max_body_bytes} bytes")
    return Refusal(status=503, detail="the body is too large for the memory of this host")


def refuse_head(limits: Limits) -> Refusal:
    """Return the refusal of a head that is too large."""
    return Refusal(status=431, detail=f"a head has at most {limits.max_header_bytes} bytes")

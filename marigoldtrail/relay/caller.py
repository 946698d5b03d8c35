"""One connection of a caller: reads its requests and writes the answers."""

from __future__ import annotations

import enum
from collections.abc import Callable

import h11
import msgspec
import trio

from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.types import Headers
from marigoldtrail.routing import Limits

READ_BYTES = 65536
# A body that arrives more slowly than this is given up.
BODY_PAUSE_S = 5.0
BODY_TIMEOUT_S = 20.0
# Requests sent ahead of their turn are read up to this size while another one is served.
MAX_AHEAD_BYTES = 65536


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request that could not be read.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    detail : str
        What is wrong.
    """

    status: int
    detail: str


class CallerRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A complete request of a caller.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as they were sent.
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
    """The caller has closed the connection between two requests, or it was idle for too long."""

    CLOSED = "closed"


class CallerConnection:
    """
    A connection of a caller.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted stream.
    limits : callable
        Returns the limits in force.
    """

    __slots__ = ("_stream", "_limits", "_conn", "_started", "_ahead", "is_broken")

    def __init__(self, *, stream: trio.abc.Stream, limits: Callable[[], Limits]) -> None:
        self._stream = stream
        self._limits = limits
        size = limits().max_header_bytes
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=size)
        self._started = False
        self._ahead = 0
        self.is_broken = False

    @property
    def has_started(self) -> bool:
        """Whether the head of the present answer was sent."""
        return self._started

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the next request has arrived."""
        return self._conn.their_state is h11.SEND_BODY or bool(self._conn.trailing_data[0])

    async def read_request(self) -> CallerRequest | Refusal | Closed:
        """
        Read the next request.

        Returns
        -------
        CallerRequest, Refusal or Closed
            The request; why it can't be read; or that there is none.
        """
        limits = self._limits()
        try:
            head = await self._read_head(limits)
            if not isinstance(head, h11.Request):
                return head
            fault = check_head(head, limits)
            if fault is not None:
                return fault
            body = await self._read_body(limits)
        except h11.RemoteProtocolError as exc:
            return Refusal(status=exc.error_status_hint or 400, detail=str(exc))
        except STREAM_ERRORS:
            return Closed.CLOSED
        if not isinstance(body, bytes):
            return body
        return CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers),
            body=body,
        )

    async def _read_head(self, limits: Limits) -> h11.Request | Refusal | Closed:
        event = self._conn.next_event()
        if event is h11.NEED_DATA and not self._conn.trailing_data[0]:
            with trio.move_on_after(limits.idle_timeout_s):
                event = await self._receive()
            if event is h11.NEED_DATA and not self._conn.trailing_data[0]:
                return Closed.CLOSED
        with trio.move_on_after(limits.header_timeout_s):
            while event is h11.NEED_DATA:
                event = await self._receive()
        if isinstance(event, h11.Request):
            return event
        if event is h11.NEED_DATA:
            detail = f"the head was not complete within {limits.header_timeout_s} s"
            return Refusal(status=408, detail=detail)
        return Closed.CLOSED

    async def _receive(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
        return self._conn.next_event()

    async def _read_body(self, limits: Limits) -> bytes | Refusal | Closed:
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(BODY_TIMEOUT_S) as scope:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    if self._conn.they_are_waiting_for_100_continue:
                        proceed = h11.InformationalResponse(status_code=100, headers=[])
                        await self._stream.send_all(self._conn.send(proceed) or b"")
                    with trio.move_on_after(BODY_PAUSE_S) as pause:
                        self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
                    if pause.cancelled_caught:
                        scope.cancel()
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    size += len(event.data)
                    if size > limits.max_body_bytes:
                        detail = f"a body has at most {limits.max_body_bytes} bytes"
                        return Refusal(status=413, detail=detail)
                elif isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                else:
                    return Closed.CLOSED
        return Refusal(status=408, detail="the body did not arrive in time")

    async def wait_closed(self) -> None:
        """Wait until the caller has closed the connection while its request is served."""
        self._ahead = 0
        try:
            while True:
                data = await self._stream.receive_some(READ_BYTES)
                if not data:
                    return
                self._ahead += len(data)
                self._conn.receive_data(bytes(data))
                if self._ahead > MAX_AHEAD_BYTES:
                    # The caller sends ahead of its turn; it is no longer watched.
                    await trio.sleep_forever()
        except STREAM_ERRORS:
            return

    async def start_answer(self, status: int, headers: Headers) -> None:
        """
        Send the head of an answer.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the caller is gone.
        """
        self._started = True
        response = h11.Response(status_code=status, headers=headers)
        await self._send(self._conn.send(response) or b"")

    async def send_part(self, data: bytes) -> None:
        """Send a part of an answer's body; see `start_answer`."""
        await self._send(self._conn.send(h11.Data(data=data)) or b"")

    async def end_answer(self) -> None:
        """End the body of an answer; see `start_answer`."""
        await self._send(self._conn.send(h11.EndOfMessage()) or b"")

    async def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer in one write; see `start_answer`."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.is_broken = True
            return
        self._started = True
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        response = h11.Response(status_code=status, headers=headers)
        data = self._conn.send(response) or b""
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except BaseException:
            # A part of the bytes may have left, so that nothing may follow them.
            self.is_broken = True
            raise

    def prepare_next(self) -> bool:
        """
        Get ready for the next request on the connection.

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
        self._started = False
        return True

    async def aclose(self, *, at_once: bool = False) -> None:
        """
        Close the connection.

        Parameters
        ----------
        at_once : bool
            Whether bytes that were not sent yet are dropped.
        """
        with trio.CancelScope(shield=True):
            if at_once or self.is_broken:
                await trio.aclose_forcefully(self._stream)
                return
            await linger(self._stream)


LINGER_S = 0.5


async def linger(stream: trio.abc.Stream) -> None:
    """
    Close a stream so that the peer still reads the last answer.

    Closing a socket with unread bytes resets the connection, which can destroy an answer on its
    way. The peer is told that nothing follows, and what it still sends is read and dropped.

    Parameters
    ----------
    stream : trio.abc.Stream
        The stream.
    """
    with trio.move_on_after(LINGER_S):
        try:
            if isinstance(stream, trio.abc.HalfCloseableStream):
                await stream.send_eof()
                while await stream.receive_some(READ_BYTES):
                    pass
        except STREAM_ERRORS:
            pass
    await trio.aclose_forcefully(stream)


def check_head(head: h11.Request, limits: Limits) -> Refusal | None:
    """
    Refuse heads whose end of body two parsers could see at different places.

    Parameters
    ----------
    head : h11.Request
        The head.
    limits : Limits
        Limits in force.

    Returns
    -------
    Refusal or None
        None if the head is fine.
    """
    size = sum(len(name) + len(value) for name, value in head.headers) + len(head.target)
    if size > limits.max_header_bytes:
        return Refusal(status=431, detail=f"a head has at most {limits.max_header_bytes} bytes")
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return Refusal(status=400, detail="content-length and transfer-encoding exclude each other")
    if names.count(b"transfer-encoding") > 1 or names.count(b"host") > 1:
        return Refusal(status=400, detail="a header that may be given once is given twice")
    if head.method == b"CONNECT":
        return Refusal(status=400, detail="CONNECT is not supported")
    for name, value in head.headers:
        if name == b"content-length" and value.isdigit() and int(value) > limits.max_body_bytes:
            detail = f"a body has at most {limits.max_body_bytes} bytes"
            return Refusal(status=413, detail=detail)
    return None

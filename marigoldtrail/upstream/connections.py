"""HTTP/1.1 connections to one upstream, each bound to one instance of it."""

from __future__ import annotations

import math
from typing import NamedTuple

import h11
import httpcore
import trio

from marigoldtrail.net import Address
from marigoldtrail.timers import Timers
from marigoldtrail.upstream.streams import HttpStream

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 64
READ_BYTES = 65536
# Servers commonly close idle connections after 5 s; closing earlier avoids that race.
MAX_IDLE_S = 4.0

# A longer number in a header counts as missing.
MAX_NUMBER_DIGITS = 9

MAX_STATUS = 599
EXCHANGE_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class AnswerTooLargeError(Exception):
    """An answer exceeds `MAX_ANSWER_BYTES`."""


class RawAnswer(NamedTuple):
    """
    Status, headers and body of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        Headers with lower-case names.
    body : bytes
        Complete body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def parse_number(value: bytes) -> int | None:
    """
    Return the number in a header.

    Parameters
    ----------
    value : bytes
        Value of the header.

    Returns
    -------
    int or None
        None unless it consists of at most `MAX_NUMBER_DIGITS` digits.

    Examples
    --------
    >>> parse_number(b"7"), parse_number(b"-7"), parse_number(b"7" * 400)
    (7, None, None)
    """
    return int(value) if value.isdigit() and len(value) <= MAX_NUMBER_DIGITS else None


class Connection:
    """
    One HTTP/1.1 connection; `instance` is the id of the process at its remote end.

    Parameters
    ----------
    address : Address
        The upstream's address.
    stream : trio.abc.Stream
        The connected stream.
    """

    __slots__ = (
        "instance",
        "idle_since",
        "stream",
        "_http",
        "_body_ended",
        "_host",
        "_header_host",
        "_port",
    )

    def __init__(self, *, address: Address, stream: trio.abc.Stream) -> None:
        self.instance = ""
        self.idle_since = 0.0
        self.stream = HttpStream(stream=stream)
        self._body_ended = True
        self._host = address.ip.encode()
        self._header_host = str(address).encode()
        self._port = address.port
        origin = httpcore.Origin(b"http", self._host, self._port)
        self._http = httpcore.AsyncHTTP11Connection(origin=origin, stream=self.stream)

    async def open(
        self, method: str, target: str, body: bytes, headers: list[tuple[bytes, bytes]]
    ) -> httpcore.Response:
        """
        Send a request and receive the head of its response.

        Parameters
        ----------
        method, target : str
            HTTP method; path and query.
        body : bytes
            Body; may be empty.
        headers : list
            Headers besides ``host`` and those that describe the body.

        Returns
        -------
        httpcore.Response
            Its body is not yet received.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError
            If the exchange fails; `stream.may_have_sent` tells whether the request may have left.
        """
        self.stream.may_have_sent = False
        self._body_ended = False
        fields = [(b"host", self._header_host), *headers]
        if body:
            fields += (
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            )
        url = httpcore.URL(scheme=b"http", host=self._host, port=self._port, target=target.encode())
        request = httpcore.Request(method, url, headers=fields, content=body)
        response = await self._http.handle_async_request(request)
        if response.status > MAX_STATUS:
            await self.aclose()
            raise httpcore.RemoteProtocolError(f"invalid status {response.status}")
        return response

    async def exchange(
        self, method: str, target: str, body: bytes, headers: list[tuple[bytes, bytes]]
    ) -> RawAnswer:
        """
        Send a request and receive its complete response; see `open`.

        Raises
        ------
        AnswerTooLargeError
            If the body exceeds `MAX_ANSWER_BYTES`.
        """
        response = await self.open(method, target, body, headers)
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := await self.read_body():
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    raise AnswerTooLargeError(f"more than {MAX_ANSWER_BYTES} bytes")
        except BaseException:
            await self.aclose()
            raise
        await response.aclose()
        fields = {name.lower(): value for name, value in response.headers}
        return RawAnswer(response.status, fields, b"".join(chunks))

    async def read_body(self, deadline: float = math.inf) -> bytes:
        """
        Receive the next part of a response's body: everything that has arrived.

        This drives the h11 state machine directly: the iterator of httpcore passes each HTTP chunk,
        and so each token of a stream, through five context managers and two generators.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds after which to give up.

        Returns
        -------
        bytes
            Empty at the end of the body.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.ReadTimeout
            If the response breaks off, is malformed or does not come in time.
        """
        state = self._http._h11_state
        parts: list[bytes] = []
        try:
            while not self._body_ended:
                event = state.next_event()
                if type(event) is h11.Data:
                    parts.append(bytes(event.data))
                elif event is not h11.NEED_DATA:
                    self._body_ended = True
                elif parts:
                    break
                else:
                    state.receive_data(await self._read(deadline))
        except h11.RemoteProtocolError as exc:
            raise httpcore.RemoteProtocolError(str(exc)) from exc
        return b"".join(parts)

    async def _read(self, deadline: float) -> bytes:
        if deadline == math.inf:
            return await self.stream.read(READ_BYTES)
        with trio.CancelScope(deadline=deadline):
            return await self.stream.read(READ_BYTES)
        raise httpcore.ReadTimeout("the deadline has passed")

    def is_idle(self) -> bool:
        """Tell whether the last exchange is complete and the peer keeps the connection open."""
        # Bytes after the end of a response belong to no request of this connection.
        return self._http.is_idle() and not self._http._h11_state.trailing_data[0]

    async def is_reusable(self) -> bool:
        """Tell whether the connection is idle and the peer has neither closed it nor sent more."""
        try:
            return self.is_idle() and await self.stream.has_no_input()
        except trio.Cancelled:
            await self.aclose()
            raise

    async def aclose(self) -> None:
        """Close the connection at once."""
        with trio.CancelScope(shield=True):
            await self._http.aclose()


class ConnectionPool:
    """
    Idle connections to one upstream and the evidence about its process.

    Parameters
    ----------
    address : Address
        The upstream's address.
    timers : Timers
        Clock.
    """

    __slots__ = (
        "address",
        "has_abnormal_close",
        "last_instance",
        "contradicted_status",
        "evidence",
        "evidence_reported_at",
        "_timers",
        "_idle",
    )

    def __init__(self, *, address: Address, timers: Timers) -> None:
        self.address = address
        # Set when the peer closed a connection without announcing it.
        self.has_abnormal_close = False
        # Instance in the header of the last answer; empty if none was given.
        self.last_instance = ""
        # Instance and change time of the view's status that evidence of a cold start contradicts;
        # None if there is no such evidence.
        self.contradicted_status: tuple[str, int] | None = None
        self.evidence: tuple[str, str, str] = ("", "", "")
        self.evidence_reported_at = 0.0
        self._timers = timers
        self._idle: list[Connection] = []

    async def acquire_idle(self, instance: str) -> Connection | None:
        """
        Take an idle connection after checking that it can be used again.

        Parameters
        ----------
        instance : str
            Instance that it must be bound to; empty for any.

        Returns
        -------
        Connection or None
            None if a new one must be opened.
        """
        while self._idle:
            conn = self._idle.pop()
            if self._is_expired(conn):
                await conn.aclose()
            elif not await conn.is_reusable():
                self.has_abnormal_close = True
                await conn.aclose()
            elif instance and conn.instance and conn.instance != instance:
                await conn.aclose()
            else:
                return conn
        return None

    def _is_expired(self, conn: Connection) -> bool:
        return self._timers.now() - conn.idle_since > MAX_IDLE_S

    async def release(self, conn: Connection) -> None:
        """Keep a connection for later calls, or close it if it cannot be used again."""
        # The most recently used one is taken first, so connections in excess expire at the front.
        while self._idle and self._is_expired(self._idle[0]):
            await self._idle.pop(0).aclose()
        if conn.is_idle() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            conn.idle_since = self._timers.now()
            self._idle.append(conn)
        else:
            await conn.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await conn.aclose()

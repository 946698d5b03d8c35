"""HTTP endpoints of a host for readiness, look-ups, operators and metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio

from marigoldtrail.memory.requests import RequestMemory
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.caller_connection import CallerConnection, CallerRequest, Closed, Refusal
from marigoldtrail.relay.types import Headers
from marigoldtrail.routing import Limits

_log = logging.getLogger(__name__)


class Reply(msgspec.Struct, kw_only=True, frozen=True):
    """
    Response of an endpoint.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    headers : list of tuple
        Headers without the content length.
    """

    status: int
    body: bytes = b""
    headers: Headers = []


Handler = Callable[[CallerRequest], Awaitable[Reply]]

STOPPING_REPLY = Reply(status=503, headers=[(b"retry-after", b"0.3")])


class EndpointStop:
    """
    Ends the connections of a host's endpoints when the host stops.

    Attributes
    ----------
    is_stopping : bool
        Whether each reply announces that its connection is closed.
    has_ended : bool
        Whether requests are refused.

    Examples
    --------
    >>> stop = EndpointStop()
    >>> stop.start()
    >>> stop.is_stopping, stop.has_ended
    (True, False)
    """

    __slots__ = ("is_stopping", "has_ended", "_reading", "_handling")

    def __init__(self) -> None:
        self.is_stopping = False
        self.has_ended = False
        # Connections that wait for a request or are reading one.
        self._reading: set[CallerConnection] = set()
        self._handling: set[trio.CancelScope] = set()

    def start(self) -> None:
        """Announce the close in each reply from here on."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close connections on which no part of a request has arrived."""
        for conn in self._reading:
            conn.close_if_idle()

    def end(self) -> None:
        """Refuse requests in progress and all later ones."""
        self.has_ended = True
        for scope in self._handling:
            scope.cancel()
        for conn in self._reading:
            conn.refuse_incomplete()

    async def read_request(self, conn: CallerConnection) -> CallerRequest | Refusal | Closed:
        """Read the next request of a connection."""
        self._reading.add(conn)
        try:
            return await conn.read_request()
        finally:
            self._reading.discard(conn)

    async def handle(self, handler: Handler, request: CallerRequest) -> Reply:
        """Return the reply of a handler, or a refusal once the stop has ended."""
        reply = STOPPING_REPLY
        if not self.has_ended:
            scope = trio.CancelScope()
            self._handling.add(scope)
            try:
                with scope:
                    reply = await handle_guarded(handler, request)
            finally:
                self._handling.discard(scope)
        if self.is_stopping:
            headers = [*reply.headers, (b"connection", b"close")]
            return msgspec.structs.replace(reply, headers=headers)
        return reply


async def serve_endpoint(
    stream: trio.abc.Stream,
    handler: Handler,
    limits: Limits,
    stop: EndpointStop | None = None,
    memory: RequestMemory | None = None,
) -> None:
    """
    Serve the requests of one connection with a handler.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted stream.
    handler : callable
        Returns the reply to a request.
    limits : Limits
        Limits for requests.
    stop : EndpointStop or None
        Ends the connection when the host stops; None if it never does.
    memory : RequestMemory or None
        Memory of all requests of the host; None for one without a site.
    """
    stop = stop or EndpointStop()
    conn = CallerConnection(stream=stream, limits=lambda: limits, memory=memory)
    is_forced = True
    try:
        while True:
            request = await stop.read_request(conn)
            if isinstance(request, Closed):
                return
            if isinstance(request, Refusal):
                await conn.send_response(request.status, make_refusal_headers(request), b"")
                break
            reply = await handle_while_connected(conn, partial(stop.handle, handler), request)
            if reply is None:
                return
            await conn.send_response(reply.status, reply.headers, reply.body)
            if not conn.prepare_next_request():
                break
        is_forced = False
    except STREAM_ERRORS as exc:
        _log.debug("endpoint connection failed: %s", exc)
    except Exception:
        _log.exception("endpoint connection raised an exception")
    finally:
        # After a failure or cancellation, unsent data is dropped.
        dropped = await conn.aclose(is_forced=is_forced)
        if dropped:
            _log.info("data of a caller was dropped at an endpoint", extra={"bytes": dropped})


def make_refusal_headers(refusal: Refusal) -> Headers:
    """Return the headers of the refusal of a request that was not read to its end."""
    headers = [(b"connection", b"close")]
    return [*headers, *STOPPING_REPLY.headers] if refusal.status == 503 else headers


async def handle_while_connected(
    conn: CallerConnection, handler: Handler, request: CallerRequest
) -> Reply | None:
    """
    Return the reply of a handler; cancel it if the caller closes the connection.

    Parameters
    ----------
    conn : CallerConnection
        The connection.
    handler : callable
        Returns the reply to a request.
    request : CallerRequest
        The request.

    Returns
    -------
    Reply or None
        The reply; None if the caller has left, whose order must not take effect any more.
    """
    reply: Reply | None = None

    async def watch(scope: trio.CancelScope) -> None:
        await conn.wait_closed()
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        reply = await handler(request)
        nursery.cancel_scope.cancel()
    return reply


async def handle_guarded(handler: Handler, request: CallerRequest) -> Reply:
    """
    Return the reply of a handler, or one with status 500 if it raises an exception.

    Parameters
    ----------
    handler : callable
        Returns the reply to a request.
    request : CallerRequest
        The request.

    Returns
    -------
    Reply
        The reply.
    """
    try:
        return await handler(request)
    except Exception:
        _log.exception("endpoint handler raised an exception")
        return Reply(status=500)

"""HTTP endpoints of a host for readiness, look-ups, operators and metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio

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


async def serve_endpoint(stream: trio.abc.Stream, handler: Handler, limits: Limits) -> None:
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
    """
    conn = CallerConnection(stream=stream, limits=lambda: limits)
    is_forced = True
    try:
        while True:
            request = await conn.read_request()
            if isinstance(request, Closed):
                return
            if isinstance(request, Refusal):
                await conn.send_response(request.status, [(b"connection", b"close")], b"")
                break
            reply = await handle_while_connected(conn, handler, request)
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
        # After a failure or cancellation, unsent data is dropped: a stopping host does not wait
        # for the callers of its endpoints.
        dropped = await conn.aclose(is_forced=is_forced)
        if dropped:
            _log.info("data of a caller was dropped at an endpoint", extra={"bytes": dropped})


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
        reply = await handle_guarded(handler, request)
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

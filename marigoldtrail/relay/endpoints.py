"""Small HTTP endpoints of a host: readiness, look-ups, operators, metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio

from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.relay.caller import CallerConnection, CallerRequest, Closed, Refusal
from marigoldtrail.relay.types import Headers
from marigoldtrail.routing import Limits

_log = logging.getLogger(__name__)


class Reply(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer of an endpoint.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    headers : list of tuple
        Headers besides the length of the body.
    """

    status: int
    body: bytes = b""
    headers: Headers = []


Handler = Callable[[CallerRequest], Awaitable[Reply]]


async def serve_endpoint(stream: trio.abc.Stream, handler: Handler, limits: Limits) -> None:
    """
    Serve one connection with a function of the request.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted stream.
    handler : callable
        Returns the reply to a request.
    limits : Limits
        Limits of requests.
    """
    conn = CallerConnection(stream=stream, limits=lambda: limits)
    at_once = True
    try:
        while True:
            request = await conn.read_request()
            if isinstance(request, Closed):
                break
            if isinstance(request, Refusal):
                await conn.send_answer(request.status, [(b"connection", b"close")], b"")
                break
            reply = await handler(request)
            await conn.send_answer(reply.status, reply.headers, reply.body)
            if not conn.prepare_next():
                break
        at_once = False
    except STREAM_ERRORS as exc:
        _log.debug("connection to an endpoint broke: %s", exc)
    except Exception:
        _log.exception("an endpoint failed")
    finally:
        # A host that stops does not wait for the callers of its endpoints.
        await conn.aclose(at_once=at_once)

"""Calls of the system itself to upstreams and the platform, apart from callers' requests."""

from __future__ import annotations

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.responses import read_body
from marigoldtrail.relay.types import Headers
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection
from marigoldtrail.routing import Upstream

# Longer requests are sent while the response is read.
MAX_INLINE_BYTES = 16384


class CallResponse(msgspec.Struct, kw_only=True, frozen=True):
    """
    Complete response to a call.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes
        The body.
    """

    head: ResponseHead
    body: bytes


async def call_upstream(
    pool: ConnectionPool,
    upstream: Upstream,
    *,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float,
) -> CallResponse | Failure:
    """
    Send a request and read the whole response.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to upstreams.
    upstream : Upstream
        The called upstream.
    method, target : bytes
        Method, and path with query.
    headers : list of tuple
        Headers without host and content length.
    body : bytes
        The body.
    timeout_s : float
        Timeout in seconds; infinite for none.

    Returns
    -------
    CallResponse or Failure
        ``OVERLOADED`` and ``NOT_RUN`` if the upstream states that it did not run the request, with
        the seconds for which it accepts no more requests.
    """
    headers = [(b"host", upstream.address.encode()), *headers]
    conn = None
    result: CallResponse | Failure = Failure(
        reason=Reason.TIMEOUT,
        run_state=RunState.MAY_HAVE_RUN,
        step="call",
        peer=upstream.name,
        detail=f"no answer within {timeout_s} s",
    )
    try:
        with trio.move_on_after(timeout_s):
            acquired = await pool.acquire(upstream, may_repeat=True)
            if isinstance(acquired, Failure):
                return acquired
            conn = acquired
            conn.prepare_request(method, target, headers, body)
            result = await _send_and_receive(conn, len(body))
    finally:
        if conn is not None:
            with trio.CancelScope(shield=True):
                await pool.release(upstream.name, conn)
    return result


async def _send_and_receive(conn: UpstreamConnection, body_bytes: int) -> CallResponse | Failure:
    if body_bytes <= MAX_INLINE_BYTES:
        # The request fits into the buffers of the connection and needs no separate task.
        await conn.send_request()
        return await _read_response(conn)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.send_request)
        result = await _read_response(conn)
        nursery.cancel_scope.cancel()
    return result


async def _read_response(conn: UpstreamConnection) -> CallResponse | Failure:
    head = await conn.read_head()
    if isinstance(head, Failure):
        return head
    body = await read_body(conn)
    if isinstance(body, Failure):
        return body
    if head.info.is_refusal or head.info.is_misdirected:
        failure = conn.make_failure(Reason.OVERLOADED, f"refused with status {head.status}")
        return msgspec.structs.replace(
            failure, run_state=RunState.NOT_RUN, retry_after_s=head.info.pause_s or 0.0
        )
    return CallResponse(head=head, body=body)

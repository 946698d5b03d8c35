"""Single calls to upstreams and to the platform, apart from the requests of callers."""

from __future__ import annotations

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.relay.attempt import read_whole
from marigoldtrail.relay.connection import Head, UpstreamConnection
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.types import Headers
from marigoldtrail.routing import Upstream

# Longer requests are sent while the answer is read already.
MAX_INLINE_BYTES = 16384


class CallAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    Complete answer to a call.

    Parameters
    ----------
    head : Head
        Status and headers.
    body : bytes
        The body.
    """

    head: Head
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
) -> CallAnswer | Failure:
    """
    Send a request and read the whole answer.

    Parameters
    ----------
    pool : ConnectionPool
        Connections.
    upstream : Upstream
        Who is called.
    method, target : bytes
        Method, and path with query.
    headers : list of tuple
        Headers without host and length.
    body : bytes
        The body.
    timeout_s : float
        Longest wait in seconds; infinite for none.

    Returns
    -------
    CallAnswer or Failure
        ``OVERLOADED`` and ``NOT_RUN`` if the upstream says that it did not run the request, with
        the seconds for which it wants no more of them.
    """
    headers = [(b"host", upstream.address.encode()), *headers]
    conn = None
    result: CallAnswer | Failure = Failure(
        reason=Reason.TIMEOUT,
        run_state=RunState.MAY_HAVE_RUN,
        step="call",
        peer=upstream.name,
        detail=f"no answer within {timeout_s} s",
    )
    try:
        with trio.move_on_after(timeout_s):
            taken = await pool.take(upstream, may_repeat=True)
            if isinstance(taken, Failure):
                return taken
            conn = taken
            conn.begin(method, target, headers, body)
            result = await _exchange(conn, len(body))
    finally:
        if conn is not None:
            with trio.CancelScope(shield=True):
                await pool.give_back(upstream.name, conn)
    return result


async def _exchange(conn: UpstreamConnection, body_bytes: int) -> CallAnswer | Failure:
    if body_bytes <= MAX_INLINE_BYTES:
        # The buffers of the connection take it, so that a task of its own is not needed.
        await conn.send()
        return await _read_answer(conn)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.send)
        result = await _read_answer(conn)
        nursery.cancel_scope.cancel()
    return result


async def _read_answer(conn: UpstreamConnection) -> CallAnswer | Failure:
    head = await conn.read_head()
    if isinstance(head, Failure):
        return head
    body = await read_whole(conn)
    if isinstance(body, Failure):
        return body
    if head.facts.is_refusal or head.facts.is_other_upstream:
        failure = conn.failure(Reason.OVERLOADED, f"refused with status {head.status}")
        return msgspec.structs.replace(
            failure, run_state=RunState.NOT_RUN, retry_after_s=head.facts.pause_s or 0.0
        )
    return CallAnswer(head=head, body=body)

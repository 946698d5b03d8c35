"""Calls of the system itself to upstreams and the platform, apart from callers' requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.responses import read_body
from marigoldtrail.relay.types import Headers
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection
from marigoldtrail.routing import Upstream

Result = TypeVar("Result")

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
    parse: Callable[[CallResponse], Result | Failure],
    max_answer_bytes: int,
    are_answers_alike: bool = False,
) -> Result | Failure:
    """
    Send a request and read the whole response.

    Responses to calls bear no ids. After one that may be an extra answer of the upstream, the
    connection is closed, since the next call would read the answer to this one.

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
    parse : callable
        Returns the result of a response that is not a refusal; a failure if it is no answer to
        the call.
    max_answer_bytes : int
        Longest body of a response.
    are_answers_alike : bool
        Whether equal answers to such calls are usual, and so no sign of a copy.

    Returns
    -------
    object or Failure
        The result, or ``OVERLOADED`` if the upstream states that it did not run the request, with
        the seconds for which it accepts no more requests. Such a failure is ``NOT_RUN`` unless it
        equals an earlier refusal on the same connection.
    """
    headers = [(b"host", upstream.address.encode()), *headers]
    conn = None
    result: Result | Failure = Failure(
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
            response = await _send_and_receive(conn, len(body), max_answer_bytes)
            if isinstance(response, Failure):
                return response
            result = _accept_response(conn, response, parse, are_answers_alike)
    finally:
        if conn is not None:
            # Not interrupted by a cancellation: closing a connection is shielded.
            await pool.release(upstream.name, conn)
    return result


async def _send_and_receive(
    conn: UpstreamConnection, body_bytes: int, max_answer_bytes: int
) -> CallResponse | Failure:
    if body_bytes <= MAX_INLINE_BYTES:
        # The request fits into the buffers of the connection and needs no separate task.
        await conn.send_request()
        return await _read_response(conn, max_answer_bytes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.send_request)
        result = await _read_response(conn, max_answer_bytes)
        nursery.cancel_scope.cancel()
    return result


async def _read_response(conn: UpstreamConnection, max_answer_bytes: int) -> CallResponse | Failure:
    head = await conn.read_head()
    if isinstance(head, Failure):
        return head
    body = await read_body(conn, max_bytes=max_answer_bytes)
    if isinstance(body, Failure):
        return body
    return CallResponse(head=head, body=body)


def _accept_response(
    conn: UpstreamConnection,
    response: CallResponse,
    parse: Callable[[CallResponse], Result | Failure],
    are_answers_alike: bool,
) -> Result | Failure:
    """Return the result of a response; reuse the connection only if it is no extra answer."""
    head = response.head
    is_refusal = head.info.is_refusal or head.info.is_misdirected
    is_usual = are_answers_alike and not is_refusal
    is_copy = conn.note_answer(head.status, response.body, is_usual=is_usual)
    if is_copy:
        conn.forbid_reuse()
    if is_refusal:
        failure = conn.make_failure(Reason.OVERLOADED, f"refused with status {head.status}")
        return msgspec.structs.replace(
            failure,
            run_state=RunState.MAY_HAVE_RUN if is_copy else RunState.NOT_RUN,
            retry_after_s=head.info.pause_s or 0.0,
        )
    if is_copy and are_answers_alike:
        return conn.make_failure(Reason.BAD_ANSWER, "the answer to an earlier call")
    result = parse(response)
    if isinstance(result, Failure):
        conn.forbid_reuse()
    return result

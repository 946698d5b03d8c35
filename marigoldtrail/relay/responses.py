"""Responses of upstreams to requests, and failures made from them."""

from __future__ import annotations

import re

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryAccount
from marigoldtrail.relay.types import Headers
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# The bodies of refusals are short and follow their heads at once. One that is longer or slower
# costs a new connection.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.1
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
# Statuses that promise to the caller that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)

EVENT_STREAM_TYPE = re.compile(rb"\s*text/event-stream\s*(;|$)", re.IGNORECASE)


class CompleteResponse(msgspec.Struct, kw_only=True, frozen=True):
    """
    Complete response of an upstream that has not been forwarded yet.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Headers for the caller.
    body : bytes
        The body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def is_error(self) -> bool:
        """Whether the status is a server error, which another upstream may not return."""
        return self.status >= HTTP_SERVER_ERROR


class StreamForwarded(msgspec.Struct, frozen=True):
    """Result of a request whose stream was forwarded to its end."""


async def read_body(
    conn: UpstreamConnection,
    account: MemoryAccount | None = None,
    *,
    max_bytes: int = MAX_BUFFERED_BYTES,
) -> bytes | Failure:
    """
    Read the whole body of a response.

    Parameters
    ----------
    conn : UpstreamConnection
        Connection from which the head was read.
    account : MemoryAccount or None
        Account of the memory that the body takes; nothing is read while it has to wait for more.
    max_bytes : int
        Longest body.

    Returns
    -------
    bytes or Failure
        The body. A longer announced one is not read.
    """
    if conn.announced_bytes is not None and conn.announced_bytes > max_bytes:
        detail = f"a body of {conn.announced_bytes} bytes was announced"
        return conn.make_failure(Reason.BAD_ANSWER, detail)
    body = bytearray()
    announced = conn.announced_bytes
    if account is not None and announced is not None and not await account.take(announced):
        # The upstream has done nothing wrong.
        return conn.make_failure(Reason.NO_MEMORY, f"no room for {announced} bytes")
    is_counted = account is not None and announced is None
    while True:
        data = await conn.read_body_part()
        if isinstance(data, Failure):
            return data
        if not data:
            return bytes(body)
        if len(body) + len(data) > max_bytes:
            return conn.make_failure(Reason.BAD_ANSWER, f"more than {max_bytes} bytes")
        if is_counted and account is not None and not await account.take(len(data)):
            return make_eviction_failure(conn, account)
        body += data


def make_eviction_failure(conn: UpstreamConnection, account: MemoryAccount) -> Failure:
    """
    Return the failure of a whole response that was given up for want of memory.

    Its upstream counts as faulty only if it sent more than all the memory for responses.

    Parameters
    ----------
    conn : UpstreamConnection
        Connection from which the head was read.
    account : MemoryAccount
        Account of the response.

    Returns
    -------
    Failure
        ``NO_MEMORY``, or ``BAD_ANSWER`` if the upstream is to blame.
    """
    reason = Reason.BAD_ANSWER if account.is_over_budget else Reason.NO_MEMORY
    return conn.make_failure(reason, "given up for want of memory")


async def discard_body(conn: UpstreamConnection) -> None:
    """
    Read and drop the body of a response, so that its connection may be used again.

    Of a body that is long, slow or broken off only a part is read; the connection can't be used
    again then.

    Parameters
    ----------
    conn : UpstreamConnection
        Connection from which the head was read.
    """
    left_bytes = MAX_DISCARDED_BYTES
    if conn.announced_bytes is not None and conn.announced_bytes > left_bytes:
        return
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        while left_bytes > 0:
            data = await conn.read_body_part()
            if isinstance(data, Failure) or not data:
                return
            left_bytes -= len(data)


def is_event_stream(head: ResponseHead) -> bool:
    """
    Return whether a response is a stream of events.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.

    Returns
    -------
    bool
        False for another status than 200 or another type of content. A missing type is accepted.
    """
    types = [value for name, value in head.headers if name == b"content-type"]
    is_of_events = all(EVENT_STREAM_TYPE.match(value) for value in types)
    return head.status == HTTP_OK and is_of_events


def make_refusal_failure(upstream: str, head: ResponseHead) -> Failure:
    """
    Return the failure for a response which states that the request was not run.

    Parameters
    ----------
    upstream : str
        The upstream to which the request was sent.
    head : ResponseHead
        Head of the response.

    Returns
    -------
    Failure
        ``STALE_EPOCH`` if another upstream has the address, ``NOT_FOUND`` if inputs were no longer
        available, else ``OVERLOADED``.
    """
    if head.info.is_misdirected:
        reason, detail = Reason.STALE_EPOCH, "another upstream has the address"
    elif head.info.is_missing_inputs:
        reason, detail = Reason.NOT_FOUND, "results of the stages are gone"
    else:
        reason, detail = Reason.OVERLOADED, f"refused with status {head.status}"
    return Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step="upstream",
        peer=upstream,
        detail=detail,
        retry_after_s=head.info.pause_s or 0.0,
    )

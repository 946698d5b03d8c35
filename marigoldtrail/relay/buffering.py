"""Whole responses in memory: read within the host's budget, held until they have been sent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.memory import MemoryAccount, MemoryBudget
from marigoldtrail.relay.owed_response import GiveUpCause, OwedResponse
from marigoldtrail.relay.responses import (
    CompleteResponse,
    StreamForwarded,
    make_eviction_failure,
    read_body,
)
from marigoldtrail.relay.upstream_connection import UpstreamConnection

# Streams that hold less are not counted: almost all are events of this size that arrive whole.
MIN_COUNTED_BYTES = 16384


class HeldResponses:
    """
    Complete responses to one request that wait to be sent, and their memory.

    Attributes
    ----------
    error : CompleteResponse or None
        Error of an upstream that is sent unless another upstream answers.
    send_scope : trio.CancelScope
        Cancelled if the response is given up while it is sent.
    """

    __slots__ = ("error", "send_scope", "_account", "_error_account", "_is_sending", "_incoming")

    def __init__(self) -> None:
        self.error: CompleteResponse | None = None
        self.send_scope = trio.CancelScope()
        self._account: MemoryAccount | None = None
        self._error_account: MemoryAccount | None = None
        self._is_sending = False
        # Account of the response that is being read.
        self._incoming: MemoryAccount | None = None

    @property
    def waits_for_memory(self) -> bool:
        """Whether a response is not read because this host has no memory for it."""
        return self._incoming is not None and self._incoming.is_waiting

    def start_reading(self, account: MemoryAccount) -> None:
        """Note the account of the response that is being read."""
        self._incoming = account

    def start_next(self) -> None:
        """Forget the last response unless it was kept: its attempt was cancelled meanwhile."""
        if self._account is not None:
            self._account.close()
            self._account = None
            self.send_scope = trio.CancelScope()

    def add(self, account: MemoryAccount) -> None:
        """Hold the memory of a complete response, in place of that of an attempt that was left."""
        if self._account is not None:
            self._account.close()
        self._account = account

    def keep_error(self, error: CompleteResponse) -> None:
        """Keep the last response, an error, in place of an earlier one."""
        self._drop_error()
        self.error = error
        self._error_account, self._account = self._account, None

    def _drop_error(self) -> None:
        self.error = None
        if self._error_account is not None:
            self._error_account.close()
            self._error_account = None

    def give_up(self, account: MemoryAccount) -> None:
        """Give up the response of an account, because others need the memory."""
        if account is self._error_account and not self._is_sending:
            self._drop_error()
        elif account in (self._account, self._error_account):
            self.send_scope.cancel()

    def begin_send(self) -> trio.CancelScope:
        """Return the scope in which the response is sent."""
        self._is_sending = True
        self.note_sent()
        return self.send_scope

    def note_sent(self) -> None:
        """Note that a part of the response was sent."""
        for account in (self._account, self._error_account):
            if account is not None:
                account.note_sent()

    def close(self) -> None:
        """Give the memory of all responses back."""
        self._drop_error()
        self.start_next()


async def read_held_body(
    memory: MemoryBudget, conn: UpstreamConnection, held: HeldResponses
) -> bytes | Failure:
    """
    Read the whole body of a response within the memory of the host.

    Parameters
    ----------
    memory : MemoryBudget
        Memory for unfinished messages.
    conn : UpstreamConnection
        Connection from which the head was read.
    held : HeldResponses
        Holds the memory of a complete body from then on.

    Returns
    -------
    bytes or Failure
        A failure if the body breaks off, is too long, or was given up for want of memory.
    """
    held.start_next()
    scope = trio.CancelScope()

    def evict() -> None:
        scope.cancel()
        held.give_up(account)

    account = memory.open(
        "response", conn.upstream, has_known_size=conn.announced_bytes is not None, evict=evict
    )
    held.start_reading(account)
    body: bytes | Failure = make_eviction_failure(conn, account)
    try:
        with scope:
            body = await read_body(conn, account)
    finally:
        if isinstance(body, Failure):
            account.close()
    if account.is_evicted:
        # It was given up as its end was read.
        account.close()
        return make_eviction_failure(conn, account)
    if isinstance(body, bytes):
        # An answer that is complete is not given up before those that may have no end.
        account.has_known_size = True
        held.add(account)
    return body


async def run_stream(
    memory: MemoryBudget,
    conn: UpstreamConnection,
    owed: OwedResponse,
    forward: Callable[[MemoryAccount], Awaitable[StreamForwarded | Failure]],
) -> StreamForwarded | Failure:
    """
    Forward a stream with an account for what it holds in memory.

    Parameters
    ----------
    memory : MemoryBudget
        Memory for unfinished messages.
    conn : UpstreamConnection
        Connection of the stream.
    owed : OwedResponse
        Notes that the response was given up.
    forward : callable
        Forwards the stream; calls `count_held` with the account.

    Returns
    -------
    StreamForwarded or Failure
        What `forward` returns; a failure if the stream was given up for want of memory.
    """
    scope = trio.CancelScope()

    def evict() -> None:
        if owed.give_up(GiveUpCause.MEMORY):
            scope.cancel()

    with memory.open("stream", conn.upstream, evict=evict) as account, scope:
        return await forward(account)
    return make_stream_eviction_failure(conn)


async def count_held(account: MemoryAccount, size: int) -> bool:
    """
    Let the account of a stream hold a number of bytes; wait if they are not free.

    Parameters
    ----------
    account : MemoryAccount
        The account.
    size : int
        What the stream holds: incomplete events, and those that are being sent.

    Returns
    -------
    bool
        False if the stream has to be given up.
    """
    if size < MIN_COUNTED_BYTES:
        size = 0
    if size > account.size:
        return await account.take(size - account.size)
    account.give_back(account.size - size)
    return not account.is_evicted


def make_stream_eviction_failure(conn: UpstreamConnection) -> Failure:
    """
    Return the failure of a stream that was given up for want of memory.

    One of unknown length may have no end, so that its upstream counts as faulty.
    """
    has_end = conn.announced_bytes is not None
    reason = Reason.NO_MEMORY if has_end else Reason.BAD_ANSWER
    return conn.make_failure(reason, "given up for want of memory")

"""Serve the calls of other nodes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryAccount, MemoryBudget
from marigoldtrail.memory.budget import DEFAULT_BUDGET_BYTES
from marigoldtrail.net.address import Address
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.net.frames import Envelope, FrameStream, UnsendableMessageError
from marigoldtrail.net.network import Network, name_peer
from marigoldtrail.timers import Timers

MAX_CALLS_PER_CONNECTION = 1024
PURPOSE = "frame"
LOG_INTERVAL_S = 1.0

Handler = Callable[[Any, str], Awaitable[msgspec.Struct]]
Handlers = dict[type, Handler]

_log = logging.getLogger(__name__)


class FaultyFrames:
    """
    Counts frames for which connections were closed, and logs some of them.

    Attributes
    ----------
    count : int
        Number of frames that were too long, invalid, incomplete or given up.
    """

    __slots__ = ("count", "_next_log_at")

    def __init__(self) -> None:
        self.count = 0
        self._next_log_at = 0.0

    def add(self, peer: str, exc: Exception) -> None:
        """Count a frame; log it unless another one was logged a moment ago."""
        self.count += 1
        now = trio.current_time()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            extra = {"peer": peer, "reason": str(exc), "faulty_frames": self.count}
            _log.warning("the connection of a peer was closed", extra=extra)


class Call(msgspec.Struct, kw_only=True, frozen=True):
    """
    A call that has arrived.

    Parameters
    ----------
    envelope : Envelope
        The call.
    account : MemoryAccount or None
        Memory of its frame.
    scope : trio.CancelScope
        Cancelled if the call is given up before its handler ends.
    """

    envelope: Envelope
    account: MemoryAccount | None
    scope: trio.CancelScope


async def serve_peers(
    network: Network,
    address: Address,
    handlers: Handlers,
    *,
    host: str,
    memory: MemoryBudget | None = None,
    faulty: FaultyFrames | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Serve calls until cancelled.

    The frames of calls that are being read or served take memory from a budget. A connection whose
    frame finds none is read no further. If others wait in vain, the longest one is given up, first
    of those that have not arrived: its connection is closed. A call that is served fails alone.

    Parameters
    ----------
    network : Network
        Accepts the connections.
    address : Address
        Address to listen on.
    handlers : dict
        Asynchronous handler by request type; it is called with the request and the name of the
        sending host, and returns the reply or a `Failure`.
    host : str
        Name of this host, sent with each reply.
    memory : MemoryBudget or None
        Memory of unfinished messages; None for the default.
    faulty : FaultyFrames or None
        Counts the frames for which connections were closed.
    task_status : trio.TaskStatus
        Started with the actual listen address.
    """
    request_types = {request_type.__name__: request_type for request_type in handlers}

    budget = memory or MemoryBudget(total_bytes=DEFAULT_BUDGET_BYTES, timers=Timers())
    faulty_frames = faulty or FaultyFrames()

    async def serve_connection(stream: trio.abc.Stream) -> None:
        peer = name_peer(stream)
        scope = trio.CancelScope()

        def open_account() -> MemoryAccount:
            return budget.open(PURPOSE, peer, evict=scope.cancel)

        frames = FrameStream(stream=stream, open_account=open_account)
        try:
            with scope:
                await serve_calls(frames, scope)
        except* ValueError as group:
            faulty_frames.add(peer, group.exceptions[0])
        except* STREAM_ERRORS as group:
            _log.debug("peer connection ended: %s", group.exceptions[0])
        finally:
            # The call of the last frame may not have begun.
            if frames.account is not None:
                frames.account.close()
            await frames.aclose()

    async def serve_calls(frames: FrameStream, conn_scope: trio.CancelScope) -> None:
        limit = trio.Semaphore(MAX_CALLS_PER_CONNECTION)
        async with trio.open_nursery() as nursery:
            while (envelope := await frames.receive()) is not None:
                try:
                    # A blocking call would cost a turn of the event loop even if it need not wait.
                    limit.acquire_nowait()
                except trio.WouldBlock:
                    await limit.acquire()
                # A call that is served is given up alone; others share its connection.
                call_scope = trio.CancelScope()
                if frames.account is not None:
                    frames.account.call_on_eviction(call_scope.cancel)
                call = Call(envelope=envelope, account=frames.account, scope=call_scope)
                nursery.start_soon(serve_call, frames, call, limit, conn_scope)
            # The caller has disconnected: the remaining replies cannot be delivered.
            nursery.cancel_scope.cancel()

    async def serve_call(
        frames: FrameStream, call: Call, limit: trio.Semaphore, conn_scope: trio.CancelScope
    ) -> None:
        envelope, account = call.envelope, call.account
        try:
            reply: msgspec.Struct | None = None
            with call.scope:
                reply = await run_handler(envelope)
            if reply is None:
                reply = give_up(envelope)
            if account is not None and account.is_evicted:
                account.close()
            elif account is not None:
                # A peer that reads no replies loses its connection.
                account.call_on_eviction(conn_scope.cancel)
            try:
                await frames.send(envelope.call_id, type(reply).__name__, host, reply)
            except UnsendableMessageError as exc:
                _log.error("the reply to %s was not sent: %s", envelope.kind, exc)
                failure = fail_internally(envelope, str(exc))
                await frames.send(envelope.call_id, Failure.__name__, host, failure)
        except STREAM_ERRORS as exc:
            _log.debug("failed to send the reply to %s: %s", envelope.kind, exc)
        finally:
            if account is not None:
                account.close()
            limit.release()

    async def run_handler(envelope: Envelope) -> msgspec.Struct:
        request_type = request_types.get(envelope.kind)
        if request_type is None:
            return reject(envelope, "unknown request")
        try:
            request: Any = msgspec.msgpack.decode(envelope.body, type=request_type)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return reject(envelope, str(exc))
        # The handler may take long, and the request has a copy.
        envelope.body = msgspec.Raw()
        try:
            return await handlers[request_type](request, envelope.sender)
        except Exception:
            _log.exception("handler of %s raised an exception", envelope.kind)
            return fail_internally(envelope)

    def fail_internally(envelope: Envelope, detail: str = "") -> Failure:
        return Failure(
            reason=Reason.INTERNAL,
            run_state=RunState.MAY_HAVE_RUN,
            step=envelope.kind,
            peer=host,
            detail=detail,
        )

    def give_up(envelope: Envelope) -> Failure:
        return Failure(
            reason=Reason.NO_MEMORY,
            run_state=RunState.MAY_HAVE_RUN,
            step=envelope.kind,
            peer=host,
            detail="given up for want of memory",
        )

    def reject(envelope: Envelope, detail: str) -> Failure:
        return Failure(
            reason=Reason.BAD_REQUEST,
            run_state=RunState.NOT_RUN,
            step=envelope.kind,
            peer=host,
            detail=detail,
        )

    await network.listen(address, serve_connection, task_status=task_status)

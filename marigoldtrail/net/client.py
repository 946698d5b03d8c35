"""Calls to other nodes, many at a time over one connection for each peer."""

from __future__ import annotations

import itertools
from typing import TypeVar

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net.address import Address
from marigoldtrail.net.frames import Envelope, FrameStream
from marigoldtrail.net.network import Network

Reply = TypeVar("Reply", bound=msgspec.Struct)

STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError)
_FAILURE_KIND = Failure.__name__


class PendingCall:
    """A call that waits for its reply."""

    __slots__ = ("done", "envelope")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.envelope: Envelope | None = None


class PeerConnection:
    """
    One open connection and the calls that wait on it.

    Parameters
    ----------
    frames : FrameStream
        The open stream.
    """

    __slots__ = ("frames", "pending", "closed", "last_receive")

    def __init__(self, *, frames: FrameStream) -> None:
        self.frames = frames
        self.pending: dict[int, PendingCall] = {}
        self.closed = False
        self.last_receive = trio.current_time()

    async def read_replies(self) -> None:
        """Hand replies to their callers until the stream ends; then release all callers."""
        try:
            while (envelope := await self.frames.receive()) is not None:
                self.last_receive = trio.current_time()
                call = self.pending.pop(envelope.call_id, None)
                if call is not None:
                    call.envelope = envelope
                    call.done.set()
        except STREAM_ERRORS:
            pass
        finally:
            self.closed = True
            for call in self.pending.values():
                call.done.set()
            self.pending.clear()
            await self.frames.aclose()


class PeerClient:
    """
    Calls other nodes; keeps one connection for each peer.

    Parameters
    ----------
    network : Network
        Opens the connections.
    host : str
        Name of this host, sent with each call.
    nursery : trio.Nursery
        Runs one reading task for each connection.
    """

    __slots__ = ("_network", "_host", "_nursery", "_connections", "_dial_locks", "_ids")

    def __init__(self, *, network: Network, host: str, nursery: trio.Nursery) -> None:
        self._network = network
        self._host = host
        self._nursery = nursery
        self._connections: dict[Address, PeerConnection] = {}
        self._dial_locks: dict[Address, trio.Lock] = {}
        self._ids = itertools.count(1)

    async def call(
        self,
        address: Address,
        request: msgspec.Struct,
        reply_type: type[Reply],
        *,
        timeout_s: float,
        step: str = "",
    ) -> Reply | Failure:
        """
        Send a request and wait for its reply.

        Parameters
        ----------
        address : Address
            The peer.
        request : msgspec.Struct
            The request; its type name selects the peer's handler.
        reply_type : type
            Type of the reply.
        timeout_s : float
            Longest wait in seconds, connecting included.
        step : str
            Name of the step in a `Failure`; the request's type name if empty.

        Returns
        -------
        msgspec.Struct or Failure
            The reply, or the failure that the peer returned, or a failure of the call itself:
            ``NOT_RUN`` if the request cannot have left this host, else ``MAY_HAVE_RUN``.
        """
        step = step or type(request).__name__
        peer = str(address)
        started = trio.current_time()
        sent = False
        with trio.move_on_after(timeout_s):
            try:
                conn = await self._connect(address)
                sent = True
                return await self._exchange(conn, request, reply_type, step, peer)
            except STREAM_ERRORS as exc:
                state = RunState.MAY_HAVE_RUN if sent else RunState.NOT_RUN
                return Failure(
                    reason=Reason.UNREACHABLE,
                    run_state=state,
                    step=step,
                    peer=peer,
                    detail=str(exc) or type(exc).__name__,
                )
        await self._drop_if_silent(address, started)
        state = RunState.MAY_HAVE_RUN if sent else RunState.NOT_RUN
        return Failure(reason=Reason.TIMEOUT, run_state=state, step=step, peer=peer)

    async def _connect(self, address: Address) -> PeerConnection:
        lock = self._dial_locks.setdefault(address, trio.Lock())
        async with lock:
            conn = self._connections.get(address)
            if conn is None or conn.closed:
                stream = await self._network.dial(address)
                conn = PeerConnection(frames=FrameStream(stream=stream))
                self._connections[address] = conn
                self._nursery.start_soon(conn.read_replies)
            return conn

    async def _exchange(
        self,
        conn: PeerConnection,
        request: msgspec.Struct,
        reply_type: type[Reply],
        step: str,
        peer: str,
    ) -> Reply | Failure:
        call_id = next(self._ids)
        call = PendingCall()
        conn.pending[call_id] = call
        try:
            await conn.frames.send(call_id, type(request).__name__, self._host, request)
            await call.done.wait()
        finally:
            conn.pending.pop(call_id, None)
        if call.envelope is None:
            return Failure(
                reason=Reason.UNREACHABLE,
                run_state=RunState.MAY_HAVE_RUN,
                step=step,
                peer=peer,
                detail="the connection was closed before the reply",
            )
        return decode_reply(call.envelope, reply_type, step, peer)

    async def _drop_if_silent(self, address: Address, since: float) -> None:
        # A silent partition leaves the connection open; only a new one can work after it.
        conn = self._connections.get(address)
        if conn is not None and conn.last_receive < since:
            conn.closed = True
            await conn.frames.aclose()


def decode_reply(
    envelope: Envelope, reply_type: type[Reply], step: str, peer: str
) -> Reply | Failure:
    """
    Decode the body of a reply.

    Parameters
    ----------
    envelope : Envelope
        The received reply.
    reply_type : type
        Expected type.
    step, peer : str
        Named in the failure if the body does not decode.

    Returns
    -------
    msgspec.Struct or Failure
        The reply or failure that the peer sent.
    """
    try:
        if envelope.kind == _FAILURE_KIND:
            return msgspec.msgpack.decode(envelope.body, type=Failure)
        return msgspec.msgpack.decode(envelope.body, type=reply_type)
    except msgspec.MsgspecError as exc:
        return Failure(
            reason=Reason.BAD_ANSWER,
            run_state=RunState.MAY_HAVE_RUN,
            step=step,
            peer=peer,
            detail=str(exc),
        )

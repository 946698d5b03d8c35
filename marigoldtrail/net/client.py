"""Call other nodes, with concurrent calls multiplexed over one connection per peer."""

from __future__ import annotations

import itertools
from typing import TypeVar

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net.address import Address
from marigoldtrail.net.frames import Envelope, FrameStream, UnsendableMessageError
from marigoldtrail.net.network import Network

Reply = TypeVar("Reply", bound=msgspec.Struct)

STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError)
_FAILURE_KIND = Failure.__name__
# While a connection is not open, further ones are tried beside it, one each interval. The system
# repeats the lost packet of one attempt only after 1 s, then 2 s: calls would wait for that long
# after the end of a short cut. The first attempt goes on, since a link may be slower than that.
DIAL_INTERVAL_S = 0.2
MAX_DIALS = 8


class PendingCall:
    """A call that is waiting for its reply."""

    __slots__ = ("done", "envelope")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.envelope: Envelope | None = None


class PeerConnection:
    """
    One open connection and its pending calls.

    Parameters
    ----------
    frames : FrameStream
        The open stream.
    """

    __slots__ = ("frames", "pending", "is_closed", "last_received_at")

    def __init__(self, *, frames: FrameStream) -> None:
        self.frames = frames
        self.pending: dict[int, PendingCall] = {}
        self.is_closed = False
        self.last_received_at = trio.current_time()

    async def read_replies(self) -> None:
        """Deliver replies to their callers until the stream ends, then wake all other callers."""
        try:
            while (envelope := await self.frames.receive()) is not None:
                self.last_received_at = trio.current_time()
                call = self.pending.pop(envelope.call_id, None)
                if call is not None:
                    call.envelope = envelope
                    call.done.set()
        except STREAM_ERRORS:
            pass
        finally:
            self.is_closed = True
            for call in self.pending.values():
                call.done.set()
            self.pending.clear()
            await self.frames.aclose()


class PeerClient:
    """
    Calls other nodes over one connection per peer.

    Parameters
    ----------
    network : Network
        Opens the connections.
    host : str
        Name of this host, sent with each call.
    nursery : trio.Nursery
        Runs one reader task per connection.
    """

    __slots__ = ("_network", "_host", "_nursery", "_connections", "_dial_locks", "_call_ids")

    def __init__(self, *, network: Network, host: str, nursery: trio.Nursery) -> None:
        self._network = network
        self._host = host
        self._nursery = nursery
        self._connections: dict[Address, PeerConnection] = {}
        self._dial_locks: dict[Address, trio.Lock] = {}
        self._call_ids = itertools.count(1)

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
            Address of the peer.
        request : msgspec.Struct
            The request; its type name selects the handler of the peer.
        reply_type : type
            Expected type of the reply.
        timeout_s : float
            Time-out in seconds, including the time to connect.
        step : str
            Step that a `Failure` names; the request's type name if empty.

        Returns
        -------
        msgspec.Struct or Failure
            The reply, the failure that the peer returned, or a failure of the call itself:
            ``NOT_RUN`` if the request cannot have been sent, else ``MAY_HAVE_RUN``.
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
            except UnsendableMessageError as exc:
                return Failure(
                    reason=Reason.BAD_REQUEST,
                    run_state=RunState.NOT_RUN,
                    step=step,
                    peer=peer,
                    detail=str(exc),
                )
            except STREAM_ERRORS as exc:
                state = RunState.MAY_HAVE_RUN if sent else RunState.NOT_RUN
                return Failure(
                    reason=Reason.UNREACHABLE,
                    run_state=state,
                    step=step,
                    peer=peer,
                    detail=str(exc) or type(exc).__name__,
                )
        await self._close_if_unresponsive(address, started)
        state = RunState.MAY_HAVE_RUN if sent else RunState.NOT_RUN
        return Failure(reason=Reason.TIMEOUT, run_state=state, step=step, peer=peer)

    async def _connect(self, address: Address) -> PeerConnection:
        lock = self._dial_locks.setdefault(address, trio.Lock())
        async with lock:
            conn = self._connections.get(address)
            if conn is None or conn.is_closed:
                stream = await self._dial(address)
                conn = PeerConnection(frames=FrameStream(stream=stream))
                self._connections[address] = conn
                self._nursery.start_soon(conn.read_replies)
            return conn

    async def _dial(self, address: Address) -> trio.abc.Stream:
        """Open a connection, by the first attempt that succeeds; raise the first error."""
        opened: list[trio.abc.Stream] = []
        errors: list[Exception] = []

        async def attempt() -> None:
            try:
                opened.append(await self._network.connect(address))
            except STREAM_ERRORS as exc:
                errors.append(exc)
            nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_DIALS):
                    nursery.start_soon(attempt)
                    await trio.sleep(DIAL_INTERVAL_S)
        except BaseException:
            await self._discard(opened)
            raise
        await self._discard(opened[1:])
        if not opened:
            raise errors[0]
        return opened[0]

    @staticmethod
    async def _discard(streams: list[trio.abc.Stream]) -> None:
        for stream in streams:
            await trio.aclose_forcefully(stream)

    async def _exchange(
        self,
        conn: PeerConnection,
        request: msgspec.Struct,
        reply_type: type[Reply],
        step: str,
        peer: str,
    ) -> Reply | Failure:
        call_id = next(self._call_ids)
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

    async def _close_if_unresponsive(self, address: Address, since: float) -> None:
        # A silent partition leaves the connection open, but only a new one works after it heals.
        conn = self._connections.get(address)
        if conn is not None and conn.last_received_at < since:
            conn.is_closed = True
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
        Named in the failure if decoding fails.

    Returns
    -------
    msgspec.Struct or Failure
        The reply or the failure that the peer sent; ``BAD_ANSWER`` if decoding fails.
    """
    try:
        if envelope.kind == _FAILURE_KIND:
            return msgspec.msgpack.decode(envelope.body, type=Failure)
        return msgspec.msgpack.decode(envelope.body, type=reply_type)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Failure(
            reason=Reason.BAD_ANSWER,
            run_state=RunState.MAY_HAVE_RUN,
            step=step,
            peer=peer,
            detail=str(exc),
        )

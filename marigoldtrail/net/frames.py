"""Read and write length-prefixed msgpack frames on a byte stream."""

from __future__ import annotations

import struct
from collections.abc import Callable

import msgspec
import trio

from marigoldtrail.memory import MemoryAccount

MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_CHUNK_BYTES = 65536
# Parts of the next frame are read ahead up to this size.
READ_AHEAD_BYTES = 8192
# Longest pause in a frame. A slow link still moves some bytes; a connection may be silent between
# frames.
MAX_FRAME_PAUSE_S = 10.0

# Opens the account of a frame.
OpenAccountFn = Callable[[], MemoryAccount]

_LENGTH = struct.Struct(">I")


class UnsendableMessageError(ValueError):
    """A message of which nothing was sent: it cannot be encoded, or its frame is too large."""


class Envelope(msgspec.Struct, array_like=True):
    """
    One message between two nodes.

    Parameters
    ----------
    call_id : int
        Number of the call on its connection; the reply has the same number.
    kind : str
        Name of the message type of the body.
    sender : str
        Name of the host that sent the message.
    body : msgspec.Raw
        The encoded message.
    """

    call_id: int
    kind: str
    sender: str
    body: msgspec.Raw


class FrameStream:
    """
    Reads and writes envelopes on a stream.

    Parameters
    ----------
    stream : trio.abc.Stream
        The byte stream.
    open_account : callable or None
        Opens the account of each received frame, for its whole length; None if the other side is
        trusted.

    Attributes
    ----------
    account : MemoryAccount or None
        Account of the frame that was received last; who uses the frame closes it.
    """

    __slots__ = (
        "stream",
        "account",
        "_open_account",
        "_buffer",
        "_send_lock",
        "_encoder",
        "_decoder",
    )

    def __init__(
        self, *, stream: trio.abc.Stream, open_account: OpenAccountFn | None = None
    ) -> None:
        self.stream = stream
        self.account: MemoryAccount | None = None
        self._open_account = open_account
        self._buffer = bytearray()
        self._send_lock = trio.Lock()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    async def send(self, call_id: int, kind: str, sender: str, message: msgspec.Struct) -> None:
        """
        Send one message.

        Parameters
        ----------
        call_id : int
            Number of the call.
        kind : str
            Name of the message type.
        sender : str
            Name of the sending host.
        message : msgspec.Struct
            The message.

        Raises
        ------
        UnsendableMessageError
            If the message cannot be encoded or its frame exceeds `MAX_FRAME_BYTES`.
        trio.BrokenResourceError, trio.ClosedResourceError
            If the stream is broken or closed.
        """
        try:
            body = msgspec.Raw(self._encoder.encode(message))
        except Exception as exc:
            # For example an integer over 64 bits, or a text with a lone surrogate.
            raise UnsendableMessageError(f"a {kind} message can't be encoded: {exc!a}") from exc
        payload = self._encoder.encode(Envelope(call_id, kind, sender, body))
        if len(payload) > MAX_FRAME_BYTES:
            raise UnsendableMessageError(
                f"a {kind} frame of {len(payload)} bytes is over {MAX_FRAME_BYTES}"
            )
        # A task that is cancelled by now must not close the stream: it has sent nothing.
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            # Acquiring a free lock with `async with` would cost a turn of the event loop.
            self._send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self._send_lock.acquire()
        try:
            try:
                await self.stream.send_all(_LENGTH.pack(len(payload)) + payload)
            except trio.Cancelled:
                # A cancelled send may leave a partial frame, which would corrupt all later frames.
                await trio.aclose_forcefully(self.stream)
                raise
        finally:
            self._send_lock.release()

    async def receive(self) -> Envelope | None:
        """
        Receive the next message.

        Returns
        -------
        Envelope or None
            None at the end of the stream, even if it ends inside a frame.

        Raises
        ------
        ValueError
            If a frame exceeds `MAX_FRAME_BYTES`, is not a valid envelope, does not arrive, or has
            to be given up for want of memory.
        trio.BrokenResourceError, trio.ClosedResourceError
            If the stream is broken or closed.
        """
        if not await self._fill(_LENGTH.size):
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise ValueError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
        self.account = self._open_account() if self._open_account is not None else None
        if self.account is None:
            return await self._receive_envelope(length)
        envelope = None
        try:
            if not await self.account.take(length):
                raise ValueError(f"a frame of {length} bytes was given up for want of memory")
            envelope = await self._receive_envelope(length)
        finally:
            if envelope is None:
                self.account.close()
        # Frames that have arrived are the last to be given up.
        self.account.has_known_size = True
        return envelope

    async def _receive_envelope(self, length: int) -> Envelope | None:
        end = _LENGTH.size + length
        if not await self._fill(end):
            return None
        with memoryview(self._buffer) as view:
            payload = bytes(view[_LENGTH.size : end])
        del self._buffer[:end]
        try:
            return self._decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise ValueError(f"invalid frame: {exc}") from exc

    async def _fill(self, count: int) -> bool:
        """Receive until the buffer has a number of bytes; return False at the end of the stream."""
        while (missing := count - len(self._buffer)) > 0:
            chunk = await self._receive_some(min(max(missing, READ_AHEAD_BYTES), READ_CHUNK_BYTES))
            if not chunk:
                return False
            self._buffer += chunk
        return True

    async def _receive_some(self, max_bytes: int) -> bytes | bytearray:
        if not self._buffer:
            return await self.stream.receive_some(max_bytes)
        with trio.move_on_after(MAX_FRAME_PAUSE_S):
            return await self.stream.receive_some(max_bytes)
        raise ValueError(f"a frame was not continued for {MAX_FRAME_PAUSE_S:g} s")

    async def aclose(self) -> None:
        """Close the stream at once."""
        await trio.aclose_forcefully(self.stream)

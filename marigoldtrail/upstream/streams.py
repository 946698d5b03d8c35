"""Lets the HTTP/1.1 connection class of httpcore run on streams of a `Network`."""

from __future__ import annotations

from typing import Any

import httpcore
import trio

# Any wait shorter than a network round trip works; data that has arrived is returned first.
PROBE_S = 1e-6

STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class HttpStream(httpcore.AsyncNetworkStream):
    """
    A trio stream under an HTTP connection.

    Head and body of a request are held back until the connection starts to read and then leave in
    one write. A request that fails before that is known not to have left this process.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connected stream.
    """

    __slots__ = ("wrote", "_stream", "_held")

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.wrote = False
        self._stream = stream
        self._held: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what is held back, then receive."""
        if self._held:
            await self._flush()
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except STREAM_ERRORS as exc:
            raise httpcore.ReadError(str(exc) or type(exc).__name__) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Hold bytes back until the next `read`."""
        if buffer:
            self._held.append(buffer)

    async def _flush(self) -> None:
        data = b"".join(self._held) if len(self._held) > 1 else self._held[0]
        self._held.clear()
        self.wrote = True
        try:
            await self._stream.send_all(data)
        except STREAM_ERRORS:
            # The peer may have answered before it closed; the following read tells.
            return

    async def aclose(self) -> None:
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return nothing: no caller of this package asks httpcore about the socket."""
        return None

    async def is_quiet(self) -> bool:
        """
        Tell whether an idle connection can be used again.

        Returns
        -------
        bool
            False if the peer has closed its direction or has sent anything.
        """
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        with trio.move_on_after(PROBE_S):
            try:
                await self._stream.receive_some(1)
            except STREAM_ERRORS:
                pass
            return False
        return True

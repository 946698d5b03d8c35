"""Adapts the streams of a `Network` to the HTTP/1.1 connection class of httpcore."""

from __future__ import annotations

from typing import Any

import httpcore
import trio

# Any wait shorter than a network round trip works; data that has arrived is returned first.
PROBE_TIMEOUT_S = 1e-6

STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class HttpStream(httpcore.AsyncNetworkStream):
    """
    Network stream of an HTTP connection over a trio stream.

    Head and body of a request are buffered until the connection starts to read and are then sent
    in one write. A request that fails before that is known not to have left this process.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connected stream.
    """

    __slots__ = ("may_have_sent", "_stream", "_unsent", "_send_error")

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.may_have_sent = False
        self._stream = stream
        self._unsent: list[bytes] = []
        self._send_error: str | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes, then receive."""
        if self._unsent:
            await self._flush()
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except STREAM_ERRORS as exc:
            raise httpcore.ReadError(str(exc) or type(exc).__name__) from exc
        if not data and self._send_error is not None:
            # The failed write got the error of a reset; the end that is read now is no regular one.
            raise httpcore.ReadError(self._send_error)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next `read`."""
        if buffer:
            self._unsent.append(buffer)

    async def _flush(self) -> None:
        data = b"".join(self._unsent) if len(self._unsent) > 1 else self._unsent[0]
        self._unsent.clear()
        self.may_have_sent = True
        try:
            await self._stream.send_all(data)
        except STREAM_ERRORS as exc:
            # The peer may have answered before it closed; the next read returns that or fails.
            self._send_error = str(exc) or type(exc).__name__

    async def aclose(self) -> None:
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return None: this package does not query httpcore for socket information."""
        return None

    async def has_no_input(self) -> bool:
        """
        Tell whether the peer of an idle connection has neither sent nor closed its direction.

        Returns
        -------
        bool
            False if the connection cannot be used again.
        """
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                await self._stream.receive_some(1)
            except STREAM_ERRORS:
                pass
            return False
        return True

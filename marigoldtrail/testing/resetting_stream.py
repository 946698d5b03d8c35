"""Stream of a connection that is reset while a request is written, for tests."""

from __future__ import annotations

import trio

WRITE_BYTES = 65536


class ResettingStream(trio.abc.Stream):
    """
    Client's end of a connection whose peer answers early and then resets it.

    Like a socket, it reports the reset to the first operation that meets it: later writes fail for
    a broken pipe, and later reads see a regular end. Data that arrived before can still be read.

    Parameters
    ----------
    answer : bytes
        What the peer sends before it resets the connection.
    reset_at : int
        Number of bytes that the peer receives before it does; at the end of the request if fewer.
    read_delay_s, write_delay_s : float
        Seconds after the reset at which a read and a write first meet it.
    """

    def __init__(
        self, *, answer: bytes, reset_at: int, read_delay_s: float, write_delay_s: float
    ) -> None:
        self._answer = answer
        self._reset_at = reset_at
        self._read_delay_s = read_delay_s
        self._write_delay_s = write_delay_s
        self._received = 0
        self._has_reset = trio.Event()
        self._is_reported = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Write data until the connection is reset."""
        sent = 0
        while self._received < self._reset_at and sent < len(data):
            part = min(WRITE_BYTES, len(data) - sent)
            sent += part
            self._received += part
            await trio.lowlevel.checkpoint()
        self._has_reset.set()
        if sent < len(data):
            await trio.sleep(self._write_delay_s)
            self._report()
            raise trio.BrokenResourceError("broken pipe")

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the answer, then the reset or the end that is left of it."""
        await self._has_reset.wait()
        await trio.sleep(self._read_delay_s)
        if self._answer:
            data, self._answer = self._answer, b""
            return data
        self._report()
        return b""

    def _report(self) -> None:
        if not self._is_reported:
            self._is_reported = True
            raise trio.BrokenResourceError("connection reset")

    async def aclose(self) -> None:
        """Close the stream."""
        await trio.lowlevel.checkpoint()

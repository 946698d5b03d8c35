"""Minimal HTTP/1.1 client over any stream, for tests and the soak test."""

from __future__ import annotations

import h11
import trio

READ_BYTES = 65536


class HttpConnection:
    """
    A client connection with keep-alive.

    Parameters
    ----------
    stream : trio.abc.Stream
        An open stream.
    """

    __slots__ = ("_stream", "_conn")

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)

    async def send(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Send a request; a ``content-length`` header is added."""
        fields = [("content-length", str(len(body))), *headers]
        data = self._conn.send(h11.Request(method=method, target=target, headers=fields)) or b""
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)

    async def read_response_head(self) -> h11.Response | None:
        """Return the head of the response; None if the next event is not a response."""
        event = await self._next_event()
        return event if isinstance(event, h11.Response) else None

    async def read_body(self) -> bytes:
        """
        Return the body of the response.

        Raises
        ------
        h11.RemoteProtocolError
            If the response is incomplete.
        """
        parts = []
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("HTTP response body is incomplete")
            parts.append(bytes(event.data))
        return b"".join(parts)

    async def _next_event(self) -> object:
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
        return event

    def prepare_next_request(self) -> bool:
        """Prepare the next request; return False if the connection cannot be reused."""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)

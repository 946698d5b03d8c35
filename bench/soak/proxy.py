"""Loopback proxy that delays, resets, cuts or stalls connections."""

from __future__ import annotations

import socket
import struct

import msgspec
import trio

from marigoldtrail.net import Address
from marigoldtrail.timers import Notifier

READ_BYTES = 65536
# With this option, closing a socket sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)
_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Link(msgspec.Struct, kw_only=True):
    """
    State of all connections to one address.

    Parameters
    ----------
    delay_s : float
        Delay of bytes in each direction in seconds.
    is_cut : bool
        Whether connections are reset immediately.
    holds_requests, holds_answers : bool
        Whether bytes to the address, and from it, are held until the fault ends.
    """

    delay_s: float = 0.0
    is_cut: bool = False
    holds_requests: bool = False
    holds_answers: bool = False


class Proxy:
    """
    Forwards connections from advertised to real addresses.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the connections.

    Attributes
    ----------
    links : dict of str to Link
        State by advertised IP address.
    """

    __slots__ = ("links", "_nursery", "_streams", "_changed")

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.links: dict[str, Link] = {}
        self._nursery = nursery
        self._streams: dict[str, set[trio.SocketStream]] = {}
        self._changed = Notifier()

    async def forward(self, advertised: Address, real: Address) -> None:
        """Listen on the advertised address until the nursery ends."""
        self.links.setdefault(advertised.ip, Link())
        self._streams.setdefault(advertised.ip, set())

        async def serve(client: trio.SocketStream) -> None:
            await self._serve(client, advertised.ip, real)

        listeners = await trio.open_tcp_listeners(advertised.port, host=advertised.ip)
        self._nursery.start_soon(trio.serve_listeners, serve, listeners)

    def set_link(self, ip: str, **fields: float | bool) -> None:
        """Change the state of the connections to an address."""
        for name, value in fields.items():
            setattr(self.links[ip], name, value)
        self._changed.notify()
        if self.links[ip].is_cut:
            self.reset(ip)

    def heal(self, ip: str) -> None:
        """End all faults of an address."""
        self.set_link(ip, delay_s=0.0, is_cut=False, holds_requests=False, holds_answers=False)

    def reset(self, ip: str) -> None:
        """Reset all connections to an address."""
        for stream in self._streams[ip]:
            reset_stream(stream)

    async def _serve(self, client: trio.SocketStream, ip: str, real: Address) -> None:
        if self.links[ip].is_cut:
            reset_stream(client)
            return
        streams = self._streams[ip]
        try:
            server = await trio.open_tcp_stream(real.ip, real.port)
        except OSError:
            reset_stream(client)
            return
        streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_bytes, client, server, ip, "holds_requests")
                nursery.start_soon(self._forward_bytes, server, client, ip, "holds_answers")
        finally:
            streams -= {client, server}
            for stream in (client, server):
                reset_stream(stream)

    async def _forward_bytes(
        self, source: trio.SocketStream, sink: trio.SocketStream, ip: str, hold_flag: str
    ) -> None:
        link = self.links[ip]
        try:
            while data := await source.receive_some(READ_BYTES):
                if link.delay_s:
                    await trio.sleep(link.delay_s)
                while getattr(link, hold_flag):
                    await self._changed.wait()
                await sink.send_all(data)
            await sink.send_eof()
        except _ERRORS:
            # The peer must observe a reset instead of the end of the stream.
            for stream in (source, sink):
                reset_stream(stream)


def reset_stream(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    except OSError:
        # The socket is closed already.
        pass
    stream.socket.close()

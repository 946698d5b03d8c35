"""Loopback proxy that delays, resets, cuts or stalls connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import msgspec
import trio

from marigoldtrail.net import Address
from marigoldtrail.timers import Notifier

READ_BYTES = 65536
BACKLOG = 128
# A queue of length 0 takes one connection.
FILLERS = 2
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
    is_silent : bool
        Whether all bytes, ends of connections and new connections wait, without a fault.
    """

    delay_s: float = 0.0
    is_cut: bool = False
    holds_requests: bool = False
    holds_answers: bool = False
    is_silent: bool = False


class Gate:
    """
    Listener whose new connections can be kept waiting, before they are established.

    Parameters
    ----------
    listener : trio.SocketListener
        The listener.

    Attributes
    ----------
    scope : trio.CancelScope
        Scope of the call that accepts the next connection.
    """

    __slots__ = ("listener", "scope", "_fillers")

    def __init__(self, *, listener: trio.SocketListener) -> None:
        self.listener = listener
        self.scope = trio.CancelScope()
        self._fillers: list[socket.socket] = []

    def close(self) -> None:
        """
        Accept no connection and fill the queue, so that the kernel does not establish others.

        It tries these again each second, so that they wait up to a second longer than this.
        """
        self.scope.cancel()
        self.listener.socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.socket.getsockname())
            self._fillers.append(filler)

    def open(self) -> None:
        """Accept connections again."""
        self.listener.socket.listen(BACKLOG)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()


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

    __slots__ = ("links", "_nursery", "_streams", "_changed", "_gates")

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.links: dict[str, Link] = {}
        self._nursery = nursery
        self._streams: dict[str, set[trio.SocketStream]] = {}
        self._changed = Notifier()
        self._gates: dict[str, list[Gate]] = {}

    async def forward(self, advertised: Address, real: Address) -> None:
        """Listen on the advertised address until the nursery ends."""
        self.links.setdefault(advertised.ip, Link())
        self._streams.setdefault(advertised.ip, set())

        async def serve(client: trio.SocketStream) -> None:
            await self._serve(client, advertised.ip, real)

        listeners = await trio.open_tcp_listeners(advertised.port, host=advertised.ip)
        for listener in listeners:
            gate = Gate(listener=listener)
            self._gates.setdefault(advertised.ip, []).append(gate)
            self._nursery.start_soon(self._accept, gate, serve, advertised.ip)

    async def _accept(
        self, gate: Gate, serve: Callable[[trio.SocketStream], Awaitable[None]], ip: str
    ) -> None:
        async with gate.listener:
            while True:
                await self._wait_for_sound(ip)
                with trio.CancelScope() as gate.scope:
                    self._nursery.start_soon(serve, await gate.listener.accept())

    def begin_silence(self, ip: str) -> None:
        """Let all bytes and new connections of an address wait; nothing is lost."""
        self.set_link(ip, is_silent=True)
        for gate in self._gates[ip]:
            gate.close()

    def end_silence(self, ip: str) -> None:
        """Let all that has waited go on."""
        for gate in self._gates[ip]:
            gate.open()
        self.set_link(ip, is_silent=False)

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
        await self._wait_for_sound(ip)
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

    async def _wait_for_sound(self, ip: str) -> None:
        while self.links[ip].is_silent:
            await self._changed.wait()

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
                await self._wait_for_sound(ip)
                await sink.send_all(data)
            await self._wait_for_sound(ip)
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

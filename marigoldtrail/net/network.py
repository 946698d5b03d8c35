"""Open and accept connections."""

from __future__ import annotations

import contextlib
import logging
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from marigoldtrail.net.address import Address
from marigoldtrail.net.listener import ListenerControl, QueueDrainingListener

# Linux 6.15 and later: the longest time between two transmissions of the same data. The module
# `socket` has no name for it.
TCP_RTO_MAX_MS = 44
# Probes each second without traffic, and 6 s without a sign of the peer, so that a connection
# outlasts two silences of 2 s with 0.3 s between them. With 3 s, the kernel ended connections whose
# peer lost all packets for 1.2 s, since no third probe followed two that were lost.
# The timeout replaces the number of probes where both are known.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 5),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 6000),
)
# Shortest value that the kernel takes. Without it, data that is lost for 2 s is sent again only
# after 3.0 to 3.4 s, and then after more than 6 s.
_RTO_MAX_MS = 1000

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]

_log = logging.getLogger(__name__)


class Network(Protocol):
    """Opens and accepts byte streams; tests use an in-memory implementation."""

    async def connect(self, address: Address) -> trio.abc.Stream:
        """
        Open a stream.

        Parameters
        ----------
        address : Address
            Address to connect to.

        Returns
        -------
        trio.abc.Stream
            The connected stream.

        Raises
        ------
        OSError
            If the connection is refused.
        """
        ...

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        control: ListenerControl | None = None,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """
        Accept streams until cancelled, or closed, and handle each in its own task.

        Parameters
        ----------
        address : Address
            Address to listen on; port 0 selects a free port.
        handler : callable
            Called with each accepted stream.
        control : ListenerControl or None
            Closes the listener on request; this function then returns once all streams are handled.
        task_status : trio.TaskStatus
            Started with the actual listen address.
        """
        ...


class TcpNetwork:
    """
    Streams over TCP.

    A peer that is lost without closing the connection is detected by keep-alive probes and, for
    data that it does not acknowledge, by a time-out.

    Parameters
    ----------
    bind_ip : str
        IP address to listen on if it differs from the advertised one; empty for the same address.
    """

    __slots__ = ("_bind_ip",)

    def __init__(self, *, bind_ip: str = "") -> None:
        self._bind_ip = bind_ip

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a TCP stream; see `Network.connect`."""
        stream = await trio.open_tcp_stream(address.ip, address.port)
        enable_keepalive(stream)
        return stream

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        control: ListenerControl | None = None,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams; see `Network.listen`."""
        control = control or ListenerControl()
        listeners = await trio.open_tcp_listeners(address.port, host=self._bind_ip or address.ip)
        port = listeners[0].socket.getsockname()[1]

        async def handle(stream: trio.SocketStream) -> None:
            try:
                enable_keepalive(stream)
                await handler(stream)
            except Exception:
                # An error in one connection must not end the process and with it all others.
                _log.exception("handler of a connection raised an exception")
            finally:
                control.connections -= 1

        async def handle_queued(stream: trio.SocketStream) -> None:
            try:
                await handle(stream)
            finally:
                # `trio.serve_listeners` closes those that it has accepted.
                await trio.aclose_forcefully(stream)

        async with trio.open_nursery() as nursery:

            def serve(stream: trio.SocketStream) -> None:
                nursery.start_soon(handle_queued, stream)

            draining = [
                QueueDrainingListener(listener=listener, control=control, serve=serve)
                for listener in listeners
            ]
            try:
                with control.accepting():
                    task_status.started(Address(address.ip, port))
                    await trio.serve_listeners(handle, draining, handler_nursery=nursery)
            finally:
                control.set_closed()


def name_peer(stream: trio.abc.Stream) -> str:
    """Return the IP address of the other side of a connection, or "unknown" if it is not known."""
    if not isinstance(stream, trio.SocketStream):
        return str(getattr(stream, "remote", "unknown"))
    try:
        return str(stream.socket.getpeername()[0])
    except (OSError, IndexError):
        return "unknown"


def enable_keepalive(stream: trio.SocketStream) -> None:
    """
    Enable keep-alive probes, so that the kernel breaks a connection whose peer is lost.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    """
    for level, name, value in _KEEPALIVE_OPTIONS:
        option = getattr(socket, name, None)
        if option is not None:
            stream.setsockopt(level, option, value)
    if sys.platform == "linux":
        # Older kernels have no such option, which is an error.
        with contextlib.suppress(OSError):
            stream.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, _RTO_MAX_MS)

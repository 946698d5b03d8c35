"""How a node opens and accepts connections."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from marigoldtrail.net.address import Address

# Two probes after a second of silence; three seconds for bytes without an acknowledgement.
_WATCH_OPTIONS = (
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 3000),
)

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class Network(Protocol):
    """Opens and accepts byte streams; tests replace it by one in memory."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """
        Open a stream.

        Parameters
        ----------
        address : Address
            Where to connect.

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
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """
        Accept streams until cancelled, each in a task of its own.

        Parameters
        ----------
        address : Address
            Where to listen; port 0 takes a free one.
        handler : callable
            Called with each accepted stream.
        task_status : trio.TaskStatus
            Started with the address listened on.
        """
        ...


class TcpNetwork:
    """
    Streams over TCP.

    A peer that has fallen silent without closing is noticed by keep-alive probes and, for bytes
    that it does not acknowledge, by a time-out.

    Parameters
    ----------
    bind_ip : str
        IP address to listen on in place of the one that others connect to; empty for the same.
    """

    __slots__ = ("_bind_ip",)

    def __init__(self, *, bind_ip: str = "") -> None:
        self._bind_ip = bind_ip

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Open a TCP stream; see `Network.dial`."""
        stream = await trio.open_tcp_stream(address.ip, address.port)
        watch_peer(stream)
        return stream

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams; see `Network.listen`."""
        listeners = await trio.open_tcp_listeners(address.port, host=self._bind_ip or address.ip)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address(address.ip, port))

        async def accept(stream: trio.SocketStream) -> None:
            watch_peer(stream)
            await handler(stream)

        await trio.serve_listeners(accept, listeners)


def watch_peer(stream: trio.SocketStream) -> None:
    """
    Let the kernel break a connection whose peer has fallen silent.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    """
    for level, name, value in _WATCH_OPTIONS:
        option = getattr(socket, name, None)
        if option is not None:
            stream.setsockopt(level, option, value)

"""How a node opens and accepts connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from marigoldtrail.net.address import Address

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
    """Streams over TCP."""

    __slots__ = ()

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Open a TCP stream; see `Network.dial`."""
        return await trio.open_tcp_stream(address.ip, address.port)

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams; see `Network.listen`."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.ip)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address(address.ip, port))
        await trio.serve_listeners(handler, listeners)

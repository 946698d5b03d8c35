"""Network wrapper that counts the traffic of its streams."""

from __future__ import annotations

import trio

from marigoldtrail.net import Address, ListenerControl, Network
from marigoldtrail.net.network import StreamHandler


class CountingNetwork:
    """
    Wraps a network and counts bytes and sends of the streams that it dials.

    Parameters
    ----------
    network : Network
        Opens and accepts the streams.
    counts_accepted : bool
        Whether accepted streams are counted as well.
    """

    def __init__(self, *, network: Network, counts_accepted: bool = False) -> None:
        self._network = network
        self._counts_accepted = counts_accepted
        self.reset()

    def reset(self) -> None:
        """Reset the counters."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sends = 0

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a stream; see `Network.connect`."""
        return CountingStream(stream=await self._network.connect(address), network=self)

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        control: ListenerControl | None = None,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams; see `Network.listen`."""

        async def handle(stream: trio.abc.Stream) -> None:
            if self._counts_accepted:
                stream = CountingStream(stream=stream, network=self)
            await handler(stream)

        await self._network.listen(address, handle, control=control, task_status=task_status)


class CountingStream(trio.abc.Stream):
    """
    Stream wrapper that counts traffic.

    Parameters
    ----------
    stream : trio.abc.Stream
        The wrapped stream.
    network : CountingNetwork
        Holds the counters.
    """

    def __init__(self, *, stream: trio.abc.Stream, network: CountingNetwork) -> None:
        self._stream = stream
        self._network = network

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send and count."""
        self._network.sends += 1
        self._network.sent_bytes += len(data)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait; see `trio.abc.SendStream`."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive and count."""
        data = await self._stream.receive_some(max_bytes)
        self._network.received_bytes += len(data)
        return data

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

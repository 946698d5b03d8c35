"""In-memory network whose links can be delayed and cut and whose streams can be reset."""

from __future__ import annotations

import random
from collections import deque

import trio

from marigoldtrail.net.address import Address
from marigoldtrail.net.listener import ListenerControl
from marigoldtrail.net.network import StreamHandler

CHUNK_LIMIT_BYTES = 65536


class Link:
    """
    One direction between two IP addresses.

    Parameters
    ----------
    delay_s : float
        Delay of each chunk in seconds.
    """

    __slots__ = ("delay_s", "jitter_s", "is_cut", "is_refused", "changed")

    def __init__(self, *, delay_s: float) -> None:
        self.delay_s = delay_s
        self.jitter_s = 0.0
        self.is_cut = False
        self.is_refused = False
        self.changed = trio.Event()

    def set_cut(self, cut: bool) -> None:
        """Cut or restore the link; chunks in transit arrive once it is restored."""
        self.is_cut = cut
        self.changed.set()
        self.changed = trio.Event()


class Pipe:
    """
    Bytes in transit in one direction of a stream.

    Parameters
    ----------
    link : Link
        The link that carries them.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ("link", "chunks", "has_ended", "is_broken", "wakeup", "_rng", "_last_due")

    def __init__(self, *, link: Link, rng: random.Random) -> None:
        self.link = link
        self.chunks: deque[tuple[float, bytes]] = deque()
        self.has_ended = False
        self.is_broken = False
        self.wakeup = trio.Event()
        self._rng = rng
        self._last_due = 0.0

    def notify(self) -> None:
        """Wake the receiver."""
        self.wakeup.set()
        self.wakeup = trio.Event()

    def put(self, data: bytes) -> None:
        """Send bytes; an empty chunk ends the stream."""
        delay = self.link.delay_s + self._rng.random() * self.link.jitter_s
        # TCP preserves the order of bytes regardless of jitter.
        self._last_due = max(self._last_due, trio.current_time() + delay)
        self.chunks.append((self._last_due, data))
        self.notify()

    async def get(self, limit: int) -> bytes:
        """Receive at most `limit` bytes; empty at the end of the stream."""
        while True:
            if self.is_broken:
                raise trio.BrokenResourceError("connection reset")
            if self.has_ended:
                return b""
            if not self.chunks:
                await self.wakeup.wait()
                continue
            due, data = self.chunks[0]
            if due > trio.current_time():
                with trio.move_on_at(due):
                    await self.wakeup.wait()
                continue
            if self.link.is_cut:
                await self._wait_restored()
                continue
            return self._take(data, limit)

    async def _wait_restored(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_after, self.link.changed, nursery.cancel_scope)
            nursery.start_soon(cancel_after, self.wakeup, nursery.cancel_scope)

    def _take(self, data: bytes, limit: int) -> bytes:
        due, _ = self.chunks.popleft()
        if not data:
            self.has_ended = True
        elif len(data) > limit:
            self.chunks.appendleft((due, data[limit:]))
        return data[:limit]


async def cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancel a scope when an event is set."""
    await event.wait()
    scope.cancel()


class MemoryStream(trio.abc.HalfCloseableStream):
    """
    One end of an in-memory stream.

    Parameters
    ----------
    incoming, outgoing : Pipe
        The two directions of the stream.
    local, remote : str
        IP addresses of the two ends.
    """

    __slots__ = ("incoming", "outgoing", "local", "remote", "closed")

    def __init__(self, *, incoming: Pipe, outgoing: Pipe, local: str, remote: str) -> None:
        self.incoming = incoming
        self.outgoing = outgoing
        self.local = local
        self.remote = remote
        self.closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; they stay in transit while the link is cut."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        if self.outgoing.is_broken:
            raise trio.BrokenResourceError("connection reset")
        if data:
            self.outgoing.put(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, since the buffer is unbounded."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; empty at the end of the stream."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        data = await self.incoming.get(max_bytes or CHUNK_LIMIT_BYTES)
        if self.closed:
            raise trio.ClosedResourceError
        return data

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await trio.lowlevel.checkpoint()
        self.outgoing.put(b"")

    async def aclose(self) -> None:
        """Close both directions; the other end sees the end of the stream."""
        if not self.closed:
            self.closed = True
            self.outgoing.put(b"")
            self.incoming.has_ended = True
            self.incoming.notify()
        await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Break both directions at once, as a TCP reset or the end of a process does."""
        for pipe in (self.incoming, self.outgoing):
            pipe.is_broken = True
            pipe.notify()


class MemoryNetwork:
    """
    In-memory network that connects endpoints in one process.

    Parameters
    ----------
    seed : int
        Seed of the jitter.
    delay_s : float
        Delay of each link in seconds.

    Examples
    --------
    >>> network = MemoryNetwork(seed=1)
    >>> network.cut("10.0.0.1", "10.0.0.2")
    >>> network.link("10.0.0.1", "10.0.0.2").is_cut
    True
    """

    __slots__ = ("_rng", "_delay_s", "_links", "_listeners", "_streams", "_next_port")

    def __init__(self, *, seed: int = 0, delay_s: float = 0.002) -> None:
        self._rng = random.Random(seed)
        self._delay_s = delay_s
        self._links: dict[tuple[str, str], Link] = {}
        self._listeners: dict[Address, tuple[StreamHandler, trio.Nursery]] = {}
        self._streams: list[MemoryStream] = []
        self._next_port = 50000

    def endpoint(self, ip: str) -> Endpoint:
        """Return the interface of the host with an IP address to the network."""
        return Endpoint(network=self, ip=ip)

    def link(self, source: str, target: str) -> Link:
        """Return the link from one IP address to another."""
        key = (source, target)
        if key not in self._links:
            self._links[key] = Link(delay_s=self._delay_s if source != target else 0.0)
        return self._links[key]

    def cut(self, source: str, target: str, *, both_ways: bool = True) -> None:
        """Cut a link silently: bytes stay in transit and connections stay open."""
        self.link(source, target).set_cut(True)
        if both_ways:
            self.link(target, source).set_cut(True)

    def refuse(self, source: str, target: str) -> None:
        """Refuse new connections from one IP address to another; open ones live on."""
        self.link(source, target).is_refused = True

    def restore(self, source: str, target: str) -> None:
        """Restore both directions of a link."""
        for link in (self.link(source, target), self.link(target, source)):
            link.is_refused = False
            link.set_cut(False)

    def reset_host(self, ip: str) -> None:
        """Break every stream of a host, as the end of its process does."""
        for stream in self._streams:
            if ip in (stream.local, stream.remote):
                stream.reset()
        self._forget_closed()

    def reset_link(self, source: str, target: str) -> None:
        """Break every stream between two IP addresses."""
        for stream in self._streams:
            if {source, target} == {stream.local, stream.remote}:
                stream.reset()
        self._forget_closed()

    def _forget_closed(self) -> None:
        self._streams = [s for s in self._streams if not (s.closed or s.outgoing.is_broken)]

    async def connect(self, source: str, address: Address) -> MemoryStream:
        """Connect an IP address to a listener; blocks while a link between them is cut."""
        forward = self.link(source, address.ip)
        backward = self.link(address.ip, source)
        if forward.is_refused:
            raise ConnectionRefusedError(f"connection to {address} refused")
        while forward.is_cut or backward.is_cut:
            await (forward if forward.is_cut else backward).changed.wait()
        await trio.sleep(2 * forward.delay_s)
        if address not in self._listeners:
            raise ConnectionRefusedError(f"connection to {address} refused")
        handler, nursery = self._listeners[address]
        to_server = Pipe(link=forward, rng=self._rng)
        to_client = Pipe(link=backward, rng=self._rng)
        client = MemoryStream(
            incoming=to_client, outgoing=to_server, local=source, remote=address.ip
        )
        server = MemoryStream(
            incoming=to_server, outgoing=to_client, local=address.ip, remote=source
        )
        self._forget_closed()
        self._streams += [client, server]
        nursery.start_soon(handler, server)
        return client

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        control: ListenerControl,
        task_status: trio.TaskStatus[Address],
    ) -> None:
        """Accept streams until cancelled or closed; there is no queue, as all are accepted."""
        if address.port == 0:
            self._next_port += 1
            address = Address(address.ip, self._next_port)
        if address in self._listeners:
            raise OSError(f"address {address} is in use")

        async def handle(stream: trio.abc.Stream) -> None:
            control.connections += 1
            try:
                await handler(stream)
            finally:
                control.connections -= 1

        async with trio.open_nursery() as nursery:
            try:
                with control.accepting():
                    self._listeners[address] = (handle, nursery)
                    task_status.started(address)
                    await trio.sleep_forever()
            finally:
                self._listeners.pop(address, None)
                control.set_closed()


class Endpoint:
    """
    A `marigoldtrail.net.Network` bound to one IP address of a `MemoryNetwork`.

    Parameters
    ----------
    network : MemoryNetwork
        The network.
    ip : str
        IP address of the host.
    """

    __slots__ = ("network", "ip")

    def __init__(self, *, network: MemoryNetwork, ip: str) -> None:
        self.network = network
        self.ip = ip

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a stream; see `marigoldtrail.net.Network.connect`."""
        return await self.network.connect(self.ip, address)

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        *,
        control: ListenerControl | None = None,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams; see `marigoldtrail.net.Network.listen`."""
        await self.network.listen(address, handler, control or ListenerControl(), task_status)

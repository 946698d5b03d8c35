"""Frames of many peers at once: their memory, and those that are invalid or never complete."""

import logging
import tracemalloc

import msgspec
import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryBudget
from marigoldtrail.net import MAX_FRAME_BYTES, Address, FaultyFrames, PeerClient, serve_peers
from marigoldtrail.net.frames import MAX_FRAME_PAUSE_S
from marigoldtrail.net.server import LOG_INTERVAL_S
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

SERVER = Address("10.0.0.2", 7000)
# Half of the budget of the smallest host of the users' pages.
BUDGET_BYTES = 10_000_000
# One frame at a time is copied when it is complete, and each connection reads one part.
PEAK_BYTES = BUDGET_BYTES + MAX_FRAME_BYTES
CONNECTION_BYTES = 2 * 65536
CONNECTIONS = 24
BLOCK = b"x" * 65536
BLOCK_INTERVAL_S = 0.02


class Blob(msgspec.Struct):
    data: bytes


class BlobSize(msgspec.Struct):
    size: int


async def measure(request, sender):
    await trio.sleep(0.01)
    return BlobSize(len(request.data))


async def hang(request, sender):
    await trio.sleep_forever()


class Port:
    """A server whose connections are made by the tests."""

    def __init__(self, nursery, handler=measure):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=1)
        self.memory = MemoryBudget(total_bytes=BUDGET_BYTES, timers=Timers(seed=1))
        self.faulty = FaultyFrames()
        self.handler = handler

    async def start(self):
        async def serve(task_status):
            await serve_peers(
                self.network.endpoint(SERVER.ip),
                SERVER,
                {Blob: self.handler},
                host="b",
                memory=self.memory,
                faulty=self.faulty,
                task_status=task_status,
            )

        await self.nursery.start(serve)

    async def connect(self, number=0):
        return await self.network.endpoint(f"10.0.1.{number}").connect(SERVER)

    def make_client(self, number=0):
        endpoint = self.network.endpoint(f"10.0.1.{number}")
        return PeerClient(network=endpoint, host=f"h-{number}", nursery=self.nursery)


async def send_blocks(stream, count):
    """Send a block repeatedly, no faster than it is read, until the peer ends the connection."""
    sent = 0
    while sent < count and not stream.outgoing.has_ended:
        if stream.outgoing.chunks:
            await trio.sleep(BLOCK_INTERVAL_S)
        else:
            await stream.send_all(BLOCK)
            sent += 1


def make_head(size):
    """Return the start of a frame that calls with a blob."""
    head = b"\x94\x01" + msgspec.msgpack.encode("Blob") + b"\xa1b\x81\xa4data\xc6"
    payload = head + size.to_bytes(4, "big")
    return (len(payload) + size).to_bytes(4, "big") + payload


async def test_frames_without_end_are_bounded_together(autojump_clock, nursery):
    """Guards against many long frames at once that end the process."""
    port = Port(nursery)
    await port.start()
    answers = []

    async def call(number):
        stream = await port.connect(number)
        await stream.send_all(make_head(MAX_FRAME_BYTES - 100))
        await send_blocks(stream, MAX_FRAME_BYTES // len(BLOCK) - 1)
        answers.append(await stream.receive_some(100))

    tracemalloc.start()
    with trio.move_on_after(CONNECTIONS * MAX_FRAME_PAUSE_S):
        async with trio.open_nursery() as callers:
            for number in range(CONNECTIONS):
                callers.start_soon(call, number)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < PEAK_BYTES + CONNECTIONS * CONNECTION_BYTES
    assert answers == [b""] * CONNECTIONS and port.memory.used_bytes == 0


async def test_calls_in_progress_are_bounded_together(autojump_clock, nursery):
    """Guards against calls that wait for their handlers and take all memory."""
    port = Port(nursery, hang)
    await port.start()

    async def call(number):
        stream = await port.connect(number)
        for _ in range(32):
            await stream.send_all(make_head(4 * len(BLOCK)))
            await send_blocks(stream, 4)

    tracemalloc.start()
    with trio.move_on_after(2):
        async with trio.open_nursery() as callers:
            for number in range(CONNECTIONS):
                callers.start_soon(call, number)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < PEAK_BYTES + CONNECTIONS * CONNECTION_BYTES


async def test_long_calls_of_many_peers_only_wait(autojump_clock, nursery):
    """Guards against proper calls that fail because many arrive at once."""
    port = Port(nursery)
    await port.start()
    replies = []

    async def call(number):
        request = Blob(BLOCK * 4)
        reply = await port.make_client(number).call(SERVER, request, BlobSize, timeout_s=5)
        replies.append(reply)

    async with trio.open_nursery() as callers:
        for number in range(100):
            callers.start_soon(call, number)
    assert replies == [BlobSize(4 * len(BLOCK))] * 100
    assert port.memory.used_bytes == 0 and port.faulty.count == 0


async def test_call_given_up_for_want_of_memory_leaves_others_on_its_connection(
    autojump_clock, nursery
):
    """Guards against calls of other requests that fail with the connection of a long one."""
    long_size, replies = 6_000_000, {}

    async def work(request, sender):
        await trio.sleep({"h-0": 3.0}.get(sender, 0.01) if len(request.data) > 1 else 1.0)
        return BlobSize(len(request.data))

    port = Port(nursery, work)
    await port.start()
    client, other = port.make_client(0), port.make_client(1)

    async def call(name, caller, size, at):
        await trio.sleep(at)
        request = Blob(b"x" * size)
        replies[name] = await caller.call(SERVER, request, BlobSize, timeout_s=5)

    async with trio.open_nursery() as callers:
        callers.start_soon(call, "small", client, 1, 0.0)
        callers.start_soon(call, "long", client, long_size, 0.1)
        callers.start_soon(call, "other", other, long_size, 0.2)
    assert replies["small"] == BlobSize(1) and replies["other"] == BlobSize(long_size)
    failure = replies["long"]
    assert isinstance(failure, Failure) and failure.reason is Reason.NO_MEMORY
    assert failure.run_state is RunState.MAY_HAVE_RUN
    assert port.memory.used_bytes == 0


@pytest.mark.parametrize("sent", [b"\0", b"\0\0\0\x09\x94", make_head(100_000)])
async def test_frame_that_is_not_continued_ends_its_connection(autojump_clock, nursery, sent):
    """Guards against announced frames that never come and keep their memory."""
    port = Port(nursery)
    await port.start()
    stream = await port.connect()
    await stream.send_all(sent)
    started = trio.current_time()
    with trio.fail_after(3 * MAX_FRAME_PAUSE_S):
        assert await stream.receive_some(100) == b""
    assert trio.current_time() - started >= MAX_FRAME_PAUSE_S
    assert port.memory.used_bytes == 0 and port.faulty.count == 1


async def test_slow_frames_and_silent_connections_are_kept(autojump_clock, nursery):
    """Guards against snapshots over slow links, and idle peers, that are cut off."""
    port = Port(nursery)
    await port.start()
    stream = await port.connect()
    await trio.sleep(5 * MAX_FRAME_PAUSE_S)
    await stream.send_all(make_head(6 * len(BLOCK)))
    for _ in range(6):
        await trio.sleep(0.8 * MAX_FRAME_PAUSE_S)
        await stream.send_all(BLOCK)
    with trio.fail_after(1):
        assert b"BlobSize" in await stream.receive_some(1000)
    assert port.faulty.count == 0


async def test_invalid_frames_are_counted_and_logged_with_their_peer(
    autojump_clock, nursery, caplog
):
    """Guards against invalid frames that end the port, flood the log or are not noticed."""
    port = Port(nursery)
    await port.start()
    started = trio.current_time()
    with caplog.at_level(logging.WARNING):
        for number in range(300):
            stream = await port.connect(number % 200)
            await stream.send_all(b"GET / HTTP/1.1\r\n" if number % 2 else b"\0\0\0\x02\xc1\xc1")
            assert await stream.receive_some(100) == b""
            await stream.aclose()
    assert port.faulty.count == 300
    intervals = (trio.current_time() - started) / LOG_INTERVAL_S
    assert 1 <= len(caplog.records) <= 1 + intervals < 10
    assert caplog.records[0].peer == "10.0.1.0"
    reply = await port.make_client().call(SERVER, Blob(b"x"), BlobSize, timeout_s=1)
    assert reply == BlobSize(1)

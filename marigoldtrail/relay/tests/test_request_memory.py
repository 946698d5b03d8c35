"""Memory of the requests of many callers at once."""

import tracemalloc

import pytest
import trio
import trio.testing

from marigoldtrail.memory import RequestMemory, compute_request_bytes
from marigoldtrail.memory.requests import READ_BYTES
from marigoldtrail.relay.caller_connection import PARTS_PER_TURN, CallerConnection
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
)
from marigoldtrail.relay.tests.test_relay import chunk
from marigoldtrail.routing import Limits, RouteKind
from marigoldtrail.timers import Timers

# The smallest host of the users' pages, and what their configurations allow.
MEMORY_MB = 160
MAX_BODY_BYTES = 4 * 1024 * 1024
REQUEST_BYTES = compute_request_bytes(MEMORY_MB)
# One request at a time is copied when it is put together, and each connection has its objects.
PEAK_BYTES = REQUEST_BYTES + 2 * MAX_BODY_BYTES
CONNECTION_BYTES = 64 * 1024
BLOCK = b"x" * 65536
BLOCK_INTERVAL_S = 0.005
CALLERS = 40


def make_memory():
    return RequestMemory(total_bytes=REQUEST_BYTES, timers=Timers(seed=1))


def make_harness(nursery, kind=RouteKind.UNSAFE, **fields):
    return RelayHarness(
        nursery, kind, max_body_bytes=MAX_BODY_BYTES, request_memory=make_memory(), **fields
    )


def make_upstream(seen, *, delay_s=0.0):
    """Return a script that reads whole requests and records the lengths of their bodies."""

    async def script(stream):
        while True:
            head, _, body = (await read_request(stream)).partition(b"\r\n\r\n")
            lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            size, length = len(body), int(lines.get(b"content-length", b"0"))
            del body
            while size < length:
                size += len(await stream.receive_some(65536))
            request_id = lines[b"x-request-id"].decode()
            seen.append((request_id, size))
            await trio.sleep(delay_s)
            await stream.send_all(make_response(request_id=request_id))

    return script


async def send_blocks(stream, block, count):
    """Send a block repeatedly, no faster than it is read, until the peer ends the connection."""
    sent = 0
    while sent < count and not (stream.outgoing.has_ended or stream.incoming.chunks):
        if stream.outgoing.chunks:
            await trio.sleep(BLOCK_INTERVAL_S)
        else:
            await stream.send_all(block)
            sent += 1


CHUNKED = make_request(method="POST", headers=("Transfer-Encoding: chunked",))
ANNOUNCED = make_request(method="POST", headers=(f"Content-Length: {MAX_BODY_BYTES}",))
ENDLESS = 10**6
# What callers send first, then repeatedly, and how often.
FLOODS = {
    "chunked": (CHUNKED, chunk(BLOCK), ENDLESS),
    "chunk extension": (CHUNKED + b"4;a=", BLOCK, ENDLESS),
    "trailers": (CHUNKED + b"0\r\n", (b"x-a: " + b"a" * 1000 + b"\r\n") * 60, ENDLESS),
    "announced, without its end": (ANNOUNCED, BLOCK, MAX_BODY_BYTES // len(BLOCK) - 1),
}


@pytest.mark.parametrize("kind", list(FLOODS))
async def test_bodies_of_many_callers_are_bounded_together(autojump_clock, nursery, kind):
    """Guards against many bodies at once, each within its limit, that end the process."""
    seen = []
    harness = make_harness(nursery)
    await harness.start(make_upstream(seen))
    head, block, count = FLOODS[kind]
    answers = []

    async def call(number):
        stream = await harness.connect()
        await stream.send_all(head)
        await send_blocks(stream, block, count)
        answers.append(await read_all(stream, timeout_s=60))

    tracemalloc.start()
    async with trio.open_nursery() as callers:
        for number in range(CALLERS):
            callers.start_soon(call, number)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < PEAK_BYTES + CALLERS * CONNECTION_BYTES
    assert not seen and len(answers) == CALLERS
    for answer in answers:
        assert answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 4")), answer[:200]
        assert b"connection: close" in answer.lower()
        assert b"retry-after" in answer.lower() or not answer.startswith(b"HTTP/1.1 503")


async def test_large_bodies_of_many_callers_only_wait(autojump_clock, nursery):
    """Guards against proper requests that are refused because many arrive at once."""
    seen = []
    harness = make_harness(nursery)
    await harness.start(make_upstream(seen))
    size = MAX_BODY_BYTES // 4
    answers = []

    async def call(number):
        stream = await harness.connect()
        headers = (f"Content-Length: {size}",)
        await stream.send_all(
            make_request(method="POST", request_id=f"id-{number}", headers=headers)
        )
        await send_blocks(stream, BLOCK, size // len(BLOCK))
        answers.append(await read_all(stream))

    async with trio.open_nursery() as callers:
        for number in range(40):
            callers.start_soon(call, number)
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 40
    assert sorted(seen) == sorted((f"id-{number}", size) for number in range(40))


async def test_endless_bodies_leave_room_for_small_requests(autojump_clock, nursery):
    """Guards against callers without end that keep the requests of others from being read."""
    seen = []
    harness = make_harness(nursery)
    await harness.start(make_upstream(seen))

    async def flood():
        while True:
            stream = await harness.connect()
            await stream.send_all(CHUNKED)
            await send_blocks(stream, chunk(BLOCK), ENDLESS)
            await read_all(stream)

    async with trio.open_nursery() as callers:
        for _ in range(20):
            callers.start_soon(flood)
        await trio.sleep(0.05)
        for number in range(30):
            request = make_request(method="POST", request_id=f"id-{number}", body=b"b" * 30_000)
            answer = await harness.fetch(request)
            assert answer.startswith(b"HTTP/1.1 200"), answer
        callers.cancel_scope.cancel()
    assert [size for _, size in seen] == [30_000] * 30


async def test_requests_that_wait_for_responses_keep_their_memory(autojump_clock, nursery):
    """Guards against requests at an upstream that are given up for those that are read later."""
    seen = []
    harness = make_harness(nursery)
    await harness.start(make_upstream(seen, delay_s=3.5))
    answers = {}

    async def call(number, size):
        request_id = f"id-{number}"
        request = make_request(method="POST", request_id=request_id, body=b"b" * size)
        answers[request_id] = await harness.fetch(request)

    async with trio.open_nursery() as callers:
        callers.start_soon(call, 0, MAX_BODY_BYTES)
        await trio.sleep(0.1)
        callers.start_soon(call, 1, MAX_BODY_BYTES)
        callers.start_soon(call, 2, 20_000)
    assert [answers[f"id-{number}"][:12] for number in range(3)] == [
        b"HTTP/1.1 200",
        b"HTTP/1.1 503",
        b"HTTP/1.1 200",
    ]
    assert b"retry-after" in answers["id-1"].lower()
    assert sorted(seen) == [("id-0", MAX_BODY_BYTES), ("id-2", 20_000)]


async def test_requests_sent_ahead_are_bounded_together(autojump_clock, nursery):
    """Guards against memory for requests that callers send before the current one has ended."""
    callers_count = 200
    seen = []
    harness = make_harness(nursery, RouteKind.SAFE)
    await harness.start(make_upstream(seen, delay_s=2))
    request = make_request().replace(b"Connection: close\r\n", b"")

    async def call(number):
        stream = await harness.connect()
        await stream.send_all(request)
        with trio.move_on_after(1):
            await send_blocks(stream, BLOCK[:4096], 32)
            await trio.sleep_forever()

    tracemalloc.start()
    async with trio.open_nursery() as callers:
        for number in range(callers_count):
            callers.start_soon(call, number)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < REQUEST_BYTES + callers_count * CONNECTION_BYTES


async def test_body_in_small_chunks_takes_its_size(autojump_clock, nursery):
    """Guards against an object for each part of a body, which takes many times its size."""
    seen = []
    harness = make_harness(nursery)
    await harness.start(make_upstream(seen))
    size = 128 * 1024
    stream = await harness.connect()
    await stream.send_all(CHUNKED)
    block = chunk(b"xx") * 4096
    tracemalloc.start()
    await send_blocks(stream, block, size // 8192)
    await stream.send_all(b"0\r\n\r\n")
    answer = await read_all(stream)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert answer.startswith(b"HTTP/1.1 200")
    assert peak < 8 * size


async def test_small_chunks_let_other_tasks_run(autojump_clock):
    """Guards against one caller whose chunks of a byte hold up all other requests."""
    count = 8192
    # All of it arrives in one read.
    data = CHUNKED + chunk(b"x") * count + b"0\r\n\r\n"
    assert len(data) <= READ_BYTES
    ours, theirs = trio.testing.memory_stream_pair()
    conn = CallerConnection(stream=theirs, limits=Limits)
    await ours.send_all(data)
    turns = 0

    async def take_turns():
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_turns)
        request = await conn.read_request()
        nursery.cancel_scope.cancel()
    assert request.body == b"x" * count
    assert turns >= count // PARTS_PER_TURN

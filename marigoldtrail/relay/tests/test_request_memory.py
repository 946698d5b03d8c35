"""Memory of the requests of many callers at once."""

import tracemalloc

import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
)
from marigoldtrail.relay.tests.test_relay import chunk
from marigoldtrail.routing import RouteKind

BLOCK_INTERVAL_S = 0.005


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


async def test_body_in_small_chunks_takes_its_size(autojump_clock, nursery):
    """Guards against an object for each part of a body, which takes many times its size."""
    size = 128 * 1024
    seen = []
    harness = RelayHarness(nursery, RouteKind.UNSAFE, max_body_bytes=size)
    await harness.start(make_upstream(seen))
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

"""Responses whose bytes cost much processor time, and the turns of other tasks meanwhile."""

import trio
import trio.testing

from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.relay.tests.helpers import SEAL_HEADER
from marigoldtrail.relay.upstream_connection import READ_BYTES, UpstreamConnection

CHUNK = b"1\r\nx\r\n"
CHUNKS = READ_BYTES // len(CHUNK)
HEAD = f"HTTP/1.1 200 OK\r\n{SEAL_HEADER}transfer-encoding: chunked\r\n\r\n".encode()


async def test_other_tasks_run_while_short_chunks_are_parsed(nursery):
    """Guards against requests that wait while a faulty upstream's chunks of a byte are parsed."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = UpstreamConnection(stream=ours, upstream="i-0", header_codec=HEADER_CODEC)
    conn.prepare_request(b"GET", b"/", [(b"host", b"a")], b"")
    await conn.send_request()
    await theirs.send_all(HEAD)
    await conn.read_head()
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    await theirs.send_all(CHUNK * CHUNKS)
    nursery.start_soon(count_turns)
    await trio.lowlevel.checkpoint()
    turns = 0
    assert await conn.read_body_part() == b"x" * CHUNKS
    assert turns >= CHUNKS // 200

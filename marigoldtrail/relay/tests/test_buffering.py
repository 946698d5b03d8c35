"""Memory of whole responses that wait to be sent."""

import trio
import trio.testing

from marigoldtrail.memory import MemoryBudget
from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.relay.buffering import HeldResponses, read_held_body
from marigoldtrail.relay.tests.helpers import make_response
from marigoldtrail.relay.upstream_connection import UpstreamConnection
from marigoldtrail.timers import Timers


async def read(memory, held):
    """Read the body of one response of 600 bytes."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = UpstreamConnection(stream=ours, upstream="i-0", header_codec=HEADER_CODEC)
    conn.prepare_request(b"GET", b"/", [(b"host", b"a")], b"")
    await conn.send_request()
    await theirs.send_all(make_response("x" * 600))
    await conn.read_head()
    return await read_held_body(memory, conn, held)


async def test_response_of_a_cancelled_attempt_is_forgotten(autojump_clock):
    """Guards against memory that is lost, or a whole answer that is cut, after such an attempt."""
    memory = MemoryBudget(total_bytes=1000, timers=Timers(seed=1))
    held = HeldResponses()
    assert await read(memory, held) == b"x" * 600
    # The attempt ended before its result was used; others then need the memory.
    other = memory.open("a", "p")
    assert not await other.take(2000)
    other.close()
    with trio.fail_after(5):
        assert await read(memory, held) == b"x" * 600
    assert memory.used_bytes == 600 and not held.send_scope.cancel_called
    held.close()
    assert memory.used_bytes == 0

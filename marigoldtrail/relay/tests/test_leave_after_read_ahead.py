"""Callers that leave while memory for what they sent ahead is short."""

import trio

from marigoldtrail.memory import RequestMemory
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_request
from marigoldtrail.routing import RouteKind
from marigoldtrail.timers import Timers


async def test_caller_that_leaves_after_a_read_ahead_without_memory_is_noticed(
    autojump_clock, nursery
):
    """Guards against upstreams that work on for callers who have left."""
    memory = RequestMemory(total_bytes=500_000, timers=Timers(seed=1))
    harness = RelayHarness(nursery, RouteKind.SAFE, max_body_bytes=100_000, request_memory=memory)
    ended = []

    async def script(stream):
        await read_request(stream)
        while await stream.receive_some(65536):
            pass
        ended.append(trio.current_time())

    await harness.start(script)
    stream = await harness.connect()
    await stream.send_all(make_request(method="POST", body=b"x" * 50_000))
    await trio.sleep(0.3)
    with memory.small.open("request", "other") as other:
        assert await other.take(memory.small.total_bytes - memory.small.used_bytes - 3000)
        other.complete()
        await stream.send_all(make_request(request_id="id-2", headers=("X-A: " + "a" * 1000,)))
        await trio.sleep(0.1)
        left = trio.current_time()
        await stream.aclose()
        await trio.sleep(8)
    assert ended[0] - left < 0.5, ended[0] - left

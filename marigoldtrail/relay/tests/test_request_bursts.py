"""Bursts of proper requests with bodies of usual length."""

import pytest
import trio

from marigoldtrail.relay.tests.helpers import make_request
from marigoldtrail.relay.tests.test_request_memory import make_harness, make_upstream


@pytest.mark.parametrize(("count", "size"), [(100, 60_000), (60, 60_000)])
async def test_burst_of_bodies_is_not_refused(autojump_clock, nursery, count, size):
    """Guards against proper requests that are refused while the host still has free memory."""
    harness = make_harness(nursery)
    seen = []
    await harness.start(*[make_upstream(seen, delay_s=1.0)] * 30)
    received = []

    async def call(number):
        request = make_request(method="POST", body=b"x" * size, request_id=f"id-{number}")
        received.append((await harness.fetch(request))[:12])

    async with trio.open_nursery() as callers:
        for number in range(count):
            callers.start_soon(call, number)
    assert received.count(b"HTTP/1.1 200") == count, (
        {status: received.count(status) for status in received},
        harness.relay._memory.refused,
    )

"""Proper answers within the budget of responses that the smallest host really has."""

import pytest

from marigoldtrail.relay.tests.helpers import RelayHarness, make_request
from marigoldtrail.relay.tests.test_endless_answers import HOST_MB, REQUESTS, fetch_all, send_body
from marigoldtrail.routing import RouteKind


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize(
    ("count", "size"), [(REQUESTS, 512 * 1024), (20, 768 * 1024), (REQUESTS, 1024 * 1024)]
)
async def test_proper_answers_are_whole_on_the_smallest_host(
    autojump_clock, nursery, framing, count, size
):
    """Guards against proper answers that fail because they were read only in part, side by side."""
    harness = RelayHarness(nursery, RouteKind.SAFE, memory_mb=HOST_MB)
    await harness.start(send_body(b"x" * size, framing))
    received = await fetch_all(harness, make_request(), count)
    whole = sum(len(data) > size and data.startswith(b"HTTP/1.1 200") for data in received)
    assert whole == count

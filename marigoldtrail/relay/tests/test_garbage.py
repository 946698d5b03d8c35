"""What a finished request leaves in memory."""

import collections
import gc

import pytest
import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind

STREAM = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"


def count_garbage():
    """Return how many objects of the product only the garbage collector frees, by their type."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        kinds = [type(found) for found in gc.garbage]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
    names = (k.__qualname__ for k in kinds if k.__module__.startswith("marigoldtrail."))
    return dict(collections.Counter(names))


@pytest.mark.parametrize(
    ("kind", "response"), [(RouteKind.SAFE, make_response()), (RouteKind.STREAMING, STREAM)]
)
async def test_finished_request_is_freed_without_the_garbage_collector(
    autojump_clock, nursery, kind, response
):
    """Guards against connections and bodies that stay in memory in cycles of references."""
    harness = RelayHarness(nursery, kind)
    await harness.start(reply_with(response))
    data = await harness.fetch(make_request())
    assert data.startswith(b"HTTP/1.1 200")
    await trio.sleep(5)
    del data
    gc.collect()
    gc.disable()
    try:
        data = await harness.fetch(make_request())
        assert data.startswith(b"HTTP/1.1 200")
        await trio.sleep(5)
        assert count_garbage() == {}
    finally:
        gc.enable()

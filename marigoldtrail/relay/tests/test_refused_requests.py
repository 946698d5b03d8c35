"""Requests that are refused before or while they are read."""

import pytest
import trio

from marigoldtrail.memory import RequestMemory
from marigoldtrail.relay.endpoints import EndpointStop, Reply, serve_endpoint
from marigoldtrail.relay.tests.helpers import (
    ENTRY_ADDRESS,
    RelayHarness,
    make_response,
    read_all,
    reply_with,
)
from marigoldtrail.relay.tests.test_stop import make_kept_request
from marigoldtrail.routing import Limits
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

# The memory of requests on this host has no room for it.
LARGE_REQUEST = make_kept_request(method="POST", body=b"b" * 4900)


def make_full_harness(nursery):
    memory = RequestMemory(total_bytes=1000, timers=Timers(seed=1))
    return RelayHarness(nursery, request_memory=memory)


async def make_full_memory():
    """Return memory that another request has taken, and gives back later."""
    memory = RequestMemory(total_bytes=20000, timers=Timers(seed=1))
    held = memory.small.open("request", "another caller")
    assert await held.take(memory.small.total_bytes)
    held.complete()
    return memory


REFUSED = {
    "late head": (make_kept_request()[:20], 408),
    "long head": (b"GET /x/1 HTTP/1.1\r\nX-Long: " + b"a" * 3000, 431),
    "invalid head": (b"no request\r\n\r\n", 400),
    "whole request without memory": (LARGE_REQUEST, 503),
}


@pytest.mark.parametrize(("data", "status"), REFUSED.values(), ids=REFUSED)
async def test_refusal_after_a_head_request_is_sent(autojump_clock, nursery, data, status):
    """Guards against a connection that is closed instead of a refusal after a HEAD request."""
    harness = make_full_harness(nursery)
    await harness.start(reply_with(make_response("")))
    stream = await harness.connect()
    await stream.send_all(make_kept_request(method="HEAD"))
    assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200 ")
    await stream.send_all(data)
    answer = await read_all(stream)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    # Other requests than HEAD are told the reason.
    assert answer.partition(b"\r\n\r\n")[2]


async def test_request_that_waits_for_memory_is_refused_at_the_end_of_a_stop(
    autojump_clock, nursery
):
    """Guards against a stop that closes a connection whose whole request waits for memory."""
    harness = RelayHarness(nursery, request_memory=await make_full_memory())
    await harness.start(reply_with(make_response()))
    stream = await harness.connect()
    await stream.send_all(LARGE_REQUEST)
    await trio.sleep(0.1)
    await harness.relay.drain(trio.current_time() + 0.1)
    # The process ends here.
    assert (await read_all(stream, timeout_s=0.01)).startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize("data", [LARGE_REQUEST, LARGE_REQUEST[:3000]], ids=["whole", "incomplete"])
async def test_request_to_an_endpoint_is_refused_at_the_end_of_a_stop(
    autojump_clock, nursery, data
):
    """Guards against a stop that closes a connection to an endpoint in the middle of a read."""
    network, memory, stop = MemoryNetwork(seed=1), await make_full_memory(), EndpointStop()

    async def handle(request):
        return Reply(status=200)

    async def serve(stream):
        await serve_endpoint(stream, handle, Limits(), stop, memory)

    await nursery.start(network.endpoint(ENTRY_ADDRESS.ip).listen, ENTRY_ADDRESS, serve)
    stream = await network.endpoint("10.0.9.9").connect(ENTRY_ADDRESS)
    await stream.send_all(data)
    await trio.sleep(0.1)
    stop.start()
    stop.end()
    # The process ends here.
    assert (await read_all(stream, timeout_s=0.01)).startswith(b"HTTP/1.1 503 ")

"""Memory of requests on connections that carry several of them."""

import h11
import trio

from marigoldtrail.memory import RequestMemory, compute_request_bytes
from marigoldtrail.relay.caller_connection import check_head
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_all
from marigoldtrail.relay.tests.test_request_memory import make_upstream
from marigoldtrail.routing import Limits, RouteKind
from marigoldtrail.timers import Timers


async def test_idle_connection_is_closed_without_a_response_after_want_of_memory(
    autojump_clock, nursery
):
    """Guards against an unasked 503 on a kept connection whose read-ahead found no memory."""
    memory = RequestMemory(total_bytes=500_000, timers=Timers(seed=1))
    harness = RelayHarness(nursery, RouteKind.UNSAFE, max_body_bytes=100_000, request_memory=memory)
    seen = []
    await harness.start(make_upstream(seen, delay_s=2.0))
    stream = await harness.connect()
    first = make_request(method="POST", body=b"x" * 60_000)
    second = make_request(request_id="id-2", headers=("X-A: " + "a" * 1000,))
    await stream.send_all(first.replace(b"Connection: close\r\n", b""))
    await trio.sleep(0.5)
    # A request of another caller that leaves little room, and is complete.
    with memory.small.open("request", "other") as other:
        assert await other.take(memory.small.total_bytes - memory.small.used_bytes - 3000)
        other.complete()
        await stream.send_all(second.replace(b"Connection: close\r\n", b""))
        await trio.sleep(1.0)
    received = await read_all(stream, timeout_s=60)
    assert [request_id for request_id, _ in seen] == ["id-1", "id-2"]
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"HTTP/1.1") == 2, received[-300:]


async def test_complete_request_is_not_given_up_for_its_own_read_ahead(autojump_clock):
    """Guards against an eviction of what is in use, which gives no memory back."""
    memory = RequestMemory(total_bytes=500_000, timers=Timers(seed=1))
    account = memory.open("caller", lambda: None)
    assert await account.hold(60_000)
    account.complete(60_000)
    with memory.small.open("request", "other") as other:
        assert await other.take(memory.small.total_bytes - memory.small.used_bytes - 3000)
        other.complete()
        await account.hold(62_000)
    assert not memory.small.evicted


async def test_body_that_the_configuration_allows_is_not_refused_as_too_large():
    """Guards against a 413 for a proper body because the host is small; 503 promises a retry."""
    memory = RequestMemory(total_bytes=compute_request_bytes(160), timers=Timers(seed=1))
    size = 7 * 1024 * 1024 + 512 * 1024
    head = h11.Request(
        method=b"POST",
        target=b"/x/1",
        headers=[(b"host", b"a.example"), (b"content-length", str(size).encode())],
    )
    fault = check_head(head, Limits(max_body_bytes=8 * 1024 * 1024), memory.max_body_bytes)
    assert fault is None or fault.status == 503

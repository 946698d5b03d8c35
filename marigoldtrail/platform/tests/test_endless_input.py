"""Bytes without end: answers to the calls of hosts, and requests to their endpoints."""

import tracemalloc

import msgspec
import pytest
import trio

from marigoldtrail.errors import Failure, RunState
from marigoldtrail.net import Address
from marigoldtrail.platform.calls import make_list_reader, make_piece_call
from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.platform.tests.test_stage_calls import ADDRESS, UPSTREAM, make_piece
from marigoldtrail.relay import ConnectionPool, Reply, serve_endpoint
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request
from marigoldtrail.relay.tests.test_faulty_upstreams import (
    BLOCK,
    ENDLESS,
    PEAK_BYTES,
    send_without_end,
)
from marigoldtrail.relay.tests.test_relay import chunk
from marigoldtrail.routing import Limits, RouteKind
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

ANSWER_S = 3.0


def make_script(kind, ended):
    async def script(stream):
        try:
            await send_without_end(stream, *ENDLESS[kind])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            ended.set()

    return script


def make_call(name, pool):
    pieces = make_piece_call(pool)
    calls = {
        "list": make_list_reader(pool, str(ADDRESS), lambda reason: None),
        "stage run": lambda: pieces.run(UPSTREAM, [make_piece("r")], [5.0]),
        "stage free": lambda: pieces.free(UPSTREAM, ["h"]),
    }
    return calls[name]


@pytest.mark.parametrize("kind", list(ENDLESS))
@pytest.mark.parametrize("name", ["list", "stage run", "stage free"])
async def test_endless_answer_to_a_call_is_aborted(autojump_clock, nursery, name, kind):
    """Guards against unbounded memory and time for an answer that never completes."""
    ended = trio.Event()
    network = MemoryNetwork(seed=1)
    await nursery.start(network.endpoint(ADDRESS.ip).listen, ADDRESS, make_script(kind, ended))
    pool = ConnectionPool(
        network=network.endpoint("10.0.0.1"), timers=Timers(seed=1), header_codec=HEADER_CODEC
    )
    call = make_call(name, pool)
    tracemalloc.start()
    with trio.fail_after(ANSWER_S):
        result = await call()
        await ended.wait()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(result, Failure) and result.run_state is RunState.MAY_HAVE_RUN
    assert peak < PEAK_BYTES


@pytest.mark.parametrize("kind", list(ENDLESS))
@pytest.mark.parametrize("route", [RouteKind.UNSAFE, RouteKind.STREAMING])
async def test_endless_answer_of_another_entry_is_aborted(autojump_clock, nursery, route, kind):
    """Guards against unbounded memory and time for a request that another entry answers."""
    ended = trio.Event()
    harness = RelayHarness(nursery, route)
    harness.reachability.is_cut_off = True
    await harness.start()
    address = Address("10.0.2.0", 80)
    harness.other_entries.append(str(address))
    await harness.serve_script(address, make_script(kind, ended))
    tracemalloc.start()
    with trio.fail_after(ANSWER_S):
        data = await harness.fetch(make_request(method="POST", body=b"b"))
        await ended.wait()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < PEAK_BYTES and not data.endswith(b"0\r\n\r\n")
    assert b"HTTP/1.1 503" not in data


PUT = b"PUT /-/config HTTP/1.1\r\nhost: a\r\n"
CHUNKED = PUT + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "head lines": (PUT, b"x-a: " + b"a" * 1000 + b"\r\n"),
    "one head line": (PUT + b"x-a: ", BLOCK),
    "chunk extension": (CHUNKED + b"4;a=", BLOCK),
    "chunked body": (CHUNKED, chunk(BLOCK)),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: " + b"a" * 1000 + b"\r\n"),
    "no request": (b"", b"\0" * 1000),
}


@pytest.mark.parametrize("kind", list(ENDLESS_REQUESTS))
async def test_endless_request_to_an_endpoint_is_aborted(autojump_clock, nursery, kind):
    """Guards against unbounded memory and time for a request of an operator that never ends."""
    network = MemoryNetwork(seed=1)
    handled = []

    async def handle(request):
        handled.append(request)
        return Reply(status=200)

    async def serve(stream):
        await serve_endpoint(stream, handle, Limits())

    await nursery.start(network.endpoint(ADDRESS.ip).listen, ADDRESS, serve)
    stream = await network.endpoint("10.0.0.1").connect(ADDRESS)
    head, block = ENDLESS_REQUESTS[kind]
    tracemalloc.start()
    with trio.fail_after(ANSWER_S):
        await stream.send_all(head)
        while not stream.outgoing.has_ended:
            await stream.send_all(block)
            await trio.sleep(0.0005)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < PEAK_BYTES and not handled


@pytest.mark.parametrize("kind", ["chunked body", "body until close"])
async def test_endless_answers_to_calls_of_stages_take_little_memory(autojump_clock, nursery, kind):
    """Guards against a control host that ends because all upstreams of stages are faulty."""
    count, bound_bytes = 40, 20 * 1024 * 1024
    network = MemoryNetwork(seed=1)
    pool = ConnectionPool(
        network=network.endpoint("10.0.0.1"), timers=Timers(seed=1), header_codec=HEADER_CODEC
    )
    pieces = make_piece_call(pool)
    results = []

    async def call(upstream):
        results.append(await pieces.run(upstream, [make_piece("r")], [5.0]))

    upstreams = []
    for number in range(count):
        address = Address(f"10.0.3.{number}", 80)
        await nursery.start(
            network.endpoint(address.ip).listen, address, make_script(kind, trio.Event())
        )
        upstreams.append(
            msgspec.structs.replace(UPSTREAM, name=f"i-{number}", address=str(address))
        )
    tracemalloc.start()
    async with trio.open_nursery() as calls:
        for upstream in upstreams:
            calls.start_soon(call, upstream)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(results) == count and all(isinstance(result, Failure) for result in results)
    assert peak < bound_bytes

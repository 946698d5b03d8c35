"""Attempts that are given up, and the crashes of their upstreams."""

import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind


def list_blamed(harness):
    return [crash.upstream for crash in harness.fleet_state.prompts.build_report().crashes]


async def test_attempt_that_was_never_sent_is_blamed_for_no_crash(autojump_clock, nursery):
    """Guards against a sound request that is blamed for an upstream that it never reached."""
    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2)
    await harness.start(reply_with(make_response()), reply_with(make_response()))
    for name in ("i-0", "i-1"):
        harness.monitor.get_record(name).duration_s = 0.02
    network, first = harness.endpoint, []

    class HangingNetwork:
        async def connect(self, address):
            if not first:
                first.append(address)
                await trio.sleep(0.3)
            if address == first[0]:
                raise OSError("refused")
            return await network.connect(address)

    harness.pool._network = HangingNetwork()
    assert (await harness.fetch(make_request())).startswith(b"HTTP/1.1 200 ")
    await trio.sleep(2)
    assert list_blamed(harness) == []


async def test_stream_that_moves_before_its_upstream_crashes_is_blamed(autojump_clock, nursery):
    """Guards against streams that crash one upstream after the other unseen, each after silence."""

    async def stall(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        await trio.sleep(1.65)
        harness.network.refuse("10.0.0.1", "10.0.1.0")

    async def serve(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n")
        await trio.sleep(1)

    async def add_other():
        await trio.sleep(0.05)
        await harness.add_upstream(1, serve)

    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=3, max_gap_s=0.2
    )
    await harness.start(stall)
    nursery.start_soon(add_other)
    data = await harness.fetch(make_request())
    await trio.sleep(2)
    assert data.endswith(b"0\r\n\r\n") and list_blamed(harness) == ["i-0"]


async def test_stream_whose_caller_leaves_before_its_upstream_crashes_is_blamed(
    autojump_clock, nursery
):
    """Guards against streams that crash their upstreams unseen, since no caller waits for them."""

    async def hang(stream):
        await read_request(stream)
        await trio.sleep(2.25)
        harness.network.refuse("10.0.0.1", "10.0.1.0")

    harness = RelayHarness(nursery, RouteKind.STREAMING)
    await harness.start(hang)
    stream = await harness.connect()
    await stream.send_all(make_request())
    await trio.sleep(2.2)
    await stream.aclose()
    await trio.sleep(2)
    assert list_blamed(harness) == ["i-0"]

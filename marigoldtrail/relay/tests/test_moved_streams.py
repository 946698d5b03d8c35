"""Started streams that are moved, beside what this host finds out meanwhile."""

import pytest
import trio

from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_request
from marigoldtrail.relay.tests.test_dispatch import GONE, Schedulers, make_staged_harness
from marigoldtrail.relay.tests.test_left_upstreams import (
    FAULTS,
    PausingUpstream,
    fall_silent_too,
    fetch_moved_stream,
    refuse_late,
)
from marigoldtrail.relay.tests.test_prompts import BAD, make_prompt_request
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.relay.tests.test_silent_upstreams import is_whole
from marigoldtrail.routing import RouteKind


async def fetch_beside_quarantine(nursery, other, quarantined_at):
    """Return the stream of a silent upstream that moves to another one, beside a quarantine."""
    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=2, max_gap_s=0.2
    )
    started = trio.current_time()
    await harness.start(PausingUpstream().serve)

    async def disturb():
        await trio.sleep(0.05)
        await harness.add_upstream(1, other)
        await trio.sleep_until(started + quarantined_at)
        harness.fleet_state.prompts.apply([], [BAD])

    nursery.start_soon(disturb)
    return await harness.fetch(make_prompt_request("start:5,bad:7,own:3"))


@pytest.mark.parametrize("quarantined_at", [0.5, 0.85, 0.95, 1.1])
async def test_stream_that_moves_is_not_broken_off_by_a_quarantine(
    autojump_clock, nursery, quarantined_at
):
    """Guards against a started stream that is ended though an upstream has it."""
    data = await fetch_beside_quarantine(nursery, fall_silent_too, quarantined_at)
    assert is_whole(data)


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
async def test_stream_goes_back_to_its_silent_upstream_while_this_host_is_cut_off(
    autojump_clock, nursery, fault
):
    """Guards against a started stream that is ended since no other entry can go on with it."""

    def cut_off(harness):
        async def find_cut():
            await trio.sleep(0.95)
            harness.reachability._change(True)

        nursery.start_soon(find_cut)

    data, _ = await fetch_moved_stream(nursery, fault, on_start=cut_off)
    assert is_whole(data)


async def test_staged_stream_goes_back_after_its_stages_have_run_again(autojump_clock, nursery):
    """Guards against an upstream that counts as failed since the inputs of the request are gone."""
    harness = make_staged_harness(nursery, max_attempts=4)
    schedulers = harness.dispatcher._pieces = Schedulers()

    async def serve_first(stream):
        request = await read_request(stream)
        if b"c0/h" not in request:
            await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")
        elif any(call[0] == "read" for call in schedulers.calls):
            await stream.send_all(GONE)
        else:
            await stream.send_all(STREAM_HEAD)
            await trio.sleep(10)

    async def serve_second(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await trio.sleep(0.3)

    await harness.start(serve_first)

    async def add_late():
        await trio.sleep(0.05)
        await harness.add_upstream(1, serve_second)

    nursery.start_soon(add_late)
    data = await harness.fetch(make_request(headers=("X-Pieces: 1",)))
    assert is_whole(data), (data, schedulers.calls)


async def test_stream_goes_back_though_its_prompt_is_quarantined(autojump_clock, nursery):
    """Guards against a started stream that is ended for a quarantine after it has moved."""
    assert is_whole(await fetch_beside_quarantine(nursery, refuse_late, 1.05))

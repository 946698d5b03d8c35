"""Streams whose sound upstream falls silent for about a second and goes on."""

import pytest
import trio

from marigoldtrail.net import Address
from marigoldtrail.policy.window_budget import WindowBudget
from marigoldtrail.relay import SendGate
from marigoldtrail.relay.tests.helpers import (
    ENTRY_ADDRESS,
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind


async def fetch_paused_stream(nursery, *others, prepare, silence_s=1.2):
    """Return the response to a resumable stream with a silence after its first event."""

    async def pause(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await trio.sleep(silence_s)
        await stream.send_all(chunk(EVENTS[1]) + chunk(EVENTS[2]) + b"0\r\n\r\n")

    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=3, max_gap_s=0.2
    )
    await harness.start(pause)
    for number, script in enumerate(others, start=1):
        # Added once the stream has begun at the first upstream.
        nursery.start_soon(add_late, harness, number, script, prepare)
    return await harness.fetch(make_request())


async def add_late(harness, number, script, prepare):
    await trio.sleep(0.05)
    await harness.add_upstream(number, script)
    prepare(harness)


def is_whole(data):
    return all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")


async def test_silent_upstream_is_kept_while_the_others_want_no_requests(autojump_clock, nursery):
    """Guards against a stream that is broken off because it can't be sent to another upstream."""
    script = reply_with(make_response())
    data = await fetch_paused_stream(
        nursery, script, prepare=lambda harness: harness.monitor.start_pause("i-1", 5.0)
    )
    assert is_whole(data)


async def test_silent_upstream_is_kept_while_the_others_are_not_reached(autojump_clock, nursery):
    """Guards against a stream that is broken off because no other upstream takes connections."""
    data = await fetch_paused_stream(
        nursery,
        reply_with(make_response()),
        prepare=lambda harness: harness.network.refuse("10.0.0.1", "10.0.1.1"),
    )
    assert is_whole(data)


async def test_silent_upstream_is_kept_while_the_others_have_no_room(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a stream that is broken off for want of a permit of another upstream."""

    async def deny(gate, exchange, upstream, max_wait_s):
        gate._monitor.start_limited(upstream.name, 1.0)

    data = await fetch_paused_stream(
        nursery,
        reply_with(make_response()),
        prepare=lambda harness: monkeypatch.setattr(SendGate, "take_permit", deny),
    )
    assert is_whole(data)


async def test_upstream_that_goes_on_while_its_stream_is_to_move_is_kept(autojump_clock, nursery):
    """Guards against a move away from an upstream that has just gone on."""

    def connect_slowly(harness):
        harness.network.link("10.0.0.1", "10.0.1.1").delay_s = 0.14

    seen = []
    data = await fetch_paused_stream(
        nursery, reply_with(make_response(), seen=seen), prepare=connect_slowly, silence_s=1.0
    )
    assert is_whole(data) and not seen


REFUSAL = make_response("", status="503 Full", headers="x-not-executed: 1\r\n")


async def refuse(stream):
    while True:
        await read_request(stream)
        await stream.send_all(REFUSAL)


async def close(stream):
    await read_request(stream)


async def answer_with_error(stream):
    await read_request(stream)
    await stream.send_all(make_response("broken", status="500 No"))


async def test_silent_upstream_is_kept_while_the_others_do_not_take_its_stream(
    autojump_clock, nursery
):
    """Guards against a stream that is broken off because all other upstreams are full or fail."""
    for script in (refuse, close, answer_with_error):
        data = await fetch_paused_stream(nursery, script, script, prepare=lambda harness: None)
        assert is_whole(data), script


async def test_stream_moves_to_an_upstream_with_room_behind_one_without(autojump_clock, nursery):
    """Guards against a stalled stream that ends because the first of the others refused it."""

    async def resume(stream):
        assert b"last-event-id: 1" in (await read_request(stream)).lower()
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")

    data = await fetch_paused_stream(
        nursery, refuse, refuse, resume, prepare=lambda harness: None, silence_s=9.0
    )
    assert is_whole(data) and [data.count(event) for event in EVENTS] == [1, 1, 1]


async def test_event_of_the_silent_upstream_wins_over_the_other_one(autojump_clock, nursery):
    """Guards against events of two upstreams, and work at one that is not needed."""
    closed_at = []

    async def run_silently(stream):
        await read_request(stream)
        assert not await stream.receive_some(1)
        closed_at.append(trio.current_time())

    data = await fetch_paused_stream(
        nursery, run_silently, prepare=lambda harness: None, silence_s=0.9
    )
    # The close takes as long to arrive as the end of the response.
    await trio.sleep(0.05)
    assert is_whole(data)
    assert closed_at and trio.current_time() - closed_at[0] < 0.1


async def test_stalled_stream_leaves_its_upstream_soon_after_the_other_has_taken_it(
    autojump_clock, nursery
):
    """Guards against a run at two upstreams for over 0.4 s."""
    left_at, taken_at = [], []

    async def stall(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await stream.receive_some(1)
        left_at.append(trio.current_time())

    async def run_late(stream):
        await read_request(stream)
        taken_at.append(trio.current_time())
        await trio.sleep(0.6)
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")

    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=2, max_gap_s=0.2
    )
    await harness.start(stall)
    nursery.start_soon(add_late, harness, 1, run_late, lambda harness: None)
    assert is_whole(await harness.fetch(make_request()))
    assert 0 < left_at[0] - taken_at[0] < 0.3


async def test_safe_request_is_kept_while_the_others_refuse_it(autojump_clock, nursery):
    """Guards against a failure in place of the late answer of an upstream that was silent."""

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(0.7)
        await stream.send_all(make_response("late"))

    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=3)
    await harness.start(answer_late)
    for number in (1, 2):
        nursery.start_soon(add_late, harness, number, refuse, lambda harness: None)
    assert (await harness.fetch(make_request())).endswith(b"late")


async def test_silent_upstream_of_a_safe_request_is_kept_while_no_other_takes_it(
    autojump_clock, nursery
):
    """Guards against a failure in place of the late answer of an upstream that was silent."""

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(1.2)
        await stream.send_all(make_response("late"))

    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2)
    await harness.start(answer_late)
    nursery.start_soon(
        add_late,
        harness,
        1,
        reply_with(make_response()),
        lambda harness: harness.monitor.start_pause("i-1", 5.0),
    )
    assert (await harness.fetch(make_request())).endswith(b"late")


async def test_slow_request_takes_no_permits_without_a_retry(autojump_clock, nursery, monkeypatch):
    """Guards against permits of limited upstreams that are used up by requests never sent."""
    taken = []
    take_permit = SendGate.take_permit

    async def count(gate, exchange, upstream, max_wait_s):
        taken.append(upstream.name)
        return await take_permit(gate, exchange, upstream, max_wait_s)

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(2.0)
        await stream.send_all(make_response())

    monkeypatch.setattr(SendGate, "take_permit", count)
    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2)
    harness.dispatcher._budgets._budgets["s"] = WindowBudget(ratio=0.0, slack=0.0, window_s=10.0)
    await harness.start(answer_late, answer_late)
    for name in ("i-0", "i-1"):
        harness.monitor.get_record(name).duration_s = 0.02
    assert (await harness.fetch(make_request())).startswith(b"HTTP/1.1 200 ")
    assert len(taken) == 1


@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("silence_s", [0.7, 1.0, 1.3, 1.6])
async def test_stream_that_has_begun_is_whole_after_a_silence_of_all_upstreams(
    autojump_clock, nursery, silence_s, count
):
    """Guards against streams that end because their host takes the silence for a cut of its own."""

    async def stream_slowly(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        for event in EVENTS:
            await stream.send_all(chunk(event))
            await trio.sleep(0.1)
        await stream.send_all(b"0\r\n\r\n")

    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=3, max_gap_s=0.2
    )
    await harness.start(*[stream_slowly] * count)
    nursery.start_soon(harness.reachability.run)
    nursery.start_soon(silence_upstreams, harness, count, silence_s)
    assert is_whole(await harness.fetch(make_request()))


async def silence_upstreams(harness, count, silence_s):
    """Hold back what upstreams send and get for some seconds, shortly after a first event."""
    await trio.sleep(0.05)
    ips = [f"10.0.1.{number}" for number in range(count)]
    for ip in ips:
        harness.network.cut(ENTRY_ADDRESS.ip, ip)
    await trio.sleep(silence_s)
    for ip in ips:
        harness.network.restore(ENTRY_ADDRESS.ip, ip)


async def test_silent_upstream_of_a_last_attempt_is_kept_though_none_is_reached(
    autojump_clock, nursery
):
    """Guards against a failure in place of an answer that no other host could give."""

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(0.1)
        await stream.send_all(make_response("late"))

    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=1)
    await harness.start(answer_late)
    nursery.start_soon(harness.reachability.run)
    nursery.start_soon(silence_upstreams, harness, 1, 1.6)
    assert (await harness.fetch(make_request())).endswith(b"late")


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.STREAMING])
@pytest.mark.parametrize("is_refused_elsewhere", [False, True])
async def test_request_with_attempts_left_is_kept_in_a_silence_of_all_upstreams(
    autojump_clock, nursery, kind, is_refused_elsewhere
):
    """Guards against a failure in place of an answer of a sound upstream that is under way."""

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(0.1)
        events = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
        await stream.send_all(make_response("late") if kind is RouteKind.SAFE else events)

    harness = RelayHarness(nursery, kind, is_resumable=True, max_attempts=2, max_gap_s=0.2)
    await harness.start(answer_late)
    if is_refused_elsewhere:
        address = Address("10.0.2.0", 80)
        harness.other_entries.append(str(address))
        await harness.serve_script(address, reply_with(make_response("no", status="503 No")))
    nursery.start_soon(harness.reachability.run)
    nursery.start_soon(silence_upstreams, harness, 1, 1.6)
    data = await harness.fetch(make_request())
    assert is_whole(data) or data.endswith(b"late")


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.STREAMING])
async def test_request_that_another_upstream_has_just_taken_is_kept_in_a_cut(
    autojump_clock, nursery, kind
):
    """Guards against a failure in place of the answer of an upstream that has taken a request."""
    is_stream = kind is RouteKind.STREAMING

    async def fall_silent(stream):
        await read_request(stream)
        if is_stream:
            await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await trio.sleep(100)

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(0.5)
        rest = STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n"
        await stream.send_all(rest if is_stream else make_response("late"))

    harness = RelayHarness(nursery, kind, is_resumable=True, max_attempts=2, max_gap_s=0.2)
    await harness.start(fall_silent)
    stream = await harness.connect()
    await stream.send_all(make_request())
    await trio.sleep(0.05)
    await harness.add_upstream(1, answer_late)
    # The request is offered to the other upstream after this time, for 0.2 s.
    await trio.sleep(0.85 if is_stream else 0.2)
    harness.reachability._change(True)
    data = await read_all(stream)
    assert is_whole(data) or data.endswith(b"late")

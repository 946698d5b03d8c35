"""Requests that left a silent, sound upstream for another one, which then fails."""

import msgspec
import pytest
import trio

from marigoldtrail.policy.window_budget import SAFETY_FACTOR, WindowBudget
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_request,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.relay.tests.test_silent_upstreams import REFUSAL, is_whole
from marigoldtrail.routing import RouteKind

# Longer than an upstream to which a stream is offered may take to refuse it.
LATE_S = 0.35
SILENCE_S = 1.2


def find_last_id(request):
    """Return the number of the last event that the requester of a stream has."""
    _, _, rest = request.lower().partition(b"last-event-id: ")
    return int(rest.split(b"\r")[0]) if rest else 0


class PausingUpstream:
    """An upstream that falls silent after its first event, and then serves what it has got."""

    def __init__(self):
        self.silent_until = None
        self.requests = []

    async def serve(self, stream):
        request = await read_request(stream)
        self.requests.append(request)
        start = find_last_id(request)
        if self.silent_until is None:
            await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
            start = 1
            self.silent_until = trio.current_time() + SILENCE_S
            await trio.sleep_until(self.silent_until)
        else:
            await trio.sleep_until(self.silent_until)
            await stream.send_all(STREAM_HEAD)
        for event in EVENTS[start:]:
            await stream.send_all(chunk(event))
        await stream.send_all(b"0\r\n\r\n")


async def refuse_late(stream):
    await read_request(stream)
    await trio.sleep(LATE_S)
    await stream.send_all(REFUSAL)


async def close_late(stream):
    await read_request(stream)
    await trio.sleep(LATE_S)


async def close_after_head(stream):
    await read_request(stream)
    await stream.send_all(STREAM_HEAD)
    await trio.sleep(LATE_S)


async def close_within_event(stream):
    await read_request(stream)
    await stream.send_all(STREAM_HEAD + chunk(EVENTS[1]) + chunk(b"id: 3\nda"))


async def answer_late_with_error(stream):
    await read_request(stream)
    await trio.sleep(LATE_S)
    await stream.send_all(make_response("broken", status="500 No"))


async def answer_with_no_http(stream):
    await read_request(stream)
    await trio.sleep(LATE_S)
    await stream.send_all(b"garbage\r\n\r\n")


FAULTS = {
    script.__name__: script
    for script in (
        refuse_late,
        close_late,
        close_after_head,
        close_within_event,
        answer_late_with_error,
        answer_with_no_http,
    )
}


async def fetch_moved_stream(nursery, fault, *, on_start=lambda harness: None, **route):
    """Return the response to a stream that moves to a failing upstream, and its first upstream."""
    values = {"is_resumable": True, "max_attempts": 2, "max_gap_s": 0.2, **route}
    harness = RelayHarness(nursery, RouteKind.STREAMING, **values)
    first = PausingUpstream()
    await harness.start(first.serve)

    async def add_late():
        await trio.sleep(0.05)
        await harness.add_upstream(1, fault)
        on_start(harness)

    nursery.start_soon(add_late)
    return await harness.fetch(make_request()), first


@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
async def test_stream_goes_back_to_the_upstream_that_was_only_silent(
    autojump_clock, nursery, fault, max_attempts
):
    """Guards against a stream that breaks off since the upstream to which it moved fails late."""
    data, first = await fetch_moved_stream(nursery, fault, max_attempts=max_attempts)
    assert is_whole(data) and [data.count(event) for event in EVENTS] == [1, 1, 1]
    assert len(first.requests) == 2


async def fall_silent_too(stream):
    await read_request(stream)
    await trio.sleep(SILENCE_S)
    await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")


async def test_stream_waits_for_a_second_upstream_that_falls_silent_too(autojump_clock, nursery):
    """Guards against a stream that is given up between two upstreams that both go on."""
    data, first = await fetch_moved_stream(nursery, fall_silent_too)
    assert is_whole(data) and len(first.requests) == 1


async def test_stream_goes_back_if_the_other_upstream_is_listed_at_another_version(
    autojump_clock, nursery
):
    """Guards against a stream that breaks off because its second upstream has been replaced."""

    def relist_soon(harness):
        async def relist():
            await trio.sleep(1.1)
            listed = harness.fleet_state.upstreams["i-1"]
            changed = msgspec.structs.replace(listed, version="v2")
            harness.fleet_state.upstreams["i-1"] = changed

        nursery.start_soon(relist)

    data, first = await fetch_moved_stream(nursery, fall_silent_too, on_start=relist_soon)
    assert is_whole(data) and len(first.requests) == 2


async def fetch_with_retries(nursery, retries, fault):
    """Return the response, the first upstream, the sends to the other one, and the budget."""
    budget, sends = WindowBudget(ratio=0.0, slack=retries / SAFETY_FACTOR, window_s=10.0), []

    async def count_sends(stream):
        sends.append(trio.current_time())
        await fault(stream)

    def set_budget(harness):
        harness.dispatcher._budgets._budgets["s"] = budget

    data, first = await fetch_moved_stream(nursery, count_sends, on_start=set_budget)
    return data, first, sends, budget


@pytest.mark.parametrize("retries", [0, 1])
async def test_stream_does_not_leave_without_a_retry_for_its_way_back(
    autojump_clock, nursery, retries
):
    """Guards against repeats beyond the budget, and streams that can't go back for want of it."""
    data, first, sends, _ = await fetch_with_retries(nursery, retries, refuse_late)
    assert is_whole(data) and len(first.requests) == 1 and not sends


async def test_stream_goes_back_with_the_last_retry(autojump_clock, nursery):
    """Guards against repeats beyond the budget of the service."""
    data, first, sends, budget = await fetch_with_retries(nursery, 2, refuse_late)
    assert is_whole(data) and len(first.requests) == 2 and len(sends) == 1
    assert not budget.has_room(trio.current_time(), entries=1)


async def test_stream_gives_the_retry_for_its_way_back_back(autojump_clock, nursery):
    """Guards against a budget that is used up by retries that nobody needed."""
    data, first, sends, budget = await fetch_with_retries(nursery, 2, fall_silent_too)
    assert is_whole(data) and len(first.requests) == 1 and len(sends) == 1
    assert budget.has_room(trio.current_time(), entries=1)


async def test_stream_does_not_go_back_to_an_upstream_that_is_taken_out(autojump_clock, nursery):
    """Guards against requests to an upstream that leaves, or whose data centre is evacuated."""

    def take_out_soon(harness):
        async def take_out():
            await trio.sleep(1.0)
            harness.fleet_state.mark_leaving("i-0")

        nursery.start_soon(take_out)

    data, first = await fetch_moved_stream(nursery, refuse_late, on_start=take_out_soon)
    assert EVENTS[0] in data and len(first.requests) == 1


async def test_request_goes_back_to_each_upstream_once(autojump_clock, nursery):
    """Guards against a request that goes to and fro between two upstreams."""
    closed = []

    async def close_too_late(stream):
        await read_request(stream)
        await trio.sleep(1.0 if not closed else LATE_S)
        closed.append(trio.current_time())

    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2)
    await harness.start(close_too_late, close_too_late)
    harness.monitor.get_record("i-0").duration_s = 0.02
    harness.monitor.get_record("i-1").duration_s = 0.02
    assert (await harness.fetch(make_request())).startswith(b"HTTP/1.1 502")
    assert len(closed) == 3


@pytest.mark.parametrize("fault", [refuse_late, close_late, answer_late_with_error])
async def test_safe_request_goes_back_to_the_upstream_that_was_only_silent(
    autojump_clock, nursery, fault
):
    """Guards against a failure in place of the answer of an upstream that was silent."""
    requests = []

    async def answer_late(stream):
        requests.append(await read_request(stream))
        await trio.sleep_until(SILENCE_S + started)
        await stream.send_all(make_response("late"))

    started = trio.current_time()
    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2)
    await harness.start(answer_late)

    async def add_late():
        await trio.sleep(0.05)
        await harness.add_upstream(1, fault)

    nursery.start_soon(add_late)
    assert (await harness.fetch(make_request())).endswith(b"late")
    assert len(requests) == 2

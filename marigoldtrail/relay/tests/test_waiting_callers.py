"""Callers that wait for a silent upstream until their deadline, whatever the configuration says."""

import pytest
import trio

from marigoldtrail.net import Address
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind

DEADLINE_S = 12.0
# Two silences of a second with a queue between, and most of a caller's time.
SILENCES_S = [2.7, 6.0]
# Targets of a route before and after a configuration lowers or leaves them out.
TARGETS_S = [0.8, 0.1, 0.0]
END = b"0\r\n\r\n"


def is_whole(data):
    return [data.count(event) for event in EVENTS] == [1, 1, 1] and data.endswith(END)


def make_patient_request():
    request = make_request(method="POST", body=b"b")
    return request.replace(b"X-Deadline-Ms: 4000", b"X-Deadline-Ms: %d" % (DEADLINE_S * 1000))


def make_streams(nursery, target_s, **route):
    values = {"timeout_s": 60.0, "target_latency_s": target_s, "max_gap_s": target_s / 4}
    return RelayHarness(nursery, RouteKind.STREAMING, **{**values, **route})


async def send_events_around(stream, silence_s):
    await read_request(stream)
    await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
    await trio.sleep(silence_s)
    await stream.send_all(b"".join(map(chunk, EVENTS[1:])) + END)


# What a stalled upstream sends first, and then at intervals.
STALLS = {
    "nothing": (b"", b""),
    "an event": (STREAM_HEAD + chunk(EVENTS[0]), b""),
    "no second event": (STREAM_HEAD + chunk(EVENTS[0]), chunk(b":")),
}


async def stall(stream, first, filler, ends):
    """Send no complete event but the first; note when the connection of the request is closed."""
    await read_request(stream)
    await stream.send_all(first)
    async with trio.open_nursery() as nursery:

        async def note_end():
            while await stream.receive_some(1):
                pass
            ends.append(trio.current_time())
            nursery.cancel_scope.cancel()

        nursery.start_soon(note_end)
        while True:
            await trio.sleep(0.3)
            if filler:
                await stream.send_all(filler)


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target_s", TARGETS_S)
async def test_started_stream_is_whole_though_the_target_was_lowered(
    autojump_clock, nursery, target_s, silence_s
):
    """Guards against a stream that is broken off while its caller waits and no other can go on."""
    harness = make_streams(nursery, target_s)
    await harness.start(lambda stream: send_events_around(stream, silence_s))
    assert is_whole(await harness.fetch(make_patient_request()))


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target_s", TARGETS_S)
async def test_started_stream_that_may_move_is_kept_while_no_other_takes_it(
    autojump_clock, nursery, target_s, silence_s
):
    """Guards against a stream that is broken off because all other upstreams are full."""
    refusal = make_response("", status="503 Full", headers="x-not-executed: 1\r\n")
    harness = make_streams(nursery, target_s, is_resumable=True, max_attempts=2)
    await harness.start(lambda stream: send_events_around(stream, silence_s))
    stream = await harness.connect()
    await stream.send_all(make_patient_request())
    await trio.sleep(0.1)
    await harness.add_upstream(1, reply_with(refusal))
    assert is_whole(await read_all(stream))


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target_s", TARGETS_S)
async def test_stream_that_was_sent_is_kept_until_its_first_event(
    autojump_clock, nursery, target_s, silence_s
):
    """Guards against a failure in place of an answer that a sound upstream is working on."""

    async def begin_late(stream):
        await read_request(stream)
        await trio.sleep(silence_s)
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS)) + END)

    harness = make_streams(nursery, target_s)
    await harness.start(begin_late)
    assert is_whole(await harness.fetch(make_patient_request()))


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target_s", TARGETS_S)
async def test_stream_of_another_entry_is_kept_while_its_caller_waits(
    autojump_clock, nursery, target_s, silence_s
):
    """Guards against a stream that is broken off although its other entry would go on."""
    harness = make_streams(nursery, target_s)
    await harness.start()
    address = Address("10.0.2.0", 80)
    harness.other_entries.append(str(address))
    await harness.serve_script(address, lambda stream: send_events_around(stream, silence_s))
    harness.reachability._change(True)
    assert is_whole(await harness.fetch(make_patient_request()))


@pytest.mark.parametrize("target_s", TARGETS_S)
async def test_unsafe_request_is_kept_until_its_deadline(autojump_clock, nursery, target_s):
    """Guards against an answer that a lower target replaces by a failure."""

    async def answer_late(stream):
        await read_request(stream)
        await trio.sleep(SILENCES_S[-1])
        await stream.send_all(make_response("late"))

    harness = RelayHarness(nursery, RouteKind.UNSAFE, timeout_s=60.0, target_latency_s=target_s)
    await harness.start(answer_late)
    assert (await harness.fetch(make_patient_request())).endswith(b"late")


@pytest.mark.parametrize("sends", [*STALLS])
async def test_stalled_stream_ends_at_its_deadline(autojump_clock, nursery, sends):
    """Guards against a stalled stream that occupies a slot for longer than its caller waits."""
    ends = []
    harness = make_streams(nursery, 0.1)
    await harness.start(lambda stream: stall(stream, *STALLS[sends], ends))
    started = trio.current_time()
    data = await harness.fetch(make_patient_request())
    await trio.sleep(0.1)
    assert not data.endswith(END) and (EVENTS[0] in data) == (sends != "nothing")
    assert sends != "nothing" or data.startswith(b"HTTP/1.1 504 ")
    assert len(ends) == 1 and DEADLINE_S - 0.1 <= ends[0] - started <= DEADLINE_S
    assert harness.relay.requests == 0


@pytest.mark.parametrize("sends", [*STALLS])
async def test_stalled_stream_ends_as_soon_as_its_caller_leaves(autojump_clock, nursery, sends):
    """Guards against a stalled stream that occupies a slot after its caller has left."""
    ends = []
    harness = make_streams(nursery, 0.1)
    await harness.start(lambda stream: stall(stream, *STALLS[sends], ends))
    stream = await harness.connect()
    await stream.send_all(make_patient_request())
    await trio.sleep(5.0)
    left_at = trio.current_time()
    await stream.aclose()
    await trio.sleep(0.2)
    assert len(ends) == 1 and 0 <= ends[0] - left_at < 0.1
    assert harness.relay.requests == 0

"""Work of the watch for stalls while a stream goes on."""

import trio

from marigoldtrail.relay.stall_watch import StallWatch
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_request
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind

EVENT_COUNT = 200
INTERVAL_S = 0.02


async def test_events_of_a_steady_stream_are_not_timed_one_by_one(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a timer that is set again for each event of each stream."""
    calls = []
    next_check_at = StallWatch._next_check_at

    def count(watch):
        calls.append(trio.current_time())
        return next_check_at(watch)

    monkeypatch.setattr(StallWatch, "_next_check_at", count)

    async def send(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        for _ in range(EVENT_COUNT):
            await trio.sleep(INTERVAL_S)
            await stream.send_all(chunk(EVENTS[0]))
        await stream.send_all(b"0\r\n\r\n")

    harness = RelayHarness(
        nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=2, timeout_s=30.0
    )
    await harness.start(send)
    data = await harness.fetch(make_request(headers=["X-Deadline-Ms: 20000"]))
    assert data.count(EVENTS[0]) == EVENT_COUNT
    # A stall is looked for after 0.8 s without an event.
    assert len(calls) <= 4 + 2 * EVENT_COUNT * INTERVAL_S / 0.8

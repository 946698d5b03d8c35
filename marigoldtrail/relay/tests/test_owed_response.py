"""Responses that a host gives up for a cause of its own."""

import logging
from types import SimpleNamespace

import pytest
import trio

from marigoldtrail.relay.owed_response import GiveUpCause, OwedResponse
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_request
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind


@pytest.mark.parametrize("cause", GiveUpCause)
def test_request_without_a_part_of_its_response_may_be_given_up(cause):
    """Guards against a caller that waits although a failure can still be sent."""
    owed = OwedResponse(conn=SimpleNamespace(has_started=False))
    assert owed.give_up(cause) and owed.given_up_for is None


@pytest.mark.parametrize("cause", GiveUpCause)
def test_started_response_is_given_up_only_as_a_last_resort(cause):
    """Guards against a new reason to break off a response whose upstream goes on."""
    owed = OwedResponse(conn=SimpleNamespace(has_started=True))
    may_end = cause is GiveUpCause.MEMORY
    assert owed.give_up(cause) == may_end
    assert owed.given_up_for == (cause if may_end else None)


async def fetch_broken(nursery, caplog, script, **harness_fields):
    """Return the harness, and the line about the response that it broke off."""
    caplog.set_level(logging.INFO)
    harness = RelayHarness(nursery, RouteKind.STREAMING, timeout_s=60.0, **harness_fields)
    await harness.start(script)
    await harness.fetch(make_request())
    return harness, next(r for r in caplog.records if r.message == "response broken off")


@pytest.mark.parametrize(("stalls", "reason"), [(True, "deadline"), (False, "disconnected")])
async def test_broken_responses_of_upstreams_are_not_counted_as_given_up(
    autojump_clock, nursery, caplog, stalls, reason
):
    """Guards against a count of broken promises that includes the faults of upstreams."""

    async def begin(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        if stalls:
            await trio.sleep(60.0)

    harness, record = await fetch_broken(nursery, caplog, begin)
    assert (record.reason, record.given_up_for) == (reason, "")
    assert b"responses_given_up_total{" not in harness.metrics.render_text()


async def test_responses_given_up_by_the_host_are_told_from_those_of_broken_upstreams(
    autojump_clock, nursery, caplog
):
    """Guards against a broken promise that no counter tells from an upstream that broke off."""

    async def send_event_without_end(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        while True:
            await stream.send_all(chunk(b"x" * 65536))
            await trio.sleep(0.01)

    harness, record = await fetch_broken(nursery, caplog, send_event_without_end, memory_mb=1)
    assert record.given_up_for == "memory"
    text = harness.metrics.render_text()
    assert b'responses_given_up_total{cause="memory"} 1.0' in text

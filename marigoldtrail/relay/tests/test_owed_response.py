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
    may_end = cause in (GiveUpCause.MEMORY, GiveUpCause.SILENCE)
    assert owed.give_up(cause) == may_end
    assert owed.given_up_for == (cause if may_end else None)


@pytest.mark.parametrize(("stalls", "cause"), [(True, "silence"), (False, "")])
async def test_responses_given_up_by_the_host_are_told_from_those_of_broken_upstreams(
    autojump_clock, nursery, caplog, stalls, cause
):
    """Guards against a broken promise that no counter tells from an upstream that broke off."""
    caplog.set_level(logging.INFO)

    async def begin(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        if stalls:
            await trio.sleep(60.0)

    harness = RelayHarness(nursery, RouteKind.STREAMING, timeout_s=60.0)
    await harness.start(begin)
    await harness.fetch(make_request())
    record = next(r for r in caplog.records if r.message == "response broken off")
    assert record.given_up_for == cause
    text = harness.metrics.render_text()
    assert (b'responses_given_up_total{cause="silence"} 1.0' in text) == stalls

"""Requests with several stages that are held off."""

import trio

from marigoldtrail.quarantine import make_stage_part
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    reply_with,
)
from marigoldtrail.relay.tests.test_dispatch import Schedulers
from marigoldtrail.relay.tests.test_prompts import FINGERPRINT
from marigoldtrail.routing import RouteKind, StageSpec
from marigoldtrail.schema.generated.registry import PromptQuarantine


async def test_request_with_two_held_stages_gets_a_trial(autojump_clock, nursery):
    """Guards against a request that no trial can clear since two of its stages are held."""
    stages = tuple(StageSpec(service=name, result_bytes=1) for name in "pq")
    harness = RelayHarness(nursery, RouteKind.SAFE, max_attempts=2, stages=stages)
    harness.dispatcher._pieces = Schedulers()

    async def grant(part):
        return True

    harness.gate._request_trial = grant
    await harness.start(reply_with(make_response("ok")))
    parts = [make_stage_part(FINGERPRINT, number) for number in range(2)]
    held = [PromptQuarantine(part=part, parts=[part], trial_after_ms=5000) for part in parts]
    harness.fleet_state.prompts.apply([], held)
    await trio.sleep(6)
    data = await harness.fetch(make_request(method="POST", body=b"b", headers=("X-Pieces: 1,1",)))
    assert data.startswith(b"HTTP/1.1 200 ")

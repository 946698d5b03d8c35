"""Idempotent stages: retries, hedges, retry budget, current view, matching of answers."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer
from marigoldtrail.serving.tests.fakes import (
    CONNECT_REFUSED,
    answer_to,
    fail_after,
    manifest,
    open_harness,
    slow,
    stage,
)

RANK = {"p": [stage("rank", "rerank")]}
TWO = {"p": [stage("rank", "rerank"), stage("embed", "encode")]}


async def warm_up(harness, calls=40):
    for _ in range(calls):
        await harness.run()
    harness.upstreams.calls.clear()


@pytest.mark.parametrize("fault", [CONNECT_REFUSED, fail_after(), fail_after(0.0, Reason.TIMEOUT)])
async def test_a_failed_call_is_retried_at_another_upstream(autojump_clock, fault):
    # Guards against a request lost with its upstream (P1, P4).
    async with open_harness(manifest(RANK)) as harness:
        harness.upstreams.plans["rank-0"] = [fault] * 3
        harness.upstreams.plans["rank-1"] = [fault] * 3
        answer = await harness.run()
        assert isinstance(answer, Answer)
        assert answer.record.stages[0].upstream == "rank-2"


async def test_answers_to_other_calls_are_dropped(autojump_clock):
    # Guards against an answer that arrives late, twice or out of order on a connection (P1, P4).
    async with open_harness(manifest(RANK)) as harness:
        earlier = []

        async def remember(upstream, call):
            earlier.append(call)
            return answer_to(call, "first")

        async def replay(upstream, call):
            return answer_to(earlier[0], "first")

        for name in ("rank-0", "rank-1", "rank-2"):
            harness.upstreams.plans[name] = [remember]
        await harness.run(client_account="one")
        for name in ("rank-0", "rank-1", "rank-2"):
            harness.upstreams.plans[name] = [replay]
        refusal = await harness.run(client_account="two")
        assert (refusal.reason, refusal.run_state) == (Reason.BAD_ANSWER, RunState.MAY_HAVE_RUN)
        assert isinstance(await harness.run(client_account="two"), Answer)


async def test_a_hedge_answers_for_a_straggler_and_is_counted_once(autojump_clock):
    # Guards against both answers being used, and against a loser that keeps running.
    async with open_harness(manifest(RANK)) as harness:
        await warm_up(harness)
        for index in range(3):
            harness.upstreams.plans[f"rank-{index}"] = [slow(3.0, "slow")]
        harness.upstreams.plans["rank-1"] = []
        harness.upstreams.plans["rank-2"] = []
        while True:
            started = harness.timers.now()
            answer = await harness.run()
            if harness.timers.now() - started > 0.012:
                break
            harness.upstreams.calls.clear()
        assert answer.output == {"by": "rank"}
        assert harness.timers.now() - started < 0.1
        first, second = harness.upstreams.calls
        assert first[1].attempt_id != second[1].attempt_id
        assert answer.record.stages[0].attempt_id == second[1].attempt_id
        assert answer.record.stages[0].attempts == 2
        await trio.sleep(0.1)
        assert harness.upstreams.cancelled == [(first[0], first[1].attempt_id)]
        assert not any(harness.upstreams.running.values())
        (decision,) = harness.telemetry.decisions.find(request_id=answer.request_id)
        assert decision.kind == "hedge"


async def test_retries_stay_within_the_budget_in_an_outage(autojump_clock):
    # Guards against an outage that is made worse by retries.
    async with open_harness(manifest(RANK, replicas=6, capacity=1000)) as harness:
        await warm_up(harness, 100)
        for index in range(6):
            harness.upstreams.plans[f"rank-{index}"] = [fail_after() for _ in range(1000)]
        results = [await harness.run() for _ in range(300)]
        assert all(isinstance(item, Failure) for item in results)
        assert len(harness.upstreams.calls) <= 300 * 1.1 + 10


async def test_a_failing_upstream_is_ejected_and_probed_back(autojump_clock):
    # Guards against repeated calls to a failed upstream, and against one that is never used again.
    async with open_harness(manifest(RANK, replicas=4)) as harness:
        await warm_up(harness)
        harness.upstreams.plans["rank-0"] = [CONNECT_REFUSED] * 6
        for _ in range(40):
            assert isinstance(await harness.run(), Answer)
        assert harness.telemetry.decisions.find(subject="rank-0")[0].kind == "eject"
        await trio.sleep(60.0)
        harness.upstreams.plans["rank-0"].clear()
        for _ in range(80):
            await harness.run()
        assert "rank-0" in {name for name, _ in harness.upstreams.calls}


async def test_the_view_lapsing_between_stages_stops_the_request(autojump_clock):
    # Guards against an attempt without a current view (P9); no stage with side effects has run.
    async with open_harness(manifest(TWO)) as harness:

        async def lapse(upstream, call):
            harness.view.current = False
            return "ranked"

        for index in range(3):
            harness.upstreams.plans[f"rank-{index}"] = [lapse]
        refusal = await harness.run()
        assert (refusal.reason, refusal.run_state) == (
            Reason.VIEW_NOT_CURRENT,
            # The first stage has run.
            RunState.MAY_HAVE_RUN,
        )
        assert not harness.upstreams.executed("embed")


async def test_takeouts_between_stages_are_respected(autojump_clock):
    # Guards against new work in a data centre or on a host that is out or leaving (P3, P7).
    async with open_harness(manifest(TWO)) as harness:

        async def take_out(upstream, call):
            harness.view.out.add(("data_centre", "dc2"))
            harness.view.leaving.add("host-embed-0")
            return "ranked"

        for index in range(3):
            harness.upstreams.plans[f"rank-{index}"] = [take_out]
        answer = await harness.run()
        assert answer.record.stages[1].upstream == "embed-2"


@pytest.mark.parametrize("state", ["leaving", "down"])
async def test_leaving_and_down_upstreams_get_nothing(autojump_clock, state):
    # Guards against new work on an upstream that is leaving, even with no other (P7).
    async with open_harness(manifest(RANK)) as harness:
        for index in range(3):
            harness.view.set_state(f"rank-{index}", state)
        refusal = await harness.run()
        assert (refusal.reason, refusal.run_state) == (Reason.NO_UPSTREAM, RunState.NOT_RUN)
        assert not harness.upstreams.calls


async def test_cold_upstreams_are_called_only_with_a_slot(autojump_clock):
    # Guards against more work than an upstream in cold start can handle (P2).
    document = manifest(RANK, replicas=2)
    async with open_harness(document, slots={"rank-0": 1, "rank-1": 2}) as harness:
        harness.view.set_state("rank-0", "cold")
        del harness.view.statuses["rank-1"]
        results = []

        async def run_one():
            results.append(await harness.run())

        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(run_one)
        assert all(isinstance(item, Answer) for item in results)
        assert harness.upstreams.most_running["rank-0"] <= 1
        assert harness.upstreams.most_running["rank-1"] <= 2
        assert len(harness.slots.released) == 12
        assert not any(harness.slots.held.values())


async def test_evidence_of_a_cold_start_takes_effect_at_once(autojump_clock):
    # Guards against work without slots on an instance that was never known as warm (P2).
    async with open_harness(manifest(RANK, replicas=1), slots={"rank-0": 1}) as harness:

        async def restarted(upstream, call):
            return answer_to(call, "x", instance="rank-0#2", state="cold")

        harness.upstreams.plans["rank-0"] = [restarted]
        await harness.run()
        assert harness.slots.reports == [("rank-0", "rank-0#2", "cold")]
        await harness.run()
        assert harness.slots.released == [("rank-0", True)]
        harness.view.set_state("rank-0", "warm", instance="rank-0#2", changed_ms=9)
        await harness.run()
        assert len(harness.slots.released) == 1


async def test_the_call_ends_before_its_slot_expires(autojump_clock):
    # Guards against work that goes on after its slot was given to another entry (P2).
    async with open_harness(
        manifest(RANK, replicas=1), slots={"rank-0": 1}, service_s=30.0
    ) as harness:
        harness.view.set_state("rank-0", "cold")
        await harness.run(deadline_s=11.0)
        assert harness.timers.now() <= 11.0
        assert not any(harness.upstreams.running.values())


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(autojump_clock):
    # Guards against a refusal that is delayed until the deadline.
    async with open_harness(manifest(RANK), service_s=0.5) as harness:
        await warm_up(harness)
        started = harness.timers.now()
        refusal = await harness.run(deadline_s=0.3)
        assert refusal.run_state is RunState.NOT_RUN
        assert harness.timers.now() == started
        assert not harness.upstreams.calls

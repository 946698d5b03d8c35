"""Idempotent stages: retries, hedges, retry budget, current view, matching of answers."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer
from marigoldtrail.serving.tests.fakes import (
    REFUSED,
    answer_to,
    fail_after,
    manifest,
    open_world,
    slow,
    stage,
)

RANK = {"p": [stage("rank", "rerank")]}
TWO = {"p": [stage("rank", "rerank"), stage("embed", "encode")]}


async def warm_up(world, calls=40):
    for _ in range(calls):
        await world.run()
    world.upstreams.calls.clear()


@pytest.mark.parametrize("fault", [REFUSED, fail_after(), fail_after(0.0, Reason.TIMEOUT)])
async def test_a_failed_call_is_retried_at_another_upstream(autojump_clock, fault):
    # Guards against a request lost with its upstream (P1, P4).
    async with open_world(manifest(RANK)) as world:
        world.upstreams.plans["rank-0"] = [fault] * 3
        world.upstreams.plans["rank-1"] = [fault] * 3
        answer = await world.run()
        assert isinstance(answer, Answer)
        assert answer.record.stages[0].upstream == "rank-2"


async def test_answers_to_other_calls_are_dropped(autojump_clock):
    # Guards against an answer that arrives late, twice or out of order on a connection (P1, P4).
    async with open_world(manifest(RANK)) as world:
        earlier = []

        async def remember(upstream, call):
            earlier.append(call)
            return answer_to(call, "first")

        async def replay(upstream, call):
            return answer_to(earlier[0], "first")

        for name in ("rank-0", "rank-1", "rank-2"):
            world.upstreams.plans[name] = [remember]
        await world.run(client_account="one")
        for name in ("rank-0", "rank-1", "rank-2"):
            world.upstreams.plans[name] = [replay]
        refusal = await world.run(client_account="two")
        assert (refusal.reason, refusal.run_state) == (Reason.BAD_ANSWER, RunState.MAY_HAVE_RUN)
        assert isinstance(await world.run(client_account="two"), Answer)


async def test_a_hedge_answers_for_a_straggler_and_is_counted_once(autojump_clock):
    # Guards against both answers being used, and against a loser that keeps running.
    async with open_world(manifest(RANK)) as world:
        await warm_up(world)
        for index in range(3):
            world.upstreams.plans[f"rank-{index}"] = [slow(3.0, "slow")]
        world.upstreams.plans["rank-1"] = []
        world.upstreams.plans["rank-2"] = []
        while True:
            started = world.timers.now()
            answer = await world.run()
            if world.timers.now() - started > 0.012:
                break
            world.upstreams.calls.clear()
        assert answer.output == {"by": "rank"}
        assert world.timers.now() - started < 0.1
        first, second = world.upstreams.calls
        assert first[1].attempt_id != second[1].attempt_id
        assert answer.record.stages[0].attempt_id == second[1].attempt_id
        assert answer.record.stages[0].attempts == 2
        await trio.sleep(0.1)
        assert world.upstreams.cancelled == [(first[0], first[1].attempt_id)]
        assert not any(world.upstreams.running.values())
        (decision,) = world.telemetry.decisions.find(request_id=answer.request_id)
        assert decision.kind == "hedge"


async def test_retries_stay_within_the_budget_in_an_outage(autojump_clock):
    # Guards against an outage that is made worse by retries.
    async with open_world(manifest(RANK, replicas=6, capacity=1000)) as world:
        await warm_up(world, 100)
        for index in range(6):
            world.upstreams.plans[f"rank-{index}"] = [fail_after() for _ in range(1000)]
        results = [await world.run() for _ in range(300)]
        assert all(isinstance(item, Failure) for item in results)
        assert len(world.upstreams.calls) <= 300 * 1.1 + 10


async def test_a_failing_upstream_is_ejected_and_probed_back(autojump_clock):
    # Guards against repeated calls to a failed upstream, and against one that is never used again.
    async with open_world(manifest(RANK, replicas=4)) as world:
        await warm_up(world)
        world.upstreams.plans["rank-0"] = [REFUSED] * 6
        for _ in range(40):
            assert isinstance(await world.run(), Answer)
        assert world.telemetry.decisions.find(subject="rank-0")[0].kind == "eject"
        await trio.sleep(60.0)
        world.upstreams.plans["rank-0"].clear()
        for _ in range(80):
            await world.run()
        assert "rank-0" in {name for name, _ in world.upstreams.calls}


async def test_the_view_lapsing_between_stages_stops_the_request(autojump_clock):
    # Guards against an attempt without a current view (P9); no stage with side effects has run.
    async with open_world(manifest(TWO)) as world:

        async def lapse(upstream, call):
            world.view.current = False
            return "ranked"

        for index in range(3):
            world.upstreams.plans[f"rank-{index}"] = [lapse]
        refusal = await world.run()
        assert (refusal.reason, refusal.run_state) == (
            Reason.VIEW_NOT_CURRENT,
            # The first stage has run.
            RunState.MAY_HAVE_RUN,
        )
        assert not world.upstreams.executed("embed")


async def test_takeouts_between_stages_are_respected(autojump_clock):
    # Guards against new work in a data centre or on a host that is out or leaving (P3, P7).
    async with open_world(manifest(TWO)) as world:

        async def take_out(upstream, call):
            world.view.out.add(("data_centre", "dc2"))
            world.view.leaving.add("host-embed-0")
            return "ranked"

        for index in range(3):
            world.upstreams.plans[f"rank-{index}"] = [take_out]
        answer = await world.run()
        assert answer.record.stages[1].upstream == "embed-2"


@pytest.mark.parametrize("state", ["leaving", "down"])
async def test_leaving_and_down_upstreams_get_nothing(autojump_clock, state):
    # Guards against new work on an upstream that is leaving, even with no other (P7).
    async with open_world(manifest(RANK)) as world:
        for index in range(3):
            world.view.set_state(f"rank-{index}", state)
        refusal = await world.run()
        assert (refusal.reason, refusal.run_state) == (Reason.NO_UPSTREAM, RunState.NOT_RUN)
        assert not world.upstreams.calls


async def test_cold_upstreams_are_called_only_with_a_slot(autojump_clock):
    # Guards against more work than an upstream in cold start can handle (P2).
    document = manifest(RANK, replicas=2)
    async with open_world(document, slots={"rank-0": 1, "rank-1": 2}) as world:
        world.view.set_state("rank-0", "cold")
        del world.view.statuses["rank-1"]
        results = []

        async def run_one():
            results.append(await world.run())

        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(run_one)
        assert all(isinstance(item, Answer) for item in results)
        assert world.upstreams.most_running["rank-0"] <= 1
        assert world.upstreams.most_running["rank-1"] <= 2
        assert len(world.slots.released) == 12
        assert not any(world.slots.held.values())


async def test_evidence_of_a_cold_start_takes_effect_at_once(autojump_clock):
    # Guards against work without slots on an instance that was never known as warm (P2).
    async with open_world(manifest(RANK, replicas=1), slots={"rank-0": 1}) as world:

        async def restarted(upstream, call):
            return answer_to(call, "x", instance="rank-0#2", state="cold")

        world.upstreams.plans["rank-0"] = [restarted]
        await world.run()
        assert world.slots.reports == [("rank-0", "rank-0#2", "cold")]
        await world.run()
        assert world.slots.released == [("rank-0", True)]
        world.view.set_state("rank-0", "warm", instance="rank-0#2", changed_ms=9)
        await world.run()
        assert len(world.slots.released) == 1


async def test_the_call_ends_before_its_slot_expires(autojump_clock):
    # Guards against work that goes on after its slot was given to another entry (P2).
    async with open_world(manifest(RANK, replicas=1), slots={"rank-0": 1}, service_s=30.0) as world:
        world.view.set_state("rank-0", "cold")
        await world.run(deadline_s=11.0)
        assert world.timers.now() <= 11.0
        assert not any(world.upstreams.running.values())


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(autojump_clock):
    # Guards against a refusal that is delayed until the deadline.
    async with open_world(manifest(RANK), service_s=0.5) as world:
        await warm_up(world)
        started = world.timers.now()
        refusal = await world.run(deadline_s=0.3)
        assert refusal.run_state is RunState.NOT_RUN
        assert world.timers.now() == started
        assert not world.upstreams.calls

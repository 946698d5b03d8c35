"""Non-idempotent stages: at most one run (P6) and true run states (P5)."""

import random

import msgspec
import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer
from marigoldtrail.serving.tests.fakes import (
    CONNECT_REFUSED,
    answer_to,
    fail_after,
    failure,
    manifest,
    open_harness,
    slow,
    stage,
)

ORDER = {"p": [stage("order", idempotent=False)]}
ORDER_THEN_RANK = {"p": [stage("order", idempotent=False), stage("rank", "rerank")]}
LOST = failure(Reason.TIMEOUT, RunState.MAY_HAVE_RUN)


def claim_of(harness):
    ((_, claim),) = harness.control.claims.items()
    return claim


async def test_the_claim_is_held_before_the_call_and_settled_after(autojump_clock):
    # Guards against a call that is sent before its claim is durable.
    async with open_harness(manifest(ORDER)) as harness:
        seen = []

        async def plan(upstream, call):
            seen.append((claim_of(harness)["state"], claim_of(harness)["attempt_id"]))
            return "placed"

        for name in ("order-0", "order-1", "order-2"):
            harness.upstreams.plans[name].append(plan)
        answer = await harness.run()
        assert seen == [("pending", answer.record.stages[0].attempt_id)]
        assert claim_of(harness)["state"] == "done"


async def test_a_repeat_gets_the_recorded_outcome_and_causes_no_call(autojump_clock):
    # Guards against a duplicated order after a caller's retry through any entry.
    async with open_harness(manifest(ORDER)) as harness:
        for upstream in ("order-0", "order-1", "order-2"):
            harness.upstreams.plans[upstream].append(slow(0.01, "first run"))
        answers = [await harness.run(idempotency_key="k") for _ in range(3)]
        assert [item.output for item in answers] == ["first run"] * 3
        assert len(harness.upstreams.executed("order")) == 1


async def test_a_repeat_waits_for_a_pending_claim(autojump_clock):
    # Guards against a second call while the first one is still running.
    async with open_harness(manifest(ORDER), service_s=2.0) as harness:
        results = []

        async def run_one(deadline_s):
            results.append(await harness.run(idempotency_key="k", deadline_s=deadline_s))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_one, 8.0)
            await trio.sleep(0.1)
            nursery.start_soon(run_one, 8.0)
            nursery.start_soon(run_one, 1.0)
        short_deadline, *rest = results
        assert short_deadline.run_state is RunState.MAY_HAVE_RUN
        assert short_deadline.reason is Reason.CLAIM_PENDING
        assert all(isinstance(item, Answer) for item in rest) and len(rest) == 2
        assert len(harness.upstreams.executed("order")) == 1


async def test_connect_failures_try_other_upstreams_under_the_same_claim(autojump_clock):
    # Guards against a claim whose sweeper does not know every upstream that was tried.
    async with open_harness(manifest(ORDER)) as harness:
        harness.upstreams.plans["order-0"] = [CONNECT_REFUSED] * 5
        harness.upstreams.plans["order-1"] = [CONNECT_REFUSED] * 5
        answer = await harness.run()
        assert isinstance(answer, Answer)
        assert claim_of(harness)["upstreams"][-1] == "order-2"
        assert answer.record.stages[0].upstream == "order-2"
        ((_, call),) = harness.upstreams.calls
        assert call.attempt_id == claim_of(harness)["attempt_id"]


async def test_no_upstream_reached_is_not_run_and_frees_the_key(autojump_clock):
    # Guards against a key that stays blocked although nothing ran.
    async with open_harness(manifest(ORDER)) as harness:
        for index in range(3):
            harness.upstreams.plans[f"order-{index}"] = [CONNECT_REFUSED] * 3
        refusal = await harness.run(idempotency_key="k")
        assert (refusal.reason, refusal.run_state) == (Reason.UNREACHABLE, RunState.NOT_RUN)
        assert not harness.upstreams.calls
        await trio.sleep(0.1)
        assert claim_of(harness)["state"] == "free"
        harness.upstreams.plans.clear()
        assert isinstance(await harness.run(idempotency_key="k"), Answer)


async def _wrong_request(upstream, call):
    return answer_to(call, "other", request_id="00other")


async def _wrong_attempt(upstream, call):
    return answer_to(call, "other", attempt_id="earlier")


async def _wrong_account(upstream, call):
    return answer_to(call, "other", client_account="somebody")


async def _wrong_stage(upstream, call):
    return answer_to(call, "other", stage="other")


@pytest.mark.parametrize(
    "plan",
    [
        fail_after(),
        fail_after(reason=Reason.TIMEOUT),
        _wrong_request,
        _wrong_attempt,
        _wrong_account,
        _wrong_stage,
    ],
)
async def test_everything_after_the_first_byte_is_settled_may_have_run_at_once(
    autojump_clock, plan
):
    # Guards against a second order after an unclear first one, and answers to other calls (P1).
    async with open_harness(manifest(ORDER)) as harness:
        for index in range(3):
            harness.upstreams.plans[f"order-{index}"] = [plan]
        started = harness.timers.now()
        refusal = await harness.run(idempotency_key="k")
        assert refusal.run_state is RunState.MAY_HAVE_RUN
        assert harness.timers.now() - started < 0.1
        await trio.sleep(0.1)
        assert claim_of(harness)["state"] == "may_have_run"
        repeat = await harness.run(idempotency_key="k")
        assert repeat.reason is Reason.CLAIM_MAY_HAVE_RUN
        assert repeat.run_state is RunState.MAY_HAVE_RUN
        assert len(harness.upstreams.executed("order")) == 1


async def test_a_lost_reply_to_the_claim_causes_no_call_and_frees_the_key(autojump_clock):
    # Guards against a claim that no request holds and nothing frees.
    async with open_harness(manifest(ORDER)) as harness:
        harness.control.lost_replies["open"] = 1
        refusal = await harness.run(idempotency_key="k")
        # Whether an earlier request under the key has run is not known.
        assert (refusal.step, refusal.run_state) == ("claim.open", RunState.MAY_HAVE_RUN)
        assert not harness.upstreams.calls
        await trio.sleep(0.1)
        assert isinstance(await harness.run(idempotency_key="k"), Answer)
        assert len(harness.upstreams.executed("order")) == 1


async def test_a_settlement_that_fails_is_may_have_run_and_committed_later(autojump_clock):
    # Guards against an answer whose claim is lost, and against a settlement that is not retried.
    async with open_harness(manifest(ORDER)) as harness:
        harness.control.faults["settle"] = [LOST] * 4
        refusal = await harness.run(idempotency_key="k")
        assert (refusal.step, refusal.run_state) == ("claim.settle", RunState.MAY_HAVE_RUN)
        await trio.sleep(30.0)
        assert claim_of(harness)["state"] == "done"
        repeat = await harness.run(idempotency_key="k")
        assert repeat.output == {"by": "order"}
        assert len(harness.upstreams.executed("order")) == 1


async def test_a_record_that_fails_is_may_have_run(autojump_clock):
    # Guards against an end marker without a durable record.
    async with open_harness(manifest({"p": [stage("rank", "rerank")]})) as harness:
        harness.control.faults["record"] = [failure(Reason.DISK_FULL)]
        refusal = await harness.run()
        assert refusal.reason is Reason.RECORD_NOT_DURABLE
        assert refusal.run_state is RunState.MAY_HAVE_RUN


async def test_a_key_used_with_another_body_is_refused(autojump_clock):
    # Guards against the answer to one order being returned for another.
    async with open_harness(manifest(ORDER)) as harness:
        await harness.run(idempotency_key="k", digest="one")
        refusal = await harness.run(idempotency_key="k", digest="two")
        assert (refusal.reason, refusal.run_state) == (Reason.KEY_MISMATCH, RunState.NOT_RUN)


@pytest.mark.parametrize("step", ["open", "slot"])
@pytest.mark.parametrize("change", ["view", "upstreams", "leaving"])
async def test_changes_before_the_first_byte_stop_the_call(autojump_clock, change, step):
    # Guards against a call after the view lapsed or the upstream was taken out of service (P3).
    slots = {f"order-{index}": 1 for index in range(3)}
    async with open_harness(manifest(ORDER), slots=slots) as harness:

        def apply():
            if change == "view":
                harness.view.current = False
            for index in range(3):
                if change == "upstreams":
                    harness.view.out.add(("upstream", f"order-{index}"))
                elif change == "leaving":
                    harness.view.set_state(f"order-{index}", "leaving")

        if step == "open":
            harness.control.on_call = lambda name, request: apply() if name == "open" else None
        else:
            harness.slots.on_acquire = apply
            for index in range(3):
                harness.view.set_state(f"order-{index}", "cold")
        refusal = await harness.run()
        assert isinstance(refusal, Failure) and refusal.run_state is RunState.NOT_RUN
        assert not harness.upstreams.calls
        assert not any(harness.slots.held.values())
        await trio.sleep(0.1)
        assert claim_of(harness)["state"] == "free"


@pytest.mark.parametrize("change", ["view", "takeout", "dies", "deadline"])
async def test_failing_after_a_non_idempotent_stage_is_never_not_run(autojump_clock, change):
    # Guards against a caller that repeats an order because a later stage failed (P5, P6).
    async with open_harness(manifest(ORDER_THEN_RANK)) as harness:

        def apply(name, request):
            if name != "settle":
                return
            if change == "view":
                harness.view.current = False
            for index in range(3):
                if change == "takeout":
                    harness.view.out.add(("data_centre", "dc1"))
                    harness.view.out.add(("data_centre", "dc2"))
                elif change == "dies":
                    harness.upstreams.plans[f"rank-{index}"] = [CONNECT_REFUSED] * 9
                elif change == "deadline":
                    harness.upstreams.plans[f"rank-{index}"] = [slow(60.0)] * 9

        harness.control.on_call = apply
        refusal = await harness.run(deadline_s=2.0)
        assert isinstance(refusal, Failure) and refusal.run_state is RunState.MAY_HAVE_RUN


async def test_the_deadline_during_the_call_is_may_have_run_at_the_deadline(autojump_clock):
    # Guards against a caller left without a response, and against a false `not_run`.
    async with open_harness(manifest(ORDER), service_s=60.0) as harness:
        started = harness.timers.now()
        refusal = await harness.run(deadline_s=3.0)
        assert refusal.run_state is RunState.MAY_HAVE_RUN
        assert harness.timers.now() - started <= 3.0
        await trio.sleep(0.1)
        assert claim_of(harness)["state"] == "may_have_run"
        assert len(harness.upstreams.cancelled) == 1


@pytest.mark.parametrize("own_key", [True, False])
async def test_the_deadline_before_the_call_is_not_run_without_an_earlier_request(
    autojump_clock, own_key
):
    # Guards against a `not_run` for a key whose earlier request may have run (P5).
    async with open_harness(manifest(ORDER)) as harness:
        harness.control.delay_s = 60.0
        req = harness.request(deadline_s=1.0)
        if own_key:
            req = msgspec.structs.replace(req, idempotency_key=req.request_id)
        refusal = await harness.server.run_request(req, None)
        expected = RunState.NOT_RUN if own_key else RunState.MAY_HAVE_RUN
        assert refusal.run_state is expected
        assert not harness.upstreams.calls


@pytest.mark.parametrize("state", ["leaving", "cold"])
async def test_a_repeat_needs_no_upstream(autojump_clock, state):
    # Guards against a `not_run` for a key that has run, for lack of a slot or upstream (P5, P6).
    async with open_harness(manifest(ORDER)) as harness:
        await harness.run(idempotency_key="k")
        for index in range(3):
            harness.view.set_state(f"order-{index}", state)
        repeat = await harness.run(idempotency_key="k")
        assert repeat.output == {"by": "order"}
        refusal = await harness.run(idempotency_key="new", deadline_s=1.0)
        assert refusal.run_state is RunState.NOT_RUN
        assert len(harness.upstreams.executed("order")) == 1


async def test_a_claim_names_the_upstream_that_is_called(autojump_clock):
    # Guards against a sweeper that asks another upstream for the outcome.
    document = manifest(ORDER, replicas=2)
    async with open_harness(document, slots={"order-1": 1}) as harness:
        for index in range(2):
            harness.view.set_state(f"order-{index}", "cold")
        for _ in range(10):
            answer = await harness.run()
            claims = list(harness.control.claims.values())
            assert answer.record.stages[0].upstream == "order-1" == claims[-1]["upstreams"][-1]


@pytest.mark.parametrize("at_s", [0.0005, 0.0015, 0.005, 0.0115, 0.0125])
async def test_a_caller_that_leaves_leaves_no_claim_pending(autojump_clock, at_s):
    # Guards against claims that stay pending because their request was cancelled at any step.
    async with open_harness(manifest(ORDER)) as harness:
        with trio.move_on_after(at_s):
            await harness.run(idempotency_key="k")
        await trio.sleep(1.0)
        states = [claim["state"] for claim in harness.control.claims.values()]
        assert "pending" not in states
        executed = len(harness.upstreams.executed("order"))
        if states == ["free"]:
            assert executed == 0
        await harness.run(idempotency_key="k")
        assert len(harness.upstreams.executed("order")) == 1


async def test_random_faults_never_run_an_order_twice(autojump_clock):
    # Guards against combinations of faults that the single-fault tests miss (P5, P6).
    async with open_harness(manifest(ORDER_THEN_RANK), seed=11) as harness:
        rng = random.Random(11)
        results = []

        def inject(name, request):
            if rng.random() < 0.15:
                harness.control.faults[name].append(LOST)
            elif rng.random() < 0.15:
                harness.control.lost_replies[name] = 1

        harness.control.on_call = inject

        async def run_one(key):
            index = rng.randrange(3)
            plan = rng.choice([CONNECT_REFUSED, fail_after(), slow(0.5), slow(4.0), None])
            harness.upstreams.plans[f"order-{index}"] = [plan]
            if rng.random() < 0.2:
                harness.upstreams.plans["*"] = [CONNECT_REFUSED] * 3
            deadline_s = rng.choice([0.3, 1.0, 5.0])
            outcome = await harness.run(idempotency_key=key, deadline_s=deadline_s)
            results.append((key, outcome))
            if is_not_run(outcome):
                assert key not in [_key_of(harness, call) for _, call in harness.upstreams.calls]

        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(run_one, f"k{number // 3}")
                await trio.sleep(rng.random() * 0.2)
        calls = harness.upstreams.executed("order")
        ran = [_key_of(harness, call) for call in calls]
        assert None not in ran
        assert len(ran) == len(set(ran)) > 30
        answered = [key for key, item in results if isinstance(item, Answer)]
        refused = [key for key, item in results if is_not_run(item)]
        assert set(answered) <= set(ran) and len(refused) > 5


def is_not_run(item):
    return isinstance(item, Failure) and item.run_state is RunState.NOT_RUN


def _key_of(harness, call):
    return (
        next(
            key
            for (_, key, _), claim in harness.control.claims.items()
            if claim.get("attempt_id") == call.attempt_id or call.attempt_id in claim["freed"]
        )
        if call.stage == "order"
        else None
    )

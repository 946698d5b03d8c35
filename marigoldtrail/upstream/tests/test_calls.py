"""Calls to services: binding to instances, lost and wrong answers, run states."""

import trio

from marigoldtrail.errors import Reason, RunState, is_failure
from marigoldtrail.upstream.tests.helpers import ADDRESS, effect_rig, pool_rig


def check(failure, reason, run_state):
    assert is_failure(failure), failure
    assert (failure.reason, failure.run_state) == (reason, run_state), failure
    assert failure.step and failure.peer


async def test_call_returns_the_answer_of_its_own_request(autojump_clock, nursery):
    rig = await effect_rig().start(nursery)
    answer = await rig.call("a1")
    assert (answer.request_id, answer.attempt_id, answer.client_account) == ("00r1", "a1", "acme")
    assert answer.output == {"receipt": "ledger-1-1"}
    assert (answer.instance, answer.state) == (rig.process.instance, "warm")
    assert rig.standin.runs_by_attempt == {"a1": 1}


async def test_refused_connection_is_not_run(autojump_clock, nursery):
    """Guards against `may_have_run` for a call that cannot have left, and missing evidence."""
    rig = effect_rig()
    check(await rig.call(), Reason.UNREACHABLE, RunState.NOT_RUN)
    assert rig.evidence == [("ledger-1", "", "down", "connection refused")]


async def test_connect_through_a_silent_partition_is_not_run(autojump_clock, nursery):
    """Guards against a call that hangs in its connect until the deadline."""
    rig = await effect_rig().start(nursery)
    rig.memory.cut("10.0.0.1", ADDRESS.ip)
    started = trio.current_time()
    check(await rig.call(timeout_s=8), Reason.UNREACHABLE, RunState.NOT_RUN)
    assert trio.current_time() - started < 2


async def test_lost_answer_may_have_run_and_is_not_sent_again(autojump_clock, nursery):
    """Guards against a second effect when a reused connection dies during the call."""
    rig = await effect_rig().start(nursery)
    await rig.call("a1")
    rig.standin.fault_switches.lose_answers = 1
    check(await rig.call("a2"), Reason.UNREACHABLE, RunState.MAY_HAVE_RUN)
    assert rig.standin.runs_by_attempt == {"a1": 1, "a2": 1}
    assert sum(rig.standin.effects_by_key.values()) == 2


async def test_reset_during_a_call_may_have_run(autojump_clock, nursery):
    """Guards against a false `not_run` when the process dies in the middle of the call."""
    rig = await effect_rig(work_s=1.0).start(nursery)

    async def kill():
        await trio.sleep(0.5)
        rig.memory.reset_host(ADDRESS.ip)

    nursery.start_soon(kill)
    check(await rig.call("a1"), Reason.UNREACHABLE, RunState.MAY_HAVE_RUN)
    await trio.sleep(5)
    assert rig.standin.runs_by_attempt == {"a1": 1}


async def test_timeout_after_the_call_was_sent_may_have_run(autojump_clock, nursery):
    """Guards against a late answer of a timed-out call reaching the next call."""
    rig = await effect_rig().start(nursery)
    rig.standin.fault_switches.delay_s = 2.0
    check(await rig.call("a1", timeout_s=1), Reason.TIMEOUT, RunState.MAY_HAVE_RUN)
    rig.standin.fault_switches.delay_s = 0.0
    assert (await rig.call("a2")).attempt_id == "a2"
    await trio.sleep(5)
    assert (await rig.call("a3")).attempt_id == "a3"
    assert set(rig.standin.runs_by_attempt.values()) == {1}


async def test_idle_connection_closed_by_the_peer_is_replaced(autojump_clock, nursery):
    """Guards against writing a call to a closed or half-closed connection."""
    for fault_switch in ("close_idle", "half_close_idle"):
        async with trio.open_nursery() as inner:
            rig = await effect_rig().start(inner)
            setattr(rig.standin.fault_switches, fault_switch, True)
            for attempt_id in ("a1", "a2", "a3"):
                assert (await rig.call(attempt_id)).attempt_id == attempt_id
                await trio.sleep(0.5)
            assert rig.standin.runs_by_attempt == {"a1": 1, "a2": 1, "a3": 1}
            assert rig.evidence == []
            inner.cancel_scope.cancel()


async def test_wrong_answer_is_refused(autojump_clock, nursery):
    """Guards against giving the answer of another request to a caller."""
    rig = await effect_rig().start(nursery)
    rig.standin.fault_switches.swap_answers = 1
    check(await rig.call("a1"), Reason.BAD_ANSWER, RunState.MAY_HAVE_RUN)
    assert (await rig.call("a2")).attempt_id == "a2"


async def test_second_answer_does_not_reach_the_next_call(autojump_clock, nursery):
    """Guards against bytes left on a connection being read as the next call's answer."""
    rig = await effect_rig().start(nursery)
    for number, fault_switch in enumerate(("double_answers", "repeat_answers")):
        setattr(rig.standin.fault_switches, fault_switch, 1)
        for attempt_id in (f"{number}-first", f"{number}-second"):
            assert (await rig.call(attempt_id)).attempt_id == attempt_id
            await trio.sleep(0.1)
    assert set(rig.standin.runs_by_attempt.values()) == {1}


async def test_cancelled_call_closes_its_connection(autojump_clock, nursery):
    """Guards against the late answer of a cancelled call reaching another account's call."""
    rig = await effect_rig(work_s=1.0).start(nursery)
    with trio.move_on_after(0.5):
        await rig.call("a1")
    assert (await rig.call("a2")).attempt_id == "a2"


async def test_restarted_instance_gets_no_work_without_a_slot(autojump_clock, nursery):
    """Guards against work on a new process that is mistaken for the old, warm one."""
    rig = await effect_rig().start(nursery)
    await rig.call("a1")
    old = rig.process.instance
    rig.process.restart()
    await trio.sleep(0.1)
    refusal = await rig.call("a2")
    check(refusal, Reason.NO_SLOT, RunState.NOT_RUN)
    assert refusal.hint == rig.process.instance
    assert rig.evidence[0][:3] == ("ledger-1", rig.process.instance, "cold")
    check(await rig.call("a3"), Reason.NO_SLOT, RunState.NOT_RUN)
    check(await rig.call("a4", slot=rig.grant(old)), Reason.NO_SLOT, RunState.NOT_RUN)
    answer = await rig.call("a5", slot=rig.grant(rig.process.instance))
    assert answer.instance == rig.process.instance
    assert rig.standin.runs_by_attempt == {"a1": 1, "a5": 1}
    rig.view.set(rig.process, "warm", changed_ms=2)
    assert (await rig.call("a6")).attempt_id == "a6"


async def test_cold_header_stops_work_on_this_node(autojump_clock, nursery):
    """Guards against more work on an upstream that turned cold within its process."""
    rig = await pool_rig().start(nursery)
    await rig.call("a1")
    rig.process.turn_cold()
    assert (await rig.call("a2")).state == "cold"
    assert [evidence[2] for evidence in rig.evidence] == ["cold"]
    assert rig.client.needs_slot(rig.upstream)
    check(await rig.call("a3"), Reason.NO_SLOT, RunState.NOT_RUN)
    assert sum(rig.standin.runs.values()) == 2


async def test_evidence_is_repeated_until_the_view_changes(autojump_clock, nursery):
    """Guards against one lost report after which the owner still treats the upstream as warm."""
    rig = await pool_rig().start(nursery)
    rig.process.turn_cold()
    await rig.call("a1")
    await rig.call("a2")
    await trio.sleep(1.5)
    await rig.call("a3")
    assert len(rig.evidence) == 2


async def test_new_connection_after_abnormal_close_is_cold_evidence(autojump_clock, nursery):
    """Guards against an undetected restart of an upstream without load reports."""
    rig = await effect_rig(reports_load=False).start(nursery)
    await rig.call("a1")
    rig.memory.reset_host(ADDRESS.ip)
    check(await rig.call("a2"), Reason.NO_SLOT, RunState.NOT_RUN)
    assert rig.evidence[0][:3] == ("ledger-1", "", "cold")
    outcome = await rig.client.query_outcome(rig.upstream, "/outcome", "a1")
    assert outcome.state == "done" and outcome.output == {"receipt": "ledger-1-1"}
    check(await rig.call("a3"), Reason.NO_SLOT, RunState.NOT_RUN)
    assert (await rig.call("a4", slot=rig.grant(""))).attempt_id == "a4"
    rig.view.set(rig.process, "warm", changed_ms=2)
    assert (await rig.call("a5")).attempt_id == "a5"


async def test_new_connection_after_a_broken_call_is_cold_evidence(autojump_clock, nursery):
    """Guards against more work on an upstream without load reports that failed during a call."""
    rig = await effect_rig(reports_load=False).start(nursery)
    rig.standin.fault_switches.lose_answers = 1
    check(await rig.call("a1"), Reason.UNREACHABLE, RunState.MAY_HAVE_RUN)
    check(await rig.call("a2"), Reason.NO_SLOT, RunState.NOT_RUN)
    assert [evidence[2] for evidence in rig.evidence] == ["cold"]
    assert rig.standin.runs_by_attempt == {"a1": 1}


async def test_own_idle_close_is_no_evidence(autojump_clock, nursery):
    """Guards against slots being required after every idle period."""
    rig = await effect_rig(reports_load=False).start(nursery)
    await rig.call("a1")
    await trio.sleep(60)
    assert (await rig.call("a2")).attempt_id == "a2"
    assert rig.evidence == []


async def test_restart_while_no_connection_is_open_is_detected_by_the_answer(
    autojump_clock, nursery
):
    """Guards against a restart that goes unnoticed because the connection had been idle."""
    rig = await effect_rig(reports_load=False).start(nursery)
    rig.view.set(rig.process, instance="")
    await rig.call("a1")
    await trio.sleep(60)
    await rig.client.aclose()
    rig.process.restart(warm_next=True)
    await trio.sleep(1)
    assert (await rig.call("a2")).instance == rig.process.instance
    assert [evidence[:3] for evidence in rig.evidence] == [
        ("ledger-1", rig.process.instance, "cold")
    ]
    check(await rig.call("a3"), Reason.NO_SLOT, RunState.NOT_RUN)
    assert (await rig.call("a4", slot=rig.grant(""))).attempt_id == "a4"
    assert len(rig.evidence) == 1


async def test_states_that_take_no_work(autojump_clock, nursery):
    """Guards against new work on an upstream that is leaving, down, cold or unknown."""
    rig = await effect_rig().start(nursery)
    for state, reason in (("leaving", Reason.NO_UPSTREAM), ("down", Reason.NO_UPSTREAM)):
        rig.view.set(rig.process, state)
        slot = rig.grant(rig.process.instance)
        check(await rig.call(slot=slot), reason, RunState.NOT_RUN)
    for state in ("cold", "warming"):
        rig.view.set(rig.process, state)
        check(await rig.call(), Reason.NO_SLOT, RunState.NOT_RUN)
    rig.view.statuses.clear()
    check(await rig.call(), Reason.NO_SLOT, RunState.NOT_RUN)
    assert rig.standin.runs_by_attempt == {}

"""Calls over loopback TCP sockets; only outcomes are checked."""

from functools import partial

import trio

from marigoldtrail.errors import Reason, RunState
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.standins import run_standin
from marigoldtrail.upstream import UpstreamClient
from marigoldtrail.upstream.tests.helpers import effect_rig

LOOPBACK = Address("127.0.0.1", 0)


async def start(nursery, rig, **options):
    """Move a rig from the in-memory network to TCP."""
    network = TcpNetwork()
    address = await nursery.start(
        partial(run_standin, rig.standin, network=network, address=LOOPBACK)
    )
    rig.upstream.address = str(address)
    rig.client = UpstreamClient(
        network=network,
        timers=rig.timers,
        view=rig.view,
        telemetry=rig.client._telemetry,
        on_evidence=lambda *evidence: rig.evidence.append(evidence),
    )
    return rig


async def test_reused_connection_closed_during_a_call_may_have_run(nursery):
    """Guards against a second effect when TCP breaks in the middle of a call."""
    rig = await start(nursery, effect_rig())
    await rig.call("a1")
    rig.standin.fault_switches.lose_answers = 1
    failure = await rig.call("a2")
    assert (failure.reason, failure.run_state) == (Reason.UNREACHABLE, RunState.MAY_HAVE_RUN)
    assert (await rig.call("a3")).attempt_id == "a3"
    assert rig.standin.runs_by_attempt == {"a1": 1, "a2": 1, "a3": 1}


async def test_closed_and_half_closed_idle_connections_are_not_written_to(nursery):
    """Guards against an idle check that works on the in-memory network only."""
    for fault_switch in ("close_idle", "half_close_idle"):
        rig = await start(nursery, effect_rig())
        setattr(rig.standin.fault_switches, fault_switch, True)
        for attempt_id in ("a1", "a2", "a3"):
            assert (await rig.call(attempt_id)).attempt_id == attempt_id
            await trio.sleep(0.01)
        assert rig.standin.runs_by_attempt == {"a1": 1, "a2": 1, "a3": 1}


async def test_refused_and_restarted_over_tcp(nursery):
    """Guards against a refused connect that is not recognised inside trio's error."""
    rig = await start(nursery, effect_rig())
    await rig.call("a1")
    rig.process.kill()
    await trio.sleep(0.01)
    failure = await rig.call("a2")
    assert (failure.run_state, failure.detail) == (RunState.NOT_RUN, "refused")
    assert rig.evidence == [("ledger-1", "", "down", "connection refused")]
    rig.process.start_next_instance()
    rig.view.set(rig.process, "warm", changed_ms=2, instance="old")
    with trio.fail_after(10):
        while (failure := await rig.call("a3")).reason is Reason.UNREACHABLE:
            await trio.sleep(0.01)
            rig.view.set(rig.process, "warm", changed_ms=rig.timers.wall_ms(), instance="old")
    assert (failure.reason, failure.run_state) == (Reason.NO_SLOT, RunState.NOT_RUN)
    assert rig.standin.runs_by_attempt == {"a1": 1}

"""Distribution of the configuration to nodes under network partitions and leader changes."""

import trio

from marigoldtrail.control import HostList, PlatformHost
from marigoldtrail.control.tests.harness import Fleet, manifest
from marigoldtrail.errors import Reason, RunState, is_failure
from marigoldtrail.schema.generated.control import (
    GetDecisions,
    GetManifest,
    ManifestReply,
    SubmitManifest,
    SubmitReply,
    Sync,
    SyncReply,
    UpstreamObservation,
)


async def start_fleet(nursery, **options):
    fleet = Fleet(nursery, **options)
    await fleet.start()
    await trio.sleep(3.5)
    return fleet


async def record_manifest_numbers(fleet, seen):
    while True:
        for host, node in fleet.nodes.items():
            if node.view.is_current():
                seen.setdefault(host, []).append(node.view.number)
        await trio.sleep(0.1)


async def test_concurrent_submissions_have_one_winner(autojump_clock, nursery):
    """Guards against accepting the same manifest number from two operators."""
    fleet = await start_fleet(nursery, entries=2)
    replies = {}

    async def submit(host, operator, priority):
        document = manifest(5, client_accounts=[{"name": operator, "weight": priority}])
        replies[operator] = await fleet.submit(host, document, operator)

    async with trio.open_nursery() as operators:
        operators.start_soon(submit, "e1", "ann", 1)
        operators.start_soon(submit, "e2", "ben", 2)
    outcomes = {operator: reply.outcome for operator, reply in replies.items()}
    assert sorted(outcomes.values()) == ["accepted", "conflict"]
    (winner,) = [operator for operator, outcome in outcomes.items() if outcome == "accepted"]
    assert {reply.winner_operator for reply in replies.values()} == {winner}
    await trio.sleep(2)
    for node in fleet.nodes.values():
        assert node.view.manifest.client_accounts[0].name == winner


async def test_invalid_manifest_changes_nothing(autojump_clock, nursery):
    """Guards against an invalid manifest that is partly applied."""
    fleet = await start_fleet(nursery, entries=1)
    await fleet.submit("e1", manifest(1))
    reply = await fleet.submit("e1", manifest(2, models=[]))
    assert reply.outcome == "invalid" and len(reply.faults) == 5
    assert reply.faults[0].startswith("manifest: $.pipelines[0].stages[0].model: ")
    await trio.sleep(2)
    assert fleet["e1"].view.number == 1 and fleet["e1"].view.manifest.models


async def test_resent_submission_after_lost_reply(autojump_clock, nursery):
    """Guards against a resend that returns `conflict` or is applied a second time."""
    fleet = await start_fleet(nursery, entries=1)
    await fleet.submit("e1", manifest(1))
    fleet.network.cut(fleet.ips[fleet.leader], fleet.ips["e1"], both_ways=False)
    with trio.move_on_after(2):
        await fleet.submit("e1", manifest(2))
    index = fleet.machine.state.manifest_index
    assert fleet.machine.state.manifest.number == 2
    fleet.network.restore(fleet.ips[fleet.leader], fleet.ips["e1"])
    reply = await fleet.submit("e1", manifest(2))
    assert (reply.outcome, reply.winner_operator) == ("repeated", "eve")
    assert fleet.machine.state.manifest_index == index


async def test_no_node_reverts_over_restarts_and_leader_changes(autojump_clock, nursery):
    """Guards against a current view of an older manifest after a restart or an election."""
    fleet = await start_fleet(nursery, entries=2)
    seen = {}
    nursery.start_soon(record_manifest_numbers, fleet, seen)
    for number in (1, 2, 3):
        assert (await fleet.submit("e1", manifest(number))).outcome == "accepted"
        await fleet.move_leader()
        for host in ("e2", fleet.followers()[0]):
            await fleet[host].stop()
            await trio.sleep(0.3)
            await fleet[host].start(nursery)
        await trio.sleep(4)
    for numbers in seen.values():
        assert numbers == sorted(numbers) and numbers[-1] == 3
    assert (await fleet.submit("e1", manifest(1))).outcome == "repeated"
    assert (await fleet["e1"].client.get_manifest()).number == 3


async def test_view_of_isolated_node_lapses_and_is_updated_on_return(autojump_clock, nursery):
    """Guards against a node that keeps using an old view during a network partition."""
    for both_ways in (True, False):
        async with trio.open_nursery() as inner:
            fleet = await start_fleet(inner, entries=2)
            await fleet.submit("e1", manifest(1))
            await trio.sleep(2)
            fleet.isolate("e2", both_ways=both_ways)
            assert fleet["e2"].view.is_current()
            await trio.sleep(1)
            await fleet.submit("e1", manifest(2))
            await fleet.set_service("e1", "nbo-2", "out", 1)
            await trio.sleep(4)
            assert not fleet["e2"].view.is_current()
            assert fleet["e1"].view.is_current() and fleet["e1"].view.number == 2
            await trio.sleep(60)
            fleet.rejoin("e2")
            await trio.sleep(6)
            view = fleet["e2"].view
            assert (
                view.is_current()
                and view.number == 2
                and view.is_out_of_service("data_centre", "nbo-2")
            )
            assert {node.host: node.state for node in view.nodes}["e2"] == "live"
            inner.cancel_scope.cancel()


async def test_takeout_is_known_or_the_view_has_lapsed(autojump_clock, nursery):
    """Guards against one of nine nodes that starts work in a data centre 5 s after its takeout."""
    fleet = await start_fleet(nursery, controls=3, entries=6)
    await fleet.submit("e1", manifest(1))
    await trio.sleep(2)
    fleet.isolate("e6")
    fleet.network.cut(fleet.ips["e5"], fleet.ips[fleet.leader])
    stopped = fleet.followers()[0]
    await fleet[stopped].stop()
    assert (await fleet.set_service("e1", "nbo-2", "out", 1)).outcome == "accepted"
    await trio.sleep(5)
    for host, node in fleet.nodes.items():
        assert (
            node.view.is_out_of_service("data_centre", "nbo-2") or not node.view.is_current()
        ), host
    for host in fleet.nodes:
        assert fleet[host].view.is_current() or host in ("e5", "e6", stopped), host


async def test_stale_leader_confirms_nothing(autojump_clock, nursery):
    """Guards against an isolated old leader that confirms Syncs and accepts submissions."""
    fleet = await start_fleet(nursery, entries=2)
    await fleet.submit("e1", manifest(1))
    await trio.sleep(2)
    old = fleet.leader
    for other in fleet.followers():
        fleet.network.cut(fleet.ips[old], fleet.ips[other])
    before = fleet["e1"].view.current_until()
    submission = SubmitManifest(document=manifest(9), operator="eve")
    requests = [
        (make_sync("e1"), SyncReply),
        (GetManifest(), ManifestReply),
        (submission, SubmitReply),
    ]
    reasons = set()
    while fleet[old].group.is_leader:
        for request, reply_type in requests:
            reply = await fleet["e1"].client.call_host(old, request, reply_type, timeout_s=0.7)
            assert is_failure(reply)
            reasons.add(reply.reason)
    assert Reason.NOT_LEADER in reasons
    await trio.sleep(3)
    assert (await fleet.submit("e1", manifest(2))).outcome == "accepted"
    await trio.sleep(2)
    assert fleet["e1"].view.number == 2 and fleet["e1"].view.current_until() > before
    assert fleet[old].machine.state.manifest.number == 1


def make_sync(host):
    return Sync(
        host=host,
        data_centre="nbo-1",
        incarnation=99,
        roles=["entry"],
        peer_address="10.0.0.9:1",
        api_address="",
    )


async def wait_until_reassigned(fleet, owner):
    await fleet.wait(
        lambda: all(found.host != owner for found in fleet.machine.state.owners.values())
    )


async def test_owner_moves_only_after_its_lease(autojump_clock, nursery):
    """Guards against reassigning partitions while the old slot owner's view is current."""
    fleet = await start_fleet(nursery)
    await fleet.submit("c1", manifest(1))
    owners = {owner.host for owner in fleet.machine.state.owners.values()}
    assert owners == {"c1", "c2", "c3"}
    owner = fleet.followers()[0]
    fleet.isolate(owner)
    await wait_until_reassigned(fleet, owner)
    assert 0 <= trio.current_time() - fleet[owner].view.current_until() < 2
    fleet.rejoin(owner)
    await trio.sleep(6)
    for partition in range(64):
        here = fleet[owner].view.owner_of_partition(partition)
        assert here == fleet[fleet.leader].view.owner_of_partition(partition)


async def test_new_leader_waits_for_an_owner_that_it_has_not_seen(autojump_clock, nursery):
    """Guards against a new leader that reassigns partitions of an owner whose view is current."""
    fleet = await start_fleet(nursery)
    owner = fleet.followers()[0]
    fleet.isolate(owner)
    await fleet.move_leader()
    elected_at = trio.current_time()
    await wait_until_reassigned(fleet, owner)
    assert 5 < trio.current_time() - elected_at < 6.5
    assert not fleet[owner].view.is_current()


class SlowGroup:
    """Log group whose commits wait for an event."""

    def __init__(self, group):
        self.group = group
        self.gate = trio.Event()

    def __getattr__(self, name):
        return getattr(self.group, name)

    async def propose(self, command, *, timeout_s):
        await self.gate.wait()
        return await self.group.propose(command, timeout_s=timeout_s)


async def test_displaced_owner_is_not_confirmed_while_the_change_is_open(autojump_clock, nursery):
    """Guards against renewing an owner's view between plan and commit of its displacement."""
    fleet = await start_fleet(nursery)
    owner = fleet.followers()[0]
    service = fleet[fleet.leader].service
    service._group = SlowGroup(service._group)
    fleet.isolate(owner)
    await trio.sleep(6.5)
    lapsed_at = fleet[owner].view.current_until()
    fleet.rejoin(owner)
    await trio.sleep(4)
    assert fleet[owner].view.current_until() == lapsed_at
    service._group.gate.set()
    await trio.sleep(3)
    view = fleet[owner].view
    assert view.is_current()
    assert all(view.owner_of_partition(partition).host != owner for partition in range(64))


async def test_upstream_states_survive_a_new_leader(autojump_clock, nursery):
    """Guards against a change of leader that resets upstream states on the nodes."""
    fleet = await start_fleet(nursery, entries=1)
    await fleet.submit("e1", manifest(1))
    await trio.sleep(2)
    view = fleet["e1"].view
    for upstream in view.manifest.upstreams:
        owner = fleet[view.owner_of(upstream.name).host]
        owner.observed = owner.observed + [
            UpstreamObservation(
                upstream=upstream.name, instance="i1", state="warm", load=9, sampled_ms=1
            )
        ]
        # Observations of hosts that do not own the upstream must be ignored.
        other = next(node for node in fleet.nodes.values() if node is not owner)
        other.observed = other.observed + [
            UpstreamObservation(upstream=upstream.name, instance="i1", state="down", sampled_ms=2)
        ]
    await trio.sleep(2)
    term = view.term
    await fleet.move_leader()
    for _ in range(60):
        await trio.sleep(0.1)
        states = {view.upstream_status(item.name).state for item in view.manifest.upstreams}
        assert states == {"warm"} and view.load_of("llm-3") == 9
        assert {node.state for node in view.nodes} == {"live"} and len(view.nodes) == 4
    assert view.term > term


async def test_status_and_decisions(autojump_clock, nursery):
    """Guards against status or decisions that are missing or incomplete for operators."""
    fleet = await start_fleet(nursery, entries=1)
    fleet["e1"].loop.announce_draining()
    await trio.sleep(0.1)
    status = await fleet["e1"].client.get_status()
    assert {node.host: node.state for node in status.nodes}["e1"] == "draining"
    assert status.leader == fleet.leader and len(status.owners) == 64
    found = await fleet["e1"].client.get_decisions(fleet.leader, GetDecisions(subject="e1"))
    assert found.decisions[-1].reason == "live to draining"
    await trio.sleep(2)
    nodes = {node.host: node.state for node in fleet[fleet.followers()[0]].view.nodes}
    assert nodes == {"c1": "live", "c2": "live", "c3": "live", "e1": "draining"}
    reply = await fleet.set_service("e1", "", "out", 1)
    assert reply.outcome == "invalid"
    missing = await fleet["e1"].client.get_manifest()
    assert missing.reason is Reason.NOT_FOUND and missing.run_state is RunState.NOT_RUN


async def test_stale_platform_list_is_recorded_and_ignored(autojump_clock, nursery):
    """Guards against a dead node that counts as live because the platform still lists it."""
    listing = HostList(version=1, hosts=[PlatformHost(host="e2", state="live")])

    async def read_hosts():
        return listing

    fleet = await start_fleet(nursery, entries=2, read_hosts=read_hosts)
    await fleet["e2"].stop()
    await trio.sleep(20)
    assert {node.host: node.state for node in fleet["e1"].view.nodes}["e2"] == "dead"
    found = await fleet["e1"].client.get_decisions(fleet.leader, GetDecisions(subject="e2"))
    (noted,) = [item for item in found.decisions if item.kind == "platform"]
    assert noted.inputs == {"listed": "live", "own": "suspect"}

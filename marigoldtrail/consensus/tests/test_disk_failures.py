"""Tests of groups whose hosts' disks fail for some time."""

from functools import partial

import trio

from marigoldtrail.consensus import applying
from marigoldtrail.consensus.state import stop_group
from marigoldtrail.consensus.tests.cluster import Cluster, others_of
from marigoldtrail.errors import Reason, RunState, is_failure

FAILURE_S = 3.0
# Operators wait this long for an acknowledgement.
ACK_S = 4.0


async def fail_syncs_in_turn(cluster):
    """Let the syncs of one host after another fail, while commands are proposed."""
    for name in cluster.names:
        cluster.disks[name].fail_syncs = True
        with trio.move_on_after(FAILURE_S):
            while True:
                for other in cluster.names:
                    await cluster.group(other).propose(b"during", timeout_s=1)
                await trio.sleep(0.05)
        cluster.disks[name].fail_syncs = False


async def test_group_accepts_commands_after_the_syncs_of_each_host_failed_in_turn(
    autojump_clock, nursery
):
    """Guards against hosts that stay out of their group after their disks are well again."""
    cluster = Cluster(nursery)
    await cluster.start_all()
    await cluster.propose(b"before")
    await fail_syncs_in_turn(cluster)
    await cluster.propose(b"after")
    await cluster.wait_until(
        lambda: all({b"before", b"after"} <= set(m.effects) for m in cluster.machines.values())
    )


async def test_entry_whose_sync_failed_is_written_again_before_it_is_acknowledged(
    autojump_clock, nursery
):
    """Guards against acknowledged entries that exist in the page cache only."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    kept, crashed = others_of(cluster, leader)
    await cluster.crash(crashed)
    cluster.disks[kept].fail_syncs = True
    nursery.start_soon(partial(cluster.group(leader).propose, b"x", timeout_s=1))
    await trio.sleep(1)
    assert cluster.group(kept).stop_failure is not None
    cluster.disks[kept].fail_syncs = False
    await cluster.wait_until(lambda: b"x" in cluster.machines[leader].effects)
    await cluster.crash(kept, torn=False)
    await cluster.replace(leader)
    await cluster.start(kept)
    await cluster.start(crashed)
    await cluster.wait_for_leader()
    await cluster.wait_until(lambda: b"x" in cluster.machines[crashed].effects)


async def test_host_whose_disk_refuses_the_first_write_takes_part_later(autojump_clock, nursery):
    """Guards against a host that stays out of its group after a start with a full disk."""
    cluster = Cluster(nursery)
    cluster.disks["a"].capacity_bytes = 0
    for name in cluster.names:
        await cluster.start(name)
    assert cluster.group("a").stop_failure is not None
    assert cluster.group("a").describe().members == []
    cluster.disks["a"].capacity_bytes = None
    await trio.sleep(3)
    assert await cluster.init() is None
    await cluster.propose(b"x")
    await cluster.wait_until(lambda: b"x" in cluster.machines["a"].effects)


async def test_host_that_restarts_with_a_full_disk_takes_part_later(autojump_clock, nursery):
    """Guards against a host that ends or stays out because it cannot make its log durable."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    await cluster.propose(b"before")
    name = others_of(cluster, leader)[0]
    await cluster.crash(name)
    cluster.disks[name].capacity_bytes = 0
    await cluster.start(name)
    await cluster.propose(b"meanwhile")
    assert cluster.group(name).stop_failure is not None
    cluster.disks[name].capacity_bytes = None
    await cluster.wait_until(lambda: b"meanwhile" in cluster.machines[name].effects)


async def test_wrong_content_on_disk_stops_the_group_for_good(autojump_clock, nursery):
    """Guards against a host that goes on with a log that conflicts with committed entries."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    state = cluster.group(leader)._state
    stop_group(state, state.make_failure(Reason.CORRUPT, RunState.NOT_RUN, "log.truncate"))
    await trio.sleep(30)
    assert cluster.group(leader).stop_failure is not None


def fill(disk):
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values())


async def test_leader_with_a_full_disk_hands_over_to_a_host_with_room(autojump_clock, nursery):
    """Guards against commands that are refused although other hosts have room for them."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    fill(cluster.disks[leader])
    await cluster.propose(b"x", timeout_s=ACK_S)
    assert not cluster.group(leader).is_leader


async def test_leader_whose_followers_cannot_lead_leads_on(autojump_clock, nursery):
    """Guards against a group without a leader after two disks are full at once."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    for name in (leader, others_of(cluster, leader)[0]):
        fill(cluster.disks[name])
    refused = await cluster.group(leader).propose(b"x", timeout_s=1)
    assert refused.reason is Reason.DISK_FULL and refused.run_state is RunState.NOT_RUN
    await trio.sleep(5)
    for disk in cluster.disks.values():
        disk.capacity_bytes = None
    await cluster.propose(b"x", timeout_s=ACK_S)


async def test_each_command_is_accepted_in_time_while_disks_are_full_in_turn(
    autojump_clock, nursery
):
    """Guards against changes that wait for a full disk although a quorum has room."""
    cluster = Cluster(nursery)
    await cluster.start_all()
    for number, name in enumerate(cluster.names * 2):
        fill(cluster.disks[name])
        with trio.move_on_after(FAILURE_S + ACK_S):
            for step in range(100):
                await cluster.propose(b"%d-%d" % (number, step), timeout_s=ACK_S)
                await trio.sleep(0.5)
        cluster.disks[name].capacity_bytes = None
        await trio.sleep(1)
    await cluster.propose(b"last", timeout_s=ACK_S)
    await cluster.wait_until(lambda: all(b"last" in m.effects for m in cluster.machines.values()))


async def test_stop_and_return_of_a_group_are_logged(autojump_clock, nursery, caplog):
    """Guards against a host that is out of its group without an operator who can see it."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    cluster.disks[follower].fail_syncs = True
    await cluster.propose(b"x")
    await cluster.wait_until(lambda: cluster.group(follower).stop_failure is not None)
    cluster.disks[follower].fail_syncs = False
    await cluster.wait_until(lambda: b"x" in cluster.machines[follower].effects)
    fill(cluster.disks[follower])
    await cluster.propose(b"y")
    await cluster.wait_until(lambda: not cluster.group(follower).has_room)
    cluster.disks[follower].capacity_bytes = None
    await cluster.wait_until(lambda: cluster.group(follower).has_room)
    lines = [r.getMessage() for r in caplog.records if r.levelname in ("WARNING", "ERROR")]
    parts = ["out of the group", "in the group again", "is full", "has room again"]
    assert [part for line in lines for part in parts if part in line] == parts


async def test_message_during_a_late_first_opening_is_refused(autojump_clock, nursery):
    """Guards against a handler that uses the log of a group before it is open."""
    cluster = Cluster(nursery)
    cluster.disks["a"].capacity_bytes = 0
    for name in cluster.names:
        await cluster.start(name)
    cluster.disks["a"].capacity_bytes = None
    cluster.disks["a"].sync_delay_s = 20
    await trio.sleep(5)
    assert is_failure(await cluster.init())
    cluster.disks["a"].sync_delay_s = 0.001
    await trio.sleep(60)
    assert await cluster.init() is None
    await cluster.propose(b"x")


async def test_stopped_group_begins_no_snapshot(autojump_clock, nursery, monkeypatch):
    """Guards against a snapshot that replaces files while a group opens them again."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 1)
    cluster = Cluster(nursery)
    state = cluster.group(await cluster.start_all())._state
    state.log.snapshot_index = 0
    stop_group(state, state.make_failure(Reason.DISK_ERROR, RunState.NOT_RUN, "disk.sync"))
    applying.start_snapshot(state)
    assert not state.is_writing_snapshot

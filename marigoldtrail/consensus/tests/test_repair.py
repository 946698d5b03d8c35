"""Test disk faults, catch-up and host replacement in a log group."""

import pytest
import trio

from marigoldtrail.consensus import applying
from marigoldtrail.consensus.tests.cluster import GROUP, Cluster, Register, others_of
from marigoldtrail.errors import Reason, RunState, is_failure


def segments(cluster, name):
    return sorted(n for n in cluster.disks[name].files if n.startswith(f"{GROUP}/log/"))


def voter_ids(cluster, name):
    return {m.host: m.storage_id for m in cluster.group(name)._state.log.voters}


async def propose_many(cluster, count, prefix=b"c"):
    """Propose commands in one burst through the leader."""
    leader = await cluster.wait_for_leader()
    results = []

    async def propose(number):
        command = b"%s%d" % (prefix, number)
        results.append(await cluster.group(leader).propose(command, timeout_s=20))

    async with trio.open_nursery() as proposers:
        for number in range(count):
            proposers.start_soon(propose, number)
    assert not any(is_failure(result) for result in results)
    return leader


async def test_torn_tail_is_cut_and_fetched_again(autojump_clock, nursery):
    """Guards against a host that does not start, or loses its vote, after a torn write."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    storage_id = cluster.storage_ids[follower]
    await cluster.propose(b"x")
    await cluster.crash(follower)
    file = cluster.disks[follower].files[segments(cluster, follower)[-1]]
    file.data += b"\x00\x00\x00\x10torn"
    await cluster.propose(b"y")
    await cluster.start(follower)
    assert cluster.storage_ids[follower] == storage_id
    await cluster.wait_until(lambda: set(cluster.machines[follower].effects) == {b"x", b"y"})


async def test_corruption_inside_the_log_discards_the_vote(autojump_clock, nursery):
    """Guards against a vote cast with a log from which acknowledged entries are missing."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower, other = others_of(cluster, leader)
    for command in (b"x", b"y", b"z"):
        await cluster.propose(command)
    old_id = cluster.storage_ids[follower]
    await cluster.crash(follower)
    cluster.disks[follower].flip_bit(segments(cluster, follower)[0], 150)
    cluster.isolate(follower)
    await cluster.start(follower)
    assert cluster.storage_ids[follower] != old_id
    assert cluster.group_sets[follower].describe()[0].learners == [follower]
    # With one of the other two hosts down, the corrupt log must not complete a quorum.
    await cluster.crash(other)
    cluster.heal()
    cluster.isolate(other)
    await trio.sleep(10)
    assert not any(cluster.group(name).is_leader for name in (leader, follower))
    await cluster.start(other)
    cluster.heal()
    await cluster.wait_until(
        lambda: voter_ids(cluster, follower).get(follower) == cluster.storage_ids[follower]
    )
    await cluster.wait_until(lambda: set(cluster.machines[follower].effects) == {b"x", b"y", b"z"})


@pytest.mark.parametrize("victim", ["vote", "snapshot"])
async def test_corrupt_vote_or_snapshot_discards_the_vote(
    autojump_clock, nursery, victim, monkeypatch
):
    """Guards against a second vote in a term whose vote was lost, and against a wrong state."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 10)
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    await propose_many(cluster, 30)
    await cluster.wait_until(lambda: len(cluster.machines[follower].effects) == 30)
    await trio.sleep(1)
    old_id = cluster.storage_ids[follower]
    await cluster.crash(follower)
    name = next(n for n in cluster.disks[follower].files if n.startswith(f"{GROUP}/{victim}"))
    cluster.disks[follower].flip_bit(name, 9)
    await cluster.start(follower)
    assert cluster.storage_ids[follower] != old_id
    await cluster.wait_until(
        lambda: voter_ids(cluster, follower).get(follower) == cluster.storage_ids[follower]
    )
    assert len(cluster.machines[follower].effects) == 30


async def test_failed_fsync_stops_the_group_on_that_host(autojump_clock, nursery):
    """Guards against an acknowledgement for entries that the disk may have dropped."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    cluster.disks[leader].fail_syncs = True
    failure = await cluster.group(leader).propose(b"x", timeout_s=5)
    assert is_failure(failure) and failure.run_state is RunState.MAY_HAVE_RUN
    assert cluster.group(leader).stop_failure.reason is Reason.DISK_ERROR
    again = await cluster.group(leader).propose(b"x", timeout_s=5)
    assert again.reason is Reason.DISK_ERROR and again.run_state is RunState.NOT_RUN
    assert is_failure(await cluster.group(leader).read_barrier(timeout_s=1))
    others = others_of(cluster, leader)
    new = await cluster.wait_for_leader(among=others)
    await cluster.group(new).propose(b"y", timeout_s=2)
    assert cluster.group(leader).stop_failure is not None and not cluster.group(leader).is_leader


async def test_slow_disks_do_not_depose_the_leader(autojump_clock, nursery):
    """Guards against an election, and failed proposals, because an fsync takes seconds."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    term = cluster.group(leader).term
    for name in others_of(cluster, leader):
        cluster.disks[name].sync_delay_s = 4.0
    assert not is_failure(await cluster.group(leader).propose(b"x", timeout_s=20))
    assert await cluster.group(leader).read_barrier(timeout_s=1) is None
    assert cluster.group(leader).term == term


async def test_election_succeeds_on_slow_disks(autojump_clock, nursery):
    """Guards against a group that elects no leader because writing a vote takes long."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    for disk in cluster.disks.values():
        disk.sync_delay_s = 0.7
    await cluster.crash(leader)
    await cluster.wait_for_leader(timeout_s=15)


async def test_full_disk_refuses_and_loses_nothing(autojump_clock, nursery):
    """Guards against a full disk that loses commands or stops the group, and a false `not_run`."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    await cluster.propose(b"before")
    disk = cluster.disks[leader]
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + 40
    failure = await cluster.group(leader).propose(b"r" * 100, timeout_s=5)
    assert failure.reason is Reason.DISK_FULL and failure.run_state is RunState.NOT_RUN
    assert await cluster.group(leader).read_barrier(timeout_s=1) is None
    disk.capacity_bytes = None
    await cluster.propose(b"after", timeout_s=5)
    await cluster.wait_until(lambda: all(len(m.effects) == 2 for m in cluster.machines.values()))
    assert all(set(m.effects) == {b"before", b"after"} for m in cluster.machines.values())


async def test_follower_with_a_full_disk_catches_up_later(autojump_clock, nursery):
    """Guards against a full follower that blocks the group or acknowledges missing entries."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    disk = cluster.disks[follower]
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values())
    await propose_many(cluster, 5)
    await trio.sleep(2)
    assert cluster.group(leader).is_leader
    assert cluster.machines[follower].effects == {}
    disk.capacity_bytes = None
    await cluster.wait_until(lambda: len(cluster.machines[follower].effects) == 5)


async def test_catch_up_over_thousands_of_changes(autojump_clock, nursery, monkeypatch):
    """Guards against a restarted host that never catches up, and against oversized messages."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 500)
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    await propose_many(cluster, 100)
    await cluster.crash(follower)
    for burst in range(5):
        await propose_many(cluster, 1000, prefix=b"%d-" % burst + b"x" * 200)
        await trio.sleep(1)
    state = cluster.group(leader)._state
    assert state.log.base_index > 3000 and state.log.snapshot_index > 4500
    await cluster.start(follower)
    machine = cluster.machines[follower]
    await cluster.wait_until(lambda: len(machine.effects) == 5100)
    assert machine.restored >= 1
    assert machine.effects == cluster.machines[leader].effects
    indexes = [index for index, _ in machine.applied]
    assert indexes == sorted(set(indexes))


async def test_replaced_host_counts_only_after_repair(autojump_clock, nursery):
    """Guards against an empty host whose vote or acknowledgement counts towards a quorum."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    replaced, other = others_of(cluster, leader)
    old_ids = dict(cluster.storage_ids)
    await cluster.propose(b"x")
    await cluster.crash(other)
    await cluster.replace(replaced)
    failure = await cluster.group(leader).propose(b"y", timeout_s=3)
    assert is_failure(failure) and failure.run_state is RunState.MAY_HAVE_RUN
    await trio.sleep(10)
    assert not cluster.group(leader).is_leader and not cluster.group(replaced).is_leader
    await cluster.start(other)
    await cluster.wait_until(
        lambda: voter_ids(cluster, other).get(replaced) == cluster.storage_ids[replaced]
    )
    assert cluster.storage_ids[replaced] != old_ids[replaced]
    status = cluster.group_sets[await cluster.wait_for_leader()].describe()[0]
    assert status.members == cluster.names and status.learners == []


async def test_second_host_lost_right_after_the_repair(autojump_clock, nursery):
    """Guards against a repaired host that lacks acknowledged commands."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    replaced, other = others_of(cluster, leader)
    await propose_many(cluster, 200)
    await cluster.replace(replaced)
    await cluster.wait_until(
        lambda: voter_ids(cluster, leader).get(replaced) == cluster.storage_ids[replaced]
    )
    await cluster.crash(leader)
    cluster.disks[leader].files.clear()
    new = await cluster.wait_for_leader(among=[replaced, other])
    assert len(cluster.machines[new].effects) == 200
    await cluster.group(new).propose(b"more", timeout_s=2)
    await cluster.start(leader)
    await cluster.wait_until(lambda: len(cluster.machines[leader].effects) == 201)
    await cluster.wait_until(
        lambda: voter_ids(cluster, leader).get(leader) == cluster.storage_ids[leader]
    )


async def test_two_of_five_hosts_are_replaced_one_at_a_time(autojump_clock, nursery):
    """Guards against two voters missing at the same time during repairs."""
    cluster = Cluster(nursery, size=5)
    leader = await cluster.start_all()
    await propose_many(cluster, 50)
    first, second = others_of(cluster, leader)[:2]
    await cluster.replace(first)
    await cluster.replace(second)
    state = cluster.group(leader)._state
    sizes = set()
    async for _ in cluster.subscribe_ticks(0.01):
        sizes.add(len(state.log.voters))
        if all(
            voter_ids(cluster, leader).get(n) == cluster.storage_ids[n] for n in (first, second)
        ):
            break
    assert min(sizes) == 4
    await cluster.wait_until(lambda: all(len(m.effects) == 50 for m in cluster.machines.values()))


async def test_interrupted_init_is_completed(autojump_clock, nursery):
    """Guards against a fleet that stays half initialised after `init` was interrupted."""
    cluster = Cluster(nursery)
    for name in cluster.names:
        await cluster.start(name)
    cluster.network.cut("10.0.1.1", cluster.addresses["c"].ip)
    assert is_failure(await cluster.init())
    cluster.network.restore("10.0.1.1", cluster.addresses["c"].ip)
    assert await cluster.init() is None
    await cluster.wait_for_leader()


async def test_majority_of_empty_hosts_never_forms_a_quorum(autojump_clock, nursery):
    """Guards against hosts that lost their logs and form a quorum with an empty state."""
    cluster = Cluster(nursery)
    kept = await cluster.start_all()
    await cluster.propose(b"x")
    for name in others_of(cluster, kept):
        await cluster.replace(name)
    assert is_failure(await cluster.init())
    await trio.sleep(60)
    assert not any(cluster.group(name).is_leader for name in cluster.names)
    assert all(cluster.group_sets[n].describe()[0].learners for n in others_of(cluster, kept))


async def test_large_commands_reach_a_host_that_missed_them(autojump_clock, nursery):
    """Guards against a message with several large commands that exceeds the frame limit."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower = others_of(cluster, leader)[0]
    await cluster.crash(follower)
    for number in range(4):
        await cluster.propose(bytes([number]) * (4 * 1024 * 1024))
    refused = await cluster.group(leader).propose(bytes(4 * 1024 * 1024 + 1), timeout_s=5)
    assert refused.reason is Reason.BAD_REQUEST and refused.run_state is RunState.NOT_RUN
    await cluster.start(follower)
    await cluster.wait_until(lambda: len(cluster.machines[follower].effects) == 4)


class RaisingRegister(Register):
    def apply(self, index, command):
        if command == b"poison":
            raise ValueError("cannot apply")
        return super().apply(index, command)


async def test_command_that_raises_does_not_stop_the_group(autojump_clock, nursery):
    """Guards against one command that ends the process of every host, again at each restart."""
    cluster = Cluster(nursery, make_machine=lambda host: RaisingRegister())
    leader = await cluster.start_all()
    failure = await cluster.group(leader).propose(b"poison", timeout_s=2)
    assert is_failure(failure) and failure.reason is Reason.INTERNAL
    await cluster.propose(b"next")
    await cluster.wait_until(
        lambda: all(set(m.effects) == {b"next"} for m in cluster.machines.values())
    )


async def test_host_that_still_fetches_files_does_not_become_a_voter(autojump_clock, nursery):
    """Guards against a vote of a replaced host that has the log but lacks the machine's files."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    replaced, _ = others_of(cluster, leader)
    old_ids = dict(cluster.storage_ids)
    await cluster.propose(b"x")
    await cluster.replace(replaced)
    cluster.machines[replaced].has_all_files = False
    await cluster.wait_until(lambda: b"x" in cluster.machines[replaced].effects)
    await trio.sleep(10)
    voters = cluster.group(leader).describe()
    assert old_ids[replaced] in voters.storage_ids
    cluster.machines[replaced].has_all_files = True
    await cluster.wait_until(
        lambda: old_ids[replaced] not in cluster.group(leader).describe().storage_ids
        and len(cluster.group(leader).describe().members) == 3
    )

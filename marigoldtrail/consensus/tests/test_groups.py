"""Test elections, commits and reads of a log group."""

import trio

from marigoldtrail.consensus.tests.cluster import ADMIN_IP, GROUP, Cluster
from marigoldtrail.errors import Reason, RunState, is_failure
from marigoldtrail.net import PeerClient
from marigoldtrail.schema.generated.consensus import AppendEntries, AppendReply, LogEntry


async def call(cluster, host, request, reply_type):
    """Send one message to a host from a client outside the group."""
    async with trio.open_nursery() as nursery:
        network = cluster.network.endpoint(ADMIN_IP)
        client = PeerClient(network=network, host="admin", nursery=nursery)
        reply = await client.call(cluster.addresses[host], request, reply_type, timeout_s=5)
        nursery.cancel_scope.cancel()
    return reply


async def test_group_elects_commits_and_reads(autojump_clock, nursery):
    """Guards against a fleet that does not serve after `init`."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    index = await cluster.group(leader).propose(b"x", timeout_s=2)
    assert await cluster.group(leader).read_barrier(timeout_s=2) is None
    assert cluster.machines[leader].effects == {b"x": index}
    await cluster.wait_until(
        lambda: all(m.effects == {b"x": index} for m in cluster.machines.values())
    )
    follower = next(name for name in cluster.names if name != leader)
    refused = await cluster.group(follower).propose(b"y", timeout_s=2)
    assert refused.reason is Reason.NOT_LEADER and refused.run_state is RunState.NOT_RUN
    assert refused.hint == leader
    assert is_failure(await cluster.group(follower).read_barrier(timeout_s=2))
    status = cluster.group_sets[follower].describe()[0]
    assert (status.group, status.leader, status.members, status.learners) == (
        GROUP,
        leader,
        cluster.names,
        [],
    )


async def test_single_host_group_serves(autojump_clock, nursery):
    """Guards against a quorum of one that waits for other hosts."""
    cluster = Cluster(nursery, size=1)
    await cluster.start_all()
    assert await cluster.group("a").propose(b"x", timeout_s=1) == 3
    assert await cluster.group("a").read_barrier(timeout_s=1) is None


async def test_init_runs_once(autojump_clock, nursery):
    """Guards against a second `init` that gives (part of) a fleet in use a new member list."""
    cluster = Cluster(nursery)
    await cluster.start_all()
    await cluster.propose(b"x")
    assert await cluster.init() is None
    await cluster.crash("a")
    cluster.disks["a"].files.clear()
    await cluster.start("a")
    failure = await cluster.init()
    assert is_failure(failure) and failure.reason is Reason.KEY_MISMATCH
    assert cluster.group("a")._state.log.last_index == 0


async def test_isolated_leader_serves_no_read_and_steps_down(autojump_clock, nursery):
    """Guards against stale reads, lost commits and a second leader during a silent partition."""
    cluster = Cluster(nursery)
    old = await cluster.start_all()
    await cluster.propose(b"before")
    cluster.isolate(old)
    pending = []

    async def propose_isolated():
        pending.append(await cluster.group(old).propose(b"isolated", timeout_s=5))

    nursery.start_soon(propose_isolated)
    failure = await cluster.group(old).read_barrier(timeout_s=3)
    assert is_failure(failure) and failure.run_state is RunState.NOT_RUN
    await trio.sleep(1.3)
    assert not cluster.group(old).is_leader and cluster.group(old).leader is None
    assert pending[0].reason is Reason.UNKNOWN_OUTCOME
    assert pending[0].run_state is RunState.MAY_HAVE_RUN
    others = [name for name in cluster.names if name != old]
    new = await cluster.wait_for_leader(among=others, timeout_s=6)
    await cluster.group(new).propose(b"after", timeout_s=2)
    cluster.heal()
    await cluster.wait_until(lambda: b"after" in cluster.machines[old].effects)
    assert b"isolated" not in cluster.machines[old].effects


async def test_isolated_follower_does_not_depose_the_leader(autojump_clock, nursery):
    """Guards against a reconnected follower that raises the term or deposes the leader."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    term = cluster.group(leader).term
    follower = next(name for name in cluster.names if name != leader)
    cluster.isolate(follower)
    await trio.sleep(30)
    assert cluster.group(follower).term == term
    cluster.heal()
    await trio.sleep(10)
    assert cluster.group(leader).is_leader and cluster.group(leader).term == term
    assert cluster.group(follower).leader == leader


async def test_one_way_partition_keeps_or_replaces_the_leader(autojump_clock, nursery):
    """Guards against a leader that receives no replies but whose heartbeats prevent an election."""
    cluster = Cluster(nursery)
    old = await cluster.start_all()
    for other in cluster.names:
        if other != old:
            source, target = cluster.addresses[other].ip, cluster.addresses[old].ip
            cluster.network.cut(source, target, both_ways=False)
    await trio.sleep(1.5)
    assert not cluster.group(old).is_leader
    await cluster.wait_for_leader(among=[name for name in cluster.names if name != old])


async def test_concurrent_readers_share_one_round(autojump_clock, nursery):
    """Guards against a separate round of messages for each read."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    state = cluster.group(leader)._state
    before = state.read_round
    results = []

    async def read():
        results.append(await cluster.group(leader).read_barrier(timeout_s=1))

    async with trio.open_nursery() as readers:
        for _ in range(200):
            readers.start_soon(read)
    assert results == [None] * 200
    assert state.read_round - before <= 2


async def test_stale_leader_is_refused(autojump_clock, nursery):
    """Guards against entries of an old term, or for another storage id, that are appended."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    await cluster.propose(b"x")
    follower = next(name for name in cluster.names if name != leader)
    state = cluster.group(follower)._state
    entry = LogEntry(term=1, kind=1, payload=b"stale")
    stale = AppendEntries(
        group=GROUP,
        term=state.term - 1,
        leader="old",
        target_id=state.storage_id,
        prev_index=state.log.last_index,
        prev_term=state.log.last_term,
        entries=[entry],
        commit_index=state.log.last_index + 1,
    )
    last = state.log.last_index
    reply = await call(cluster, follower, stale, AppendReply)
    assert not reply.accepted and reply.term == state.term
    stale.term, stale.target_id = state.term, "0123456789abcdef"
    reply = await call(cluster, follower, stale, AppendReply)
    assert not reply.accepted and reply.storage_id == state.storage_id
    await trio.sleep(1)
    assert state.log.last_index == last and state.leader == leader


async def test_restart_keeps_vote_and_log(autojump_clock, nursery):
    """Guards against a second vote in one term, or lost entries, after a restart of all hosts."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    indexes = {command: await cluster.propose(command) for command in (b"x", b"y")}
    votes = {name: cluster.group(name)._state.store.vote for name in cluster.names}
    assert sum(v.voted_for == cluster.storage_ids[leader] for v in votes.values()) >= 2
    for name in cluster.names:
        await cluster.crash(name)
    for name in cluster.names:
        await cluster.start(name)
        assert cluster.group(name)._state.store.vote == votes[name]
    new = await cluster.wait_for_leader()
    assert cluster.machines[new].effects == indexes
    assert [command for _, command in cluster.machines[new].applied] == [b"x", b"y"]


async def test_retry_has_one_effect(autojump_clock, nursery):
    """Guards against a second effect of a command that is retried after the leader was lost."""
    cluster = Cluster(nursery)
    old = await cluster.start_all()
    first = await cluster.group(old).propose(b"deposit", timeout_s=2)
    await cluster.crash(old)
    assert await cluster.propose(b"deposit") == first
    await cluster.start(old)
    await cluster.wait_until(lambda: len(cluster.machines[old].applied) == 2)
    assert all(machine.effects == {b"deposit": first} for machine in cluster.machines.values())


async def test_leadership_is_transferred_at_a_graceful_stop(autojump_clock, nursery):
    """Guards against waiting for an election time-out, or a lost command, at a graceful stop."""
    cluster = Cluster(nursery)
    old = await cluster.start_all()
    results = []

    async def propose(number):
        results.append(await cluster.group(old).propose(b"%d" % number, timeout_s=5))

    async with trio.open_nursery() as proposers:
        for number in range(50):
            proposers.start_soon(propose, number)
        await trio.lowlevel.checkpoint()
        started = trio.current_time()
        assert await cluster.group_sets[old].transfer_leadership(timeout_s=3)
    assert not any(is_failure(result) for result in results)
    others = [name for name in cluster.names if name != old]
    await cluster.wait_for_leader(among=others)
    assert trio.current_time() - started < 1.0
    assert len(cluster.machines[old].effects) == 50


async def test_leader_tasks_follow_the_leadership(autojump_clock, nursery):
    """Guards against a task that runs on two hosts, or on none, after a change of leader."""
    cluster = Cluster(nursery)
    running = []

    async def lead(name, term):
        running.append(name)
        try:
            await trio.sleep_forever()
        finally:
            running.remove(name)

    for name in cluster.names:
        await cluster.start(name)
        nursery.start_soon(
            cluster.group(name).run_while_leader, lambda term, name=name: lead(name, term)
        )
    await cluster.init()
    old = await cluster.wait_for_leader()
    await trio.sleep(0.1)
    assert running == [old]
    cluster.isolate(old)
    new = await cluster.wait_for_leader(among=[name for name in cluster.names if name != old])
    await trio.sleep(0.1)
    assert running == [new]


async def test_conflicting_entries_of_an_old_leader_are_replaced(autojump_clock, nursery):
    """Guards against uncommitted entries of an old leader that survive in its log."""
    cluster = Cluster(nursery)
    old = await cluster.start_all()
    cluster.isolate(old)
    for number in range(20):
        nursery.start_soon(propose_ignoring_result, cluster.group(old), b"lost %d" % number)
    await trio.sleep(0.1)
    assert cluster.group(old)._state.log.last_index >= 20
    new = await cluster.wait_for_leader(among=[name for name in cluster.names if name != old])
    for number in range(5):
        await cluster.group(new).propose(b"kept %d" % number, timeout_s=2)
    cluster.heal()
    await cluster.wait_until(lambda: len(cluster.machines[old].effects) == 5)
    assert cluster.machines[old].effects == cluster.machines[new].effects
    state, other = cluster.group(old)._state, cluster.group(new)._state
    assert [state.log.term_at(i) for i in range(2, state.log.last_index + 1)] == [
        other.log.term_at(i) for i in range(2, state.log.last_index + 1)
    ]


async def propose_ignoring_result(group, command):
    await group.propose(command, timeout_s=3)

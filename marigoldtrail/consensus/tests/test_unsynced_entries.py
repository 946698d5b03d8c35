"""Test that entries which only the page cache holds count towards no quorum."""

import pytest
import trio
import trio.testing

from marigoldtrail.consensus.tests.cluster import Cluster, others_of


async def kill(cluster, name):
    """End the process of a host; what it has written stays in the page cache."""
    cluster.scopes[name].cancel()
    cluster.network.reset_host(cluster.addresses[name].ip)
    del cluster.group_sets[name]
    await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize("kills", [0, 1])
async def test_entry_acknowledged_after_a_kill_survives_a_power_loss(
    autojump_clock, nursery, kills
):
    """
    Guards against an acknowledged entry that is lost with one disk and the power of the others.

    A host that is killed between an append and its sync reads the entry from the page cache when it
    starts again. It must sync the file before it confirms the entry to the leader.
    """
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    follower, other = others_of(cluster, leader)
    await cluster.propose(b"before")
    await cluster.wait_until(lambda: b"before" in cluster.machines[other].effects)
    await cluster.crash(other)
    results = []

    async def propose():
        results.append(await cluster.group(leader).propose(b"change", timeout_s=20))

    if kills:
        cluster.disks[follower].sync_delay_s = 0.5
    nursery.start_soon(propose)
    if kills:
        await trio.sleep(0.2)
        assert not results
        await kill(cluster, follower)
        cluster.disks[follower].sync_delay_s = 0.001
        await cluster.start(follower)
    await cluster.wait_until(lambda: bool(results))
    assert isinstance(results[0], int)
    # The leader loses its disk while the follower loses power.
    await cluster.crash(follower, torn=False)
    await cluster.crash(leader)
    cluster.empty_disk(leader)
    for name in cluster.names:
        await cluster.start(name)
    await cluster.propose(b"after")
    last = await cluster.wait_for_leader()
    assert b"change" in cluster.machines[last].effects

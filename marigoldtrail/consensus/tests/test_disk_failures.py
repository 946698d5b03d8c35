"""Tests of groups whose hosts' disks fail for some time."""

import trio

from marigoldtrail.consensus.tests.cluster import Cluster

FAILURE_S = 3.0


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

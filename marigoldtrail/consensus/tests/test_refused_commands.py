"""Test that refused commands stay refused after a loss of power."""

import pytest
import trio

from marigoldtrail.consensus.tests.cluster import Cluster, others_of
from marigoldtrail.errors import Reason
from marigoldtrail.testing.faulty_files import PARTIAL, FaultyDisk, build_runner

REFUSED = [b"refused-1", b"refused-2"]


async def propose_together(cluster, leader, commands):
    """Propose commands in one batch; return the results."""
    results = []

    async def propose(command):
        results.append(await cluster.group(leader).propose(command, timeout_s=5))

    async with trio.open_nursery() as nursery:
        for command in commands:
            nursery.start_soon(propose, command)
    return results


@pytest.mark.parametrize("seed", range(12))
async def test_acknowledged_command_is_not_replaced_by_a_refused_one_after_a_power_loss(
    autojump_clock, nursery, seed
):
    """Guards against an acknowledged change that is lost, and a refused one that takes effect."""
    cluster = Cluster(nursery, seed=seed, make_disk=FaultyDisk)
    leader = await cluster.start_all()
    await cluster.propose(b"before")
    await trio.sleep(1)
    disk = cluster.disks[leader]
    # The disk is full in the middle of the batch, and has room again.
    disk.files.fail_kind, disk.files.fail_count = PARTIAL, 2
    disk.files.fail_at = disk.files.count + 1
    refused = await propose_together(cluster, leader, REFUSED)
    assert [failure.reason for failure in refused] == [Reason.DISK_FULL] * 2
    assert "partial write" in disk.files.failed
    disk.files.fail_at = None
    # Power is lost before the leader's own sync has ended.
    disk._run_blocking = build_runner(0.05)
    acknowledged = await propose_together(cluster, leader, [b"change"])
    assert isinstance(acknowledged[0], int)
    for name in cluster.names:
        await cluster.crash(name)
    disk._run_blocking = build_runner(0.0)
    cluster.isolate(others_of(cluster, leader)[0])
    for name in cluster.names:
        await cluster.start(name)
    await cluster.wait_for_leader(among=[leader, others_of(cluster, leader)[1]])
    await cluster.propose(b"after")
    cluster.heal()
    await cluster.wait_until(
        lambda: all(b"after" in cluster.machines[name].effects for name in cluster.names)
    )
    for name in cluster.names:
        effects = cluster.machines[name].effects
        assert b"change" in effects and not effects.keys() & set(REFUSED), (name, list(effects))

"""Tests of a group that opens its files again after a snapshot was installed in part."""

import errno
from functools import partial

import trio

from marigoldtrail.consensus import applying, log
from marigoldtrail.consensus.tests.cluster import Cluster, others_of
from marigoldtrail.errors import is_failure
from marigoldtrail.storage.disk import build_disk_failure
from marigoldtrail.testing import MemoryDisk


class ListingDisk(MemoryDisk):
    """A disk that can fail to list the snapshots once."""

    fails_at_snapshots = False

    async def list_names(self, prefix=""):
        if self.fails_at_snapshots and prefix.endswith("/snapshot/"):
            self.fails_at_snapshots = False
            return build_disk_failure(OSError(errno.EIO, "input/output error"), "disk.list", prefix)
        return await super().list_names(prefix)


async def test_failure_after_the_write_of_a_snapshot_keeps_the_storage_id(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a discarded vote because uncommitted entries gave way to a snapshot."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 8)
    monkeypatch.setattr(log, "RETAINED_ENTRIES", 2)
    cluster = Cluster(nursery, make_disk=ListingDisk)
    old = await cluster.start_all()
    await cluster.propose(b"before")
    storage_id = cluster.storage_ids[old]
    cluster.isolate(old)
    for number in range(80):
        nursery.start_soon(partial(cluster.group(old).propose, b"lost %d" % number, timeout_s=1))
    await trio.sleep(0.5)
    assert cluster.group(old)._state.synced_index > 70
    others = others_of(cluster, old)
    await cluster.wait_for_leader(among=others)
    for number in range(30):
        for name in others:
            if cluster.group(name).is_leader:
                assert not is_failure(
                    await cluster.group(name).propose(b"%d" % number, timeout_s=2)
                )
                break
    cluster.disks[old].fails_at_snapshots = True
    cluster.heal()
    await cluster.wait_until(lambda: b"29" in cluster.machines[old].effects)
    assert not cluster.disks[old].fails_at_snapshots
    assert cluster.storage_ids[old] == storage_id


async def test_hosts_with_less_room_than_their_newest_segment_return_after_a_power_loss(
    autojump_clock, nursery
):
    """Guards against hosts that stay out because a start copies a segment beside the old one."""
    cluster = Cluster(nursery)
    await cluster.start_all()
    for number in range(20):
        await cluster.propose(b"%d" % number + b"x" * 1000)
    for name in cluster.names:
        await cluster.crash(name)
        disk = cluster.disks[name]
        disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + 10_000
    for name in cluster.names:
        await cluster.start(name)
    await cluster.propose(b"after")

"""Test what a group keeps if a loss of power tears appends in the middle on most hosts."""

import trio

from marigoldtrail.consensus.tests.cluster import GROUP, Cluster, others_of
from marigoldtrail.testing.faulty_files import ROOT, FaultyDisk, apply_change, build_runner

PAGE_BYTES = 4096


def list_unsynced(disk):
    """Return the files of the log with a write that is not durable."""
    folder = disk.files._find(ROOT / GROUP / "log")
    return [file for file in folder.names.values() if file.pending]


def keep_later_pages(disk):
    """Keep what was written last but its first page, as a loss of power may."""
    (file,) = list_unsynced(disk)
    offset, written = file.pending.pop()
    assert not file.pending and len(written) > 2 * PAGE_BYTES
    apply_change(file.durable, offset + PAGE_BYTES, written[PAGE_BYTES:])


async def test_group_elects_a_leader_after_most_hosts_lost_the_first_page_of_an_append(
    autojump_clock, nursery
):
    """Guards against acknowledged changes that nobody can read after a loss of power of all."""
    cluster = Cluster(nursery, size=5, make_disk=FaultyDisk)
    leader = await cluster.start_all()
    await cluster.propose(b"before")
    await trio.sleep(1)
    followers = others_of(cluster, leader)
    for name in followers:
        cluster.disks[name]._run_blocking = build_runner(0.05)
    # One batch, which each follower appends in one write.
    for number in range(12):
        command = b"%d" % number + bytes(3000)
        nursery.start_soon(lambda c: cluster.group(leader).propose(c, timeout_s=5), command)
    await cluster.wait_until(lambda: all(list_unsynced(cluster.disks[name]) for name in followers))
    for name in followers:
        keep_later_pages(cluster.disks[name])
    for name in cluster.names:
        await cluster.crash(name, torn=False)
        cluster.disks[name]._run_blocking = build_runner(0.0)
    for name in cluster.names:
        await cluster.start(name)
    last = await cluster.wait_for_leader()
    await cluster.propose(b"after")
    assert b"before" in cluster.machines[last].effects

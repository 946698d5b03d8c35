"""Tests of hand-overs between leaders that all lack room, and of two transfers at once."""

import errno
from functools import partial

import trio

from marigoldtrail.consensus.tests.cluster import Cluster, others_of
from marigoldtrail.errors import RunState, is_failure
from marigoldtrail.storage.disk import build_disk_failure
from marigoldtrail.testing import MemoryDisk

ROOM_BYTES = 10_000
LARGE = b"L" * 100_000


def leave_room(disk, count=0):
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + count


async def test_leadership_rests_while_no_host_has_room_for_a_large_command(autojump_clock, nursery):
    """Guards against a leadership that moves between hosts none of which can take the command."""
    cluster = Cluster(nursery)
    await cluster.start_all()
    for disk in cluster.disks.values():
        leave_room(disk, ROOM_BYTES)
    before = max(cluster.group(name).term for name in cluster.names)
    refused = []

    async def propose_small():
        for number in range(300):
            name = next((n for n in cluster.names if cluster.group(n).is_leader), "a")
            result = await cluster.group(name).propose(b"%d" % number, timeout_s=1)
            if is_failure(result):
                assert result.run_state is RunState.NOT_RUN
                refused.append((number, result.reason))
            await trio.sleep(0.1)

    async def propose_large():
        while True:
            for name in cluster.names:
                if cluster.group(name).is_leader:
                    await cluster.group(name).propose(LARGE, timeout_s=1)
                    break
            await trio.sleep(0.5)

    nursery.start_soon(propose_large)
    await propose_small()
    terms = max(cluster.group(name).term for name in cluster.names) - before
    assert terms <= 3 and len(refused) <= 1, (terms, refused)


async def test_hand_over_that_fails_does_not_end_a_planned_transfer(autojump_clock, nursery):
    """Guards against proposals that a stopping leader accepts again during its transfer."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    state = cluster.group(leader)._state
    leave_room(cluster.disks[leader])
    for name in others_of(cluster, leader):
        cluster.group(name)._state.may_campaign = False
    assert is_failure(await cluster.group(leader).propose(b"x", timeout_s=1))
    await trio.sleep(1.2)
    nursery.start_soon(partial(cluster.group(leader).transfer_leadership, timeout_s=1.5))
    for _ in range(14):
        await trio.sleep(0.1)
        assert state.role != "leader" or state.is_transferring


class LimitedDisk(MemoryDisk):
    """A disk that can refuse to let files grow, as a limit on their size does, but not new ones."""

    refuses_appends = False

    async def append(self, name, data):
        if self.refuses_appends:
            return build_disk_failure(OSError(errno.EFBIG, "file too large"), "disk.append", name)
        return await super().append(name, data)


async def test_group_can_be_read_while_no_host_can_append(autojump_clock, nursery):
    """Guards against a group without a leader because its leader hands over to a full host."""
    cluster = Cluster(nursery, make_disk=LimitedDisk)
    leader = await cluster.start_all()
    for disk in cluster.disks.values():
        disk.refuses_appends = True
    assert is_failure(await cluster.group(leader).propose(b"x", timeout_s=1))
    await trio.sleep(5)
    readable = 0
    for _ in range(20):
        for name in cluster.names:
            if cluster.group(name).is_leader:
                readable += await cluster.group(name).read_barrier(timeout_s=0.5) is None
        await trio.sleep(0.5)
    terms = [cluster.group(name).term for name in cluster.names]
    assert readable >= 18, f"{readable} of 20 reads, terms {terms}"

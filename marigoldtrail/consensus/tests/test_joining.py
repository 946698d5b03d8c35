"""Hosts that become known while the group runs, and voters that are gone for good."""

import trio

from marigoldtrail.consensus.membership import LEAST_VOTERS
from marigoldtrail.consensus.tests.cluster import GROUP, Cluster


def voters(cluster, name):
    return sorted(member.host for member in cluster.group(name)._state.log.voters)


class GrowingCluster(Cluster):
    """A cluster whose hosts do not know all others at their start."""

    def __init__(self, nursery, *, founders=3, size=5, **fields):
        super().__init__(nursery, size=size, **fields)
        self.all_names = self.names
        self.names = self.names[:founders]

    async def join(self, name):
        """Start a host that no other one knows, and tell the leader of it."""
        founders, self.names = self.names, []
        await self.start(name)
        self.names = founders
        leader = await self.leader(among=founders)
        self.group(leader).add_host(name)


async def test_host_that_becomes_known_gets_a_vote(autojump_clock, nursery):
    """Guards against a host that stays without a vote until the next election."""
    cluster = GrowingCluster(nursery)
    await cluster.form()
    await cluster.propose(b"x")
    await cluster.join("d")
    await cluster.wait(lambda: voters(cluster, "d") == ["a", "b", "c", "d"])
    await cluster.wait(lambda: set(cluster.machines["d"].effects) == {b"x"})


async def test_silent_voter_is_removed_and_comes_back(autojump_clock, nursery):
    """Guards against a machine that is gone for good and counts towards the quorum for ever."""
    cluster = GrowingCluster(nursery)
    await cluster.form()
    await cluster.join("d")
    await cluster.wait(lambda: voters(cluster, "a") == ["a", "b", "c", "d"])
    for name in cluster.sets:
        cluster.group(name)._state.silent_removal_s = 5.0
    leader = await cluster.leader()
    lost = next(name for name in "abcd" if name != leader)
    await cluster.crash(lost)
    await cluster.wait(lambda: lost not in voters(cluster, leader))
    founders, cluster.names = cluster.names, []
    await cluster.start(lost)
    cluster.names = founders
    cluster.group(await cluster.leader(among=list(cluster.sets))).add_host(lost)
    await cluster.wait(lambda: lost in voters(cluster, leader))


async def test_no_voter_is_removed_from_a_small_group(autojump_clock, nursery):
    """Guards against a group that shrinks until it can't lose a host any more."""
    cluster = Cluster(nursery)
    leader = await cluster.form()
    for name in cluster.names:
        cluster.group(name)._state.silent_removal_s = 2.0
    await cluster.crash(next(name for name in cluster.names if name != leader))
    await trio.sleep(10)
    assert len(voters(cluster, leader)) == LEAST_VOTERS


async def test_concurrent_foundation_gives_one_group(autojump_clock, nursery):
    """Guards against seeds that found two groups because they start at the same time."""
    cluster = Cluster(nursery)
    for name in cluster.names:
        await cluster.start(name)
    results = []

    async def found():
        results.append(await cluster.init())

    async with trio.open_nursery() as founders:
        for _ in range(3):
            founders.start_soon(found)
    assert results == [None] * 3
    await cluster.propose(b"x")
    assert all(cluster.sets[n][GROUP].has_voters for n in cluster.names)

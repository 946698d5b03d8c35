"""Test hosts that are added while the group runs, and voters that are lost permanently."""

import trio

from marigoldtrail.consensus.state import MIN_VOTERS
from marigoldtrail.consensus.tests.cluster import GROUP, Cluster


def voters(cluster, name):
    return sorted(member.host for member in cluster.group(name)._state.log.voters)


class GrowingCluster(Cluster):
    """Cluster whose hosts do not know all others when they start."""

    def __init__(self, nursery, *, initial_size=3, size=5, **fields):
        super().__init__(nursery, size=size, **fields)
        self.all_names = self.names
        self.names = self.names[:initial_size]

    async def join(self, name):
        """Start a host that is unknown to the others, and add it at the leader."""
        initial_names, self.names = self.names, []
        await self.start(name)
        self.names = initial_names
        leader = await self.wait_for_leader(among=initial_names)
        self.group(leader).add_host(name)


async def test_added_host_becomes_a_voter(autojump_clock, nursery):
    """Guards against an added host that does not become a voter before the next election."""
    cluster = GrowingCluster(nursery)
    await cluster.start_all()
    await cluster.propose(b"x")
    await cluster.join("d")
    await cluster.wait_until(lambda: voters(cluster, "d") == ["a", "b", "c", "d"])
    await cluster.wait_until(lambda: set(cluster.machines["d"].effects) == {b"x"})


async def test_unreachable_voter_is_removed_and_added_again(autojump_clock, nursery):
    """Guards against a permanently lost host that counts towards the quorum forever."""
    cluster = GrowingCluster(nursery)
    await cluster.start_all()
    await cluster.join("d")
    await cluster.wait_until(lambda: voters(cluster, "a") == ["a", "b", "c", "d"])
    for name in cluster.group_sets:
        cluster.group(name)._state.unreachable_removal_s = 5.0
    leader = await cluster.wait_for_leader()
    lost = next(name for name in "abcd" if name != leader)
    await cluster.crash(lost)
    await cluster.wait_until(lambda: lost not in voters(cluster, leader))
    initial_names, cluster.names = cluster.names, []
    await cluster.start(lost)
    cluster.names = initial_names
    cluster.group(await cluster.wait_for_leader(among=list(cluster.group_sets))).add_host(lost)
    await cluster.wait_until(lambda: lost in voters(cluster, leader))


async def test_no_voter_is_removed_from_a_small_group(autojump_clock, nursery):
    """Guards against a group that shrinks until it cannot tolerate the loss of a host."""
    cluster = Cluster(nursery)
    leader = await cluster.start_all()
    for name in cluster.names:
        cluster.group(name)._state.unreachable_removal_s = 2.0
    await cluster.crash(next(name for name in cluster.names if name != leader))
    await trio.sleep(10)
    assert len(voters(cluster, leader)) == MIN_VOTERS


async def test_concurrent_init_creates_one_group(autojump_clock, nursery):
    """Guards against hosts that initialise two groups because they start at the same time."""
    cluster = Cluster(nursery)
    for name in cluster.names:
        await cluster.start(name)
    results = []

    async def init():
        results.append(await cluster.init())

    async with trio.open_nursery() as initialisers:
        for _ in range(3):
            initialisers.start_soon(init)
    assert results == [None] * 3
    await cluster.propose(b"x")
    assert all(cluster.group_sets[n][GROUP].has_voters for n in cluster.names)

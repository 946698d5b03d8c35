"""Play a group whose hosts are replaced by others under new names, one after the other."""

import random

import trio

from marigoldtrail.consensus.tests.cluster import GROUP, Cluster
from marigoldtrail.net import Address

UNREACHABLE_REMOVAL_S = 2.0
# Times that a site states for its control hosts: a lost one counts as lost until its successor has
# run for so long, and the group serves so soon after all are back.
CATCH_UP_S = 4.0
RECOVER_S = 12.0
SUCCESSOR_AFTER_S = 1.0
REPORT_INTERVAL_S = 0.35
RELEASE_TIMEOUT_S = 1.5
TRANSFER_TIMEOUT_S = 1.5


class ReplacedCluster(Cluster):
    """
    Cluster whose hosts report to the leader, are stopped for good and replaced under new names.

    Every host knows the addresses of all others, as on a site, where the name is the address.
    """

    def __init__(self, nursery, *, size, seed, tolerated=1, **fields):
        super().__init__(nursery, size=size, seed=seed, **fields)
        self.first_names = list(self.names)
        self.min_voters = max(3, 2 * tolerated + 1)
        self.stopping = set()
        self.gone = []
        self.numbers = iter(range(size + 1, 250))
        for disk in self.disks.values():
            disk.sync_delay_s = self.rng.choice([0.001, 0.005, 0.02])

    def make_options(self, name):
        return {
            "hosts": {GROUP: list(self.first_names) if name in self.first_names else []},
            "unreachable_removal_s": UNREACHABLE_REMOVAL_S,
            "min_voters": self.min_voters,
        }

    async def run_beside(self, name):
        """Report to the leader, as the hosts of a site do."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for leader, groups in list(self.group_sets.items()):
                if groups[GROUP].is_leader and self.is_connected(name, leader):
                    if name in self.stopping:
                        groups[GROUP].release_host(name)
                    else:
                        groups[GROUP].add_host(name)

    def is_connected(self, one, other):
        return (
            one == other
            or not self.network.link(self.addresses[one].ip, self.addresses[other].ip).is_cut
        )

    async def start_successor(self):
        """Start an empty host under a new name; return the name."""
        number = next(self.numbers)
        name = f"n{number}"
        self.addresses[name] = Address(f"10.0.0.{number}", 7000)
        self.disks[name] = self.make_disk(rng=self.rng)
        self.disks[name].sync_delay_s = self.rng.choice([0.001, 0.005, 0.02])
        self.names.append(name)
        for gone in self.gone:
            self.network.cut(self.addresses[gone].ip, self.addresses[name].ip)
        await self.start(name)
        return name

    async def lose(self, name):
        """End a host for good, with its disk; from now on its address does not answer."""
        await self.crash(name)
        self.names.remove(name)
        self.gone.append(name)
        self.isolate(name)

    async def stop(self, name):
        """Stop a host for good with the signal that lets it leave the group."""
        await self.drain(name)
        await self.lose(name)

    async def drain(self, name):
        """Let a host leave the group, as it does when it gets the signal to stop."""
        group = self.group(name)
        self.stopping.add(name)
        await group.transfer_leadership(timeout_s=TRANSFER_TIMEOUT_S)
        await group.wait_for_release(timeout_s=RELEASE_TIMEOUT_S)

    async def come_back(self, name):
        """Start the process of a host again."""
        self.stopping.discard(name)
        await self.start(name)

    def leader_or_none(self):
        return next((n for n in self.group_sets if self.group(n).is_leader), None)

    def pick(self, rng):
        """Return a running host, each second time the leader."""
        leader = self.leader_or_none()
        if leader is not None and rng.random() < 0.5:
            return leader
        return rng.choice(sorted(self.group_sets))

    def list_voters(self):
        """Return the hosts on the leader's list."""
        leader = self.leader_or_none()
        if leader is None:
            return []
        return sorted(member.host for member in self.group(leader)._state.log.voters)

    async def check(self):
        """Check that the group commits, and that exactly the running hosts become its voters."""
        await self.propose(b"%d" % self.rng.randrange(10**12), timeout_s=RECOVER_S)
        await self.wait_until(
            lambda: self.list_voters() == sorted(self.group_sets), timeout_s=RECOVER_S
        )


async def play_replacements(
    seed, *, size, at_once=1, rounds=8, is_planned=None, is_disturbed=False
):
    """
    Replace hosts in series, as fast as a site's limits permit, and check the group meanwhile.

    With `is_planned` None each round draws whether its hosts get a signal. If `is_disturbed`,
    hosts that come back are lost between the rounds.
    """
    rng = random.Random(seed)
    acknowledged = []
    async with trio.open_nursery() as nursery:
        cluster = ReplacedCluster(nursery, size=size, seed=seed, tolerated=at_once)
        await cluster.start_all()
        await cluster.wait_until(lambda: cluster.list_voters() == sorted(cluster.group_sets))

        async def write():
            for number in range(10**9):
                command = b"w%d" % number
                await cluster.propose(command, timeout_s=RECOVER_S)
                acknowledged.append(command)
                await trio.sleep(0.1)

        nursery.start_soon(write)
        for _ in range(rounds):
            planned = rng.random() < 0.5 if is_planned is None else is_planned
            await (replace_planned if planned else replace_lost)(cluster, rng, at_once)
            if is_disturbed:
                await disturb(cluster, rng, at_once)
        await cluster.check()
        leader = await cluster.wait_for_leader()
        effects = cluster.machines[leader].effects
        assert all(command in effects for command in acknowledged)
        nursery.cancel_scope.cancel()
    return len(acknowledged)


async def replace_planned(cluster, rng, at_once):
    """Start successors, then stop as many others; return when the last one has ended."""
    names = []
    while len(names) < at_once:
        if (name := cluster.pick(rng)) not in names:
            names.append(name)
    for _ in names:
        await cluster.start_successor()
    await trio.sleep(CATCH_UP_S + rng.choice([0.1, 1.0]))
    for name in names:
        # Its successor has caught up, so that the next loss may come at once.
        await cluster.stop(name)


async def replace_lost(cluster, rng, at_once):
    """Lose hosts without a signal; return when their successors no longer count as lost."""
    for _ in range(at_once):
        await cluster.lose(cluster.pick(rng))
        await trio.sleep(rng.choice([0.0, 0.1, 0.7]))
    await trio.sleep(SUCCESSOR_AFTER_S)
    for _ in range(at_once):
        await cluster.start_successor()
    await trio.sleep(CATCH_UP_S + rng.choice([0.1, 1.0]))


async def disturb(cluster, rng, at_once):
    """Lose hosts that come back; return when they no longer count as lost."""
    names = sorted({cluster.pick(rng) for _ in range(at_once)})
    kind = rng.choice(["cut", "kill", "restart", "wipe"])
    for name in names:
        if kind == "cut":
            cluster.isolate(name)
            continue
        if kind == "restart":
            await cluster.drain(name)
        await cluster.crash(name)
        if kind == "wipe":
            cluster.empty_disk(name)
    await trio.sleep(rng.choice([0.3, 1.5, 3.0, 6.0]))
    cluster.heal()
    for name in names:
        if kind != "cut":
            await cluster.come_back(name)
    await trio.sleep(CATCH_UP_S)

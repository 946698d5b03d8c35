"""Simulate a log group under seeded random faults, checked by an oracle."""

import functools
import random

import trio

from marigoldtrail.consensus import applying, log, replication, store
from marigoldtrail.consensus.tests.cluster import GROUP, Cluster, Register
from marigoldtrail.errors import RunState, is_failure
from marigoldtrail.storage import open_journal
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

ACTIONS = {
    "wait": 30,
    "crash": 12,
    "restart": 20,
    "isolate": 8,
    "cut_one_way": 8,
    "heal": 12,
    "delay": 8,
    "replace": 8,
    "corrupt": 4,
    "fill_disk": 4,
    "fail_syncs": 2,
    "slow_disk": 6,
    "transfer": 4,
}
CLIENTS = 3


class Violation(AssertionError):
    """A guarantee of the log was violated."""


class Oracle:
    """Checks every applied command, leadership, acknowledgement and read when it occurs."""

    def __init__(self):
        self.commands = {}
        self.leaders = {}
        self.acknowledged = {}
        self.refused = set()
        self.reads = 0
        self.violations = []

    def check(self, condition, message):
        # Recorded, not raised: the applier treats a state machine exception as a failed command.
        if not condition:
            self.violations.append(message)

    def raise_violation(self):
        if self.violations:
            raise Violation(self.violations[0])

    def on_apply(self, host, index, command):
        known = self.commands.setdefault(index, command)
        self.check(known == command, f"{host} applied {command} at {index}, others {known}")

    def on_decision(self, decision):
        if decision.kind == "lead":
            term = int(decision.inputs["term"])
            leader = self.leaders.setdefault(term, decision.host)
            self.check(leader == decision.host, f"{leader} and {decision.host} lead term {term}")

    def on_result(self, command, result):
        if not is_failure(result):
            self.acknowledged[command] = result
            known = self.commands.get(result)
            self.check(known == command, f"{command} was acknowledged at {result}: {known}")
        elif result.run_state is RunState.NOT_RUN:
            self.refused.add(command)

    def on_read(self, host, expected, effects):
        self.reads += 1
        missing = expected - effects.keys()
        self.check(not missing, f"a read at {host} misses acknowledged {missing}")

    def check_end(self, machines):
        effects = [machine.effects for machine in machines.values()]
        self.check(all(e == effects[0] for e in effects), "the machines differ at the end")
        for command, index in self.acknowledged.items():
            self.check(effects[0].get(command) == index, f"acknowledged {command} is lost")
        ran = self.refused & effects[0].keys()
        self.check(not ran, f"refused as not run, but applied: {ran}")


class CheckedRegister(Register):
    """State machine that reports every applied command to the oracle."""

    def __init__(self, host, oracle):
        super().__init__()
        self.host = host
        self.oracle = oracle
        self.last = 0

    def apply(self, index, command):
        self.oracle.check(index > self.last, f"{self.host} applied {index} after {self.last}")
        self.last = index
        self.oracle.on_apply(self.host, index, command)
        return super().apply(index, command)

    def restore(self, data):
        super().restore(data)
        for command, index in self.effects.items():
            self.oracle.on_apply(self.host, index, command)
        self.last = max([self.last, *self.effects.values()])


class Simulation:
    """One run; with `forge_storage_id` a replaced host gets the storage id of its lost disk."""

    def __init__(self, nursery, seed, *, size=3, lie_about_sync=False, forge_storage_id=False):
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.forge_storage_id = forge_storage_id
        self.lie_about_sync = lie_about_sync
        self.nursery = nursery
        self.running = True
        self.command_numbers = iter(range(10**9))
        self.cluster = Cluster(
            nursery,
            size=size,
            seed=seed,
            make_machine=lambda host: CheckedRegister(host, self.oracle),
            make_telemetry=self.make_telemetry,
        )
        self.storage_ids = {}
        for disk in self.cluster.disks.values():
            self.configure_disk(disk)

    def make_telemetry(self, host):
        telemetry = Telemetry(host=host, timers=Timers(seed=1))
        telemetry.decisions.subscribe(self.oracle.on_decision)
        return telemetry

    def configure_disk(self, disk):
        disk.sync_delay_s = self.rng.choice([0.001, 0.01])
        disk.lie_about_sync = self.lie_about_sync

    async def run(self, steps):
        cluster = self.cluster
        await cluster.start_all()
        self.storage_ids.update(cluster.storage_ids)
        async with trio.open_nursery() as clients:
            for _ in range(CLIENTS):
                clients.start_soon(self.run_client)
            for _ in range(steps):
                action = self.rng.choices(list(ACTIONS), weights=list(ACTIONS.values()))[0]
                await getattr(self, action)()
                await trio.sleep(self.rng.choice([0.0, 0.001, 0.003, 0.01, 0.1, 0.5, 1.5]))
                self.oracle.raise_violation()
            await self.recover()
            self.running = False
        await cluster.propose(b"last", timeout_s=60)
        self.oracle.raise_violation()
        effects = cluster.machines[await cluster.wait_for_leader()].effects
        await cluster.wait_until(
            lambda: all(m.effects == effects for m in cluster.machines.values())
        )
        self.oracle.check_end(cluster.machines)
        self.oracle.raise_violation()

    async def run_client(self):
        while self.running:
            hosts = list(self.cluster.group_sets)
            host = self.rng.choice(hosts) if hosts else None
            leaders = [name for name in hosts if self.cluster.group(name).is_leader]
            host = self.rng.choice(leaders) if leaders else host
            if host is not None:
                with trio.move_on_after(3):
                    await self.run_operation(host)
            await trio.sleep(self.rng.choice([0.01, 0.05, 0.3]))

    async def run_operation(self, host):
        group, machine = self.cluster.group(host), self.cluster.machines[host]
        if self.rng.random() < 0.4:
            expected = set(self.oracle.acknowledged)
            if await group.read_barrier(timeout_s=1) is None:
                self.oracle.on_read(host, expected, machine.effects)
        else:
            command = b"%d" % next(self.command_numbers)
            self.oracle.on_result(command, await group.propose(command, timeout_s=2))

    async def recover(self):
        """End all faults; the group must recover with all acknowledged commands."""
        await self.heal()
        for name in self.cluster.names:
            await self.restart()
            await self.start(name)

    async def start(self, name):
        if name not in self.cluster.group_sets:
            self.cluster.disks[name].fail_syncs = False
            self.cluster.disks[name].capacity_bytes = None
            await self.cluster.start(name)
            self.storage_ids[name] = self.cluster.storage_ids[name]

    def has_intact_quorum_without(self, name):
        """Tell whether enough voters keep their logs if this host loses its own."""
        logs = [self.cluster.group(n)._state for n in self.cluster.group_sets if n != name]
        logs = [state for state in logs if hasattr(state, "log")]
        others = {identity for host, identity in self.storage_ids.items() if host != name}
        return bool(logs) and all(
            sum(m.storage_id in others for m in voters) > len(voters) // 2
            for state in logs
            for voters in self.list_possible_voters(state)
        )

    def list_possible_voters(self, state):
        """Return the member lists that may be in force: the newest and the last committed one."""
        return [state.log.voters, state.log.voters_at(max(state.commit_index, 1))]

    def pick_host(self, *, up=True):
        names = [n for n in self.cluster.names if (n in self.cluster.group_sets) == up]
        return self.rng.choice(names) if names else None

    async def wait(self):
        await trio.sleep(self.rng.random() * 2)

    async def crash(self):
        name = self.pick_host()
        if name is not None:
            await self.cluster.crash(name)

    async def restart(self):
        name = self.pick_host(up=False)
        if name is not None:
            await self.start(name)

    async def isolate(self):
        # At most one partition at a time; with more the group would rarely have a leader.
        self.cluster.heal()
        leaders = [name for name in self.cluster.group_sets if self.cluster.group(name).is_leader]
        choice = leaders if leaders and self.rng.random() < 0.5 else self.cluster.names
        self.cluster.isolate(self.rng.choice(choice))
        await trio.sleep(self.rng.random() * 5)

    async def cut_one_way(self):
        self.cluster.heal()
        one, other = self.rng.sample(self.cluster.names, 2)
        addresses = self.cluster.addresses
        self.cluster.network.cut(addresses[one].ip, addresses[other].ip, both_ways=False)

    async def heal(self):
        self.cluster.heal()
        for disk in self.cluster.disks.values():
            disk.capacity_bytes = None
            disk.fail_syncs = False
            disk.sync_delay_s = 0.002

    async def delay(self):
        one, other = self.rng.sample(self.cluster.names, 2)
        addresses = self.cluster.addresses
        link = self.cluster.network.link(addresses[one].ip, addresses[other].ip)
        link.delay_s = self.rng.choice([0.001, 0.02, 0.2])
        link.jitter_s = self.rng.choice([0.0, 0.05])

    async def replace(self):
        name = self.rng.choice(self.cluster.names)
        # Without an intact quorum no protocol can preserve acknowledged commands.
        if not self.has_intact_quorum_without(name):
            return
        if name in self.cluster.group_sets:
            await self.cluster.crash(name)
        disk = self.cluster.empty_disk(name)
        self.configure_disk(disk)
        if self.forge_storage_id:
            vote = store.StoredVote(storage_id=self.storage_ids[name], term=0, voted_for="")
            await disk.write_atomic(f"{GROUP}/vote", store.encode_stored(vote))
        await self.start(name)

    async def corrupt(self):
        name = self.rng.choice(self.cluster.names)
        if not self.has_intact_quorum_without(name):
            return
        if name in self.cluster.group_sets:
            await self.cluster.crash(name)
        disk = self.cluster.disks[name]
        files = [n for n, f in disk.files.items() if "/log/" in n and len(f.data) > 200]
        if files:
            # Not the last record: its corruption cannot be distinguished from a torn write.
            disk.flip_bit(files[0], self.rng.randrange(100))
        await self.start(name)

    async def fill_disk(self):
        disk = self.cluster.disks[self.rng.choice(self.cluster.names)]
        disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + 100

    async def fail_syncs(self):
        name = self.pick_host()
        if name is not None:
            self.cluster.disks[name].fail_syncs = True

    async def slow_disk(self):
        disk = self.cluster.disks[self.rng.choice(self.cluster.names)]
        disk.sync_delay_s = self.rng.choice([0.02, 0.3, 1.5])

    async def transfer(self):
        name = self.pick_host()
        if name is not None:
            await self.cluster.group(name).transfer_leadership(timeout_s=1)


def shrink_limits(monkeypatch):
    """Reduce snapshot, segment, chunk and message limits, so that a short run exceeds them all."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 25)
    monkeypatch.setattr(log, "RETAINED_ENTRIES", 5)
    monkeypatch.setattr(replication, "CHUNK_BYTES", 300)
    monkeypatch.setattr(replication, "MAX_MESSAGE_ENTRIES", 4)
    monkeypatch.setattr(store, "open_journal", functools.partial(open_journal, segment_bytes=400))


async def simulate(seed, *, steps=60, **options):
    """Run one simulation; raise `Violation` if a guarantee is violated."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(nursery, seed, **options)
        try:
            await simulation.run(steps)
        except trio.TooSlowError:
            # Diverging hosts may also keep the final state from converging in time.
            simulation.oracle.raise_violation()
            raise
        nursery.cancel_scope.cancel()
    return simulation.oracle

"""Control hosts over the network and the disks in memory, for the tests of this package."""

import random

import msgspec
import trio
import trio.testing

from marigoldtrail.consensus import GroupSet, init_fleet
from marigoldtrail.errors import is_failure
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.testing import MemoryDisk, MemoryNetwork
from marigoldtrail.timers import Timers

GROUP = "config"
ADMIN_IP = "10.0.1.1"


class Register:
    """A machine that keeps every command with its index; a repeated command has one effect."""

    def __init__(self):
        self.applied = []
        self.effects = {}
        self.restored = 0
        self.complete = True

    def apply(self, index, command):
        self.applied.append((index, command))
        self.effects.setdefault(command, index)
        return self.effects[command]

    def is_complete(self):
        return self.complete

    def snapshot(self):
        return msgspec.msgpack.encode(self.effects)

    def restore(self, data):
        self.restored += 1
        self.effects = msgspec.msgpack.decode(data, type=dict[bytes, int])


class Cluster:
    """Hosts a, b, c, ... that can be stopped, started and replaced."""

    def __init__(
        self,
        nursery,
        *,
        size=3,
        seed=1,
        make_machine=lambda host: Register(),
        make_telemetry=lambda host: None,
    ):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(seed=seed)
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.addresses = {
            name: Address(f"10.0.0.{i + 1}", 7000) for i, name in enumerate(self.names)
        }
        self.disks = {name: MemoryDisk(rng=self.rng) for name in self.names}
        self.sets = {}
        self.machines = {}
        self.scopes = {}
        self.make_machine = make_machine
        self.make_telemetry = make_telemetry

    @property
    def ids(self):
        return {name: self.group(name)._state.storage_id for name in self.sets}

    def group(self, name):
        return self.sets[name][GROUP]

    async def start(self, name):
        """Start the process of a host with an empty machine."""
        await self.nursery.start(self._run, name)

    async def _run(self, name, task_status):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                network = self.network.endpoint(self.addresses[name].ip)
                machine = self.make_machine(name)
                groups = GroupSet(
                    host=name,
                    hosts={GROUP: self.names},
                    addresses=self.addresses,
                    client=PeerClient(network=network, host=name, nursery=nursery),
                    disk=self.disks[name],
                    machines={GROUP: machine},
                    timers=Timers(seed=1),
                    rng=self.rng,
                    telemetry=self.make_telemetry(name),
                )
                self.sets[name] = groups
                self.machines[name] = machine
                self.scopes[name] = scope
                await nursery.start(groups.run)

                async def serve(task_status):
                    await serve_peers(
                        network,
                        self.addresses[name],
                        groups.handlers(),
                        host=name,
                        task_status=task_status,
                    )

                await nursery.start(serve)
                task_status.started()

    async def crash(self, name, *, torn=True):
        """Stop a process at once; its disk loses what is not synced."""
        self.scopes[name].cancel()
        self.network.reset_host(self.addresses[name].ip)
        del self.sets[name]
        # The tasks of the process end at their next checkpoint.
        await trio.testing.wait_all_tasks_blocked()
        self.disks[name].crash(torn=torn)

    async def replace(self, name):
        """Bring a host back with an empty disk."""
        if name in self.sets:
            await self.crash(name)
        self.empty_disk(name)
        await self.start(name)

    def empty_disk(self, name):
        self.disks[name] = MemoryDisk(rng=self.rng)
        return self.disks[name]

    async def init(self):
        """Give the fresh fleet its first configuration."""
        async with trio.open_nursery() as nursery:
            network = self.network.endpoint(ADMIN_IP)
            client = PeerClient(network=network, host="admin", nursery=nursery)
            result = await init_fleet(
                client, hosts={GROUP: self.names}, addresses=self.addresses, timeout_s=5
            )
            nursery.cancel_scope.cancel()
        return result

    async def form(self):
        """Start all hosts, initialise them and return the first leader."""
        for name in self.names:
            await self.start(name)
        assert await self.init() is None
        return await self.leader()

    def isolate(self, name):
        for other in self.names:
            if other != name:
                self.network.cut(self.addresses[name].ip, self.addresses[other].ip)

    def heal(self):
        for one in self.names:
            for other in self.names:
                self.network.restore(self.addresses[one].ip, self.addresses[other].ip)

    async def leader(self, *, among=None, timeout_s=30):
        """Wait for a host that leads and can read; return its name."""
        with trio.fail_after(timeout_s):
            while True:
                for name in among or list(self.sets):
                    group = self.group(name)
                    if group.is_leader and await group.read_barrier(timeout_s=1) is None:
                        return name
                await trio.sleep(0.05)

    async def propose(self, command, *, timeout_s=30):
        """Send a command to leaders until one has committed it; return the result."""
        with trio.fail_after(timeout_s):
            while True:
                name = await self.leader(timeout_s=timeout_s)
                result = await self.group(name).propose(command, timeout_s=2)
                if not is_failure(result):
                    return result

    def ticks(self, interval_s):
        return Timers().subscribe("test", interval_s)

    async def wait(self, condition, *, timeout_s=30):
        with trio.fail_after(timeout_s):
            async for _ in self.ticks(0.05):
                if condition():
                    return

"""Run control hosts on an in-memory network and in-memory disks, for the tests of this package."""

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


def others_of(cluster, *names):
    return [name for name in cluster.names if name not in names]


class Register:
    """State machine that records each command with its index; a repeated command has one effect."""

    def __init__(self):
        self.applied = []
        self.effects = {}
        self.restored = 0
        self.has_all_files = True

    def apply(self, index, command):
        self.applied.append((index, command))
        self.effects.setdefault(command, index)
        return self.effects[command]

    def is_complete(self):
        return self.has_all_files

    def snapshot(self):
        return msgspec.msgpack.encode(self.effects)

    def restore(self, data):
        self.restored += 1
        self.effects = msgspec.msgpack.decode(data, type=dict[bytes, int])


class Cluster:
    """Cluster of hosts a, b, c, ... that can be started, crashed and replaced."""

    def __init__(
        self,
        nursery,
        *,
        size=3,
        seed=1,
        make_machine=lambda host: Register(),
        make_telemetry=lambda host: None,
        make_disk=MemoryDisk,
    ):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(seed=seed)
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.addresses = {
            name: Address(f"10.0.0.{i + 1}", 7000) for i, name in enumerate(self.names)
        }
        self.make_disk = make_disk
        self.disks = {name: make_disk(rng=self.rng) for name in self.names}
        self.group_sets = {}
        self.machines = {}
        self.scopes = {}
        self.make_machine = make_machine
        self.make_telemetry = make_telemetry

    @property
    def storage_ids(self):
        return {name: self.group(name)._state.storage_id for name in self.group_sets}

    def group(self, name):
        return self.group_sets[name][GROUP]

    async def start(self, name):
        """Start the process of a host with a state machine in its initial state."""
        await self.nursery.start(self._run, name)

    async def _run(self, name, task_status):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                network = self.network.endpoint(self.addresses[name].ip)
                machine = self.make_machine(name)
                groups = GroupSet(
                    host=name,
                    addresses=self.addresses,
                    client=PeerClient(network=network, host=name, nursery=nursery),
                    disk=self.disks[name],
                    machines={GROUP: machine},
                    timers=Timers(seed=1),
                    rng=self.rng,
                    telemetry=self.make_telemetry(name),
                    **self.make_options(name),
                )
                self.group_sets[name] = groups
                self.machines[name] = machine
                self.scopes[name] = scope
                await nursery.start(groups.run)

                async def serve(task_status):
                    await serve_peers(
                        network,
                        self.addresses[name],
                        groups.get_handlers(),
                        host=name,
                        task_status=task_status,
                    )

                await nursery.start(serve)
                nursery.start_soon(self.run_beside, name)
                task_status.started()

    def make_options(self, name):
        """Return the remaining options of the groups of a host."""
        return {"hosts": {GROUP: self.names}}

    async def run_beside(self, name):
        """Run what a host does beside its groups, until its process ends."""

    async def crash(self, name, *, torn=True):
        """Crash a process; its disk loses the data that is not synced."""
        self.scopes[name].cancel()
        self.network.reset_host(self.addresses[name].ip)
        del self.group_sets[name]
        # Wait until the tasks of the process have ended at their next checkpoint.
        await trio.testing.wait_all_tasks_blocked()
        self.disks[name].crash(torn=torn)

    async def replace(self, name):
        """Restart a host with an empty disk."""
        if name in self.group_sets:
            await self.crash(name)
        self.empty_disk(name)
        await self.start(name)

    def empty_disk(self, name):
        self.disks[name] = self.make_disk(rng=self.rng)
        return self.disks[name]

    async def init(self):
        """Initialise the new fleet with its first member lists."""
        async with trio.open_nursery() as nursery:
            network = self.network.endpoint(ADMIN_IP)
            client = PeerClient(network=network, host="admin", nursery=nursery)
            result = await init_fleet(
                client, hosts={GROUP: self.names}, addresses=self.addresses, timeout_s=5
            )
            nursery.cancel_scope.cancel()
        return result

    async def start_all(self):
        """Start all hosts, initialise them and return the name of the first leader."""
        for name in self.names:
            await self.start(name)
        assert await self.init() is None
        return await self.wait_for_leader()

    def isolate(self, name):
        for other in self.names:
            if other != name:
                self.network.cut(self.addresses[name].ip, self.addresses[other].ip)

    def heal(self):
        for one in self.names:
            for other in self.names:
                self.network.restore(self.addresses[one].ip, self.addresses[other].ip)

    async def wait_for_leader(self, *, among=None, timeout_s=30):
        """Wait for a leader that passes a read barrier; return its name."""
        with trio.fail_after(timeout_s):
            while True:
                for name in among or list(self.group_sets):
                    if name not in self.group_sets:
                        # It was ended while another one was asked.
                        continue
                    group = self.group(name)
                    if group.is_leader and await group.read_barrier(timeout_s=1) is None:
                        return name
                await trio.sleep(0.05)

    async def propose(self, command, *, timeout_s=30):
        """Propose a command, with retries, until a leader has committed it; return the result."""
        with trio.fail_after(timeout_s):
            while True:
                name = await self.wait_for_leader(timeout_s=timeout_s)
                if name not in self.group_sets:
                    continue
                result = await self.group(name).propose(command, timeout_s=2)
                if not is_failure(result):
                    return result

    def subscribe_ticks(self, interval_s):
        return Timers().subscribe("test", interval_s)

    async def wait_until(self, condition, *, timeout_s=30):
        with trio.fail_after(timeout_s):
            async for _ in self.subscribe_ticks(0.05):
                if condition():
                    return

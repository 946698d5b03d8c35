"""In-process test fleet of control hosts with the replicated log, and entry nodes."""

from __future__ import annotations

import json
import random

import trio
import trio.testing

from marigoldtrail.consensus import GroupSet, init_fleet
from marigoldtrail.control import ConfigMachine, ControlService
from marigoldtrail.fleet import ControlClient, FleetView, SyncLoop, groups_of
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.schema.generated.control import SetService, SubmitManifest
from marigoldtrail.schema.generated.settings import ControlHost, Settings
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryDisk, MemoryNetwork
from marigoldtrail.timers import Timers


class Node:
    """One node of the test fleet."""

    def __init__(self, fleet: Fleet, host: str, *, is_control: bool) -> None:
        self.fleet = fleet
        self.host = host
        self.ip = fleet.ips[host]
        self.incarnation = 0
        self.observed = []
        roles = ["entry", "control"] if is_control else ["entry"]
        self.settings = Settings(
            host=host,
            data_centre="nbo-1",
            roles=roles,
            peer_address=f"{self.ip}:7000",
            api_address=f"{self.ip}:8000",
            control_hosts=fleet.control_hosts,
        )
        self.is_control = is_control
        self.disk = MemoryDisk(rng=fleet.rng)

    @property
    def group(self):
        return self.groups["config"]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the node with no state except its disk."""
        await nursery.start(self._run)

    async def _run(self, *, task_status) -> None:
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                self._build(nursery)
                if self.is_control:
                    await nursery.start(self.groups.run)
                    await nursery.start(self._serve)
                    await nursery.start(self.service.run)
                await nursery.start(self.loop.run)
                task_status.started()

    def _build(self, nursery: trio.Nursery) -> None:
        self.incarnation += 1
        fleet = self.fleet
        timers = fleet.timers
        self.view = FleetView(timers=timers, control_hosts=fleet.control_hosts)
        endpoint = fleet.network.endpoint(self.ip)
        peers = PeerClient(network=endpoint, host=self.host, nursery=nursery)
        groups = groups_of(self.settings)[:1]
        self.client = ControlClient(peers=peers, view=self.view, timers=timers, groups=groups)
        self.loop = SyncLoop(
            settings=self.settings,
            incarnation=self.incarnation,
            view=self.view,
            client=self.client,
            timers=timers,
            observations=lambda: self.observed,
        )
        if not self.is_control:
            return
        self.machine = ConfigMachine()
        self.groups = GroupSet(
            host=self.host,
            hosts=fleet.members,
            addresses=fleet.addresses,
            client=peers,
            disk=self.disk,
            machines={"config": self.machine},
            timers=timers,
            rng=fleet.rng,
        )
        self.service = ControlService(
            host=self.host,
            group=self.group,
            machine=self.machine,
            timers=timers,
            telemetry=Telemetry(host=self.host, timers=timers),
            read_hosts=fleet.read_hosts,
            send_order=fleet.send_order,
        )

    async def _serve(self, *, task_status) -> None:
        await serve_peers(
            self.fleet.network.endpoint(self.ip),
            Address(self.ip, 7000),
            self.groups.get_handlers() | self.service.get_handlers(),
            host=self.host,
            task_status=task_status,
        )

    async def stop(self) -> None:
        self.scope.cancel()
        self.fleet.network.reset_host(self.ip)
        await trio.testing.wait_all_tasks_blocked()
        self.disk.crash()


class Fleet:
    """Test fleet of control hosts c1, c2, ... and entry nodes e1, e2, ..."""

    def __init__(self, nursery, *, controls=3, entries=0, read_hosts=None, send_order=None):
        self.nursery = nursery
        self.timers = Timers(wall_clock=lambda: 1_000_000.0 + trio.current_time(), seed=1)
        self.network = MemoryNetwork(seed=1)
        self.rng = random.Random(1)
        self.read_hosts = read_hosts
        self.send_order = send_order
        names = [f"c{n}" for n in range(1, controls + 1)]
        hosts = names + [f"e{n}" for n in range(1, entries + 1)]
        self.ips = {host: f"10.0.0.{number}" for number, host in enumerate(hosts, start=1)}
        self.addresses = {name: Address(self.ips[name], 7000) for name in names}
        self.members = {"config": names}
        self.control_hosts = [
            ControlHost(host=name, data_centre="nbo-1", peer_address=str(self.addresses[name]))
            for name in names
        ]
        self.nodes = {host: Node(self, host, is_control=host in names) for host in hosts}

    async def start(self) -> None:
        """Start all nodes, initialise the log, and wait for the first leader."""
        for node in self.nodes.values():
            await node.start(self.nursery)
        async with trio.open_nursery() as nursery:
            endpoint = self.network.endpoint("10.0.9.9")
            client = PeerClient(network=endpoint, host="admin", nursery=nursery)
            failure = await init_fleet(
                client, hosts=self.members, addresses=self.addresses, timeout_s=5
            )
            assert failure is None
            nursery.cancel_scope.cancel()
        await self.wait(lambda: self.leader is not None)

    async def wait(self, condition) -> None:
        """Wait at most 60 s until a condition holds."""
        with trio.fail_after(60):
            async for _ in self.timers.subscribe("test", 0.02):
                if condition():
                    return

    @property
    def leader(self) -> str | None:
        """Leader in the newest term; None if there is none."""
        leaders = [node for node in self.nodes.values() if node.is_control and node.group.is_leader]
        return max(leaders, key=lambda node: node.group.term).host if leaders else None

    @property
    def machine(self) -> ConfigMachine:
        return self[self.leader].machine

    def followers(self) -> list[str]:
        return [host for host in self.members["config"] if host != self.leader]

    async def move_leader(self) -> str:
        """Transfer leadership and return the new leader."""
        old = self.leader
        await self[old].group.transfer_leadership(timeout_s=10)
        await self.wait(lambda: self.leader not in (None, old))
        return self.leader

    def __getitem__(self, host: str) -> Node:
        return self.nodes[host]

    def isolate(self, host: str, *, both_ways: bool = True) -> None:
        """Drop messages from and to a host without errors; one way, only those that it sends."""
        for other, ip in self.ips.items():
            if other != host:
                self.network.cut(self.ips[host], ip, both_ways=both_ways)

    def rejoin(self, host: str) -> None:
        for other, ip in self.ips.items():
            if other != host:
                self.network.restore(self.ips[host], ip)

    async def submit(self, host: str, document: bytes, operator: str = "eve"):
        request = SubmitManifest(document=document, operator=operator)
        return await self[host].client.submit_manifest(request)

    async def set_service(self, host: str, name: str, state: str, number: int):
        request = SetService(
            kind="data_centre", name=name, state=state, number=number, operator="eve"
        )
        return await self[host].client.set_service(request)


def manifest(number: int, **changes: object) -> bytes:
    """Return a manifest with four engines that may serve one model."""
    engines = [
        {
            "name": f"llm-{n}",
            "pool": "llm",
            "kind": "engine",
            "address": f"10.1.0.{n}:8000",
            "data_centre": f"nbo-{1 + n % 2}",
            "host": f"gpu-{n}",
            "capacity": 8,
            "models": ["quill"],
            "checks_fencing": True,
        }
        for n in range(1, 5)
    ]
    document = {
        "number": number,
        "pipelines": [
            {
                "name": "quotes",
                "stages": [{"name": "write", "kind": "generate", "pool": "llm", "model": "quill"}],
            }
        ],
        "models": [{"name": "quill", "version": "v1", "min_warm": 0}],
        "upstreams": engines,
    }
    return json.dumps({**document, **changes}).encode()

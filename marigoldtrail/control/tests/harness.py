"""A fleet in one process: a small stand-in of the log group, control hosts, entry nodes."""

from __future__ import annotations

import json

import trio

from marigoldtrail.control import ConfigMachine, ControlService
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import ControlClient, FleetView, SyncLoop, groups_of
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.schema.generated.control import SetService, SubmitManifest
from marigoldtrail.schema.generated.settings import ControlHost, Settings
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

COMMIT_S = 0.005


class FakeLog:
    """One log that all members share; a test elects its leader."""

    def __init__(self, *, network: MemoryNetwork, ips: dict[str, str]) -> None:
        self.network = network
        self.ips = ips
        self.entries: list[bytes] = []
        self.groups: dict[str, FakeGroup] = {}
        self.term = 0

    def elect(self, host: str) -> None:
        """Make a host the leader of a new term; members that it reaches learn of it."""
        self.term += 1
        for name, group in self.groups.items():
            if name == host or self.is_linked(host, name):
                group.term = self.term
                group.leader = host
                group.changed.set()
                group.changed = trio.Event()
        self.groups[host].catch_up()

    def is_linked(self, a: str, b: str) -> bool:
        there = self.network.link(self.ips[a], self.ips[b])
        back = self.network.link(self.ips[b], self.ips[a])
        return a == b or not (there.cut or back.cut)

    def leads(self, group: FakeGroup) -> bool:
        linked = [name for name in self.groups if self.is_linked(group.host, name)]
        newest = max(self.groups[name].term for name in linked)
        return group.is_leader and group.term == newest and 2 * len(linked) > len(self.groups)


class FakeGroup:
    """A member of the log group with the interface of `marigoldtrail.consensus.Group`."""

    def __init__(self, *, log: FakeLog, host: str, machine: ConfigMachine) -> None:
        self.log = log
        self.host = host
        self.machine = machine
        self.leader: str | None = None
        self.term = 0
        self.applied_index = 0
        self.changed = trio.Event()
        log.groups[host] = self

    @property
    def is_leader(self) -> bool:
        return self.leader == self.host

    def catch_up(self) -> None:
        while self.applied_index < len(self.log.entries):
            self.applied_index += 1
            self.machine.apply(self.applied_index, self.log.entries[self.applied_index - 1])

    async def _lose(self, timeout_s: float) -> Failure:
        await trio.sleep(min(timeout_s, 1.0))
        if not self.log.leads(self):
            self.leader = None
            self.changed.set()
            self.changed = trio.Event()
        return Failure(reason=Reason.NO_QUORUM, run_state=RunState.NOT_RUN, step="fake")

    async def propose(self, command: bytes, *, timeout_s: float) -> object:
        if not self.is_leader:
            return Failure(
                reason=Reason.NOT_LEADER,
                run_state=RunState.NOT_RUN,
                step="fake",
                hint=self.leader or "",
            )
        if not self.log.leads(self):
            return await self._lose(timeout_s)
        self.log.entries.append(command)
        index = len(self.log.entries)
        while self.applied_index < index - 1:
            self.catch_up()
        self.applied_index = index
        result = self.machine.apply(index, command)
        await trio.sleep(COMMIT_S)
        return result

    async def read_barrier(self, *, timeout_s: float) -> Failure | None:
        if not self.log.leads(self):
            return await self._lose(timeout_s)
        await trio.sleep(COMMIT_S)
        return None

    async def wait_leader(self) -> None:
        while not self.is_leader:
            await self.changed.wait()

    async def wait_not_leader(self) -> None:
        while self.is_leader:
            await self.changed.wait()


class Node:
    """One node of the fleet."""

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
        self.group = None
        if is_control:
            self.group = FakeGroup(log=fleet.log, host=host, machine=ConfigMachine())
            self.service = ControlService(
                host=host,
                group=self.group,
                machine=self.group.machine,
                timers=fleet.timers,
                telemetry=Telemetry(host=host, timers=fleet.timers),
                read_hosts=fleet.read_hosts,
                send_order=fleet.send_order,
            )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the process with no state but the log."""
        self.incarnation += 1
        endpoint = self.fleet.network.endpoint(self.ip)
        timers = self.fleet.timers
        self.view = FleetView(timers=timers, control_hosts=self.fleet.control_hosts)
        peers = PeerClient(network=endpoint, host=self.host, nursery=nursery)
        self.client = ControlClient(
            peers=peers, view=self.view, timers=timers, groups=groups_of(self.settings)
        )
        self.loop = SyncLoop(
            settings=self.settings,
            incarnation=self.incarnation,
            view=self.view,
            client=self.client,
            timers=timers,
            observations=lambda: self.observed,
        )
        nursery.start_soon(self.run, endpoint)

    async def run(self, endpoint) -> None:
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                if self.group is not None:
                    address = Address(self.ip, 7000)
                    handlers = self.service.handlers()
                    await nursery.start(
                        lambda task_status: serve_peers(
                            endpoint, address, handlers, host=self.host, task_status=task_status
                        )
                    )
                    nursery.start_soon(self.service.run)
                nursery.start_soon(self.loop.run)

    def stop(self) -> None:
        self.scope.cancel()
        self.fleet.network.reset_host(self.ip)


class Fleet:
    """Control hosts c1, c2, ... and entry nodes e1, e2, ..."""

    def __init__(self, nursery, *, controls=3, entries=0, read_hosts=None, send_order=None):
        self.timers = Timers(wall=lambda: 1_000_000.0 + trio.current_time(), seed=1)
        self.network = MemoryNetwork(seed=1)
        self.read_hosts = read_hosts
        self.send_order = send_order
        names = [f"c{n}" for n in range(1, controls + 1)]
        hosts = names + [f"e{n}" for n in range(1, entries + 1)]
        self.ips = {host: f"10.0.0.{number}" for number, host in enumerate(hosts, start=1)}
        self.control_hosts = [
            ControlHost(host=name, data_centre="nbo-1", peer_address=f"{self.ips[name]}:7000")
            for name in names
        ]
        self.log = FakeLog(network=self.network, ips={name: self.ips[name] for name in names})
        self.nodes = {host: Node(self, host, is_control=host in names) for host in hosts}
        self.nursery = nursery
        for node in self.nodes.values():
            node.start(nursery)

    def __getitem__(self, host: str) -> Node:
        return self.nodes[host]

    def isolate(self, host: str, *, both_ways: bool = True) -> None:
        """Cut a host off silently; one way only loses what it sends."""
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
    """Return a manifest of four engines that may serve one model."""
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

"""A fleet in one trio loop: real nodes on an in-memory network with in-memory disks."""

from __future__ import annotations

import random
from functools import partial

import msgspec
import trio

from marigoldtrail.consensus import init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import groups_of, new_request_id, record_groups_of
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.node import Node, run_node
from marigoldtrail.schema.generated.control import SetService, SubmitManifest, SubmitReply
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import ControlHost, Settings
from marigoldtrail.serving import Answer, PipelineRequest, compute_digest
from marigoldtrail.standins import StandinFleet
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing.disk import MemoryDisk
from marigoldtrail.testing.network import MemoryNetwork
from marigoldtrail.timers import Timers

PEER_PORT = 7000
API_PORT = 8000
WORLD_IP = "10.9.0.1"
INIT_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.25
# Virtual wall time at the start of every run, so that timestamps are reproducible.
START_WALL_S = 1_800_000_000.0


class CollectedTokens:
    """
    Collects the tokens of a streamed answer.

    Attributes
    ----------
    parts : list of tuple
        Position of the first token and text, in the order of arrival.
    """

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: list[tuple[int, str]] = []

    async def token(self, first: int, text: str) -> None:
        """Append consecutive tokens."""
        self.parts.append((first, text))

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(text for _, text in self.parts)


class MemoryFleet:
    """
    Nodes, their disks, the network between them, and the upstreams.

    Parameters
    ----------
    manifest : Manifest
        Manifest that defines the upstreams; it is not submitted automatically.
    data_centres : list of str
        Data centre of each host, in order.
    control_hosts : int
        Number of hosts with a disk, which are the first ones.
    seed : int
        Seed of all random choices.
    nursery : trio.Nursery
        Runs the nodes.

    Attributes
    ----------
    standin_fleet : StandinFleet
        Stand-ins of the upstreams.
    nodes : dict of str to Node
        Running nodes by host.
    disks : dict of str to MemoryDisk
        Disks of the control hosts.
    wall_offsets : dict of str to float
        Error of the wall clock of each host in seconds; 0 if missing.
    """

    __slots__ = (
        "network",
        "timers",
        "standin_fleet",
        "nodes",
        "disks",
        "settings",
        "wall_offsets",
        "_rng",
        "_nursery",
        "_start_count",
    )

    def __init__(
        self,
        *,
        manifest: Manifest,
        data_centres: list[str],
        control_hosts: int,
        seed: int,
        nursery: trio.Nursery,
    ) -> None:
        self._rng = random.Random(seed)
        self.network = MemoryNetwork(seed=seed)
        self.timers = make_virtual_timers(seed)
        self.standin_fleet = StandinFleet(
            manifest=manifest, network=self.network.endpoint(WORLD_IP), timers=self.timers
        )
        self.settings = build_memory_settings(data_centres, control_hosts)
        self.nodes: dict[str, Node] = {}
        self.wall_offsets: dict[str, float] = {}
        self.disks = {
            cfg.host: MemoryDisk(rng=self._rng)
            for cfg in self.settings.values()
            if "control" in cfg.roles
        }
        self._nursery = nursery
        self._start_count = 0

    def ip_of(self, host: str) -> str:
        """Return the IP address of a host."""
        return Address.parse(self.settings[host].peer_address).ip

    async def start_world(self) -> None:
        """Start the upstreams."""
        await self._nursery.start(self.standin_fleet.run)

    async def start_node(self, host: str) -> Node:
        """
        Start the process of a host.

        Parameters
        ----------
        host : str
            The host; its disk retains synced data from before a kill.

        Returns
        -------
        Node
            The running node.
        """
        self._start_count += 1
        cfg = self.settings[host]
        timers = Timers(
            wall_clock=lambda: START_WALL_S
            + trio.current_time()
            + self.wall_offsets.get(host, 0.0),
            seed=self._start_count,
        )
        run = partial(
            run_node,
            cfg,
            network=self.network.endpoint(self.ip_of(host)),
            timers=timers,
            telemetry=Telemetry(host=host, timers=timers),
            disk=self.disks.get(host),
            rng=random.Random(self._rng.random()),
            serve_http=False,
        )
        node: Node = await self._nursery.start(run)
        self.nodes[host] = node
        return node

    async def start(self) -> None:
        """Start upstreams and nodes, and initialise the log groups."""
        await self.start_world()
        for host in self.settings:
            await self.start_node(host)
        cfg = next(iter(self.settings.values()))
        client = PeerClient(
            network=self.network.endpoint(WORLD_IP), host="init", nursery=self._nursery
        )
        failure = await init_fleet(
            client,
            hosts={group.name: list(group.members) for group in groups_of(cfg)},
            addresses={peer.host: Address.parse(peer.peer_address) for peer in cfg.control_hosts},
            timeout_s=INIT_TIMEOUT_S,
        )
        assert failure is None, failure

    def kill(self, host: str, *, torn: bool = False) -> None:
        """
        Kill the process of a host; unsynced data on its disk is lost.

        Parameters
        ----------
        host : str
            The host.
        torn : bool
            Whether a random part of the unsynced bytes is kept.
        """
        node = self.nodes.pop(host, None)
        if node is not None:
            node.kill()
        self.network.reset_host(self.ip_of(host))
        if host in self.disks:
            self.disks[host].crash(torn=torn)

    def replace_disk(self, host: str) -> None:
        """Replace the disk of a host that is not running by an empty one."""
        self.disks[host] = MemoryDisk(rng=self._rng)

    def isolate(self, host: str, *, inbound: bool = True, outbound: bool = True) -> None:
        """Partition a host silently from all other hosts and from the upstreams."""
        for other in self._other_ips(host):
            if outbound:
                self.network.cut(self.ip_of(host), other, both_ways=False)
            if inbound:
                self.network.cut(other, self.ip_of(host), both_ways=False)

    def _other_ips(self, host: str) -> list[str]:
        """Return the IP addresses of all other hosts and those on which the upstreams listen."""
        upstreams = {Address.parse(up.address).ip for up in self.standin_fleet.manifest.upstreams}
        others = {*map(self.ip_of, self.settings), WORLD_IP, *upstreams}
        return sorted(others - {self.ip_of(host)})

    def rejoin(self, host: str) -> None:
        """Restore all links of a host."""
        for other in self._other_ips(host):
            self.network.restore(self.ip_of(host), other)

    async def submit_manifest(
        self, host: str, document: bytes, operator: str = "operator"
    ) -> SubmitReply | Failure:
        """Submit a manifest through a node."""
        request = SubmitManifest(document=document, operator=operator)
        return await self.nodes[host].parts.control.submit_manifest(request)

    async def set_service(
        self, host: str, kind: str, name: str, state: str, number: int, operator: str = "operator"
    ) -> SubmitReply | Failure:
        """Take a target out of service or back in through a node."""
        fields = {"kind": kind, "name": name, "state": state, "number": number}
        request = msgspec.convert({**fields, "operator": operator}, SetService)
        return await self.nodes[host].parts.control.set_service(request)

    async def wait_ready(self, *, timeout_s: float = 60.0) -> None:
        """
        Wait until every running node has the manifest and sees its upstreams as warm.

        Parameters
        ----------
        timeout_s : float
            Timeout in virtual seconds.

        Raises
        ------
        trio.TooSlowError
            If the timeout expires.
        """
        reporting = [up.name for up in self.standin_fleet.manifest.upstreams if up.reports_load]
        with trio.fail_after(timeout_s):
            async for _ in self.timers.subscribe("testing.ready", POLL_INTERVAL_S):
                if all(is_ready(node, reporting) for node in self.nodes.values()):
                    return

    async def send(
        self,
        host: str,
        pipeline: str,
        client_account: str,
        value: object,
        *,
        key: str = "",
        deadline_s: float = 5.0,
        sink: CollectedTokens | None = None,
        request_id: str = "",
    ) -> Answer | Failure:
        """
        Send a request to an entry as a caller does.

        Parameters
        ----------
        host : str
            The entry.
        pipeline, client_account : str
            Pipeline to run and account of the caller.
        value : object
            JSON input.
        key : str
            Idempotency key; empty for none.
        deadline_s : float
            Deadline relative to now in seconds.
        sink : CollectedTokens or None
            Receives the tokens of a streamed answer.
        request_id : str
            Id of the request; empty for a new one.

        Returns
        -------
        Answer or Failure
            Response of the entry.
        """
        node = self.nodes[host]
        assert node.entry is not None
        request_id = request_id or new_request_id(client_account, record_groups_of(node.parts.cfg))
        req = PipelineRequest(
            request_id=request_id,
            pipeline=pipeline,
            client_account=client_account,
            idempotency_key=key or request_id,
            deadline=self.timers.now() + deadline_s,
            input=value,
            digest=compute_digest([pipeline, value]),
            stream=sink is not None,
        )
        return await node.entry.server.run_request(req, sink)


def make_virtual_timers(seed: int) -> Timers:
    """
    Build timers whose wall time follows the virtual clock.

    Parameters
    ----------
    seed : int
        Seed of the jitter.

    Returns
    -------
    Timers
        Timers with reproducible times.
    """
    return Timers(wall_clock=lambda: START_WALL_S + trio.current_time(), seed=seed)


def is_ready(node: Node, upstreams: list[str]) -> bool:
    """
    Return whether a node can serve.

    Parameters
    ----------
    node : Node
        The node.
    upstreams : list of str
        Upstreams that must be warm in its view.

    Returns
    -------
    bool
        True if its view is current, has a manifest and shows the upstreams as warm.
    """
    view = node.parts.view
    if not view.is_current() or view.manifest is None:
        return False
    statuses = [view.upstream_status(name) for name in upstreams]
    return all(status is not None and status.state == "warm" for status in statuses)


def build_memory_settings(data_centres: list[str], control_hosts: int) -> dict[str, Settings]:
    """
    Build the settings of hosts ``h1``, ``h2`` and so on.

    Parameters
    ----------
    data_centres : list of str
        Data centre of each host.
    control_hosts : int
        Number of hosts with a disk, which are the first ones.

    Returns
    -------
    dict of str to Settings
        Settings by host.
    """
    names = [f"h{number + 1}" for number in range(len(data_centres))]
    peers = [f"10.0.0.{number + 1}:{PEER_PORT}" for number in range(len(names))]
    members = [
        ControlHost(host=names[i], data_centre=data_centres[i], peer_address=peers[i])
        for i in range(control_hosts)
    ]
    return {
        name: Settings(
            host=name,
            data_centre=data_centres[index],
            roles=["entry", "control"] if index < control_hosts else ["entry"],
            peer_address=peers[index],
            api_address=f"10.0.0.{index + 1}:{API_PORT}",
            data_folder="data" if index < control_hosts else "",
            control_hosts=members,
        )
        for index, name in enumerate(names)
    }

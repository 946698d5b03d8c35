"""What hosts of both roles share."""

from __future__ import annotations

import random

import trio

from marigoldtrail.net import Address, Network, PeerClient
from marigoldtrail.registry import FleetPicture, HostAgent, peer_name
from marigoldtrail.relay import ConnectionPool
from marigoldtrail.relay.endpoints import Handler, serve_endpoint
from marigoldtrail.routing import Limits
from marigoldtrail.schema.generated.registry import HostReport
from marigoldtrail.schema.generated.site import SiteSettings
from marigoldtrail.site.adapter import Adapter
from marigoldtrail.timers import Timers


class SiteParts:
    """
    Parts of a host in either role.

    Parameters
    ----------
    cfg : SiteSettings
        Settings of the host.
    adapter : Adapter
        The platform.
    network : Network
        Opens and accepts connections.
    timers : Timers
        Timer service.
    rng : random.Random
        Source of random choices.
    nursery : trio.Nursery
        Runs the tasks of connections.
    """

    __slots__ = (
        "cfg",
        "adapter",
        "network",
        "timers",
        "rng",
        "nursery",
        "peers",
        "picture",
        "pool",
        "agent",
    )

    def __init__(
        self,
        *,
        cfg: SiteSettings,
        adapter: Adapter,
        network: Network,
        timers: Timers,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self.cfg = cfg
        self.adapter = adapter
        self.network = network
        self.timers = timers
        self.rng = rng
        self.nursery = nursery
        self.peers = PeerClient(network=network, host=cfg.host, nursery=nursery)
        self.picture = FleetPicture(parse_document=adapter.parse_document, timers=timers)
        self.pool = ConnectionPool(network=network, timers=timers, dialect=adapter.dialect)
        self.agent = HostAgent(
            identity=HostReport(
                host=cfg.host,
                incarnation=timers.wall_ms(),
                role=cfg.role,
                data_centre=cfg.data_centre,
                region=cfg.region,
                peer_address=self.own_name if cfg.role == "control" else "",
                request_address=cfg.request_address,
            ),
            picture=self.picture,
            peers=self.peers,
            timers=timers,
            seeds=self.seed_names(),
        )

    @property
    def own_name(self) -> str:
        """Name of this host among the control hosts."""
        return peer_name(f"{self.cfg.ip}:0", self.cfg.internal_ports[0])

    def seed_names(self) -> list[str]:
        """Return the names of the seeds."""
        port = self.cfg.internal_ports[0]
        return sorted(peer_name(seed, port) for seed in self.cfg.seeds)

    async def serve_http(
        self,
        address: str,
        handler: Handler,
        limits: Limits,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve a small endpoint until cancelled."""

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_endpoint(stream, handler, limits)

        await self.network.listen(Address.parse(address), serve, task_status=task_status)

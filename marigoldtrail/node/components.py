"""Components shared by the roles of a node."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from marigoldtrail.fleet import ControlClient, FleetView, groups_of
from marigoldtrail.net import Network, PeerClient
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.slots import SlotClient
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import UpstreamClient


class NodeParts:
    """
    Components that a node has in any role.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    network : Network
        Opens and accepts connections.
    timers : Timers
        Timer service.
    telemetry : Telemetry
        Spans, metrics and decisions.
    rng : random.Random
        Source of randomness.
    nursery : trio.Nursery
        Runs background tasks, such as those of peer connections.
    """

    __slots__ = (
        "cfg",
        "network",
        "timers",
        "telemetry",
        "rng",
        "nursery",
        "incarnation",
        "peers",
        "view",
        "control",
        "slots",
        "upstreams",
        "on_evidence",
    )

    def __init__(
        self,
        *,
        cfg: Settings,
        network: Network,
        timers: Timers,
        telemetry: Telemetry,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self.cfg = cfg
        self.network = network
        self.timers = timers
        self.telemetry = telemetry
        self.rng = rng
        self.nursery = nursery
        # Set by the entry role, which stops calling the upstream at once and informs its owner.
        self.on_evidence: Callable[[str, str, str, str], None] | None = None
        self.incarnation = timers.wall_ms()
        self.peers = PeerClient(network=network, host=cfg.host, nursery=nursery)
        self.view = FleetView(timers=timers, control_hosts=cfg.control_hosts)
        self.control = ControlClient(
            peers=self.peers, view=self.view, timers=timers, groups=groups_of(cfg)
        )
        self.slots = SlotClient(
            host=cfg.host,
            incarnation=self.incarnation,
            view=self.view,
            peers=self.peers,
            timers=timers,
        )
        self.upstreams = UpstreamClient(
            network=network,
            timers=timers,
            view=self.view,
            telemetry=telemetry,
            on_evidence=self._report_evidence,
        )

    def _report_evidence(self, upstream: str, instance: str, state: str, reason: str) -> None:
        if self.on_evidence is not None:
            self.on_evidence(upstream, instance, state, reason)
        else:
            self.nursery.start_soon(self.slots.report, upstream, instance, state, reason)

    def find_upstream(self, name: str) -> Upstream | None:
        """
        Return an upstream from the manifest in force.

        Parameters
        ----------
        name : str
            Name of the upstream.

        Returns
        -------
        Upstream or None
            None if the manifest does not contain it.
        """
        manifest = self.view.manifest
        if manifest is None:
            return None
        return next((upstream for upstream in manifest.upstreams if upstream.name == name), None)

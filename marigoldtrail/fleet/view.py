"""A node's view of the fleet, and the lease that limits its use."""

from __future__ import annotations

import hashlib
import logging
import zlib
from collections.abc import Iterable

import msgspec

from marigoldtrail.control.partitions import partition_of
from marigoldtrail.net import Address
from marigoldtrail.schema.generated.control import (
    NodeStatus,
    OwnerAssignment,
    ServiceState,
    SyncReply,
    UpstreamStatus,
)
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import ControlHost
from marigoldtrail.timers import Timers

# Lease of a view. This long after its commit, a change is in force everywhere: each node has
# received it or has stopped relying on its view.
VIEW_LEASE_S = 5.0

_log = logging.getLogger(__name__)


class FleetView:
    """
    View of one node, built from the replies to its Syncs.

    All lookups are synchronous reads of dictionaries that are updated when a reply arrives.

    Parameters
    ----------
    timers : Timers
        Clock for the lease of the view.
    control_hosts : iterable of ControlHost
        Control hosts, whose addresses are needed before the first reply.

    Attributes
    ----------
    manifest : Manifest or None
        The manifest in force; None if none was received.
    number : int
        Number of the manifest; 0 if there is none.
    digest : str
        SHA-256 of the manifest's document.
    nodes : list of NodeStatus
        Status of the nodes as distributed by the leader.
    """

    __slots__ = (
        "manifest",
        "number",
        "digest",
        "nodes",
        "term",
        "revisions",
        "_timers",
        "_current_until",
        "_addresses",
        "_out_of_service",
        "_services",
        "_leaving_hosts",
        "_upstreams",
        "_load_index",
        "_loads",
        "_owners",
        "_node_index",
    )

    def __init__(self, *, timers: Timers, control_hosts: Iterable[ControlHost] = ()) -> None:
        self.manifest: Manifest | None = None
        self.number = 0
        self.digest = ""
        self.nodes: list[NodeStatus] = []
        self.term = 0
        self.revisions: dict[str, int] = {}
        self._timers = timers
        self._current_until = float("-inf")
        self._addresses = {peer.host: Address.parse(peer.peer_address) for peer in control_hosts}
        self._out_of_service: frozenset[tuple[str, str]] = frozenset()
        self._services: list[ServiceState] = []
        self._leaving_hosts: frozenset[str] = frozenset()
        self._upstreams: dict[str, UpstreamStatus] = {}
        self._load_index: dict[str, int] = {}
        self._loads = b""
        self._owners: dict[int, OwnerAssignment] = {}
        self._node_index: dict[str, NodeStatus] = {}

    def is_current(self) -> bool:
        """
        Tell whether the node may rely on this view.

        Returns
        -------
        bool
            True until `VIEW_LEASE_S` seconds after the last confirmed Sync was sent.
        """
        return self._timers.now() < self._current_until

    def current_until(self) -> float:
        """
        Return the time at which the view stops being current.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        return self._current_until

    def is_out_of_service(self, kind: str, name: str) -> bool:
        """
        Tell whether operators have taken a target out of service.

        Parameters
        ----------
        kind : str
            ``"data_centre"``, ``"host"`` or ``"upstream"``.
        name : str
            The target.

        Returns
        -------
        bool
            True if it is out of service.
        """
        return (kind, name) in self._out_of_service

    def is_leaving_host(self, host: str) -> bool:
        """
        Tell whether the platform lists a host as leaving.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        bool
            True if it is leaving.
        """
        return host in self._leaving_hosts

    def services(self) -> list[ServiceState]:
        """
        Return the service states set by operators.

        Returns
        -------
        list of ServiceState
            One entry per target that was ever changed.
        """
        return self._services

    def upstream_status(self, upstream: str) -> UpstreamStatus | None:
        """
        Return the state of an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.

        Returns
        -------
        UpstreamStatus or None
            None if it is unknown; callers treat it as cold.
        """
        return self._upstreams.get(upstream)

    def load_of(self, upstream: str) -> int:
        """
        Return the load of an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.

        Returns
        -------
        int
            Load in units of 1/255 of capacity; 0 if unknown.
        """
        index = self._load_index.get(upstream)
        if index is None or index >= len(self._loads):
            return 0
        return self._loads[index]

    def owner_of(self, upstream: str) -> OwnerAssignment | None:
        """
        Return the slot owner of an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.

        Returns
        -------
        OwnerAssignment or None
            None before the first assignment.
        """
        return self._owners.get(partition_of(upstream))

    def owner_of_partition(self, partition: int) -> OwnerAssignment | None:
        """
        Return the slot owner of a partition.

        Parameters
        ----------
        partition : int
            Number of the partition.

        Returns
        -------
        OwnerAssignment or None
            None before the first assignment.
        """
        return self._owners.get(partition)

    def address_of(self, host: str) -> Address | None:
        """
        Return the peer address of a host.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        Address or None
            None if the host is unknown.
        """
        return self._addresses.get(host)

    def node_status(self, host: str) -> NodeStatus | None:
        """
        Return the status of a node as distributed by the leader.

        Parameters
        ----------
        host : str
            The node's host.

        Returns
        -------
        NodeStatus or None
            None if the host is unknown.
        """
        return self._node_index.get(host)

    def apply(self, reply: SyncReply, *, sent_at: float) -> bool:
        """
        Apply the reply to a Sync.

        Parameters
        ----------
        reply : SyncReply
            Reply of a leader whose leadership was confirmed.
        sent_at : float
            Monotonic time in seconds at which the Sync was sent.

        Returns
        -------
        bool
            False if the reply is older than the view or its manifest cannot be decoded. The view
            is then unchanged, and its lease expires unless a later reply is applied.
        """
        if reply.term < self.term or reply.manifest_number < self.number:
            _log.warning(
                "ignored Sync reply (term %d, manifest %d), older than view (term %d, manifest %d)",
                reply.term,
                reply.manifest_number,
                self.term,
                self.number,
            )
            return False
        if reply.manifest and not self._apply_manifest(reply):
            return False
        self._apply_services(reply.services)
        self._apply_nodes(reply.nodes, partial="nodes" in reply.partial)
        self._apply_upstreams(reply.upstreams, partial="upstreams" in reply.partial)
        if reply.owners is not None:
            self._owners = {owner.partition: owner for owner in reply.owners}
        if reply.leaving_hosts is not None:
            self._leaving_hosts = frozenset(reply.leaving_hosts)
        if reply.loads:
            self._loads = reply.loads
        self.term = reply.term
        self.revisions = reply.revisions
        self._current_until = max(self._current_until, sent_at + VIEW_LEASE_S)
        return True

    def _apply_manifest(self, reply: SyncReply) -> bool:
        try:
            document = zlib.decompress(reply.manifest)
            manifest = msgspec.json.decode(document, type=Manifest)
        except (zlib.error, msgspec.MsgspecError) as exc:
            _log.error("manifest %d cannot be decoded: %s", reply.manifest_number, exc)
            return False
        digest = hashlib.sha256(document).hexdigest()
        if digest == self.digest:
            # Keeps the object, since callers cache data derived from it across leader changes.
            return True
        self.manifest = manifest
        self.number = manifest.number
        self.digest = digest
        self._load_index = {
            upstream.name: index for index, upstream in enumerate(manifest.upstreams)
        }
        self._loads = b""
        return True

    def _apply_services(self, services: list[ServiceState] | None) -> None:
        if services is None:
            return
        self._services = services
        self._out_of_service = frozenset(
            (entry.kind, entry.name) for entry in services if entry.state == "out"
        )

    def _apply_nodes(self, nodes: list[NodeStatus] | None, *, partial: bool) -> None:
        if nodes is None:
            return
        index = dict(self._node_index) if partial else {}
        index.update((node.host, node) for node in nodes)
        self._node_index = index
        self.nodes = list(index.values())
        for node in nodes:
            try:
                self._addresses[node.host] = Address.parse(node.peer_address)
            except ValueError:
                _log.warning(
                    "host %s has an invalid peer address: %r", node.host, node.peer_address
                )

    def _apply_upstreams(self, upstreams: list[UpstreamStatus] | None, *, partial: bool) -> None:
        if upstreams is None:
            return
        index = dict(self._upstreams) if partial else {}
        index.update((status.upstream, status) for status in upstreams)
        self._upstreams = index

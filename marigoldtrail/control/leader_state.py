"""Soft state of the leader of group config, rebuilt from Syncs after every election."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from marigoldtrail.control.commands import OwnerChange
from marigoldtrail.control.host_list import LeavingHosts
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.control.membership import Membership
from marigoldtrail.control.owners import OWNER_LEASE_S, plan_owner_changes
from marigoldtrail.control.partitions import partition_of
from marigoldtrail.control.upstreams import UpstreamStates
from marigoldtrail.schema.generated.control import NodeStatus, Sync, SyncReply, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

# Two Sync intervals, within which every live node has sent a Sync to a new leader.
SETTLE_S = 2.0

_log = logging.getLogger(__name__)


class LeaderState:
    """
    Soft state of one term of leadership.

    Parameters
    ----------
    term : int
        The term.
    machine : ConfigMachine
        Durable state of the group.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Records decisions.
    reads_platform : bool
        Whether the platform's host list is polled.

    Attributes
    ----------
    elected_at : float
        Monotonic time in seconds at which this state was created, not before the election.
    pending_changes : list of OwnerChange
        Proposed owner changes whose outcome is unknown.
    """

    __slots__ = (
        "term",
        "elected_at",
        "membership",
        "upstream_states",
        "leaving",
        "manifest",
        "pending_changes",
        "_disputed_hosts",
        "_machine",
        "_timers",
        "_telemetry",
        "_manifest_index",
        "_reads_platform",
    )

    def __init__(
        self,
        *,
        term: int,
        machine: ConfigMachine,
        timers: Timers,
        telemetry: Telemetry,
        reads_platform: bool,
    ) -> None:
        self.term = term
        self.elected_at = timers.now()
        self.membership = Membership(timers=timers, on_change=self._record_node_change)
        self.upstream_states = UpstreamStates(timers=timers, on_change=self._record_upstream_change)
        self.leaving = LeavingHosts()
        self.manifest: Manifest | None = None
        self.pending_changes: list[OwnerChange] = []
        self._disputed_hosts: set[str] = set()
        self._machine = machine
        self._timers = timers
        self._telemetry = telemetry
        self._manifest_index = 0
        self._reads_platform = reads_platform

    def is_settled(self) -> bool:
        """
        Tell whether every live node has had time to send a Sync to this leader.

        Returns
        -------
        bool
            True from `SETTLE_S` after the election.
        """
        return self._timers.now() - self.elected_at >= SETTLE_S

    def update_manifest(self) -> None:
        """Decode the committed manifest if it changed, and update the set of upstreams."""
        state = self._machine.state
        if state.manifest_index == self._manifest_index:
            return
        self._manifest_index = state.manifest_index
        try:
            self.manifest = msgspec.json.decode(self._machine.manifest_document(), type=Manifest)
        except msgspec.MsgspecError as exc:
            # A newer release committed it. State is still distributed, but no orders are planned.
            _log.error("manifest in force cannot be decoded: %s", exc)
            self.manifest = None
        self.upstream_states.set_upstreams(self.manifest.upstreams if self.manifest else [])

    def apply_sync(self, sync: Sync) -> bool:
        """
        Update the state from a Sync.

        Parameters
        ----------
        sync : Sync
            The message.

        Returns
        -------
        bool
            False if it is outdated and was ignored.
        """
        if not self.membership.observe(sync):
            return False
        self.update_manifest()
        owners = self._machine.state.owners
        owned = []
        for observation in sync.observations:
            owner = owners.get(partition_of(observation.upstream))
            if owner is not None and owner.host == sync.host:
                owned.append(observation)
        self.upstream_states.merge(owned)
        return True

    def is_lease_expired(self, host: str) -> bool:
        """
        Tell whether a slot owner has certainly stopped granting slots.

        Parameters
        ----------
        host : str
            The owner.

        Returns
        -------
        bool
            True from `OWNER_LEASE_S` after its last Sync, or after this leader's election if that
            is later: an earlier leader cannot have confirmed a Sync after the election.
        """
        last_sync = self.membership.last_control_sync(host)
        since = self.elected_at if last_sync is None else max(last_sync, self.elected_at)
        return self._timers.now() - since > OWNER_LEASE_S

    def plan_owners(self) -> list[OwnerChange]:
        """
        Plan the owner changes that are due.

        Returns
        -------
        list of OwnerChange
            Empty if no change is due. Changes with an unknown outcome are returned again, since
            Syncs of the displaced owner are not confirmed until the outcome is known.
        """
        if self.pending_changes:
            return self.pending_changes
        if not self.is_settled():
            return []
        live = self.membership.live_control_hosts()
        return plan_owner_changes(self._machine.state.owners, live, self.is_lease_expired)

    def is_being_displaced(self, host: str) -> bool:
        """
        Tell whether partitions of a host are being reassigned.

        Parameters
        ----------
        host : str
            A control host.

        Returns
        -------
        bool
            True while the outcome is unknown. Confirming the host's view in that time would let
            it grant slots for longer after the commit than the new owner waits.
        """
        owners = self._machine.state.owners
        for change in self.pending_changes:
            owner = owners.get(change.partition)
            if owner is not None and owner.host == host:
                return True
        return False

    def is_withdrawn(self, upstream: Upstream) -> bool:
        """
        Tell whether an upstream is out of service or its host is leaving.

        Parameters
        ----------
        upstream : Upstream
            The upstream.

        Returns
        -------
        bool
            True if it must not receive new work.
        """
        services = self._machine.state.services
        targets = (
            f"upstream/{upstream.name}",
            f"host/{upstream.host}",
            f"data_centre/{upstream.data_centre}",
        )
        for target in targets:
            entry = services.get(target)
            if entry is not None and entry.current.state == "out":
                return True
        return self.leaving.is_leaving(upstream.host)

    def update_disputed_hosts(self) -> list[str]:
        """
        Compare the platform's host list with the node states on this leader.

        Returns
        -------
        list of str
            Hosts that are listed as live but send no Syncs, and were not reported before.
        """
        silent = {
            host
            for host in self.leaving.list_live()
            if self.membership.state_of(host) in ("suspect", "dead")
        }
        new = sorted(silent - self._disputed_hosts)
        self._disputed_hosts = silent
        return new

    def build_reply(self, sync: Sync) -> SyncReply:
        """
        Build the reply to a Sync; call it after a read barrier.

        Parameters
        ----------
        sync : Sync
            The message.

        Returns
        -------
        SyncReply
            The sections whose revision differs from the node's. Soft sections that a new leader
            has not rebuilt yet are omitted, so that the node keeps those of the old leader.
        """
        self.update_manifest()
        state = self._machine.state
        known = sync.revisions if sync.term == self.term else {}
        reply = SyncReply(
            term=self.term,
            revisions={
                "manifest": state.manifest_index,
                "services": state.services_index,
                "owners": state.owners_index,
            },
            manifest_number=state.manifest.number if state.manifest else 0,
        )
        if state.manifest is not None and known.get("manifest") != state.manifest_index:
            reply.manifest = state.manifest.document
        if known.get("services") != state.services_index:
            reply.services = [entry.current for entry in state.services.values()]
        if known.get("owners") != state.owners_index:
            reply.owners = list(state.owners.values())
        self._add_soft_sections(sync, known, reply)
        return reply

    def _add_soft_sections(self, sync: Sync, known: dict[str, int], reply: SyncReply) -> None:
        nodes = self.membership.entries
        upstreams = self.upstream_states.entries
        if self._may_send("nodes", sync, known):
            reply.revisions["nodes"] = nodes.revision
            if known.get("nodes") != nodes.revision:
                reply.nodes, partial = nodes.changed_since(known.get("nodes"))
                reply.partial += ["nodes"] if partial else []
        if self._may_send("upstreams", sync, known):
            reply.revisions["upstreams"] = upstreams.revision
            if known.get("upstreams") != upstreams.revision:
                reply.upstreams, partial = upstreams.changed_since(known.get("upstreams"))
                reply.partial += ["upstreams"] if partial else []
        if self._may_send("loads", sync, known):
            reply.revisions["loads"] = self.upstream_states.loads_revision
            if known.get("loads") != self.upstream_states.loads_revision:
                reply.loads = bytes(self.upstream_states.loads)
        if self.leaving.was_read or not self._reads_platform:
            reply.revisions["leaving_hosts"] = self.leaving.revision
            if known.get("leaving_hosts") != self.leaving.revision:
                reply.leaving_hosts = self.leaving.names()

    def _may_send(self, section: str, sync: Sync, known: dict[str, int]) -> bool:
        # A node without a view receives the incomplete section rather than none.
        return section in known or sync.term == 0 or self.is_settled()

    def _record_node_change(self, old: NodeStatus | None, new: NodeStatus) -> None:
        if old is None or old.state == new.state:
            return
        self._telemetry.decisions.add(
            "node_state",
            new.host,
            f"{old.state} to {new.state}",
            last_sync_ms=new.last_sync_ms,
            listed_leaving=self.leaving.is_leaving(new.host),
        )

    def _record_upstream_change(self, old: UpstreamStatus | None, new: UpstreamStatus) -> None:
        if old is None:
            return
        self._telemetry.decisions.add(
            "upstream_state",
            new.upstream,
            f"{old.state} to {new.state}",
            evidence=new.reason,
            old_instance=old.instance,
            new_instance=new.instance,
        )

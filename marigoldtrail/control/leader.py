"""What only the leader of group config knows; rebuilt from Syncs after every election."""

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
from marigoldtrail.control.upstreams import UpstreamBoard
from marigoldtrail.schema.generated.control import NodeStatus, Sync, SyncReply, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

# Two Sync intervals: a new leader has heard every live node by then.
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
        Takes decisions.
    reads_platform : bool
        Whether the platform's list is polled.

    Attributes
    ----------
    elected_at : float
        Monotonic time in seconds at which this state was made, not before the election.
    pending_changes : list of OwnerChange
        Owner changes whose outcome is not known yet.
    """

    __slots__ = (
        "term",
        "elected_at",
        "membership",
        "board",
        "leaving",
        "manifest",
        "pending_changes",
        "_disputed",
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
        self.membership = Membership(timers=timers, on_change=self._note_node)
        self.board = UpstreamBoard(timers=timers, on_change=self._note_upstream)
        self.leaving = LeavingHosts()
        self.manifest: Manifest | None = None
        self.pending_changes: list[OwnerChange] = []
        self._disputed: set[str] = set()
        self._machine = machine
        self._timers = timers
        self._telemetry = telemetry
        self._manifest_index = 0
        self._reads_platform = reads_platform

    def is_settled(self) -> bool:
        """
        Tell whether every live node has had the time to send a Sync to this leader.

        Returns
        -------
        bool
            True from `SETTLE_S` after the election.
        """
        return self._timers.now() - self.elected_at >= SETTLE_S

    def follow_manifest(self) -> None:
        """Bring what depends on the manifest up to date with the committed one."""
        state = self._machine.state
        if state.manifest_index == self._manifest_index:
            return
        self._manifest_index = state.manifest_index
        try:
            self.manifest = msgspec.json.decode(self._machine.manifest_document(), type=Manifest)
        except msgspec.MsgspecError as exc:
            # A newer release put it in force; the state is distributed, but nothing is planned.
            _log.error("the manifest in force cannot be read: %s", exc)
            self.manifest = None
        self.board.set_upstreams(self.manifest.upstreams if self.manifest else [])

    def take_sync(self, sync: Sync) -> bool:
        """
        Take in a Sync.

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
        self.follow_manifest()
        owners = self._machine.state.owners
        owned = []
        for seen in sync.observations:
            owner = owners.get(partition_of(seen.upstream))
            if owner is not None and owner.host == sync.host:
                owned.append(seen)
        self.board.merge(owned)
        return True

    def lease_expired(self, host: str) -> bool:
        """
        Tell whether a slot owner has certainly stopped granting.

        Parameters
        ----------
        host : str
            The owner.

        Returns
        -------
        bool
            True from `OWNER_LEASE_S` after its last Sync. A Sync to an earlier leader cannot have
            been confirmed after this one's election.
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
            Empty if nothing is to change. Changes with an unknown outcome come again, since the
            displaced owner is not confirmed before their outcome is known.
        """
        if self.pending_changes:
            return self.pending_changes
        if not self.is_settled():
            return []
        live = self.membership.live_control_hosts()
        return plan_owner_changes(self._machine.state.owners, live, self.lease_expired)

    def is_being_displaced(self, host: str) -> bool:
        """
        Tell whether partitions of a host are being given to another.

        Parameters
        ----------
        host : str
            A control host.

        Returns
        -------
        bool
            True while the outcome is unknown; confirming the host's view would let it grant slots
            after the commit, beyond the time that the new owner waits.
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
            True if it shall get no new work.
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

    def note_disputes(self) -> list[str]:
        """
        Compare the platform's list with the leader's own evidence.

        Returns
        -------
        list of str
            Hosts that are newly listed as live although they send no Syncs.
        """
        silent = {
            host
            for host in self.leaving.listed_live()
            if self.membership.state_of(host) in ("suspect", "dead")
        }
        new = sorted(silent - self._disputed)
        self._disputed = silent
        return new

    def build_reply(self, sync: Sync) -> SyncReply:
        """
        Build the reply to a Sync after a read barrier.

        Parameters
        ----------
        sync : Sync
            The message.

        Returns
        -------
        SyncReply
            The sections whose revision differs from the node's. Soft sections that a new leader
            has not rebuilt yet are left out, so that the node keeps those of the old leader.
        """
        self.follow_manifest()
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
        upstreams = self.board.entries
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
            reply.revisions["loads"] = self.board.loads_revision
            if known.get("loads") != self.board.loads_revision:
                reply.loads = bytes(self.board.loads)
        if self.leaving.was_read or not self._reads_platform:
            reply.revisions["leaving_hosts"] = self.leaving.revision
            if known.get("leaving_hosts") != self.leaving.revision:
                reply.leaving_hosts = self.leaving.names()

    def _may_send(self, section: str, sync: Sync, known: dict[str, int]) -> bool:
        # A node without any view gains from the little that is known.
        return section in known or sync.term == 0 or self.is_settled()

    def _note_node(self, old: NodeStatus | None, new: NodeStatus) -> None:
        if old is None or old.state == new.state:
            return
        self._telemetry.decisions.add(
            "node_state",
            new.host,
            f"{old.state} to {new.state}",
            last_sync_ms=new.last_sync_ms,
            listed_leaving=self.leaving.is_leaving(new.host),
        )

    def _note_upstream(self, old: UpstreamStatus | None, new: UpstreamStatus) -> None:
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

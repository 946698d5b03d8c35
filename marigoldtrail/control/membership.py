"""Membership and liveness of the nodes, as observed by the leader of group config."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec

from marigoldtrail.control.versioned_entries import VersionedEntries
from marigoldtrail.schema.generated.control import NodeStatus, Sync
from marigoldtrail.timers import Timers

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
# Dead nodes stay listed for operators, but not for ever, since hosts are replaced daily.
REMOVE_AFTER_S = 900.0

NodeState = Literal["live", "suspect", "dead", "draining"]


class Member:
    """
    Liveness record of one node.

    Parameters
    ----------
    sync : Sync
        Its first Sync.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("sync", "last_sync", "last_control_sync")

    def __init__(self, *, sync: Sync, now: float) -> None:
        self.sync = sync
        self.last_sync = now
        self.last_control_sync: float | None = None


class Membership:
    """
    Tracks the nodes of the fleet and their states.

    Parameters
    ----------
    timers : Timers
        Clock.
    on_change : callable
        Called with the old status (or None) and the new one.

    Attributes
    ----------
    entries : VersionedEntries of NodeStatus
        Nodes by host. `NodeStatus.last_sync_ms` is as of the last change of state, since
        distributing it every second would multiply the size of the replies.
    """

    __slots__ = ("entries", "_timers", "_members", "_on_change")

    def __init__(
        self,
        *,
        timers: Timers,
        on_change: Callable[[NodeStatus | None, NodeStatus], None] = lambda old, new: None,
    ) -> None:
        self.entries: VersionedEntries[NodeStatus] = VersionedEntries()
        self._timers = timers
        self._members: dict[str, Member] = {}
        self._on_change = on_change

    def observe(self, sync: Sync) -> bool:
        """
        Record a Sync.

        Parameters
        ----------
        sync : Sync
            The message.

        Returns
        -------
        bool
            False if it is from an old incarnation, or older than one already received. A dead
            incarnation is disregarded, so that a host whose wall clock was set back can rejoin.
        """
        now = self._timers.now()
        member = self._members.get(sync.host)
        if member is None:
            member = Member(sync=sync, now=now)
            self._members[sync.host] = member
        elif now - member.last_sync < DEAD_AFTER_S and _sequence_key(sync) < _sequence_key(
            member.sync
        ):
            return False
        member.sync = sync
        member.last_sync = now
        if "control" in sync.roles:
            member.last_control_sync = now
        self._publish(member)
        return True

    def refresh(self) -> None:
        """Update the states of nodes that send no Syncs."""
        now = self._timers.now()
        for host, member in list(self._members.items()):
            if now - member.last_sync >= REMOVE_AFTER_S:
                del self._members[host]
                self.entries.remove(host)
            else:
                self._publish(member)

    def last_control_sync(self, host: str) -> float | None:
        """
        Return when a host last sent a Sync in the role of a control host.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        float or None
            Monotonic time in seconds; None if this leader has received none.
        """
        member = self._members.get(host)
        return member.last_control_sync if member else None

    def live_control_hosts(self) -> list[str]:
        """
        Return the control hosts that may be assigned new partitions.

        Returns
        -------
        list of str
            Hosts with the role control that are live and not draining, sorted.
        """
        return sorted(
            node.host
            for node in self.entries.values()
            if node.state == "live" and "control" in node.roles
        )

    def list_nodes(self) -> list[NodeStatus]:
        """
        Return all nodes with the time of their last Sync.

        Returns
        -------
        list of NodeStatus
            The nodes.
        """
        return [
            msgspec.structs.replace(node, last_sync_ms=self._last_sync_ms(self._members[node.host]))
            for node in self.entries.values()
        ]

    def state_of(self, host: str) -> NodeState | None:
        """
        Return the state of a node.

        Parameters
        ----------
        host : str
            Its host.

        Returns
        -------
        str or None
            None if no node of that host is known.
        """
        node = self.entries.get(host)
        return node.state if node else None

    def _publish(self, member: Member) -> None:
        sync = member.sync
        state = self._compute_state(member)
        known = self.entries.get(sync.host)
        if known is not None and _is_unchanged(known, sync, state):
            return
        status = NodeStatus(
            host=sync.host,
            data_centre=sync.data_centre,
            incarnation=sync.incarnation,
            roles=sync.roles,
            peer_address=sync.peer_address,
            api_address=sync.api_address,
            state=state,
            last_sync_ms=self._last_sync_ms(member),
        )
        self.entries.put(sync.host, status)
        self._on_change(known, status)

    def _compute_state(self, member: Member) -> NodeState:
        silence = self._timers.now() - member.last_sync
        if silence >= DEAD_AFTER_S:
            return "dead"
        if silence >= SUSPECT_AFTER_S:
            return "suspect"
        return "draining" if member.sync.draining else "live"

    def _last_sync_ms(self, member: Member) -> int:
        silence = self._timers.now() - member.last_sync
        return self._timers.wall_ms() - int(silence * 1000)


def _sequence_key(sync: Sync) -> tuple[int, int]:
    return sync.incarnation, sync.sequence


def _is_unchanged(known: NodeStatus, sync: Sync, state: NodeState) -> bool:
    return (
        known.state == state
        and known.incarnation == sync.incarnation
        and known.peer_address == sync.peer_address
        and known.api_address == sync.api_address
        and known.data_centre == sync.data_centre
        and known.roles == sync.roles
    )

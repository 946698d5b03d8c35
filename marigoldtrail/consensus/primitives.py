"""Define the state machine protocol, proposals and the leader's view of its peers."""

from __future__ import annotations

from typing import Any, Protocol, runtime_checkable

import trio

from marigoldtrail.timers import Notifier


class UnsupportedCommandError(Exception):
    """Raised by a state machine for a command of a later release, which must not be skipped."""


class StateMachine(Protocol):
    """
    State machine of a group; its methods must not block the event loop for long.

    A machine whose commands have several feature levels also has `FeatureLevels`.
    """

    def apply(self, index: int, command: bytes) -> Any:
        """
        Apply a command; called exactly once per index, in order.

        Parameters
        ----------
        index : int
            Position of the command in the log.
        command : bytes
            The proposed command.

        Returns
        -------
        object
            Result of the proposal; must be deterministic, the same on every host.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the encoded complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with one that `snapshot` returned."""
        ...

    def is_complete(self) -> bool:
        """
        Tell whether the machine holds all data of the entries that it has applied.

        Returns
        -------
        bool
            False while it still fetches files that its snapshot only references; until then the
            host does not become a voter.
        """
        ...


@runtime_checkable
class FeatureLevels(Protocol):
    """
    Feature levels of a state machine; level 0 without them.

    Attributes
    ----------
    command_level : int
        Highest level of the commands that `apply` supports.
    """

    command_level: int

    def get_state_level(self) -> int:
        """Return the level that is needed to restore the present state."""
        ...


class Proposal:
    """
    An entry to be appended to the log, and its result.

    Parameters
    ----------
    kind : int
        Kind of the entry.
    payload : bytes
        Content of the entry.
    """

    __slots__ = ("kind", "payload", "done", "result", "index")

    def __init__(self, *, kind: int, payload: bytes) -> None:
        self.kind = kind
        self.payload = payload
        self.done = trio.Event()
        self.result: Any = None
        self.index = 0

    def resolve(self, result: Any) -> None:
        """Set the result and wake the proposer; later calls have no effect."""
        if not self.done.is_set():
            self.result = result
            self.done.set()


class Peer:
    """
    Replication state that a leader keeps for another host during its term.

    Parameters
    ----------
    host : str
        Name of the host.
    storage_id : str
        Last known storage id of the host; empty if unknown.
    next_index : int
        Next entry to send.
    now : float
        Monotonic time in seconds, taken as the time of the last contact.
    silent_since : float
        Monotonic time in seconds since which it may have been silent; before `now` if it led.
    """

    __slots__ = (
        "host",
        "storage_id",
        "next_index",
        "match_index",
        "confirmed_read_round",
        "last_contact_at",
        "silent_since",
        "busy_since",
        "is_complete",
        "level",
        "wakeup",
    )

    def __init__(
        self, *, host: str, storage_id: str, next_index: int, now: float, silent_since: float
    ) -> None:
        self.host = host
        self.storage_id = storage_id
        self.next_index = next_index
        self.match_index = 0
        self.confirmed_read_round = 0
        self.last_contact_at = now
        self.silent_since = silent_since
        self.busy_since = float("inf")
        self.is_complete = False
        # Feature level in its last reply; a release that states none has the lowest.
        self.level = 0
        self.wakeup = Notifier()

    def record_contact(self, now: float) -> None:
        """Record a reply to this leader."""
        self.last_contact_at = now
        self.silent_since = now

    def reset_progress(self, storage_id: str) -> None:
        """Discard the progress, because the host has a log with another storage id."""
        self.is_complete = False
        self.level = 0
        self.storage_id = storage_id
        self.match_index = 0
        self.confirmed_read_round = 0

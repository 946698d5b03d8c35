"""What the state of a group is made of: machine, signals, proposals, peers."""

from __future__ import annotations

from typing import Any, Protocol

import trio

from marigoldtrail.timers import Signal


class Machine(Protocol):
    """The state machine of a group; its methods must not block for long."""

    def apply(self, index: int, command: bytes) -> Any:
        """
        Apply a command; called exactly once per index, in order.

        Parameters
        ----------
        index : int
            Position of the command in the log.
        command : bytes
            What was proposed.

        Returns
        -------
        object
            Result of the proposal; must be the same on every host.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""
        ...

    def is_complete(self) -> bool:
        """
        Tell whether the machine holds all that it has applied.

        Returns
        -------
        bool
            False while it still fetches files that its snapshot only names; such a host does not
            become a voter.
        """
        ...


class Proposal:
    """
    An entry on its way into the log.

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
        """Give the proposer its result."""
        if not self.done.is_set():
            self.result = result
            self.done.set()


class Peer:
    """
    What a leader knows of another host in its term.

    Parameters
    ----------
    host : str
        Name of the host.
    storage_id : str
        Identity that the host is believed to have; empty if unknown.
    next_index : int
        Next entry to send.
    now : float
        Time in seconds from which on silence counts.
    """

    __slots__ = (
        "host",
        "storage_id",
        "next_index",
        "match_index",
        "confirmed_round",
        "heard_at",
        "busy_since",
        "is_complete",
        "wakeup",
    )

    def __init__(self, *, host: str, storage_id: str, next_index: int, now: float) -> None:
        self.host = host
        self.storage_id = storage_id
        self.next_index = next_index
        self.match_index = 0
        self.confirmed_round = 0
        self.heard_at = now
        self.busy_since = float("inf")
        self.is_complete = False
        self.wakeup = Signal()

    def change_identity(self, storage_id: str) -> None:
        """Start over: the host has another log than believed."""
        self.is_complete = False
        self.storage_id = storage_id
        self.match_index = 0
        self.confirmed_round = 0

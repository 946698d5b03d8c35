"""Record group: a replicated log with the state machine to which it is applied."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldtrail.records.machine import RecordMachine
from marigoldtrail.records.sweeper import LogGroup


class RecordGroup:
    """
    One record group on this host.

    Parameters
    ----------
    name : str
        Name of the group.
    log : LogGroup
        Replicated log of the group; must apply its commands to `machine`.
    machine : RecordMachine
        State machine of the group.
    members : sequence of str
        Hosts of the members; missing segments are fetched from them.
    """

    __slots__ = ("name", "log", "machine", "members")

    def __init__(
        self, *, name: str, log: LogGroup, machine: RecordMachine, members: Sequence[str]
    ) -> None:
        self.name = name
        self.log = log
        self.machine = machine
        self.members = members

"""One record group: its log and what the log is applied to."""

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
        Its replicated log; must apply to `machine`.
    machine : RecordMachine
        Its state machine.
    members : sequence of str
        Hosts of its members; asked for segments that this host lacks.
    """

    __slots__ = ("name", "log", "machine", "members")

    def __init__(
        self, *, name: str, log: LogGroup, machine: RecordMachine, members: Sequence[str]
    ) -> None:
        self.name = name
        self.log = log
        self.machine = machine
        self.members = members

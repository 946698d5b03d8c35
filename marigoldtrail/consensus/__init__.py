"""Raft log groups that replicate state machines."""

from marigoldtrail.consensus.group import Group
from marigoldtrail.consensus.groups import GroupSet, init_fleet
from marigoldtrail.consensus.primitives import Machine

__all__ = ["Group", "GroupSet", "Machine", "init_fleet"]

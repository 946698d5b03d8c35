"""Raft log groups that replicate state machines."""

from marigoldtrail.consensus.group import Group
from marigoldtrail.consensus.group_set import GroupSet, init_fleet
from marigoldtrail.consensus.primitives import StateMachine, UnsupportedCommandError
from marigoldtrail.consensus.state import MIN_VOTERS

__all__ = [
    "MIN_VOTERS",
    "Group",
    "GroupSet",
    "StateMachine",
    "UnsupportedCommandError",
    "init_fleet",
]

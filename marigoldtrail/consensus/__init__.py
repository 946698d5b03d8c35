"""Replicated log groups."""

from marigoldtrail.consensus.group import Group
from marigoldtrail.consensus.groups import GroupSet, init_fleet
from marigoldtrail.consensus.state import Machine

__all__ = ["Group", "GroupSet", "Machine", "init_fleet"]

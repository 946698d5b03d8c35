"""Composition of a node from its roles and shared components."""

from marigoldtrail.node.components import NodeParts
from marigoldtrail.node.control_role import ControlRole, build_control_role
from marigoldtrail.node.entry_role import EntryRole, build_entry_role
from marigoldtrail.node.launch import build_telemetry, init_groups, launch_node
from marigoldtrail.node.node import Node, run_node

__all__ = [
    "ControlRole",
    "EntryRole",
    "Node",
    "NodeParts",
    "build_control_role",
    "build_entry_role",
    "build_telemetry",
    "init_groups",
    "launch_node",
    "run_node",
]

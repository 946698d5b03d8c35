"""Fakes at the interfaces: network in memory with faults."""

from marigoldtrail.testing.network import MemoryNetwork

__all__ = ["MemoryNetwork"]

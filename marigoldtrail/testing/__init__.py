"""Fakes at the interfaces: network and disk in memory with faults."""

from marigoldtrail.testing.disk import MemoryDisk
from marigoldtrail.testing.network import MemoryNetwork

__all__ = ["MemoryDisk", "MemoryNetwork"]

"""In-memory network and disk with fault injection, for tests of the real nodes."""

from marigoldtrail.testing.disk import MemoryDisk
from marigoldtrail.testing.network import MemoryNetwork
from marigoldtrail.testing.resetting_stream import ResettingStream

__all__ = ["MemoryDisk", "MemoryNetwork", "ResettingStream"]

"""State of the fleet that group config agrees on, and its distribution to the nodes."""

from marigoldtrail.control.partitions import PARTITIONS, partition_of

__all__ = ["PARTITIONS", "partition_of"]

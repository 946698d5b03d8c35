"""Hash partitioning of upstreams; each partition has one slot owner."""

from __future__ import annotations

import functools

import xxhash

PARTITIONS = 64


@functools.lru_cache(maxsize=4096)
def partition_of(upstream: str) -> int:
    """
    Return the partition of an upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.

    Returns
    -------
    int
        From 0 to `PARTITIONS` - 1.

    Examples
    --------
    >>> 0 <= partition_of("llm-1") < PARTITIONS
    True
    """
    return xxhash.xxh64_intdigest(upstream.encode()) % PARTITIONS

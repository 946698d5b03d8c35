"""Which entries callers are told to connect to."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from marigoldtrail.registry import FleetPicture

MAX_ADDRESSES = 64
# Short, so that callers leave an entry that has stopped soon.
TTL_S = 1.0


class EntryAddresses(msgspec.Struct, kw_only=True, frozen=True):
    """
    Addresses for a caller.

    Parameters
    ----------
    addresses : list of str
        Where to connect; empty if no entry is known.
    ttl_s : float
        Seconds for which the caller may keep them.
    """

    addresses: list[str]
    ttl_s: float


FindEntries = Callable[[str, str], EntryAddresses]


def make_entry_finder(
    picture: FleetPicture, rng: random.Random, *, ttl_max_s: float
) -> FindEntries:
    """
    Return a function that finds the entries for a caller.

    Parameters
    ----------
    picture : FleetPicture
        Names the hosts.
    rng : random.Random
        Chooses among more entries than a caller is told.
    ttl_max_s : float
        Longest time in seconds that callers accept.

    Returns
    -------
    callable
        Function of the caller's region and data centre.
    """

    def find_entries(region: str, data_centre: str) -> EntryAddresses:
        entries = [h for h in picture.hosts if h.role == "entry" and h.ready and h.request_address]
        near = [host for host in entries if host.region == region] or entries
        if len(near) > MAX_ADDRESSES:
            near = rng.sample(near, MAX_ADDRESSES)
        return EntryAddresses(
            addresses=[host.request_address for host in near], ttl_s=min(TTL_S, ttl_max_s)
        )

    return find_entries

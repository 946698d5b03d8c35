"""Selection of the entries to which callers connect."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from marigoldtrail.registry import FleetState

MAX_ADDRESSES = 64
# Short, so that callers soon stop using an entry that has stopped.
TTL_S = 1.0


class EntryAddresses(msgspec.Struct, kw_only=True, frozen=True):
    """
    Result of an address look-up.

    Parameters
    ----------
    addresses : list of str
        Addresses of entries; empty if no entry is ready.
    ttl_s : float
        Time to live of the addresses in seconds.
    """

    addresses: list[str]
    ttl_s: float


FindEntries = Callable[[str, str], EntryAddresses]


def make_entry_finder(
    fleet_state: FleetState, rng: random.Random, *, ttl_max_s: float
) -> FindEntries:
    """
    Return a function that finds the entries for a caller.

    Parameters
    ----------
    fleet_state : FleetState
        Source of the list of hosts.
    rng : random.Random
        Chooses the entries if there are more than `MAX_ADDRESSES`.
    ttl_max_s : float
        Longest time to live in seconds that callers accept.

    Returns
    -------
    callable
        Function of the caller's region and data centre.
    """

    def find_entries(region: str, data_centre: str) -> EntryAddresses:
        entries = [
            h for h in fleet_state.hosts if h.role == "entry" and h.ready and h.request_address
        ]
        candidates = [host for host in entries if host.region == region] or entries
        # If all are cut off, the upstreams may be down, and entries still tell callers so.
        candidates = [host for host in candidates if not host.is_cut_off] or candidates
        if len(candidates) > MAX_ADDRESSES:
            candidates = rng.sample(candidates, MAX_ADDRESSES)
        return EntryAddresses(
            addresses=[host.request_address for host in candidates], ttl_s=min(TTL_S, ttl_max_s)
        )

    return find_entries

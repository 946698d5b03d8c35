"""Choice of the upstream for a request by the work in progress at each."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

import msgspec
import xxhash

Item = TypeVar("Item")

# A failure rate costs as much as this wait times the rate.
FAILURE_COST_S = 3.0
# Breaks ties in favour of the data centre of the entry.
REMOTE_COST_S = 0.004


class UpstreamOption(msgspec.Struct, kw_only=True, frozen=True):
    """
    An upstream that could run a request.

    Parameters
    ----------
    name : str
        The upstream.
    slots : int
        Requests that it can run concurrently.
    requests : int
        Requests in progress there, from all entries.
    prefill_tokens : int
        Prompt tokens that wait there for prefill.
    failure_rate : float
        Recent share of failed requests, from 0 to 1.
    slowness : float
        Ratio of its recent request time to that of its peers; 1 for an ordinary upstream.
    is_remote : bool
        Whether it is in a different data centre from the entry.
    """

    name: str
    slots: int
    requests: int = 0
    prefill_tokens: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0
    is_remote: bool = False


def choose_service_upstream(
    options: Sequence[UpstreamOption], *, work_s: float, rng: random.Random
) -> str | None:
    """
    Choose the upstream of a plain request by the shortest expected time to an answer.

    Designed for many short requests on few slots, with some upstreams slow or failing.

    Parameters
    ----------
    options : sequence of UpstreamOption
        Upstreams that may get the request.
    work_s : float
        Usual duration of a request in seconds.
    rng : random.Random
        Breaks ties, so that the entries don't all choose the same upstream.

    Returns
    -------
    str or None
        None if there are no options.
    """

    def cost(option: UpstreamOption) -> float:
        turns = 1 + option.requests / max(1, option.slots)
        cost_s = work_s * turns * option.slowness + option.failure_rate * FAILURE_COST_S
        return cost_s + (REMOTE_COST_S if option.is_remote else 0.0)

    if not options:
        return None
    return choose_cheapest([(cost(option), option.name) for option in options], rng)


def choose_by_rendezvous_hash(key: str, names: Sequence[str]) -> str | None:
    """
    Return the upstream that all entries prefer for a key, by rendezvous hashing.

    Parameters
    ----------
    key : str
        The key.
    names : sequence of str
        Upstreams in service; the loss of one moves only the keys assigned to it.

    Returns
    -------
    str or None
        None if there are no upstreams.

    Examples
    --------
    >>> first = choose_by_rendezvous_hash("prompt", ["a", "b"])
    >>> first == choose_by_rendezvous_hash("prompt", ["b", "a"])
    True
    """
    return max(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}/{name}".encode()), default=None
    )


def choose_cheapest(costs: list[tuple[float, Item]], rng: random.Random) -> Item:
    """
    Choose an item with the lowest cost, or nearly so.

    Parameters
    ----------
    costs : list of (float, object)
        Costs and items; at least one.
    rng : random.Random
        Breaks near ties.

    Returns
    -------
    object
        The item.
    """
    least = min(cost for cost, _ in costs)
    return rng.choice([item for cost, item in costs if cost <= least * 1.02])

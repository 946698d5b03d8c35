"""Choice of the upstream for a request by the work in progress at each."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
import xxhash

# Prefill speed of an engine; determines how long a wait for a cached prompt is worthwhile.
PREFILL_TOKENS_PER_S = 50_000.0
# Each request in progress slows token generation for the others at the engine slightly.
RUNNING_COST_S = 0.004
# A failure rate costs as much as this wait times the rate.
FAILURE_COST_S = 3.0
# Breaks ties in favour of the data centre of the entry.
REMOTE_COST_S = 0.004
# Above this share of its memory an engine preempts its newest requests.
MEMORY_SHARE = 0.85
FULL_COST_S = 2.0
# Extra cost per token, beyond its time, of reading a token that another engine has cached.
REREAD_COST_S = 3e-5
# A result of 3 MB from another data centre costs as much as a wait of 40 ms.
REMOTE_BYTE_COST_S = 0.04 / 3e6


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

    return _cheapest([(cost(option), option.name) for option in options], rng)


class EngineOption(msgspec.Struct, kw_only=True, frozen=True):
    """
    An engine that could run a generation.

    Parameters
    ----------
    name : str
        The engine.
    slots : int
        Requests that it can run concurrently.
    requests : int
        Requests in progress there.
    prefill_tokens : int
        Prompt tokens that wait there for prefill.
    memory_tokens : int
        Maximum number of tokens of those requests in its memory.
    kv_tokens : int
        Tokens that fit into its memory; 0 if unknown.
    cached_tokens : int
        Length of the prompt prefix that it has cached.
    remote_bytes : int
        Bytes of results that it would fetch from other data centres.
    failure_rate : float
        Recent share of failed requests, from 0 to 1.
    slowness : float
        Ratio of its recent request time to that of its peers; 1 for an ordinary engine.
    """

    name: str
    slots: int
    requests: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    kv_tokens: int = 0
    cached_tokens: int = 0
    remote_bytes: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0


def choose_engine(
    options: Sequence[EngineOption], *, prompt_tokens: int, rng: random.Random
) -> str | None:
    """
    Choose the engine of a generation.

    Requests with the same shared prompt go to the engine that has cached it, unless the work that
    waits there would take longer than reading the prompt again. Designed for long shared prompts
    that fit into the memory of the fleet once but not several times, and for results that are
    expensive to move.

    Parameters
    ----------
    options : sequence of EngineOption
        Engines that may get the request.
    prompt_tokens : int
        Length of the prompt.
    rng : random.Random
        Breaks ties.

    Returns
    -------
    str or None
        None if there are no options.
    """
    most_cached = max((option.cached_tokens for option in options), default=0)

    def cost(option: EngineOption) -> float:
        read = option.prefill_tokens + max(0, prompt_tokens - option.cached_tokens)
        cost_s = read / PREFILL_TOKENS_PER_S + option.requests * RUNNING_COST_S
        cost_s = cost_s * option.slowness + option.failure_rate * FAILURE_COST_S
        cost_s += (most_cached - option.cached_tokens) * REREAD_COST_S
        cost_s += option.remote_bytes * REMOTE_BYTE_COST_S
        if option.kv_tokens and option.memory_tokens + prompt_tokens > (
            MEMORY_SHARE * option.kv_tokens
        ):
            cost_s += FULL_COST_S
        if option.requests >= option.slots:
            cost_s += FULL_COST_S * option.requests / option.slots
        return cost_s

    return _cheapest([(cost(option), option.name) for option in options], rng)


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


def _cheapest(costs: list[tuple[float, str]], rng: random.Random) -> str | None:
    if not costs:
        return None
    least = min(cost for cost, _ in costs)
    return rng.choice([name for cost, name in costs if cost <= least * 1.02])

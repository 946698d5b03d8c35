"""Choice of the upstream for a request, from what is in progress at each."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
import xxhash

# Reading speed of an engine; sets how much waiting a cached prompt is worth.
PREFILL_TOKENS_PER_S = 50_000.0
# A request that generates slows the tokens of all others at the engine a little.
RUNNING_COST_S = 0.004
# A share of failed requests costs as much as this wait, times the share.
FAILURE_COST_S = 3.0
# Prefer the own data centre among equals.
REMOTE_COST_S = 0.004
# Beyond this share of an engine's memory its newest requests are preempted.
MEMORY_SHARE = 0.85
FULL_COST_S = 2.0
# What each token costs beyond its time if it is read although another engine has kept it.
REREAD_COST_S = 3e-5
# A result of 3 MB from another data centre costs as much as a wait of 40 ms.
REMOTE_BYTE_COST_S = 0.04 / 3e6


class Option(msgspec.Struct, kw_only=True, frozen=True):
    """
    An upstream that could run a request.

    Parameters
    ----------
    name : str
        The upstream.
    slots : int
        Requests that it runs at the same time.
    requests : int
        Requests in progress there, from all entries.
    prefill_tokens : int
        Prompt tokens that wait there to be read.
    failure_rate : float
        Share of failed requests of late, from 0 to 1.
    slowness : float
        How many times longer than its peers it takes; 1 for an ordinary one.
    is_remote : bool
        Whether it is in another data centre than the entry.
    """

    name: str
    slots: int
    requests: int = 0
    prefill_tokens: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0
    is_remote: bool = False


def choose_service_upstream(
    options: Sequence[Option], *, work_s: float, rng: random.Random
) -> str | None:
    """
    Choose the upstream of a plain request: the one that will probably answer first.

    Answers the load of many short requests on few slots, with some upstreams slow or failing.

    Parameters
    ----------
    options : sequence of Option
        Upstreams that may get the request.
    work_s : float
        Usual duration of a request in seconds.
    rng : random.Random
        Breaks ties, so that the entries don't all choose the same one.

    Returns
    -------
    str or None
        None if there are no options.
    """

    def cost(option: Option) -> float:
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
        Requests that it runs at the same time.
    requests : int
        Requests in progress there.
    unread_tokens : int
        Prompt tokens that wait there to be read.
    memory_tokens : int
        Tokens of its memory that those requests take at most.
    kv_tokens : int
        Tokens that fit into its memory; 0 if unknown.
    cached_tokens : int
        Begin of the prompt that it has kept.
    remote_bytes : int
        Bytes of results that it would fetch from other data centres.
    failure_rate : float
        Share of failed requests of late, from 0 to 1.
    slowness : float
        How many times longer than its peers it takes; 1 for an ordinary one.
    """

    name: str
    slots: int
    requests: int = 0
    unread_tokens: int = 0
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

    Requests with the same shared prompt meet at the engine that has read it, unless the work that
    waits there would take longer than reading it again. Answers a load of long shared prompts
    that fit the memory of the fleet once, not several times, and of results that are dear to move.

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
        read = option.unread_tokens + max(0, prompt_tokens - option.cached_tokens)
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


def find_home(key: str, names: Sequence[str]) -> str | None:
    """
    Return the upstream that all entries prefer for a key.

    Parameters
    ----------
    key : str
        The key.
    names : sequence of str
        Upstreams in service; the loss of one moves only the keys that it had.

    Returns
    -------
    str or None
        None if there are no upstreams.

    Examples
    --------
    >>> find_home("prompt", ["a", "b"]) == find_home("prompt", ["b", "a"])
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

"""Choice of the engine of a generation: time saved by cached prompts against time spent waiting."""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence

import msgspec

from marigoldtrail.policy.placement import (
    FAILURE_COST_S,
    choose_cheapest,
)

# Prefill speed of an engine of the usual speed, until a measured one is known.
PREFILL_TOKENS_PER_S = 50_000.0
# Time from the choice of an engine to the first event, without prefill.
BASE_FIRST_EVENT_S = 0.06
# Each request in progress slows token generation for the others at the engine slightly.
RUNNING_COST_S = 0.004
# Above this share of its memory an engine preempts its newest requests.
MEMORY_SHARE = 0.85
FULL_COST_S = 2.0
# Reading what another engine has cached costs others this many times its time: requests that run
# there wait meanwhile, and a part of what it evicts is read again later.
REREAD_WEIGHT = 1.5
# A result of 3 MB from another data centre costs as much as a wait of 40 ms.
REMOTE_BYTE_COST_S = 0.04 / 3e6
# A response that is late, or cut off at its deadline, costs its caller as much as such a wait.
LATE_COST_S = 1.0
CUT_COST_S = 3.0
# A first event is at risk of being late from this share of the time left on.
SAFE_SLACK_SHARE = 0.65
# The cost is worked out for engines with a cached prefix, and for this many of the others with the
# soonest first events: a choice among 70 engines costs a scheduler most of its time otherwise.
COMPARED_ENGINES = 8
# Most streams take less than this many times the mean of their kind.
STREAM_MARGIN = 2.0


class EngineOption(msgspec.Struct, kw_only=True):
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
        Ratio of its request times to those of an engine of the usual speed.
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


class Generation(msgspec.Struct, kw_only=True, frozen=True):
    """
    A generation that needs an engine.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    slack_s : float
        Seconds until its first event is late; 0 or less if it is late already.
    left_s : float
        Seconds until its caller has left.
    stream_s : float
        Expected seconds from the first to the last event at an engine of the usual speed; 0 if
        unknown.
    """

    prompt_tokens: int
    slack_s: float = float("inf")
    left_s: float = float("inf")
    stream_s: float = 0.0


def estimate_idle_first_event_s(tokens: int) -> float:
    """
    Estimate the time to the first event at an idle engine of the usual speed.

    Parameters
    ----------
    tokens : int
        Prompt tokens that the engine would prefill.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> estimate_idle_first_event_s(2000)
    0.1
    """
    return BASE_FIRST_EVENT_S + tokens / PREFILL_TOKENS_PER_S


def estimate_first_event_s(option: EngineOption, tokens: int) -> float:
    """
    Estimate the time to the first event at an engine, if it had the usual speed.

    Parameters
    ----------
    option : EngineOption
        The engine with its work in progress.
    tokens : int
        Tokens of the request that the engine would prefill.

    Returns
    -------
    float
        Seconds; multiply by the slowness of the engine.

    Examples
    --------
    >>> estimate_first_event_s(EngineOption(name="e", slots=8, prefill_tokens=5000), 2000)
    0.2
    """
    return (
        estimate_idle_first_event_s(option.prefill_tokens + tokens)
        + option.requests * RUNNING_COST_S
    )


def _estimate_arrival_s(option: EngineOption, tokens: int) -> float:
    """Estimate the time to the first event with the engine's speed and the fetch of its inputs."""
    first_event_s = estimate_first_event_s(option, tokens) * option.slowness
    return first_event_s + option.remote_bytes * REMOTE_BYTE_COST_S


def estimate_late_share(first_event_s: float, slack_s: float) -> float:
    """
    Estimate the risk that a first event is late.

    Parameters
    ----------
    first_event_s : float
        Expected seconds to the first event.
    slack_s : float
        Seconds until it is late.

    Returns
    -------
    float
        From 0 to 1; 0 if it is late in any case, because then no choice changes it.

    Examples
    --------
    >>> estimate_late_share(0.6, 1.0), round(estimate_late_share(0.93, 1.0), 1)
    (0.0, 0.8)
    """
    if slack_s <= 0:
        return 0.0
    excess = first_event_s / slack_s - SAFE_SLACK_SHARE
    return min(1.0, max(0.0, excess / (1 - SAFE_SLACK_SHARE)))


def estimate_cost_s(option: EngineOption, generation: Generation, most_cached: int) -> float:
    """
    Estimate what running a generation at an engine costs callers, in seconds of waiting.

    Parameters
    ----------
    option : EngineOption
        The engine.
    generation : Generation
        The request.
    most_cached : int
        Length of the longest prefix of its prompt that any engine has cached.

    Returns
    -------
    float
        Seconds.
    """
    read = max(0, generation.prompt_tokens - option.cached_tokens)
    first_event_s = _estimate_arrival_s(option, read)
    cost_s = first_event_s + option.failure_rate * FAILURE_COST_S
    cost_s += LATE_COST_S * estimate_late_share(first_event_s, generation.slack_s)
    stream_s = generation.stream_s * option.slowness * STREAM_MARGIN
    if first_event_s + stream_s > generation.left_s:
        cost_s += CUT_COST_S
    cost_s += (most_cached - option.cached_tokens) / PREFILL_TOKENS_PER_S * REREAD_WEIGHT
    memory_limit = MEMORY_SHARE * option.kv_tokens
    if memory_limit and option.memory_tokens + generation.prompt_tokens > memory_limit:
        cost_s += FULL_COST_S
    if option.requests >= option.slots:
        cost_s += FULL_COST_S * option.requests / option.slots
    return cost_s


class EngineChoice(msgspec.Struct, kw_only=True, frozen=True):
    """
    The engine chosen for a generation.

    Parameters
    ----------
    option : EngineOption
        The engine.
    uncached_s : float
        Shortest expected time in seconds to the first event at an engine that has cached nothing of
        the prompt; infinite if there is none.
    """

    option: EngineOption
    uncached_s: float


def choose_engine(
    options: Sequence[EngineOption], generation: Generation, *, rng: random.Random
) -> EngineChoice | None:
    """
    Choose the engine of a generation.

    Requests with the same shared prompt go to the engine that has cached it, unless the wait there
    costs more than reading the prompt again. Designed for long shared prompts that fit into the
    memory of the fleet once but not several times, for engines of unequal speed, some of them slow
    for seconds, for a prompt that a quarter of the requests share, and for results that are
    expensive to move.

    Parameters
    ----------
    options : sequence of EngineOption
        Engines that may get the request.
    generation : Generation
        The request.
    rng : random.Random
        Breaks ties.

    Returns
    -------
    EngineChoice or None
        None if there are no options.
    """
    if not options:
        return None
    most_cached = max(option.cached_tokens for option in options)
    compared = _find_soonest(options, generation.prompt_tokens)
    costs = [estimate_cost_s(option, generation, most_cached) for option in compared]
    if min(costs) >= FULL_COST_S and len(compared) < len(options):
        # The engines with the soonest first events may be full, and others not.
        compared = list(options)
        costs = [estimate_cost_s(option, generation, most_cached) for option in compared]
    chosen = choose_cheapest(list(zip(costs, compared, strict=True)), rng)
    uncached_s = min(
        (
            estimate_first_event_s(option, generation.prompt_tokens) * option.slowness
            for option in compared
            if not option.cached_tokens
        ),
        default=float("inf"),
    )
    return EngineChoice(option=chosen, uncached_s=uncached_s)


def _find_soonest(options: Sequence[EngineOption], prompt_tokens: int) -> list[EngineOption]:
    """Return the engines with a cached prefix, and the others with the soonest first events."""
    if len(options) <= COMPARED_ENGINES:
        return list(options)
    found = [option for option in options if option.cached_tokens]
    others = [option for option in options if not option.cached_tokens]
    return found + heapq.nsmallest(
        COMPARED_ENGINES, others, key=lambda option: _estimate_arrival_s(option, prompt_tokens)
    )

"""Choice of the upstream for an attempt."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from marigoldtrail.policy.prefixes import MAX_LOAD

# Candidates compared in a choice. bench/policy.py gave 2 to 3 points less goodput at the capacity
# with two random ones than with all; the bound keeps the cost of a choice in large pools constant.
SAMPLE = 16
# A cost unit weighs as much as this many milliseconds of expected time.
PRICE_MS = 10.0
# Share of the calls that go to an upstream in cold start while warm ones have room: without
# calls it would never become warm.
COLD_SHARE = 0.05


class Candidate(NamedTuple):
    """
    An upstream that may take a call.

    Parameters
    ----------
    name : str
        Name of the upstream.
    is_warm : bool
        Whether it may be called without a slot.
    load : float
        Estimated calls in progress divided by capacity.
    capacity : int
        Calls that it carries at the same time when warm.
    service_ms : float
        Recent duration of a call, in milliseconds; 0 if unknown.
    delay_ms : float
        One-way delay to its data centre in milliseconds.
    price : float
        Cost of the call with its transfer, in cost units.
    """

    name: str
    is_warm: bool
    load: float
    capacity: int
    service_ms: float
    delay_ms: float
    price: float


def expected_ms(candidate: Candidate, usual_ms: float) -> float:
    """
    Return the expected time of a call, with its price expressed as time.

    Parameters
    ----------
    candidate : Candidate
        The upstream.
    usual_ms : float
        Duration of the stage, used while the upstream has no measurement.

    Returns
    -------
    float
        Milliseconds. The time grows with the load, and more so beyond the capacity, where calls
        wait for each other.
    """
    filled = candidate.load + 1.0 / candidate.capacity
    service_ms = candidate.service_ms or usual_ms
    slowdown = 0.5 + 0.5 * filled if filled <= 1.0 else filled * filled
    return service_ms * slowdown + 2 * candidate.delay_ms + PRICE_MS * candidate.price


def choose(
    candidates: Sequence[Candidate],
    *,
    usual_ms: float,
    rng: random.Random,
    favourite: str = "",
) -> Candidate | None:
    """
    Choose the upstream of an attempt.

    Parameters
    ----------
    candidates : sequence of Candidate
        Upstreams that may take the call.
    usual_ms : float
        Duration of the stage in milliseconds.
    rng : random.Random
        Source of the sample.
    favourite : str
        Upstream with the prompt's prefix in its cache; taken unless it is loaded.

    Returns
    -------
    Candidate or None
        The choice; None without candidates.
    """
    warm = [item for item in candidates if item.is_warm]
    cold = [item for item in candidates if not item.is_warm]
    for item in warm:
        if item.name == favourite and item.load + 1.0 / item.capacity <= MAX_LOAD:
            return item
    if cold and (not warm or rng.random() < COLD_SHARE):
        return rng.choice(cold)
    if not warm:
        return None
    # A random order, so that equal ones are not taken in the order of the manifest.
    sample = rng.sample(warm, min(SAMPLE, len(warm)))
    return min(sample, key=lambda item: expected_ms(item, usual_ms))

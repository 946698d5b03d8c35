"""Choice of the upstream for an attempt by expected time and price."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from marigoldtrail.policy.prefixes import MAX_AFFINITY_LOAD

# Number of candidates compared. In bench/policy.py, comparing two random candidates gave 2 to 3
# percentage points less goodput at full capacity than comparing all; the limit bounds the cost of
# a choice in large pools.
SAMPLE_SIZE = 16
# Milliseconds of expected time that one cost unit is equivalent to.
MS_PER_PRICE_UNIT = 10.0
# Share of the calls sent to cold upstreams while there are warm ones: without calls, a cold
# upstream would never become warm.
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
        Concurrent calls that it carries when warm.
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
        Milliseconds. The time grows linearly with the load, and quadratically beyond the capacity,
        where calls are queued.
    """
    filled = candidate.load + 1.0 / candidate.capacity
    service_ms = candidate.service_ms or usual_ms
    slowdown = 0.5 + 0.5 * filled if filled <= 1.0 else filled * filled
    return service_ms * slowdown + 2 * candidate.delay_ms + MS_PER_PRICE_UNIT * candidate.price


def choose(
    candidates: Sequence[Candidate],
    *,
    usual_ms: float,
    rng: random.Random,
    preferred: str = "",
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
    preferred : str
        Upstream with the prefix of the prompt in its cache; chosen unless its load would exceed
        `MAX_AFFINITY_LOAD`.

    Returns
    -------
    Candidate or None
        The chosen upstream; None if there are no candidates.
    """
    warm = [item for item in candidates if item.is_warm]
    cold = [item for item in candidates if not item.is_warm]
    for item in warm:
        if item.name == preferred and item.load + 1.0 / item.capacity <= MAX_AFFINITY_LOAD:
            return item
    if cold and (not warm or rng.random() < COLD_SHARE):
        return rng.choice(cold)
    if not warm:
        return None
    # A random order, so that ties are not broken by the order of the manifest.
    sample = rng.sample(warm, min(SAMPLE_SIZE, len(warm)))
    return min(sample, key=lambda item: expected_ms(item, usual_ms))

"""Tests of the choice of upstreams and of the retry budget."""

import random
from collections import Counter

from marigoldtrail.policy.placement import (
    UpstreamOption,
    choose_by_rendezvous_hash,
    choose_service_upstream,
)
from marigoldtrail.policy.window_budget import WindowBudget

RNG = random.Random(1)


def test_plain_requests_go_to_the_fastest_available_upstream():
    """Guards against requests queued at a full or slow upstream while another is free."""
    options = [
        UpstreamOption(name="full", slots=2, requests=6),
        UpstreamOption(name="slow", slots=2, slowness=5.0),
        UpstreamOption(name="failing", slots=2, failure_rate=0.4),
        UpstreamOption(name="free", slots=2, requests=1),
    ]
    assert choose_service_upstream(options, work_s=0.02, rng=RNG) == "free"
    assert choose_service_upstream([], work_s=0.02, rng=RNG) is None


def test_equal_upstreams_share_the_load():
    """Guards against all entries choosing the same one of several free upstreams."""
    options = [UpstreamOption(name=name, slots=2) for name in "abcd"]
    chosen = Counter(choose_service_upstream(options, work_s=0.02, rng=RNG) for _ in range(400))
    assert min(chosen.values()) > 50


def test_loss_of_an_upstream_moves_only_its_own_keys():
    """Guards against the loss of all caches when one engine leaves."""
    names = list("abcdef")
    before = {key: choose_by_rendezvous_hash(str(key), names) for key in range(200)}
    after = {key: choose_by_rendezvous_hash(str(key), names[1:]) for key in range(200)}
    moved = [key for key in before if before[key] != after[key]]
    assert moved and all(before[key] == "a" for key in moved)


def test_retries_are_limited_to_a_share_of_the_requests_in_the_window():
    """Guards against retries that multiply the load on overloaded upstreams."""
    budget = WindowBudget(ratio=0.2, slack=8.0, window_s=10.0)
    for n in range(100):
        budget.add_request(n * 0.01)
    granted = sum(budget.try_take(1.0, entries=8) for _ in range(100))
    assert granted == int(0.7 * (0.2 * 100 + 1))
    # The requests have left the window, and so have the retries.
    assert sum(budget.try_take(30.0, entries=8) for _ in range(100)) == 0
    assert sum(budget.try_take(30.0, entries=1) for _ in range(100)) == 5

"""Tests of the choice of upstreams and of the retry budget."""

import random
from collections import Counter

from marigoldtrail.policy.placement import (
    EngineOption,
    UpstreamOption,
    choose_by_rendezvous_hash,
    choose_engine,
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


def test_prompt_goes_to_the_engine_that_has_cached_it_unless_it_is_too_busy():
    """Guards against long shared prompts that are read again, and against an overloaded engine."""

    def choose(unread):
        home = EngineOption(name="home", slots=64, cached_tokens=13_000, prefill_tokens=unread)
        return choose_engine(
            [home, EngineOption(name="other", slots=64)], prompt_tokens=17_000, rng=RNG
        )

    assert choose(0) == "home" and choose(10_000) == "home"
    assert choose(60_000) == "other"


def test_engine_without_memory_or_slots_is_avoided():
    """Guards against running requests that are preempted for lack of memory."""
    full = EngineOption(name="full", slots=64, memory_tokens=9000, kv_tokens=10_000)
    crowded = EngineOption(name="crowded", slots=4, requests=4)
    free = EngineOption(name="free", slots=64, requests=9, prefill_tokens=9000, kv_tokens=90_000)
    assert choose_engine([full, crowded, free], prompt_tokens=1000, rng=RNG) == "free"


def test_engine_near_the_results_is_chosen_if_loads_are_similar():
    """Guards against unnecessary transfers of large results between data centres."""
    far = EngineOption(name="far", slots=64, remote_bytes=6_000_000)
    near = EngineOption(name="near", slots=64, requests=5)
    assert choose_engine([far, near], prompt_tokens=1000, rng=RNG) == "near"


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

"""Tests of the choice of an engine for a generation."""

import random

import pytest

from marigoldtrail.policy.engine_choice import EngineOption, Generation, choose_engine

RNG = random.Random(1)


def choose(options, generation):
    return choose_engine(options, generation, rng=RNG).option.name


def test_prompt_goes_to_the_engine_that_has_cached_it_unless_it_is_too_busy():
    """Guards against long shared prompts that are read again, and against an overloaded engine."""

    def choose_with(unread):
        home = EngineOption(name="home", slots=64, cached_tokens=13_000, prefill_tokens=unread)
        return choose(
            [home, EngineOption(name="other", slots=64)], Generation(prompt_tokens=17_000)
        )

    assert choose_with(0) == "home" and choose_with(10_000) == "home"
    assert choose_with(60_000) == "other"


def test_engine_without_memory_or_slots_is_avoided():
    """Guards against running requests that are preempted for lack of memory."""
    full = EngineOption(name="full", slots=64, memory_tokens=9000, kv_tokens=10_000)
    crowded = EngineOption(name="crowded", slots=4, requests=4)
    free = EngineOption(name="free", slots=64, requests=9, prefill_tokens=9000, kv_tokens=90_000)
    assert choose([full, crowded, free], Generation(prompt_tokens=1000)) == "free"


def test_engine_near_the_results_is_chosen_if_loads_are_similar():
    """Guards against unnecessary transfers of large results between data centres."""
    far = EngineOption(name="far", slots=64, remote_bytes=6_000_000)
    near = EngineOption(name="near", slots=64, requests=5)
    assert choose([far, near], Generation(prompt_tokens=1000)) == "near"


@pytest.mark.parametrize("slack_s, expected", [(2.0, "home"), (0.5, "idle")])
def test_wait_for_a_cached_prompt_depends_on_the_time_left(slack_s, expected):
    """Guards against a request that is late at the engine of its prompt, or moves without need."""
    home = EngineOption(
        name="home", slots=64, kv_tokens=488_760, cached_tokens=13_300, prefill_tokens=25_000
    )
    idle = EngineOption(name="idle", slots=64, kv_tokens=488_760)
    generation = Generation(prompt_tokens=14_500, slack_s=slack_s)
    assert choose([home, idle], generation) == expected


def test_largest_prompts_go_to_fast_engines():
    """Guards against a long prompt at an engine that can't read it before it is late."""
    options = [
        EngineOption(name=f"{speed}", slots=64, requests=2, slowness=1 / speed)
        for speed in (0.6, 1.0, 1.6)
    ]
    generation = Generation(prompt_tokens=40_000, slack_s=0.9)
    assert choose(options, generation) == "1.6"


def test_slow_engine_serves_what_it_can_finish_in_time():
    """Guards against slow engines that get nothing, so that the fast ones are overloaded."""
    slow = EngineOption(name="slow", slots=64, slowness=1.7)
    busy = EngineOption(name="busy", slots=64, requests=30, prefill_tokens=9000, slowness=0.6)
    generation = Generation(prompt_tokens=1500, slack_s=1.0, left_s=8.0, stream_s=0.5)
    assert choose([slow, busy], generation) == "slow"


def test_stream_goes_where_it_can_end_before_its_deadline():
    """Guards against a stream that starts in time at a slow engine and is cut off at its end."""
    slow = EngineOption(name="slow", slots=64, slowness=1.7)
    fast = EngineOption(name="fast", slots=64, slowness=0.6, requests=40, prefill_tokens=20_000)
    generation = Generation(prompt_tokens=1500, slack_s=2.0, left_s=4.0, stream_s=1.5)
    assert choose([slow, fast], generation) == "fast"


def test_no_engine_is_chosen_from_none():
    """Guards against an error for a service whose engines are all gone."""
    assert choose_engine([], Generation(prompt_tokens=10), rng=RNG) is None

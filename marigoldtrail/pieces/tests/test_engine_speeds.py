"""Tests of the learned speeds of engines."""

import random

import pytest

from marigoldtrail.pieces.engine_speeds import EngineSpeeds


def observe(speeds, ratio, now, *, born_ms=0):
    speeds.observe("e", born_ms, expected_s=0.2, observed_s=0.2 * ratio, now=now)


@pytest.mark.parametrize("speed", [0.6, 1.0, 1.6])
def test_usual_speed_is_learned_beside_noise(speed):
    """Guards against an engine that counts as slow because its machine is busy now and then."""
    rng, speeds, seen = random.Random(2), EngineSpeeds(), []
    for number in range(120):
        # For 15% of the time other work makes the machine 2.5 times slower.
        noise = 2.5 if rng.random() < 0.15 else rng.uniform(0.9, 1.1)
        observe(speeds, noise / speed, 0.7 * number)
        seen.append(speeds.slowness_at("e", 0, 0.7 * number + 3.0))
    late = seen[20:]
    assert 0.75 / speed < sum(late) / len(late) < 1.4 / speed


def test_step_change_is_followed_at_once_and_forgotten():
    """Guards against requests sent to an engine that has turned slow, or kept from a sound one."""
    speeds = EngineSpeeds()
    for number in range(20):
        observe(speeds, 1.0, 0.5 * number)
    observe(speeds, 5.0, 10.0)
    assert speeds.slowness_at("e", 0, 10.1) > 4.0
    # Without another slow answer it gets work again, which shows its speed.
    assert speeds.slowness_at("e", 0, 14.0) < 1.4
    observe(speeds, 5.0, 14.0)
    observe(speeds, 1.0, 14.5)
    assert speeds.slowness_at("e", 0, 14.6) < 1.3


def test_speed_of_an_earlier_process_is_not_believed():
    """Guards against a replaced engine that keeps the slowness of the one before."""
    speeds = EngineSpeeds()
    observe(speeds, 5.0, 1.0, born_ms=1)
    assert speeds.slowness_at("e", 2, 1.1) == 1.0
    observe(speeds, 1.0, 1.2, born_ms=2)
    assert speeds.slowness_at("e", 2, 1.3) < 1.2
    speeds.retain(set())
    assert speeds.slowness_at("e", 2, 1.3) == 1.0


@pytest.mark.parametrize("observed_s", [0.0, -1.0, 1e9])
def test_impossible_times_change_little(observed_s):
    """Guards against a wrong time in a report that keeps an engine out of use."""
    speeds = EngineSpeeds()
    for number in range(10):
        observe(speeds, 1.0, float(number))
    speeds.observe("e", 0, expected_s=0.2, observed_s=observed_s, now=10.0)
    assert speeds.slowness_at("e", 0, 13.5) < 1.6


def observe_all(ratios):
    speeds = EngineSpeeds()
    for number in range(5):
        for name, ratio in enumerate(ratios):
            observed_s = 0.2 * ratio * (1.15 if number % 2 else 0.85)
            speeds.observe(f"e{name}", 0, expected_s=0.2, observed_s=observed_s, now=float(number))
    return speeds


def test_engines_count_as_unequal_only_if_several_differ():
    """Guards against prompts that move between equal engines for the noise of their times."""
    assert not observe_all([1.0] * 9).are_unequal(5.0)
    assert not observe_all([1.0] * 8 + [5.0]).are_unequal(5.0)
    assert observe_all([0.6, 1.0, 1.7] * 3).are_unequal(5.0)
    assert not EngineSpeeds().are_unequal(5.0)

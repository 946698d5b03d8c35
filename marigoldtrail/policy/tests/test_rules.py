"""Tests of policy rules whose faults a simulation would show only as worse results."""

import random

from marigoldtrail.policy import (
    Candidate,
    Estimator,
    UpstreamHealth,
    UpstreamLoad,
    choose,
    find_ejection,
    hedge_delay,
    is_deadline_unreachable,
    limit_attempt,
    split_budget,
)
from marigoldtrail.policy.migration import is_move_worthwhile


def make_candidate(name, **fields):
    values = {
        "is_warm": True,
        "load": 0.0,
        "capacity": 8,
        "service_ms": 100.0,
        "delay_ms": 0.0,
        "price": 0.0,
    }
    return Candidate(name=name, **(values | fields))


def pick_names(candidates, preferred="", calls=200):
    rng = random.Random(3)
    return {
        choose(candidates, usual_ms=100.0, rng=rng, preferred=preferred).name for _ in range(calls)
    }


def make_estimator(value_ms, samples=100):
    estimator = Estimator(expected_ms=1.0)
    for _ in range(samples):
        estimator.add(value_ms)
    return estimator


def test_cached_prefix_does_not_outweigh_overload():
    # Guards against prefix affinity that overloads one engine.
    other = make_candidate("other", load=0.5)
    assert pick_names([make_candidate("cached", load=0.6), other], "cached") == {"cached"}
    assert pick_names([make_candidate("cached", load=0.95), other], "cached") == {"other"}


def test_delay_and_price_of_links_count():
    # Guards against unnecessary calls to a distant or expensive data centre.
    assert pick_names([make_candidate("near"), make_candidate("far", delay_ms=5.0)]) == {"near"}
    assert pick_names([make_candidate("cheap"), make_candidate("dear", price=2.0)]) == {"cheap"}
    assert pick_names([make_candidate("near", load=2.0), make_candidate("far", delay_ms=5.0)]) == {
        "far"
    }


def test_equal_upstreams_share_the_calls():
    # Guards against every entry choosing the first upstream of the manifest.
    assert pick_names([make_candidate("a"), make_candidate("b"), make_candidate("c")]) == {
        "a",
        "b",
        "c",
    }


def test_cold_upstreams_get_few_calls_and_all_without_warm_ones():
    # Guards against upstreams that never become warm, and against cold ones chosen over warm ones.
    rng = random.Random(5)
    both = [make_candidate("warm"), make_candidate("cold", is_warm=False)]
    names = [choose(both, usual_ms=1.0, rng=rng).name for _ in range(1000)]
    assert 20 < names.count("cold") < 100
    assert pick_names(both[1:]) == {"cold"}
    assert choose([], usual_ms=1.0, rng=rng) is None


def test_delayed_report_is_corrected_by_own_calls_since_its_sample():
    # Guards against calls that are counted twice or not at all.
    load = UpstreamLoad()
    for _ in range(4):
        load.start(0.0)
    # The sample at 9 s holds the 4 calls; 2 more started after it.
    load.start(9.5)
    load.start(9.5)
    report = {"capacity": 10, "reported": 204, "has_reports": True, "entries": 1}
    assert load.estimate(10.0, **report) == 0.25 * (8 + 2) + 0.75 * 6
    load.add_header(10.0, 153)
    assert load.estimate(10.5, **report) == 6.0
    unreported = {"capacity": 10, "reported": 0, "has_reports": False, "entries": 3}
    assert load.estimate(10.0, **unreported) == 18.0


def test_the_last_usable_upstreams_are_never_ejected():
    # Guards against a pool with all upstreams ejected in an outage.
    pool = {f"u{index}": UpstreamHealth() for index in range(4)}
    ejected = 0
    for name, health in pool.items():
        for _ in range(3):
            health.fail()
        if find_ejection(name, pool, 0.0):
            health.eject(0.0)
            ejected += 1
    assert ejected == 2
    lone = {"u": UpstreamHealth()}
    for _ in range(9):
        lone["u"].fail()
    assert find_ejection("u", lone, 0.0) == ""


def test_slow_upstream_is_ejected_and_restored_by_one_probe():
    # Guards against a slow upstream that keeps its share, and a burst of calls when it is restored.
    pool = {f"u{index}": UpstreamHealth() for index in range(4)}
    for name, health in pool.items():
        for _ in range(10):
            health.succeed(1000.0 if name == "u0" else 100.0)
    assert "median" in find_ejection("u0", pool, 0.0)
    assert not find_ejection("u1", pool, 0.0)
    health = pool["u0"]
    assert health.eject(0.0) == 1.0
    assert not health.is_usable(0.9)
    assert health.is_usable(1.1)
    health.start(1.1)
    assert not health.is_usable(1.1)
    health.fail()
    assert find_ejection("u0", pool, 1.2) == "probe failed"
    assert health.eject(1.2) == 2.0
    health.start(3.3)
    health.succeed(100.0)
    assert health.is_usable(3.3) and not health.is_ejected


def test_the_deadline_leaves_time_for_later_stages():
    # Guards against an early stage that uses up the time of the others.
    assert abs(split_budget(10.0, [make_estimator(2000.0)]) - 8.0) < 0.2
    assert split_budget(1.0, [make_estimator(5000.0)]) == 0.5
    assert is_deadline_unreachable(1.0, [make_estimator(600.0), make_estimator(600.0)])
    assert not is_deadline_unreachable(1.0, [Estimator(expected_ms=9000.0)])


def test_attempt_leaves_time_for_another_only_if_one_may_follow():
    # Guards against a hung upstream that uses up the whole deadline.
    estimator = make_estimator(100.0)
    assert limit_attempt(10.0, estimator, may_repeat=True) == 5.0
    assert limit_attempt(10.0, estimator, may_repeat=False) == 10.0
    assert limit_attempt(0.4, estimator, may_repeat=True) == 0.4


def test_hedges_need_measurements_and_time():
    # Guards against hedges without measurements and hedges that cannot finish in time.
    assert hedge_delay(Estimator(expected_ms=10.0), 5.0) is None
    assert 0.1 <= hedge_delay(make_estimator(100.0), 5.0) <= 0.11
    assert hedge_delay(make_estimator(100.0), 0.15) is None


def test_estimates_follow_a_change():
    # Guards against outdated estimates.
    estimator = make_estimator(10.0, samples=5000)
    for _ in range(1500):
        estimator.add(100.0)
    assert estimator.quantile(0.5) > 90.0


def test_a_cache_moves_only_if_that_is_cheaper_and_in_time():
    # Guards against transfers that cost more than computing the tokens again.
    cache = {"prompt_chars": 4000, "tokens": 100, "price_per_token": 0.1}
    assert is_move_worthwhile(**cache, price_per_mb=0.5, remaining_s=3.0)
    assert not is_move_worthwhile(**cache, price_per_mb=1.0, remaining_s=3.0)
    assert not is_move_worthwhile(**cache, price_per_mb=0.5, remaining_s=0.2)

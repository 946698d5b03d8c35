"""Evidence, ramp and waiting times of one upstream on its owner."""

import pytest

from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.slots.tests.fakes import Report, make_upstream
from marigoldtrail.slots.tracker import UpstreamTracker

WARM = UpstreamStatus(upstream="u1", instance="i1", state="warm")


def make_tracker(*, status=None, **options):
    return UpstreamTracker(
        upstream=make_upstream(**options), epoch=1, now=0.0, grants_from=0.0, status=status
    )


def sample(at, lag_ms=0, **fields):
    return Report(sampled_ms=round(at * 1000) + 1_000_000 - lag_ms, **fields)


def complete_round(tracker, now):
    """Fill all slots, then complete their calls."""
    taken = []
    while tracker.grant(f"{now}-{len(taken)}", now=now, hold_s=1) is not None:
        taken.append(f"{now}-{len(taken)}")
    for slot_id in taken:
        tracker.release(slot_id, succeeded=True, instance="", now=now)
    return len(taken)


def test_ramp_doubles_after_each_full_round_up_to_capacity():
    """Guards against a ramp that skips a round or ends below the capacity."""
    tracker = make_tracker(reports_load=False)
    assert [complete_round(tracker, now) for now in range(3)] == [2, 4, 8]
    assert tracker.state == "warm"


def test_calls_of_an_earlier_round_do_not_advance_the_ramp():
    """Guards against a burst of answers that doubles the slots several times."""
    tracker = make_tracker(reports_load=False)
    for slot_id in ("a", "b"):
        tracker.grant(slot_id, now=0, hold_s=9)
    tracker.release("a", succeeded=True, instance="", now=1)
    tracker.grant("c", now=1, hold_s=9)
    tracker.release("b", succeeded=True, instance="", now=2)
    assert tracker.limit == 4
    for slot_id in ("c",):
        tracker.release(slot_id, succeeded=True, instance="", now=2)
    assert tracker.successes == 0


def test_failed_call_restarts_the_ramp():
    """Guards against increasing the load on an upstream that fails under it."""
    tracker = make_tracker(reports_load=False)
    complete_round(tracker, 0)
    tracker.grant("a", now=1, hold_s=1)
    tracker.release("a", succeeded=False, instance="", now=1)
    assert tracker.allowed() == 2


def test_reporting_upstream_is_held_to_its_own_cold_slots():
    """Guards against a ramp that exceeds the cold slots that the upstream reports."""
    tracker = make_tracker()
    tracker.add_sample(sample(1), now=1)
    assert [complete_round(tracker, now) for now in (2, 3, 4, 5)] == [2, 2, 2, 2]
    assert tracker.state != "warm"


@pytest.mark.parametrize("lag_ms", [0, 2000, 4900])
def test_stale_warm_report_does_not_end_the_cold_start(lag_ms):
    """Guards against trusting a load report that was sampled before the change to cold."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(10, state="warm"), now=10)
    assert tracker.add_evidence("i1", "cold", "slow", now=11)
    tracker.add_sample(sample(11 + lag_ms / 1000, lag_ms, state="warm"), now=11 + lag_ms / 1000)
    assert tracker.state == "cold"
    tracker.add_sample(sample(16.2, state="warm"), now=16.2)
    assert tracker.state == "warm"


def test_warm_report_with_constant_lag_is_not_trusted_early():
    """Guards against mistaking a constant lag of the reports for a clock offset."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(10, 4000, state="warm"), now=10)
    tracker.add_evidence("i1", "cold", "slow", now=11)
    tracker.add_sample(sample(14.9, 4000, state="warm"), now=14.9)
    assert tracker.state == "cold"


def test_change_to_cold_in_the_same_process_waits_for_all_views():
    """Guards against grants while other nodes still treat the upstream as warm."""
    tracker = make_tracker(status=WARM)
    tracker.add_evidence("i1", "cold", "slow", now=10)
    assert tracker.grant("a", now=14.9, hold_s=1) is None
    assert tracker.grant("a", now=15.0, hold_s=1) is not None


def test_wait_also_applies_after_the_state_down():
    """Guards against skipping the wait by way of the state down."""
    tracker = make_tracker(status=WARM)
    tracker.add_failed_probe(refused=True, now=10)
    assert tracker.grant("a", now=11, hold_s=1) is None
    tracker.add_sample(sample(12), now=12)
    assert tracker.grant("a", now=14.9, hold_s=1) is None
    assert tracker.grant("a", now=15.0, hold_s=1) is not None


def test_new_instance_is_cold_and_needs_no_wait():
    """Guards against a restarted process that inherits the warm state of its predecessor."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(1, state="warm"), now=1)
    tracker.add_sample(sample(2, state="cold", instance="i2"), now=2)
    assert (tracker.state, tracker.instance) == ("cold", "i2")
    assert tracker.grant("a", now=2, hold_s=1) is not None
    tracker.add_sample(sample(2.5, 1000, state="warm", instance="i1"), now=2.5)
    assert (tracker.state, tracker.instance) == ("cold", "i2")


def test_upstream_without_reports_waits_even_with_a_new_instance():
    """Guards against grants while other nodes do not know of the new process yet."""
    tracker = make_tracker(status=WARM, reports_load=False)
    tracker.add_evidence("i2", "cold", "connection reset", now=10)
    assert tracker.grant("a", now=14, hold_s=1) is None


def test_cold_state_of_the_former_owner_outweighs_a_lagging_report():
    """Guards against a new owner that trusts a report from before the change to cold."""
    status = UpstreamStatus(upstream="u1", instance="i1", state="cold")
    tracker = make_tracker(status=status)
    tracker.add_sample(sample(1, state="warm"), now=1)
    assert tracker.state == "cold"


def test_leaving_is_not_undone_by_a_lagging_report():
    """Guards against new work for an upstream that is leaving."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(1, state="warm"), now=1)
    tracker.add_evidence("i1", "leaving", "reply header", now=2)
    tracker.add_sample(sample(3, state="warm"), now=3)
    assert tracker.state == "leaving"
    assert tracker.grant("a", now=20, hold_s=1) is None


def test_upstream_is_down_after_three_failed_probes():
    """Guards against a dead upstream that stays warm, and one lost probe that marks it down."""
    tracker = make_tracker(status=WARM)
    states = []
    for now in (1, 2, 3):
        tracker.add_failed_probe(refused=False, now=now)
        states.append(tracker.state)
    assert states == ["warm", "warm", "down"]

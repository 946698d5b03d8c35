"""Evidence, ramp and waits of one upstream on its owner."""

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


def finish_round(tracker, now):
    """Fill all slots, then complete their calls."""
    taken = []
    while tracker.grant(f"{now}-{len(taken)}", now=now, hold_s=1) is not None:
        taken.append(f"{now}-{len(taken)}")
    for slot_id in taken:
        tracker.release(slot_id, succeeded=True, instance="", now=now)
    return len(taken)


def test_ramp_doubles_after_each_full_round_up_to_capacity():
    """Guards against a ramp that skips a round or ends before capacity."""
    tracker = make_tracker(reports_load=False)
    assert [finish_round(tracker, now) for now in range(3)] == [2, 4, 8]
    assert tracker.state == "warm"


def test_calls_of_an_earlier_round_do_not_advance_the_ramp():
    """Guards against one burst of answers that doubles the slots several times."""
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
    """Guards against growing load on an upstream that fails under it."""
    tracker = make_tracker(reports_load=False)
    finish_round(tracker, 0)
    tracker.grant("a", now=1, hold_s=1)
    tracker.release("a", succeeded=False, instance="", now=1)
    assert tracker.allowed() == 2


def test_reporting_upstream_is_held_to_its_own_cold_slots():
    """Guards against a ramp that outruns what the upstream says it can carry."""
    tracker = make_tracker()
    tracker.add_sample(sample(1), now=1)
    assert [finish_round(tracker, now) for now in (2, 3, 4, 5)] == [2, 2, 2, 2]
    assert tracker.state != "warm"


@pytest.mark.parametrize("lag_ms", [0, 2000, 4900])
def test_stale_warm_report_does_not_win_back_slots(lag_ms):
    """Guards against a report that was sampled before the turn to cold."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(10, state="warm"), now=10)
    assert tracker.add_evidence("i1", "cold", "slow", now=11)
    tracker.add_sample(sample(11 + lag_ms / 1000, lag_ms, state="warm"), now=11 + lag_ms / 1000)
    assert tracker.state == "cold"
    tracker.add_sample(sample(16.2, state="warm"), now=16.2)
    assert tracker.state == "warm"


def test_warm_report_with_constant_lag_is_not_believed_early():
    """Guards against taking the lag of all reports for a difference of the clocks."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(10, 4000, state="warm"), now=10)
    tracker.add_evidence("i1", "cold", "slow", now=11)
    tracker.add_sample(sample(14.9, 4000, state="warm"), now=14.9)
    assert tracker.state == "cold"


def test_turn_to_cold_in_the_same_process_waits_for_all_views():
    """Guards against grants while other nodes still send as to a warm upstream."""
    tracker = make_tracker(status=WARM)
    tracker.add_evidence("i1", "cold", "slow", now=10)
    assert tracker.grant("a", now=14.9, hold_s=1) is None
    assert tracker.grant("a", now=15.0, hold_s=1) is not None


def test_wait_also_holds_after_a_time_as_down():
    """Guards against a way around the wait through the state down."""
    tracker = make_tracker(status=WARM)
    tracker.add_failed_probe(refused=True, now=10)
    assert tracker.grant("a", now=11, hold_s=1) is None
    tracker.add_sample(sample(12), now=12)
    assert tracker.grant("a", now=14.9, hold_s=1) is None
    assert tracker.grant("a", now=15.0, hold_s=1) is not None


def test_new_instance_is_cold_and_needs_no_wait():
    """Guards against a restarted process that inherits the warm state of the former one."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(1, state="warm"), now=1)
    tracker.add_sample(sample(2, state="cold", instance="i2"), now=2)
    assert (tracker.state, tracker.instance) == ("cold", "i2")
    assert tracker.grant("a", now=2, hold_s=1) is not None
    tracker.add_sample(sample(2.5, 1000, state="warm", instance="i1"), now=2.5)
    assert (tracker.state, tracker.instance) == ("cold", "i2")


def test_upstream_without_reports_waits_even_with_a_new_instance():
    """Guards against nodes that learn of the new process only from their views."""
    tracker = make_tracker(status=WARM, reports_load=False)
    tracker.add_evidence("i2", "cold", "connection reset", now=10)
    assert tracker.grant("a", now=14, hold_s=1) is None


def test_former_owners_cold_state_is_not_overruled_by_a_lagging_report():
    """Guards against a new owner that believes a report from before the turn to cold."""
    status = UpstreamStatus(upstream="u1", instance="i1", state="cold")
    tracker = make_tracker(status=status)
    tracker.add_sample(sample(1, state="warm"), now=1)
    assert tracker.state == "cold"


def test_leaving_is_not_undone_by_a_lagging_report():
    """Guards against new work for an upstream that has begun to leave."""
    tracker = make_tracker(status=WARM)
    tracker.add_sample(sample(1, state="warm"), now=1)
    tracker.add_evidence("i1", "leaving", "reply header", now=2)
    tracker.add_sample(sample(3, state="warm"), now=3)
    assert tracker.state == "leaving"
    assert tracker.grant("a", now=20, hold_s=1) is None


def test_three_failed_probes_are_down():
    """Guards against a dead upstream that stays warm, and against one lost probe as a verdict."""
    tracker = make_tracker(status=WARM)
    states = []
    for now in (1, 2, 3):
        tracker.add_failed_probe(refused=False, now=now)
        states.append(tracker.state)
    assert states == ["warm", "warm", "down"]

"""Callers that come back after a refusal."""

from marigoldtrail.policy.returning import LEAST_RECENT, RECENT, UsualDeadline


def test_new_callers_have_not_waited():
    """Guards against new callers that are taken for returning ones."""
    usual = UsualDeadline()
    assert [usual.waited_s(12.0 - n / 100) for n in range(20)] == [0.0] * 20


def test_first_requests_tell_nothing():
    """Guards against a usual deadline that is learned from one odd caller."""
    usual = UsualDeadline()
    usual.waited_s(60.0)
    assert [usual.waited_s(12.0) for _ in range(LEAST_RECENT - 2)] == [0.0] * (LEAST_RECENT - 2)


def test_returning_callers_are_known_in_a_burst_of_them():
    """Guards against a burst of returning callers that is taken for new ones."""
    usual = UsualDeadline()
    for number in range(RECENT):
        usual.waited_s(12.0 if number % 2 else 12.0 - number / 16)
    assert abs(usual.waited_s(10.0) - 2.0) < 1e-9


def test_callers_with_long_deadlines_do_not_make_others_late():
    """Guards against a few callers with long deadlines that make all others look late."""
    usual = UsualDeadline()
    for number in range(RECENT):
        usual.waited_s(60.0 if number % 8 == 0 else 12.0)
    assert usual.waited_s(12.0) == 0.0


def test_change_of_the_usual_deadline_is_learned():
    """Guards against a new deadline of all callers that counts as waiting for ever."""
    usual = UsualDeadline()
    for _ in range(RECENT):
        usual.waited_s(12.0)
    for _ in range(RECENT):
        usual.waited_s(8.0)
    assert usual.waited_s(8.0) == 0.0

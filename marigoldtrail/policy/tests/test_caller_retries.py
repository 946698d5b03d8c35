"""Tests of the detection of callers that retry after a refusal."""

from marigoldtrail.policy.caller_retries import MAX_SAMPLES, MIN_SAMPLES, DeadlineEstimator


def test_new_callers_have_not_waited():
    """Guards against new callers classified as retrying ones."""
    estimator = DeadlineEstimator()
    assert [estimator.estimate_waited_s(12.0 - n / 100) for n in range(20)] == [0.0] * 20


def test_few_samples_give_no_estimate():
    """Guards against a usual deadline estimated from one unusual caller."""
    estimator = DeadlineEstimator()
    estimator.estimate_waited_s(60.0)
    assert [estimator.estimate_waited_s(12.0) for _ in range(MIN_SAMPLES - 2)] == [0.0] * (
        MIN_SAMPLES - 2
    )


def test_retrying_callers_are_detected_in_a_burst_of_them():
    """Guards against a burst of retrying callers classified as new ones."""
    estimator = DeadlineEstimator()
    for number in range(MAX_SAMPLES):
        estimator.estimate_waited_s(12.0 if number % 2 else 12.0 - number / 16)
    assert abs(estimator.estimate_waited_s(10.0) - 2.0) < 1e-9


def test_callers_with_long_deadlines_do_not_make_others_late():
    """Guards against all others classified as retrying because a few deadlines are long."""
    estimator = DeadlineEstimator()
    for number in range(MAX_SAMPLES):
        estimator.estimate_waited_s(60.0 if number % 8 == 0 else 12.0)
    assert estimator.estimate_waited_s(12.0) == 0.0


def test_change_of_the_usual_deadline_is_learned():
    """Guards against a shorter deadline of all callers that counts as a wait forever."""
    estimator = DeadlineEstimator()
    for _ in range(MAX_SAMPLES):
        estimator.estimate_waited_s(12.0)
    for _ in range(MAX_SAMPLES):
        estimator.estimate_waited_s(8.0)
    assert estimator.estimate_waited_s(8.0) == 0.0

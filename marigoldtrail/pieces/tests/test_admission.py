"""Which requests are let in, and when refused callers come back."""

from marigoldtrail.pieces.admission import (
    LONGEST_RETURN_S,
    MAX_BACKLOG_S,
    RETURN_SHARE,
    ReturnPlan,
    StageWork,
)


def work_of(share_s, *, backlog_s=MAX_BACKLOG_S + 0.2, service="s"):
    return [StageWork(own_s=0.2, backlog_s=backlog_s, service=service, share_s=share_s)]


def test_refused_callers_come_back_one_after_the_other():
    """Guards against a burst that comes back as a burst: each is served in the time promised."""
    plan = ReturnPlan()
    times = [plan.next_return_s(work_of(0.05), 0.3, 0.0) for _ in range(20)]
    assert times[0] == 0.3
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert all(abs(gap - 0.05 / RETURN_SHARE) < 1e-9 for gap in gaps)
    # The upstreams need no more time for those that come back than they have until then.
    assert all(0.05 * n <= time for n, time in enumerate(times))


def test_services_are_promised_apart():
    """Guards against callers that are kept away by the load of a service they don't need."""
    plan = ReturnPlan()
    for _ in range(10):
        plan.next_return_s(work_of(0.2, service="busy"), 0.3, 0.0)
    assert plan.next_return_s(work_of(0.2, service="free"), 0.3, 0.0) == 0.3


def test_promises_have_an_end():
    """Guards against callers that are told to come back after they have left."""
    plan = ReturnPlan()
    times = [plan.next_return_s(work_of(1.0), 0.3, 0.0) for _ in range(20)]
    assert max(times) <= LONGEST_RETURN_S
    assert plan.next_return_s(work_of(1.0), 0.3, 100.0) == 100.3 - 100.0

"""Division of the deadline of a request between its stages."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldtrail.policy.quantiles import BUCKET_GROWTH, Estimator

# Quantile of the durations of later stages for which time is reserved.
LATER_QUANTILE = 0.9
# A request with less time than this quantile of its remaining stages can't be expected to finish.
HOPELESS_QUANTILE = 0.1
# A call that has taken this many times its 95% quantile is given up in favour of another attempt.
ATTEMPT_TIMEOUT_FACTOR = 3.0


def split_budget(remaining_s: float, later: Sequence[Estimator]) -> float:
    """
    Return the time that a stage may take.

    Parameters
    ----------
    remaining_s : float
        Seconds until the deadline of the request.
    later : sequence of Estimator
        Durations of the stages after it, including the commit of the record.

    Returns
    -------
    float
        Seconds; at least half of the remaining time, so that a wrong estimate of a later stage
        cannot starve this one.
    """
    reserve_s = sum(estimator.quantile(LATER_QUANTILE) for estimator in later) / 1000
    return max(remaining_s - reserve_s, remaining_s / 2, 0.0)


def is_deadline_unreachable(remaining_s: float, ahead: Sequence[Estimator]) -> bool:
    """
    Tell whether a request cannot be expected to finish in time.

    Parameters
    ----------
    remaining_s : float
        Seconds until the deadline of the request.
    ahead : sequence of Estimator
        Durations of all stages that are still to run.

    Returns
    -------
    bool
        True if even fast answers would be late. Stages without measurements are ignored.
    """
    least_ms = sum(
        item.quantile(HOPELESS_QUANTILE) / BUCKET_GROWTH for item in ahead if item.is_learned
    )
    return remaining_s <= 0 or remaining_s * 1000 < least_ms


def limit_attempt(budget_s: float, estimator: Estimator, *, may_repeat: bool) -> float:
    """
    Return the time after which an attempt is given up.

    Parameters
    ----------
    budget_s : float
        Seconds left for the stage.
    estimator : Estimator
        Duration of the stage.
    may_repeat : bool
        Whether another attempt may follow.

    Returns
    -------
    float
        Seconds. If the stage may be repeated and there is time, an attempt is limited to leave
        time for another one, but never to less than `ATTEMPT_TIMEOUT_FACTOR` times its 95%
        quantile.
    """
    p95_s = estimator.quantile(0.95) / 1000
    if not may_repeat or not estimator.is_learned or budget_s < 2 * ATTEMPT_TIMEOUT_FACTOR * p95_s:
        return budget_s
    return max(budget_s / 2, ATTEMPT_TIMEOUT_FACTOR * p95_s)

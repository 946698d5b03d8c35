"""Delay after which a second attempt is sent because the first is slow."""

from __future__ import annotations

from marigoldtrail.policy.quantiles import Estimator

HEDGE_SHARE = 0.95
# Hedges are sent only up to this share of the limit on outstanding calls of this node. On a busy
# pool each hedge would take the place of another request.
MAX_HEDGE_LOAD = 0.5


def hedge_delay(estimator: Estimator, budget_s: float) -> float | None:
    """
    Return the time after which to send a hedged request.

    Parameters
    ----------
    estimator : Estimator
        Duration of the stage.
    budget_s : float
        Seconds left for the stage.

    Returns
    -------
    float or None
        Seconds after the start of the first attempt; None if the stage has not been measured or a
        second attempt would not finish within the budget.
    """
    if not estimator.is_learned:
        return None
    delay_s = estimator.quantile(HEDGE_SHARE) / 1000
    if delay_s + estimator.quantile(0.5) / 1000 > budget_s:
        return None
    return delay_s

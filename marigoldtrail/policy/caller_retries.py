"""
Detects callers that retry after a refusal.

In a burst with many refusals, the answer to a caller that has already waited is late sooner than
the deadline of its new request suggests, and it must not make the answers to others late.
"""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 64
MIN_SAMPLES = 8
# First requests have the longest deadlines. A quantile below 1 ignores the few callers that send
# unusually long ones.
USUAL_QUANTILE = 0.75
TOLERANCE_SHARE = 0.02


class DeadlineEstimator:
    """
    Estimate of the deadline that the callers of one route send with their first request.

    Examples
    --------
    >>> estimator = DeadlineEstimator()
    >>> for _ in range(8):
    ...     _ = estimator.estimate_waited_s(12.0)
    >>> estimator.estimate_waited_s(9.5)
    2.5
    """

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=MAX_SAMPLES)

    def estimate_waited_s(self, deadline_s: float) -> float:
        """
        Add the deadline of a request and estimate how long its caller has waited.

        Parameters
        ----------
        deadline_s : float
            Deadline of the request in seconds from now.

        Returns
        -------
        float
            Estimated seconds since the first request of the caller; 0 for a new caller.
        """
        self._recent.append(deadline_s)
        if len(self._recent) < MIN_SAMPLES:
            return 0.0
        usual_s = sorted(self._recent)[int(USUAL_QUANTILE * (len(self._recent) - 1))]
        waited_s = usual_s - deadline_s
        return waited_s if waited_s > TOLERANCE_SHARE * usual_s else 0.0

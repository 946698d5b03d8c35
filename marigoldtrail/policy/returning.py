"""
Tells callers that come back after a refusal from new ones.

Answers bursts in which many callers are refused: the answer to one that has waited already is late
sooner than its new request says, and must not make the answers to others late.
"""

from __future__ import annotations

from collections import deque

RECENT = 64
LEAST_RECENT = 8
# Callers that ask for the first time send the longest deadlines; a few send others of their own.
RANK_SHARE = 0.75
TOLERANCE_SHARE = 0.02


class UsualDeadline:
    """
    Deadline that the callers of one route send when they ask for the first time.

    Examples
    --------
    >>> usual = UsualDeadline()
    >>> for _ in range(8):
    ...     _ = usual.waited_s(12.0)
    >>> usual.waited_s(9.5)
    2.5
    """

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT)

    def waited_s(self, deadline_s: float) -> float:
        """
        Take in the deadline of a request.

        Parameters
        ----------
        deadline_s : float
            Seconds that the caller will still wait.

        Returns
        -------
        float
            Seconds since the caller probably asked first; 0 for a new one.
        """
        self._recent.append(deadline_s)
        if len(self._recent) < LEAST_RECENT:
            return 0.0
        usual_s = sorted(self._recent)[int(RANK_SHARE * (len(self._recent) - 1))]
        waited_s = usual_s - deadline_s
        return waited_s if waited_s > TOLERANCE_SHARE * usual_s else 0.0

"""Limit of second attempts to a share of the calls."""

from __future__ import annotations

SHARE = 0.1
# Lets a quiet node retry; also the most that a quiet time can save up for a burst of retries.
RESERVE = 10.0


class RetryBudget:
    """
    Tokens for retries and hedges: each first call adds a tenth of one.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> sum(budget.take() for _ in range(20))
    10
    >>> for _ in range(20):
    ...     budget.add_call()
    >>> sum(budget.take() for _ in range(20))
    2
    """

    __slots__ = ("_hundredths",)

    def __init__(self) -> None:
        # Integers: ten times 0.1 is less than 1 in floating point.
        self._hundredths = round(RESERVE * 100)

    def add_call(self) -> None:
        """Count a first call."""
        self._hundredths = min(round(RESERVE * 100), self._hundredths + round(SHARE * 100))

    def take(self) -> bool:
        """
        Ask for a second attempt.

        Returns
        -------
        bool
            Whether it is within the budget; it then counts as made.
        """
        if self._hundredths < 100:
            return False
        self._hundredths -= 100
        return True

"""Token bucket that limits retries and hedges to a share of the calls."""

from __future__ import annotations

RETRY_SHARE = 0.1
# Initial and maximum number of tokens: lets a node with few calls retry, and bounds the burst of
# retries after a quiet period.
MAX_TOKENS = 10.0


class RetryBudget:
    """
    Tokens for retries and hedges: each first call adds a tenth of a token.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> sum(budget.try_take() for _ in range(20))
    10
    >>> for _ in range(20):
    ...     budget.add_call()
    >>> sum(budget.try_take() for _ in range(20))
    2
    """

    __slots__ = ("_hundredths",)

    def __init__(self) -> None:
        # Integer, since ten times 0.1 is less than 1 in floating point.
        self._hundredths = round(MAX_TOKENS * 100)

    def add_call(self) -> None:
        """Count a first call."""
        self._hundredths = min(round(MAX_TOKENS * 100), self._hundredths + round(RETRY_SHARE * 100))

    def try_take(self) -> bool:
        """
        Take a token for a second attempt if there is one.

        Returns
        -------
        bool
            Whether a token was taken.
        """
        if self._hundredths < 100:
            return False
        self._hundredths -= 100
        return True

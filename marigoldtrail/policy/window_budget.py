"""Limit of repeated sends to a share of the requests within a sliding window."""

from __future__ import annotations

from collections import deque

BINS = 10
# Entries count for themselves, and the numbers of others may change within a window.
CAUTION = 0.7


class WindowBudget:
    """
    Repeated sends that one entry may make to a service.

    The limit holds for the whole fleet: each entry takes its own requests and its share of the
    constant part, both with a margin.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    slack : float
        Repeated sends beyond that, over the whole fleet.
    window_s : float
        Length of the window in seconds.

    Examples
    --------
    >>> budget = WindowBudget(ratio=0.2, slack=10.0, window_s=10.0)
    >>> sum(budget.take(0.0, entries=1) for _ in range(20))
    7
    >>> budget.take(20.0, entries=1)
    True
    """

    __slots__ = ("_ratio", "_slack", "_window_s", "_bins")

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        # Start, requests and repeated sends of each part of the window.
        self._bins: deque[list[float]] = deque()

    def _bin(self, now: float) -> list[float]:
        while self._bins and self._bins[0][0] <= now - self._window_s:
            self._bins.popleft()
        if not self._bins or self._bins[-1][0] <= now - self._window_s / BINS:
            self._bins.append([now, 0.0, 0.0])
        return self._bins[-1]

    def add_request(self, now: float) -> None:
        """Count the first send of a request at a monotonic time in seconds."""
        self._bin(now)[1] += 1

    def take(self, now: float, *, entries: int) -> bool:
        """
        Ask for a repeated send.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        entries : int
            Entries that share the limit.

        Returns
        -------
        bool
            Whether it is within the budget; it then counts as made.
        """
        current = self._bin(now)
        requests = sum(item[1] for item in self._bins)
        repeats = sum(item[2] for item in self._bins)
        if repeats + 1 > CAUTION * (self._ratio * requests + self._slack / max(1, entries)):
            return False
        current[2] += 1
        return True

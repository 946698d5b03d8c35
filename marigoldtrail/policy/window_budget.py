"""Limit on retries as a share of the requests in a sliding window."""

from __future__ import annotations

from collections import deque

BINS = 10
# Margin, since each entry counts only its own requests and the number of entries may change within
# a window.
SAFETY_FACTOR = 0.7


class WindowBudget:
    """
    Retry budget of one entry for a service.

    The limit holds for the whole fleet: each entry counts its own requests and its share of the
    constant part, both reduced by a safety factor.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries per window for the whole fleet.
    window_s : float
        Length of the window in seconds.

    Examples
    --------
    >>> budget = WindowBudget(ratio=0.2, slack=10.0, window_s=10.0)
    >>> sum(budget.try_take(0.0, entries=1) for _ in range(20))
    7
    >>> budget.try_take(20.0, entries=1)
    True
    """

    __slots__ = ("_ratio", "_slack", "_window_s", "_bins", "_held")

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        # Retries that are kept for later.
        self._held = 0
        # Start time, requests and retries of each bin of the window.
        self._bins: deque[list[float]] = deque()

    def _current_bin(self, now: float) -> list[float]:
        while self._bins and self._bins[0][0] <= now - self._window_s:
            self._bins.popleft()
        if not self._bins or self._bins[-1][0] <= now - self._window_s / BINS:
            self._bins.append([now, 0.0, 0.0])
        return self._bins[-1]

    def add_request(self, now: float) -> None:
        """Count the first send of a request at a monotonic time in seconds."""
        self._current_bin(now)[1] += 1

    def try_take(self, now: float, *, entries: int) -> bool:
        """
        Take one retry from the budget if possible.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        entries : int
            Entries that share the limit.

        Returns
        -------
        bool
            Whether the retry is within the budget; it is then counted.
        """
        if not self.has_room(now, entries=entries):
            return False
        self._current_bin(now)[2] += 1
        return True

    def hold(self) -> None:
        """Keep one retry for later; it counts in each window until it is used or given back."""
        self._held += 1

    def give_back(self) -> None:
        """Give a held retry back."""
        self._held -= 1

    def use_held(self, now: float) -> None:
        """Count a held retry as taken at a monotonic time in seconds."""
        self._held -= 1
        self._current_bin(now)[2] += 1

    def has_room(self, now: float, *, entries: int, retries: int = 1) -> bool:
        """Return whether `try_take` with the same arguments would grant a number of retries."""
        self._current_bin(now)
        requests = sum(item[1] for item in self._bins)
        taken = sum(item[2] for item in self._bins)
        limit = SAFETY_FACTOR * (self._ratio * requests + self._slack / max(1, entries))
        return taken + self._held + retries <= limit

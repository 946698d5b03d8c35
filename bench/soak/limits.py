"""Limit that an upstream names in its answers, and the count of the requests it gets."""

from __future__ import annotations

from collections import deque

# Bounds of the platform's rule: requests in a window once a limit has been known for some time.
SETTLE_S = 3.0
WINDOW_S = 4.0
MAX_RATIO = 1.5
SLACK = 5


class NamedLimit:
    """
    Limit of one upstream while it names one.

    Parameters
    ----------
    requests_per_s : float
        Requests a second that it takes.
    """

    __slots__ = ("requests_per_s", "_named_at", "_arrivals")

    def __init__(self, *, requests_per_s: float) -> None:
        self.requests_per_s = requests_per_s
        self._named_at = float("inf")
        self._arrivals: deque[float] = deque()

    def record_request(self, now: float) -> int:
        """
        Count a request, which is answered with the limit.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Number of requests in the window that ends now, from `SETTLE_S` after the first answer
            with the limit.
        """
        self._named_at = min(self._named_at, now)
        if now < self._named_at + SETTLE_S:
            return 0
        self._arrivals.append(now)
        while self._arrivals[0] < now - WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals)

    @property
    def max_requests(self) -> float:
        """Number of requests that the upstream may get in a window."""
        return MAX_RATIO * self.requests_per_s * WINDOW_S + SLACK

"""Decide whether a host that is being stopped can still finish a new request."""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 64
# From this time after the stop, callers with a current address come no more, and the few that do
# are refused unless their deadline ends the request in time.
CALLERS_GONE_S = 3.0


class StopAdmission:
    """
    Admits the requests of callers while a host is being stopped.

    A request that the end of the process cuts is lost, or runs without an answer; one that is
    refused on arrival is served by another host.

    Attributes
    ----------
    has_ended : bool
        Whether no request may go on any more.

    Examples
    --------
    >>> admission = StopAdmission()
    >>> admission.record_duration("chat", 4.0)
    >>> admission.start(now=100.0, ends_at=107.0)
    >>> admission.may_finish("chat", deadline=115.0, now=101.0)
    True
    >>> admission.may_finish("chat", deadline=115.0, now=103.5)
    False
    >>> admission.may_finish("chat", deadline=106.0, now=103.5)
    True
    """

    __slots__ = ("_durations_s", "_started_at", "_ends_at", "has_ended")

    def __init__(self) -> None:
        # Recent durations of served requests, by route.
        self._durations_s: dict[str, deque[float]] = {}
        self._started_at = float("inf")
        self._ends_at = float("inf")
        self.has_ended = False

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self._started_at < float("inf")

    def start(self, *, now: float, ends_at: float) -> None:
        """
        Begin the stop.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        ends_at : float
            Monotonic time in seconds at which requests in progress are cut.
        """
        self._started_at = now
        self._ends_at = ends_at

    def end(self) -> None:
        """End the stop: requests in progress are cut, and no more are begun."""
        self.has_ended = True

    def record_duration(self, route: str, took_s: float) -> None:
        """Record the seconds that a served request of a route took."""
        durations_s = self._durations_s.get(route)
        if durations_s is None:
            durations_s = self._durations_s[route] = deque(maxlen=MAX_SAMPLES)
        durations_s.append(took_s)

    def forget_except(self, routes: set[str]) -> None:
        """Forget the durations of all other routes."""
        for route in self._durations_s.keys() - routes:
            del self._durations_s[route]

    def may_finish(self, route: str, *, deadline: float, now: float) -> bool:
        """
        Return whether a new request can be expected to end before the host does.

        Parameters
        ----------
        route : str
            Name of its route.
        deadline, now : float
            Monotonic times in seconds.

        Returns
        -------
        bool
            False if it would probably be cut.
        """
        if deadline <= self._ends_at:
            return True
        if now >= self._started_at + CALLERS_GONE_S:
            return False
        longest_s = max(self._durations_s.get(route, ()), default=0.0)
        return now + longest_s <= self._ends_at

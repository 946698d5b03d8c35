"""Load of upstreams, from lagging reports and the node's own calls."""

from __future__ import annotations

from collections import deque

LOAD_STEPS = 255
# A report is sampled once a second and reaches the entries with the next Sync.
REPORT_LAG_S = 1.0
# Weight of a report against the assumption that other entries have as many calls as this one. In
# bench/policy.py reports alone gave less goodput than none, since they lag and end at capacity;
# this weight gave most at 4 and at 24 entries.
REPORT_WEIGHT = 0.25


class UpstreamLoad:
    """Own calls to one upstream and its last reports."""

    __slots__ = (
        "outstanding",
        "service_ms",
        "_history",
        "_header_load",
        "_header_at",
        "_header_own",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.service_ms = 0.0
        self._history: deque[tuple[float, int]] = deque()
        self._header_load = 0
        self._header_at = float("-inf")
        self._header_own = 0

    def start(self, now: float) -> None:
        """
        Count a call that starts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.outstanding += 1
        self._note(now)

    def finish(self, now: float, duration_ms: float | None) -> None:
        """
        Count a call that has ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        duration_ms : float or None
            Duration of an answered call; None for another outcome.
        """
        self.outstanding -= 1
        self._note(now)
        if duration_ms is not None:
            weight = 0.2 if self.service_ms else 1.0
            self.service_ms += weight * (duration_ms - self.service_ms)

    def add_header(self, now: float, load: int) -> None:
        """
        Take the load from the header of a reply.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        load : int
            Load in 1/255 of capacity; -1 if the reply did not give one.
        """
        if load >= 0:
            self._header_load = load
            self._header_at = now
            self._header_own = self.outstanding

    def estimate(
        self, now: float, *, capacity: int, reported: int, reports: bool, entries: int
    ) -> float:
        """
        Estimate the calls in progress at the upstream.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        capacity : int
            Calls that it carries at the same time.
        reported : int
            Distributed load in 1/255 of capacity.
        reports : bool
            Whether the upstream reports its load.
        entries : int
            Number of live entries.

        Returns
        -------
        float
            Calls in progress. Without reports, the other entries are taken to have as many calls
            as this one; a report, corrected by the own calls started or ended since its sample,
            is weighed against that.
        """
        alike = float(self.outstanding * entries)
        if not reports:
            return alike
        if now - self._header_at <= REPORT_LAG_S:
            load, own = self._header_load, self._header_own
        else:
            load, own = reported, self._own_at(now - REPORT_LAG_S)
        corrected = load * capacity / LOAD_STEPS + self.outstanding - own
        corrected = max(corrected, float(self.outstanding))
        return REPORT_WEIGHT * corrected + (1.0 - REPORT_WEIGHT) * alike

    def _note(self, now: float) -> None:
        history = self._history
        history.append((now, self.outstanding))
        # The newest change before the horizon tells the count at the horizon.
        while len(history) > 1 and history[1][0] <= now - REPORT_LAG_S:
            history.popleft()

    def _own_at(self, moment: float) -> int:
        count = 0
        for changed_at, outstanding in self._history:
            if changed_at > moment:
                break
            count = outstanding
        return count

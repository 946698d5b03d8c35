"""Estimate of the load of upstreams from delayed reports and the calls of this node."""

from __future__ import annotations

from collections import deque

LOAD_STEPS = 255
# Reports are sampled once per second and reach the entries with the next Sync.
REPORT_LAG_S = 1.0
# Weight of a report against the assumption that other entries have as many calls as this one. In
# bench/policy.py, reports alone gave less goodput than no reports, since they are delayed and
# capped at the capacity; this weight gave the highest goodput with 4 and with 24 entries.
REPORT_WEIGHT = 0.25


class UpstreamLoad:
    """Outstanding calls of this node to one upstream, and the last load reports of the upstream."""

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
        self._record(now)

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
        self._record(now)
        if duration_ms is not None:
            weight = 0.2 if self.service_ms else 1.0
            self.service_ms += weight * (duration_ms - self.service_ms)

    def add_header(self, now: float, load: int) -> None:
        """
        Record the load from the header of a reply.

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
        self, now: float, *, capacity: int, reported: int, has_reports: bool, entries: int
    ) -> float:
        """
        Estimate the calls in progress at the upstream.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        capacity : int
            Concurrent calls that it can carry.
        reported : int
            Load from the last distributed report, in 1/255 of capacity.
        has_reports : bool
            Whether the upstream reports its load.
        entries : int
            Number of live entries.

        Returns
        -------
        float
            Calls in progress. Without reports, every other entry is assumed to have as many calls
            as this one. A report, corrected by the calls of this node started or ended since its
            sample, is averaged with that value by `REPORT_WEIGHT`.
        """
        assumed = float(self.outstanding * entries)
        if not has_reports:
            return assumed
        if now - self._header_at <= REPORT_LAG_S:
            load, own = self._header_load, self._header_own
        else:
            load, own = reported, self._outstanding_at(now - REPORT_LAG_S)
        corrected = load * capacity / LOAD_STEPS + self.outstanding - own
        corrected = max(corrected, float(self.outstanding))
        return REPORT_WEIGHT * corrected + (1.0 - REPORT_WEIGHT) * assumed

    def _record(self, now: float) -> None:
        history = self._history
        history.append((now, self.outstanding))
        # Keep the newest change before the horizon: it gives the count at the horizon.
        while len(history) > 1 and history[1][0] <= now - REPORT_LAG_S:
            history.popleft()

    def _outstanding_at(self, moment: float) -> int:
        count = 0
        for changed_at, outstanding in self._history:
            if changed_at > moment:
                break
            count = outstanding
        return count

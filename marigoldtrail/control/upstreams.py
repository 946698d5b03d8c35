"""States and loads of the upstreams, merged from the observations of their slot owners."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from marigoldtrail.control.sections import VersionedEntries
from marigoldtrail.schema.generated.control import UpstreamObservation, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.timers import Timers

# A message of a replaced instance cannot arrive later than this: calls time out within 5 s.
REPLACED_INSTANCE_S = 60.0
# Samples are ordered by the upstream's wall clock. When that was set back, reports are believed
# again after this time, which no delayed message reaches.
SAMPLE_DOUBT_S = 30.0

# How much work a state admits: none, a few slots, all. A step up needs a newer sample.
_WORK_RANK = {"down": 0, "leaving": 0, "cold": 1, "warming": 1, "warm": 2}


class UpstreamRecord:
    """
    What the leader keeps of one upstream.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("models", "sampled_ms", "fell_sampled_ms", "changed_at", "taken_at", "replaced")

    def __init__(self, *, now: float) -> None:
        self.models: list[str] = []
        self.sampled_ms = 0
        # Newest sample at the time of the last step down; only a newer one can step up again.
        self.fell_sampled_ms = -1
        self.changed_at = now
        self.taken_at = now
        self.replaced: dict[str, float] = {}


class UpstreamBoard:
    """
    Merges observations into one state and one load per upstream.

    Parameters
    ----------
    timers : Timers
        Clock.
    on_change : callable
        Called with the old status (or None) and the new one.

    Attributes
    ----------
    entries : VersionedEntries of UpstreamStatus
        States by upstream.
    loads : bytearray
        One byte per upstream in the order of the manifest.
    loads_revision : int
        Grows with every change of the loads.
    """

    __slots__ = (
        "entries",
        "loads",
        "loads_revision",
        "_timers",
        "_on_change",
        "_records",
        "_positions",
        "_reporting",
    )

    def __init__(
        self,
        *,
        timers: Timers,
        on_change: Callable[[UpstreamStatus | None, UpstreamStatus], None] = lambda old, new: None,
    ) -> None:
        self.entries: VersionedEntries[UpstreamStatus] = VersionedEntries()
        self.loads = bytearray()
        self.loads_revision = 1
        self._timers = timers
        self._on_change = on_change
        self._records: dict[str, UpstreamRecord] = {}
        self._positions: dict[str, int] = {}
        self._reporting: frozenset[str] = frozenset()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """
        Follow a new manifest; upstreams that are not in it are forgotten.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Upstreams in the order of the manifest.
        """
        listed = list(upstreams)
        self._reporting = frozenset(item.name for item in listed if item.reports_load)
        positions = {upstream.name: index for index, upstream in enumerate(listed)}
        loads = bytearray(len(positions))
        for name, index in positions.items():
            if name in self._positions:
                loads[index] = self.loads[self._positions[name]]
        for name in [name for name in self._records if name not in positions]:
            del self._records[name]
            self.entries.remove(name)
        self._positions = positions
        self.loads = loads
        self.loads_revision += 1

    def merge(self, observations: Iterable[UpstreamObservation]) -> None:
        """
        Take in observations of the present slot owner, in the order in which it made them.

        Parameters
        ----------
        observations : iterable of UpstreamObservation
            What the owner saw.
        """
        loads_before = bytes(self.loads)
        for observation in observations:
            if observation.upstream in self._positions:
                self._merge_one(observation)
        if self.loads != loads_before:
            self.loads_revision += 1

    def record(self, upstream: str) -> UpstreamRecord | None:
        """
        Return what is kept of an upstream.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        UpstreamRecord or None
            None before the first observation.
        """
        return self._records.get(upstream)

    def status(self, upstream: str) -> UpstreamStatus | None:
        """
        Return the state of an upstream.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        UpstreamStatus or None
            None before the first observation.
        """
        return self.entries.get(upstream)

    def _merge_one(self, seen: UpstreamObservation) -> None:
        now = self._timers.now()
        known = self.entries.get(seen.upstream)
        record = self._records.get(seen.upstream)
        if record is None or known is None:
            record = self._records.setdefault(seen.upstream, UpstreamRecord(now=now))
            self._take(record, known, seen)
            return
        if _was_replaced(record, seen.instance, now):
            return
        if seen.instance and known.instance and seen.instance != known.instance:
            record.replaced[known.instance] = now
            record.fell_sampled_ms = -1
            record.sampled_ms = 0
            self._take(record, known, seen)
            return
        rise = _WORK_RANK[seen.state] - _WORK_RANK[known.state]
        # Without load reports there are no samples; the order of the owner's Syncs is all there is.
        has_samples = seen.upstream in self._reporting
        is_older = has_samples and seen.sampled_ms < record.sampled_ms
        if rise < 0:
            record.fell_sampled_ms = max(record.sampled_ms, seen.sampled_ms)
        elif rise > 0:
            is_older = has_samples and seen.sampled_ms <= max(
                record.fell_sampled_ms, record.sampled_ms - 1
            )
            if is_older and now - record.changed_at < SAMPLE_DOUBT_S:
                return
        elif is_older and now - record.taken_at < SAMPLE_DOUBT_S:
            return
        self._take(record, known, seen)

    def _take(
        self, record: UpstreamRecord, known: UpstreamStatus | None, seen: UpstreamObservation
    ) -> None:
        record.sampled_ms = seen.sampled_ms
        record.taken_at = self._timers.now()
        record.models = seen.models
        self.loads[self._positions[seen.upstream]] = min(max(seen.load, 0), 255)
        instance = seen.instance or (known.instance if known else "")
        if known is not None and known.state == seen.state and known.instance == instance:
            return
        record.changed_at = self._timers.now()
        status = UpstreamStatus(
            upstream=seen.upstream,
            instance=instance,
            state=seen.state,
            changed_ms=self._timers.wall_ms(),
            reason=seen.reason,
        )
        self.entries.put(seen.upstream, status)
        self._on_change(known, status)


def _was_replaced(record: UpstreamRecord, instance: str, now: float) -> bool:
    replaced_at = record.replaced.get(instance)
    if replaced_at is None:
        return False
    if now - replaced_at < REPLACED_INSTANCE_S:
        return True
    del record.replaced[instance]
    return False

"""States and loads of upstreams, merged from the observations of their slot owners."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from marigoldtrail.control.versioned_entries import VersionedEntries
from marigoldtrail.schema.generated.control import UpstreamObservation, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.timers import Timers

# Observations of a replaced instance are ignored for this time. None arrives later, since calls
# time out within 5 s.
REPLACED_INSTANCE_RETENTION_S = 60.0
# Samples are ordered by the upstream's wall clock. After that clock was set back, samples are
# accepted again after this time, which is longer than any message is delayed.
SAMPLE_DISTRUST_S = 30.0

# Rank by admitted work: 0 none, 1 a few slots, 2 all slots. A higher rank needs a newer sample.
_WORK_RANK = {"down": 0, "leaving": 0, "cold": 1, "warming": 1, "warm": 2}


class UpstreamRecord:
    """
    The leader's record of one upstream, beside its status.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "models",
        "sampled_ms",
        "step_down_sampled_ms",
        "changed_at",
        "updated_at",
        "replaced_at",
    )

    def __init__(self, *, now: float) -> None:
        self.models: list[str] = []
        self.sampled_ms = 0
        # Newest sample when the rank was last lowered; only a newer one can raise it again.
        self.step_down_sampled_ms = -1
        self.changed_at = now
        self.updated_at = now
        self.replaced_at: dict[str, float] = {}


class UpstreamStates:
    """
    Current state and load of each upstream, merged from observations.

    Parameters
    ----------
    timers : Timers
        Clock.
    on_change : callable
        Called with the old status (or None) and the new one.

    Attributes
    ----------
    entries : VersionedEntries of UpstreamStatus
        Status of each upstream.
    loads : bytearray
        Load of each upstream in the order of the manifest, one byte each.
    loads_revision : int
        Increases with every change of the loads.
    """

    __slots__ = (
        "entries",
        "loads",
        "loads_revision",
        "_timers",
        "_on_change",
        "_records",
        "_positions",
        "_load_reporters",
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
        self._load_reporters: frozenset[str] = frozenset()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """
        Replace the set of upstreams after a change of manifest; others are removed.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Upstreams in the order of the manifest.
        """
        listed = list(upstreams)
        self._load_reporters = frozenset(item.name for item in listed if item.reports_load)
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
        Merge observations of the current slot owner, in the order in which they were made.

        Parameters
        ----------
        observations : iterable of UpstreamObservation
            The observations.
        """
        loads_before = bytes(self.loads)
        for observation in observations:
            if observation.upstream in self._positions:
                self._merge_one(observation)
        if self.loads != loads_before:
            self.loads_revision += 1

    def record(self, upstream: str) -> UpstreamRecord | None:
        """
        Return the leader's record of an upstream.

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

    def _merge_one(self, observation: UpstreamObservation) -> None:
        now = self._timers.now()
        known = self.entries.get(observation.upstream)
        record = self._records.get(observation.upstream)
        if record is None or known is None:
            record = self._records.setdefault(observation.upstream, UpstreamRecord(now=now))
            self._store(record, known, observation)
            return
        if _was_replaced(record, observation.instance, now):
            return
        if observation.instance and known.instance and observation.instance != known.instance:
            record.replaced_at[known.instance] = now
            record.step_down_sampled_ms = -1
            record.sampled_ms = 0
            self._store(record, known, observation)
            return
        rise = _WORK_RANK[observation.state] - _WORK_RANK[known.state]
        # An upstream without load reports has no samples; the order of the Syncs decides instead.
        has_samples = observation.upstream in self._load_reporters
        is_older = has_samples and observation.sampled_ms < record.sampled_ms
        if rise < 0:
            record.step_down_sampled_ms = max(record.sampled_ms, observation.sampled_ms)
        elif rise > 0:
            is_older = has_samples and observation.sampled_ms <= max(
                record.step_down_sampled_ms, record.sampled_ms - 1
            )
            if is_older and now - record.changed_at < SAMPLE_DISTRUST_S:
                return
        elif is_older and now - record.updated_at < SAMPLE_DISTRUST_S:
            return
        self._store(record, known, observation)

    def _store(
        self, record: UpstreamRecord, known: UpstreamStatus | None, observation: UpstreamObservation
    ) -> None:
        record.sampled_ms = observation.sampled_ms
        record.updated_at = self._timers.now()
        record.models = observation.models
        self.loads[self._positions[observation.upstream]] = min(max(observation.load, 0), 255)
        instance = observation.instance or (known.instance if known else "")
        if known is not None and known.state == observation.state and known.instance == instance:
            return
        record.changed_at = self._timers.now()
        status = UpstreamStatus(
            upstream=observation.upstream,
            instance=instance,
            state=observation.state,
            changed_ms=self._timers.wall_ms(),
            reason=observation.reason,
        )
        self.entries.put(observation.upstream, status)
        self._on_change(known, status)


def _was_replaced(record: UpstreamRecord, instance: str, now: float) -> bool:
    replaced_at = record.replaced_at.get(instance)
    if replaced_at is None:
        return False
    if now - replaced_at < REPLACED_INSTANCE_RETENTION_S:
        return True
    del record.replaced_at[instance]
    return False

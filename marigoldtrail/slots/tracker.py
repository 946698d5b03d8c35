"""State of one upstream on its slot owner: cold-start state, slots and ramp.

All functions are synchronous and get the monotonic time as an argument from
`marigoldtrail.slots.owner` and `marigoldtrail.slots.prober`.
"""

from __future__ import annotations

from collections import deque
from typing import Literal, Protocol, TypeAlias

import msgspec

from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.schema.generated.manifest import Upstream

State: TypeAlias = Literal["cold", "warming", "warm", "leaving", "down"]

# Longest time for which a slot is granted, and for which a new owner waits; see design section 8.
MAX_GRANT_S = 12.0
# When an upstream turns cold without a restart, views of other nodes may show it as warm this long.
VIEW_LIFETIME_S = 5.0
# Load reports lag behind the upstream by up to this much, so a report that was sampled less than
# this after a change to cold may still describe the state before the change.
REPORT_LAG_MS = 5_000
# A single lost probe is not evidence that a process has ended.
MAX_FAILED_PROBES = 3
MAX_FORMER_INSTANCES = 8
# Shortest time after which an entry should repeat its request when no slot is free.
MIN_RETRY_S = 0.05
# Assumed duration of a call before the first release.
INITIAL_DURATION_S = 0.5
# Weight of the latest duration in the moving average.
DURATION_WEIGHT = 0.2
MAX_LOAD = 255


class LoadSample(Protocol):
    """Load report of an upstream, as read by the upstream client."""

    @property
    def instance(self) -> str:
        """Return the id of the process."""
        ...

    @property
    def state(self) -> State:
        """Return the state at the time of the sample."""
        ...

    @property
    def sampled_ms(self) -> int:
        """Return the wall time of the sample on the upstream's clock in milliseconds."""
        ...

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        ...

    @property
    def capacity(self) -> int:
        """Return how many calls may run while the upstream is warm."""
        ...

    @property
    def cold_slots(self) -> int:
        """Return how many calls may run at the current point of the cold start."""
        ...

    @property
    def models(self) -> list[str]:
        """Return the loaded models."""
        ...


class Slot(msgspec.Struct):
    """
    A granted slot.

    Parameters
    ----------
    expires_at : float
        Monotonic time in seconds by which the entry must have ended the call.
    held_until : float
        Monotonic time in seconds until which the slot is occupied unless a release says that the
        upstream has ended the call: services continue calls that their caller has abandoned.
    instance : str
        Instance known when the slot was granted.
    ramp_round : int
        Round of the ramp in which the slot was granted.
    """

    expires_at: float
    held_until: float
    instance: str
    ramp_round: int


class UpstreamTracker:
    """
    State of one upstream on its slot owner.

    Parameters
    ----------
    upstream : Upstream
        The upstream as the manifest describes it.
    epoch : int
        Epoch of this host's ownership.
    now : float
        Monotonic time in seconds.
    grants_from : float
        Monotonic time in seconds before which no slot is granted.
    status : UpstreamStatus or None
        State published by the former owner; None if unknown.

    Examples
    --------
    >>> upstream = Upstream(name="u", pool="p", kind="service", address="10.0.0.1:1",
    ...     data_centre="d", host="h", capacity=4, cold_slots=1, reports_load=False)
    >>> tracker = UpstreamTracker(upstream=upstream, epoch=1, now=0.0,
    ...     grants_from=12.0)
    >>> tracker.grant("a1", now=11.0, hold_s=2.0) is None
    True
    >>> tracker.grant("a1", now=12.0, hold_s=2.0)
    14.0
    >>> tracker.grant("a2", now=12.5, hold_s=2.0) is None
    True
    """

    __slots__ = (
        "upstream",
        "epoch",
        "state",
        "instance",
        "reason",
        "load",
        "sampled_ms",
        "models",
        "reported_cold_slots",
        "grants_from",
        "slots",
        "limit",
        "ramp_round",
        "successes",
        "failed_probes",
        "average_duration_s",
        "_former_instances",
        "_clock_offset_ms",
        "_distrusted_since",
        "_trusted_after_ms",
    )

    def __init__(
        self,
        *,
        upstream: Upstream,
        epoch: int,
        now: float,
        grants_from: float,
        status: UpstreamStatus | None = None,
    ) -> None:
        self.upstream = upstream
        self.epoch = epoch
        # The former owner's state is kept: entries resend later evidence of a cold upstream until
        # this owner has confirmed it.
        self.state: State = status.state if status is not None else "cold"
        self.instance = status.instance if status is not None else ""
        self.reason = "from the former owner" if status is not None else "unknown"
        self.load = 0
        self.sampled_ms = 0
        self.models: list[str] = []
        self.reported_cold_slots = upstream.cold_slots
        self.grants_from = grants_from
        self.slots: dict[str, Slot] = {}
        self.limit = upstream.capacity if self.state == "warm" else upstream.cold_slots
        self.ramp_round = 0
        self.successes = 0
        self.failed_probes = 0
        self.average_duration_s = INITIAL_DURATION_S
        self._former_instances: deque[str] = deque(maxlen=MAX_FORMER_INSTANCES)
        self._clock_offset_ms: float | None = None
        # A load report may have been sampled before this owner took over.
        self._distrusted_since = now
        self._trusted_after_ms: float | None = None

    # Slots.

    def allowed(self) -> int:
        """
        Return how many slots may be held now.

        Returns
        -------
        int
            The limit of the ramp, but during a cold start never more than the upstream itself
            reports; 0 if it is leaving or down.
        """
        if self.state in ("leaving", "down"):
            return 0
        if self.upstream.reports_load and self.state != "warm":
            return min(self.limit, self.reported_cold_slots)
        return self.limit

    def drop_expired(self, now: float) -> None:
        """Drop the slots that are no longer occupied."""
        expired = [slot_id for slot_id, slot in self.slots.items() if slot.held_until <= now]
        for slot_id in expired:
            del self.slots[slot_id]

    def grant(self, attempt_id: str, *, now: float, hold_s: float) -> float | None:
        """
        Grant a slot to an attempt; an attempt that already holds one gets the same slot.

        Parameters
        ----------
        attempt_id : str
            Id of the attempt; also the id of the slot.
        now : float
            Monotonic time in seconds.
        hold_s : float
            Requested time in seconds; at most `MAX_GRANT_S` is granted.

        Returns
        -------
        float or None
            Monotonic time in seconds at which the slot expires; None if no slot is free.
        """
        self.drop_expired(now)
        held = self.slots.get(attempt_id)
        if held is not None:
            return held.expires_at
        if now < self.grants_from or len(self.slots) >= self.allowed():
            return None
        expires_at = now + min(hold_s, MAX_GRANT_S)
        self.slots[attempt_id] = Slot(expires_at, now + MAX_GRANT_S, self.instance, self.ramp_round)
        return expires_at

    def estimate_retry_delay(self, now: float) -> float:
        """
        Return the time after which an entry should repeat its request.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds until grants begin; after that, the average duration of a call divided by the
            number of slots, but no longer than until the next slot is dropped.
        """
        if now < self.grants_from:
            return self.grants_from - now
        free_at = min((slot.held_until for slot in self.slots.values()), default=now)
        release_interval_s = self.average_duration_s / max(self.allowed(), 1)
        return max(MIN_RETRY_S, min(free_at - now, release_interval_s))

    def release(
        self,
        slot_id: str,
        *,
        succeeded: bool,
        instance: str,
        now: float,
        duration_s: float = 0.0,
        ended: bool = True,
    ) -> bool:
        """
        Release a slot and advance or restart the ramp.

        Parameters
        ----------
        slot_id : str
            Id of the slot.
        succeeded : bool
            Whether its call was answered.
        instance : str
            Instance that answered; empty if unknown.
        now : float
            Monotonic time in seconds.
        duration_s : float
            Duration of the call in seconds; 0 if unknown.
        ended : bool
            Whether the upstream has ended the call; if not, the slot is held for `MAX_GRANT_S`.

        Returns
        -------
        bool
            Whether the slot was still held.
        """
        if duration_s > 0:
            self.average_duration_s += DURATION_WEIGHT * (duration_s - self.average_duration_s)
        self.drop_expired(now)
        slot = self.slots.pop(slot_id, None) if ended else self.slots.get(slot_id)
        if slot is None:
            return False
        is_same_instance = slot.instance == self.instance and instance in ("", self.instance)
        if slot.ramp_round == self.ramp_round and is_same_instance and self.is_starting():
            self._update_ramp(succeeded, now)
        return True

    def is_starting(self) -> bool:
        """Return whether the upstream is in its cold start."""
        return self.state in ("cold", "warming")

    def _update_ramp(self, succeeded: bool, now: float) -> None:
        if not succeeded:
            self._restart_ramp()
            return
        self.successes += 1
        if self.successes < self.allowed():
            return
        # Only calls granted in the new round count towards it.
        self.ramp_round += 1
        self.successes = 0
        if self.limit >= self.upstream.capacity and self.allowed() == self.limit:
            self._set_state("warm", "completed its ramp", now=now)
            return
        self.limit = min(2 * self.limit, self.upstream.capacity)
        self._set_state("warming", "ramp", now=now)

    def _restart_ramp(self) -> None:
        self.limit = min(self.upstream.cold_slots, self.upstream.capacity)
        self.ramp_round += 1
        self.successes = 0

    # Evidence.

    def _set_state(self, state: State, reason: str, *, now: float, wait: bool = True) -> None:
        if self.state == "warm" and state != "warm" and wait:
            # Other nodes may treat the upstream as warm until their views have changed.
            self.grants_from = max(self.grants_from, now + VIEW_LIFETIME_S)
        self.state = state
        self.reason = reason

    def _distrust_earlier_reports(self, now: float) -> None:
        """Distrust load reports that were sampled before now or up to `REPORT_LAG_MS` later."""
        self._distrusted_since = now
        self._trusted_after_ms = None
        if self._clock_offset_ms is not None:
            self._trusted_after_ms = now * 1000 + self._clock_offset_ms + REPORT_LAG_MS

    def _begin_cold_start(self, instance: str, state: State, reason: str, *, now: float) -> None:
        is_replaced = bool(instance) and instance != self.instance
        if is_replaced:
            self._replace_instance(instance)
        # A restarted process that reports its load needs no wait: its old connections are closed,
        # and each new connection identifies the new instance before the first call on it.
        wait = not (is_replaced and self.upstream.reports_load)
        self._distrust_earlier_reports(now)
        self._restart_ramp()
        self.reported_cold_slots = self.upstream.cold_slots
        self._set_state(state, reason, now=now, wait=wait)

    def _replace_instance(self, instance: str) -> None:
        if self.instance:
            self._former_instances.append(self.instance)
        self.instance = instance
        self.sampled_ms = 0

    def add_evidence(self, instance: str, state: State, reason: str, *, now: float) -> bool:
        """
        Apply the report of an entry.

        Parameters
        ----------
        instance : str
            Observed instance; empty if unknown.
        state : str
            ``"cold"``, ``"warming"``, ``"leaving"`` or ``"down"``.
        reason : str
            Evidence.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the report changed the state.
        """
        if instance and instance in self._former_instances:
            return False
        is_same_instance = instance in ("", self.instance)
        if state in ("cold", "warming"):
            if is_same_instance and self.state != "warm":
                return False
            self._begin_cold_start(instance, state, reason, now=now)
            return True
        if self.state == state and is_same_instance:
            return False
        if not is_same_instance:
            self._replace_instance(instance)
        self._distrust_earlier_reports(now)
        self._restart_ramp()
        self._set_state(state, reason, now=now)
        return True

    def add_sample(self, sample: LoadSample, *, now: float) -> None:
        """
        Apply a load report that a probe has returned.

        Parameters
        ----------
        sample : LoadSample
            The load report.
        now : float
            Monotonic time in seconds at which it arrived.
        """
        self.failed_probes = 0
        if sample.instance == self.instance and sample.sampled_ms < self.sampled_ms:
            return
        if sample.instance != self.instance:
            if sample.instance in self._former_instances:
                return
            if self.instance:
                self._begin_cold_start(sample.instance, "cold", "instance replaced", now=now)
            self.instance = sample.instance
        self._update_clock_offset(sample.sampled_ms, now)
        self.sampled_ms = sample.sampled_ms
        self.models = list(sample.models)
        self.load = _scale_load(sample)
        reported = sample.cold_slots if sample.cold_slots > 0 else self.upstream.cold_slots
        is_trusted = self._is_trusted(sample.sampled_ms)
        self.reported_cold_slots = (
            reported if is_trusted else min(reported, self.upstream.cold_slots)
        )
        self._apply_state(sample.state, is_trusted, now)

    def _update_clock_offset(self, sampled_ms: int, now: float) -> None:
        # Lower bound of the upstream's clock minus this host's: a delayed sample gives a smaller
        # difference, so the maximum is kept.
        offset = sampled_ms - now * 1000
        self._clock_offset_ms = (
            offset if self._clock_offset_ms is None else max(self._clock_offset_ms, offset)
        )
        if self._trusted_after_ms is None:
            self._trusted_after_ms = (
                self._distrusted_since * 1000 + self._clock_offset_ms + REPORT_LAG_MS
            )

    def _is_trusted(self, sampled_ms: int) -> bool:
        return self._trusted_after_ms is not None and sampled_ms > self._trusted_after_ms

    def _apply_state(self, state: State, is_trusted: bool, now: float) -> None:
        if state in ("leaving", "down"):
            self._set_state(state, "load report", now=now)
        elif self.state == "leaving" and not is_trusted:
            # The report may have been sampled before the upstream began to leave.
            return
        elif state == "warm":
            self._apply_warm(is_trusted, now)
        elif self.is_starting():
            self.state = state
        else:
            self._begin_cold_start(self.instance, state, "load report", now=now)

    def _apply_warm(self, is_trusted: bool, now: float) -> None:
        if self.state == "warm":
            return
        if is_trusted:
            self.limit = self.upstream.capacity
            self._set_state("warm", "load report", now=now)
        elif not self.is_starting():
            self._set_state("cold", "seen again", now=now)

    def add_failed_probe(self, *, refused: bool, now: float) -> None:
        """
        Apply a probe that got no answer.

        Parameters
        ----------
        refused : bool
            Whether the connection was refused because no process listens.
        now : float
            Monotonic time in seconds.
        """
        self.failed_probes += 1
        if self.state != "down" and (refused or self.failed_probes >= MAX_FAILED_PROBES):
            self._distrust_earlier_reports(now)
            self._restart_ramp()
            reason = "connection refused" if refused else "no load report"
            self._set_state("down", reason, now=now)

    def set_upstream(self, upstream: Upstream) -> None:
        """
        Apply a changed manifest.

        Parameters
        ----------
        upstream : Upstream
            The upstream as described by the new manifest.
        """
        self.upstream = upstream
        self.limit = min(self.limit, upstream.capacity)
        self.reported_cold_slots = min(self.reported_cold_slots, upstream.capacity)


def _scale_load(sample: LoadSample) -> int:
    if sample.capacity <= 0:
        return 0
    return max(0, min(MAX_LOAD, round(MAX_LOAD * sample.running / sample.capacity)))

"""What a slot owner knows of one upstream: its state, its slots and its ramp.

All functions here are synchronous and take the monotonic time; `marigoldtrail.slots.owner` and
`marigoldtrail.slots.watch` call them.
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
# After a turn to cold in the same process, nodes may believe for this long that it is warm.
VIEW_LIFETIME_S = 5.0
# Load reports lag behind the upstream by up to this much, so a report that was sampled less than
# this after a turn to cold may still describe the time before it.
REPORT_LAG_MS = 5_000
# A single lost probe is not evidence that a process is gone.
MAX_FAILED_PROBES = 3
MAX_FORMER_INSTANCES = 8
# Least time after which an entry should ask again when no slot is free.
MIN_RETRY_S = 0.05
# Before a call has been released, one is taken to last this long.
INITIAL_DURATION_S = 0.5
# Share of the newest duration in the moving average.
DURATION_WEIGHT = 0.2
MAX_LOAD = 255


class LoadSample(Protocol):
    """The load report of an upstream, as the upstream client reads it."""

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
        """Return the upstream's wall time of the sample in milliseconds."""
        ...

    @property
    def running(self) -> int:
        """Return the number of calls that run."""
        ...

    @property
    def capacity(self) -> int:
        """Return how many calls may run when warm."""
        ...

    @property
    def cold_slots(self) -> int:
        """Return how many calls may run in the present state of the cold start."""
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
        Monotonic time in seconds until which the slot counts if nothing says that the upstream has
        ended the call: services go on with a call that their caller has given up.
    instance : str
        Instance known when it was granted.
    ramp_round : int
        Round of the ramp in which it was granted.
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
        Epoch under which this host owns it.
    now : float
        Monotonic time in seconds.
    grants_from : float
        Monotonic time before which nothing is granted.
    status : UpstreamStatus or None
        State that the former owner distributed; None if unknown.

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
        "reported_slots",
        "grants_from",
        "slots",
        "limit",
        "ramp_round",
        "successes",
        "failed_probes",
        "typical_s",
        "_former",
        "_offset_ms",
        "_turned_at",
        "_warm_after_ms",
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
        # The former owner's word is kept: cold evidence since then is sent again by its reporter
        # until this owner has confirmed it.
        self.state: State = status.state if status is not None else "cold"
        self.instance = status.instance if status is not None else ""
        self.reason = "from the former owner" if status is not None else "unknown"
        self.load = 0
        self.sampled_ms = 0
        self.models: list[str] = []
        self.reported_slots = upstream.cold_slots
        self.grants_from = grants_from
        self.slots: dict[str, Slot] = {}
        self.limit = upstream.capacity if self.state == "warm" else upstream.cold_slots
        self.ramp_round = 0
        self.successes = 0
        self.failed_probes = 0
        self.typical_s = INITIAL_DURATION_S
        self._former: deque[str] = deque(maxlen=MAX_FORMER_INSTANCES)
        self._offset_ms: float | None = None
        # A report may still describe the time before this owner took over.
        self._turned_at = now
        self._warm_after_ms: float | None = None

    # Slots.

    def allowed(self) -> int:
        """
        Return how many slots may be held now.

        Returns
        -------
        int
            The ramp's limit, but never more than the upstream itself reports for its cold start;
            0 if it is leaving or down.
        """
        if self.state in ("leaving", "down"):
            return 0
        if self.upstream.reports_load and self.state != "warm":
            return min(self.limit, self.reported_slots)
        return self.limit

    def drop_expired(self, now: float) -> None:
        """Forget the slots that are held no longer."""
        expired = [slot_id for slot_id, slot in self.slots.items() if slot.held_until <= now]
        for slot_id in expired:
            del self.slots[slot_id]

    def grant(self, attempt_id: str, *, now: float, hold_s: float) -> float | None:
        """
        Grant a slot to an attempt; one that holds a slot gets the same again.

        Parameters
        ----------
        attempt_id : str
            The attempt; also the id of the slot.
        now : float
            Monotonic time in seconds.
        hold_s : float
            Time in seconds for which it is asked; at most `MAX_GRANT_S` is granted.

        Returns
        -------
        float or None
            Monotonic time at which it expires; None if no slot is free.
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

    def free_in(self, now: float) -> float:
        """
        Return the time after which it makes sense to ask again.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds: the end of a wait, or a typical call's share for each slot, but no longer than
            until the next slot is held no more.
        """
        if now < self.grants_from:
            return self.grants_from - now
        free_at = min((slot.held_until for slot in self.slots.values()), default=now)
        typical_s = self.typical_s / max(self.allowed(), 1)
        return max(MIN_RETRY_S, min(free_at - now, typical_s))

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
        Take a slot back and advance or reset the ramp.

        Parameters
        ----------
        slot_id : str
            The slot.
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
            self.typical_s += DURATION_WEIGHT * (duration_s - self.typical_s)
        self.drop_expired(now)
        slot = self.slots.pop(slot_id, None) if ended else self.slots.get(slot_id)
        if slot is None:
            return False
        same_instance = slot.instance == self.instance and instance in ("", self.instance)
        if slot.ramp_round == self.ramp_round and same_instance and self.is_starting():
            self._count(succeeded, now)
        return True

    def is_starting(self) -> bool:
        """Tell whether the upstream is in its cold start."""
        return self.state in ("cold", "warming")

    def _count(self, succeeded: bool, now: float) -> None:
        if not succeeded:
            self._restart_ramp()
            return
        self.successes += 1
        if self.successes < self.allowed():
            return
        # Only calls granted in the new round count for it.
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
            # Other nodes may send it work as to a warm upstream until their views have changed.
            self.grants_from = max(self.grants_from, now + VIEW_LIFETIME_S)
        self.state = state
        self.reason = reason

    def _mark_turn(self, now: float) -> None:
        """Disbelieve load reports that were sampled before now or shortly after."""
        self._turned_at = now
        self._warm_after_ms = None
        if self._offset_ms is not None:
            self._warm_after_ms = now * 1000 + self._offset_ms + REPORT_LAG_MS

    def _turn_cold(self, instance: str, state: State, reason: str, *, now: float) -> None:
        replaced = bool(instance) and instance != self.instance
        if replaced:
            self._replace_instance(instance)
        # A replaced process that reports its load needs no wait: its connections are gone, and each
        # new connection shows the new instance before the first call on it.
        wait = not (replaced and self.upstream.reports_load)
        self._mark_turn(now)
        self._restart_ramp()
        self.reported_slots = self.upstream.cold_slots
        self._set_state(state, reason, now=now, wait=wait)

    def _replace_instance(self, instance: str) -> None:
        if self.instance:
            self._former.append(self.instance)
        self.instance = instance
        self.sampled_ms = 0

    def add_evidence(self, instance: str, state: State, reason: str, *, now: float) -> bool:
        """
        Take in the report of an entry.

        Parameters
        ----------
        instance : str
            Instance seen; empty if unknown.
        state : str
            ``"cold"``, ``"warming"``, ``"leaving"`` or ``"down"``.
        reason : str
            Evidence.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether it changed the state.
        """
        if instance and instance in self._former:
            return False
        same = instance in ("", self.instance)
        if state in ("cold", "warming"):
            if same and self.state != "warm":
                return False
            self._turn_cold(instance, state, reason, now=now)
            return True
        if self.state == state and same:
            return False
        if not same:
            self._replace_instance(instance)
        self._mark_turn(now)
        self._restart_ramp()
        self._set_state(state, reason, now=now)
        return True

    def add_sample(self, sample: LoadSample, *, now: float) -> None:
        """
        Take in a load report that this owner has probed.

        Parameters
        ----------
        sample : LoadSample
            The report.
        now : float
            Monotonic time in seconds at which it arrived.
        """
        self.failed_probes = 0
        if sample.instance == self.instance and sample.sampled_ms < self.sampled_ms:
            return
        if sample.instance != self.instance:
            if sample.instance in self._former:
                return
            if self.instance:
                self._turn_cold(sample.instance, "cold", "instance replaced", now=now)
            self.instance = sample.instance
        self._remember_clock(sample.sampled_ms, now)
        self.sampled_ms = sample.sampled_ms
        self.models = list(sample.models)
        self.load = _load_of(sample)
        reported = sample.cold_slots if sample.cold_slots > 0 else self.upstream.cold_slots
        is_recent = self._is_after_turn(sample.sampled_ms)
        self.reported_slots = reported if is_recent else min(reported, self.upstream.cold_slots)
        self._take_state(sample.state, is_recent, now)

    def _remember_clock(self, sampled_ms: int, now: float) -> None:
        # The upstream's clock minus this host's, at least: a lagging sample makes it smaller.
        offset = sampled_ms - now * 1000
        self._offset_ms = offset if self._offset_ms is None else max(self._offset_ms, offset)
        if self._warm_after_ms is None:
            self._warm_after_ms = self._turned_at * 1000 + self._offset_ms + REPORT_LAG_MS

    def _is_after_turn(self, sampled_ms: int) -> bool:
        return self._warm_after_ms is not None and sampled_ms > self._warm_after_ms

    def _take_state(self, state: State, is_recent: bool, now: float) -> None:
        if state in ("leaving", "down"):
            self._set_state(state, "load report", now=now)
        elif self.state == "leaving" and not is_recent:
            # The report may have been sampled before the upstream began to leave.
            return
        elif state == "warm":
            self._take_warm(is_recent, now)
        elif self.is_starting():
            self.state = state
        else:
            self._turn_cold(self.instance, state, "load report", now=now)

    def _take_warm(self, is_recent: bool, now: float) -> None:
        if self.state == "warm":
            return
        if is_recent:
            self.limit = self.upstream.capacity
            self._set_state("warm", "load report", now=now)
        elif not self.is_starting():
            self._set_state("cold", "seen again", now=now)

    def add_failed_probe(self, *, refused: bool, now: float) -> None:
        """
        Take in a probe without an answer.

        Parameters
        ----------
        refused : bool
            Whether no process listens.
        now : float
            Monotonic time in seconds.
        """
        self.failed_probes += 1
        if self.state != "down" and (refused or self.failed_probes >= MAX_FAILED_PROBES):
            self._mark_turn(now)
            self._restart_ramp()
            reason = "connection refused" if refused else "no load report"
            self._set_state("down", reason, now=now)

    def set_upstream(self, upstream: Upstream) -> None:
        """
        Take over a changed manifest.

        Parameters
        ----------
        upstream : Upstream
            The upstream as the manifest describes it now.
        """
        self.upstream = upstream
        self.limit = min(self.limit, upstream.capacity)
        self.reported_slots = min(self.reported_slots, upstream.capacity)


def _load_of(sample: LoadSample) -> int:
    if sample.capacity <= 0:
        return 0
    return max(0, min(MAX_LOAD, round(MAX_LOAD * sample.running / sample.capacity)))

"""Speeds of engines, learned from the times to their first events."""

from __future__ import annotations

import math

from marigoldtrail.policy.decay import decay_weight

# A slowness outside this range is taken for its bound: such times have other causes.
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
# Weight of a new time in the usual slowness; the first ones count more.
USUAL_WEIGHT = 0.1
# The usual slowness of an engine that is not used decays to 1.
USUAL_HALF_LIFE_S = 60.0
# A time that differs by more than the first factor from the usual one is a step change, or by more
# than the second one if the time before did so too. A single smaller one comes from other work on
# the machine of an engine, which makes it up to 2.5 times slower for about 0.6 s and is over before
# the next request.
STEP_FACTOR = 3.0
REPEATED_STEP_FACTOR = 1.6
STEP_HALF_LIFE_S = 1.0


# Engines count as equally fast unless slow ones take this many times as long as fast ones. First
# events of equal engines differ by less, because of the requests that run beside them.
UNEQUAL_RATIO = 1.6
# An engine with fewer times says nothing about the speeds of its service.
MIN_TIMES = 3


class EngineSpeed:
    """
    Slowness of one engine.

    Parameters
    ----------
    born_ms : int
        Start time of its process (wall clock, milliseconds).
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("born_ms", "count", "_usual_log", "_observed_at", "_deviation", "_step")

    def __init__(self, *, born_ms: int, now: float) -> None:
        self.born_ms = born_ms
        self.count = 0
        self._usual_log = 0.0
        self._observed_at = now
        self._deviation = 1.0
        self._step = 1.0

    def usual_at(self, now: float) -> float:
        """Return the usual slowness, without a step change."""
        weight = decay_weight(max(0.0, now - self._observed_at), USUAL_HALF_LIFE_S)
        return math.exp(self._usual_log * weight)

    def slowness_at(self, now: float) -> float:
        """Return the ratio of its times to those of an engine of the usual speed."""
        return self.usual_at(now) * self._step_at(now)

    def clear_step_at(self, now: float) -> float:
        """Return the ratio to the usual slowness if it has just become clearly larger, else 1."""
        return self._step_at(now) if self._step >= STEP_FACTOR else 1.0

    def _step_at(self, now: float) -> float:
        weight = decay_weight(max(0.0, now - self._observed_at), STEP_HALF_LIFE_S)
        return float(self._step**weight)

    def observe(self, ratio: float, now: float) -> None:
        """Record the ratio of an observed time to the expected one."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        usual = self.usual_at(now)
        deviation = ratio / usual
        self._step = deviation if self._is_step(deviation) else 1.0
        self._deviation = deviation
        # A step change moves the usual slowness by no more than a time just below it.
        limited = min(REPEATED_STEP_FACTOR, max(1 / REPEATED_STEP_FACTOR, deviation))
        self.count += 1
        weight = max(USUAL_WEIGHT, 1 / (self.count + 1))
        self._usual_log = math.log(usual) + weight * math.log(limited)
        self._observed_at = now

    def _is_step(self, deviation: float) -> bool:
        if not 1 / STEP_FACTOR < deviation < STEP_FACTOR:
            return True
        both = (self._deviation, deviation)
        return min(both) > REPEATED_STEP_FACTOR or max(both) < 1 / REPEATED_STEP_FACTOR


class EngineSpeeds:
    """Slowness of the engines of one service; an engine that has just started has the prior 1."""

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: dict[str, EngineSpeed] = {}

    def observe(
        self, name: str, born_ms: int, *, expected_s: float, observed_s: float, now: float
    ) -> None:
        """
        Record the time to a first event.

        Parameters
        ----------
        name : str
            The engine.
        born_ms : int
            Start time of its process (wall clock, milliseconds).
        expected_s, observed_s : float
            Seconds that an engine of the usual speed would take, and that this one took.
        now : float
            Monotonic time in seconds.
        """
        if not (expected_s > 0 and observed_s > 0):
            return
        speed = self._find(name, born_ms)
        if speed is None:
            speed = self._speeds[name] = EngineSpeed(born_ms=born_ms, now=now)
        speed.observe(observed_s / expected_s, now)

    def slowness_at(self, name: str, born_ms: int, now: float) -> float:
        """Return the slowness of an engine; 1 if nothing is known of this process."""
        speed = self._find(name, born_ms)
        return speed.slowness_at(now) if speed is not None else 1.0

    def clear_step_at(self, name: str, born_ms: int, now: float) -> float:
        """Return how much slower than usual an engine has clearly become; 1 if it has not."""
        speed = self._find(name, born_ms)
        return speed.clear_step_at(now) if speed is not None else 1.0

    def _find(self, name: str, born_ms: int) -> EngineSpeed | None:
        """Return what is known of an engine, unless it has started again since."""
        speed = self._speeds.get(name)
        return speed if speed is not None and speed.born_ms == born_ms else None

    def are_unequal(self, now: float) -> bool:
        """
        Return whether the engines of the service differ in their usual speed.

        A tenth of them at either end, at least one, is left out: single engines may be slow for a
        while.
        """
        known = sorted(s.usual_at(now) for s in self._speeds.values() if s.count >= MIN_TIMES)
        skipped = max(1, len(known) // 10)
        known = known[skipped : len(known) - skipped]
        return len(known) >= 2 and known[-1] >= UNEQUAL_RATIO * known[0]

    def retain(self, names: set[str]) -> None:
        """Forget all engines other than those named."""
        self._speeds = {name: speed for name, speed in self._speeds.items() if name in names}

"""Ejection of failing or slow upstreams, with a probe that brings them back."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MAX_ERRORS = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
# A straggler takes this many times the median of its pool, over at least this many calls.
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 10
# At least this share of a pool stays in use, whatever its members' health.
LEAST_USABLE = 0.5


class UpstreamHealth:
    """Recent outcomes of one upstream as this node saw them."""

    __slots__ = ("errors", "ejections", "ejected_until", "probing", "slow_ms", "samples")

    def __init__(self) -> None:
        self.errors = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.slow_ms = 0.0
        self.samples = 0

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected, or on probation after it."""
        return self.ejected_until > 0.0

    def is_usable(self, now: float) -> bool:
        """
        Tell whether a call may be sent: not ejected, or due for a single probe.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether a call may be sent.
        """
        return not self.is_ejected or (now >= self.ejected_until and not self.probing)

    def start(self, now: float) -> None:
        """
        Count a call; the first one after an ejection is the probe.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self.is_ejected and now >= self.ejected_until:
            self.probing = True

    def succeed(self, duration_ms: float) -> None:
        """
        Take an answer into account.

        Parameters
        ----------
        duration_ms : float
            Duration of the call in milliseconds.
        """
        self.errors = 0
        self.note_duration(duration_ms)
        if self.probing:
            self.ejected_until = 0.0
            self.ejections = max(0, self.ejections - 1)
            self.samples = 0
            self.slow_ms = 0.0
        self.probing = False

    def note_duration(self, duration_ms: float) -> None:
        """
        Take the duration of a call into account, or the least that it would have taken.

        Parameters
        ----------
        duration_ms : float
            Duration in milliseconds.
        """
        self.samples += 1
        weight = 0.2 if self.slow_ms else 1.0
        self.slow_ms += weight * (duration_ms - self.slow_ms)

    def fail(self) -> None:
        """Take a failed call into account."""
        self.errors += 1

    def cancel(self) -> None:
        """End a call without an outcome; another call may probe."""
        self.probing = False

    def eject(self, now: float) -> float:
        """
        Eject the upstream; each time in a row for twice as long.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Duration in seconds.
        """
        duration_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s
        self.probing = False
        self.errors = 0
        return duration_s


def find_ejection(name: str, pool: Mapping[str, UpstreamHealth], now: float) -> str:
    """
    Decide whether an upstream is to be ejected.

    Parameters
    ----------
    name : str
        The upstream that has just answered or failed.
    pool : mapping of str to UpstreamHealth
        Every upstream of its pool that is in service.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    str
        Why it is to be ejected; empty if it is not.
    """
    health = pool[name]
    reason = ""
    if health.probing and health.errors:
        return "probe failed"
    if health.errors >= MAX_ERRORS:
        reason = f"{health.errors} errors in a row"
    elif health.samples >= SLOW_SAMPLES:
        median = _median(item.slow_ms for key, item in pool.items() if key != name)
        if median and health.slow_ms > SLOW_FACTOR * median:
            reason = f"{health.slow_ms:.0f} ms against a median of {median:.0f} ms"
    if not reason or health.is_ejected:
        return ""
    usable = sum(1 for item in pool.values() if not item.is_ejected)
    return reason if usable - 1 >= max(1, len(pool) * LEAST_USABLE) else ""


def _median(values: Iterable[float]) -> float:
    known = sorted(value for value in values if value)
    return known[len(known) // 2] if known else 0.0

"""Outlier ejection of failing or slow upstreams, with a probe before they are used again."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MAX_CONSECUTIVE_ERRORS = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# An upstream is slow if its mean duration exceeds this many times the median of its pool, over at
# least this many calls.
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 10
# At least this share of a pool stays in use regardless of health.
MIN_USABLE_SHARE = 0.5


class UpstreamHealth:
    """Recent outcomes of the calls of this node to one upstream."""

    __slots__ = ("errors", "ejections", "ejected_until", "is_probing", "mean_ms", "samples")

    def __init__(self) -> None:
        self.errors = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.is_probing = False
        self.mean_ms = 0.0
        self.samples = 0

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected or waits for the outcome of its probe."""
        return self.ejected_until > 0.0

    def is_usable(self, now: float) -> bool:
        """
        Tell whether a call may be sent: the upstream is not ejected, or is due for a probe.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether a call may be sent.
        """
        return not self.is_ejected or (now >= self.ejected_until and not self.is_probing)

    def start(self, now: float) -> None:
        """
        Record the start of a call; the first one after an ejection is the probe.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self.is_ejected and now >= self.ejected_until:
            self.is_probing = True

    def succeed(self, duration_ms: float) -> None:
        """
        Record an answer.

        Parameters
        ----------
        duration_ms : float
            Duration of the call in milliseconds.
        """
        self.errors = 0
        self.record_duration(duration_ms)
        if self.is_probing:
            self.ejected_until = 0.0
            self.ejections = max(0, self.ejections - 1)
            self.samples = 0
            self.mean_ms = 0.0
        self.is_probing = False

    def record_duration(self, duration_ms: float) -> None:
        """
        Record the duration of a call, or a lower bound for it.

        Parameters
        ----------
        duration_ms : float
            Duration in milliseconds.
        """
        self.samples += 1
        weight = 0.2 if self.mean_ms else 1.0
        self.mean_ms += weight * (duration_ms - self.mean_ms)

    def fail(self) -> None:
        """Record a failed call."""
        self.errors += 1

    def cancel(self) -> None:
        """Record a call without an outcome; another call may then be the probe."""
        self.is_probing = False

    def eject(self, now: float) -> float:
        """
        Eject the upstream, for twice as long with each ejection in a row.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Duration of the ejection in seconds.
        """
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s
        self.is_probing = False
        self.errors = 0
        return duration_s


def find_ejection(name: str, pool: Mapping[str, UpstreamHealth], now: float) -> str:
    """
    Decide whether to eject an upstream.

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
        Reason for the ejection; empty for none.
    """
    health = pool[name]
    reason = ""
    if health.is_probing and health.errors:
        return "probe failed"
    if health.errors >= MAX_CONSECUTIVE_ERRORS:
        reason = f"{health.errors} errors in a row"
    elif health.samples >= SLOW_SAMPLES:
        median = _median(item.mean_ms for key, item in pool.items() if key != name)
        if median and health.mean_ms > SLOW_FACTOR * median:
            reason = f"{health.mean_ms:.0f} ms against a median of {median:.0f} ms"
    if not reason or health.is_ejected:
        return ""
    usable = sum(1 for item in pool.values() if not item.is_ejected)
    return reason if usable - 1 >= max(1, len(pool) * MIN_USABLE_SHARE) else ""


def _median(values: Iterable[float]) -> float:
    known = sorted(value for value in values if value)
    return known[len(known) // 2] if known else 0.0

"""Detect that this host stood still or was cut off, so that what arrives may be of any age."""

from __future__ import annotations

import logging
from collections.abc import Callable

from marigoldtrail.timers import Timers

CHECK_INTERVAL_S = 0.05
# An operator waits at least 1 s for an answer, so that an order from a shorter pause is awaited.
MAX_PAUSE_S = 0.5
# Longer than an election takes, during which a follower hears from no leader.
MAX_SILENCE_S = 2.5
# Data that was held up arrives at the next retransmission, after at most the time that has passed
# since it was sent. The sender of what was held up for longer has closed its connection.
MAX_RETRANSMISSION_S = 2.0
# Time to read what has arrived.
READ_MARGIN_S = 1.0

_log = logging.getLogger(__name__)


class ContinuityMonitor:
    """
    Tells whether data that a control host reads now was sent recently.

    After the process or the machine stood still, and after a cut, the host reads data whose senders
    may have left long before.

    Parameters
    ----------
    get_contact_time : callable
        Returns the monotonic time in seconds at which another control host was last heard from;
        negative infinity if none was.
    timers : Timers
        Clock and ticks.
    """

    __slots__ = (
        "_get_contact_time",
        "_timers",
        "_checked_at",
        "_contact_at",
        "_silence_s",
        "_doubt_until",
    )

    def __init__(self, *, get_contact_time: Callable[[], float], timers: Timers) -> None:
        self._get_contact_time = get_contact_time
        self._timers = timers
        self._checked_at = timers.elapsed_s()
        self._contact_at = float("-inf")
        # Length of the silence of all other control hosts if it is too long, else 0.
        self._silence_s = 0.0
        self._doubt_until = float("-inf")

    async def run(self) -> None:
        """Check for pauses and silence until cancelled."""
        async for _ in self._timers.subscribe("continuity", CHECK_INTERVAL_S):
            self.check()

    def check(self) -> None:
        """Compare the clocks with those of the last check."""
        now = self._timers.elapsed_s()
        pause_s = now - self._checked_at
        self._checked_at = now
        if pause_s > MAX_PAUSE_S:
            _log.warning("this host stood still", extra={"gap_ms": round(pause_s * 1000)})
            self._start_doubt(pause_s)
        self._check_silence()

    def _check_silence(self) -> None:
        # A former leader has not heard from its successor yet, but had a quorum until then.
        self._contact_at = max(self._contact_at, self._get_contact_time())
        if self._contact_at == float("-inf"):
            return
        silence_s = self._timers.now() - self._contact_at
        if silence_s > MAX_SILENCE_S:
            self._silence_s = silence_s
        elif self._silence_s:
            _log.warning(
                "this host was cut off from the other control hosts",
                extra={"gap_ms": round(self._silence_s * 1000)},
            )
            self._start_doubt(self._silence_s)
            self._silence_s = 0.0

    def _start_doubt(self, gap_s: float) -> None:
        until = self._timers.elapsed_s() + min(gap_s, MAX_RETRANSMISSION_S) + READ_MARGIN_S
        self._doubt_until = max(self._doubt_until, until)

    def is_continuous(self) -> bool:
        """Return whether what arrived shortly before this call can't have been held up for long."""
        self.check()
        return not self._silence_s and self._timers.elapsed_s() >= self._doubt_until

"""Detect streams that have stopped."""

from __future__ import annotations

from marigoldtrail.relay.exchange import Exchange

# Margin after which the caller of a stalled stream is assumed to have disconnected.
ABANDON_MARGIN_S = 0.5


class StallTimer:
    """
    Time since the last progress of a stream.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which the head of the response was received.

    Attributes
    ----------
    last_progress_at : float
        Monotonic time in seconds of the head or the last event.
    last_check_at : float
        Monotonic time in seconds of the last refused move to another upstream, or of the last
        progress if that is later.
    """

    __slots__ = ("last_progress_at", "last_check_at")

    def __init__(self, *, now: float) -> None:
        self.last_progress_at = now
        self.last_check_at = now

    def note_progress(self, now: float) -> None:
        """Record that an event has been received."""
        self.last_progress_at = self.last_check_at = now

    def give_up_at(self, exchange: Exchange) -> float:
        """Return the time after which the caller no longer waits for the next event."""
        if exchange.first_event_at is None:
            # The cancel scope of the request limits the wait for the first event.
            return float("inf")
        return self.last_progress_at + exchange.abandon_pause_s + ABANDON_MARGIN_S

    def next_check_at(self, exchange: Exchange) -> float:
        """Return the time at which the stream is checked for a stall if it sends nothing."""
        give_up_at = self.give_up_at(exchange)
        if not exchange.may_run_again():
            return give_up_at
        return min(give_up_at, self.last_check_at + exchange.stall_timeout_s)

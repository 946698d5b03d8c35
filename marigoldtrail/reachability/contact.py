"""Signs of life that one host gets from upstreams, over all of them."""

from __future__ import annotations

from marigoldtrail.timers import Notifier, Timers


class UpstreamContact:
    """
    Contact of one host with the upstreams of all services.

    Parameters
    ----------
    timers : Timers
        Clock.

    Attributes
    ----------
    unreached : dict
        Monotonic time in seconds of the last failed connection by upstream, since the last
        connection to any upstream succeeded.
    heard_at : float
        Monotonic time in seconds at which an upstream last sent something.
    questioned : Notifier
        Notified when a connection has failed, and when a request begins to wait for an upstream
        while no other one does. Nothing else makes a host that was in contact lose it.
    """

    __slots__ = ("unreached", "heard_at", "questioned", "_in_flight", "_quiet_since", "_timers")

    def __init__(self, *, timers: Timers) -> None:
        self.unreached: dict[str, float] = {}
        self.heard_at = 0.0
        self.questioned = Notifier()
        self._in_flight = 0
        # Since when requests in flight have received nothing.
        self._quiet_since = 0.0
        self._timers = timers

    @property
    def silence_s(self) -> float:
        """Seconds for which no upstream has sent a byte; 0 while no request waits for one."""
        return self._timers.now() - self._quiet_since if self._in_flight else 0.0

    @property
    def quiet_since(self) -> float | None:
        """Monotonic time in seconds at which the silence began; None while no request waits."""
        return self._quiet_since if self._in_flight else None

    def note_connected(self) -> None:
        """Note that a connection to an upstream was opened."""
        self.unreached.clear()
        self._quiet_since = self._timers.now()

    def note_connect_failed(self, upstream: str) -> None:
        """Note that a connection to an upstream could not be opened."""
        self.unreached[upstream] = self._timers.now()
        self.questioned.notify()

    def note_bytes(self) -> None:
        """Note that an upstream has sent something."""
        self.heard_at = self._quiet_since = self._timers.now()

    def start_request(self) -> None:
        """Count a request that is being sent to an upstream."""
        if not self._in_flight:
            self._quiet_since = self._timers.now()
            self.questioned.notify()
        self._in_flight += 1

    def finish_request(self) -> None:
        """Count a request that no longer waits for an upstream."""
        self._in_flight -= 1

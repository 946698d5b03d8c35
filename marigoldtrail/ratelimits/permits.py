"""Permits to send requests to upstreams that limit them; granted by the leader."""

from __future__ import annotations

# Requests that may follow each other at once, as time at the limit.
BURST_S = 0.25


class Pacer:
    """
    Spaces requests evenly at a rate (generic cell rate algorithm).

    Parameters
    ----------
    now : float
        Monotonic time in seconds; the first request may follow after one interval.
    rate : float
        Requests a second.

    Examples
    --------
    >>> pacer = Pacer(now=0.0, rate=2.0)
    >>> [pacer.reserve(0.0, rate=2.0, max_wait_s=1.0) for _ in range(3)]
    [(True, 0.5), (True, 1.0), (False, 1.5)]

    Attributes
    ----------
    next_at : float
        Monotonic time in seconds of the next free time.
    """

    __slots__ = ("next_at",)

    def __init__(self, *, now: float, rate: float) -> None:
        self.next_at = now + 1 / rate

    def reserve(self, now: float, *, rate: float, max_wait_s: float) -> tuple[bool, float]:
        """
        Reserve the next free time for one request, unless it is too late for the request.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        rate : float
            Requests a second.
        max_wait_s : float
            Longest time in seconds that the request can wait.

        Returns
        -------
        tuple of (bool, float)
            Whether the time was reserved, and the seconds until it.
        """
        slot_at = max(self.next_at, now - BURST_S)
        wait_s = max(0.0, slot_at - now)
        if wait_s > max_wait_s:
            return False, wait_s
        self.next_at = slot_at + 1 / rate
        return True, wait_s


class PermitLedger:
    """Reserved times of all upstreams that limit their requests, during one term of leadership."""

    __slots__ = ("_pacers",)

    def __init__(self) -> None:
        self._pacers: dict[str, Pacer] = {}

    def reserve(
        self, upstream: str, now: float, *, rate: float, max_wait_s: float
    ) -> tuple[bool, float]:
        """Reserve a time for a request to an upstream; see `Pacer.reserve`."""
        pacer = self._pacers.get(upstream)
        if pacer is None:
            pacer = self._pacers[upstream] = Pacer(now=now, rate=rate)
        return pacer.reserve(now, rate=rate, max_wait_s=max_wait_s)

    def is_free(self, upstream: str, now: float) -> bool:
        """Return whether a request to an upstream would not have to wait."""
        pacer = self._pacers.get(upstream)
        return pacer is None or pacer.next_at <= now

    def retain(self, upstreams: set[str]) -> None:
        """Forget all other upstreams."""
        for name in [name for name in self._pacers if name not in upstreams]:
            del self._pacers[name]

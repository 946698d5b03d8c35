"""Monotonic time, wall time and periodic ticks."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import trio


class Ticks:
    """
    Asynchronous iterator over the ticks of one subscription.

    A subscriber that falls behind gets the next tick immediately and skips missed ticks, so that a
    process does not run a burst of overdue rounds after a stall.

    Parameters
    ----------
    name : str
        Name of the subscription, for diagnostics.
    interval_s : float
        Seconds between ticks.
    jitter : float
        Maximum random shift of each tick, as a fraction of the interval from 0 to 1.
    rng : random.Random
        Random number generator for the jitter.
    """

    __slots__ = ("name", "interval_s", "jitter", "_rng", "_next_due")

    def __init__(self, *, name: str, interval_s: float, jitter: float, rng: random.Random) -> None:
        self.name = name
        self.interval_s = interval_s
        self.jitter = jitter
        self._rng = rng
        self._next_due = trio.current_time()

    def __aiter__(self) -> Ticks:
        return self

    async def __anext__(self) -> float:
        offset = self._rng.uniform(-self.jitter, self.jitter) * self.interval_s
        self._next_due = max(self._next_due + self.interval_s, trio.current_time())
        await trio.sleep_until(self._next_due + offset)
        return trio.current_time()


def measure_suspension_s() -> float:
    """Return the seconds since boot for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


class Timers:
    """
    Clock and timer service of one node.

    Parameters
    ----------
    wall_clock : callable
        Returns the wall time in seconds; only for timestamps, never to measure a duration.
    seed : int or None
        Seed of the jitter; None for a random seed.
    get_suspension_s : callable
        Returns the seconds for which the machine was suspended.
    """

    __slots__ = ("_wall_clock", "_rng", "_get_suspension_s")

    def __init__(
        self,
        *,
        wall_clock: Callable[[], float] = time.time,
        seed: int | None = None,
        get_suspension_s: Callable[[], float] = measure_suspension_s,
    ) -> None:
        self._wall_clock = wall_clock
        self._get_suspension_s = get_suspension_s
        self._rng = random.Random(seed)

    def now(self) -> float:
        """
        Return the monotonic time.

        Returns
        -------
        float
            Seconds since an unspecified start; only differences are meaningful.
        """
        return trio.current_time()

    def elapsed_s(self) -> float:
        """
        Return the monotonic time with the time for which the machine was suspended.

        Returns
        -------
        float
            Seconds since an unspecified start; only differences are meaningful.
        """
        return trio.current_time() + self._get_suspension_s()

    def wall_ms(self) -> int:
        """
        Return the wall time.

        Returns
        -------
        int
            Milliseconds since the epoch.
        """
        return int(self._wall_clock() * 1000)

    async def sleep(self, seconds: float) -> None:
        """
        Sleep for a duration.

        Parameters
        ----------
        seconds : float
            Duration in seconds.
        """
        await trio.sleep(seconds)

    async def sleep_until(self, deadline: float) -> None:
        """
        Sleep until a monotonic time.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds, on the clock of `now`.
        """
        await trio.sleep_until(deadline)

    def subscribe(self, name: str, interval_s: float, *, jitter: float = 0.0) -> Ticks:
        """
        Subscribe to periodic ticks.

        Parameters
        ----------
        name : str
            Name of the subscription.
        interval_s : float
            Seconds between ticks.
        jitter : float
            Maximum random shift of each tick, as a fraction of the interval from 0 to 1.

        Returns
        -------
        Ticks
            Asynchronous iterator that yields the monotonic time of each tick.
        """
        return Ticks(name=name, interval_s=interval_s, jitter=jitter, rng=self._rng)

"""Limit on the outstanding calls of one entry to a pool."""

from __future__ import annotations

import heapq
import itertools
import math

import trio

# Callers choose their entries, so some entries get more than an equal share of the requests. In
# bench/policy.py, with the busiest entry at 1.3 times the mean, 2.0 is the smallest value that
# answers 99% at full capacity; 1.5 answers 96 to 98%.
OVERCOMMIT = 2.0


def share_of(capacity: int, entries: int, overcommit: float = OVERCOMMIT) -> int:
    """
    Return the calls that one entry may have in progress at a pool.

    Parameters
    ----------
    capacity : int
        Total concurrent calls that the usable upstreams of the pool can carry.
    entries : int
        Number of live entries.
    overcommit : float
        Factor by which the sum of the shares may exceed the capacity.

    Returns
    -------
    int
        At least 1, so that every entry can reach every pool.

    Examples
    --------
    >>> share_of(80, 8, 1.5), share_of(3, 8, 1.5)
    (15, 1)
    """
    return max(1, math.floor(capacity * overcommit / max(1, entries)))


class PoolGate:
    """
    Limit on the outstanding calls of this node to one pool, with a queue of waiting stages.

    Waiting stages are served in the order of arrival of their requests.
    """

    __slots__ = ("outstanding", "limit", "_waiting", "_numbers")

    def __init__(self) -> None:
        self.outstanding = 0
        self.limit = 1
        self._waiting: list[tuple[float, int, trio.Event]] = []
        self._numbers = itertools.count()

    @property
    def is_free(self) -> bool:
        """Whether a call may start without waiting."""
        return self.outstanding < self.limit and not self._waiting

    def is_below(self, share: float) -> bool:
        """
        Tell whether the outstanding calls are within a share of the limit and no stage waits.

        Parameters
        ----------
        share : float
            Between 0 and 1.

        Returns
        -------
        bool
            Whether the outstanding calls are within the share.
        """
        return not self._waiting and self.outstanding <= self.limit * share

    async def enter(self, arrived: float) -> None:
        """
        Wait for a permit for one call.

        Parameters
        ----------
        arrived : float
            Monotonic time at which the request arrived, in seconds.
        """
        if self.is_free:
            self.outstanding += 1
            return
        event = trio.Event()
        item = (arrived, next(self._numbers), event)
        heapq.heappush(self._waiting, item)
        self._wake()
        try:
            await event.wait()
        except trio.Cancelled:
            # Tasks cancelled together end one by one: one may have passed its permit to this task,
            # which was already cancelled.
            if event.is_set():
                self.leave()
            else:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
            raise

    def try_enter(self) -> bool:
        """
        Take a permit for one call if one is free and no stage waits.

        Returns
        -------
        bool
            Whether the permit was taken.
        """
        if not self.is_free:
            return False
        self.outstanding += 1
        return True

    def leave(self) -> None:
        """Return the permit of a call."""
        self.outstanding -= 1
        self._wake()

    def set_limit(self, limit: int) -> None:
        """
        Change the limit.

        Parameters
        ----------
        limit : int
            Maximum number of calls in progress.
        """
        self.limit = limit
        self._wake()

    def _wake(self) -> None:
        while self._waiting and self.outstanding < self.limit:
            self.outstanding += 1
            heapq.heappop(self._waiting)[2].set()

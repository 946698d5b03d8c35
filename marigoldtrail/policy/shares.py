"""Bound on an entry's own outstanding calls to a pool."""

from __future__ import annotations

import heapq
import itertools
import math

import trio

# Callers choose entries by themselves, so that some entries have more than their share of the
# requests while others have less. In bench/policy.py, with the busiest entry at 1.3 times the mean,
# 2.0 is the least value that answers 99% at the capacity; 1.5 answers 96 to 98%.
OVERCOMMIT = 2.0


def share_of(capacity: int, entries: int, overcommit: float = OVERCOMMIT) -> int:
    """
    Return the calls that one entry may have in progress at a pool.

    Parameters
    ----------
    capacity : int
        Calls that the pool's usable upstreams carry together.
    entries : int
        Number of live entries.
    overcommit : float
        Factor by which the shares together may exceed the capacity.

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
    Outstanding calls of this node to one pool, and the stages that wait for one to end.

    Waiting stages are served in the order in which their requests arrived.
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
        Tell whether the outstanding calls are below a share of the bound.

        Parameters
        ----------
        share : float
            Between 0 and 1.

        Returns
        -------
        bool
            Whether they are.
        """
        return not self._waiting and self.outstanding <= self.limit * share

    async def enter(self, arrived: float) -> None:
        """
        Wait for the right to one call.

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
            # Tasks cancelled together end one after the other: the end of one may have given its
            # place to this one, which had been cancelled already.
            if event.is_set():
                self.leave()
            else:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
            raise

    def try_enter(self) -> bool:
        """
        Take the right to one call if no stage waits.

        Returns
        -------
        bool
            Whether it was taken.
        """
        if not self.is_free:
            return False
        self.outstanding += 1
        return True

    def leave(self) -> None:
        """Return the right to a call."""
        self.outstanding -= 1
        self._wake()

    def set_limit(self, limit: int) -> None:
        """
        Change the bound.

        Parameters
        ----------
        limit : int
            Calls in progress.
        """
        self.limit = limit
        self._wake()

    def _wake(self) -> None:
        while self._waiting and self.outstanding < self.limit:
            self.outstanding += 1
            heapq.heappop(self._waiting)[2].set()

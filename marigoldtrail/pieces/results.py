"""Record of the results kept by upstreams: location, expiry, and which are still needed."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Iterable

import msgspec

from marigoldtrail.pieces.worker import Worker


class KeptResult(msgspec.Struct, kw_only=True, frozen=True, eq=False):
    """
    A result kept by an upstream.

    Parameters
    ----------
    worker : Worker
        The upstream.
    size : int
        Bytes of room that it takes.
    """

    worker: Worker
    size: int


class ResultStore:
    """
    Results of all services by handle.

    Upstreams discard results after some seconds. Calls that free them earlier are made only where
    room is short, since each costs the scheduler as much as a call that runs pieces.
    """

    __slots__ = ("_kept", "_expiring", "_unanswered", "_numbers")

    def __init__(self) -> None:
        self._kept: dict[str, KeptResult] = {}
        # Heap of expiry times (monotonic, in seconds) with the handles.
        self._expiring: list[tuple[float, str]] = []
        # Results that calls without an answer may have left, in order of their expiry times.
        self._numbers = itertools.count()
        self._unanswered: list[tuple[float, int, Worker, int]] = []

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, worker: Worker, handle: str, size: int, *, until: float) -> None:
        """
        Add a new result.

        Parameters
        ----------
        worker : Worker
            The upstream that keeps it.
        handle : str
            Handle of the result.
        size : int
            Bytes of room that it takes.
        until : float
            Monotonic time in seconds at which the upstream discards it.
        """
        if handle in self._kept:
            return
        self._kept[handle] = KeptResult(worker=worker, size=size)
        worker.add_bytes(size)
        heapq.heappush(self._expiring, (until, handle))

    def add_unanswered(self, worker: Worker, size: int, *, until: float) -> None:
        """
        Count the results that a call without an answer may have left.

        Parameters
        ----------
        worker : Worker
            The upstream.
        size : int
            Bytes of room that they take if all pieces were run.
        until : float
            Monotonic time in seconds by which they have expired.
        """
        worker.add_bytes(size)
        heapq.heappush(self._unanswered, (until, next(self._numbers), worker, size))

    def drop(self, handles: Iterable[str]) -> None:
        """Remove results that no longer exist."""
        for handle in handles:
            kept = self._kept.pop(handle, None)
            if kept is not None:
                kept.worker.add_bytes(-kept.size)
                kept.worker.unneeded.pop(handle, None)

    def expire(self, now: float) -> None:
        """Remove the results that have expired."""
        while self._expiring and self._expiring[0][0] <= now:
            _, handle = heapq.heappop(self._expiring)
            self.drop([handle])
        while self._unanswered and self._unanswered[0][0] <= now:
            _, _, worker, size = heapq.heappop(self._unanswered)
            worker.add_bytes(-size)

    def size_of(self, handle: str) -> int:
        """Return the size of a result in bytes; 0 if it is gone."""
        kept = self._kept.get(handle)
        return kept.size if kept is not None else 0

    def has_all(self, handles: Iterable[str]) -> bool:
        """Return whether all results still exist."""
        return all(handle in self._kept for handle in handles)

    def bytes_by_data_centre(self, handles: Iterable[str]) -> dict[str, int]:
        """Return the total size of results by data centre."""
        found: Counter[str] = Counter()
        for handle in handles:
            kept = self._kept.get(handle)
            if kept is not None:
                found[kept.worker.upstream.data_centre] += kept.size
        return found

    def mark_unneeded(self, handles: Iterable[str]) -> list[Worker]:
        """
        Mark results as not needed any more.

        Parameters
        ----------
        handles : iterable of str
            Their handles; unknown ones are ignored.

        Returns
        -------
        list of Worker
            The upstreams that keep them, each once.
        """
        workers: dict[Worker, None] = {}
        for handle in handles:
            kept = self._kept.get(handle)
            if kept is not None:
                kept.worker.unneeded[handle] = None
                workers[kept.worker] = None
        return list(workers)

    def take_unneeded(self, worker: Worker) -> list[str]:
        """Return the results of an upstream that can be freed; each is returned once."""
        handles = list(worker.unneeded)
        worker.unneeded.clear()
        return handles

"""Results that upstreams keep: where they lie, how long, and which nobody will read any more."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable

import msgspec

from marigoldtrail.pieces.worker import Worker


class KeptResult(msgspec.Struct, kw_only=True, frozen=True, eq=False):
    """
    A result that an upstream keeps.

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
    Results of all services by their handles.

    Results are forgotten by the upstreams after some seconds. Calls that free them earlier are
    made only where room is short, since each costs the scheduler as much as a call that works.
    """

    __slots__ = ("_kept", "_expiring")

    def __init__(self) -> None:
        self._kept: dict[str, KeptResult] = {}
        # Heap of the monotonic times in seconds at which results are forgotten, with the handles.
        self._expiring: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, worker: Worker, handle: str, size: int, *, until: float) -> None:
        """
        Note a new result.

        Parameters
        ----------
        worker : Worker
            Who keeps it.
        handle : str
            Its name.
        size : int
            Bytes of room that it takes.
        until : float
            Monotonic time in seconds at which the upstream forgets it.
        """
        if handle in self._kept:
            return
        self._kept[handle] = KeptResult(worker=worker, size=size)
        worker.add_bytes(size)
        heapq.heappush(self._expiring, (until, handle))

    def drop(self, handles: Iterable[str]) -> None:
        """Note that results are gone."""
        for handle in handles:
            kept = self._kept.pop(handle, None)
            if kept is not None:
                kept.worker.add_bytes(-kept.size)
                kept.worker.unread.pop(handle, None)

    def expire(self, now: float) -> None:
        """Drop the results whose time is up."""
        while self._expiring and self._expiring[0][0] <= now:
            _, handle = heapq.heappop(self._expiring)
            self.drop([handle])

    def size_of(self, handle: str) -> int:
        """Return the size of a result in bytes; 0 if it is gone."""
        kept = self._kept.get(handle)
        return kept.size if kept is not None else 0

    def bytes_by_data_centre(self, handles: Iterable[str]) -> dict[str, int]:
        """Return the size of results in each data centre."""
        found: Counter[str] = Counter()
        for handle in handles:
            kept = self._kept.get(handle)
            if kept is not None:
                found[kept.worker.upstream.data_centre] += kept.size
        return found

    def release(self, handles: Iterable[str]) -> list[Worker]:
        """
        Note that results will not be read any more.

        Parameters
        ----------
        handles : iterable of str
            Their handles; unknown ones are left out.

        Returns
        -------
        list of Worker
            The upstreams that keep them, each once.
        """
        workers: dict[Worker, None] = {}
        for handle in handles:
            kept = self._kept.get(handle)
            if kept is not None:
                kept.worker.unread[handle] = None
                workers[kept.worker] = None
        return list(workers)

    def take_unread(self, worker: Worker) -> list[str]:
        """Return the results of an upstream that can be freed; they are returned once."""
        handles = list(worker.unread)
        worker.unread.clear()
        return handles

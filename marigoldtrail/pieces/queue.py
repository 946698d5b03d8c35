"""Waiting jobs of a service in the order in which its upstreams take them."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from typing import NamedTuple

from marigoldtrail.pieces.job import PieceJob


class QueuePosition(NamedTuple):
    """
    Sort key of a job in the queue; the smallest is first.

    Parameters
    ----------
    is_new : bool
        Whether none of its pieces has been started.
    is_late : bool
        Whether it is sorted after all jobs that can be on time.
    start_by : float
        Monotonic time in seconds at which it should start.
    number : int
        Index of the job in order of arrival; breaks ties.
    """

    is_new: bool
    is_late: bool
    start_by: float
    number: int


class Queue:
    """
    Jobs with waiting pieces, sorted by urgency, for one plan.

    Parameters
    ----------
    jobs : list of PieceJob
        The jobs.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_now", "_jobs", "_positions")

    def __init__(self, *, jobs: list[PieceJob], now: float) -> None:
        self._now = now
        self._jobs = jobs
        self._positions = sorted(self._position(number) for number in range(len(jobs)))

    def _position(self, number: int) -> QueuePosition:
        return QueuePosition(*self._jobs[number].sort_key(self._now), number)

    def jobs_for(self, data_centre: str) -> Iterator[PieceJob]:
        """
        Yield the jobs in the order in which an upstream in a data centre takes them.

        Within each group of equal `is_new` and `is_late`, jobs that move large results to or from
        another data centre come last.
        """
        started = [position for position in self._positions if not position.is_new]
        for positions in (started, self._positions[len(started) :]):
            on_time = [position for position in positions if not position.is_late]
            for group in (on_time, positions[len(on_time) :]):
                remote = []
                for position in group:
                    job = self._jobs[position.number]
                    if job.is_large and job.data_centre != data_centre:
                        remote.append(job)
                    else:
                        yield job
                yield from remote

    def reposition(self, jobs: list[PieceJob]) -> None:
        """Remove jobs without waiting pieces and move the other given jobs to the front."""
        changed = set(jobs)
        taken = [position for position in self._positions if self._jobs[position.number] in changed]
        self._positions = [p for p in self._positions if self._jobs[p.number] not in changed]
        for position in taken:
            if self._jobs[position.number].waiting:
                insort(self._positions, self._position(position.number))

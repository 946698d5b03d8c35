"""Finds waiting jobs that can no longer be done in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from marigoldtrail.pieces.job import PieceJob

# Jobs are ordered by this step of their start, and by arrival within it, so that the time is linear
# in their number. All are due within seconds, so the number of steps is bounded.
ORDER_STEP_S = 0.01


class ServiceRate(msgspec.Struct, kw_only=True, frozen=True):
    """
    Rate at which the upstreams of a service take calls.

    Parameters
    ----------
    first_call_s : float
        Seconds until the first upstream can take a call.
    call_interval_s : float
        Mean time between the starts of two full calls in seconds.
    batch : int
        Pieces of a full call.
    """

    first_call_s: float
    call_interval_s: float
    batch: int


def find_hopeless_jobs(
    jobs: Iterable[PieceJob], now: float, rate: ServiceRate
) -> list[tuple[PieceJob, float]]:
    """
    Find the jobs that can no longer be done in time, with the wait of each.

    Load: bursts beyond the capacity, in which more urgent requests overtake admitted ones, and the
    loss of upstreams, which makes the backlog longer than at admission. Only full calls count, and
    jobs that move large results don't count as ahead, since an upstream elsewhere takes them last.

    Parameters
    ----------
    jobs : iterable of PieceJob
        The jobs with waiting pieces, in order of arrival.
    now : float
        Monotonic time in seconds.
    rate : ServiceRate
        Rate at which the service takes calls.

    Returns
    -------
    list of (PieceJob, float)
        Jobs of which no piece has been started, with the seconds until the work ahead is done.
    """
    steps: dict[tuple[bool, bool, int], list[PieceJob]] = defaultdict(list)
    for job in jobs:
        if job.is_open and job.waiting:
            is_new, is_late, start_by = job.sort_key(now)
            steps[is_new, is_late, int(start_by // ORDER_STEP_S)].append(job)
    hopeless = []
    ahead = 0
    for step in sorted(steps):
        for job in steps[step]:
            wait_s = rate.first_call_s + ahead // rate.batch * rate.call_interval_s
            if not job.is_started and now + wait_s > job.expires_at:
                hopeless.append((job, wait_s))
            elif not job.is_large:
                ahead += len(job.waiting)
    return hopeless

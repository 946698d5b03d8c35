"""
Admission control for the stages of requests.

In a burst beyond the capacity of the upstreams, a request that would wait until its caller has left
is refused on arrival, with the time after which to retry.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.schema.generated.pieces import StageRequest

# Results are kept for a few seconds only, so the wait between two stages must be shorter.
MAX_BACKLOG_S = 1.3


class StageEstimate(msgspec.Struct, kw_only=True, frozen=True):
    """
    Estimated run time and waiting time of one stage.

    Parameters
    ----------
    run_s : float
        Run time of its pieces in seconds, without waiting.
    backlog_s : float
        Seconds until its service has finished the work queued ahead of it.
    total_s : float
        Seconds until its service has finished all admitted work.
    """

    run_s: float
    backlog_s: float = 0.0
    total_s: float = 0.0


def estimate_stage(
    scheduler: PieceScheduler | None,
    stage: StageRequest,
    now: float,
    priority: int,
    account: str = "",
) -> StageEstimate:
    """
    Estimate the run time and waiting time of a stage.

    Parameters
    ----------
    scheduler : PieceScheduler or None
        Scheduler of its service; None if the service does not run pieces.
    stage : StageRequest
        The stage.
    now : float
        Monotonic time in seconds.
    priority : int
        Rank of the request; less urgent work is not counted.
    account : str
        Account of the request; empty if unknown.

    Returns
    -------
    StageEstimate
        All zero if the stage has no pieces.
    """
    if scheduler is None or not stage.count:
        return StageEstimate(run_s=0.0)
    spec = scheduler.spec
    run_s = spec.call_overhead_s + min(stage.count, spec.batch) * spec.item_s
    backlog = scheduler.estimate_backlog(now, priority, account)
    return StageEstimate(run_s=run_s, backlog_s=backlog.ahead_s, total_s=backlog.total_s)


def find_critical_path_s(
    stages: Sequence[StageRequest], work: Sequence[StageEstimate], number: int | None = None
) -> float:
    """
    Return the length of the critical path through the stages, in seconds.

    Parameters
    ----------
    stages : sequence of StageRequest
        All stages of a request.
    work : sequence of StageEstimate
        The same stages.
    number : int or None
        The stage to start with; None for the longest path through all of them.

    Returns
    -------
    float
        Run time of the stage and of the longest chain of stages that depend on it.
    """
    paths = _find_paths_s(stages, work)
    return max(paths, default=0.0) if number is None else paths[number]


def _find_paths_s(stages: Sequence[StageRequest], work: Sequence[StageEstimate]) -> list[float]:
    """Return for each stage its run time and that of the longest chain that depends on it."""
    paths = [estimate.run_s for estimate in work]
    dependents = [0] * len(stages)
    for stage in stages:
        for other in set(stage.after):
            dependents[other] += 1
    # Each stage is visited once, after all that depend on it.
    final = [number for number, count in enumerate(dependents) if not count]
    while final:
        number = final.pop()
        for other in set(stages[number].after):
            paths[other] = max(paths[other], work[other].run_s + paths[number])
            dependents[other] -= 1
            if not dependents[other]:
                final.append(other)
    return paths


def can_be_on_time(work: Sequence[StageEstimate], path: float, slack_s: float) -> bool:
    """
    Tell whether the stages of a request can finish before it is late.

    Otherwise the request is deferred on arrival. If it competed with the others until it is late,
    every request of a burst would be slightly late.

    Parameters
    ----------
    work : sequence of StageEstimate
        Its stages.
    path : float
        Seconds that they take without any waiting.
    slack_s : float
        Seconds after which it is late.

    Returns
    -------
    bool
        Whether it is scheduled with the requests that can be on time.

    Examples
    --------
    >>> can_be_on_time([StageEstimate(run_s=0.2, backlog_s=0.5)], 0.2, 1.0)
    True
    """
    return path + max((item.backlog_s for item in work), default=0.0) <= slack_s


def compute_lateness_s(
    work: Sequence[StageEstimate],
    path: float,
    left_s: float,
    *,
    wait_share: float = 1.0,
) -> float:
    """
    Compute by how much a request would miss its limits if it were deferred.

    Parameters
    ----------
    work : sequence of StageEstimate
        Its stages.
    path : float
        Seconds that they take without any waiting.
    left_s : float
        Seconds after which their results are useless.
    wait_share : float
        Share of `left_s` that waiting and running the stages may take.

    Returns
    -------
    float
        Seconds by which they would be too late; 0 or less if they can finish in time.

    Examples
    --------
    >>> compute_lateness_s([StageEstimate(run_s=0.2, total_s=3.0)], 0.2, 2.0) > 0
    True
    """
    longest = max((item.total_s for item in work), default=0.0)
    return max(path + longest - wait_share * left_s, longest - MAX_BACKLOG_S)

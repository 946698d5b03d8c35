"""
Decides at once whether the stages of a request can be done in time.

Answers bursts of more stages than the upstreams can work on: what would wait until its caller has
left is refused before it waits, with the time after which there will be room.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.schema.generated.pieces import StageRequest

# Results are kept for a few seconds only, so that stages must not wait for longer between two.
MAX_BACKLOG_S = 1.3


class StageWork(msgspec.Struct, kw_only=True, frozen=True):
    """
    What one stage has to wait for.

    Parameters
    ----------
    own_s : float
        Seconds that its pieces take by themselves.
    backlog_s : float
        Seconds in which its service finishes the work that goes before.
    total_s : float
        Seconds in which its service finishes all that it has taken on.
    """

    own_s: float
    backlog_s: float = 0.0
    total_s: float = 0.0


def stage_work(
    scheduler: PieceScheduler | None, stage: StageRequest, now: float, priority: int
) -> StageWork:
    """
    Describe what a stage has to wait for.

    Parameters
    ----------
    scheduler : PieceScheduler or None
        Scheduler of its service; None if the service does not work on pieces.
    stage : StageRequest
        The stage.
    now : float
        Monotonic time in seconds.
    priority : int
        Rank of the request; what is less urgent does not hold it up.

    Returns
    -------
    StageWork
        Nothing to wait for if the stage has no pieces.
    """
    if scheduler is None or not stage.count:
        return StageWork(own_s=0.0)
    spec = scheduler.spec
    own_s = spec.call_s + min(stage.count, spec.batch) * spec.item_s
    return StageWork(
        own_s=own_s,
        backlog_s=scheduler.backlog_s(now, priority),
        total_s=scheduler.total_backlog_s(now),
    )


def path_s(
    stages: Sequence[StageRequest], work: Sequence[StageWork], number: int | None = None
) -> float:
    """
    Return the seconds that stages take one after the other.

    Parameters
    ----------
    stages : sequence of StageRequest
        All stages of a request.
    work : sequence of StageWork
        The same stages.
    number : int or None
        The stage to begin with; None for the longest way through all of them.

    Returns
    -------
    float
        Time of the stage and of the longest chain of stages that follow it.
    """
    if number is None:
        return max((path_s(stages, work, n) for n in range(len(stages))), default=0.0)
    later = [path_s(stages, work, n) for n, s in enumerate(stages) if number in s.after]
    return work[number].own_s + max(later, default=0.0)


def can_be_on_time(work: Sequence[StageWork], path: float, slack_s: float) -> bool:
    """
    Tell whether the stages of a request can be done before it is late.

    A request that can't is deferred from the start. If it competed with the others until it is
    late, each request of a burst would be a little late.

    Parameters
    ----------
    work : sequence of StageWork
        Its stages.
    path : float
        Seconds that they take without any waiting.
    slack_s : float
        Seconds after which it is late.

    Returns
    -------
    bool
        Whether it competes with the requests that are to be on time.

    Examples
    --------
    >>> can_be_on_time([StageWork(own_s=0.2, backlog_s=0.5)], 0.2, 1.0)
    True
    """
    return path + max((item.backlog_s for item in work), default=0.0) <= slack_s


def judge_demand(
    work: Sequence[StageWork],
    path: float,
    left_s: float,
    *,
    wait_share: float = 1.0,
) -> float:
    """
    Compare what a request has to wait for, if it is deferred, with its time.

    Parameters
    ----------
    work : sequence of StageWork
        Its stages.
    path : float
        Seconds that they take without any waiting.
    left_s : float
        Seconds after which their results are of no more use.
    wait_share : float
        Share of that time that the request may spend waiting and being worked on.

    Returns
    -------
    float
        Seconds by which they would be too late; 0 or less if they can be done.

    Examples
    --------
    >>> judge_demand([StageWork(own_s=0.2, total_s=3.0)], 0.2, 2.0) > 0
    True
    """
    longest = max((item.total_s for item in work), default=0.0)
    return max(path + longest - wait_share * left_s, longest - MAX_BACKLOG_S)

"""Selects the upstream of an attempt and acquires a slot if it is not warm."""

from __future__ import annotations

from collections.abc import Collection

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import Candidate, choose
from marigoldtrail.schema.generated.manifest import Stage, Upstream
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.types import text_of
from marigoldtrail.slots import HeldSlot
from marigoldtrail.telemetry import mark_failure

# Megabytes of input and output assumed for the transfer price of a call.
CALL_MB = 0.01
RETRY_AFTER_S = 1.0
MIN_SLOT_PAUSE_S = 0.1
WARM_CHECK_INTERVAL_S = 0.25
# A call times out this long before its slot expires.
SLOT_MARGIN_S = 0.1


class Target:
    """
    An upstream chosen for an attempt.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    instance : str
        Instance that the view or the slot names; empty if unknown.
    grant : HeldSlot or None
        Slot held for the attempt; None for a warm upstream.
    expires_at : float
        Monotonic time by which the call must have ended, in seconds.
    """

    __slots__ = ("upstream", "instance", "grant", "expires_at")

    def __init__(
        self, *, upstream: Upstream, instance: str, grant: HeldSlot | None, expires_at: float
    ) -> None:
        self.upstream = upstream
        self.instance = instance
        self.grant = grant
        self.expires_at = expires_at


def check_view(run: Run) -> Failure | None:
    """Return a failure if the node's view of the fleet is not current."""
    if run.shared.view.is_current():
        return None
    return Failure(
        reason=Reason.VIEW_NOT_CURRENT,
        run_state=RunState.NOT_RUN,
        step=run.step,
        detail="the node has not confirmed its view of the fleet for 5 s",
        retry_after_s=RETRY_AFTER_S,
    )


def recheck_target(run: Run, target: Target) -> Failure | None:
    """Return a failure if a target chosen earlier may no longer be called."""
    failure = check_view(run)
    if failure is not None:
        return failure
    shared = run.shared
    usable = shared.is_usable(target.upstream)
    if usable and (target.grant is not None or shared.is_warm(target.upstream)):
        return None
    return Failure(
        reason=Reason.NO_UPSTREAM if not usable else Reason.NO_SLOT,
        run_state=RunState.NOT_RUN,
        step=run.step,
        peer=target.upstream.name,
        detail="its state changed before the call",
    )


async def find_target(
    run: Run,
    stage: Stage,
    *,
    attempt_id: str,
    until: float,
    avoid: Collection[str] = (),
    warm_only: bool = False,
    preferred: str = "",
) -> Target | Failure:
    """
    Choose an upstream and acquire a slot if it is not warm.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    attempt_id : str
        The attempt that the slot is for.
    until : float
        Monotonic time until which to wait for a slot, in seconds.
    avoid : collection of str
        Upstreams that are used only if there is no other.
    warm_only : bool
        Whether to skip upstreams that need a slot.
    preferred : str
        Upstream to choose if it is still eligible; empty for no preference.

    Returns
    -------
    Target or Failure
        The target, or a failure that had no effect.
    """
    timers = run.shared.timers
    refused: dict[str, Failure] = {}
    while True:
        failure = check_view(run)
        if failure is not None:
            return failure
        candidate = _choose_candidate(run, stage, avoid, refused, warm_only, preferred)
        if candidate is None and refused:
            last = next(reversed(refused.values()))
            pause_s = max(MIN_SLOT_PAUSE_S, last.retry_after_s)
            if timers.now() + pause_s >= until:
                return last
            refused.clear()
            await _wait_for_warm(run, stage, pause_s)
            continue
        if candidate is None:
            return _no_upstream_failure(run, stage)
        target = await _reserve(run, candidate, attempt_id, until)
        if not isinstance(target, Failure):
            return target
        refused[candidate.name] = target


async def _wait_for_warm(run: Run, stage: Stage, max_pause_s: float) -> None:
    # A slot owner that waits for its predecessor's grants to expire asks for a long pause, during
    # which the upstreams may become warm.
    timers = run.shared.timers
    until = timers.now() + max_pause_s
    while timers.now() < until:
        await timers.sleep(min(WARM_CHECK_INTERVAL_S, until - timers.now()))
        if _choose_candidate(run, stage, (), warm_only=True) is not None:
            return


def plan_upstream(run: Run, stage: Stage, avoid: Collection[str]) -> Upstream:
    """
    Return the upstream that an attempt will probably use, without acquiring a slot.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    avoid : collection of str
        Upstreams that are used only if there is no other.

    Returns
    -------
    Upstream
        The choice; the first of the pool if none is in service.
    """
    candidate = _choose_candidate(run, stage, avoid)
    if candidate is None:
        return run.catalog.pools[stage.pool][0]
    return run.catalog.upstreams[candidate.name]


def release_target(
    run: Run, target: Target, *, succeeded: bool, duration_ms: float, ended: bool = True
) -> None:
    """Release the slot of a target, if it has one; without `ended` it is held until it expires."""
    grant = target.grant
    if grant is None:
        return
    run.shared.slots.release(
        grant,
        succeeded=succeeded,
        ended=ended,
        duration_ms=round(duration_ms),
        instance=target.instance,
    )


def transfer_price(run: Run, upstream: Upstream, megabytes: float = CALL_MB) -> float:
    """Return the cost of a transfer between this node and an upstream, in cost units."""
    here, there = run.shared.cfg.data_centre, upstream.data_centre
    return run.catalog.price_per_mb(here, there) * megabytes


def prompt_of(run: Run) -> str:
    """Return the text whose prefix may be in the prefix cache of an engine."""
    return text_of(run.stage_input())


def _choose_candidate(
    run: Run,
    stage: Stage,
    avoid: Collection[str],
    refused: Collection[str] = (),
    warm_only: bool = False,
    preferred: str = "",
) -> Candidate | None:
    shared = run.shared
    now = shared.timers.now()
    usable = [
        upstream
        for upstream in run.catalog.upstreams_for(stage, run.pipeline.data_centres)
        if upstream.name not in refused
        and shared.is_usable(upstream)
        and (not warm_only or shared.is_warm(upstream))
    ]
    usable = [item for item in usable if item.name not in avoid] or usable
    # If all are ejected, choose among all of them rather than fail.
    healthy = [item for item in usable if shared.health[item.name].is_usable(now)] or usable
    entries = shared.count_live_entries()
    candidates = [_build_candidate(run, item, now, entries) for item in healthy]
    for candidate in candidates:
        if candidate.name == preferred:
            return candidate
    cached_at = shared.prefixes.find(prompt_of(run)) if stage.kind == "generate" else ""
    usual_ms = shared.estimator(run.pipeline.name, stage).quantile(0.5)
    return choose(candidates, usual_ms=usual_ms, rng=shared.rng, preferred=cached_at)


def _build_candidate(run: Run, upstream: Upstream, now: float, entries: int) -> Candidate:
    shared = run.shared
    load = shared.loads[upstream.name]
    in_progress = load.estimate(
        now,
        capacity=upstream.capacity,
        reported=shared.view.load_of(upstream.name),
        has_reports=upstream.reports_load,
        entries=entries,
    )
    return Candidate(
        name=upstream.name,
        is_warm=shared.is_warm(upstream),
        load=in_progress / upstream.capacity,
        capacity=upstream.capacity,
        service_ms=load.service_ms,
        delay_ms=run.catalog.delay_ms(shared.cfg.data_centre, upstream.data_centre),
        price=upstream.price + transfer_price(run, upstream),
    )


async def _reserve(
    run: Run, candidate: Candidate, attempt_id: str, until: float
) -> Target | Failure:
    shared = run.shared
    upstream = run.catalog.upstreams[candidate.name]
    status = shared.view.upstream_status(candidate.name)
    instance = status.instance if status is not None else ""
    if candidate.is_warm:
        return Target(upstream=upstream, instance=instance, grant=None, expires_at=float("inf"))
    asked_at = shared.timers.now()
    with shared.telemetry.span("slot", upstream=upstream.name) as span:
        grant = await shared.slots.acquire(upstream.name, attempt_id, max(0.0, until - asked_at))
        if isinstance(grant, Failure):
            mark_failure(span, grant)
            return grant
    expires_at = grant.expires_at - SLOT_MARGIN_S
    return Target(
        upstream=upstream,
        instance=grant.instance or instance,
        grant=grant,
        expires_at=expires_at,
    )


def _no_upstream_failure(run: Run, stage: Stage) -> Failure:
    return Failure(
        reason=Reason.NO_UPSTREAM,
        run_state=RunState.NOT_RUN,
        step=run.step,
        detail=f"no upstream of pool {stage.pool!r} is in service",
        retry_after_s=RETRY_AFTER_S,
    )

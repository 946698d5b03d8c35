"""Runs idempotent stages: retries and hedges within the retry budget; the first answer is used."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple, TypeVar

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import hedge_delay, limit_attempt
from marigoldtrail.policy.hedging import MAX_HEDGE_LOAD
from marigoldtrail.schema.generated.manifest import Stage
from marigoldtrail.serving.calls import send_call
from marigoldtrail.serving.outcomes import StageResult, cost_of
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.targets import find_target, recheck_target, release_target

MAX_ATTEMPTS = 3

Result = TypeVar("Result")

# Failures after which another upstream may answer.
RETRYABLE_REASONS = frozenset(
    {
        Reason.UNREACHABLE,
        Reason.TIMEOUT,
        Reason.UPSTREAM_ERROR,
        Reason.BAD_ANSWER,
        Reason.OVERLOADED,
        Reason.NO_SLOT,
    }
)


class AttemptOutcome(NamedTuple):
    """
    Outcome of an attempt.

    Parameters
    ----------
    result : StageResult or Failure
        Result of the attempt.
    was_called : bool
        Whether an upstream was called; a retry then counts against the retry budget.
    """

    result: StageResult | Failure
    was_called: bool


class StageState:
    """
    State of the attempts of one stage of one request.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    until : float
        Monotonic time by which the stage must end, in seconds.
    """

    __slots__ = (
        "run",
        "stage",
        "until",
        "attempts",
        "running",
        "tried",
        "has_hedged",
        "outcomes",
        "_outcome_sender",
    )

    def __init__(self, *, run: Run, stage: Stage, until: float) -> None:
        self.run = run
        self.stage = stage
        self.until = until
        self.attempts = 0
        self.running = 0
        self.tried: set[str] = set()
        self.has_hedged = False
        self._outcome_sender, self.outcomes = trio.open_memory_channel[AttemptOutcome](MAX_ATTEMPTS)

    async def run_attempt(self, *, is_hedge: bool) -> None:
        """Make one attempt and report its outcome."""
        outcome = await attempt_once(self, is_hedge=is_hedge)
        self._outcome_sender.send_nowait(outcome)

    def start(self, nursery: trio.Nursery, *, is_hedge: bool = False) -> None:
        """Start an attempt."""
        self.attempts += 1
        self.running += 1
        nursery.start_soon(lambda: self.run_attempt(is_hedge=is_hedge))


async def run_idempotent(
    run: Run, stage: Stage, *, until: float
) -> tuple[StageResult | Failure, int]:
    """
    Run an idempotent stage.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    until : float
        Monotonic time by which the stage must end, in seconds.

    Returns
    -------
    tuple
        The result or the last failure, and the number of attempts.
    """
    state = StageState(run=run, stage=stage, until=until)
    result: StageResult | Failure | None = None
    async with trio.open_nursery() as nursery:
        run.shared.budget.add_call()
        state.start(nursery)
        while result is None:
            outcome = await _next_outcome(state, nursery)
            state.running -= 1
            if not isinstance(outcome.result, Failure):
                result = outcome.result
            elif state.running == 0:
                if may_retry(run, stage, outcome, attempts=state.attempts, until=until):
                    state.start(nursery)
                else:
                    result = outcome.result
        nursery.cancel_scope.cancel()
    return result, state.attempts


async def _next_outcome(state: StageState, nursery: trio.Nursery) -> AttemptOutcome:
    run, timers = state.run, state.run.shared.timers
    estimator = run.shared.estimator(run.pipeline.name, state.stage)
    delay_s = hedge_delay(estimator, state.until - timers.now())
    if delay_s is None or state.has_hedged or state.attempts > 1:
        return await state.outcomes.receive()
    with trio.move_on_after(delay_s):
        return await state.outcomes.receive()
    state.has_hedged = True
    if run.shared.gate(state.stage.pool).is_below(MAX_HEDGE_LOAD) and run.shared.budget.try_take():
        run.shared.telemetry.decisions.add(
            "hedge",
            state.stage.name,
            f"no answer after {delay_s * 1000:.0f} ms",
            request_id=run.req.request_id,
            slow=",".join(sorted(state.tried)),
        )
        run.shared.telemetry.metrics.count("hedges")
        state.start(nursery, is_hedge=True)
    return await state.outcomes.receive()


def may_retry(
    run: Run,
    stage: Stage,
    outcome: AttemptOutcome,
    *,
    attempts: int,
    until: float,
    is_resume: bool = False,
) -> bool:
    """
    Decide whether to make another attempt after a failed one.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    outcome : AttemptOutcome
        The failed attempt.
    attempts : int
        Number of attempts made.
    until : float
        Monotonic time by which the stage must end, in seconds.
    is_resume : bool
        Whether the attempt resumes a stream, whose remaining duration is unknown.

    Returns
    -------
    bool
        True if the failure and the time left allow it and, after a call, the retry budget too.
    """
    failure = outcome.result
    if not isinstance(failure, Failure) or attempts >= MAX_ATTEMPTS:
        return False
    # A peer is named if the chosen upstream left service before the call; none if there was no
    # upstream to choose.
    has_left = failure.reason is Reason.NO_UPSTREAM and failure.peer != ""
    if failure.step.startswith("gate") or not (has_left or failure.reason in RETRYABLE_REASONS):
        return False
    shared = run.shared
    usual_s = shared.estimator(run.pipeline.name, stage).quantile(0.5) / 1000
    if until - shared.timers.now() < (0.0 if is_resume else usual_s):
        return False
    if outcome.was_called and not shared.budget.try_take():
        shared.telemetry.metrics.count("retries.over_budget")
        return False
    shared.telemetry.metrics.count("retries")
    return True


async def attempt_once(state: StageState, *, is_hedge: bool) -> AttemptOutcome:
    """Make one attempt with its own id, within the node's share of the pool."""
    run = state.run
    if is_hedge:
        gate = run.shared.gate(state.stage.pool)
        if not gate.try_enter():
            return AttemptOutcome(gate_failure(run, state.stage), False)
        try:
            return await _attempt_in_gate(state)
        finally:
            gate.leave()
    return await run_in_gate(run, state.stage, state.until, partial(_attempt_in_gate, state))


async def run_in_gate(
    run: Run, stage: Stage, until: float, attempt: Callable[[], Awaitable[Result]]
) -> Result | AttemptOutcome:
    """
    Make an attempt within the node's share of the pool; wait for capacity until `until`.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage, whose pool is shared.
    until : float
        Monotonic time until which to wait for capacity, in seconds.
    attempt : callable
        Asynchronous function that makes the attempt.

    Returns
    -------
    object
        What the attempt returned, or an outcome with the `gate_failure` if no capacity was free
        in time.
    """
    gate = run.shared.gate(stage.pool)
    with trio.move_on_at(until) as scope:
        await gate.enter(run.arrived)
    if scope.cancelled_caught:
        return AttemptOutcome(gate_failure(run, stage), False)
    try:
        return await attempt()
    finally:
        gate.leave()


async def _attempt_in_gate(state: StageState) -> AttemptOutcome:
    run, stage, shared = state.run, state.stage, state.run.shared
    attempt_id = shared.new_attempt_id()
    target = await find_target(
        run, stage, attempt_id=attempt_id, until=state.until, avoid=state.tried
    )
    if isinstance(target, Failure):
        return AttemptOutcome(target, False)
    failure = recheck_target(run, target)
    if failure is not None:
        release_target(run, target, succeeded=False, duration_ms=0.0)
        return AttemptOutcome(failure, False)
    state.tried.add(target.upstream.name)
    estimator = shared.estimator(run.pipeline.name, stage)
    budget_s = state.until - shared.timers.now()
    timeout_s = limit_attempt(budget_s, estimator, may_repeat=state.attempts < MAX_ATTEMPTS)
    run.possible_effects += 1
    answer = await send_call(run, stage, target, attempt_id=attempt_id, timeout_s=timeout_s)
    if isinstance(answer, Failure):
        if answer.run_state is RunState.NOT_RUN:
            run.possible_effects -= 1
        return AttemptOutcome(answer, True)
    result = StageResult(
        output=answer.output,
        attempt_id=attempt_id,
        upstream=target.upstream.name,
        instance=answer.instance or target.instance,
        cost=cost_of(run, stage, target, answer.output),
    )
    return AttemptOutcome(result, True)


def gate_failure(run: Run, stage: Stage) -> Failure:
    """Return the failure of a stage that got no capacity of its pool in time."""
    return Failure(
        reason=Reason.OVERLOADED,
        run_state=RunState.NOT_RUN,
        step=f"gate.{stage.name}",
        detail=f"no room in this node's share of pool {stage.pool!r}",
        retry_after_s=0.5,
    )

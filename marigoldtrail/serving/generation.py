"""Runs generations: numbered token streams that resume on another engine after a failure."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy.deadlines import ATTEMPT_TIMEOUT_FACTOR
from marigoldtrail.policy.migration import is_move_worthwhile
from marigoldtrail.schema.generated.manifest import Stage
from marigoldtrail.serving.calls import CallRecord, build_call, drop_answer
from marigoldtrail.serving.idempotent import (
    MAX_ATTEMPTS,
    AttemptOutcome,
    may_retry,
    run_in_gate,
)
from marigoldtrail.serving.outcomes import StageResult, cost_of
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.targets import (
    Target,
    find_target,
    prompt_of,
    recheck_target,
    release_target,
)
from marigoldtrail.serving.types import text_of
from marigoldtrail.telemetry import mark_failure
from marigoldtrail.upstream import StageCall, TokenChunk

# 48 times the target of 42 ms between tokens: an engine that sends none for longer has failed.
STALL_S = 2.0
MOVE_CHECK_INTERVAL_S = 0.25
MOVE_TIMEOUT_S = 1.0

Emit = Callable[[int, str], Awaitable[None]]


class GenerationState:
    """
    State of one generation of one request, across all its engines.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    until : float
        Monotonic time by which the stage must end, in seconds.
    emit : callable or None
        Receives the number of the first token and the text; None if the tokens are not streamed.

    Attributes
    ----------
    parts : list of str
        Text forwarded so far.
    next_token : int
        Number of the next token; equals the number of tokens forwarded.
    """

    __slots__ = (
        "run",
        "stage",
        "until",
        "emit",
        "parts",
        "next_token",
        "attempts",
        "tried",
        "moved_to",
        "may_move",
        "next_move_check_at",
        "instance",
        "instance_state",
    )

    def __init__(self, *, run: Run, stage: Stage, until: float, emit: Emit | None) -> None:
        self.run = run
        self.stage = stage
        self.until = until
        self.emit = emit
        self.parts: list[str] = []
        self.next_token = 0
        self.attempts = 0
        self.tried: set[str] = set()
        self.moved_to: Target | None = None
        self.may_move = True
        self.next_move_check_at = 0.0
        self.instance = ""
        self.instance_state = ""


async def run_generation(
    run: Run, stage: Stage, *, until: float, emit: Emit | None
) -> tuple[StageResult | Failure, int]:
    """
    Generate text; after a failure, resume on another engine after the last forwarded token.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    until : float
        Monotonic time by which the stage must end, in seconds.
    emit : callable or None
        Receives the tokens.

    Returns
    -------
    tuple
        The result with the whole text, or the last failure; and the number of attempts.
    """
    state = GenerationState(run=run, stage=stage, until=until, emit=emit)
    run.shared.budget.add_call()
    attempts_since_progress = 1
    while True:
        before = state.next_token
        outcome = await run_in_gate(run, stage, until, partial(_attempt, state))
        if state.moved_to is not None:
            continue
        if not isinstance(outcome.result, Failure):
            return outcome.result, state.attempts
        if state.next_token > before:
            # A resumed stream repeats no work, so it does not count against the retry budget.
            outcome = outcome._replace(was_called=False)
            attempts_since_progress = 1
        else:
            attempts_since_progress += 1
        if not may_retry(
            run,
            stage,
            outcome,
            attempts=attempts_since_progress - 1,
            until=until,
            is_resume=state.next_token > 0,
        ):
            return outcome.result, state.attempts


async def _attempt(state: GenerationState) -> AttemptOutcome:
    run, stage, shared = state.run, state.stage, state.run.shared
    attempt_id = shared.new_attempt_id()
    target: Target | Failure | None = state.moved_to
    state.moved_to = None
    if target is None:
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
    state.attempts += 1
    failure = await _stream_from(state, target, attempt_id)
    if failure is not None:
        return AttemptOutcome(failure, True)
    text = "".join(state.parts)
    shared.prefixes.add(prompt_of(run), target.upstream.name)
    result = StageResult(
        output=text,
        attempt_id=attempt_id,
        upstream=target.upstream.name,
        instance=state.instance or target.instance,
        tokens=state.next_token,
        cost=cost_of(run, stage, target, text, state.next_token),
    )
    return AttemptOutcome(result, True)


async def _stream_from(state: GenerationState, target: Target, attempt_id: str) -> Failure | None:
    run, stage, shared = state.run, state.stage, state.run.shared
    timers = shared.timers
    timeout_s = max(0.0, min(state.until, target.expires_at) - timers.now())
    call = build_call(
        run,
        stage,
        target,
        attempt_id=attempt_id,
        timeout_s=timeout_s,
        resume_from=state.next_token,
    )
    first_token = state.next_token
    record = CallRecord(run=run, stage=stage, target=target, attempt_id=attempt_id)
    name = target.upstream.name
    with shared.telemetry.span(
        "stage.attempt", stage=stage.name, upstream=name, attempt_id=attempt_id
    ) as span:
        run.possible_effects += 1
        try:
            failure = await _read_with_timeout(state, target, call, timeout_s)
        except trio.Cancelled:
            record.abandon()
            raise
        span.set_attribute("tokens", state.next_token - first_token)
        if failure is not None:
            if failure.run_state is RunState.NOT_RUN:
                run.possible_effects -= 1
            mark_failure(span, failure)
            record.fail(failure)
            return failure
    duration_ms = record.duration_ms()
    tokens = max(1, state.next_token - first_token)
    # Engines are compared by the time per token, since generations differ in length.
    record.succeed(
        instance=state.instance, state=state.instance_state, compared_ms=duration_ms / tokens
    )
    if first_token == 0 and state.moved_to is None:
        shared.estimator(run.pipeline.name, stage).add(duration_ms)
    return None


async def _read_with_timeout(
    state: GenerationState, target: Target, call: StageCall, timeout_s: float
) -> Failure | None:
    with trio.move_on_after(timeout_s):
        async with state.run.shared.upstreams.stream(
            target.upstream, call, timeout_s=timeout_s, slot=target.grant
        ) as stream:
            if isinstance(stream, Failure):
                return stream
            state.instance, state.instance_state = stream.instance, stream.state
            failure = _check_owner(state, call, stream, target)
            return failure or await _read_stream(state, target, call, stream)
    return Failure(
        reason=Reason.TIMEOUT,
        run_state=RunState.MAY_HAVE_RUN,
        step=state.run.step,
        peer=target.upstream.name,
        detail="the stream did not end in time",
    )


def _check_owner(
    state: GenerationState, call: StageCall, stream: Any, target: Target
) -> Failure | None:
    for field in ("request_id", "attempt_id", "client_account"):
        got = getattr(stream, field, "")
        if got and got != getattr(call, field):
            detail = f"{field} {got!r} is not that of the call"
            return drop_answer(state.run, target.upstream.name, detail)
    return None


async def _read_stream(
    state: GenerationState, target: Target, call: StageCall, stream: Any
) -> Failure | None:
    timers = state.run.shared.timers
    opened_at: float | None = timers.now()
    with trio.CancelScope(deadline=_compute_first_token_deadline(state)) as scope:
        async for chunk in stream:
            if isinstance(chunk, Failure):
                return chunk
            if opened_at is not None:
                elapsed_ms = (timers.now() - opened_at) * 1000
                state.run.shared.first_token_estimator(state.run.pipeline.name, state.stage).add(
                    elapsed_ms
                )
                opened_at = None
            scope.deadline = float("inf")
            failure = await _forward_chunk(state, chunk, target.upstream.name)
            if failure is not None:
                return failure
            if timers.now() >= state.next_move_check_at and await _try_move(state, target, call):
                return None
            scope.deadline = timers.now() + STALL_S
        return None
    return Failure(
        reason=Reason.TIMEOUT,
        run_state=RunState.MAY_HAVE_RUN,
        step=state.run.step,
        peer=target.upstream.name,
        detail=f"no token for {STALL_S} s",
    )


def _compute_first_token_deadline(state: GenerationState) -> float:
    """Return the time by which the first token of an attempt must have arrived."""
    now = state.run.shared.timers.now()
    if state.attempts >= MAX_ATTEMPTS:
        return state.until
    estimator = state.run.shared.first_token_estimator(state.run.pipeline.name, state.stage)
    half_s = (state.until - now) / 2
    if not estimator.is_learned:
        return now + max(STALL_S, half_s)
    # A busy engine may take several times the usual time to its first token.
    return now + max(STALL_S, min(half_s, ATTEMPT_TIMEOUT_FACTOR * estimator.quantile(0.95) / 1000))


async def _forward_chunk(state: GenerationState, chunk: TokenChunk, peer: str) -> Failure | None:
    if chunk.first + chunk.count <= state.next_token:
        return None
    if chunk.first != state.next_token:
        detail = f"token {chunk.first} came in place of token {state.next_token}"
        return drop_answer(state.run, peer, detail)
    first = state.next_token
    state.next_token += chunk.count
    state.parts.append(chunk.text)
    if state.emit is not None:
        state.run.possible_effects += first == 0
        await state.emit(first, chunk.text)
    return None


async def _try_move(state: GenerationState, target: Target, call: StageCall) -> bool:
    """Move to another engine if this one is leaving and its KV cache is worth the transfer."""
    run, shared, timers = state.run, state.run.shared, state.run.shared.timers
    state.next_move_check_at = timers.now() + MOVE_CHECK_INTERVAL_S
    if not state.may_move or shared.is_usable(target.upstream):
        return False
    state.may_move = False
    destination = await find_target(
        run,
        state.stage,
        attempt_id="",
        until=timers.now(),
        avoid={target.upstream.name},
        warm_only=True,
    )
    if isinstance(destination, Failure):
        return False
    if destination.upstream.name == target.upstream.name or not _is_move_worthwhile(
        state, target, destination
    ):
        return False
    with shared.telemetry.span("stage.move", upstream=destination.upstream.name):
        moved = await _copy_cache(state, target, destination, call)
    if not moved:
        return False
    state.moved_to = destination
    shared.telemetry.decisions.add(
        "move",
        target.upstream.name,
        "the engine is leaving",
        request_id=run.req.request_id,
        target=destination.upstream.name,
        tokens=state.next_token,
    )
    return True


async def _copy_cache(
    state: GenerationState, source: Target, destination: Target, call: StageCall
) -> bool:
    upstreams = state.run.shared.upstreams
    with trio.move_on_after(MOVE_TIMEOUT_S):
        data = await upstreams.export_kv(source.upstream, text_of(call.input), call.model)
        if not isinstance(data, Failure):
            return not isinstance(await upstreams.import_kv(destination.upstream, data), Failure)
    return False


def _is_move_worthwhile(state: GenerationState, source: Target, destination: Target) -> bool:
    run, here = state.run, state.run.shared.cfg.data_centre
    return is_move_worthwhile(
        prompt_chars=len(prompt_of(run)),
        tokens=state.next_token,
        # The KV cache is transferred through this node.
        price_per_mb=run.catalog.price_per_mb(source.upstream.data_centre, here)
        + run.catalog.price_per_mb(here, destination.upstream.data_centre),
        price_per_token=run.catalog.token_price_of(state.stage.model),
        remaining_s=state.until - run.shared.timers.now(),
    )

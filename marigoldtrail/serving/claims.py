"""Runs non-idempotent stages at most once, under a durable claim."""

from __future__ import annotations

from functools import partial

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.manifest import Stage, Upstream
from marigoldtrail.schema.generated.records import ClaimReply, OpenClaim, SettleClaim
from marigoldtrail.serving.calls import send_call
from marigoldtrail.serving.idempotent import (
    AttemptOutcome,
    may_retry,
    run_in_gate,
)
from marigoldtrail.serving.outcomes import StageResult, cost_of
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.targets import (
    Target,
    check_view,
    find_target,
    plan_upstream,
    recheck_target,
    release_target,
)
from marigoldtrail.serving.types import compute_digest
from marigoldtrail.telemetry import mark_failure
from marigoldtrail.upstream import StageAnswer

INITIAL_POLL_S = 0.1
MAX_POLL_S = 1.0
# Pauses between attempts to settle in the background; shorter ones only add load while there is no
# quorum.
INITIAL_SETTLE_PAUSE_S = 0.2
MAX_SETTLE_PAUSE_S = 5.0
SETTLE_TIMEOUT_S = 3.0


class ClaimedStage:
    """
    One non-idempotent stage of one request.

    All connection attempts of the stage share one attempt id. The claim is held under this id, and
    the sweeper asks every upstream that the claim names for the outcome of the id.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    until : float
        Monotonic time by which the stage must end, in seconds.

    Attributes
    ----------
    unsettled_state : str
        State to settle the claim with if the request ends now; empty if the claim is not held.
    """

    __slots__ = (
        "run",
        "stage",
        "until",
        "attempt_id",
        "rounds",
        "attempts",
        "tried",
        "unsettled_state",
        "answer",
    )

    def __init__(self, *, run: Run, stage: Stage, until: float) -> None:
        self.run = run
        self.stage = stage
        self.until = until
        self.attempt_id = run.shared.new_attempt_id()
        self.rounds = 0
        self.attempts = 0
        self.tried: set[str] = set()
        self.unsettled_state = ""
        self.answer = b""


async def run_claimed(run: Run, stage: Stage, *, until: float) -> tuple[StageResult | Failure, int]:
    """
    Run a stage at most once.

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
        The result or the failure, and the number of attempts. The result is the recorded one if an
        earlier request under the same key has run the stage.
    """
    state = ClaimedStage(run=run, stage=stage, until=until)
    run.shared.budget.add_call()
    try:
        return await _run_until_settled(state), state.attempts
    finally:
        if state.unsettled_state:
            run.shared.background.start(
                settle_until_acknowledged, run, _settlement(state, state.unsettled_state)
            )


async def _run_until_settled(state: ClaimedStage) -> StageResult | Failure:
    run, timers = state.run, state.run.shared.timers
    poll_s = INITIAL_POLL_S
    has_waited = False
    while True:
        outcome = await run_in_gate(run, state.stage, state.until, partial(_claim_and_call, state))
        if isinstance(outcome, ClaimReply):
            # Another attempt holds the claim; whether it has run is unknown.
            run.possible_effects += not has_waited
            has_waited = True
            if timers.now() + poll_s >= state.until:
                return run.fail(
                    Reason.CLAIM_PENDING,
                    f"request {outcome.request_id} with the same key has not ended",
                    retry_after_s=MAX_POLL_S,
                )
            await timers.sleep(poll_s)
            poll_s = min(MAX_POLL_S, 2 * poll_s)
            continue
        result = outcome.result
        state.rounds += 1
        if has_waited and state.attempts:
            run.possible_effects -= 1
            has_waited = False
        if not isinstance(result, Failure) or not _may_try_again(state, outcome):
            return result


def _may_try_again(state: ClaimedStage, outcome: AttemptOutcome) -> bool:
    result = outcome.result
    if not isinstance(result, Failure) or result.run_state is not RunState.NOT_RUN:
        return False
    if result.step in ("claim.open", "claim.settle"):
        return False
    return may_retry(state.run, state.stage, outcome, attempts=state.rounds, until=state.until)


async def _claim_and_call(state: ClaimedStage) -> AttemptOutcome | ClaimReply:
    """
    Open the claim, then reserve the upstream, then call it.

    The claim comes first: a repeated request must get the recorded outcome, and never ``NOT_RUN``
    for a key that has run, even if no upstream or slot is available.
    """
    run, stage = state.run, state.stage
    failure = check_view(run)
    if failure is not None:
        return AttemptOutcome(failure, False)
    planned = plan_upstream(run, stage, state.tried)
    reply = await _open_claim(state, planned)
    if isinstance(reply, Failure):
        return AttemptOutcome(reply, False)
    if not _is_granted(state, reply):
        return _interpret_claim(state, reply)
    run.step = f"stage.{stage.name}"
    target = await find_target(
        run,
        stage,
        attempt_id=state.attempt_id,
        until=state.until,
        avoid=state.tried,
        preferred=planned.name,
    )
    if isinstance(target, Failure):
        return AttemptOutcome(target, False)
    return await _call_target(state, target, planned)


async def _call_target(state: ClaimedStage, target: Target, planned: Upstream) -> AttemptOutcome:
    """Add the target to the claim, check that it is still in service, and call it."""
    is_ready = False
    try:
        if target.upstream.name != planned.name:
            # The sweeper asks only the upstreams that the claim names.
            reply = await _open_claim(state, target.upstream)
            if isinstance(reply, Failure):
                return AttemptOutcome(reply, False)
            if not _is_granted(state, reply):
                failure = state.run.fail(Reason.CLAIM_PENDING, "the claim was lost")
                return AttemptOutcome(failure, False)
        recheck_failure = recheck_target(state.run, target)
        if recheck_failure is not None:
            return AttemptOutcome(recheck_failure, False)
        is_ready = True
    finally:
        if not is_ready:
            release_target(state.run, target, succeeded=False, duration_ms=0.0)
    return await _call_once(state, target)


async def _open_claim(state: ClaimedStage, upstream: Upstream) -> ClaimReply | Failure:
    run, shared = state.run, state.run.shared
    remaining_s = state.until - shared.timers.now()
    request = OpenClaim(
        client_account=run.req.client_account,
        idempotency_key=run.req.idempotency_key,
        stage=state.stage.name,
        digest=claim_digest(run),
        request_id=run.req.request_id,
        attempt_id=state.attempt_id,
        entry=shared.cfg.host,
        upstream=upstream.name,
        deadline_wall_ms=shared.timers.wall_ms() + round(run.remaining_s() * 1000),
        outcome_path=upstream.outcome_path,
        outcome_final=upstream.outcome_final,
    )
    run.step = "claim.open"
    # Until the reply arrives the claim may be held, although no call has been sent under it.
    held = bool(state.unsettled_state)
    state.unsettled_state = "not_run"
    # An earlier request under the caller's key may have run; that is unknown until the record
    # group has answered.
    is_earlier_run_unknown = not held and run.req.idempotency_key != run.req.request_id
    run.possible_effects += is_earlier_run_unknown
    with shared.telemetry.span("claim.open", stage=state.stage.name) as span:
        reply = await shared.control.open_claim(request, timeout_s=max(0.0, remaining_s))
        if isinstance(reply, Failure):
            mark_failure(span, reply)
            if reply.run_state is RunState.NOT_RUN and not held:
                state.unsettled_state = ""
            return msgspec.structs.replace(reply, run_state=run.run_state, step="claim.open")
    run.possible_effects -= is_earlier_run_unknown
    run.is_key_known = True
    return reply


def _is_granted(state: ClaimedStage, reply: ClaimReply) -> bool:
    """Tell whether this attempt holds the claim, possibly granted by a reply that was lost."""
    return reply.state == "granted" or (
        reply.state == "pending" and reply.attempt_id == state.attempt_id
    )


def _interpret_claim(state: ClaimedStage, reply: ClaimReply) -> AttemptOutcome | ClaimReply:
    run = state.run
    state.unsettled_state = ""
    if reply.state == "pending":
        return reply
    if reply.state == "done":
        run.possible_effects += 1
        output = msgspec.json.decode(reply.answer)
        return AttemptOutcome(StageResult(output=output, attempt_id=reply.attempt_id), False)
    if reply.state == "may_have_run":
        run.possible_effects += 1
        detail = f"request {reply.request_id} with the same key may have run"
        return AttemptOutcome(run.fail(Reason.CLAIM_MAY_HAVE_RUN, detail), False)
    if reply.state == "not_run":
        # The attempt id was settled as not run by an operator or the sweeper.
        state.attempt_id = run.shared.new_attempt_id()
        failure = run.fail(Reason.NO_SLOT, "the claim was settled before the call")
        return AttemptOutcome(msgspec.structs.replace(failure, step=state.stage.name), False)
    detail = reply.detail or "the idempotency key was used with another request"
    return AttemptOutcome(run.fail(Reason.KEY_MISMATCH, detail), False)


async def _call_once(state: ClaimedStage, target: Target) -> AttemptOutcome:
    run, stage = state.run, state.stage
    run.step = f"stage.{stage.name}.attempt"
    state.attempts += 1
    state.tried.add(target.upstream.name)
    state.unsettled_state = "may_have_run"
    run.possible_effects += 1
    answer = await send_call(
        run,
        stage,
        target,
        attempt_id=state.attempt_id,
        # A claimed call may use all the remaining time: an answer before the deadline is better
        # than a claim that may have run.
        timeout_s=run.remaining_s(),
    )
    if isinstance(answer, Failure):
        if answer.run_state is RunState.NOT_RUN:
            state.unsettled_state = "not_run"
            run.possible_effects -= 1
        return AttemptOutcome(answer, True)
    state.unsettled_state = "done"
    state.answer = msgspec.json.encode(answer.output)
    failure = await _settle_done(state)
    if failure is not None:
        return AttemptOutcome(failure, True)
    return AttemptOutcome(_result_of(state, target, answer), True)


def _result_of(state: ClaimedStage, target: Target, answer: StageAnswer) -> StageResult:
    return StageResult(
        output=answer.output,
        attempt_id=state.attempt_id,
        upstream=target.upstream.name,
        instance=answer.instance or target.instance,
        cost=cost_of(state.run, state.stage, target, answer.output),
    )


async def _settle_done(state: ClaimedStage) -> Failure | None:
    run, shared = state.run, state.run.shared
    run.step = "claim.settle"
    with shared.telemetry.span("claim.settle", stage=state.stage.name) as span:
        reply = await shared.control.settle_claim(
            _settlement(state, "done"), timeout_s=max(0.0, run.remaining_s())
        )
        if isinstance(reply, Failure):
            mark_failure(span, reply)
            return msgspec.structs.replace(
                reply, run_state=RunState.MAY_HAVE_RUN, step="claim.settle"
            )
    state.unsettled_state = ""
    if reply.state != "done":
        return run.fail(Reason.CLAIM_MAY_HAVE_RUN, f"the claim was settled as {reply.state}")
    return None


def _settlement(state: ClaimedStage, outcome: str) -> SettleClaim:
    req = state.run.req
    return msgspec.convert(
        {
            "client_account": req.client_account,
            "idempotency_key": req.idempotency_key,
            "stage": state.stage.name,
            "request_id": req.request_id,
            "attempt_id": state.attempt_id,
            "state": outcome,
            "answer": state.answer if outcome == "done" else b"",
        },
        SettleClaim,
    )


async def settle_until_acknowledged(run: Run, settlement: SettleClaim) -> None:
    """
    Settle a claim, retrying until it succeeds; cancelled when the node stops.

    Parameters
    ----------
    run : Run
        The request.
    settlement : SettleClaim
        The outcome.
    """
    shared = run.shared
    pause_s = INITIAL_SETTLE_PAUSE_S
    while True:
        reply = await shared.control.settle_claim(settlement, timeout_s=SETTLE_TIMEOUT_S)
        if not isinstance(reply, Failure):
            return
        await shared.timers.sleep(pause_s)
        pause_s = min(MAX_SETTLE_PAUSE_S, 2 * pause_s)


def claim_digest(run: Run) -> str:
    """Return the digest that distinguishes a repeated request from others under the same key."""
    return compute_digest([run.req.pipeline, run.req.digest])

"""Stages that must run at most once, under a durable claim."""

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
    recheck,
    release_target,
)
from marigoldtrail.serving.types import digest_of
from marigoldtrail.telemetry import mark_failure
from marigoldtrail.upstream import StageAnswer

FIRST_POLL_S = 0.1
LONGEST_POLL_S = 1.0
# Pauses between tries to settle in the background; without a quorum, faster ones only add load.
FIRST_SETTLE_PAUSE_S = 0.2
LONGEST_SETTLE_PAUSE_S = 5.0
SETTLE_TIMEOUT_S = 3.0


class ClaimedStage:
    """
    One non-idempotent stage of one request.

    All connects of the stage share one attempt id: the claim belongs to it, and the sweeper asks
    every upstream that the claim names for the outcome of that id.

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
    unsettled : str
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
        "unsettled",
        "answer",
    )

    def __init__(self, *, run: Run, stage: Stage, until: float) -> None:
        self.run = run
        self.stage = stage
        self.until = until
        self.attempt_id = run.shared.new_id()
        self.rounds = 0
        self.attempts = 0
        self.tried: set[str] = set()
        self.unsettled = ""
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
        if state.unsettled:
            run.shared.background.start(settle_forever, run, _settlement(state, state.unsettled))


async def _run_until_settled(state: ClaimedStage) -> StageResult | Failure:
    run, timers = state.run, state.run.shared.timers
    poll_s = FIRST_POLL_S
    waited = False
    while True:
        outcome = await run_in_gate(run, state.stage, state.until, partial(_claim_and_call, state))
        if isinstance(outcome, ClaimReply):
            # Another attempt holds the claim; whether it has run is open.
            run.in_doubt += not waited
            waited = True
            if timers.now() + poll_s >= state.until:
                return run.fail(
                    Reason.CLAIM_PENDING,
                    f"request {outcome.request_id} with the same key has not ended",
                    retry_after_s=LONGEST_POLL_S,
                )
            await timers.sleep(poll_s)
            poll_s = min(LONGEST_POLL_S, 2 * poll_s)
            continue
        result = outcome.result
        state.rounds += 1
        if waited and state.attempts:
            run.in_doubt -= 1
            waited = False
        if not isinstance(result, Failure) or not _may_go_on(state, outcome):
            return result


def _may_go_on(state: ClaimedStage, outcome: AttemptOutcome) -> bool:
    result = outcome.result
    if not isinstance(result, Failure) or result.run_state is not RunState.NOT_RUN:
        return False
    if result.step in ("claim.open", "claim.settle"):
        return False
    return may_retry(state.run, state.stage, outcome, attempts=state.rounds, until=state.until)


async def _claim_and_call(state: ClaimedStage) -> AttemptOutcome | ClaimReply:
    """
    Open the claim, then reserve the upstream, then call it.

    The claim comes first: a repeat must hear the recorded outcome, and never ``NOT_RUN`` for a key
    that has run, even if no upstream or slot is to be had at the moment.
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
        return _read_claim(state, reply)
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
    return await _call_at(state, target, planned)


async def _call_at(state: ClaimedStage, target: Target, planned: Upstream) -> AttemptOutcome:
    """Call the target once the claim names it and it is still in service."""
    is_ready = False
    try:
        if target.upstream.name != planned.name:
            # The sweeper asks the upstreams that the claim names.
            reply = await _open_claim(state, target.upstream)
            if isinstance(reply, Failure):
                return AttemptOutcome(reply, False)
            if not _is_granted(state, reply):
                failure = state.run.fail(Reason.CLAIM_PENDING, "the claim was lost")
                return AttemptOutcome(failure, False)
        gone = recheck(state.run, target)
        if gone is not None:
            return AttemptOutcome(gone, False)
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
    # Until the reply is known the claim may be held, though nothing has been sent under it.
    held = bool(state.unsettled)
    state.unsettled = "not_run"
    # An earlier request under the caller's key may have run; that is open until the record group
    # has answered.
    is_open = not held and run.req.idempotency_key != run.req.request_id
    run.in_doubt += is_open
    with shared.telemetry.span("claim.open", stage=state.stage.name) as span:
        reply = await shared.control.open_claim(request, timeout_s=max(0.0, remaining_s))
        if isinstance(reply, Failure):
            mark_failure(span, reply)
            if reply.run_state is RunState.NOT_RUN and not held:
                state.unsettled = ""
            return msgspec.structs.replace(reply, run_state=run.run_state, step="claim.open")
    run.in_doubt -= is_open
    run.is_key_known = True
    return reply


def _is_granted(state: ClaimedStage, reply: ClaimReply) -> bool:
    """Tell whether the claim is this attempt's, maybe granted by a reply that was lost."""
    return reply.state == "granted" or (
        reply.state == "pending" and reply.attempt_id == state.attempt_id
    )


def _read_claim(state: ClaimedStage, reply: ClaimReply) -> AttemptOutcome | ClaimReply:
    run = state.run
    state.unsettled = ""
    if reply.state == "pending":
        return reply
    if reply.state == "done":
        run.in_doubt += 1
        output = msgspec.json.decode(reply.answer)
        return AttemptOutcome(StageResult(output=output, attempt_id=reply.attempt_id), False)
    if reply.state == "may_have_run":
        run.in_doubt += 1
        detail = f"request {reply.request_id} with the same key may have run"
        return AttemptOutcome(run.fail(Reason.CLAIM_MAY_HAVE_RUN, detail), False)
    if reply.state == "not_run":
        # The attempt id was settled as not run by an operator or the sweeper.
        state.attempt_id = run.shared.new_id()
        failure = run.fail(Reason.NO_SLOT, "the claim was settled before the call")
        return AttemptOutcome(msgspec.structs.replace(failure, step=state.stage.name), False)
    detail = reply.detail or "the idempotency key was used with another request"
    return AttemptOutcome(run.fail(Reason.KEY_MISMATCH, detail), False)


async def _call_once(state: ClaimedStage, target: Target) -> AttemptOutcome:
    run, stage = state.run, state.stage
    run.step = f"stage.{stage.name}.attempt"
    state.attempts += 1
    state.tried.add(target.upstream.name)
    state.unsettled = "may_have_run"
    run.in_doubt += 1
    answer = await send_call(
        run,
        stage,
        target,
        attempt_id=state.attempt_id,
        # The claimed call may use all the time: an answer that comes before the deadline is worth
        # more than a claim that may have run.
        timeout_s=run.remaining_s(),
    )
    if isinstance(answer, Failure):
        if answer.run_state is RunState.NOT_RUN:
            state.unsettled = "not_run"
            run.in_doubt -= 1
        return AttemptOutcome(answer, True)
    state.unsettled = "done"
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
    state.unsettled = ""
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


async def settle_forever(run: Run, settlement: SettleClaim) -> None:
    """
    Settle a claim, however long it takes; the node cancels this when it stops.

    Parameters
    ----------
    run : Run
        The request.
    settlement : SettleClaim
        The outcome.
    """
    shared = run.shared
    pause_s = FIRST_SETTLE_PAUSE_S
    while True:
        reply = await shared.control.settle_claim(settlement, timeout_s=SETTLE_TIMEOUT_S)
        if not isinstance(reply, Failure):
            return
        await shared.timers.sleep(pause_s)
        pause_s = min(LONGEST_SETTLE_PAUSE_S, 2 * pause_s)


def claim_digest(run: Run) -> str:
    """Return the digest by which a key's repeats are told from other requests."""
    return digest_of([run.req.pipeline, run.req.digest])

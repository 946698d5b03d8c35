"""Sends one call to one upstream, records its outcome and matches the answer to the call."""

from __future__ import annotations

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import find_ejection
from marigoldtrail.policy.health import SLOW_SAMPLES
from marigoldtrail.schema.generated.manifest import Stage
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.targets import Target, release_target
from marigoldtrail.telemetry import mark_failure
from marigoldtrail.upstream import StageAnswer, StageCall

# Reasons that count against the health of the upstream; others are due to this node or the caller.
UPSTREAM_FAULTS = frozenset(
    {Reason.UNREACHABLE, Reason.TIMEOUT, Reason.UPSTREAM_ERROR, Reason.BAD_ANSWER}
)
# Failures reported by the upstream itself: it is no longer working on the call.
ANSWERED_FAULTS = frozenset({Reason.UPSTREAM_ERROR, Reason.OVERLOADED})
CANCEL_TIMEOUT_S = 0.5


class CallRecord:
    """
    Accounting of one call: load, health and slot of its upstream.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    target : Target
        The upstream.
    attempt_id : str
        The attempt.
    """

    __slots__ = ("run", "stage", "target", "attempt_id", "started", "_load", "_health")

    def __init__(self, *, run: Run, stage: Stage, target: Target, attempt_id: str) -> None:
        shared = run.shared
        self.run = run
        self.stage = stage
        self.target = target
        self.attempt_id = attempt_id
        self.started = shared.timers.now()
        self._load = shared.loads[target.upstream.name]
        self._health = shared.health[target.upstream.name]
        self._load.start(self.started)
        self._health.start(self.started)

    def duration_ms(self) -> float:
        """Return the time since the start in milliseconds."""
        return (self.run.shared.timers.now() - self.started) * 1000

    def succeed(
        self, *, instance: str, state: str, load: int = -1, compared_ms: float = 0.0
    ) -> None:
        """
        Record an answered call.

        Parameters
        ----------
        instance, state : str
            As the upstream reported them; empty if it did not.
        load : int
            Reported load in 1/255 of capacity; -1 if not reported.
        compared_ms : float
            Duration in milliseconds that is compared between upstreams; 0 for that of the call.
        """
        now = self.run.shared.timers.now()
        duration_ms = compared_ms or self.duration_ms()
        self._load.finish(now, duration_ms)
        self._load.add_header(now, load)
        self._health.succeed(duration_ms)
        self._eject_if_unhealthy()
        release_target(self.run, self.target, succeeded=True, duration_ms=self.duration_ms())
        self._check_for_cold_start(instance, state)

    def fail(self, failure: Failure) -> None:
        """Record a failed call."""
        shared = self.run.shared
        self._load.finish(shared.timers.now(), None)
        if failure.reason in UPSTREAM_FAULTS and not self._is_cut_short(failure):
            self._health.fail()
            self._eject_if_unhealthy()
        else:
            self._health.cancel()
        if failure.reason is Reason.NO_SLOT:
            shared.add_evidence(self.target.upstream.name, failure.hint, "cold", failure.detail)
        ended = failure.run_state is RunState.NOT_RUN or failure.reason in ANSWERED_FAULTS
        release_target(
            self.run, self.target, succeeded=False, ended=ended, duration_ms=self.duration_ms()
        )

    def abandon(self) -> None:
        """Record a cancelled call and cancel it at the upstream."""
        shared = self.run.shared
        duration_ms = self.duration_ms()
        # Otherwise a straggler that loses to every hedge would never be detected.
        is_slow = self.stage.kind != "generate" and duration_ms > self._p95_ms()
        self._load.finish(shared.timers.now(), duration_ms if is_slow else None)
        self._health.cancel()
        if is_slow:
            self._health.record_duration(duration_ms)
            self._eject_if_unhealthy()
        # The call may still run: services continue after the connection is closed, and a cancel may
        # be lost.
        release_target(
            self.run, self.target, succeeded=False, ended=False, duration_ms=self.duration_ms()
        )
        shared.background.start(self._cancel_upstream)

    async def _cancel_upstream(self) -> None:
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            await self.run.shared.upstreams.cancel(self.target.upstream, self.attempt_id)

    def _is_cut_short(self, failure: Failure) -> bool:
        """Tell whether the call timed out for lack of time rather than by an upstream fault."""
        return failure.reason is Reason.TIMEOUT and self.duration_ms() < self._p95_ms()

    def _p95_ms(self) -> float:
        estimator = self.run.shared.estimator(self.run.pipeline.name, self.stage)
        return estimator.quantile(0.95)

    def _eject_if_unhealthy(self) -> None:
        if not self._health.errors and self._health.samples % SLOW_SAMPLES:
            # A straggler is detected over many calls; comparing the pool after each would cost more
            # than the rest of the accounting.
            return
        shared = self.run.shared
        name = self.target.upstream.name
        pool = {
            item.name: shared.health[item.name]
            for item in self.run.catalog.pools[self.stage.pool]
            if item.name == name or shared.is_usable(item)
        }
        reason = find_ejection(name, pool, shared.timers.now()) if name in pool else ""
        if reason:
            duration_s = self._health.eject(shared.timers.now())
            shared.telemetry.decisions.add(
                "eject", name, reason, request_id=self.run.req.request_id, duration_s=duration_s
            )

    def _check_for_cold_start(self, instance: str, state: str) -> None:
        name, known = self.target.upstream.name, self.target.instance
        if self.target.grant is not None:
            return
        if state and state != "warm":
            self.run.shared.add_evidence(name, instance, state, f"the answer says {state}")
        elif instance and known and instance != known:
            reason = f"instance is {instance}; expected {known}"
            self.run.shared.add_evidence(name, instance, "cold", reason)


async def send_call(
    run: Run, stage: Stage, target: Target, *, attempt_id: str, timeout_s: float
) -> StageAnswer | Failure:
    """
    Call an upstream once and match its answer.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    target : Target
        The upstream, with a slot if it is not warm.
    attempt_id : str
        The attempt.
    timeout_s : float
        Timeout in seconds.

    Returns
    -------
    StageAnswer or Failure
        The answer to this call; an answer to any other call is dropped.
    """
    shared = run.shared
    name = target.upstream.name
    timeout_s = max(0.0, min(timeout_s, target.expires_at - shared.timers.now()))
    call = build_call(run, stage, target, attempt_id=attempt_id, timeout_s=timeout_s)
    record = CallRecord(run=run, stage=stage, target=target, attempt_id=attempt_id)
    answer: StageAnswer | Failure = _timeout_failure(run, name)
    with shared.telemetry.span(
        "stage.attempt", stage=stage.name, upstream=name, attempt_id=attempt_id
    ) as span:
        try:
            with trio.move_on_after(timeout_s) as scope:
                answer = await shared.upstreams.call(
                    target.upstream,
                    call,
                    timeout_s=timeout_s,
                    may_repeat=stage.idempotent,
                    slot=target.grant,
                )
        except trio.Cancelled:
            record.abandon()
            raise
        if scope.cancelled_caught:
            shared.background.start(record._cancel_upstream)
        if not isinstance(answer, Failure):
            answer = match_answer(run, stage, call, answer, peer=name)
        if isinstance(answer, Failure):
            mark_failure(span, answer)
            record.fail(answer)
            return answer
        record.succeed(instance=answer.instance, state=answer.state, load=answer.load)
        shared.estimator(run.pipeline.name, stage).add(record.duration_ms())
    return answer


def build_call(
    run: Run,
    stage: Stage,
    target: Target,
    *,
    attempt_id: str,
    timeout_s: float,
    resume_from: int = 0,
) -> StageCall:
    """Return the call of an attempt."""
    return StageCall(
        request_id=run.req.request_id,
        attempt_id=attempt_id,
        client_account=run.req.client_account,
        stage=stage.name,
        path=stage.path,
        kind=stage.kind,
        model=stage.model,
        version=run.catalog.version_of(stage.model),
        adapter=stage.adapter,
        priority=run.req.priority,
        deadline_ms=max(1, int(timeout_s * 1000)),
        input=run.stage_input(),
        max_tokens=stage.max_tokens,
        resume_from=resume_from,
        warm_instance=target.instance if target.grant is None else "",
        slot_id=target.grant.slot_id if target.grant is not None else "",
    )


def match_answer(
    run: Run, stage: Stage, call: StageCall, answer: StageAnswer, *, peer: str
) -> StageAnswer | Failure:
    """Return the answer if it belongs to the call; else drop it."""
    for field in ("request_id", "attempt_id", "client_account"):
        got, sent = getattr(answer, field), getattr(call, field)
        if got != sent:
            return drop_answer(run, peer, f"{field} {got!r} is not that of the call")
    if answer.stage not in ("", call.stage):
        return drop_answer(run, peer, f"stage {answer.stage!r} is not that of the call")
    return answer


def drop_answer(run: Run, peer: str, detail: str) -> Failure:
    """Count a dropped answer and return its failure."""
    run.shared.telemetry.metrics.count("answers.dropped")
    return Failure(
        reason=Reason.BAD_ANSWER,
        run_state=RunState.MAY_HAVE_RUN,
        step=run.step,
        peer=peer,
        detail=detail,
    )


def _timeout_failure(run: Run, peer: str) -> Failure:
    return Failure(
        reason=Reason.TIMEOUT,
        run_state=RunState.MAY_HAVE_RUN,
        step=run.step,
        peer=peer,
        detail="no answer in the time of the attempt",
    )

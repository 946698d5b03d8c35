"""Runs the stages of a request in sequence and commits its record."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import is_deadline_unreachable, split_budget
from marigoldtrail.schema.generated.manifest import Stage
from marigoldtrail.schema.generated.records import PutRecord, ResultRecord
from marigoldtrail.serving.claims import run_claimed
from marigoldtrail.serving.coalescer import Coalescer
from marigoldtrail.serving.generation import Emit, run_generation
from marigoldtrail.serving.idempotent import run_idempotent
from marigoldtrail.serving.outcomes import StageResult, add_result
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.types import Answer, Sink, compute_digest, text_of
from marigoldtrail.telemetry import mark_failure

# Larger outputs are not recorded; the record keeps only their digest.
MAX_RECORDED_BYTES = 65536


async def run_pipeline(run: Run, sink: Sink | None) -> Answer | Failure:
    """
    Run all stages and commit the record.

    Parameters
    ----------
    run : Run
        The request.
    sink : Sink or None
        Receiver of the tokens, if the caller asked for a stream.

    Returns
    -------
    Answer or Failure
        The complete answer, or the failure.
    """
    output: Any = None
    for index, stage in enumerate(run.pipeline.stages):
        is_last = index == len(run.pipeline.stages) - 1
        result = await _run_stage(run, index, stage, sink if is_last else None)
        if isinstance(result, Failure):
            return result
        output = result.output
    return await _finish(run, output)


async def _run_stage(
    run: Run, index: int, stage: Stage, sink: Sink | None
) -> StageResult | Failure:
    shared, timers = run.shared, run.shared.timers
    run.step = f"stage.{stage.name}"
    remaining_estimators = run.estimators_from(index)
    if is_deadline_unreachable(run.remaining_s(), remaining_estimators):
        return run.fail(Reason.DEADLINE, "the rest would take longer than the deadline allows")
    started, started_ms = timers.now(), timers.wall_ms()
    until = started + split_budget(run.remaining_s(), remaining_estimators[1:])
    with shared.telemetry.span(f"stage.{stage.name}", kind=stage.kind) as span:
        result, attempts = await _dispatch(run, stage, until, sink)
        if isinstance(result, Failure):
            mark_failure(span, result)
            return result
    duration_s = timers.now() - started
    shared.telemetry.metrics.timing(f"stage.{stage.kind}", duration_s * 1000)
    add_result(run, stage, result, attempts=attempts, started_ms=started_ms, duration_s=duration_s)
    return result


async def _dispatch(
    run: Run, stage: Stage, until: float, sink: Sink | None
) -> tuple[StageResult | Failure, int]:
    if not stage.idempotent:
        result, attempts = await run_claimed(run, stage, until=until)
    elif stage.kind == "generate":
        return await _generate(run, stage, until, sink)
    else:
        result, attempts = await run_idempotent(run, stage, until=until)
    if sink is not None and not isinstance(result, Failure):
        # A caller that asked for a stream gets an output that was not generated as a single token.
        run.possible_effects += 1
        await sink.token(0, text_of(result.output))
    return result, attempts


async def _generate(
    run: Run, stage: Stage, until: float, sink: Sink | None
) -> tuple[StageResult | Failure, int]:
    if sink is None:
        return await run_generation(run, stage, until=until, emit=None)
    coalescer = Coalescer(timers=run.shared.timers, sink=sink)
    emit: Emit = coalescer.add
    async with trio.open_nursery() as nursery:
        nursery.start_soon(coalescer.run)
        result, attempts = await run_generation(run, stage, until=until, emit=emit)
        await coalescer.finish()
        nursery.cancel_scope.cancel()
    if not isinstance(result, Failure):
        run.tokens = result.tokens
    return result, attempts


async def _finish(run: Run, output: Any) -> Answer | Failure:
    if run.records[-1].kind == "generate":
        run.tokens = run.records[-1].tokens
    digest = compute_digest(output)
    record = build_record(run, outcome="answered", digest=digest, output=output)
    failure = await _commit(run, record)
    if failure is not None:
        return failure
    return Answer(
        request_id=run.req.request_id,
        output=output,
        count=run.tokens,
        digest=digest,
        record=record,
    )


async def _commit(run: Run, record: ResultRecord) -> Failure | None:
    shared = run.shared
    run.step = "record"
    # All stages have run; the answer is not complete without its record.
    run.possible_effects += 1
    started = shared.timers.now()
    with shared.telemetry.span("record") as span:
        reply = await shared.control.put_record(
            PutRecord(record=record), timeout_s=max(0.0, run.remaining_s())
        )
        if isinstance(reply, Failure):
            mark_failure(span, reply)
            return Failure(
                reason=Reason.RECORD_NOT_DURABLE,
                run_state=RunState.MAY_HAVE_RUN,
                step="record",
                peer=reply.peer,
                detail=str(reply),
            )
    shared.record_time.add((shared.timers.now() - started) * 1000)
    return None


def build_record(run: Run, *, outcome: str, digest: str = "", output: Any = None) -> ResultRecord:
    """
    Return the record of a request.

    Parameters
    ----------
    run : Run
        The request.
    outcome : str
        ``"answered"``, ``"not_run"`` or ``"may_have_run"``.
    digest : str
        Digest of the result; empty without one.
    output : object
        JSON value; recorded if it is small and the answer is not streamed.

    Returns
    -------
    ResultRecord
        The record.
    """
    shared, req = run.shared, run.req
    kept = b""
    if outcome == "answered" and not req.stream:
        encoded = msgspec.json.encode(output)
        kept = encoded if len(encoded) <= MAX_RECORDED_BYTES else b""
    return msgspec.convert(
        {
            "request_id": req.request_id,
            "client_account": req.client_account,
            "pipeline": req.pipeline,
            "request_digest": req.digest,
            "manifest_number": run.catalog.manifest.number,
            "stages": run.records,
            "outcome": outcome,
            "result_digest": digest,
            "started_ms": run.started_ms,
            "finished_ms": shared.timers.wall_ms(),
            "entry": shared.cfg.host,
            "data_centre": shared.cfg.data_centre,
            "idempotency_key": req.idempotency_key,
            "output": kept,
        },
        ResultRecord,
    )

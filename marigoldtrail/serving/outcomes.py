"""Results of stages: their costs, their outputs for later stages, their entries in the record."""

from __future__ import annotations

from typing import Any

import msgspec

from marigoldtrail.schema.generated.manifest import Stage
from marigoldtrail.schema.generated.records import StageRecord
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.targets import Target, transfer_price
from marigoldtrail.serving.types import compute_digest, text_of
from marigoldtrail.telemetry import metric_part

# Costs are counted in thousandths, since statsd counters are integers.
COST_SCALE = 1000
BYTES_PER_MB = 1_000_000


class StageResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    Output of a stage and the attempt that produced it.

    Parameters
    ----------
    output : object
        JSON value.
    attempt_id, upstream, instance : str
        Source of the answer; ``upstream`` is empty for an answer recorded by an earlier request.
    tokens : int
        Number of tokens generated; 0 for stages of other kinds.
    cost : float
        Cost of all calls, in cost units.
    """

    output: Any
    attempt_id: str
    upstream: str = ""
    instance: str = ""
    tokens: int = 0
    cost: float = 0.0


def cost_of(run: Run, stage: Stage, target: Target, output: Any, tokens: int = 0) -> float:
    """Return the cost of an answered call, in cost units."""
    megabytes = (len(text_of(run.req.input)) + len(text_of(output))) / BYTES_PER_MB
    return (
        target.upstream.price
        + tokens * run.catalog.token_price_of(stage.model)
        + transfer_price(run, target.upstream, megabytes)
    )


def add_result(
    run: Run,
    stage: Stage,
    result: StageResult,
    *,
    attempts: int,
    started_ms: int,
    duration_s: float,
) -> None:
    """
    Store the output of a stage for later stages and its entry for the record.

    Parameters
    ----------
    run : Run
        The request.
    stage : Stage
        The stage.
    result : StageResult
        Result of the stage.
    attempts : int
        Number of attempts made.
    started_ms : int
        Wall time of the start in milliseconds.
    duration_s : float
        Duration in seconds.
    """
    run.outputs[stage.name] = result.output
    run.records.append(
        StageRecord(
            stage=stage.name,
            kind=stage.kind,
            upstream=result.upstream,
            instance=result.instance,
            attempt_id=result.attempt_id,
            attempts=attempts,
            result_digest=compute_digest(result.output),
            started_ms=started_ms,
            duration_ms=round(duration_s * 1000),
            model=stage.model,
            version=run.catalog.version_of(stage.model),
            adapter=stage.adapter,
            tokens=result.tokens,
            cost=result.cost,
        )
    )
    metrics = run.shared.telemetry.metrics
    account = metric_part(run.req.client_account)
    name = f"cost.{metric_part(run.pipeline.name)}.{metric_part(stage.name)}.{account}"
    metrics.count(name, round(result.cost * COST_SCALE))

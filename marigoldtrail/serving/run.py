"""State of one request in progress."""

from __future__ import annotations

from typing import Any

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.policy import Estimator
from marigoldtrail.schema.generated.manifest import Pipeline
from marigoldtrail.schema.generated.records import StageRecord
from marigoldtrail.serving.catalog import Catalog
from marigoldtrail.serving.shared import SharedState
from marigoldtrail.serving.types import PipelineRequest


class Run:
    """
    One request in progress.

    Parameters
    ----------
    shared : SharedState
        State of the node.
    req : PipelineRequest
        The request.
    pipeline : Pipeline
        Pipeline of the request.
    catalog : Catalog
        Catalog of the manifest that the request uses from start to end.
    arrived : float
        Monotonic time of arrival in seconds.

    Attributes
    ----------
    possible_effects : int
        Number of possible effects of the request: calls that may have left this node, text
        forwarded to the caller, another run under the same idempotency key. Calls without side
        effects count as well, because ``NOT_RUN`` must be true of every stage.
    step : str
        Current step of the request, named in failures.
    """

    __slots__ = (
        "shared",
        "req",
        "pipeline",
        "catalog",
        "arrived",
        "started_ms",
        "possible_effects",
        "is_key_known",
        "step",
        "outputs",
        "records",
        "tokens",
    )

    def __init__(
        self,
        *,
        shared: SharedState,
        req: PipelineRequest,
        pipeline: Pipeline,
        catalog: Catalog,
        arrived: float,
    ) -> None:
        self.shared = shared
        self.req = req
        self.pipeline = pipeline
        self.catalog = catalog
        self.arrived = arrived
        self.started_ms = shared.timers.wall_ms()
        self.possible_effects = 0
        self.is_key_known = False
        self.step = "start"
        self.outputs: dict[str, Any] = {}
        self.records: list[StageRecord] = []
        self.tokens = 1

    @property
    def run_state(self) -> RunState:
        """Run state to report in failures: ``NOT_RUN`` only if no effect is possible."""
        return RunState.MAY_HAVE_RUN if self.possible_effects else RunState.NOT_RUN

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.req.deadline - self.shared.timers.now()

    def estimators_from(self, index: int) -> list[Estimator]:
        """Return the duration estimators of the stages from an index on, and of the record."""
        stages = self.pipeline.stages[index:]
        return [
            *(self.shared.estimator(self.pipeline.name, stage) for stage in stages),
            self.shared.record_time,
        ]

    def stage_input(self) -> dict[str, Any]:
        """Return the input of the next stage."""
        return {"input": self.req.input, "stages": dict(self.outputs)}

    def fail(self, reason: Reason, detail: str = "", *, retry_after_s: float = 0.0) -> Failure:
        """Return a failure of the current step with the run state of the request."""
        return Failure(
            reason=reason,
            run_state=self.run_state,
            step=self.step,
            detail=detail,
            retry_after_s=retry_after_s,
        )

    def apply_run_state(self, failure: Failure) -> Failure:
        """Return a failure of one step with the run state of the whole request."""
        if failure.run_state is self.run_state:
            return failure
        return msgspec.structs.replace(failure, run_state=self.run_state)

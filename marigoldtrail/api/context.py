"""What all handlers of the application share."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from marigoldtrail.api.addresses import rank_addresses
from marigoldtrail.api.http import Response, problem_response
from marigoldtrail.api.problems import build_problem
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import ControlClient, FleetView
from marigoldtrail.schema.generated.records import ResultRecord
from marigoldtrail.serving import Server
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

MAX_ALTERNATIVES = 3

# Reasons for which another entry may serve the same request.
_ELSEWHERE = (
    Reason.DRAINING,
    Reason.OUT_OF_SERVICE,
    Reason.OVERLOADED,
    Reason.STOPPING,
    Reason.VIEW_NOT_CURRENT,
)


class ApiContext:
    """
    Parts of the node that handlers use.

    Parameters
    ----------
    server : Server
        Runs requests.
    view : FleetView
        The node's view of the fleet.
    control : ControlClient
        Calls to the control hosts.
    telemetry : Telemetry
        Spans, metrics and decisions.
    timers : Timers
        Clock.
    host, data_centre : str
        Where this node is.
    max_body_bytes : int
        Largest body of a request.
    rng : random.Random
        Source of the order of addresses.
    """

    __slots__ = (
        "server",
        "view",
        "control",
        "telemetry",
        "timers",
        "host",
        "data_centre",
        "max_body_bytes",
        "rng",
    )

    def __init__(
        self,
        *,
        server: Server,
        view: FleetView,
        control: ControlClient,
        telemetry: Telemetry,
        timers: Timers,
        host: str,
        data_centre: str,
        max_body_bytes: int = 1048576,
        rng: random.Random | None = None,
    ) -> None:
        self.server = server
        self.view = view
        self.control = control
        self.telemetry = telemetry
        self.timers = timers
        self.host = host
        self.data_centre = data_centre
        self.max_body_bytes = max_body_bytes
        self.rng = rng or random.Random()

    def refuse(
        self,
        failure: Failure,
        *,
        request_id: str = "",
        faults: list[str] | None = None,
        extra: dict[str, str] | None = None,
    ) -> Response:
        """Build the response for a failure, with other entries where they may serve it."""
        problem = build_problem(
            failure,
            request_id=request_id,
            alternatives=self.alternatives(failure),
            faults=faults,
            extra=extra,
        )
        return problem_response(problem)

    def alternatives(self, failure: Failure) -> list[str]:
        """Return addresses of other entries that may serve what was refused here."""
        if failure.run_state is not RunState.NOT_RUN or failure.reason not in _ELSEWHERE:
            return []
        entries = rank_addresses(self.view, self.rng, self.data_centre, leave_out=self.host)
        return [entry.address for entry in entries[:MAX_ALTERNATIVES]]


def not_found(detail: str, *, step: str) -> Failure:
    """
    Return the failure for something that does not exist.

    Parameters
    ----------
    detail : str
        What was not found.
    step : str
        Where it was looked for.

    Returns
    -------
    Failure
        Always ``NOT_RUN``.
    """
    return Failure(reason=Reason.NOT_FOUND, run_state=RunState.NOT_RUN, step=step, detail=detail)


def record_document(record: ResultRecord) -> dict[str, Any]:
    """
    Return a record as JSON values.

    Parameters
    ----------
    record : ResultRecord
        The record.

    Returns
    -------
    dict
        Its fields; the output as the JSON value that it holds, null if it was not kept.
    """
    fields = msgspec.structs.asdict(record)
    fields["output"] = msgspec.Raw(record.output) if record.output else None
    return fields

"""Components and helpers shared by all request handlers."""

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

# Reasons of refusals after which another entry may be able to serve the request.
_RETRY_ELSEWHERE_REASONS = (
    Reason.DRAINING,
    Reason.OUT_OF_SERVICE,
    Reason.OVERLOADED,
    Reason.STOPPING,
    Reason.VIEW_NOT_CURRENT,
)


class ApiContext:
    """
    Components of the node that handlers use.

    Parameters
    ----------
    server : Server
        Runs requests.
    view : FleetView
        The node's view of the fleet.
    control : ControlClient
        Client of the control hosts.
    telemetry : Telemetry
        Spans, metrics and decision log.
    timers : Timers
        Clock and timers.
    host, data_centre : str
        Location of this node.
    max_body_bytes : int
        Size limit of a request body in bytes.
    rng : random.Random
        Random source for the order of addresses.
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
        """Build the response for a failure, listing alternative entries if there are any."""
        problem = build_problem(
            failure,
            request_id=request_id,
            alternatives=self.find_alternatives(failure),
            faults=faults,
            extra=extra,
        )
        return problem_response(problem)

    def find_alternatives(self, failure: Failure) -> list[str]:
        """Return addresses of other entries that may serve a request refused here."""
        if (
            failure.run_state is not RunState.NOT_RUN
            or failure.reason not in _RETRY_ELSEWHERE_REASONS
        ):
            return []
        entries = rank_addresses(self.view, self.rng, self.data_centre, exclude_host=self.host)
        return [entry.address for entry in entries[:MAX_ALTERNATIVES]]


def not_found_failure(detail: str, *, step: str) -> Failure:
    """
    Return the failure for something that does not exist.

    Parameters
    ----------
    detail : str
        What was not found.
    step : str
        Step that looked for it.

    Returns
    -------
    Failure
        Always ``NOT_RUN``.
    """
    return Failure(reason=Reason.NOT_FOUND, run_state=RunState.NOT_RUN, step=step, detail=detail)


def record_to_dict(record: ResultRecord) -> dict[str, Any]:
    """
    Convert a record to values that can be encoded as JSON.

    Parameters
    ----------
    record : ResultRecord
        The record.

    Returns
    -------
    dict
        The fields of the record; the stored JSON output is embedded as it is, null if not kept.
    """
    fields = msgspec.structs.asdict(record)
    fields["output"] = msgspec.Raw(record.output) if record.output else None
    return fields

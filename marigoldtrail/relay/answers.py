"""What upstreams say of themselves in their answers."""

from __future__ import annotations

from marigoldtrail.registry import FleetState
from marigoldtrail.relay.types import ResponseInfo
from marigoldtrail.relay.upstream_connection import OnAnswer


def make_answer_recorder(fleet_state: FleetState) -> OnAnswer:
    """
    Return a function that records in the fleet state what upstreams say of themselves.

    Parameters
    ----------
    fleet_state : FleetState
        Fleet state of the host.

    Returns
    -------
    callable
        Gets the name of the upstream, the metadata of its answer, and the monotonic time in seconds
        at which the request was sent.
    """

    def record_answer(name: str, info: ResponseInfo, sent_at: float) -> None:
        if info.is_leaving:
            fleet_state.mark_leaving(name)
        fleet_state.record_limit(name, info.requests_per_s, sent_at)
        fleet_state.record_brittleness(name, info.max_rejections, sent_at)

    return record_answer

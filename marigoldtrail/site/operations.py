"""Operators' changes and queries, accepted by any control host."""

from __future__ import annotations

from collections.abc import Callable

from marigoldtrail.errors import Failure
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.registry import FleetState
from marigoldtrail.schema.generated.registry import (
    GetRoutes,
    RoutesOutcome,
    RoutesReply,
    SetTakeout,
    SubmitRoutes,
)

# An operator tries another host after 1 s.
CALL_TIMEOUT_S = 0.9
ATTEMPT_TIMEOUT_S = 0.8
# Documents of many routes take longer to send and to check.
TIMEOUT_S_PER_BYTE = 1 / 200_000


class Operations:
    """
    Forwards operators' changes to the leader.

    Parameters
    ----------
    finder : LeaderFinder
        Finds and calls the leader.
    fleet_state : FleetState
        Source of the data centres seen so far.
    data_centres : callable
        Returns the data centres in the settings.
    """

    __slots__ = ("_finder", "_fleet_state", "_data_centres")

    def __init__(
        self,
        *,
        finder: LeaderFinder,
        fleet_state: FleetState,
        data_centres: Callable[[], set[str]],
    ) -> None:
        self._finder = finder
        self._fleet_state = fleet_state
        self._data_centres = data_centres

    def is_data_centre(self, name: str) -> bool:
        """Return whether a data centre of that name is known."""
        # A data centre that has lost all its hosts and upstreams can still be taken out of service.
        return name in self._data_centres() or name in self._fleet_state.data_centres

    async def submit_routes(self, document: bytes) -> RoutesOutcome | Failure:
        """Submit a configuration to be put in force."""
        extra_s = len(document) * TIMEOUT_S_PER_BYTE
        return await self._finder.call(
            CONFIG_GROUP,
            SubmitRoutes(document=document),
            RoutesOutcome,
            timeout_s=CALL_TIMEOUT_S + extra_s,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S + extra_s,
        )

    async def set_takeout(self, data_centre: str, *, out: bool) -> RoutesOutcome | Failure:
        """Take a data centre out of service or back in."""
        return await self._finder.call(
            CONFIG_GROUP,
            SetTakeout(data_centre=data_centre, out=out),
            RoutesOutcome,
            timeout_s=CALL_TIMEOUT_S,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
        )

    async def get_routes(self) -> RoutesReply | Failure:
        """Return the configuration in force, confirmed by a quorum."""
        return await self._finder.call(
            CONFIG_GROUP,
            GetRoutes(),
            RoutesReply,
            timeout_s=CALL_TIMEOUT_S,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
        )

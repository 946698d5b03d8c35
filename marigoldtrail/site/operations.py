"""What operators may do, on any control host."""

from __future__ import annotations

from collections.abc import Callable

from marigoldtrail.errors import Failure
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.registry import FleetPicture
from marigoldtrail.schema.generated.registry import (
    GetRoutes,
    RoutesOutcome,
    RoutesReply,
    SetTakeout,
    SubmitRoutes,
)

# An operator moves on to another host after a second.
CALL_TIMEOUT_S = 0.9
TRY_TIMEOUT_S = 0.8
# Documents of many routes take longer to send and to check.
SECONDS_PER_BYTE = 1 / 200_000


class Operations:
    """
    Passes operators' changes on to the leader.

    Parameters
    ----------
    finder : LeaderFinder
        Calls the leader.
    picture : FleetPicture
        Names the data centres.
    data_centres : callable
        Returns the data centres of the settings.
    """

    __slots__ = ("_finder", "_picture", "_data_centres")

    def __init__(
        self,
        *,
        finder: LeaderFinder,
        picture: FleetPicture,
        data_centres: Callable[[], set[str]],
    ) -> None:
        self._finder = finder
        self._picture = picture
        self._data_centres = data_centres

    def is_data_centre(self, name: str) -> bool:
        """Tell whether a data centre of that name is known."""
        # One that has lost all of its hosts and upstreams can still be taken out.
        return name in self._data_centres() or name in self._picture.data_centres

    async def submit_routes(self, document: bytes) -> RoutesOutcome | Failure:
        """Put a configuration in force."""
        extra_s = len(document) * SECONDS_PER_BYTE
        return await self._finder.call(
            CONFIG_GROUP,
            SubmitRoutes(document=document),
            RoutesOutcome,
            timeout_s=CALL_TIMEOUT_S + extra_s,
            try_timeout_s=TRY_TIMEOUT_S + extra_s,
        )

    async def set_takeout(self, data_centre: str, *, out: bool) -> RoutesOutcome | Failure:
        """Take a data centre out of service or back in."""
        return await self._finder.call(
            CONFIG_GROUP,
            SetTakeout(data_centre=data_centre, out=out),
            RoutesOutcome,
            timeout_s=CALL_TIMEOUT_S,
            try_timeout_s=TRY_TIMEOUT_S,
        )

    async def get_routes(self) -> RoutesReply | Failure:
        """Return the configuration in force, confirmed by a quorum."""
        return await self._finder.call(
            CONFIG_GROUP,
            GetRoutes(),
            RoutesReply,
            timeout_s=CALL_TIMEOUT_S,
            try_timeout_s=TRY_TIMEOUT_S,
        )

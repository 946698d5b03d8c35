"""Operators' changes and queries, accepted by any control host."""

from __future__ import annotations

import logging
from collections.abc import Callable

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.registry import NUMBER_IN_FORCE, FleetState
from marigoldtrail.relay.request_router import MAX_FLEET_STATE_AGE_S
from marigoldtrail.schema.generated.registry import (
    GetRoutes,
    GetTakeout,
    RoutesOutcome,
    RoutesReply,
    SetTakeout,
    SubmitRoutes,
    TakeoutReply,
)
from marigoldtrail.site.continuity import ContinuityMonitor
from marigoldtrail.timers import Timers

# An operator tries another host after 1 s.
CALL_TIMEOUT_S = 0.9
ATTEMPT_TIMEOUT_S = 0.8
# Documents of many routes take longer to send and to check.
TIMEOUT_S_PER_BYTE = 1 / 200_000
# With the longest pause that `ContinuityMonitor` tolerates, less than an operator waits.
READ_TAKEOUT_TIMEOUT_S = 0.4

_log = logging.getLogger(__name__)


class Operations:
    """
    Forwards operators' changes to the leader.

    Parameters
    ----------
    finder : LeaderFinder
        Finds and calls the leader.
    fleet_state : FleetState
        Source of the data centres seen so far.
    continuity : ContinuityMonitor
        Tells whether an order was sent recently.
    timers : Timers
        Clock.
    data_centres : callable
        Returns the data centres in the settings.
    """

    __slots__ = ("_finder", "_fleet_state", "_continuity", "_timers", "_data_centres")

    def __init__(
        self,
        *,
        finder: LeaderFinder,
        fleet_state: FleetState,
        continuity: ContinuityMonitor,
        timers: Timers,
        data_centres: Callable[[], set[str]],
    ) -> None:
        self._finder = finder
        self._fleet_state = fleet_state
        self._continuity = continuity
        self._timers = timers
        self._data_centres = data_centres

    def is_data_centre(self, name: str) -> bool:
        """Return whether a data centre of that name is known."""
        # A data centre that has lost all its hosts and upstreams can still be taken out of service.
        return name in self._data_centres() or name in self._fleet_state.data_centres

    def may_miss_data_centres(self) -> bool:
        """Return whether this host may not know data centres that other hosts know."""
        return self._fleet_state.age_s() > MAX_FLEET_STATE_AGE_S

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
        """
        Take a data centre out of service or back in, for an operator that waits for the answer.

        The operator may have left the order and sent another one elsewhere. So the number of the
        last change is read first; it was still waiting then if this host had no interruption, and
        the order has no effect after any later change.

        Parameters
        ----------
        data_centre : str
            The data centre.
        out : bool
            Whether to take it out of service.

        Returns
        -------
        RoutesOutcome or Failure
            ``STALE_EPOCH`` if the order may be an old one, or another one came first.
        """
        started = self._timers.now()
        last = await self._read_last_change(data_centre)
        if isinstance(last, Failure):
            return last
        if not self._continuity.is_continuous():
            _log.info(
                "order on a data centre refused, since it may be an old one",
                extra={"subject": data_centre},
            )
            return Failure(
                reason=Reason.STALE_EPOCH,
                run_state=RunState.NOT_RUN,
                step="takeout",
                detail="the order may be older than its operator waits",
            )
        return await self._finder.call(
            CONFIG_GROUP,
            SetTakeout(data_centre=data_centre, out=out, after=last),
            RoutesOutcome,
            timeout_s=CALL_TIMEOUT_S - (self._timers.now() - started),
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
        )

    async def _read_last_change(self, data_centre: str) -> int | Failure:
        """Return the number of the last change; `NUMBER_IN_FORCE` from an earlier release."""
        reply = await self._finder.call(
            CONFIG_GROUP,
            GetTakeout(data_centre=data_centre),
            TakeoutReply,
            timeout_s=READ_TAKEOUT_TIMEOUT_S,
        )
        if isinstance(reply, TakeoutReply):
            return reply.number
        return NUMBER_IN_FORCE if reply.reason is Reason.BAD_REQUEST else reply

    async def get_routes(self) -> RoutesReply | Failure:
        """Return the configuration in force, confirmed by a quorum."""
        return await self._finder.call(
            CONFIG_GROUP,
            GetRoutes(),
            RoutesReply,
            timeout_s=CALL_TIMEOUT_S,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
        )

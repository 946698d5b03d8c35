"""Calls of an entry to the leader."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from marigoldtrail.errors import Failure
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.schema.generated.registry import (
    EntryList,
    ListEntries,
    PermitReply,
    PlaceReleased,
    PlaceReply,
    ReleasePlace,
    RequestPermit,
    RequestTrial,
    TakePlace,
    TrialReply,
)
from marigoldtrail.site.components import HostComponents
from marigoldtrail.timers import run_guarded

TRIAL_TIMEOUT_S = 0.5
PERMIT_TIMEOUT_S = 0.25
# The leader may hold the question for a place for a part of this time.
TAKE_PLACE_TIMEOUT_S = 0.45
RELEASE_PLACE_TIMEOUT_S = 1.0
LIST_ENTRIES_TIMEOUT_S = 0.3

Reply = TypeVar("Reply", bound=msgspec.Struct)


class LeaderCalls:
    """
    Calls to the leader that serve requests.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    """

    __slots__ = ("_components",)

    def __init__(self, *, components: HostComponents) -> None:
        self._components = components

    async def call(
        self, request: msgspec.Struct, reply_type: type[Reply], timeout_s: float
    ) -> Reply | Failure:
        """Call the leader; return its reply, or the failure after a timeout in seconds."""
        return await self._components.reporter.finder.call(
            CONFIG_GROUP, request, reply_type, timeout_s=timeout_s
        )

    async def request_trial(self, part: str) -> bool:
        """Ask whether one request with a quarantined part may be sent."""
        reply = await self.call(RequestTrial(part=part), TrialReply, TRIAL_TIMEOUT_S)
        return not isinstance(reply, Failure) and reply.is_granted

    async def request_permit(self, request: RequestPermit) -> PermitReply | Failure:
        """Ask whether one request may be sent to an upstream that limits them."""
        return await self.call(request, PermitReply, PERMIT_TIMEOUT_S)

    async def take_place(self, request: TakePlace) -> PlaceReply | Failure:
        """Ask for a place at a brittle upstream."""
        return await self.call(request, PlaceReply, TAKE_PLACE_TIMEOUT_S)

    def release_place(self, request: ReleasePlace) -> None:
        """Start to give a place at a brittle upstream back."""
        self._components.nursery.start_soon(run_guarded, self._release_place, request)

    async def _release_place(self, request: ReleasePlace) -> None:
        await self.call(request, PlaceReleased, RELEASE_PLACE_TIMEOUT_S)

    async def list_entries(self) -> EntryList | Failure:
        """Ask for other entries that reach upstreams."""
        cfg = self._components.cfg
        request = ListEntries(host=cfg.host, region=cfg.region)
        return await self.call(request, EntryList, LIST_ENTRIES_TIMEOUT_S)

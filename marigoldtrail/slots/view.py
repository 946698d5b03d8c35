"""Interface of a node's view of the fleet as used by slots."""

from __future__ import annotations

from typing import Protocol

from marigoldtrail.net import Address
from marigoldtrail.schema.generated.control import OwnerAssignment, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest


class SlotView(Protocol):
    """The part of `marigoldtrail.fleet.FleetView` that slot owners and slot clients use."""

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        ...

    def is_current(self) -> bool:
        """Return whether this view is recent enough to act on."""
        ...

    def is_out_of_service(self, kind: str, name: str) -> bool:
        """Return whether operators took a data centre, host or upstream out of service."""
        ...

    def is_leaving_host(self, host: str) -> bool:
        """Return whether the platform lists a host as leaving."""
        ...

    def upstream_status(self, upstream: str) -> UpstreamStatus | None:
        """Return the state of an upstream that the config leader distributes."""
        ...

    def owner_of(self, upstream: str) -> OwnerAssignment | None:
        """Return the slot owner of an upstream."""
        ...

    def address_of(self, host: str) -> Address | None:
        """Return the peer address of a host."""
        ...

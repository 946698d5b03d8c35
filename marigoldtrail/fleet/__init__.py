"""A node's view of the fleet, and its calls to the control hosts."""

from typing import TYPE_CHECKING

from marigoldtrail.fleet.groups import (
    CONFIG_GROUP,
    group_of_request,
    groups_of,
    new_request_id,
    record_group_of,
    record_groups_of,
)
from marigoldtrail.lazy_exports import make_lazy_getattr

if TYPE_CHECKING:
    from marigoldtrail.fleet.client import ControlClient
    from marigoldtrail.fleet.sync import SyncLoop
    from marigoldtrail.fleet.view import VIEW_LEASE_S, FleetView

__all__ = [
    "CONFIG_GROUP",
    "VIEW_LEASE_S",
    "ControlClient",
    "FleetView",
    "SyncLoop",
    "group_of_request",
    "groups_of",
    "new_request_id",
    "record_group_of",
    "record_groups_of",
]

# The hosts of a site have a view of their own, `registry.FleetState`.
__getattr__ = make_lazy_getattr(
    __name__,
    {"VIEW_LEASE_S": "view", "ControlClient": "client", "FleetView": "view", "SyncLoop": "sync"},
)

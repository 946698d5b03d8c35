"""A node's view of the fleet, and its calls to the control hosts."""

from marigoldtrail.fleet.client import ControlClient
from marigoldtrail.fleet.groups import (
    CONFIG_GROUP,
    group_of_request,
    groups_of,
    new_request_id,
    record_group_of,
    record_groups_of,
)
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

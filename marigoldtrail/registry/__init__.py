"""Configuration, hosts and upstreams of a fleet that finds its control hosts by seeds."""

from typing import TYPE_CHECKING

from marigoldtrail.lazy_exports import make_lazy_getattr
from marigoldtrail.registry.addresses import PeerAddresses, peer_name
from marigoldtrail.registry.fleet_state import FleetState
from marigoldtrail.registry.reporter import HostReporter

if TYPE_CHECKING:
    from marigoldtrail.registry.bootstrap import bootstrap_group
    from marigoldtrail.registry.operator_changes import NUMBER_IN_FORCE
    from marigoldtrail.registry.service import RegistryService
    from marigoldtrail.registry.state import RegistryState

__all__ = [
    "NUMBER_IN_FORCE",
    "FleetState",
    "HostReporter",
    "RegistryState",
    "PeerAddresses",
    "RegistryService",
    "bootstrap_group",
    "peer_name",
]

# Only control hosts run these, which need the log groups.
__getattr__ = make_lazy_getattr(
    __name__,
    {
        "NUMBER_IN_FORCE": "operator_changes",
        "RegistryService": "service",
        "RegistryState": "state",
        "bootstrap_group": "bootstrap",
    },
)

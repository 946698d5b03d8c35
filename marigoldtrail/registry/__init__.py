"""Configuration, hosts and upstreams of a fleet that finds its control hosts by seeds."""

from marigoldtrail.registry.bootstrap import PeerAddresses, bootstrap_group, peer_name
from marigoldtrail.registry.fleet_state import FleetState
from marigoldtrail.registry.operator_changes import NUMBER_IN_FORCE
from marigoldtrail.registry.reporter import HostReporter
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

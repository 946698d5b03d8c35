"""Configuration, hosts and upstreams of a fleet that finds its control hosts by seeds."""

from marigoldtrail.registry.agent import HostReporter
from marigoldtrail.registry.board import RegistryState
from marigoldtrail.registry.bootstrap import PeerNames, bootstrap_group, peer_name
from marigoldtrail.registry.fleet_state import FleetState
from marigoldtrail.registry.service import RegistryService

__all__ = [
    "FleetState",
    "HostReporter",
    "RegistryState",
    "PeerNames",
    "RegistryService",
    "bootstrap_group",
    "peer_name",
]

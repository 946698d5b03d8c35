"""Configuration, members and upstreams of a fleet that finds its control hosts by seeds."""

from marigoldtrail.registry.agent import HostAgent
from marigoldtrail.registry.board import LeaderBoard
from marigoldtrail.registry.bootstrap import PeerNames, found_group, peer_name
from marigoldtrail.registry.picture import FleetPicture
from marigoldtrail.registry.service import RegistryService

__all__ = [
    "FleetPicture",
    "HostAgent",
    "LeaderBoard",
    "PeerNames",
    "RegistryService",
    "found_group",
    "peer_name",
]

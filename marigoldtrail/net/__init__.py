"""Connections and remote calls between nodes."""

from marigoldtrail.net.address import Address, is_address
from marigoldtrail.net.client import PeerClient
from marigoldtrail.net.frames import MAX_FRAME_BYTES, Envelope, FrameStream
from marigoldtrail.net.listener import ListenerControl
from marigoldtrail.net.network import Network, TcpNetwork
from marigoldtrail.net.server import FaultyFrames, Handlers, serve_peers

__all__ = [
    "MAX_FRAME_BYTES",
    "Address",
    "Envelope",
    "FaultyFrames",
    "FrameStream",
    "Handlers",
    "ListenerControl",
    "Network",
    "PeerClient",
    "TcpNetwork",
    "is_address",
    "serve_peers",
]

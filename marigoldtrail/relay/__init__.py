"""Forward callers' requests byte for byte to upstreams; runs on entry hosts."""

from marigoldtrail.relay.answers import make_answer_recorder
from marigoldtrail.relay.caller_connection import CallerRequest
from marigoldtrail.relay.dispatch import Dispatcher
from marigoldtrail.relay.endpoints import Reply, serve_endpoint
from marigoldtrail.relay.peer_forwarding import PeerForwarder
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.relay import Relay
from marigoldtrail.relay.send_gate import SendGate
from marigoldtrail.relay.stream_versions import StreamVersions
from marigoldtrail.relay.types import Forwarding, HeaderCodec, Headers, RequestInfo, ResponseInfo
from marigoldtrail.relay.upstream_connection import UpstreamConnection
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor

__all__ = [
    "ResponseInfo",
    "CallerRequest",
    "ConnectionPool",
    "HeaderCodec",
    "Dispatcher",
    "Forwarding",
    "Headers",
    "PeerForwarder",
    "Relay",
    "Reply",
    "RequestInfo",
    "SendGate",
    "StreamVersions",
    "UpstreamMonitor",
    "UpstreamConnection",
    "make_answer_recorder",
    "serve_endpoint",
]

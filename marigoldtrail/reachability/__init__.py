"""Whether this host reaches upstreams at all."""

from marigoldtrail.reachability.contact import UpstreamContact
from marigoldtrail.reachability.monitor import ReachabilityMonitor

__all__ = ["ReachabilityMonitor", "UpstreamContact"]

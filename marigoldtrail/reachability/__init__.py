"""Whether this host reaches upstreams at all."""

from marigoldtrail.reachability.contact import UpstreamContact

__all__ = ["UpstreamContact"]

"""Limits that upstreams in need set on the requests they get from all hosts together."""

from marigoldtrail.ratelimits.book import LimitBook
from marigoldtrail.ratelimits.limiter import UpstreamLimiter
from marigoldtrail.ratelimits.permits import PermitLedger
from marigoldtrail.ratelimits.place_client import Place, PlaceClient, compute_share
from marigoldtrail.ratelimits.places import PlaceLedger

__all__ = [
    "LimitBook",
    "PermitLedger",
    "Place",
    "PlaceClient",
    "PlaceLedger",
    "UpstreamLimiter",
    "compute_share",
]

"""Limits that upstreams in need set on the requests they get from all hosts together."""

from marigoldtrail.ratelimits.book import LimitBook
from marigoldtrail.ratelimits.limiter import UpstreamLimiter
from marigoldtrail.ratelimits.permits import PermitLedger

__all__ = ["LimitBook", "PermitLedger", "UpstreamLimiter"]

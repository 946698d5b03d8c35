"""Leased slots, which limit the calls in progress to upstreams in cold start."""

from marigoldtrail.slots.client import HeldSlot, SlotClient
from marigoldtrail.slots.owner import SlotOwner
from marigoldtrail.slots.prober import UpstreamProber
from marigoldtrail.slots.tracker import MAX_GRANT_S, UpstreamTracker
from marigoldtrail.slots.view import SlotView

__all__ = [
    "MAX_GRANT_S",
    "HeldSlot",
    "SlotClient",
    "SlotOwner",
    "SlotView",
    "UpstreamTracker",
    "UpstreamProber",
]

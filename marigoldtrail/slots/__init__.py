"""Leased slots: the limit on calls in progress to upstreams in cold start."""

from marigoldtrail.slots.client import HeldSlot, SlotClient
from marigoldtrail.slots.view import SlotView

__all__ = ["HeldSlot", "SlotClient", "SlotView"]

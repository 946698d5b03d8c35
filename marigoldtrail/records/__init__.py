"""State machine of record groups: claims and result records."""

from marigoldtrail.records.claims import ClaimResult, ClaimState, ClaimTable, SettledBy

__all__ = ["ClaimResult", "ClaimState", "ClaimTable", "SettledBy"]

"""Calls to model engines, pools and services."""

from marigoldtrail.upstream.types import StageAnswer, StageCall, TokenChunk, TokenStream

__all__ = ["StageAnswer", "StageCall", "TokenChunk", "TokenStream"]

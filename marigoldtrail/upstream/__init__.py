"""Calls to model engines, pools and services."""

from marigoldtrail.upstream.client import UpstreamClient
from marigoldtrail.upstream.messages import (
    CacheEvent,
    CacheEvents,
    EngineOrder,
    LoadReport,
    OrderReply,
    OutcomeReply,
    build_prompt,
)
from marigoldtrail.upstream.types import StageAnswer, StageCall, TokenChunk, TokenStream

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineOrder",
    "LoadReport",
    "OrderReply",
    "OutcomeReply",
    "StageAnswer",
    "StageCall",
    "TokenChunk",
    "TokenStream",
    "UpstreamClient",
    "build_prompt",
]

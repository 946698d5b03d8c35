"""Carries requests through their pipelines."""

from marigoldtrail.serving.addresses import better_addresses
from marigoldtrail.serving.server import Server
from marigoldtrail.serving.types import Answer, PipelineRequest, Sink, digest_of, text_of

__all__ = [
    "Answer",
    "PipelineRequest",
    "Server",
    "Sink",
    "better_addresses",
    "digest_of",
    "text_of",
]

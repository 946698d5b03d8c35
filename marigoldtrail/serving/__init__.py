"""Runs requests through their pipelines."""

from marigoldtrail.serving.addresses import list_alternative_addresses
from marigoldtrail.serving.server import Server
from marigoldtrail.serving.types import Answer, PipelineRequest, Sink, compute_digest, text_of

__all__ = [
    "Answer",
    "PipelineRequest",
    "Server",
    "Sink",
    "compute_digest",
    "list_alternative_addresses",
    "text_of",
]

"""Limit on the memory that a host uses for unfinished messages of others."""

from marigoldtrail.memory.budget import (
    MemoryAccount,
    MemoryBudget,
    compute_budget_bytes,
    compute_frame_bytes,
    compute_request_bytes,
)
from marigoldtrail.memory.requests import RequestAccount, RequestMemory

__all__ = [
    "MemoryAccount",
    "MemoryBudget",
    "RequestAccount",
    "RequestMemory",
    "compute_budget_bytes",
    "compute_frame_bytes",
    "compute_request_bytes",
]

"""Limit on the memory that a host uses for unfinished messages of others."""

from marigoldtrail.memory.budget import MemoryAccount, MemoryBudget, compute_budget_bytes

__all__ = ["MemoryAccount", "MemoryBudget", "compute_budget_bytes"]

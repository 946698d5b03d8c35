"""Sentinel values for failed calls."""

from marigoldtrail.errors.failure import Failure, Reason, RunState, is_failure

__all__ = ["Failure", "Reason", "RunState", "is_failure"]

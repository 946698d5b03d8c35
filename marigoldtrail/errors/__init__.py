"""Failure values that calls return instead of raising exceptions."""

from marigoldtrail.errors.failure import Failure, Reason, RunState, is_failure

__all__ = ["Failure", "Reason", "RunState", "is_failure"]

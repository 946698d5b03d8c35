"""Names, formats and calls of the users' platform; decides nothing."""

from marigoldtrail.platform.adapter import build_adapter

__all__ = ["build_adapter"]

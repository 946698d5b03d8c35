"""Calls to the upstreams of stages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from marigoldtrail.errors import Failure
from marigoldtrail.pieces.job import Piece, PieceResult
from marigoldtrail.routing import Upstream


class PieceCall(msgspec.Struct, kw_only=True, frozen=True):
    """
    Functions that make calls to upstreams.

    Parameters
    ----------
    run : callable
        Sends pieces with the remaining seconds of each; returns a result for each.
    free : callable
        Frees results at an upstream.
    """

    run: Callable[[Upstream, list[Piece], list[float]], Awaitable[list[PieceResult] | Failure]]
    free: Callable[[Upstream, list[str]], Awaitable[Failure | None]]

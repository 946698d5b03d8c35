"""What the scheduler knows of one upstream that works on pieces."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from marigoldtrail.pieces.job import Piece, PieceResult
from marigoldtrail.policy.fading import fade
from marigoldtrail.routing import Upstream

# Results take a little more room than their stated size.
SIZE_MARGIN = 1.06
SPEED_WEIGHT = 0.3
SPEED_HALF_LIFE_S = 3.0
# A change of the speed by this factor is not chance: the next calls will take as long.
SPEED_JUMP = 2.0
# Handles by which a late copy of an answer is known.
RECENT_HANDLES = 512


class Worker:
    """
    An upstream that works on pieces.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    """

    __slots__ = (
        "upstream",
        "busy_until",
        "is_busy",
        "paused_until",
        "closed_until",
        "_recent",
        "slowness",
        "timed_at",
        "is_freeing",
        "freed_at",
        "unread",
        "_own_bytes",
        "other_bytes",
        "other_since",
        "failures",
    )

    def __init__(self, *, upstream: Upstream) -> None:
        self.upstream = upstream
        self.is_busy = False
        self.busy_until = 0.0
        self.paused_until = 0.0
        # Until when it wants no calls of any kind from this host.
        self.closed_until = 0.0
        # For each recent handle the request, stage and piece that it was given for.
        self._recent: OrderedDict[str, tuple[str, int, int]] = OrderedDict()
        self.slowness = 1.0
        self.timed_at = 0.0
        self.failures = 0
        # Results that nobody will read any more, and whether a call that frees some is going on.
        self.unread: dict[str, None] = {}
        self.is_freeing = False
        self.freed_at = float("-inf")
        self._own_bytes = 0
        # Room that the results of another scheduler took, and when that was seen.
        self.other_bytes = 0.0
        self.other_since = 0.0

    def close(self, seconds: float, now: float) -> None:
        """Make no calls for some seconds, as the upstream has asked."""
        self.closed_until = max(self.closed_until, now + seconds)
        self.paused_until = max(self.paused_until, self.closed_until)

    def note_handle(self, handle: str, piece: Piece) -> None:
        """Remember for which piece a handle was given."""
        self._recent[handle] = piece.identity
        while len(self._recent) > RECENT_HANDLES:
            self._recent.popitem(last=False)

    def is_copy(self, pieces: Sequence[Piece], results: Sequence[PieceResult]) -> bool:
        """
        Tell whether an answer is a late copy of the answer to an earlier call.

        Such a copy has handles that were given for other pieces.
        """
        return any(
            self._recent.get(result.handle, piece.identity) != piece.identity
            for piece, result in zip(pieces, results, strict=True)
            if result.handle
        )

    def add_bytes(self, size: int) -> None:
        """Count a result that it keeps, or with a negative size one that is gone."""
        self._own_bytes += size

    def own_bytes(self) -> float:
        """Return the room that the results of this scheduler take."""
        return self._own_bytes * SIZE_MARGIN

    def slowness_at(self, now: float) -> float:
        """Return how many times longer than stated its calls take; fades while it makes none."""
        if self.slowness == 1.0:
            return 1.0
        return 1 + (self.slowness - 1) * fade(now - self.timed_at, SPEED_HALF_LIFE_S)

    def note_speed(self, ratio: float, now: float) -> None:
        """Take in how many times longer than stated a call took."""
        ratio = max(1.0, ratio)
        known = self.slowness_at(now)
        is_jump = not known / SPEED_JUMP < ratio < known * SPEED_JUMP
        self.slowness = ratio if is_jump else known + SPEED_WEIGHT * (ratio - known)
        self.timed_at = now

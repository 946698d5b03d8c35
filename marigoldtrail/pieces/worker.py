"""State that the scheduler keeps for one upstream that runs pieces."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from marigoldtrail.pieces.job import Piece, PieceResult
from marigoldtrail.policy.decay import decay_weight
from marigoldtrail.routing import Upstream

# Results take slightly more room than their stated size.
SIZE_MARGIN = 1.06
SPEED_WEIGHT = 0.3
SPEED_HALF_LIFE_S = 3.0
# A change of the call time by this factor is not noise: it replaces the average at once.
SPEED_CHANGE_FACTOR = 2.0
# Number of handles remembered to detect late duplicates of answers.
RECENT_HANDLES = 512


class Worker:
    """
    An upstream that runs pieces.

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
        "no_calls_until",
        "calls_per_s",
        "next_call_at",
        "_recent",
        "slowness",
        "timed_at",
        "is_freeing",
        "freed_at",
        "unneeded",
        "_own_bytes",
        "other_bytes",
        "other_bytes_at",
        "failures",
    )

    def __init__(self, *, upstream: Upstream) -> None:
        self.upstream = upstream
        self.is_busy = False
        self.busy_until = 0.0
        self.paused_until = 0.0
        # Time until which the upstream has asked this host for no calls of any kind.
        self.no_calls_until = 0.0
        # Calls a second that this scheduler may make, and when the next one may follow.
        self.calls_per_s = float("inf")
        self.next_call_at = 0.0
        # For each recent handle, the identity of the piece that it was returned for.
        self._recent: OrderedDict[str, tuple[str, int, int]] = OrderedDict()
        self.slowness = 1.0
        self.timed_at = 0.0
        self.failures = 0
        # Results that will not be read any more, and whether a call that frees some is in progress.
        self.unneeded: dict[str, None] = {}
        self.is_freeing = False
        self.freed_at = float("-inf")
        self._own_bytes = 0
        # Bytes taken by the results of another scheduler, and when that was observed.
        self.other_bytes = 0.0
        self.other_bytes_at = 0.0

    def back_off(self, seconds: float, now: float) -> None:
        """Make no calls for some seconds, as requested by the upstream."""
        self.no_calls_until = max(self.no_calls_until, now + seconds)
        self.paused_until = max(self.paused_until, self.no_calls_until)

    def record_call(self, now: float) -> None:
        """Count a call of any kind against the limit of the upstream."""
        self.next_call_at = max(self.next_call_at, now) + 1 / self.calls_per_s

    def is_idle(self, now: float) -> bool:
        """Return whether the upstream can take a call now."""
        return not self.is_busy and self.paused_until <= now and self.next_call_at <= now

    def speed(self, full_call_s: float, now: float) -> float:
        """Return full calls per nominal time of a full call, in seconds, at the present speed."""
        speed = 1 / self.slowness_at(now)
        limit = self.calls_per_s * full_call_s
        return limit if limit < speed else speed

    def record_handle(self, handle: str, piece: Piece) -> None:
        """Remember the piece that a handle was returned for."""
        recent = self._recent
        recent[handle] = piece.identity
        if len(recent) > RECENT_HANDLES:
            recent.popitem(last=False)

    def is_duplicate_answer(self, pieces: Sequence[Piece], results: Sequence[PieceResult]) -> bool:
        """
        Tell whether an answer is a late duplicate of the answer to an earlier call.

        Such a duplicate contains handles that were returned for other pieces.
        """
        return any(
            self._recent.get(result.handle, piece.identity) != piece.identity
            for piece, result in zip(pieces, results, strict=True)
            if result.handle
        )

    def add_bytes(self, size: int) -> None:
        """Add a result that the upstream keeps; a negative size removes one."""
        self._own_bytes += size

    def own_bytes(self) -> float:
        """Return the bytes of room that the results of this scheduler take."""
        return self._own_bytes * SIZE_MARGIN

    def slowness_at(self, now: float) -> float:
        """Return the ratio of actual to nominal call time; decays to 1 while there are no calls."""
        if self.slowness == 1.0:
            return 1.0
        return 1 + (self.slowness - 1) * decay_weight(now - self.timed_at, SPEED_HALF_LIFE_S)

    def record_call_time(self, ratio: float, now: float) -> None:
        """Update the slowness with the ratio of actual to nominal time of a call."""
        ratio = max(1.0, ratio)
        known = self.slowness_at(now)
        is_jump = not known / SPEED_CHANGE_FACTOR < ratio < known * SPEED_CHANGE_FACTOR
        self.slowness = ratio if is_jump else known + SPEED_WEIGHT * (ratio - known)
        self.timed_at = now

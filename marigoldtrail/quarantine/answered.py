"""Latest answers on the parts of requests, as seen by one host."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from marigoldtrail.quarantine.fingerprint import is_fingerprint

MAX_ANSWERED_PARTS = 4096
MAX_ANSWERED_FINGERPRINTS = 4096


class AnsweredParts:
    """
    Times of the last answers, bounded in number.

    Fingerprints are bounded apart: most are never seen again, and would displace the parts of
    prompts.
    """

    __slots__ = ("_prompt_parts", "_fingerprints")

    def __init__(self) -> None:
        # Least recently answered first.
        self._prompt_parts: OrderedDict[str, float] = OrderedDict()
        self._fingerprints: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str], now: float) -> None:
        """Record an answer on a request with these parts at a monotonic time in seconds."""
        for part in parts:
            answered_at = self._fingerprints if is_fingerprint(part) else self._prompt_parts
            answered_at[part] = now
            answered_at.move_to_end(part)
        while len(self._prompt_parts) > MAX_ANSWERED_PARTS:
            self._prompt_parts.popitem(last=False)
        while len(self._fingerprints) > MAX_ANSWERED_FINGERPRINTS:
            self._fingerprints.popitem(last=False)

    def get(self, part: str) -> float:
        """Return the monotonic time in seconds of the last answer on a part; 0 if not known."""
        answered_at = self._fingerprints if is_fingerprint(part) else self._prompt_parts
        return answered_at.get(part, 0.0)

"""Tell the fleet of requests beside whose pieces upstreams crash."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldtrail.pieces.job import PieceJob
from marigoldtrail.quarantine import PromptGuard

# Parts of requests that are remembered after a crash beside them.
MAX_CRASHED_PARTS = 1024


class PieceCrashes:
    """
    Crashes of upstreams under calls of one scheduler.

    Parameters
    ----------
    prompts : PromptGuard
        Reports crashes, and later results, to the leader.
    """

    __slots__ = ("_prompts", "_parts")

    def __init__(self, *, prompts: PromptGuard) -> None:
        self._prompts = prompts
        # Parts of requests beside which an upstream has crashed, in the order of the last crashes.
        self._parts: dict[str, None] = {}

    def has_crashed(self, part: str) -> bool:
        """Return whether an upstream has crashed under a request with a part, as far as known."""
        return part in self._parts

    def record_crash(self, upstream: str, jobs: Iterable[PieceJob]) -> None:
        """
        Record that an upstream closed the connection of a call before it answered.

        Parameters
        ----------
        upstream : str
            The upstream.
        jobs : iterable of PieceJob
            The jobs with pieces in the call; those that crash too many upstreams fail.
        """
        for job in jobs:
            part = job.crash_part
            if not part or not job.record_crash(upstream):
                continue
            self._prompts.record_crash(upstream, part, frozenset((part,)))
            self._parts.pop(part, None)
            self._parts[part] = None
        while len(self._parts) > MAX_CRASHED_PARTS:
            del self._parts[next(iter(self._parts))]

    def record_done(self, job: PieceJob) -> None:
        """Clear the part of a job that is done after a crash, which had another cause then."""
        parts = frozenset((job.crash_part,))
        # Another scheduler, or this one before its restart, may have seen the crash.
        if job.crash_part in self._parts or job.is_trial or self._prompts.find_held(parts):
            self._parts.pop(job.crash_part, None)
            self._prompts.record_answer(parts)

"""Crashes of upstreams, with the requests that had no answer yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

from marigoldtrail.schema.generated.registry import PromptCrash

# Failures at one upstream within this time belong to the same crash.
CRASH_SPREAD_S = 1.0
# Crashes within this time may have a common cause and count as one.
COMMON_CAUSE_S = 0.25
MAX_CRASHES = 256
MAX_CRASH_AGE_S = 600.0


class Crash:
    """
    Crash of one upstream.

    Parameters
    ----------
    upstream : str
        The upstream.
    at : float
        Monotonic time in seconds.

    Attributes
    ----------
    requests : dict
        Parts of each request that had no answer yet, by the identity of the request.
    parts : set of str
        Parts of all these requests.
    """

    __slots__ = ("upstream", "at", "requests", "parts")

    def __init__(self, *, upstream: str, at: float) -> None:
        self.upstream = upstream
        self.at = at
        self.requests: dict[str, frozenset[str]] = {}
        self.parts: set[str] = set()

    def add_request(self, request: str, parts: frozenset[str]) -> None:
        """Add a request that had no answer yet."""
        self.requests[request] = parts
        self.parts |= parts

    def is_explained_by(self, parts: frozenset[str]) -> bool:
        """Return whether a request with all of these parts was at the upstream."""
        return parts <= self.parts and any(parts <= own for own in self.requests.values())


class CrashLog:
    """Crashes of the last `MAX_CRASH_AGE_S`, at most `MAX_CRASHES`, oldest first."""

    __slots__ = ("_crashes",)

    def __init__(self) -> None:
        self._crashes: deque[Crash] = deque(maxlen=MAX_CRASHES)

    def __iter__(self) -> Iterator[Crash]:
        return iter(self._crashes)

    def record(self, crash: PromptCrash, at: float) -> None:
        """
        Record a request at an upstream that crashed.

        Parameters
        ----------
        crash : PromptCrash
            The request; it may be recorded again.
        at : float
            Monotonic time in seconds of the crash.
        """
        known = self._find(crash.upstream, at)
        if known is None:
            known = Crash(upstream=crash.upstream, at=at)
            self._crashes.append(known)
        known.add_request(crash.request, frozenset(crash.parts))

    def _find(self, upstream: str, at: float) -> Crash | None:
        for crash in reversed(self._crashes):
            if crash.upstream == upstream and abs(crash.at - at) <= CRASH_SPREAD_S:
                return crash
        return None

    def expire(self, now: float) -> None:
        """Drop the crashes that are too old at a monotonic time in seconds."""
        while self._crashes and self._crashes[0].at < now - MAX_CRASH_AGE_S:
            self._crashes.popleft()

    def drop_explained(self, parts: frozenset[str]) -> None:
        """Drop the crashes of upstreams at which a request had all of these parts."""
        kept = [crash for crash in self._crashes if not crash.is_explained_by(parts)]
        self._crashes = deque(kept, maxlen=MAX_CRASHES)


def join(groups: Iterable[frozenset[str]]) -> frozenset[str]:
    """Return all members of several sets."""
    return frozenset().union(*groups)


def count_causes(times: Iterable[float]) -> int:
    """
    Count events, taking those that follow each other closely for one.

    Parameters
    ----------
    times : iterable of float
        Monotonic times in seconds.

    Returns
    -------
    int
        Number of groups that are at least `COMMON_CAUSE_S` apart.

    Examples
    --------
    >>> count_causes([5.0, 1.0, 1.1, 1.2])
    2
    """
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at >= last + COMMON_CAUSE_S:
            count, last = count + 1, at
    return count

"""Places at upstreams that crash when they reject requests; the leader grants them."""

from __future__ import annotations

import itertools
from collections import deque

# A place that nobody gave back is free again after this time.
MAX_HOLD_S = 15.0
# Rejections are counted over this time.
REJECTION_WINDOW_S = 1.0
# An upstream may take fewer requests than its slots say; one place less for this long after each
# rejection.
CAUTION_S = 3.0


class UpstreamPlaces:
    """
    Places at one upstream.

    Attributes
    ----------
    taken : dict
        Host and monotonic time in seconds at which it was taken, by place.
    rejections : deque of float
        Monotonic times in seconds of the recent rejections.
    """

    __slots__ = ("taken", "rejections")

    def __init__(self) -> None:
        self.taken: dict[int, tuple[str, float]] = {}
        self.rejections: deque[float] = deque()

    def is_free(self, now: float, *, slots: int, max_rejections: float) -> bool:
        """Return whether one more request would find room, or could be rejected without harm."""
        for place in [p for p, (_, at) in self.taken.items() if at <= now - MAX_HOLD_S]:
            del self.taken[place]
        while self.rejections and self.rejections[0] <= now - CAUTION_S:
            self.rejections.popleft()
        recent = sum(at > now - REJECTION_WINDOW_S for at in self.rejections)
        if recent and recent >= max_rejections:
            return False
        return len(self.taken) < max(1, slots - len(self.rejections))


class PlaceLedger:
    """Places at all brittle upstreams, during one term of leadership."""

    __slots__ = ("_upstreams", "_numbers")

    def __init__(self) -> None:
        self._upstreams: dict[str, UpstreamPlaces] = {}
        self._numbers = itertools.count(1)

    def take(
        self, upstream: str, host: str, now: float, *, slots: int, max_rejections: float
    ) -> int:
        """
        Take a place for one request.

        Parameters
        ----------
        upstream, host : str
            The upstream, and the host that will send the request.
        now : float
            Monotonic time in seconds.
        slots : int
            Requests that the upstream runs at once.
        max_rejections : float
            Rejections in a second that it bears.

        Returns
        -------
        int
            Number of the place; 0 if none is free.
        """
        places = self._upstreams.setdefault(upstream, UpstreamPlaces())
        if not places.is_free(now, slots=slots, max_rejections=max_rejections):
            return 0
        number = next(self._numbers)
        places.taken[number] = (host, now)
        return number

    def release(self, upstream: str, place: int, now: float, *, was_rejected: bool) -> None:
        """Give a place back, and note whether its request was rejected."""
        places = self._upstreams.get(upstream)
        if places is None:
            return
        places.taken.pop(place, None)
        if was_rejected:
            places.rejections.append(now)

    def release_host(self, host: str) -> None:
        """Give back all places of a host that is lost."""
        for places in self._upstreams.values():
            for number in [n for n, (owner, _) in places.taken.items() if owner == host]:
                del places.taken[number]

    def retain(self, upstreams: set[str]) -> None:
        """Forget all other upstreams."""
        for name in [name for name in self._upstreams if name not in upstreams]:
            del self._upstreams[name]

"""Limiter of one host: asks the leader for permits, and keeps to a share without it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from marigoldtrail.errors import Failure
from marigoldtrail.ratelimits.book import LimitBook
from marigoldtrail.ratelimits.permits import Pacer
from marigoldtrail.schema.generated.registry import PermitReply, RequestPermit
from marigoldtrail.timers import Timers

# After a call that found no leader, requests use the share of this host for this time.
LEADERLESS_S = 0.5
# Smallest difference between the wait that is too long for a request and the longest it can bear.
MIN_RETRY_S = 0.02

RequestPermitFn = Callable[[RequestPermit], Awaitable[PermitReply | Failure]]


class Permit(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer to the question whether a request may be sent to an upstream.

    Parameters
    ----------
    is_granted : bool
        Whether it may be sent.
    wait_s : float
        Seconds until then; if it may not be sent, seconds until the next permit is free.
    """

    is_granted: bool
    wait_s: float = 0.0


class UpstreamLimiter:
    """
    Grants requests to upstreams that limit them, on one host.

    Parameters
    ----------
    book : LimitBook
        Limits known to the host.
    timers : Timers
        Clock.
    request_permit : callable
        Asks the leader for a permit.
    entry_count : callable
        Returns the number of entries that share a limit when there is no leader.
    """

    __slots__ = (
        "_book",
        "_timers",
        "_request_permit",
        "_entry_count",
        "_leaderless_until",
        "_shares",
    )

    def __init__(
        self,
        *,
        book: LimitBook,
        timers: Timers,
        request_permit: RequestPermitFn,
        entry_count: Callable[[], int],
    ) -> None:
        self._book = book
        self._timers = timers
        self._request_permit = request_permit
        self._entry_count = entry_count
        self._leaderless_until = float("-inf")
        self._shares: dict[str, Pacer] = {}

    async def acquire(self, upstream: str, max_wait_s: float) -> Permit:
        """
        Ask whether a request may be sent to an upstream.

        Parameters
        ----------
        upstream : str
            The upstream.
        max_wait_s : float
            Longest time in seconds that the request can wait.

        Returns
        -------
        Permit
            Granted at once if the upstream sets no limit.
        """
        limit = self._book.get_limit(upstream)
        if limit is None:
            return Permit(is_granted=True)
        if self._timers.now() >= self._leaderless_until:
            request = RequestPermit(
                upstream=upstream,
                requests_per_s=limit,
                max_wait_ms=max(0, int(max_wait_s * 1000)),
            )
            reply = await self._request_permit(request)
            if not isinstance(reply, Failure):
                self._shares.pop(upstream, None)
                return Permit(is_granted=reply.is_granted, wait_s=reply.wait_ms / 1000)
            self._leaderless_until = self._timers.now() + LEADERLESS_S
        return self._take_share(upstream, limit, max_wait_s)

    def _take_share(self, upstream: str, limit: float, max_wait_s: float) -> Permit:
        """Keep to an equal share of the limit; all entries together don't exceed it."""
        now = self._timers.now()
        rate = limit / max(1, self._entry_count())
        pacer = self._shares.get(upstream)
        if pacer is None:
            pacer = self._shares[upstream] = Pacer(now=now, rate=rate)
        is_granted, wait_s = pacer.reserve(now, rate=rate, max_wait_s=max_wait_s)
        if not is_granted:
            # The share may be free only minutes later, but a leader can grant permits sooner. The
            # request itself must not ask again while it could wait for that.
            retry_s = max(self._leaderless_until - now, max_wait_s) + MIN_RETRY_S
            wait_s = min(wait_s, retry_s)
        return Permit(is_granted=is_granted, wait_s=wait_s)

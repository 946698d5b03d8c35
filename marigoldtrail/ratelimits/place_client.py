"""Places at brittle upstreams, on one host: asked of the leader, or a share without it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.ratelimits.book import LimitBook
from marigoldtrail.schema.generated.registry import PlaceReply, ReleasePlace, TakePlace
from marigoldtrail.timers import Timers, run_guarded

# Longest time that the leader holds the question for a place.
MAX_HELD_S = 0.2
# After a call that found no leader, requests use the share of this host for this time.
LEADERLESS_S = 0.5
# Time between two looks for a free place of the share.
OWN_CHECK_INTERVAL_S = 0.02

TakePlaceFn = Callable[[TakePlace], Awaitable[PlaceReply | Failure]]
ReleasePlaceFn = Callable[[ReleasePlace], None]


class Place(msgspec.Struct, kw_only=True, frozen=True):
    """
    Place for one request at an upstream.

    Parameters
    ----------
    upstream : str
        The upstream.
    number : int
        Number of the place at the leader; 0 for one of the share of this host.
    is_needed : bool
        Whether the upstream is brittle, so that the place has to be given back.
    """

    upstream: str
    number: int = 0
    is_needed: bool = True


class PlaceQuestion:
    """
    A question for a place that is under way, and its answer.

    Attributes
    ----------
    reply : PlaceReply, Failure or None
        The answer; None until it has come.
    is_left : bool
        Whether the request no longer waits for it.
    done : trio.Event
        Set when the answer has come.
    """

    __slots__ = ("reply", "is_left", "done")

    def __init__(self) -> None:
        self.reply: PlaceReply | Failure | None = None
        self.is_left = False
        self.done = trio.Event()


class PlaceClient:
    """
    Takes places at brittle upstreams for the requests of one host.

    Parameters
    ----------
    host : str
        Name of this host.
    book : LimitBook
        Rejections in a second that upstreams of brittle services bear, by service.
    take_place : callable
        Asks the leader for a place.
    release_place : callable
        Starts to give a place back to the leader.
    get_share : callable
        Returns the number of places of this host at an upstream when there is no leader.
    timers : Timers
        Clock.
    nursery : trio.Nursery
        Runs the questions, also of requests that have ended meanwhile.
    """

    __slots__ = (
        "_host",
        "_book",
        "_take_place",
        "_release_place",
        "_get_share",
        "_timers",
        "_nursery",
        "_leaderless_until",
        "_own",
    )

    def __init__(
        self,
        *,
        host: str,
        book: LimitBook,
        take_place: TakePlaceFn,
        release_place: ReleasePlaceFn,
        get_share: Callable[[str], int],
        timers: Timers,
        nursery: trio.Nursery,
    ) -> None:
        self._host = host
        self._book = book
        self._take_place = take_place
        self._release_place = release_place
        self._get_share = get_share
        self._timers = timers
        self._nursery = nursery
        self._leaderless_until = float("-inf")
        # Places of the share of this host that are taken, by upstream.
        self._own: Counter[str] = Counter()

    async def take(self, upstream: str, service: str, max_wait_s: float) -> Place | None:
        """
        Take a place for one request.

        Parameters
        ----------
        upstream, service : str
            The upstream and its service.
        max_wait_s : float
            Longest time in seconds that the request can wait.

        Returns
        -------
        Place or None
            None if no place became free in time. At once for a service that is not brittle.
        """
        max_rejections = self._book.get_limit(service)
        if max_rejections is None:
            return Place(upstream=upstream, is_needed=False)
        until = self._timers.now() + max_wait_s
        while True:
            if self._timers.now() < self._leaderless_until:
                place = self._take_own(upstream)
                if place is not None or self._timers.now() >= until:
                    return place
                await self._timers.sleep(OWN_CHECK_INTERVAL_S)
                continue
            left_s = max(0.0, until - self._timers.now())
            reply = await self._ask(upstream, max_rejections, min(left_s, MAX_HELD_S))
            if isinstance(reply, Failure):
                self._leaderless_until = self._timers.now() + LEADERLESS_S
                continue
            if reply.place:
                return Place(upstream=upstream, number=reply.place)
            if self._timers.now() >= until:
                return None

    async def _ask(
        self, upstream: str, max_rejections: float, max_wait_s: float
    ) -> PlaceReply | Failure:
        request = TakePlace(
            host=self._host,
            upstream=upstream,
            max_rejections=max_rejections,
            max_wait_ms=int(max_wait_s * 1000),
        )
        question = PlaceQuestion()
        self._nursery.start_soon(run_guarded, self._run_question, request, question)
        try:
            await question.done.wait()
        except trio.Cancelled:
            question.is_left = True
            self._release_unused(upstream, question)
            raise
        return question.reply or make_internal_failure(upstream)

    async def _run_question(self, request: TakePlace, question: PlaceQuestion) -> None:
        try:
            question.reply = await self._take_place(request)
        finally:
            question.done.set()
        if question.is_left:
            self._release_unused(request.upstream, question)

    def _release_unused(self, upstream: str, question: PlaceQuestion) -> None:
        """Give back a place, if granted, whose request has ended; it would stay taken."""
        if isinstance(question.reply, PlaceReply) and question.reply.place:
            self._release_place(ReleasePlace(upstream=upstream, place=question.reply.place))

    def _take_own(self, upstream: str) -> Place | None:
        if self._own[upstream] >= self._get_share(upstream):
            return None
        self._own[upstream] += 1
        return Place(upstream=upstream)

    def release(self, place: Place, *, was_rejected: bool = False) -> None:
        """Give a place back; note whether the upstream rejected its request."""
        if not place.is_needed:
            return
        if not place.number:
            self._own[place.upstream] -= 1
        if place.number or was_rejected:
            self._release_place(
                ReleasePlace(upstream=place.upstream, place=place.number, was_rejected=was_rejected)
            )


def compute_share(slots: int, position: float, entries: int) -> int:
    """
    Return the places of one entry if the entries divide the slots of an upstream.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at once.
    position : float
        Position of the entry among all entries, from 0 to 1.
    entries : int
        Number of entries.

    Returns
    -------
    int
        The shares of all entries add up to `slots`.

    Examples
    --------
    >>> [compute_share(4, number / 3, 3) for number in range(3)]
    [1, 1, 2]
    """
    rank = round(position * entries)
    return (rank + 1) * slots // entries - rank * slots // entries


def make_internal_failure(upstream: str) -> Failure:
    """Return the failure of a question for a place that ended with an exception."""
    return Failure(
        reason=Reason.INTERNAL,
        run_state=RunState.NOT_RUN,
        step="TakePlace",
        peer=upstream,
        detail="the question for a place failed",
    )

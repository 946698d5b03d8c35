"""Watch a stream for stalls, and let it move to another upstream."""

from __future__ import annotations

import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.owed_response import GiveUpCause
from marigoldtrail.relay.request_mover import RequestMover
from marigoldtrail.relay.stall_timer import StallTimer
from marigoldtrail.relay.upstream_connection import UpstreamConnection
from marigoldtrail.timers import Timers


class StallWatch:
    """
    Reads the stream of one upstream until another one has taken the request.

    Only complete events count as progress: bytes that never complete an event would otherwise
    hold the request until its deadline.

    Parameters
    ----------
    exchange : Exchange
        The request.
    upstream : str
        The upstream that sends the stream.
    timer : StallTimer
        Time since its last progress.
    mover : RequestMover
        Offers the request to other upstreams.
    timers : Timers
        Clock and delays.
    """

    __slots__ = (
        "_exchange",
        "_upstream",
        "_timer",
        "_mover",
        "_timers",
        "_read_scope",
        "_offer_scope",
        "_sleep_scope",
        "_has_progress",
        "_end",
    )

    def __init__(
        self,
        *,
        exchange: Exchange,
        upstream: str,
        timer: StallTimer,
        mover: RequestMover,
        timers: Timers,
    ) -> None:
        self._exchange = exchange
        self._upstream = upstream
        self._timer = timer
        self._mover = mover
        self._timers = timers
        # Set while the stream is read.
        self._read_scope: trio.CancelScope | None = None
        # Set while the request is offered to other upstreams.
        self._offer_scope: trio.CancelScope | None = None
        # Ends when the stream has to be checked.
        self._sleep_scope = trio.CancelScope()
        # Whether events were forwarded.
        self._has_progress = False
        # Why the stream is not read any more.
        self._end: tuple[Reason, str] | None = None

    async def read(self, conn: UpstreamConnection) -> bytes | Failure:
        """
        Read the next bytes of the stream.

        Parameters
        ----------
        conn : UpstreamConnection
            Connection of the stream.

        Returns
        -------
        bytes or Failure
            Empty at the end of the stream; ``TIMEOUT`` if another upstream has taken the request,
            or if its caller has stopped waiting.
        """
        with trio.CancelScope() as self._read_scope:
            data = await conn.read_body_part()
            self._read_scope = None
            if self._end is not None:
                # It arrived just when the request was to move.
                self._end = None
                self._mover.cancel(self._exchange)
            return data
        reason, detail = self._end or (Reason.INTERNAL, "the read was cancelled")
        return conn.make_failure(reason, detail)

    def note_progress(self) -> None:
        """Note that events were forwarded, so that no other upstream is needed."""
        self._timer.note_progress(self._timers.now())
        if not self._has_progress:
            self._has_progress = True
            # Events follow each other faster than the first one follows the head.
            self._sleep_scope.deadline = self._timer.next_check_at(self._exchange)
        if self._offer_scope is not None:
            self._offer_scope.cancel()

    async def run(self) -> None:
        """Look for another upstream whenever the stream stalls, until cancelled."""
        while True:
            due_at = self._timer.next_check_at(self._exchange)
            with trio.CancelScope(deadline=due_at) as self._sleep_scope:
                await trio.sleep_forever()
            if self._timers.now() < self._timer.next_check_at(self._exchange):
                # Events have come meanwhile. To move the deadline with each of them costs more.
                continue
            if self._read_scope is None:
                # This host waits for the caller, or for the record of the version.
                self._timer.note_progress(self._timers.now())
                continue
            await self._check()
            self._timer.last_check_at = self._timers.now()

    async def _check(self) -> None:
        is_overdue = self._timers.now() >= self._timer.give_up_at(self._exchange)
        if is_overdue and self._exchange.owed.give_up(GiveUpCause.SILENCE):
            self._stop(Reason.TIMEOUT, "no event while its caller waits for one")
            return
        is_taken = False
        with trio.CancelScope() as self._offer_scope:
            is_taken = await self._mover.reserve(self._exchange, self._upstream)
        has_progress = self._offer_scope.cancel_called or self._read_scope is None
        self._offer_scope = None
        if is_taken and has_progress:
            self._mover.cancel(self._exchange)
        elif is_taken:
            self._stop(Reason.TIMEOUT, "the stream has stopped")

    def _stop(self, reason: Reason, detail: str) -> None:
        self._end = (reason, detail)
        if self._read_scope is not None:
            self._read_scope.cancel()

"""Watch a stream for stalls, and let it move to another upstream."""

from __future__ import annotations

import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.request_mover import RequestMover
from marigoldtrail.relay.upstream_connection import UpstreamConnection
from marigoldtrail.timers import Timers


class StallWatch:
    """
    Reads the stream of one upstream until another one has taken the request.

    Only complete events count as progress: bytes that never complete an event would otherwise
    keep the request from another upstream. If no other one takes it, the stream is read until
    its upstream, its caller or its deadline ends it.

    Parameters
    ----------
    exchange : Exchange
        The request.
    upstream : str
        The upstream that sends the stream.
    mover : RequestMover
        Offers the request to other upstreams.
    timers : Timers
        Clock and delays.
    """

    __slots__ = (
        "_exchange",
        "_upstream",
        "_mover",
        "_timers",
        "_read_scope",
        "_offer_scope",
        "_sleep_scope",
        "_checked_at",
        "_has_progress",
        "_is_taken",
    )

    def __init__(
        self,
        *,
        exchange: Exchange,
        upstream: str,
        mover: RequestMover,
        timers: Timers,
    ) -> None:
        self._exchange = exchange
        self._upstream = upstream
        self._mover = mover
        self._timers = timers
        # Set while the stream is read.
        self._read_scope: trio.CancelScope | None = None
        # Set while the request is offered to other upstreams.
        self._offer_scope: trio.CancelScope | None = None
        # Ends when the stream has to be checked.
        self._sleep_scope = trio.CancelScope()
        # Monotonic time in seconds of the head of the response, of the last event, or of the last
        # refused move, whichever is latest.
        self._checked_at = timers.now()
        # Whether events were forwarded.
        self._has_progress = False
        # Whether another upstream has taken the request.
        self._is_taken = False

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
            Empty at the end of the stream; ``TIMEOUT`` if another upstream has taken the request.
        """
        with trio.CancelScope() as self._read_scope:
            data = await conn.read_body_part()
            self._read_scope = None
            if self._is_taken:
                # It arrived just when the request was to move.
                self._is_taken = False
                self._mover.cancel(self._exchange)
            return data
        return conn.make_failure(Reason.TIMEOUT, "the stream has stopped")

    def note_progress(self) -> None:
        """Note that events were forwarded, so that no other upstream is needed."""
        self._checked_at = self._timers.now()
        if not self._has_progress:
            self._has_progress = True
            # Events follow each other faster than the first one follows the head.
            self._sleep_scope.deadline = self._next_check_at()
        if self._offer_scope is not None:
            self._offer_scope.cancel()

    async def run(self) -> None:
        """Look for another upstream whenever the stream stalls, until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._next_check_at()) as self._sleep_scope:
                await trio.sleep_forever()
            if self._timers.now() < self._next_check_at():
                # Events have come meanwhile. To move the deadline with each of them costs more.
                continue
            # Otherwise this host waits for the caller, or for the record of the version.
            if self._read_scope is not None:
                await self._check()
            self._checked_at = self._timers.now()

    def _next_check_at(self) -> float:
        """Return the time at which the stream is offered to others if it sends nothing."""
        if not self._exchange.may_run_again():
            return float("inf")
        return self._checked_at + self._exchange.stall_timeout_s

    async def _check(self) -> None:
        is_taken = False
        with trio.CancelScope() as self._offer_scope:
            is_taken = await self._mover.reserve(self._exchange, self._upstream)
        has_progress = self._offer_scope.cancel_called or self._read_scope is None
        self._offer_scope = None
        if is_taken and has_progress:
            self._mover.cancel(self._exchange)
        elif is_taken and self._read_scope is not None:
            self._is_taken = True
            self._read_scope.cancel()

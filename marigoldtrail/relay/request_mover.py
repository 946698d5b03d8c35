"""Decide whether a request with a silent upstream moves to another one."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.ratelimits import Place
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.retry_budgets import RetryBudgets
from marigoldtrail.relay.send_gate import SendGate
from marigoldtrail.relay.transmission import Transmission, Transmitter
from marigoldtrail.relay.upstream_chooser import UpstreamChooser
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream


class Assignment(msgspec.Struct, kw_only=True, frozen=True):
    """
    Upstream to which a request is sent next.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    place : Place
        Place of the request there.
    taken : Transmission or None
        The transmission if the upstream has taken the request already.
    """

    upstream: Upstream
    place: Place
    taken: Transmission | None = None


class RequestMover:
    """
    Finds other upstreams for requests whose upstream has fallen silent.

    A silent upstream may be sound and go on, so a request leaves it only for one that has taken the
    request. Until then both are open, and what the first one sends is forwarded.

    Parameters
    ----------
    chooser : UpstreamChooser
        Chooses the other upstream.
    gate : SendGate
        Grants its permit.
    monitor : UpstreamMonitor
        Counts what is sent to cold upstreams.
    transmitter : Transmitter
        Sends the request.
    budgets : RetryBudgets
        Grant the retries that a move takes.
    on_refused : callable
        Called with a request, an upstream that did not take it, and its failure.
    nursery : trio.Nursery
        Closes the connections of requests that do not move.
    """

    __slots__ = (
        "_chooser",
        "_gate",
        "_monitor",
        "_transmitter",
        "_budgets",
        "_on_refused",
        "_nursery",
        "_taken",
    )

    def __init__(
        self,
        *,
        chooser: UpstreamChooser,
        gate: SendGate,
        monitor: UpstreamMonitor,
        transmitter: Transmitter,
        budgets: RetryBudgets,
        on_refused: Callable[[Exchange, Upstream, Failure], None],
        nursery: trio.Nursery,
    ) -> None:
        self._chooser = chooser
        self._gate = gate
        self._monitor = monitor
        self._transmitter = transmitter
        self._budgets = budgets
        self._on_refused = on_refused
        self._nursery = nursery
        self._taken: dict[Exchange, Assignment] = {}

    async def reserve(self, exchange: Exchange, leaving: str) -> bool:
        """
        Offer a request whose upstream is silent to others, until one takes it.

        Parameters
        ----------
        exchange : Exchange
            The request.
        leaving : str
            The silent upstream.

        Returns
        -------
        bool
            Whether the request may move; `take` then returns where it was taken.
        """
        if exchange.are_inputs_freed:
            # Another upstream would refuse it if the results are gone, but only once it is not
            # silent itself. The stages are run again if this one fails.
            return False
        passed_over = {leaving}
        # Asked before the permit, which can't be given back.
        while exchange.may_run_again() and self._budgets.may_move(exchange):
            upstream = self._choose_other(exchange, passed_over)
            if upstream is None or self._gate.check_send(exchange) is not None:
                return False
            place = await self._gate.take_permit(exchange, upstream, 0.0)
            if place is None or not await self._offer(exchange, upstream, place):
                passed_over.add(upstream.name)
                continue
            return True
        return False

    async def _offer(self, exchange: Exchange, upstream: Upstream, place: Place) -> bool:
        """Send a request to another upstream; return whether that has taken it."""
        tx: Transmission | Failure | None = None
        try:
            if self._budgets.try_move(exchange):
                self._monitor.record_send(upstream, exchange.service)
                tx = await self._transmitter.offer(exchange, upstream)
        finally:
            if not isinstance(tx, Transmission):
                is_rejected = isinstance(tx, Failure) and tx.reason is Reason.OVERLOADED
                self._gate.release(place, was_rejected=is_rejected)
        if isinstance(tx, Failure):
            self._on_refused(exchange, upstream, tx)
        if not isinstance(tx, Transmission):
            return False
        self._taken[exchange] = Assignment(upstream=upstream, place=place, taken=tx)
        return True

    def _choose_other(self, exchange: Exchange, passed_over: set[str]) -> Upstream | None:
        """Choose an upstream other than the one that has stopped, and those that refused."""
        added = passed_over - exchange.tried
        exchange.tried |= added
        try:
            return self._chooser.choose(exchange)
        finally:
            exchange.tried -= added

    def has_taken(self, exchange: Exchange) -> bool:
        """Return whether another upstream has taken a request."""
        return exchange in self._taken

    def take(self, exchange: Exchange) -> Assignment | None:
        """Return where a request was taken, if anywhere, to read the response there."""
        return self._taken.pop(exchange, None)

    def cancel(self, exchange: Exchange) -> None:
        """Withdraw a request that does not move, or has ended, from the other upstream."""
        assignment = self._taken.pop(exchange, None)
        if assignment is not None and assignment.taken is not None:
            self._gate.release(assignment.place, was_rejected=False)
            self._nursery.start_soon(self._transmitter.close, assignment.taken)

"""Budgets for requests that one entry sends more than once, by service."""

from __future__ import annotations

from marigoldtrail.policy.window_budget import WindowBudget
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.timers import Timers


class RetryBudgets:
    """
    Budgets of one entry, which has an equal share of those of the fleet.

    Parameters
    ----------
    bounds : Bounds
        Limits for the whole fleet.
    fleet_state : FleetState
        Number of entries.
    timers : Timers
        Clock.
    """

    __slots__ = ("_bounds", "_fleet_state", "_timers", "_budgets")

    def __init__(self, *, bounds: Bounds, fleet_state: FleetState, timers: Timers) -> None:
        self._bounds = bounds
        self._fleet_state = fleet_state
        self._timers = timers
        self._budgets: dict[str, WindowBudget] = {}

    def add_request(self, service: str) -> None:
        """Count a request of a caller for a service."""
        self._get_budget(service).add_request(self._timers.now())

    def may_move(self, exchange: Exchange) -> bool:
        """
        Return whether the budget grants that a request leaves its silent upstream for another one.

        A started response needs a second retry: if the other upstream fails, it has to go back.
        """
        return self._has_room(exchange, retries=1 + _lacks_way_back(exchange))

    def try_move(self, exchange: Exchange) -> bool:
        """Take what a request needs to leave its upstream; return whether it was granted."""
        if not self.may_move(exchange):
            return False
        if _lacks_way_back(exchange):
            self._get_budget(exchange.service.name).hold()
            exchange.holds_retry = True
        return self.try_take(exchange.service.name)

    def may_try_others(self, exchange: Exchange) -> bool:
        """Return whether a request may go to another upstream and still has its way back."""
        return not exchange.holds_retry or self._has_room(exchange)

    def try_send_again(self, exchange: Exchange) -> bool:
        """Take a retry, or use the one that a request holds; return whether there was one."""
        if self.try_take(exchange.service.name):
            return True
        if not exchange.holds_retry:
            return False
        exchange.holds_retry = False
        self._get_budget(exchange.service.name).use_held(self._timers.now())
        return True

    def release(self, exchange: Exchange) -> None:
        """Give the retry back that a request still holds, if any."""
        if exchange.holds_retry:
            self._get_budget(exchange.service.name).give_back()
            exchange.holds_retry = False

    def try_take(self, service: str) -> bool:
        """Take a retry of a service from the budget; return whether it was granted."""
        return self._get_budget(service).try_take(
            self._timers.now(), entries=self._fleet_state.entry_count()
        )

    def _has_room(self, exchange: Exchange, *, retries: int = 1) -> bool:
        return self._get_budget(exchange.service.name).has_room(
            self._timers.now(), entries=self._fleet_state.entry_count(), retries=retries
        )

    def _get_budget(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowBudget(
                ratio=self._bounds.retry_budget_ratio,
                slack=self._bounds.retry_budget_slack,
                window_s=self._bounds.budget_window_s,
            )
        return budget


def _lacks_way_back(exchange: Exchange) -> bool:
    """Return whether a request could not go back to its upstream without breaking its response."""
    return exchange.conn.has_started and not exchange.holds_retry

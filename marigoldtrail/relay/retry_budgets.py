"""Budgets for requests that one entry sends more than once, by service."""

from __future__ import annotations

from marigoldtrail.policy.window_budget import WindowBudget
from marigoldtrail.registry import FleetState
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

    def has_retry(self, service: str) -> bool:
        """Return whether the budget of a service would grant a retry."""
        return self._get_budget(service).has_room(
            self._timers.now(), entries=self._fleet_state.entry_count()
        )

    def try_take(self, service: str) -> bool:
        """Take a retry of a service from the budget; return whether it was granted."""
        return self._get_budget(service).try_take(
            self._timers.now(), entries=self._fleet_state.entry_count()
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

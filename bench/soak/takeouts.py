"""Take a data centre out of service and back in; check that no late order undoes the last one."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio

from bench.soak.callers import call
from bench.soak.fleet import CONTROL, Fleet
from bench.soak.ledger import Ledger
from bench.soak.upstreams import OTHER_DATA_CENTRE
from marigoldtrail.platform.standin import make_takeout_target

OUT, IN = "POST", "DELETE"
# An operator moves on to another host after a second, and sends an order for this time.
ANSWER_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 4.0
MAX_PAUSE_S = {OUT: 2.0, IN: 0.2}
# Time after the recovery in which requests already sent end, and requests that must not arrive.
SETTLE_S = 1.0
CHECKS = 40


class TakeoutOperator:
    """
    Operator of the data centre that is taken out of service and back in.

    Parameters
    ----------
    fleet : Fleet
        The site.
    count_runs : callable
        Returns how many requests have run in the data centre.
    rng : random.Random
        Draws hosts and pauses.

    Attributes
    ----------
    last : str
        The last order, if it was acknowledged, else empty.
    """

    __slots__ = ("last", "count_runs", "_fleet", "_rng")

    def __init__(self, *, fleet: Fleet, count_runs: Callable[[], int], rng: random.Random) -> None:
        self.last = ""
        self.count_runs = count_runs
        self._fleet = fleet
        self._rng = rng

    async def run(self) -> None:
        """Send orders in turn until cancelled."""
        while True:
            for method in (OUT, IN):
                await self.send(method)
                await trio.sleep(self._rng.uniform(0, MAX_PAUSE_S[method]))

    async def send(self, method: str, *, timeout_s: float = ORDER_TIMEOUT_S) -> bool:
        """Send an order to one host after the other; return whether it was acknowledged."""
        self.last = ""
        with trio.move_on_after(timeout_s):
            while True:
                address = self._fleet.operator_address(self._rng.choice(CONTROL))
                target = make_takeout_target(OTHER_DATA_CENTRE)
                reply = await call(address, method, target, timeout_s=ANSWER_TIMEOUT_S)
                if reply is not None and reply[0] == 200:
                    self.last = method
                    return True
                await trio.sleep(0.1)
        return False


async def check_takeout(
    operator: TakeoutOperator, send_requests: Callable[[], Awaitable[None]], ledger: Ledger
) -> None:
    """
    Check after the recovery that the last acknowledged order is in force, then take back in.

    Parameters
    ----------
    operator : TakeoutOperator
        The operator, whose orders have ended.
    send_requests : callable
        Sends requests that may run in the data centre while it is in service.
    ledger : Ledger
        Takes broken promises.
    """
    if operator.last == OUT:
        await trio.sleep(SETTLE_S)
        runs = operator.count_runs()
        for _ in range(CHECKS):
            await send_requests()
        if operator.count_runs() > runs:
            count = operator.count_runs() - runs
            ledger.report_violation(f"{count} requests ran in a data centre that was taken out")
    if not await operator.send(IN, timeout_s=40.0):
        ledger.report_violation("a data centre can't be taken back in after the faults")

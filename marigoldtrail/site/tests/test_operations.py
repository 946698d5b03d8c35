"""Operators' orders on data centres, as a control host passes them on."""

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.registry import NUMBER_IN_FORCE, FleetState
from marigoldtrail.schema.generated.registry import GetTakeout, RoutesOutcome, TakeoutReply
from marigoldtrail.site.continuity import ContinuityMonitor
from marigoldtrail.site.operations import Operations
from marigoldtrail.timers import Timers


class Leader:
    """A leader that is called by one control host, and the calls that it got."""

    def __init__(self, *, is_earlier_release=False, delay_s=0.0):
        self.is_earlier_release = is_earlier_release
        self.delay_s = delay_s
        self.orders = []
        timers = Timers(seed=1)
        self.suspension_s = 0.0
        self.operations = Operations(
            finder=self,
            fleet_state=FleetState(parse_document=lambda data: "", timers=timers),
            continuity=ContinuityMonitor(
                get_contact_time=trio.current_time,
                timers=Timers(get_suspension_s=lambda: self.suspension_s),
            ),
            timers=timers,
            data_centres=lambda: {"a"},
        )

    async def call(self, group, request, reply_type, **timeouts):
        await trio.sleep(self.delay_s)
        if not isinstance(request, GetTakeout):
            self.orders.append((request.out, request.after))
            return RoutesOutcome(outcome="in_force")
        if self.is_earlier_release:
            return Failure(reason=Reason.BAD_REQUEST, run_state=RunState.NOT_RUN, step="GetTakeout")
        return TakeoutReply(number=7)


async def test_order_names_the_last_change_before_it(autojump_clock):
    """Guards against an order that takes effect after a later one."""
    leader = Leader()
    assert await leader.operations.set_takeout("a", out=True) == RoutesOutcome(outcome="in_force")
    assert leader.orders == [(True, 7)]


async def test_leader_of_an_earlier_release_gets_orders_without_a_number(autojump_clock):
    """Guards against orders that fail while the fleet is upgraded."""
    leader = Leader(is_earlier_release=True)
    assert await leader.operations.set_takeout("a", out=True) == RoutesOutcome(outcome="in_force")
    assert leader.orders == [(True, NUMBER_IN_FORCE)]


async def test_order_is_not_passed_on_after_a_pause_of_its_host(autojump_clock, nursery):
    """Guards against an order whose operator left while the number was asked for."""
    leader = Leader(delay_s=0.2)

    async def suspend():
        await trio.sleep(0.1)
        leader.suspension_s = 3.0

    nursery.start_soon(suspend)
    outcome = await leader.operations.set_takeout("a", out=False)
    assert isinstance(outcome, Failure) and outcome.reason is Reason.STALE_EPOCH
    assert not leader.orders

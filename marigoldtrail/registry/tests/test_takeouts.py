"""Orders that take data centres out of service and back in, at the leader."""

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.registry import NUMBER_IN_FORCE, RegistryService
from marigoldtrail.registry.operator_changes import list_takeouts
from marigoldtrail.registry.tests.test_service import LeadingGroup
from marigoldtrail.schema.generated.registry import GetTakeout, RoutesOutcome, SetTakeout
from marigoldtrail.timers import Timers


async def read_nothing():
    return []


class Leader:
    """A leader that handles orders on data centre ``a``."""

    def __init__(self):
        group = LeadingGroup()
        self.machine = group.machine
        service = RegistryService(
            host="h1",
            group=group,
            machine=group.machine,
            parse_document=lambda data: "",
            read_upstreams=read_nothing,
            timers=Timers(seed=1),
        )
        self.handlers = service.get_handlers()

    async def read_number(self):
        reply = await self.handlers[GetTakeout](GetTakeout(data_centre="a"), "h2")
        return reply.number

    async def order(self, out, after):
        request = SetTakeout(data_centre="a", out=out, after=after)
        return await self.handlers[SetTakeout](request, "h2")

    @property
    def is_out(self):
        return list_takeouts(self.machine) == ["a"]


async def test_order_has_no_effect_after_a_later_one(autojump_clock):
    """Guards against an order that a host or the leader held up and that undoes a later one."""
    leader = Leader()
    number = await leader.read_number()
    assert await leader.order(False, number) == RoutesOutcome(outcome="in_force")
    assert await leader.order(True, await leader.read_number()) == RoutesOutcome(outcome="in_force")
    late = await leader.order(False, number + 1)
    assert isinstance(late, Failure) and late.reason is Reason.STALE_EPOCH
    assert leader.is_out


async def test_order_that_changes_nothing_precedes_opposite_ones(autojump_clock):
    """Guards against an opposite, older order in progress that is committed after this one."""
    leader = Leader()
    number = await leader.read_number()
    # The data centre is in service, and an order to take it out is on its way.
    assert await leader.order(False, number) == RoutesOutcome(outcome="in_force")
    assert isinstance(await leader.order(True, number), Failure)
    assert not leader.is_out


async def test_repeated_order_is_acknowledged_again(autojump_clock):
    """Guards against refusing an order whose first acknowledgement was lost."""
    leader = Leader()
    number = await leader.read_number()
    for _ in range(3):
        assert await leader.order(True, number) == RoutesOutcome(outcome="in_force")
    assert leader.is_out and await leader.read_number() == number + 1


async def test_order_of_an_earlier_release_takes_effect(autojump_clock):
    """Guards against refusing the orders that hosts of an earlier release pass on."""
    leader = Leader()
    assert await leader.order(True, NUMBER_IN_FORCE) == RoutesOutcome(outcome="in_force")
    assert leader.is_out
    assert await leader.order(False, NUMBER_IN_FORCE) == RoutesOutcome(outcome="in_force")
    assert not leader.is_out

"""Detection of pauses and cuts of a control host."""

import trio

from marigoldtrail.site.continuity import ContinuityMonitor
from marigoldtrail.timers import Timers


class Host:
    """A host whose machine can be suspended, and whose leader can fall silent."""

    def __init__(self, nursery):
        self.suspension_s = 0.0
        self.is_silent = False
        self.heard_at = float("-inf")
        self.monitor = ContinuityMonitor(
            get_contact_time=self.get_contact_time,
            timers=Timers(get_suspension_s=lambda: self.suspension_s),
        )
        nursery.start_soon(self.monitor.run)

    def get_contact_time(self):
        if not self.is_silent:
            self.heard_at = trio.current_time()
        return self.heard_at


async def test_suspended_host_takes_orders_for_old(autojump_clock, nursery):
    """Guards against an order that lay in the socket while the machine was suspended."""
    host = Host(nursery)
    await trio.sleep(1)
    assert host.monitor.is_continuous()
    host.suspension_s += 4.0
    assert not host.monitor.is_continuous()
    await trio.sleep(2)
    assert not host.monitor.is_continuous()
    await trio.sleep(1.1)
    assert host.monitor.is_continuous()


async def test_host_that_stood_still_takes_orders_for_old(autojump_clock, nursery):
    """Guards against an order that is read before the pause is noticed by a timer."""
    host = Host(nursery)
    await trio.sleep(1)
    # The event loop does not run meanwhile.
    autojump_clock.jump(0.6)
    assert not host.monitor.is_continuous()
    await trio.sleep(1.7)
    assert host.monitor.is_continuous()


async def test_short_pause_is_no_reason_to_refuse_orders(autojump_clock, nursery):
    """Guards against orders that are refused although their operator is known to wait."""
    host = Host(nursery)
    await trio.sleep(1)
    autojump_clock.jump(0.4)
    assert host.monitor.is_continuous()


async def test_host_that_heard_from_no_other_takes_orders_for_old(autojump_clock, nursery):
    """Guards against an order that a cut held up."""
    host = Host(nursery)
    await trio.sleep(1)
    host.is_silent = True
    await trio.sleep(2.4)
    assert host.monitor.is_continuous()
    await trio.sleep(0.3)
    assert not host.monitor.is_continuous()
    host.is_silent = False
    await trio.sleep(2.8)
    assert not host.monitor.is_continuous()
    await trio.sleep(0.4)
    assert host.monitor.is_continuous()


async def test_host_without_contact_since_its_start_accepts_orders(autojump_clock, nursery):
    """Guards against orders that are refused after the start of all hosts."""
    host = Host(nursery)
    host.is_silent = True
    await trio.sleep(5)
    host.is_silent = False
    assert host.monitor.is_continuous()

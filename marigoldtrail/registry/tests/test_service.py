"""Tasks of the leader of the fleet."""

import trio

from marigoldtrail.registry import RegistryService
from marigoldtrail.registry.state import RegistryState
from marigoldtrail.registry.tests.test_version_service import AppliedGroup, make_entries
from marigoldtrail.timers import Timers


class LeadingGroup(AppliedGroup):
    """A log group that this host leads all the time."""

    is_leader = True
    leads_with_whole_log = True

    async def read_barrier(self, *, timeout_s):
        return None

    async def run_while_leader(self, task):
        await task(self.term)


async def test_unexpected_errors_do_not_end_the_tasks_of_the_leader(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a leader that stops, or ends its process, because of one unexpected error."""
    calls = {"apply_upstreams": 0, "refresh_hosts": 0}

    def fail_once(name):
        original = getattr(RegistryState, name)

        def call(self, *args):
            calls[name] += 1
            if calls[name] == 1:
                raise RuntimeError("unexpected")
            return original(self, *args)

        monkeypatch.setattr(RegistryState, name, call)

    for name in calls:
        fail_once(name)

    async def read_upstreams():
        return make_entries("v1")

    group = LeadingGroup()
    service = RegistryService(
        host="h1",
        group=group,
        machine=group.machine,
        parse_document=lambda data: "",
        read_upstreams=read_upstreams,
        timers=Timers(seed=1),
    )
    nursery.start_soon(service.run)
    await trio.sleep(5)
    assert all(count >= 2 for count in calls.values())
    assert [item.upstream for item in service._registry.upstreams] == ["u-v1"]

"""The view's own checks, and the outcomes of calls to a log group."""

import zlib

import trio

from marigoldtrail.control.tests.harness import Fleet, manifest
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import FleetView, group_of_request, new_request_id, record_group_of
from marigoldtrail.schema.generated.control import GetManifest, ManifestReply, SyncReply
from marigoldtrail.timers import Timers


def reply_of(term, number, **changes):
    fields = {"revisions": {}, "manifest": zlib.compress(manifest(number)), **changes}
    return SyncReply(term=term, manifest_number=number, **fields)


async def test_view_refuses_what_is_older_or_unreadable(autojump_clock):
    """Guards against a view that reverts, or that is current with a manifest it cannot read."""
    view = FleetView(timers=Timers())
    assert view.apply(reply_of(2, 5), sent_at=trio.current_time())
    await trio.sleep(4.9)
    assert view.is_current()
    late = trio.current_time()
    assert not view.apply(reply_of(1, 6), sent_at=late)
    assert not view.apply(reply_of(3, 4), sent_at=late)
    assert not view.apply(reply_of(3, 6, manifest=b"garbage"), sent_at=late)
    assert not view.apply(reply_of(3, 6, manifest=zlib.compress(b'{"x": 1}')), sent_at=late)
    await trio.sleep(0.1)
    assert view.number == 5 and not view.is_current()


async def test_loads_belong_to_the_manifest_that_they_came_with(autojump_clock):
    """Guards against the load of one upstream shown for another after a change of manifest."""
    view = FleetView(timers=Timers())
    view.apply(reply_of(1, 1, loads=bytes([1, 2, 3, 4])), sent_at=0)
    assert view.load_of("llm-4") == 4 and view.load_of("other") == 0
    view.apply(reply_of(1, 2), sent_at=0)
    assert view.load_of("llm-4") == 0


def test_account_keeps_its_group():
    """Guards against records that are looked up in another group than they were stored in."""
    groups = [f"records-{number}" for number in range(20)]
    for account in ("acme", "Kibanda Pinata Works", "žlutý"):
        group = record_group_of(account, groups)
        assert group_of_request(new_request_id(account, groups), groups) == group
    # Fixed by the format of stored ids: a change would lose every record.
    assert record_group_of("acme", groups) == "records-8"


async def test_call_reports_a_try_that_may_have_run(autojump_clock, nursery):
    """Guards against `not_run` for a command that an earlier try may have delivered."""
    fleet = Fleet(nursery, controls=3)
    await trio.sleep(0.5)
    fleet.log.elect("c1")
    await trio.sleep(2)
    fleet.network.cut(fleet.ips["c1"], fleet.ips["c2"], both_ways=False)
    client = fleet["c2"].client
    reply = await client.call_group("config", GetManifest(), ManifestReply, timeout_s=2)
    assert isinstance(reply, Failure) and reply.run_state is RunState.MAY_HAVE_RUN
    started = trio.current_time()
    reply = await fleet["c3"].client.get_manifest()
    assert reply.reason is Reason.NOT_FOUND and trio.current_time() - started < 0.1
    missing = await client.call_group("records-9", GetManifest(), ManifestReply)
    assert missing.run_state is RunState.NOT_RUN

"""State of the fleet on one host, and its updates by the leader's replies."""

import zlib

import trio

from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.registry import FleetState, HostReporter
from marigoldtrail.registry.fleet_state import LEAVING_FALLBACK_S
from marigoldtrail.routing import Limits, RouteTable
from marigoldtrail.schema.generated.registry import (
    HostEntry,
    HostReport,
    HostReportReply,
    UpstreamEntry,
)
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers


def parse(data):
    if not data.isdigit():
        return "not a number"
    return RouteTable(version=int(data), routes=(), services=(), limits=Limits(), accounts=None)


def make_fleet_state():
    return FleetState(parse_document=parse, timers=Timers(seed=1))


def reply(*, term=1, version=0, document=None, revisions=None, **fields):
    data = str(version).encode() if document is None else document
    return HostReportReply(
        term=term,
        revisions=revisions or {},
        routes=zlib.compress(data) if version else b"",
        routes_version=version,
        **fields,
    )


def upstream(name, *, state="ready", data_centre="a", service="s", cold_ms=0):
    return UpstreamEntry(
        upstream=name,
        service=service,
        address="10.0.0.1:1",
        data_centre=data_centre,
        slots=1,
        state=state,
        cold_ms=cold_ms,
    )


async def test_configuration_version_never_decreases(autojump_clock):
    """Guards against a new leader or a late reply that restores an older configuration."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(version=5), sent_at=0.0)
    fleet_state.apply(reply(version=4), sent_at=0.0)
    fleet_state.apply(reply(term=2, version=3), sent_at=0.0)
    assert fleet_state.version() == 5
    fleet_state.apply(reply(term=2, version=6), sent_at=0.0)
    assert fleet_state.version() == 6


async def test_reply_of_a_deposed_leader_is_ignored(autojump_clock):
    """Guards against applying replies of a deposed leader."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(term=3, hosts=[], revisions={"hosts": 1}), sent_at=5.0)
    old = HostEntry(host="h", role="entry", data_centre="a", region="r")
    fleet_state.apply(reply(term=2, version=9, hosts=[old], revisions={"hosts": 8}), sent_at=9.0)
    assert fleet_state.hosts == [] and fleet_state.version() == 0
    assert fleet_state.revisions == {"hosts": 1} and fleet_state.confirmed_at == 5.0


async def test_new_leader_resets_the_revisions(autojump_clock):
    """Guards against a section never being sent because two leaders use the same revision."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(revisions={"hosts": 7, "upstreams": 3}), sent_at=0.0)
    fleet_state.apply(reply(term=2, revisions={"hosts": 1}), sent_at=0.0)
    assert fleet_state.revisions == {"hosts": 1}


async def test_unreadable_configuration_leaves_the_last_one_in_force(autojump_clock):
    """Guards against a host losing its routes because it cannot decode newer ones."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(version=5), sent_at=0.0)
    fleet_state.apply(reply(version=6, document=b"from a newer release"), sent_at=0.0)
    assert fleet_state.version() == 5


async def test_only_upstreams_in_service_are_usable(autojump_clock):
    """Guards against new work for upstreams that leave, are out of service or do not match."""
    fleet_state = make_fleet_state()
    entries = [
        upstream("ready"),
        upstream("leaving", state="draining"),
        upstream("taken out", data_centre="b"),
        upstream("other", service="t"),
    ]
    fleet_state.apply(reply(upstreams=entries, takeouts=["b"]), sent_at=0.0)
    assert [u.name for u in fleet_state.usable_upstreams("s")] == ["ready"]
    fleet_state.apply(reply(takeouts=[]), sent_at=0.0)
    assert [u.name for u in fleet_state.usable_upstreams("s")] == ["ready", "taken out"]


async def test_cold_time_is_counted_from_the_reply(autojump_clock):
    """Guards against an upstream that stays cold forever or is treated as warm immediately."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(upstreams=[upstream("u", cold_ms=1500)]), sent_at=0.0)
    left_s = fleet_state.upstreams["u"].cold_until - trio.current_time()
    assert abs(left_s - 1.5) < 1e-6


async def test_waiting_tasks_are_notified_of_changes(autojump_clock):
    """Guards against a scheduler that plans with removed upstreams."""
    fleet_state = make_fleet_state()
    woken = []

    async def wait():
        await fleet_state.changed.wait()
        woken.append(len(fleet_state.upstreams))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.sleep(0.1)
        fleet_state.apply(reply(loads=[]), sent_at=0.0)
        await trio.sleep(0.1)
        assert woken == []
        fleet_state.apply(reply(upstreams=[upstream("u")]), sent_at=0.0)
    assert woken == [1]


async def test_leaving_upstream_is_not_used_until_it_restarts(autojump_clock):
    """Guards against an older list of the leader that undoes the mark of a leaving upstream."""
    fleet_state = make_fleet_state()
    both = [upstream("one"), upstream("two")]
    fleet_state.apply(reply(upstreams=both), sent_at=0.0)
    fleet_state.mark_leaving("one")
    fleet_state.mark_leaving("unknown")
    assert [u.name for u in fleet_state.usable_upstreams("s")] == ["two"]
    fleet_state.apply(reply(upstreams=both), sent_at=0.0)
    assert [u.name for u in fleet_state.usable_upstreams("s")] == ["two"]
    assert [u.upstream for u in fleet_state.leaving_upstreams()] == ["one"]
    both[0].born_ms = 77
    fleet_state.apply(reply(upstreams=both), sent_at=0.0)
    assert [u.name for u in fleet_state.usable_upstreams("s")] == ["one", "two"]
    assert not fleet_state.leaving_upstreams()


async def test_leaving_upstreams_are_used_for_a_limited_time_if_no_other_is_left(autojump_clock):
    """Guards against requests being refused while leaving upstreams still serve."""
    fleet_state = make_fleet_state()
    fleet_state.apply(reply(upstreams=[upstream("one"), upstream("two")]), sent_at=0.0)
    fleet_state.mark_leaving("one")
    fleet_state.mark_leaving("two")
    assert len(fleet_state.usable_upstreams("s")) == 2
    await trio.sleep(LEAVING_FALLBACK_S + 0.1)
    assert not fleet_state.usable_upstreams("s")


async def test_malformed_reply_of_the_leader_does_not_end_the_reports(autojump_clock, nursery):
    """Guards against a reply that cannot be applied ending the host's process."""
    network = MemoryNetwork(seed=1)
    timers = Timers(seed=1)
    address = Address("10.0.0.1", 7740)
    replies = [reply(version=1), reply(version=2)]
    replies[0].routes = b"no zlib data"

    async def answer(request, sender):
        await trio.sleep(0.05)
        return replies.pop(0) if len(replies) > 1 else replies[0]

    async def serve(task_status):
        await serve_peers(
            network.endpoint(address.ip),
            address,
            {HostReport: answer},
            host=str(address),
            task_status=task_status,
        )

    await nursery.start(serve)
    fleet_state = make_fleet_state()
    reporter = HostReporter(
        identity=HostReport(host="e", incarnation=1, role="entry", data_centre="a", region="r"),
        fleet_state=fleet_state,
        peers=PeerClient(network=network.endpoint("10.0.0.2"), host="e", nursery=nursery),
        timers=timers,
        seeds=[str(address)],
    )
    nursery.start_soon(reporter.run)
    await trio.sleep(2)
    assert fleet_state.version() == 2

"""State of the upstreams on an entry."""

import trio

from marigoldtrail.registry import FleetState
from marigoldtrail.relay import UpstreamMonitor
from marigoldtrail.routing import EngineSpec, Limits, RouteTable, Service, Upstream, build_index
from marigoldtrail.schema.generated.registry import HostReportReply
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.timers import Timers

SERVICE = Service(name="s", max_connections=9, cold_start_s=3.0, max_cold_requests_per_s=6.6)


def make_upstream(name, **fields):
    return Upstream(
        name=name, service="s", address="10.0.0.1:1", data_centre="a", slots=4, **fields
    )


def make_monitors(count):
    """Return the fleet state of the first entry, and the monitors of all entries."""
    timers = Timers(seed=1)
    fleet_states = [FleetState(parse_document=lambda data: "", timers=timers) for _ in range(count)]
    for number, fleet_state in enumerate(fleet_states):
        reply = HostReportReply(term=1, revisions={}, entry_count=count, turn=number / count)
        fleet_state.apply(reply, sent_at=0.0)
    monitors = [
        UpstreamMonitor(fleet_state=state, data_centre="a", timers=timers) for state in fleet_states
    ]
    return fleet_states[0], monitors


async def test_all_entries_together_respect_cold_rate_limit(autojump_clock):
    """Guards against a cold upstream that crashes because each entry uses the whole limit."""
    bounds = Bounds()
    for count in (1, 8, 76):
        _, monitors = make_monitors(count)
        upstream = make_upstream("cold", cold_until=trio.current_time() + 60)
        sent = []
        for _ in range(400):
            for monitor in monitors:
                if monitor.list_options([upstream], SERVICE):
                    monitor.record_send(upstream, SERVICE)
                    sent.append(trio.current_time())
            await trio.sleep(0.05)
        limit = SERVICE.max_cold_requests_per_s * bounds.cold_over + bounds.cold_slack
        assert len(sent) > 40
        assert all(sum(t <= other < t + 1 for other in sent) <= limit for t in sent)


async def test_unresponsive_upstream_is_ejected_temporarily(autojump_clock):
    """Guards against further requests to a dead upstream, and against a permanent ejection."""
    _, (monitor,) = make_monitors(1)
    upstreams = [make_upstream("dead"), make_upstream("alive")]
    monitor.record_failure("dead", is_dead=True)
    assert [o.name for o in monitor.list_options(upstreams, SERVICE)] == ["alive"]
    assert monitor.get_ejected() == {"dead"}
    await trio.sleep(1)
    assert len(monitor.list_options(upstreams, SERVICE)) == 2
    monitor.record_failure("dead", is_dead=True)
    monitor.record_failure("alive", is_dead=True)
    assert len(monitor.list_options(upstreams, SERVICE)) == 2


async def test_failing_and_slow_upstreams_are_distinguished_from_others(autojump_clock):
    """Guards against an undetected upstream that fails requests but passes its health check."""
    _, (monitor,) = make_monitors(1)
    upstreams = [make_upstream(name) for name in ("grey", "slow", "b", "c")]
    for _ in range(10):
        monitor.record_failure("grey", is_dead=False)
        monitor.record_success("grey", 0.02)
        monitor.record_success("slow", 0.2)
        monitor.record_success("b", 0.02)
        monitor.record_success("c", 0.02)
    found = {option.name: option for option in monitor.list_options(upstreams, SERVICE)}
    assert found["grey"].failure_rate > 0.1 and found["b"].failure_rate == 0
    assert found["slow"].slowness > 5 and found["b"].slowness < 1.1


async def test_load_of_other_entries_is_added(autojump_clock):
    """Guards against entries that each count only their own part of an upstream's load."""
    fleet_state, (monitor,) = make_monitors(1)
    upstream = make_upstream("a")
    monitor.start_request("a", 100)
    assert [load.requests for load in monitor.report_loads()] == [1]
    fleet_state.loads = {"a": 5}
    (option,) = monitor.list_options([upstream], SERVICE)
    assert (option.requests, option.prefill_tokens) == (5, 100)
    monitor.finish_prefill("a", 100)
    monitor.finish_request("a")
    (option,) = monitor.list_options([upstream], SERVICE)
    assert (option.requests, option.prefill_tokens) == (4, 0)


async def test_load_of_engines_is_not_reported(autojump_clock):
    """Guards against load sums of all engines sent to every entry several times a second."""
    fleet_state, (monitor,) = make_monitors(1)
    engine = Service(name="s", max_connections=9, engine=EngineSpec(slots=8, kv_cache_tokens=1000))
    table = RouteTable(version=1, routes=(), services=(engine,), limits=Limits(), accounts=None)
    fleet_state.routes = build_index(table)
    fleet_state.upstreams = {"e": make_upstream("e")}
    monitor.start_request("e", 100)
    monitor.start_request("plain")
    assert [load.upstream for load in monitor.report_loads()] == ["plain"]


async def test_pause_outlasts_a_list_without_the_upstream(autojump_clock):
    """Guards against requests within the Retry-After of an upstream left out for a while."""
    _, (monitor,) = make_monitors(1)
    upstreams = [make_upstream("a"), make_upstream("b")]
    monitor.start_pause("a", 5.0)
    monitor.remove_except({"b"})
    assert [o.name for o in monitor.list_options(upstreams, SERVICE)] == ["b"]
    await trio.sleep(5.1)
    assert len(monitor.list_options(upstreams, SERVICE)) == 2
    monitor.remove_except({"b"})
    assert "a" not in monitor._records

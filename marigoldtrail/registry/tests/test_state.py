"""The leader's soft state: hosts, upstreams and loads."""

import trio

from marigoldtrail.registry import state
from marigoldtrail.registry.state import HOST_TIMEOUT_S, SETTLE_S, RegistryState
from marigoldtrail.schema.generated.registry import (
    HostReport,
    LeavingUpstream,
    ListEntries,
    UpstreamEntry,
    UpstreamLoad,
)
from marigoldtrail.timers import Timers


def report(host, *, incarnation=1, **fields):
    return HostReport(
        host=host, incarnation=incarnation, role="entry", data_centre="a", region="r", **fields
    )


def upstream(name, **fields):
    values = {"service": "s", "address": "10.0.0.1:1", "data_centre": "a", "slots": 1}
    return UpstreamEntry(upstream=name, state="ready", **{**values, **fields})


def names(registry):
    return [host.host for host in registry.hosts()]


async def test_hosts_that_stop_reporting_are_removed(autojump_clock):
    """Guards against callers being directed to a host that no longer reports."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    registry.record_report(report("one"))
    registry.record_report(report("two"))
    revision = registry.hosts_revision
    await trio.sleep(HOST_TIMEOUT_S * 0.7)
    registry.record_report(report("two"))
    await trio.sleep(HOST_TIMEOUT_S * 0.7)
    registry.refresh_hosts()
    assert names(registry) == ["two"] and registry.hosts_revision == revision + 1


async def test_all_hosts_that_stop_reporting_are_removed_whenever_they_began(autojump_clock):
    """Guards against lost hosts that stay listed behind one that reports for longer."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    for name in ("one", "two", "three", "four"):
        registry.record_report(report(name))
    for name in ("three", "one"):
        await trio.sleep(HOST_TIMEOUT_S * 0.55)
        registry.record_report(report(name))
    registry.refresh_hosts()
    assert names(registry) == ["one", "three"]


async def test_report_costs_the_leader_no_look_at_other_hosts(autojump_clock, monkeypatch):
    """Guards against a leader whose work grows with the square of the number of hosts."""
    described, hosts = [], [f"e{number}" for number in range(191)]
    make_host_entry = state.make_host_entry

    def describe(received):
        described.append(received.host)
        return make_host_entry(received)

    monkeypatch.setattr(state, "make_host_entry", describe)
    registry = RegistryState(term=1, timers=Timers(seed=1))
    for host in hosts * 2:
        registry.record_report(report(host))
    assert described == hosts * 2


async def test_report_of_an_earlier_incarnation_is_ignored(autojump_clock):
    """Guards against a delayed report that restores the state before a host's restart."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    assert registry.record_report(report("one", incarnation=2, ready=False))
    assert not registry.record_report(report("one", incarnation=1, ready=True))
    assert not registry.hosts()[0].ready
    # Incarnations are wall times. A clock that was set back must not exclude a host for longer
    # than missed reports would.
    await trio.sleep(HOST_TIMEOUT_S + 0.1)
    registry.refresh_hosts()
    assert registry.record_report(report("one", incarnation=1))


async def test_unchanged_reports_change_no_revision(autojump_clock):
    """Guards against sending the list of all hosts again after every report."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    registry.record_report(report("one"))
    revision = registry.hosts_revision
    registry.record_report(report("one"))
    assert registry.hosts_revision == revision
    registry.record_report(report("one", ready=True))
    assert registry.hosts_revision == revision + 1


async def test_list_revision_ignores_remaining_cold_time(autojump_clock):
    """Guards against sending the list again whenever a remaining cold time decreases."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    registry.apply_upstreams([upstream("b", cold_ms=900), upstream("a")])
    assert registry.upstreams_revision == 1
    registry.apply_upstreams([upstream("a"), upstream("b", cold_ms=400)])
    assert registry.upstreams_revision == 1
    for entries in (
        [upstream("a"), upstream("b")],
        [upstream("a"), upstream("b", born_ms=5)],
        [upstream("a")],
        [],
    ):
        revision = registry.upstreams_revision
        registry.apply_upstreams(entries)
        assert registry.upstreams_revision == revision + 1


async def test_loads_are_summed_over_the_entries_that_report(autojump_clock):
    """Guards against an engine that seems idle because an entry sees only its own requests."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    for host, requests in (("one", 2), ("two", 3)):
        load = UpstreamLoad(upstream="e", requests=requests)
        registry.record_report(report(host, loads=[load]))
    (load,) = registry.loads()
    assert (load.upstream, load.requests) == ("e", 5)


async def test_new_leader_waits_for_reports_of_all_hosts(autojump_clock):
    """Guards against a list of hosts that becomes empty at each change of leader."""
    registry = RegistryState(term=2, timers=Timers(seed=1))
    assert not registry.is_settled()
    await trio.sleep(SETTLE_S)
    assert registry.is_settled()


async def test_loads_follow_new_reports_and_lost_hosts(autojump_clock):
    """Guards against work that is counted twice, or after its entry has stopped reporting."""
    registry = RegistryState(term=1, timers=Timers(seed=1))

    def sums():
        return {load.upstream: load.requests for load in registry.loads()}

    def load(name, requests):
        return UpstreamLoad(upstream=name, requests=requests)

    registry.record_report(report("one", loads=[load("e", 2), load("f", 1)]))
    registry.record_report(report("two", loads=[load("e", 3)]))
    assert sums() == {"e": 5, "f": 1}
    registry.record_report(report("one", loads=[load("e", 1)]))
    assert sums() == {"e": 4}
    await trio.sleep(HOST_TIMEOUT_S * 0.7)
    registry.record_report(report("one", loads=[load("e", 1)]))
    await trio.sleep(HOST_TIMEOUT_S * 0.7)
    registry.refresh_hosts()
    assert sums() == {"e": 1}
    registry.record_report(report("one"))
    assert sums() == {}


def states(registry):
    return {entry.upstream: entry.state for entry in registry.upstreams}


async def test_leaving_upstream_is_announced_to_all_hosts(autojump_clock):
    """Guards against requests from hosts to which a leaving upstream has not announced it."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    listed = [upstream("one", born_ms=5), upstream("two", born_ms=5)]
    registry.apply_upstreams(listed)
    revision = registry.upstreams_revision
    leaving = [LeavingUpstream(upstream="one", born_ms=5)]
    registry.record_report(report("a", leaving=leaving))
    assert states(registry) == {"one": "draining", "two": "ready"}
    assert registry.upstreams_revision == revision + 1
    registry.record_report(report("a", leaving=leaving))
    registry.apply_upstreams(listed)
    assert registry.upstreams_revision == revision + 1
    registry.apply_upstreams([upstream("one", born_ms=9), upstream("two", born_ms=5)])
    assert states(registry)["one"] == "ready"
    registry.record_report(report("b", leaving=leaving))
    assert states(registry)["one"] == "ready"


async def test_restart_of_an_entry_is_not_sent_to_other_entries(autojump_clock):
    """Guards against sending a list of 200 hosts to 200 hosts whenever one of them restarts."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    entries = [f"e-{number:03}" for number in range(191)]
    for name in entries:
        registry.record_report(report(name, ready=True))
    registry.record_report(
        HostReport(host="c", incarnation=1, role="control", data_centre="a", region="r")
    )
    known = registry.hosts_revision_for("entry"), registry.hosts_revision_for("control")
    registry.record_report(report(entries[0], ready=False))
    registry.record_report(report(entries[0], incarnation=2, ready=True))
    assert registry.hosts_revision_for("entry") == known[0]
    assert registry.hosts_revision_for("control") == known[1] + 2
    assert [host.host for host in registry.hosts("entry")] == ["c"]
    assert len(registry.hosts("control")) == 192 and registry.entry_count == 191
    positions = [registry.position_of(name) for name in entries]
    assert positions == sorted(set(positions)) and positions[0] == 0.0 and positions[-1] < 1.0


async def test_entries_that_are_cut_off_or_not_ready_are_not_listed_to_others(autojump_clock):
    """Guards against requests that are forwarded to an entry which can't serve them."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    changes = {"self": {}, "cut": {"is_cut_off": True}, "starting": {"ready": False}, "sound": {}}
    for host, fields in changes.items():
        values = {"ready": True, **fields}
        registry.record_report(report(host, request_address=f"{host}:1", **values))
    request = ListEntries(host="self", region="r")
    assert registry.list_connected_entries(request) == ["sound:1"]
    assert registry.list_connected_entries(ListEntries(host="self", region="q")) == []

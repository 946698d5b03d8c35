"""What the leader knows of hosts and upstreams."""

import trio

from marigoldtrail.registry.board import HOST_LOST_S, SETTLE_S, LeaderBoard
from marigoldtrail.schema.generated.registry import (
    HostReport,
    LeavingUpstream,
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


def names(board):
    return [host.host for host in board.hosts()]


async def test_silent_hosts_are_taken_off_the_list(autojump_clock):
    """Guards against callers that are sent to a host which is gone."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    board.take_report(report("one"))
    board.take_report(report("two"))
    revision = board.hosts_revision
    await trio.sleep(HOST_LOST_S * 0.7)
    board.take_report(report("two"))
    await trio.sleep(HOST_LOST_S * 0.7)
    board.refresh_hosts()
    assert names(board) == ["two"] and board.hosts_revision == revision + 1


async def test_report_of_an_earlier_start_is_not_taken(autojump_clock):
    """Guards against a delayed report that brings back what a host said before its restart."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    assert board.take_report(report("one", incarnation=2, ready=False))
    assert not board.take_report(report("one", incarnation=1, ready=True))
    assert not board.hosts()[0].ready
    # A clock that was set back must not keep a host out for longer than a silence would.
    await trio.sleep(HOST_LOST_S + 0.1)
    board.refresh_hosts()
    assert board.take_report(report("one", incarnation=1))


async def test_reports_without_news_change_no_revision(autojump_clock):
    """Guards against a list of all hosts that is sent again with each report."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    board.take_report(report("one"))
    revision = board.hosts_revision
    board.take_report(report("one"))
    assert board.hosts_revision == revision
    board.take_report(report("one", ready=True))
    assert board.hosts_revision == revision + 1


async def test_list_changes_only_with_what_hosts_act_on(autojump_clock):
    """Guards against a list that is sent to all hosts with each reading of a falling time."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    board.take_upstreams([upstream("b", cold_ms=900), upstream("a")])
    assert board.upstreams_revision == 1
    board.take_upstreams([upstream("a"), upstream("b", cold_ms=400)])
    assert board.upstreams_revision == 1
    for entries in (
        [upstream("a"), upstream("b")],
        [upstream("a"), upstream("b", born_ms=5)],
        [upstream("a")],
        [],
    ):
        revision = board.upstreams_revision
        board.take_upstreams(entries)
        assert board.upstreams_revision == revision + 1


async def test_loads_are_summed_over_the_entries_that_report(autojump_clock):
    """Guards against an engine that looks idle since each entry counts its own requests only."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    for host, requests in (("one", 2), ("two", 3)):
        load = UpstreamLoad(upstream="e", requests=requests)
        board.take_report(report(host, loads=[load]))
    (load,) = board.loads()
    assert (load.upstream, load.requests) == ("e", 5)


async def test_new_leader_waits_for_the_hosts(autojump_clock):
    """Guards against a list of hosts that shrinks to nothing with each change of the leader."""
    board = LeaderBoard(term=2, timers=Timers(seed=1))
    assert not board.is_settled()
    await trio.sleep(SETTLE_S)
    assert board.is_settled()


async def test_loads_follow_new_reports_and_lost_hosts(autojump_clock):
    """Guards against work that is counted twice, or stays counted after its entry is gone."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))

    def sums():
        return {load.upstream: load.requests for load in board.loads()}

    def load(name, requests):
        return UpstreamLoad(upstream=name, requests=requests)

    board.take_report(report("one", loads=[load("e", 2), load("f", 1)]))
    board.take_report(report("two", loads=[load("e", 3)]))
    assert sums() == {"e": 5, "f": 1}
    board.take_report(report("one", loads=[load("e", 1)]))
    assert sums() == {"e": 4}
    await trio.sleep(HOST_LOST_S * 0.7)
    board.take_report(report("one", loads=[load("e", 1)]))
    await trio.sleep(HOST_LOST_S * 0.7)
    board.refresh_hosts()
    assert sums() == {"e": 1}
    board.take_report(report("one"))
    assert sums() == {}


def states(board):
    return {entry.upstream: entry.state for entry in board.upstreams}


async def test_all_hosts_are_told_of_an_upstream_that_leaves(autojump_clock):
    """Guards against requests of hosts which an upstream that leaves has not answered."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    listed = [upstream("one", born_ms=5), upstream("two", born_ms=5)]
    board.take_upstreams(listed)
    revision = board.upstreams_revision
    leaving = [LeavingUpstream(upstream="one", born_ms=5)]
    board.take_report(report("a", leaving=leaving))
    assert states(board) == {"one": "draining", "two": "ready"}
    assert board.upstreams_revision == revision + 1
    board.take_report(report("a", leaving=leaving))
    board.take_upstreams(listed)
    assert board.upstreams_revision == revision + 1
    board.take_upstreams([upstream("one", born_ms=9), upstream("two", born_ms=5)])
    assert states(board)["one"] == "ready"
    board.take_report(report("b", leaving=leaving))
    assert states(board)["one"] == "ready"


async def test_restarts_of_entries_are_no_news_for_other_entries(autojump_clock):
    """Guards against a list of 200 hosts for each of 200 hosts whenever one of them restarts."""
    board = LeaderBoard(term=1, timers=Timers(seed=1))
    entries = [f"e-{number:03}" for number in range(191)]
    for name in entries:
        board.take_report(report(name, ready=True))
    board.take_report(
        HostReport(host="c", incarnation=1, role="control", data_centre="a", region="r")
    )
    known = board.hosts_revision_for("entry"), board.hosts_revision_for("control")
    board.take_report(report(entries[0], ready=False))
    board.take_report(report(entries[0], incarnation=2, ready=True))
    assert board.hosts_revision_for("entry") == known[0]
    assert board.hosts_revision_for("control") == known[1] + 2
    assert [host.host for host in board.hosts("entry")] == ["c"]
    assert len(board.hosts("control")) == 192 and board.entry_count == 191
    turns = [board.turn_of(name) for name in entries]
    assert turns == sorted(set(turns)) and turns[0] == 0.0 and turns[-1] < 1.0

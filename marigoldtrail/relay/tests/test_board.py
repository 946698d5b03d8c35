"""What an entry knows of the upstreams."""

import trio

from marigoldtrail.registry import FleetPicture
from marigoldtrail.relay import UpstreamBoard
from marigoldtrail.routing import EngineSpec, Limits, RouteTable, Service, Upstream, build_index
from marigoldtrail.schema.generated.registry import HostReportReply
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.timers import Timers

SERVICE = Service(name="s", max_connections=9, cold_start_s=3.0, cold_rate=6.6)


def make_upstream(name, **fields):
    return Upstream(
        name=name, service="s", address="10.0.0.1:1", data_centre="a", slots=4, **fields
    )


def make_boards(count):
    """Return the boards of some entries, and the picture of the first one."""
    timers = Timers(seed=1)
    pictures = [FleetPicture(parse_document=lambda data: "", timers=timers) for _ in range(count)]
    for number, picture in enumerate(pictures):
        reply = HostReportReply(term=1, revisions={}, entry_count=count, turn=number / count)
        picture.apply(reply, sent_at=0.0)
    boards = [UpstreamBoard(picture=p, data_centre="a", timers=timers) for p in pictures]
    return pictures[0], boards


async def test_cold_upstream_gets_no_more_than_it_bears_from_all_entries(autojump_clock):
    """Guards against a cold upstream that crashes because each entry sends as much as it may."""
    bounds = Bounds()
    for count in (1, 8, 76):
        _, boards = make_boards(count)
        upstream = make_upstream("cold", cold_until=trio.current_time() + 60)
        sent = []
        for _ in range(400):
            for board in boards:
                if board.options([upstream], SERVICE):
                    board.note_sent(upstream, SERVICE)
                    sent.append(trio.current_time())
            await trio.sleep(0.05)
        limit = SERVICE.cold_rate * bounds.cold_over + bounds.cold_slack
        assert len(sent) > 40
        assert all(sum(t <= other < t + 1 for other in sent) <= limit for t in sent)


async def test_upstream_that_does_not_answer_is_left_alone_for_a_while(autojump_clock):
    """Guards against requests that go on to a dead upstream, and one that never comes back."""
    _, (board,) = make_boards(1)
    upstreams = [make_upstream("dead"), make_upstream("alive")]
    board.fail("dead", is_dead=True)
    assert [o.name for o in board.options(upstreams, SERVICE)] == ["alive"]
    assert board.ejected() == {"dead"}
    await trio.sleep(1)
    assert len(board.options(upstreams, SERVICE)) == 2
    board.fail("dead", is_dead=True)
    board.fail("alive", is_dead=True)
    assert len(board.options(upstreams, SERVICE)) == 2


async def test_failing_and_slow_upstreams_are_told_from_their_peers(autojump_clock):
    """Guards against an upstream that fails part of its requests while its check is good."""
    _, (board,) = make_boards(1)
    upstreams = [make_upstream(name) for name in ("grey", "slow", "b", "c")]
    for _ in range(10):
        board.fail("grey", is_dead=False)
        board.succeed("grey", 0.02)
        board.succeed("slow", 0.2)
        board.succeed("b", 0.02)
        board.succeed("c", 0.02)
    found = {option.name: option for option in board.options(upstreams, SERVICE)}
    assert found["grey"].failure_rate > 0.1 and found["b"].failure_rate == 0
    assert found["slow"].slowness > 5 and found["b"].slowness < 1.1


async def test_work_of_other_entries_counts(autojump_clock):
    """Guards against entries that each see only their own share of an upstream's load."""
    picture, (board,) = make_boards(1)
    upstream = make_upstream("a")
    board.begin("a", 100)
    assert [load.requests for load in board.report()] == [1]
    picture.loads = {"a": 5}
    (option,) = board.options([upstream], SERVICE)
    assert (option.requests, option.prefill_tokens) == (5, 100)
    board.end_prefill("a", 100)
    board.end("a")
    (option,) = board.options([upstream], SERVICE)
    assert (option.requests, option.prefill_tokens) == (4, 0)


async def test_work_at_engines_is_not_reported(autojump_clock):
    """Guards against sums over all engines that are sent to all entries several times a second."""
    picture, (board,) = make_boards(1)
    engine = Service(name="s", max_connections=9, engine=EngineSpec(slots=8, kv_tokens=1000))
    table = RouteTable(version=1, routes=(), services=(engine,), limits=Limits(), accounts=None)
    picture.routes = build_index(table)
    picture.upstreams = {"e": make_upstream("e")}
    board.begin("e", 100)
    board.begin("plain")
    assert [load.upstream for load in board.report()] == ["plain"]

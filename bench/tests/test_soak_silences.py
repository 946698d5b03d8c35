"""Tests of the soak test: silences of sound upstreams."""

import pytest
import trio
import trio.testing

from bench.soak.end_counts import GIVEN_UP, UNANSWERED, judge_given_up, parse_counts
from bench.soak.fleet import CONTROL, ENTRIES
from bench.soak.ledger import Attempt
from bench.soak.planned import RELOAD, Disruption, PlannedWork, judge_planned_work
from bench.soak.proxy import Proxy
from bench.soak.run import SILENCES, run_seed
from bench.soak.silences import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    SECOND_GAP_S,
    Silence,
    SilentTime,
    draw_reloads_within,
    draw_silence_signals,
    draw_silences,
    judge_silences,
)
from bench.tests.helpers import SECONDS, SERVICES, make_ledger
from marigoldtrail.net import Address
from marigoldtrail.telemetry.prometheus import PrometheusMetrics

# Lets all upstreams fall silent for longer than a cut is found in, beside reloads and stops.
SILENT_SEED = 4


async def test_nothing_is_lost_in_a_sound_silence(network):
    """Guards against a silence that loses bytes or connections, or that lets them through."""
    silence_s = 0.3
    async with trio.open_nursery() as nursery:
        proxy = Proxy(nursery=nursery)

        async def echo(stream):
            async for data in stream:
                await stream.send_all(data)
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        advertised = Address(f"{network}.0.1", 7001)
        await proxy.forward(advertised, Address("127.0.0.1", port))
        stream = await trio.open_tcp_stream(advertised.ip, advertised.port)

        async def talk():
            await stream.send_all(b"one")
            assert await stream.receive_some(10) == b"one"
            return trio.current_time()

        async def connect(ends):
            other = await trio.open_tcp_stream(advertised.ip, advertised.port)
            ends.append(trio.current_time())
            await other.send_all(b"new")
            assert await other.receive_some(10) == b"new"

        await talk()
        ends = []
        proxy.begin_silence(advertised.ip)
        async with trio.open_nursery() as waiting:
            for _ in range(3):
                waiting.start_soon(connect, ends)
            waiting.start_soon(talk)
            await trio.sleep(silence_s)
            assert ends == []
            proxy.end_silence(advertised.ip)
            ended_at = trio.current_time()
        assert len(ends) == 3 and min(ends) >= ended_at
        assert await talk() >= ended_at
        nursery.cancel_scope.cancel()


async def test_short_seed_with_silences_loses_no_request(network, tmp_path):
    """Guards against requests that end because their sound upstream is silent for a second."""
    outcome = await run_seed(SILENT_SEED, SECONDS, network=network, folder=tmp_path, part=SILENCES)
    assert outcome.violations == []
    assert outcome.injected["sound silence of all"] > 0 and outcome.injected["reload"] > 0
    assert outcome.answers["long_resume 200"] > 0


def test_silences_are_drawn_of_all_scopes_and_beside_signals():
    """Guards against seeds without a silence of a kind, of another length, or that overlap."""
    plans = [draw_silences(seed, SERVICES) for seed in range(50)]
    assert plans[:9] == [draw_silences(seed, SERVICES) for seed in range(9)]
    targets = {silence.scope: set(silence.targets) for plan in plans for silence in plan}
    assert targets.keys() == {"one", "service", "all"}
    assert targets["all"] == set(SERVICES) and len(targets["one"]) == 1
    for plan in plans:
        assert all(MIN_SILENCE_S <= silence.duration_s <= MAX_SILENCE_S for silence in plan)
        for one, other in zip(plan, plan[1:], strict=False):
            assert one.at + one.duration_s <= other.at
    pairs = [pair for plan in plans for pair in zip(plan, plan[1:], strict=False)]
    assert any(
        other.targets == one.targets
        and other.at == pytest.approx(one.at + one.duration_s + SECOND_GAP_S)
        for one, other in pairs
    )
    reloads = [draw_reloads_within(seed, plan) for seed, plan in enumerate(plans)]
    assert {fault.target for faults in reloads for fault in faults} == {*CONTROL, *ENTRIES}
    for plan, faults in zip(plans, reloads, strict=True):
        for fault in faults:
            assert any(one.at <= fault.at <= one.at + one.duration_s for one in plan)
    signals = [fault for seed in range(50) for fault in draw_silence_signals(seed, 9.0)]
    assert {fault.kind for fault in signals} == {"reload", "term", "term_twice"}
    assert {fault.target for fault in signals} == {*CONTROL, *ENTRIES}


@pytest.mark.parametrize("is_beside_reload", [False, True])
@pytest.mark.parametrize(
    ("fields", "fault", "count"),
    [
        ({"failure": "end", "status": 200}, None, 1),
        ({"failure": "reset", "status": 200}, None, 1),
        ({"failure": "end"}, None, 1),
        ({"failure": "", "status": 200}, None, 0),
        ({"failure": "", "status": 504}, None, 0),
        ({"failure": "deadline", "status": 200}, None, 0),
        ({"failure": "end", "status": 200, "ended_at": 15.9}, None, 0),
        ({"failure": "end", "status": 200}, "restart", 0),
        ({"failure": "end", "status": 200}, "limit", 1),
    ],
)
def test_streams_that_end_beside_a_sound_silence_are_reported(
    fields, fault, count, is_beside_reload
):
    """Guards against a silence that excuses a lost request, and against false reports."""
    ledger = make_ledger()
    values = {"sent_at": 10.0, "ended_at": 12.0, "deadline_s": 6.0, "is_direct": True, **fields}
    ledger.record_attempt(
        Attempt(
            request_id="a",
            path="/long_resume/a",
            body=b"",
            may_repeat=True,
            entry=("e", 1),
            **values,
        )
    )
    ledger.touched["a"].add("u1")
    silence = Silence(at=2.0, duration_s=1.2, scope="all", targets=("u1",))
    played = SilentTime(at=9.0, until=20.0, silences=[silence])
    disruptions = [Disruption(target="u1", kind=fault, at=8.0, until=9.0)] if fault else []
    works = [PlannedWork(entry=("e", 1), kind=RELOAD, at=10.5)] if is_beside_reload else []
    judge_planned_work(works, disruptions, ledger)
    judge_silences(played, works, disruptions, ledger)
    assert len(ledger.violations) == count


def test_responses_that_entries_give_up_are_reported():
    """Guards against started responses that an entry breaks off unseen beside silences."""
    metrics = PrometheusMetrics()
    metrics.count_unanswered("deadline")
    counts = parse_counts(metrics.render_text().decode())
    ledger = make_ledger()
    judge_given_up(counts, ledger)
    assert counts == {(UNANSWERED, "deadline"): 1} and ledger.violations == []
    metrics.count_given_up_response("memory")
    counts = parse_counts(metrics.render_text().decode())
    judge_given_up(counts, ledger)
    assert counts[GIVEN_UP, "memory"] == 1 and len(ledger.violations) == 1

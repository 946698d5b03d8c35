"""Tests of the choice of an engine from the fleet-wide state of the scheduler."""

import random

import msgspec
import trio

from marigoldtrail.pieces.engines import (
    USABLE_SHARE,
    EngineTracker,
    Placement,
    RereadCause,
    list_prefixes,
)
from marigoldtrail.pieces.placer import SUSPECT_S, EnginePlacer
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import EngineSpec, Limits, RouteTable, Service, Upstream, build_index
from marigoldtrail.schema.generated.pieces import NoteProgress, PromptPart, RunStages
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

SPEC = EngineSpec(slots=8, kv_cache_tokens=100_000)
SHARED = PromptPart(part="shared", tokens=8000)


def engine(name, *, data_centre="a", cold_until=0.0, slots=8):
    return Upstream(
        name=name,
        service="llm",
        address="10.0.0.1:1",
        data_centre=data_centre,
        slots=slots,
        cold_until=cold_until,
    )


def make_placer(*engines, spec=SPEC):
    timers = Timers(seed=1)
    fleet_state = FleetState(parse_document=lambda data: "", timers=timers)
    service = Service(name="llm", max_connections=9, engine=spec)
    table = RouteTable(version=1, routes=(), services=(service,), limits=Limits(), accounts=None)
    fleet_state.routes = build_index(table)
    fleet_state.upstreams = {upstream.name: upstream for upstream in engines}
    return EnginePlacer(
        fleet_state=fleet_state, timers=timers, rng=random.Random(1), metrics=PrometheusMetrics()
    )


def ask(name, *parts, **fields):
    return RunStages(
        request_id=name,
        stages=[],
        left_ms=5000,
        engine_service="llm",
        prompt=list(parts),
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=100,
        **fields,
    )


def end(placer, request_id):
    placer.record_progress(NoteProgress(request_id=request_id, has_ended=True))


def own(number, tokens=500):
    return PromptPart(part=f"own-{number}", tokens=tokens)


async def test_requests_with_a_shared_prompt_go_to_one_engine(autojump_clock):
    """Guards against a long shared prompt that is read again by each engine."""
    placer = make_placer(*[engine(f"e{n}") for n in range(4)])
    chosen = []
    for number in range(6):
        chosen.append(placer.place(ask(f"r{number}", SHARED, own(number)), {}, 100.0))
        end(placer, f"r{number}")
    assert len(set(chosen)) == 1


async def test_requests_without_a_shared_prompt_are_spread(autojump_clock):
    """Guards against an engine that reads all prompts while others are idle."""
    placer = make_placer(*[engine(f"e{n}") for n in range(4)])
    chosen = {placer.place(ask(f"r{n}", own(n, 8000)), {}, 100.0) for n in range(4)}
    assert len(chosen) == 4


async def test_engine_near_the_results_is_chosen(autojump_clock):
    """Guards against unnecessary transfers of large results between data centres."""
    placer = make_placer(engine("far", data_centre="a"), engine("near", data_centre="b"))
    assert placer.place(ask("r", own(1)), {"b": 9_000_000}, 100.0) == "near"


async def test_failed_and_cold_engines_are_avoided(autojump_clock):
    """Guards against a repeated send to a failed engine and a burst at a cold one."""
    placer = make_placer(engine("failed"), engine("cold", cold_until=1e9), engine("sound"))
    for number in range(5):
        request = ask(f"r{number}", own(number), excluded=["failed"])
        assert placer.place(request, {}, 100.0) == "sound"
    assert placer.place(ask("other", own(9), excluded=["failed", "sound"]), {}, 100.0) == "cold"


async def test_engine_unreachable_from_an_entry_is_avoided_for_a_while(autojump_clock):
    """Guards against requests sent to an engine that another entry could not reach."""
    placer = make_placer(engine("e0"), engine("e1"))
    placer.place(ask("first", own(0), suspects=["e0"]), {}, 100.0)
    chosen = {placer.place(ask(f"r{n}", own(n)), {}, 100.0) for n in range(1, 5)}
    assert chosen == {"e1"} and SUSPECT_S > 0


def test_tracker_counts_the_tokens_to_prefill():
    """Guards against a queue of prompts at one engine that the choice does not count."""
    tracker = EngineTracker(spec=SPEC)
    tracker.describe_engines([engine("e")], [], bytes_in={}, now=0.0)
    placement = Placement(upstream="e", prefill_tokens=8000, tokens=8100, expires_at=10.0)
    tracker.place("r", list_prefixes([SHARED]), placement)

    def option(now):
        prompt = list_prefixes([SHARED, own(1)])
        (found,) = tracker.describe_engines([engine("e")], prompt, bytes_in={}, now=now)
        return found

    assert (option(0.0).prefill_tokens, option(0.0).requests) == (8000, 1)
    assert option(0.0).cached_tokens == 8000
    tracker.mark_prompt_read("r")
    assert (option(0.0).prefill_tokens, option(0.0).requests) == (0, 1)
    # An entry that crashes never reports the end of its request.
    assert option(10.0).requests == 0


def test_least_recently_used_prompts_are_dropped_first():
    """Guards against an assumed cache larger than the memory of the engine."""
    tracker = EngineTracker(spec=SPEC)
    tracker.describe_engines([engine("e")], [], bytes_in={}, now=0.0)
    count = int(SPEC.kv_cache_tokens * USABLE_SHARE / SHARED.tokens) + 1
    parts = [PromptPart(part=f"p{n}", tokens=SHARED.tokens) for n in range(count)]
    for number, part in enumerate(parts):
        placement = Placement(upstream="e", prefill_tokens=0, tokens=1, expires_at=1.0)
        tracker.place(f"r{number}", list_prefixes([part]), placement)
    assert tracker.cached_tokens("e", list_prefixes([parts[0]])) == 0
    assert tracker.cached_tokens("e", list_prefixes([parts[-1]])) == SHARED.tokens
    tracker.forget_except(set())
    assert tracker.cached_tokens("e", list_prefixes([parts[-1]])) == 0


async def test_schedulers_agree_on_the_engine_of_a_prompt(autojump_clock):
    """Guards against long prompts that other engines read again after a scheduler takeover."""
    engines = [engine(f"e{n}") for n in range(8)]
    prompts = [PromptPart(part=f"shared-{n}", tokens=8000) for n in range(20)]

    def homes(placer):
        chosen = []
        for number, part in enumerate(prompts):
            chosen.append(placer.place(ask(f"r{number}", part, own(number)), {}, 100.0))
            end(placer, f"r{number}")
        return chosen

    first = homes(make_placer(*engines))
    assert homes(make_placer(*reversed(engines))) == first
    assert len(set(first)) > 4
    # The loss of an engine moves only the prompts that it had.
    fewer = homes(make_placer(*[e for e in engines if e.name != first[0]]))
    moved = [n for n, name in enumerate(fewer) if name != first[n]]
    assert all(first[n] == first[0] for n in moved)


async def test_first_request_at_the_home_counts_its_whole_prompt(autojump_clock):
    """Guards against a queue of prompts that their homes have yet to read and nobody counts."""
    placer = make_placer(*[engine(f"e{n}") for n in range(4)])
    request = ask("r", SHARED, own(1))
    name = placer.place(request, {}, 100.0)
    (tracker,) = placer._trackers.values()
    assert tracker._engines[name].option.prefill_tokens == request.prompt_tokens


async def test_overloaded_home_is_not_chosen(autojump_clock):
    """Guards against requests that wait at the home of their prompt while others are idle."""
    placer = make_placer(*[engine(f"e{n}") for n in range(4)])
    chosen = [placer.place(ask(f"r{n}", SHARED, own(n, 9000)), {}, 100.0) for n in range(12)]
    assert len(set(chosen)) > 1


async def test_results_are_expected_at_the_home_of_the_prompt(autojump_clock):
    """Guards against large results of each new prompt that are moved between data centres."""
    engines = [engine(f"e{n}", data_centre=f"dc-{n % 4}") for n in range(8)]
    places = {upstream.name: upstream.data_centre for upstream in engines}
    for number in range(12):
        placer = make_placer(*engines)
        request = ask("r", PromptPart(part=f"shared-{number}", tokens=8000), own(number))
        expected = placer.expected_data_centre(request)
        assert places[placer.place(request, {}, 100.0)] == expected
    assert make_placer(*engines).expected_data_centre(ask("short", own(1), own(2))) == ""


async def test_placer_forgets_engines_that_are_gone(autojump_clock):
    """Guards against memory that grows with each engine that is replaced."""
    placer = make_placer(engine("e0"), engine("e1"))
    placer.place(ask("r", own(0, 8000), suspects=["e0"]), {}, 100.0)
    placer.forget_except({"e1"})
    assert set(placer._suspects) <= {"e1"}
    assert all(set(tracker._engines) <= {"e1"} for tracker in placer._trackers.values())
    placer.forget_except(set())
    assert not placer._suspects
    assert not any(tracker._holders for tracker in placer._trackers.values())


async def test_engine_at_its_limit_is_placed_on_less(autojump_clock):
    """Guards against requests placed on an engine that can't get a permit for them."""
    placer = make_placer(engine("limited"), engine("free"))
    placer._fleet_state.limits.record_answer("limited", 0, 2.0, sent_at=0.0, now=0.0)
    chosen = []
    for number in range(100):
        chosen.append(placer.place(ask(f"r{number}", own(number)), {}, 100.0))
        end(placer, f"r{number}")
        await trio.sleep(0.05)
    assert 5 <= chosen.count("limited") <= 12


def describe(tracker, prompt, *names, born_ms=0):
    upstreams = [msgspec.structs.replace(engine(name), born_ms=born_ms) for name in names]
    return tracker.describe_engines(upstreams, list_prefixes(prompt), bytes_in={}, now=0.0)


def place(tracker, request_id, prompt, upstream="e", *, now=0.0, **fields):
    prefixes = list_prefixes(prompt)
    placement = Placement(
        upstream=upstream, prefill_tokens=0, tokens=prefixes[-1][1], expires_at=1e9, **fields
    )
    tracker.place(request_id, prefixes, placement, now=now)


def test_engine_that_starts_again_has_nothing_cached():
    """Guards against requests that are sent to an engine for a prompt that it has lost."""
    tracker = EngineTracker(spec=SPEC)
    describe(tracker, [SHARED], "e", born_ms=5)
    place(tracker, "r", [SHARED, own(1)])
    assert describe(tracker, [SHARED], "e", born_ms=5)[0].cached_tokens == SHARED.tokens
    (option,) = describe(tracker, [SHARED], "e", born_ms=6)
    assert option.cached_tokens == tracker._engines["e"].cached_tokens == 0


def test_cause_of_each_prompt_that_is_read_again():
    """Guards against a metric that blames the memory of engines for a choice of the scheduler."""
    tracker = EngineTracker(spec=SPEC)
    prompt = [SHARED, own(1)]

    def cause(*names, born_ms=0):
        options = describe(tracker, prompt, *names, born_ms=born_ms)
        return tracker.find_rereads(list_prefixes(prompt), options[-1], options)

    assert cause("e") is None
    place(tracker, "r", prompt)
    assert cause("e") is None
    assert cause("e", "other") == (RereadCause.MOVED, SHARED.tokens)
    assert cause("other") == (RereadCause.EXCLUDED, SHARED.tokens)
    assert cause("e", born_ms=7) == (RereadCause.RESTARTED, SHARED.tokens)
    place(tracker, "r", prompt)
    for number in range(20):
        place(tracker, f"r{number}", [PromptPart(part=f"p{number}", tokens=8000)])
    assert cause("e", born_ms=7) == (RereadCause.EVICTED, SHARED.tokens)


async def test_changed_capacity_applies_to_known_engines(autojump_clock):
    """Guards against engines that keep the slots and memory of an earlier configuration."""
    placer = make_placer(engine("e"))
    placer.place(ask("r0", SHARED, own(0)), {}, 100.0)
    (service,) = placer._fleet_state.routes.table.services
    spec = EngineSpec(slots=3, kv_cache_tokens=4000)
    table = msgspec.structs.replace(
        placer._fleet_state.routes.table, services=(msgspec.structs.replace(service, engine=spec),)
    )
    placer._fleet_state.routes = build_index(table)
    placer.place(ask("r1", own(1)), {}, 100.0)
    state = placer._trackers["llm"]._engines["e"]
    assert (state.option.slots, state.option.kv_tokens) == (3, 4000)
    assert state.cached_tokens <= 4000


def test_time_that_is_reported_twice_counts_once():
    """Guards against a repeated report that outweighs other observations of an engine."""
    tracker = EngineTracker(spec=SPEC)
    describe(tracker, [], "e")
    place(tracker, "r", [own(1)], expected_s=0.1)
    for _ in range(3):
        tracker.mark_prompt_read("r", first_event_s=0.14, now=0.2)
    assert tracker.speeds._speeds["e"].count == 1


def test_late_report_about_an_earlier_process_teaches_nothing():
    """Guards against a replaced engine that a late report makes slow or empty."""
    tracker = EngineTracker(spec=SPEC)
    describe(tracker, [], "e", born_ms=5)
    fields = {"expected_s": 0.1, "output_tokens": 100}
    place(tracker, "old", [SHARED, own(1)], now=1.0, **fields)
    describe(tracker, [], "e", born_ms=6)
    place(tracker, "new", [SHARED, own(2)], now=1.0)
    tracker.mark_prompt_read("old", first_event_s=0.4, now=3.0)
    tracker.mark_ended("old", stream_s=1.0, now=3.0)
    assert tracker.speeds.slowness_at("e", 6, 3.0) == 1.0
    assert tracker.stream_s_per_token == 0.0
    (option,) = describe(tracker, [SHARED], "e", born_ms=6)
    assert (option.cached_tokens, option.requests) == (SHARED.tokens, 1)


def test_time_longer_than_the_request_is_ignored():
    """Guards against an absurd duration in a report that makes each stream seem too long."""
    tracker = EngineTracker(spec=SPEC)
    describe(tracker, [], "e")
    for number, stream_s in enumerate([1.0, 1e12]):
        place(tracker, "r", [own(number)], now=10.0, expected_s=0.1, output_tokens=100)
        tracker.mark_prompt_read("r", first_event_s=1e12, now=12.0)
        tracker.mark_ended("r", stream_s=stream_s, now=12.0)
    assert tracker.stream_s_per_token == 0.01
    assert tracker.speeds.slowness_at("e", 0, 12.0) == 1.0

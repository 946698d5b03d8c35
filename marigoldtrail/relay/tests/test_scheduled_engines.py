"""Requests for which the scheduler has chosen an engine."""

import random
from types import SimpleNamespace

import trio

from marigoldtrail.registry import FleetState
from marigoldtrail.relay import UpstreamMonitor
from marigoldtrail.relay.tests.test_upstream_monitor import make_upstream
from marigoldtrail.relay.upstream_chooser import UpstreamChooser
from marigoldtrail.routing import EngineSpec, Service
from marigoldtrail.timers import Timers

SERVICE = Service(
    name="s",
    max_connections=9,
    cold_start_s=3.0,
    max_cold_requests_per_s=6.6,
    engine=EngineSpec(slots=8, kv_cache_tokens=100_000),
)


def make_monitor(upstreams):
    timers = Timers(seed=1)
    fleet_state = FleetState(parse_document=lambda data: "", timers=timers)
    fleet_state.upstreams = {upstream.name: upstream for upstream in upstreams}
    return fleet_state, UpstreamMonitor(fleet_state=fleet_state, data_centre="a", timers=timers)


async def test_engine_of_the_scheduler_is_used_without_weighing_the_others(
    autojump_clock, monkeypatch
):
    """Guards against requests that cost an entry as much as there are engines."""
    fleet_state, monitor = make_monitor([make_upstream(f"e-{number}") for number in range(90)])
    made = []
    make_option = UpstreamMonitor._make_option
    monkeypatch.setattr(
        UpstreamMonitor,
        "_make_option",
        lambda *args: made.append(args) or make_option(*args),
    )
    chooser = UpstreamChooser(
        fleet_state=fleet_state, monitor=monitor, versions=None, rng=random.Random(1)
    )
    exchange = SimpleNamespace(
        service=SERVICE,
        stream_version=None,
        needs_durable_version=False,
        tried=set(),
        is_resumed=False,
        info=SimpleNamespace(prompt_tokens=100),
        recording=None,
        source=None,
        relisted_at=None,
        stage_run=SimpleNamespace(upstream="e-7"),
        get_shared_prefix=lambda: ("", 0),
        splitter=SimpleNamespace(count=0),
    )
    assert chooser.choose(exchange).name == "e-7" and made == []
    monitor.record_failure("e-7", is_dead=True)
    assert chooser.choose(exchange).name != "e-7"


async def test_sound_option_is_what_the_list_of_options_says(autojump_clock):
    """Guards against a scheduled engine that is cold, paused, limited or ejected."""
    rng = random.Random(5)
    found = 0
    for _ in range(300):
        now = trio.current_time()
        upstreams = [
            make_upstream(f"e-{number}", cold_until=now + rng.choice((0.0, 0.0, 5.0)))
            for number in range(4)
        ]
        monitors = []
        for _ in range(2):
            fleet_state, monitor = make_monitor(upstreams)
            fleet_state.entry_position = 0.5
            monitors.append(monitor)
        first, second = monitors
        for upstream in upstreams:
            kind = rng.choice(("none", "pause", "limit", "dead", "sent"))
            for monitor in monitors:
                match kind:
                    case "pause":
                        monitor.start_pause(upstream.name, 1.0)
                    case "limit":
                        monitor.start_limited(upstream.name, 1.0)
                    case "dead":
                        monitor.record_failure(upstream.name, is_dead=True)
                    case "sent":
                        monitor.list_options(upstreams, SERVICE)
                        monitor.record_send(upstream, SERVICE)
        for wait_s in (0.0, 0.2, 0.6, 6.0):
            await trio.sleep(wait_s)
            wanted = rng.choice(upstreams)
            options = {option.name for option in first.list_options(upstreams, SERVICE)}
            expected = wanted.name in options - first.get_ejected()
            assert second.is_sound_option(wanted, upstreams, SERVICE) == expected
            found += expected
        for upstream in upstreams:
            one, other = first.get_record(upstream.name), second.get_record(upstream.name)
            assert one.is_cold == other.is_cold
            assert one.cold_next_send_at == other.cold_next_send_at
    assert 200 < found < 1000

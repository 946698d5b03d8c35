"""Decision whether a host is cut off from all upstreams."""

import random

import trio

from marigoldtrail.reachability import ReachabilityMonitor, UpstreamContact
from marigoldtrail.reachability.monitor import MAX_SOUND_SILENCE_S
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

# Time within which a cut and its end are detected.
DETECTION_S = 1.5


class Probed:
    """A monitor whose probes reach the upstreams that are not down."""

    def __init__(self, nursery, *, count=6):
        timers = Timers(seed=1)
        self.contact = UpstreamContact(timers=timers)
        fleet_state = FleetState(parse_document=lambda data: "", timers=timers)
        for number in range(count):
            name = f"u-{number}"
            fleet_state.upstreams[name] = Upstream(
                name=name, service=f"s-{number % 2}", address=f"10.0.1.{number}:1",
                data_centre=f"dc-{number % 3}", slots=4,
            )  # fmt: skip
        self.names = set(fleet_state.upstreams)
        self.down = set()
        self.probes = []
        self.changes = []
        self.monitor = ReachabilityMonitor(
            data_centre="dc-0", fleet_state=fleet_state, contact=self.contact, probe=self.probe,
            on_change=lambda: self.changes.append(self.monitor.is_cut_off),
            timers=timers, rng=random.Random(1),
        )  # fmt: skip
        nursery.start_soon(self.monitor.run)

    async def probe(self, upstream, timeout_s):
        self.probes.append(upstream.name)
        if upstream.name in self.down:
            await trio.sleep(timeout_s)
            self.contact.note_connect_failed(upstream.name)
            return False
        self.contact.note_connected()
        return True


async def test_silent_cut_is_detected_and_its_end_too(autojump_clock, nursery):
    """Guards against an entry that accepts requests while it reaches no upstream."""
    probed = Probed(nursery)
    probed.contact.start_request()
    probed.down = probed.names
    await trio.sleep(DETECTION_S)
    assert probed.changes == [True]
    await trio.sleep(10)
    assert probed.changes == [True]
    probed.down = set()
    await trio.sleep(DETECTION_S)
    assert probed.changes == [True, False]


async def test_refused_connections_are_enough_for_a_cut(autojump_clock, nursery):
    """Guards against a cut in which open connections live on and hide that new ones fail."""
    probed = Probed(nursery)
    probed.down = probed.names
    probed.contact.start_request()
    probed.contact.note_connect_failed("u-0")
    for _ in range(12):
        await trio.sleep(0.1)
        probed.contact.note_bytes()
    assert probed.changes == [True]


async def test_failing_upstreams_are_no_cut_while_others_answer(autojump_clock, nursery):
    """Guards against entries that leave the look-up when upstreams crash."""
    probed = Probed(nursery)
    probed.down = {"u-0", "u-1", "u-2", "u-3"}
    for _ in range(30):
        for name in sorted(probed.down):
            probed.contact.note_connect_failed(name)
        await trio.sleep(0.5)
    assert probed.changes == []


async def test_quiet_engines_are_probed_ever_less(autojump_clock, nursery):
    """Guards against a connection each 0.4 s while an engine reads a long prompt."""
    probed = Probed(nursery)
    probed.contact.start_request()
    await trio.sleep(20)
    assert probed.changes == [] and len(probed.probes) <= 12


class Steps(trio.abc.Instrument):
    """Counts the steps of all tasks."""

    def __init__(self):
        self.count = 0

    def before_task_step(self, task):
        self.count += 1


async def test_entry_that_waits_for_nothing_does_not_wake(autojump_clock, nursery):
    """Guards against idle entries that take processor time to look ten times a second for a cut."""
    Probed(nursery)
    await trio.sleep(1)
    steps = Steps()
    trio.lowlevel.add_instrument(steps)
    await trio.sleep(10)
    # The step of this test itself.
    assert steps.count <= 1


async def test_entry_in_contact_wakes_no_more_often_than_silence_asks_for(autojump_clock, nursery):
    """Guards against entries whose watch for a cut costs more than the streams that they relay."""
    probed = Probed(nursery)
    probed.contact.start_request()
    steps = Steps()
    trio.lowlevel.add_instrument(steps)
    for _ in range(200):
        await trio.sleep(0.05)
        probed.contact.note_bytes()
    assert probed.probes == [] and steps.count - 200 <= 30


async def test_connection_that_fails_while_nothing_waits_is_followed_by_probes(
    autojump_clock, nursery
):
    """Guards against a monitor that sleeps through the only sign of a cut."""
    probed = Probed(nursery)
    probed.down = probed.names
    await trio.sleep(30)
    probed.contact.note_connect_failed("u-0")
    await trio.sleep(DETECTION_S)
    assert probed.changes == [True]


async def test_attempts_are_cancelled_only_if_their_connections_are_silent(autojump_clock, nursery):
    """Guards against requests that leave sound upstreams, or stay at those out of reach."""
    for is_silent in (True, False):
        probed = Probed(nursery)
        probed.down = probed.names
        probed.contact.start_request()
        probed.contact.note_connect_failed("u-0")
        started = trio.current_time()
        with trio.move_on_after(5) as scope, probed.monitor.call_when_cut_off(scope.cancel):
            while True:
                await trio.sleep(0.1)
                if not is_silent:
                    probed.contact.note_bytes()
        assert probed.changes == [True]
        took_s = trio.current_time() - started
        if is_silent:
            assert MAX_SOUND_SILENCE_S <= took_s <= MAX_SOUND_SILENCE_S + DETECTION_S
        else:
            assert took_s >= 5


async def test_host_without_upstreams_or_requests_is_not_cut_off(autojump_clock, nursery):
    """Guards against an entry that leaves the look-up before it has any upstream to reach."""
    probed = Probed(nursery, count=0)
    await trio.sleep(5)
    probed.contact.start_request()
    await trio.sleep(5)
    assert probed.changes == [] and not probed.probes


async def test_host_that_reaches_its_own_data_centre_is_not_cut_off(autojump_clock, nursery):
    """Guards against entries that stop serving when their data centre loses the others."""
    for seed in range(8):
        probed = Probed(nursery, count=12)
        probed.monitor._rng.seed(seed)
        probed.down = {name for name in probed.names if int(name[2:]) % 3}
        probed.contact.start_request()
        probed.contact.note_connect_failed("u-1")
        await trio.sleep(5)
        assert probed.changes == []

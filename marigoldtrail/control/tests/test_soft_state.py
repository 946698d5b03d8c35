"""Soft state of the leader: upstream states, the platform's host list, membership."""

import zlib

import trio

from marigoldtrail.control import ConfigMachine, ControlService
from marigoldtrail.control.commands import PutManifest, encode_command
from marigoldtrail.control.host_list import HostList, LeavingHosts, PlatformHost
from marigoldtrail.control.leader_state import LeaderState
from marigoldtrail.control.membership import Membership
from marigoldtrail.control.tests.harness import manifest
from marigoldtrail.control.upstreams import UpstreamStates
from marigoldtrail.schema.generated.control import Sync, SyncReply, UpstreamObservation
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers


def make_upstream_states(reports_load=True):
    upstream_states = UpstreamStates(timers=Timers(wall_clock=lambda: 0.0))
    names = ["a", "b"]
    upstream_states.set_upstreams(
        Upstream(
            name=name,
            pool="p",
            kind="engine",
            address=f"10.0.0.{number}:1",
            data_centre="d",
            host="h",
            capacity=4,
            reports_load=reports_load,
        )
        for number, name in enumerate(names)
    )
    return upstream_states


def merge_observation(upstream_states, state, sampled_ms, instance="i1", load=0):
    observation = UpstreamObservation(
        upstream="a", instance=instance, state=state, sampled_ms=sampled_ms, load=load
    )
    upstream_states.merge([observation])
    return upstream_states.status("a").state


async def test_stale_sample_does_not_turn_cold_into_warm(autojump_clock):
    """Guards against a sample from before the change to cold that marks the upstream as warm."""
    upstream_states = make_upstream_states()
    assert merge_observation(upstream_states, "warm", 100) == "warm"
    assert merge_observation(upstream_states, "cold", 90) == "cold"
    assert merge_observation(upstream_states, "warm", 100) == "cold"
    assert merge_observation(upstream_states, "cold", 120) == "cold"
    assert merge_observation(upstream_states, "warm", 110) == "cold"
    assert merge_observation(upstream_states, "warm", 130) == "warm"


async def test_upstream_without_reports_follows_its_owner(autojump_clock):
    """Guards against an upstream without samples that stays cold after its warm-up."""
    upstream_states = make_upstream_states(reports_load=False)
    states = [
        merge_observation(upstream_states, state, 0)
        for state in ("warm", "cold", "warming", "warm")
    ]
    assert states == ["warm", "cold", "warming", "warm"]


async def test_replaced_instance_is_ignored(autojump_clock):
    """Guards against a delayed report of the old instance of a restarted upstream."""
    upstream_states = make_upstream_states()
    merge_observation(upstream_states, "warm", 100, "i1")
    assert merge_observation(upstream_states, "cold", 50, "i2") == "cold"
    assert merge_observation(upstream_states, "warm", 200, "i1") == "cold"
    assert upstream_states.status("a").instance == "i2"
    assert merge_observation(upstream_states, "warm", 60, "i2") == "warm"


async def test_clock_set_back_does_not_keep_an_upstream_cold_for_ever(autojump_clock):
    """Guards against rejecting samples for ever after an upstream's wall clock was set back."""
    upstream_states = make_upstream_states()
    merge_observation(upstream_states, "warm", 10_000_000)
    merge_observation(upstream_states, "cold", 10_000_000)
    await trio.sleep(29)
    assert merge_observation(upstream_states, "warm", 5) == "cold"
    await trio.sleep(2)
    assert merge_observation(upstream_states, "warm", 6) == "warm"


async def test_loads_are_quantised_in_the_order_of_the_manifest(autojump_clock):
    """Guards against loads that are attributed to another upstream."""
    upstream_states = make_upstream_states()
    revision = upstream_states.loads_revision
    merge_observation(upstream_states, "warm", 1, load=300)
    assert (
        bytes(upstream_states.loads) == b"\xff\x00"
        and upstream_states.loads_revision == revision + 1
    )
    merge_observation(upstream_states, "warm", 2, load=255)
    assert upstream_states.loads_revision == revision + 1


def apply_host_list(leaving, version, used=("a", "b"), **states):
    hosts = [PlatformHost(host=host, state=state) for host, state in states.items()]
    leaving.observe(HostList(version=version, hosts=hosts), used)
    return leaving.names()


def test_only_a_newer_platform_list_ends_leaving():
    """Guards against an outdated host list that makes a leaving host live again."""
    leaving = LeavingHosts()
    assert apply_host_list(leaving, 5, a="leaving", b="live") == ["a"]
    assert apply_host_list(leaving, 5, a="live") == ["a"]
    assert apply_host_list(leaving, 4, a="live", b="leaving") == ["a", "b"]
    assert apply_host_list(leaving, 5, a="live", b="live") == ["a"]
    assert apply_host_list(leaving, 6, b="live") == ["a"]
    assert apply_host_list(leaving, 7, a="live", b="live") == []
    assert apply_host_list(leaving, 8, a="leaving") == ["a"]
    assert apply_host_list(leaving, 9, used=()) == []


def make_sync(incarnation, sequence, **changes):
    return Sync(
        host="a",
        data_centre="d",
        incarnation=incarnation,
        sequence=sequence,
        roles=["entry"],
        peer_address="10.0.0.1:1",
        api_address="",
        **changes,
    )


async def test_node_state_follows_its_syncs(autojump_clock):
    """Guards against delayed messages of an old process and nodes that stay live without Syncs."""
    members = Membership(timers=Timers(wall_clock=lambda: 0.0))
    assert members.observe(make_sync(1, 5))
    assert not members.observe(make_sync(1, 4, draining=True))
    assert members.observe(make_sync(2, 1))
    assert not members.observe(make_sync(1, 6))
    states = []
    for pause_s in (2.9, 0.2, 6.8, 0.2):
        await trio.sleep(pause_s)
        members.refresh()
        states.append(members.state_of("a"))
    assert states == ["live", "suspect", "suspect", "dead"]
    assert members.observe(make_sync(1, 7, draining=True))
    assert members.state_of("a") == "draining"
    await trio.sleep(1000)
    members.refresh()
    assert members.entries.values() == []


def make_machine():
    machine = ConfigMachine()
    document = zlib.compress(manifest(1))
    command = PutManifest(
        number=1, digest="x", document=document, concurrent_loads=1, operator="eve", wall_ms=0
    )
    machine.apply(5, encode_command(command))
    return machine


async def test_new_leader_sends_only_sections_that_it_has_rebuilt(autojump_clock):
    """Guards against a node that keeps sections of another term because the revisions are equal,
    and a new leader that overwrites upstream states before their owners have reported."""
    timers = Timers(wall_clock=lambda: 0.0)
    leader = LeaderState(
        term=2,
        machine=make_machine(),
        timers=timers,
        telemetry=Telemetry(host="a", timers=timers),
        reads_platform=True,
    )
    first = leader.build_reply(make_sync(1, 1))
    assert first.upstreams == [] and first.nodes == [] and first.leaving_hosts is None
    known = {**first.revisions, "leaving_hosts": 1}
    other = leader.build_reply(make_sync(1, 2, term=1, revisions=known))
    assert other.manifest and other.owners == [] and other.services == []
    assert other.upstreams is None and other.nodes is None and not other.loads
    assert set(other.revisions) == {"manifest", "owners", "services"}
    same = leader.build_reply(make_sync(1, 3, term=2, revisions=known))
    assert not same.manifest and same.owners is None and same.nodes is None
    await trio.sleep(2)
    settled = leader.build_reply(make_sync(1, 4, term=2, revisions=other.revisions))
    assert settled.upstreams == [] and settled.loads == bytes(4) and not settled.manifest


class SlowBarrier:
    """Log group led by this host, with a read barrier that takes 0.5 s."""

    is_leader = True
    leader = "a"
    term = 1

    def __init__(self):
        self.barrier_started_at = []

    async def read_barrier(self, *, timeout_s):
        self.barrier_started_at.append(trio.current_time())
        await trio.sleep(0.5)


async def test_sync_waits_for_a_barrier_that_begins_after_it(autojump_clock):
    """Guards against confirming a Sync by a read barrier that began before its arrival."""
    timers = Timers(wall_clock=lambda: 0.0)
    group = SlowBarrier()
    service = ControlService(
        host="a",
        group=group,
        machine=make_machine(),
        timers=timers,
        telemetry=Telemetry(host="a", timers=timers),
    )
    handler = service.get_handlers()[Sync]
    replies = []

    async def sync(sequence, delay_s, limit_s=9):
        await trio.sleep(delay_s)
        with trio.move_on_after(limit_s):
            reply = await handler(make_sync(1, sequence), "a")
            replies.append((sequence, trio.current_time(), isinstance(reply, SyncReply)))

    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for sequence, delay_s in ((1, 0), (2, 0.01), (3, 0.1)):
            nursery.start_soon(sync, sequence, delay_s)
    assert len(group.barrier_started_at) == 2
    times = {sequence: round(time - started, 2) for sequence, time, _ in replies}
    assert times == {1: 0.52, 2: 0.52, 3: 0.62}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sync, 4, 0, 0.1)
        nursery.start_soon(sync, 5, 0.01)
    # The task that ran the barrier was cancelled, so the other Sync is refused and must be retried.
    assert replies[-1][0] == 5 and not replies[-1][2]

"""Checks of the view on Sync replies, and outcomes of calls to a log group."""

import functools
import zlib

import trio

from marigoldtrail.control.tests.harness import Fleet, manifest
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import (
    ControlClient,
    FleetView,
    SyncLoop,
    group_of_request,
    groups_of,
    new_request_id,
    record_group_of,
)
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.schema.generated.control import GetManifest, ManifestReply, Sync, SyncReply
from marigoldtrail.schema.generated.settings import ControlHost, Settings
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers


def make_reply(term, number, **changes):
    fields = {"revisions": {}, "manifest": zlib.compress(manifest(number)), **changes}
    return SyncReply(term=term, manifest_number=number, **fields)


async def test_view_rejects_older_and_undecodable_replies(autojump_clock):
    """Guards against a view that reverts, or that is current without decoding its manifest."""
    view = FleetView(timers=Timers())
    assert view.apply(make_reply(2, 5), sent_at=trio.current_time())
    await trio.sleep(4.9)
    assert view.is_current()
    late = trio.current_time()
    assert not view.apply(make_reply(1, 6), sent_at=late)
    assert not view.apply(make_reply(3, 4), sent_at=late)
    assert not view.apply(make_reply(3, 6, manifest=b"garbage"), sent_at=late)
    assert not view.apply(make_reply(3, 6, manifest=zlib.compress(b'{"x": 1}')), sent_at=late)
    await trio.sleep(0.1)
    assert view.number == 5 and not view.is_current()


async def test_loads_apply_only_to_the_manifest_of_their_reply(autojump_clock):
    """Guards against attributing a load to another upstream after a change of manifest."""
    view = FleetView(timers=Timers())
    view.apply(make_reply(1, 1, revisions={"loads": 9}, loads=bytes([1, 2, 3, 4])), sent_at=0)
    assert view.load_of("llm-4") == 4 and view.load_of("other") == 0
    view.apply(make_reply(2, 2, revisions={"manifest": 7}), sent_at=0)
    assert view.load_of("llm-4") == 0
    # With a revision of the old term, the new leader's loads would not be sent.
    assert view.revisions == {"manifest": 7}


def test_account_maps_to_a_stable_group():
    """Guards against looking up records in another group than the one that stored them."""
    groups = [f"records-{number}" for number in range(20)]
    for account in ("acme", "Kibanda Pinata Works", "žlutý"):
        group = record_group_of(account, groups)
        assert group_of_request(new_request_id(account, groups), groups) == group
    # Part of the format of stored ids: after a change no stored record would be found.
    assert record_group_of("acme", groups) == "records-8"


async def test_call_reports_an_attempt_that_may_have_run(autojump_clock, nursery):
    """Guards against reporting `not_run` if an earlier attempt may have been delivered."""
    fleet = Fleet(nursery, controls=3)
    await fleet.start()
    await trio.sleep(2)
    cut_off, other = fleet.followers()
    fleet.network.cut(fleet.ips[fleet.leader], fleet.ips[cut_off], both_ways=False)
    client = fleet[cut_off].client
    reply = await client.call_group("config", GetManifest(), ManifestReply, timeout_s=2)
    assert isinstance(reply, Failure) and reply.run_state is RunState.MAY_HAVE_RUN
    started = trio.current_time()
    reply = await fleet[other].client.get_manifest()
    assert reply.reason is Reason.NOT_FOUND and trio.current_time() - started < 0.1
    missing = await client.call_group("records-9", GetManifest(), ManifestReply)
    assert missing.run_state is RunState.NOT_RUN


class SimulatedControlHosts:
    """Seven simulated control hosts; the leader answers, and the others name it in a hint."""

    def __init__(self):
        self.hosts = [f"c{number}" for number in range(1, 8)]
        self.network = MemoryNetwork(seed=1)
        self.leader = "c1"
        self.delay_s = 0.0

    async def call(self, host, request, sender):
        if host != self.leader:
            return Failure(
                reason=Reason.NOT_LEADER, run_state=RunState.NOT_RUN, step="Sync", hint=self.leader
            )
        await trio.sleep(self.delay_s)
        if isinstance(request, GetManifest):
            return ManifestReply(number=1, digest="", document=b"")
        return SyncReply(term=1, revisions={}, manifest_number=0)

    async def start(self, nursery):
        """Start serving; return the settings, view and client of a node."""
        for number, host in enumerate(self.hosts, start=1):
            endpoint = self.network.endpoint(f"10.0.0.{number}")
            handler = functools.partial(self.call, host)
            handlers = {Sync: handler, GetManifest: handler}
            serve = functools.partial(
                serve_peers, endpoint, Address(endpoint.ip, 7000), handlers, host=host
            )
            await nursery.start(serve)
        settings = Settings(
            host="e1",
            data_centre="d",
            roles=["entry"],
            peer_address="10.0.1.1:7000",
            control_hosts=[
                ControlHost(host=host, data_centre="d", peer_address=f"10.0.0.{number}:7000")
                for number, host in enumerate(self.hosts, start=1)
            ],
        )
        timers = Timers(seed=1)
        view = FleetView(timers=timers, control_hosts=settings.control_hosts)
        peers = PeerClient(network=self.network.endpoint("10.0.1.1"), host="e1", nursery=nursery)
        groups = groups_of(settings)
        return settings, view, ControlClient(peers=peers, view=view, timers=timers, groups=groups)


async def test_silent_control_hosts_do_not_use_up_the_lease(autojump_clock, nursery):
    """Guards against a view that lapses although there is a live leader: three of seven control
    hosts are silent, and the others name one of them as leader until the election ends."""
    leaders = SimulatedControlHosts()
    settings, view, client = await leaders.start(nursery)
    timers = Timers(seed=1)
    loop = SyncLoop(settings=settings, incarnation=1, view=view, client=client, timers=timers)
    nursery.start_soon(loop.run)
    await trio.sleep(3)
    for number in (1, 2, 3):
        leaders.network.cut("10.0.1.1", f"10.0.0.{number}")
    for moment in range(400):
        if moment == 72:
            leaders.leader = "c7"
        await trio.sleep(0.05)
        assert view.is_current(), moment
    assert client.leader_of("config") == "c7"


async def test_previously_silent_leader_gets_the_full_timeout(autojump_clock, nursery):
    """Guards against repeated timeouts of commits that take 0.5 s, after one lost message."""
    leaders = SimulatedControlHosts()
    _, _, client = await leaders.start(nursery)
    leaders.network.cut("10.0.1.1", "10.0.0.1")
    assert isinstance(await client.get_manifest(timeout_s=1.2), Failure)
    leaders.network.restore("10.0.1.1", "10.0.0.1")
    leaders.delay_s = 0.5
    started = trio.current_time()
    assert isinstance(await client.get_manifest(), ManifestReply)
    assert trio.current_time() - started < 1

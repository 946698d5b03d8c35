"""Fake view of the fleet, upstream that counts its calls, and hosts on an in-memory network."""

import random

import msgspec
import trio

from marigoldtrail.errors import is_failure
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.schema.generated.control import OwnerAssignment
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.slots import SlotClient, SlotOwner, UpstreamProber
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

VIEW_S = 5.0
PORT = 7000


class Report(msgspec.Struct, kw_only=True):
    instance: str = "i1"
    state: str = "cold"
    sampled_ms: int = 0
    running: int = 0
    capacity: int = 8
    cold_slots: int = 2
    models: list[str] = []


def make_upstream(*, reports_load=True, cold_slots=2, capacity=8):
    return Upstream(
        name="u1",
        pool="p",
        kind="service",
        address="10.9.0.1:80",
        data_centre="d1",
        host="h9",
        capacity=capacity,
        cold_slots=cold_slots,
        reports_load=reports_load,
    )


class FakeView:
    """View that the test refreshes in place of a Sync."""

    def __init__(self, *, clock, upstream, hosts=()):
        self.clock = clock
        self.manifest = Manifest(number=1, pipelines=[], upstreams=[upstream])
        self.synced_at = -VIEW_S
        self.owner = None
        self.status = None
        self.hosts = hosts

    def sync(self, owner, status=None):
        self.synced_at = self.clock()
        self.owner = owner
        self.status = status

    def is_current(self):
        return self.clock() < self.synced_at + VIEW_S

    def is_out_of_service(self, kind, name):
        return False

    def is_leaving_host(self, host):
        return False

    def upstream_status(self, upstream):
        return self.status

    def owner_of(self, upstream):
        return self.owner

    def address_of(self, host):
        return Address(f"10.0.0.{self.hosts.index(host) + 1}", PORT) if host in self.hosts else None


class CountingUpstream:
    """Upstream that counts the calls in progress."""

    def __init__(self):
        self.running = 0
        self.peak = 0
        self.served = 0

    async def call(self, seconds):
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await trio.sleep(seconds)
            self.served += 1
        finally:
            self.running -= 1


class Fleet:
    """Slot owners c1 and c2, entries e1 to e3 and one upstream."""

    HOSTS = ("c1", "c2", "e1", "e2", "e3")

    def __init__(self, nursery, **upstream_options):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=1)
        self.timers = Timers(wall_clock=trio.current_time, seed=1)
        self.upstream_spec = make_upstream(**upstream_options)
        self.upstream = CountingUpstream()
        self.views = {}
        self.owners = {}
        self.probers = {}
        self.clients = {}
        self.scopes = {}
        self.isolated = set()
        self.assignment = OwnerAssignment(partition=1, host="c1", epoch=1)
        self.report = Report()

    async def start(self):
        for host in self.HOSTS:
            self.views[host] = FakeView(
                clock=trio.current_time, upstream=self.upstream_spec, hosts=self.HOSTS
            )
        for host in ("c1", "c2"):
            await self.start_owner(host)
        for host in ("e1", "e2", "e3"):
            self.start_entry(host)
        self.nursery.start_soon(self.sync_views)
        return self

    def ip(self, host):
        return f"10.0.0.{self.HOSTS.index(host) + 1}"

    async def start_owner(self, host):
        telemetry = Telemetry(host=host, timers=self.timers)
        owner = SlotOwner(host=host, view=self.views[host], timers=self.timers, telemetry=telemetry)
        prober = UpstreamProber(
            owner=owner, read_load=self.read_load, timers=self.timers, telemetry=telemetry
        )
        self.owners[host], self.probers[host] = owner, prober

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            endpoint = self.network.endpoint(self.ip(host))
            async with trio.open_nursery() as nursery:
                self.scopes[host] = nursery.cancel_scope
                nursery.start_soon(prober.run)
                address = Address(self.ip(host), PORT)
                await nursery.start(
                    lambda task_status: serve_peers(
                        endpoint, address, owner.handlers(), host=host, task_status=task_status
                    )
                )
                task_status.started()

        await self.nursery.start(run)

    def start_entry(self, host):
        peers = PeerClient(
            network=self.network.endpoint(self.ip(host)), host=host, nursery=self.nursery
        )
        client = SlotClient(
            host=host, incarnation=1, view=self.views[host], peers=peers, timers=self.timers
        )
        self.clients[host] = client
        self.nursery.start_soon(client.run)

    def kill(self, host):
        self.scopes[host].cancel()
        self.isolated.add(host)
        self.network.reset_host(self.ip(host))

    async def sync_views(self):
        """Refresh the views of all hosts that are not isolated from the config leader."""
        while True:
            for host, view in self.views.items():
                if host not in self.isolated:
                    view.sync(self.assignment, view.status)
            await trio.sleep(1.0)

    def move_to(self, host):
        self.assignment = OwnerAssignment(partition=1, host=host, epoch=self.assignment.epoch + 1)

    async def read_load(self, upstream):
        self.report.sampled_ms = int(trio.current_time() * 1000)
        return msgspec.structs.replace(self.report)

    async def call_forever(self, host, worker, seconds):
        """Acquire a slot, call until it expires at the latest, and release it, in a loop."""
        client, count = self.clients[host], 0
        rng = random.Random(f"{host}-{worker}")
        while True:
            count += 1
            slot = await client.acquire("u1", f"{host}-{worker}-{count}", hold_s=11.0)
            if is_failure(slot):
                await trio.sleep(0.1 + rng.random() * 0.2)
                continue
            with trio.CancelScope(deadline=slot.expires_at) as scope:
                await self.upstream.call(seconds)
            done = not scope.cancelled_caught
            client.release(slot, succeeded=done, instance=slot.instance)

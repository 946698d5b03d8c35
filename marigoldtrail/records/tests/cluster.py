"""Cluster of three control hosts with a replicated log, on an in-memory network and disks."""

import random

import trio
import trio.testing

from marigoldtrail.consensus import GroupSet, init_fleet
from marigoldtrail.errors import is_failure
from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.records import RecordGroup
from marigoldtrail.records.tests.fakes import (
    GROUP,
    Upstreams,
    make_disk,
    make_machine,
    make_service,
)
from marigoldtrail.schema.generated.records import ClaimReply, SegmentChunk
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers


class RecordCluster:
    """Hosts a, b and c; `call` sends requests to the leader, as an entry does."""

    HOSTS = ("a", "b", "c")

    def __init__(self, nursery):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=1)
        self.timers = Timers(wall_clock=trio.current_time, seed=1)
        self.addresses = {h: Address(f"10.0.0.{i + 1}", 7000) for i, h in enumerate(self.HOSTS)}
        self.disks = {host: make_disk(seed) for seed, host in enumerate(self.HOSTS)}
        self.upstreams = Upstreams()
        self.machines, self.groups, self.scopes = {}, {}, {}
        self.peers = PeerClient(
            network=self.network.endpoint("10.0.1.1"), host="e1", nursery=nursery
        )

    async def form(self):
        for host in self.HOSTS:
            await self.nursery.start(self.run, host)
        assert (
            await init_fleet(
                self.peers,
                hosts={GROUP: list(self.HOSTS)},
                addresses=self.addresses,
                timeout_s=5,
            )
            is None
        )
        return self

    async def run(self, host, task_status):
        async with trio.open_nursery() as nursery:
            self.scopes[host] = nursery.cancel_scope
            network = self.network.endpoint(self.addresses[host].ip)
            client = PeerClient(network=network, host=host, nursery=nursery)
            machine = self.machines[host] = make_machine(self.disks[host])
            groups = GroupSet(
                host=host,
                hosts={GROUP: list(self.HOSTS)},
                addresses=self.addresses,
                client=client,
                disk=self.disks[host],
                machines={GROUP: machine},
                timers=self.timers,
                rng=random.Random(f"{host}{trio.current_time()}"),
            )
            log = self.groups[host] = groups[GROUP]

            async def fetch(peer, request):
                return await client.call(self.addresses[peer], request, SegmentChunk, timeout_s=1)

            service = make_service(
                machine,
                log,
                host=host,
                groups=[RecordGroup(name=GROUP, log=log, machine=machine, members=self.HOSTS)],
                upstreams=self.upstreams,
                fetch_chunk=fetch,
            )
            await nursery.start(groups.run)
            nursery.start_soon(service.run)
            handlers = {**groups.get_handlers(), **service.get_handlers()}
            address = self.addresses[host]
            await nursery.start(
                lambda task_status: serve_peers(
                    network, address, handlers, host=host, task_status=task_status
                )
            )
            task_status.started()

    async def kill(self, host):
        self.scopes[host].cancel()
        self.network.reset_host(self.addresses[host].ip)
        del self.groups[host]
        await trio.testing.wait_all_tasks_blocked()
        self.disks[host].crash()

    async def replace(self, host):
        """Start a host again with an empty disk."""
        self.disks[host] = make_disk()
        await self.nursery.start(self.run, host)

    async def leader(self):
        with trio.fail_after(30):
            while True:
                for host, group in self.groups.items():
                    if group.is_leader and await group.read_barrier(timeout_s=1) is None:
                        return host
                await trio.sleep(0.1)

    async def call(self, request, reply_type=ClaimReply):
        """Send a request until a leader answers it without a failure."""
        with trio.fail_after(30):
            while True:
                address = self.addresses[await self.leader()]
                reply = await self.peers.call(address, request, reply_type, timeout_s=2)
                if not is_failure(reply):
                    return reply

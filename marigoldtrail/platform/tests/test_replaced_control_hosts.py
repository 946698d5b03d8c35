"""Control hosts that are replaced by empty ones at other addresses, one after the other."""

import json

import pytest
import trio

from marigoldtrail.platform.tests.standin import Site, config
from marigoldtrail.site.control_host import count_min_voters
from marigoldtrail.testing import MemoryDisk

# A successor has had so long before the next host stops or is lost, and the site serves so soon.
CATCH_UP_S = 4.1
RECOVER_S = 12.0


class ReplacedSite(Site):
    """Site whose control hosts are replaced; `control` names all that ever were there."""

    def __init__(self, nursery, *, control):
        super().__init__(nursery, control=control, entries=1, engines=1)
        self.running = list(self.control)
        self.version = 0

    async def start_successor(self):
        ip = f"10.0.0.{len(self.control) + 1}"
        self.control.append(ip)
        self.running.append(ip)
        self.disks[ip] = MemoryDisk(rng=self.rng)
        self.seeds = [f"{name}:8628" for name in self.running[:3]]
        await self.start_host(ip)

    async def end(self, ip, *, is_planned):
        self.running.remove(ip)
        if is_planned:
            await self.hosts[ip].drain()
        await self.crash(ip)

    def find_leader(self):
        return next((ip for ip in self.running if self.group(ip).is_leader), self.running[0])

    def group(self, ip):
        return self.hosts[ip].groups["config"]

    async def call_any(self, method, body=b""):
        with trio.fail_after(RECOVER_S):
            while True:
                for ip in list(self.running):
                    reply = await self.http(f"{ip}:8628", method, "/-/config", body=body)
                    if reply is not None and reply[0] == 200:
                        return reply[2]
                await trio.sleep(0.1)

    async def change(self):
        self.version += 1
        await self.call_any("PUT", config(self.version))

    async def read_version(self):
        return json.loads(await self.call_any("GET"))["version"]


@pytest.mark.parametrize("is_planned", [True, False])
@pytest.mark.parametrize("size", [3, 5])
async def test_acknowledged_configuration_outlives_all_hosts(
    autojump_clock, nursery, size, is_planned
):
    """Guards against replacements in series after which no control host leads any more."""
    site = ReplacedSite(nursery, control=size)
    await site.start()
    await site.change()
    await trio.sleep(3)
    for _ in range(size + 1):
        if is_planned:
            await site.start_successor()
            await trio.sleep(CATCH_UP_S)
            await site.end(site.find_leader(), is_planned=True)
        else:
            await site.end(site.find_leader(), is_planned=False)
            await trio.sleep(1)
            await site.start_successor()
            await trio.sleep(CATCH_UP_S)
        await site.change()
    assert await site.read_version() == site.version
    assert site.group(site.find_leader()).voter_count == size


async def test_report_of_a_stopping_host_does_not_put_it_back(autojump_clock, nursery):
    """Guards against a host that becomes a voter again while its process ends."""
    site = ReplacedSite(nursery, control=5)
    await site.start()
    await site.change()
    await trio.sleep(3)
    leader = site.find_leader()
    name = next(ip for ip in site.running if ip != leader)
    site.hosts[name].components.reporter.announce_stop()
    await trio.sleep(2)
    assert site.group(leader).voter_count == 4
    await site.crash(name)
    await site.start_host(name)
    await trio.sleep(5)
    assert site.group(leader).voter_count == 5


def test_tolerated_losses_set_the_shortest_list():
    """Guards against a site that bears two losses and keeps three voters."""
    assert [count_min_voters(losses) for losses in (0, 1, 2, 3)] == [3, 3, 5, 7]

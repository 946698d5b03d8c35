"""
Measures commits, catch-up and idle cost of a log group; prints JSON.

Run ``python -m bench.commits``. Three hosts run in one process over loopback TCP, each with a data
folder of its own on a real disk, so CPU times are totals of all three.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import trio

from bench.loopback import CountingNetwork
from marigoldtrail.consensus import Group, GroupSet, init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address, PeerClient, TcpNetwork, serve_peers
from marigoldtrail.storage import FolderDisk
from marigoldtrail.timers import Timers

HOSTS = ("a", "b", "c")
PAYLOAD_BYTES = 200
# Size of the command that stores a result record of four stages, from bench.records.
RECORD_BYTES = 2_166
CLIENTS = 64
COMMIT_S = 4.0
COMMIT_ROUNDS = 2
MISSED = (250, 500, 1000, 2000, 3000, 4000, 8000)
IDLE_GROUPS = (1, 9)
IDLE_S = 10.0
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.002


class DiskCounter:
    """Bytes and syncs written by the disks of a fleet."""

    __slots__ = ("written_bytes", "syncs")

    def __init__(self) -> None:
        self.written_bytes = 0
        self.syncs = 0


class CountingDisk(FolderDisk):
    """Data folder that counts writes."""

    __slots__ = ("counter",)

    counter: DiskCounter

    async def append(self, name: str, data: bytes) -> None | Failure:
        """Count and append."""
        self.counter.written_bytes += len(data)
        return await super().append(name, data)

    async def sync(self, name: str) -> None | Failure:
        """Count and sync."""
        self.counter.syncs += 1
        return await super().sync(name)

    async def write_atomic(self, name: str, data: bytes) -> None | Failure:
        """Count and write."""
        self.counter.written_bytes += len(data)
        self.counter.syncs += 2
        return await super().write_atomic(name, data)


class CountingMachine:
    """State machine that counts commands."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> int:
        """Count a command."""
        self.count += 1
        return self.count

    def is_complete(self) -> bool:
        """Return True: a snapshot needs no further files."""
        return True

    def snapshot(self) -> bytes:
        """Return the count."""
        return self.count.to_bytes(8, "big")

    def restore(self, data: bytes) -> None:
        """Set the count."""
        self.count = int.from_bytes(data, "big")


class Fleet:
    """
    Three hosts of log groups in this process.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the hosts.
    folder : pathlib.Path
        Parent of their data folders.
    groups : int
        Number of log groups.
    max_batch_entries : int
        Largest number of entries in one write.
    """

    def __init__(
        self, *, nursery: trio.Nursery, folder: Path, groups: int = 1, max_batch_entries: int = 1024
    ) -> None:
        self.nursery = nursery
        self.folder = folder
        self.max_batch_entries = max_batch_entries
        self.disks = DiskCounter()
        self.network = CountingNetwork(network=TcpNetwork(), counts_accepted=True)
        self.timers = Timers()
        self.hosts = {f"group-{number}": list(HOSTS) for number in range(groups)}
        self.addresses: dict[str, Address] = {}
        self.sets: dict[str, GroupSet] = {}
        self.machines: dict[str, dict[str, CountingMachine]] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    def counts(self) -> dict[str, int]:
        """Return the traffic of the network and the disks; a message is one send."""
        return {
            "messages": self.network.sends,
            "network_bytes": self.network.sent_bytes,
            "disk_bytes": self.disks.written_bytes,
            "syncs": self.disks.syncs,
        }

    async def start_and_init(self) -> GroupSet:
        """Start and initialise all hosts; return the leader of the first group."""
        for host in HOSTS:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            self.addresses[host] = Address("127.0.0.1", listener.socket.getsockname()[1])
            await listener.aclose()
        for host in HOSTS:
            await self.start(host)
        client = PeerClient(network=self.network, host="bench", nursery=self.nursery)
        failure = await init_fleet(
            client, hosts=self.hosts, addresses=self.addresses, timeout_s=WAIT_TIMEOUT_S
        )
        if failure is not None:
            raise RuntimeError(str(failure))
        return await self.wait_for_leader()

    async def wait_for_leader(self) -> GroupSet:
        """Wait until every group has a leader; return that of the first one."""
        await self.wait_until(
            lambda: all(any(s[g].is_leader for s in self.sets.values()) for g in self.hosts)
        )
        return next(s for s in self.sets.values() if s["group-0"].is_leader)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            async for _ in self.timers.subscribe("wait", POLL_INTERVAL_S):
                if condition():
                    return

    async def start(self, host: str) -> None:
        """Start a host."""
        await self.nursery.start(self._run, host)

    async def _run(self, host: str, *, task_status: trio.TaskStatus[None]) -> None:
        path = self.folder / host
        path.mkdir(exist_ok=True)
        disk = CountingDisk(folder=path, timers=self.timers)
        disk.counter = self.disks
        machines = {name: CountingMachine() for name in self.hosts}
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                groups = GroupSet(
                    host=host,
                    hosts=self.hosts,
                    addresses=self.addresses,
                    client=PeerClient(network=self.network, host=host, nursery=nursery),
                    disk=disk,
                    machines=machines,
                    timers=self.timers,
                    rng=random.Random(host),
                    max_batch_entries=self.max_batch_entries,
                )
                self.sets[host], self.machines[host] = groups, machines
                self.scopes[host] = scope
                await nursery.start(groups.run)
                await nursery.start(
                    partial(
                        serve_peers,
                        self.network,
                        self.addresses[host],
                        groups.get_handlers(),
                        host=host,
                    )
                )
                task_status.started()
        disk.close()

    async def stop(self, host: str) -> None:
        """Stop a host."""
        self.scopes[host].cancel()
        del self.sets[host]
        await trio.sleep(0.1)


async def propose_until(
    groups: GroupSet, deadline: float, timers: Timers, payload_bytes: int
) -> int:
    """Propose from concurrent clients until a deadline; return the number of commits."""
    commits = 0

    async def run_client() -> None:
        nonlocal commits
        while timers.now() < deadline:
            result = await groups["group-0"].propose(bytes(payload_bytes), timeout_s=WAIT_TIMEOUT_S)
            if isinstance(result, Failure):
                raise RuntimeError(str(result))
            commits += 1

    async with trio.open_nursery() as nursery:
        for _ in range(CLIENTS):
            nursery.start_soon(run_client)
    return commits


async def propose_count(groups: GroupSet, count: int) -> None:
    """Propose a number of commands and wait for their commits."""
    limit = trio.CapacityLimiter(CLIENTS)

    async def propose() -> None:
        async with limit:
            result = await groups["group-0"].propose(bytes(PAYLOAD_BYTES), timeout_s=WAIT_TIMEOUT_S)
        if isinstance(result, Failure):
            raise RuntimeError(str(result))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(propose)


async def measure_commits(
    max_batch_entries: int, payload_bytes: int = PAYLOAD_BYTES
) -> dict[str, float]:
    """Measure commits with a limit on the batch size."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery=nursery, folder=Path(folder), max_batch_entries=max_batch_entries)
            leader = await fleet.start_and_init()
            await propose_count(leader, CLIENTS)
            before, cpu = fleet.counts(), time.process_time()
            started = fleet.timers.now()
            commits = await propose_until(leader, started + COMMIT_S, fleet.timers, payload_bytes)
            elapsed_s = fleet.timers.now() - started
            cpu_s = time.process_time() - cpu
            after = fleet.counts()
            nursery.cancel_scope.cancel()
    spent = {name: after[name] - before[name] for name in after}
    return {
        "commits_per_s": commits / elapsed_s,
        "cpu_ms_per_commit_3_hosts": cpu_s * 1000 / commits,
        **{f"{name}_per_commit_3_hosts": count / commits for name, count in spent.items()},
    }


def has_applied(group: Group, index: int) -> bool:
    """Return whether a group has applied an index."""
    return group.applied_index >= index


async def measure_catch_up() -> dict[str, Any]:
    """Measure the time for a restarted host to catch up, by the number of missed entries."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery=nursery, folder=Path(folder))
            leader = await fleet.start_and_init()
            host = next(name for name in HOSTS if fleet.sets[name] is not leader)
            for missed in MISSED:
                await fleet.stop(host)
                await propose_count(leader, missed)
                target = leader["group-0"].applied_index
                before, cpu = fleet.network.sent_bytes, time.process_time()
                started = fleet.timers.now()
                await fleet.start(host)
                opened = fleet.timers.now()
                group = fleet.sets[host]["group-0"]
                await fleet.wait_until(partial(has_applied, group, target))
                points.append(
                    {
                        "missed": missed,
                        "seconds": fleet.timers.now() - started,
                        "seconds_to_open": opened - started,
                        "cpu_s_3_hosts": time.process_time() - cpu,
                        "network_bytes": fleet.network.sent_bytes - before,
                        "commands_applied": fleet.machines[host]["group-0"].count,
                    }
                )
            nursery.cancel_scope.cancel()
    by_entries = [point for point in points if point["missed"] <= 4000]
    slope = statistics.linear_regression(
        [point["missed"] for point in by_entries], [point["seconds"] for point in by_entries]
    )
    return {
        "points": points,
        "slope_ms_per_1000_missed_up_to_4000": slope.slope * 1e6,
        "intercept_ms": slope.intercept * 1000,
    }


async def measure_idle(groups: int) -> dict[str, float]:
    """Measure the total cost of idle groups on all three hosts."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery=nursery, folder=Path(folder), groups=groups)
            await fleet.start_and_init()
            await trio.sleep(1)
            before, cpu = fleet.counts(), time.process_time()
            await trio.sleep(IDLE_S)
            cpu_s = time.process_time() - cpu
            after = fleet.counts()
            nursery.cancel_scope.cancel()
    rates = {name: (after[name] - before[name]) / IDLE_S for name in after}
    return {"cpu_s": cpu_s / IDLE_S, **rates}


def idle_per_member(few: dict[str, float], many: dict[str, float]) -> dict[str, float]:
    """Return the cost per second of one additional group for one member."""
    members = (IDLE_GROUPS[1] - IDLE_GROUPS[0]) * len(HOSTS)
    return {f"{name}_per_s": (many[name] - few[name]) / members for name in few}


async def run_bench() -> dict[str, Any]:
    """Run all measurements, alternating batched and single commits."""
    batched, single = [], []
    for _ in range(COMMIT_ROUNDS):
        batched.append(await measure_commits(1024))
        single.append(await measure_commits(1))
    ratios = [
        one["commits_per_s"] / other["commits_per_s"]
        for one, other in zip(batched, single, strict=True)
    ]
    large = [await measure_commits(1024, RECORD_BYTES) for _ in range(COMMIT_ROUNDS)]
    idle = [await measure_idle(groups) for groups in IDLE_GROUPS]
    return {
        "clients": CLIENTS,
        "payload_bytes": PAYLOAD_BYTES,
        "group_commit": batched,
        "record_bytes": RECORD_BYTES,
        "group_commit_of_records": large,
        "one_entry_per_write": single,
        "ratio_of_commits_per_s": ratios,
        "catch_up": await measure_catch_up(),
        "idle_one_group_3_hosts_per_s": idle[0],
        "idle_group_per_member": idle_per_member(*idle),
    }


def main() -> None:
    """Print the measurements."""
    json.dump(trio.run(run_bench), sys.stdout, indent=2)
    sys.stdout.write("\n")


if __name__ == "__main__":
    main()

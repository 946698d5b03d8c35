"""
Measures the cost of an idle node and the time until a change is in force; prints JSON.

Run ``python -m bench.nodes``. Every node is a process of its own, started with
``python -m marigoldtrail serve`` on loopback: three control hosts that are not entries, and 3, 6
and 9 entries. Memory is also measured with manifests of increasing size. The upstreams are
stand-ins in the process of the benchmark.
"""

from __future__ import annotations

import json
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from bench.fit import fit_line
from bench.processes import rates_between, read_connections, sample_process
from marigoldtrail.api import ApiClient
from marigoldtrail.demo.deployments import (
    TSVETANOV,
    Deployment,
    build_manifest,
    build_settings,
)
from marigoldtrail.demo.runner import init_groups_when_ready, parse_node_settings
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.node.tests.fleet import is_free
from marigoldtrail.schema import parse_manifest
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.timers import Timers

CONTROL_HOSTS = 3
ENTRIES = (3, 6, 9)
# Numbers of client accounts and upstreams in the manifests for which memory is measured.
MANIFESTS = ((0, 0), (5_000, 240), (10_000, 480), (15_000, 720))
PORT_RANGE = 250
SETTLE_S = 5.0
MEASURE_S = 12.0
CHANGES = 4
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
SERVICE = "booking"


class BenchFleet:
    """
    A fleet of real processes.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    entries : int
        Number of entries, in addition to the control hosts.
    """

    def __init__(self, *, folder: Path, entries: int) -> None:
        self.deployment = Deployment(
            name=TSVETANOV.name,
            data_centres=TSVETANOV.data_centres,
            hosts=CONTROL_HOSTS + entries,
            control_hosts=CONTROL_HOSTS,
            engines=2,
            services={SERVICE: True},
            replicas=2,
            first_port=find_free_ports(),
        )
        self.manifest = {**build_manifest(self.deployment), "client_accounts": []}
        self.entries: list[str] = []
        self.controls: list[str] = []
        self.api: dict[str, Address] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = folder
        self._documents = build_settings(self.deployment, folder)

    def start(self) -> None:
        """Start every node."""
        for document in self._documents:
            host = document["host"]
            if document["data_folder"]:
                self.controls.append(host)
                document["roles"] = ["control"]
                document["api_address"] = ""
            else:
                self.entries.append(host)
                self.api[host] = Address.parse(document["api_address"])
            path = self._folder / f"{host}.json"
            path.write_text(json.dumps(document))
            command = [sys.executable, "-m", "marigoldtrail", "serve", "--settings", str(path)]
            with path.with_suffix(".log").open("ab") as log:
                self.processes[host] = subprocess.Popen(command, stderr=log)

    def stop(self) -> None:
        """Kill every node."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    async def init(self) -> None:
        """Initialise the log groups and put the first manifest in force."""
        await init_groups_when_ready(parse_node_settings(self._documents[0]))
        await self.submit(self.manifest)

    async def submit(self, manifest: dict[str, Any]) -> None:
        """Submit a manifest through the last entry."""
        document = json.dumps(manifest).encode()

        async def put(client: ApiClient) -> bool:
            return not isinstance(await client.submit_manifest(document, "bench"), Failure)

        await self.wait_for(self.entries[-1], put)

    async def wait_for(self, host: str, call: Callable[[ApiClient], Awaitable[bool]]) -> None:
        """Repeat a call to one entry until it returns true."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            async with ApiClient(address=self.api[host]) as client:
                async for _ in Timers().subscribe("bench.poll", POLL_INTERVAL_S):
                    if await call(client):
                        return

    async def wait_everywhere(self, call: Callable[[ApiClient], Awaitable[bool]]) -> None:
        """Repeat a call to every entry until it has returned true for each."""
        async with trio.open_nursery() as nursery:
            for host in self.entries:
                nursery.start_soon(self.wait_for, host, call)

    async def measure(self) -> dict[str, Any]:
        """Measure the idle processes; figures of entries and followers are medians."""
        await trio.sleep(SETTLE_S)
        first, started = self._sample(), time.monotonic()
        await trio.sleep(MEASURE_S)
        last, elapsed = self._sample(), time.monotonic() - started
        rates = {host: rates_between(first[host], last[host], elapsed) for host in first}
        # The leader of group config receives the Syncs and thus the most bytes.
        controls = sorted(
            (rates[host] for host in self.controls), key=lambda r: r["received_bytes_per_s"]
        )
        return {
            "entry": compute_medians([rates[host] for host in self.entries]),
            "control_leader": round_rates(controls[-1]),
            "control_follower": compute_medians(controls[:-1]),
        }

    def _sample(self) -> dict[str, Any]:
        connections = read_connections()
        return {
            host: sample_process(process.pid, connections)
            for host, process in self.processes.items()
        }


def round_rates(rates: dict[str, float]) -> dict[str, float]:
    """Round every rate."""
    return {name: round(value, 3) for name, value in rates.items()}


def compute_medians(rates: list[dict[str, float]]) -> dict[str, float]:
    """Return the median of every rate over several processes."""
    return round_rates({name: statistics.median(r[name] for r in rates) for name in rates[0]})


def find_free_ports() -> int:
    """Return the first of a range of free ports below the kernel's ephemeral range."""
    rng = random.Random()
    while True:
        first = rng.randrange(23000, 31000, PORT_RANGE)
        if all(is_free(first + offset) for offset in range(PORT_RANGE)):
            return first


@asynccontextmanager
async def run_fleet(
    entries: int, prepare: Callable[[BenchFleet, StandinFleet], None] | None = None
) -> AsyncIterator[BenchFleet]:
    """Run a fleet with its manifest in force; `prepare` may change manifest and stand-ins."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = BenchFleet(folder=Path(folder), entries=entries)
        parsed = parse_manifest(json.dumps(fleet.manifest).encode())
        if isinstance(parsed, list):
            raise RuntimeError(str(parsed[0]))
        standin_fleet = StandinFleet(manifest=parsed, network=TcpNetwork(), timers=Timers())
        if prepare is not None:
            prepare(fleet, standin_fleet)
        async with trio.open_nursery() as nursery:
            await nursery.start(standin_fleet.run)
            try:
                fleet.start()
                await fleet.init()
                yield fleet
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()


async def measure_changes(fleet: BenchFleet) -> dict[str, float]:
    """Measure the time from submission until a change is in force on every entry."""
    manifests, takeouts = [], []
    jitter = random.Random(1)
    target = fleet.entries[0]
    for index in range(CHANGES):
        await trio.sleep(jitter.uniform(0.2, 1.2))
        name = f"query_{index}"
        stage = {"name": "list", "kind": "service", "pool": SERVICE, "path": "/query"}
        fleet.manifest["number"] += 1
        fleet.manifest["pipelines"].append({"name": name, "stages": [stage]})

        async def runs(client: ApiClient, name: str = name) -> bool:
            return not isinstance(await client.submit(name, "bench", {}), Failure)

        started = trio.current_time()
        await fleet.submit(fleet.manifest)
        await fleet.wait_everywhere(runs)
        manifests.append(trio.current_time() - started)
        await trio.sleep(jitter.uniform(0.2, 1.2))
        state = "out" if index % 2 == 0 else "in"

        async def is_takeout_visible(client: ApiClient, state: str = state) -> bool:
            answer = await client.request("GET", "/v1/addresses")
            if isinstance(answer, Failure):
                return False
            hosts = {entry["host"] for entry in answer["addresses"]}
            return (target in hosts) == (state == "in")

        async def set_service_state(
            client: ApiClient, state: str = state, number: int = index + 1
        ) -> bool:
            reply = await client.set_service("host", target, state, number, "bench")
            return not isinstance(reply, Failure)

        started = trio.current_time()
        await fleet.wait_for(fleet.entries[-1], set_service_state)
        await fleet.wait_everywhere(is_takeout_visible)
        takeouts.append(trio.current_time() - started)
    return round_rates(
        {
            "manifest_median_s": statistics.median(manifests),
            "manifest_max_s": max(manifests),
            "takeout_median_s": statistics.median(takeouts),
            "takeout_max_s": max(takeouts),
        }
    )


async def measure_size(entries: int) -> dict[str, Any]:
    """Measure a fleet with a number of entries."""
    async with run_fleet(entries) as fleet:
        return {"entries": entries, **await fleet.measure(), **await measure_changes(fleet)}


async def measure_manifests() -> list[dict[str, Any]]:
    """Measure a fleet of 3 entries with manifests of increasing size."""
    results = []
    async with run_fleet(ENTRIES[0]) as fleet:
        base = fleet.manifest
        for accounts, upstreams in MANIFESTS:
            base["number"] += 1
            # Upstreams without load reports are not probed and get no calls in this benchmark.
            extra = [
                {
                    "name": f"extra-{index}",
                    "pool": "extra",
                    "kind": "service",
                    "address": f"127.0.0.1:{index + 1}",
                    "data_centre": fleet.deployment.data_centres[0],
                    "host": f"gpu-{index}",
                    "capacity": 64,
                    "reports_load": False,
                }
                for index in range(upstreams)
            ]
            names = [{"name": f"account-{index:05d}"} for index in range(accounts)]
            manifest = {**base, "upstreams": base["upstreams"] + extra, "client_accounts": names}
            await fleet.submit(manifest)
            results.append({"accounts": accounts, "upstreams": upstreams, **await fleet.measure()})
    return results


def fit_roles(runs: list[dict[str, Any]], size: str) -> dict[str, Any]:
    """Fit every figure of every role against a size."""
    roles = ("entry", "control_leader", "control_follower")
    return {
        role: {
            name: fit_line({run[size]: run[role][name] for run in runs}) for name in runs[0][role]
        }
        for role in roles
    }


async def run_bench() -> dict[str, Any]:
    """Run all measurements."""
    runs = [await measure_size(entries) for entries in ENTRIES]
    manifests = await measure_manifests()
    return {
        "nodes": runs,
        "fit_per_entry": fit_roles(runs, "entries"),
        "change_fit_s_per_entry": {
            name: fit_line({run["entries"]: run[name] for run in runs})
            for name in ("manifest_median_s", "takeout_median_s")
        },
        "manifests": manifests,
        "fit_per_account": fit_roles(manifests, "accounts"),
    }


def main() -> None:
    """Print the figures."""
    sys.stdout.write(json.dumps(trio.run(run_bench), indent=2) + "\n")


if __name__ == "__main__":
    main()

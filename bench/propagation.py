"""Measures the propagation of configuration changes and the cost of Sync by number of nodes.

``python -m bench.propagation`` runs control hosts and entry nodes over TCP on loopback and prints
JSON. In the cost runs the entry nodes share a process of their own, whose CPU time divided by their
number is the cost of one node.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import subprocess
import sys
import time
import timeit
import zlib
from collections.abc import Callable

import trio

from bench.loopback import CountingNetwork
from marigoldtrail.consensus import GroupSet, init_fleet
from marigoldtrail.control import (
    PARTITIONS,
    CheckedManifest,
    ConfigMachine,
    ControlService,
    check_manifest,
)
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import ControlClient, FleetView, SyncLoop
from marigoldtrail.net import Address, PeerClient, TcpNetwork, serve_peers
from marigoldtrail.schema.generated.control import (
    OwnerAssignment,
    SetService,
    SubmitManifest,
    SubmitReply,
    SyncReply,
    UpstreamObservation,
)
from marigoldtrail.schema.generated.settings import ControlHost, LogGroup, Settings
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.timers import Timers

CONTROL_HOSTS = 3
FIRST_PORT = 27100
PROPAGATION_NODES = (3, 6, 9, 30)
CHANGES = 5
COST_NODES = (30, 100, 330)
UPSTREAMS = 720
WARM_UP_S = 6.0
MEASURE_S = 15.0
STATE_CHANGES_PER_S = 1
POLL_INTERVAL_S = 0.002


def build_manifest(number: int, upstreams: int, accounts: int = 5) -> bytes:
    """Return a manifest with nine pipelines, seven models and the given sections."""
    models = [f"model-{index}" for index in range(7)]
    document = {
        "number": number,
        "models": [{"name": name, "version": "2026.11", "min_warm": 1} for name in models],
        "pipelines": [
            {
                "name": f"pipeline-{index}",
                "stages": [
                    {
                        "name": f"stage-{stage}",
                        "kind": "generate",
                        "pool": f"pool-{(index + stage) % 7}",
                        "model": models[(index + stage) % 7],
                    }
                    for stage in range(4)
                ],
            }
            for index in range(9)
        ],
        "upstreams": [
            {
                "name": f"engine-{index:03d}",
                "pool": f"pool-{index % 7}",
                "kind": "engine",
                "address": f"10.{index % 9}.{index // 250}.{index % 250}:8000",
                "data_centre": f"dc-{index % 9}",
                "host": f"gpu-{index:03d}",
                "capacity": 64,
                "cold_slots": 2,
                "models": [models[index % 7]],
                "checks_fencing": index % 2 == 0,
            }
            for index in range(upstreams)
        ],
        "client_accounts": [{"name": f"account-{index:05d}"} for index in range(accounts)],
    }
    return json.dumps(document).encode()


def build_settings(host: str, port: int, *, is_control: bool) -> Settings:
    """Return the settings of one node; the control hosts use the ports from `FIRST_PORT` on."""
    return Settings(
        host=host,
        data_centre=f"dc-{port % 9}",
        roles=["control", "entry"] if is_control else ["entry"],
        peer_address=f"127.0.0.1:{port}",
        api_address=f"127.0.0.1:{port + 10000}",
        control_hosts=[
            ControlHost(host=f"c{i}", data_centre="dc-0", peer_address=f"127.0.0.1:{port}")
            for i, port in enumerate(range(FIRST_PORT, FIRST_PORT + CONTROL_HOSTS))
        ],
    )


class BenchNode:
    """Node without a request path: a view, Syncs and, on control hosts, group config."""

    def __init__(self, *, host: str, port: int, is_control: bool, network: CountingNetwork) -> None:
        self.cfg = build_settings(host, port, is_control=is_control)
        self.is_control = is_control
        self.network = network
        self.timers = Timers()
        self.view = FleetView(timers=self.timers, control_hosts=self.cfg.control_hosts)
        self.members = [peer.host for peer in self.cfg.control_hosts]
        self.loads = random.Random(port)
        self.client: ControlClient | None = None
        self.groups: GroupSet | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            peers = PeerClient(network=self.network, host=self.cfg.host, nursery=nursery)
            self.client = ControlClient(
                peers=peers,
                view=self.view,
                timers=self.timers,
                groups=[LogGroup(name="config", members=self.members)],
            )
            loop = SyncLoop(
                settings=self.cfg,
                incarnation=self.timers.wall_ms(),
                view=self.view,
                client=self.client,
                timers=self.timers,
                observations=self.observe,
            )
            if self.is_control:
                await self._start_control(peers, nursery)
            await nursery.start(loop.run)
            task_status.started()

    async def _start_control(self, peers: PeerClient, nursery: trio.Nursery) -> None:
        machine = ConfigMachine()
        addresses = {peer.host: Address.parse(peer.peer_address) for peer in self.cfg.control_hosts}
        self.groups = GroupSet(
            host=self.cfg.host,
            hosts={"config": self.members},
            addresses=addresses,
            client=peers,
            disk=MemoryDisk(rng=random.Random(1)),
            machines={"config": machine},
            timers=self.timers,
        )
        service = ControlService(
            host=self.cfg.host,
            group=self.groups["config"],
            machine=machine,
            timers=self.timers,
            telemetry=Telemetry(host=self.cfg.host, timers=self.timers),
        )
        handlers = self.groups.get_handlers() | service.get_handlers()
        address = Address.parse(self.cfg.peer_address)

        async def serve(task_status: trio.TaskStatus[Address]) -> None:
            await serve_peers(
                self.network, address, handlers, host=self.cfg.host, task_status=task_status
            )

        await nursery.start(self.groups.run)
        await nursery.start(serve)
        await nursery.start(service.run)

    def observe(self) -> list[UpstreamObservation]:
        """Return a new load for every owned upstream; some also change their state."""
        manifest = self.view.manifest
        if not self.is_control or manifest is None:
            return []
        now_ms = self.timers.wall_ms()
        seen = []
        for index, upstream in enumerate(manifest.upstreams):
            owner = self.view.owner_of(upstream.name)
            if owner is None or owner.host != self.cfg.host:
                continue
            is_changing = (index + now_ms // 1000) % (UPSTREAMS // STATE_CHANGES_PER_S) == 0
            seen.append(
                UpstreamObservation(
                    upstream=upstream.name,
                    instance=f"{upstream.name}/1",
                    state="warming" if is_changing else "warm",
                    load=self.loads.randrange(256),
                    sampled_ms=now_ms,
                    cold_slots=2,
                    models=upstream.models,
                )
            )
        return seen


async def start_control(nursery: trio.Nursery, network: CountingNetwork) -> list[BenchNode]:
    """Start the control hosts and wait until the partitions of upstreams have owners."""
    nodes = [
        BenchNode(host=f"c{i}", port=FIRST_PORT + i, is_control=True, network=network)
        for i in range(CONTROL_HOSTS)
    ]
    for node in nodes:
        await nursery.start(node.run)
    cfg = nodes[0].cfg
    addresses = {peer.host: Address.parse(peer.peer_address) for peer in cfg.control_hosts}
    async with trio.open_nursery() as admin:
        client = PeerClient(network=network, host="admin", nursery=admin)
        failure = await init_fleet(
            client, hosts={"config": nodes[0].members}, addresses=addresses, timeout_s=5
        )
        if failure is not None:
            raise RuntimeError(str(failure))
        admin.cancel_scope.cancel()
    last = PARTITIONS - 1
    await wait_until(lambda: all(node.view.owner_of_partition(last) for node in nodes))
    return nodes


async def wait_until(condition: Callable[[], bool], timeout_s: float = 60.0) -> None:
    """Poll a condition every `POLL_INTERVAL_S` until it holds."""
    with trio.fail_after(timeout_s):
        async for _ in Timers().subscribe("poll", POLL_INTERVAL_S):
            if condition():
                return


async def measure_propagation(count: int) -> dict[str, object]:
    """Measure the time from submission until a change is in force on all nodes."""
    manifests: list[float] = []
    takeouts: list[float] = []
    async with trio.open_nursery() as nursery:
        network = CountingNetwork(network=TcpNetwork())
        nodes = await start_control(nursery, network)
        for index in range(count - CONTROL_HOSTS):
            port = FIRST_PORT + 100 + index
            node = BenchNode(host=f"e{index}", port=port, is_control=False, network=network)
            await nursery.start(node.run)
            nodes.append(node)
        await wait_until(lambda: all(node.view.is_current() for node in nodes))
        operator = nodes[-1].client
        assert operator is not None
        jitter = random.Random(1)
        for number in range(1, CHANGES + 1):
            await trio.sleep(jitter.uniform(0.2, 1.2))
            started = trio.current_time()
            document = build_manifest(number, 40)
            request = SubmitManifest(document=document, operator="bench")
            check_accepted(await operator.submit_manifest(request))
            await wait_until(lambda n=number: all(node.view.number == n for node in nodes))  # type: ignore
            manifests.append(trio.current_time() - started)
            await trio.sleep(jitter.uniform(0.2, 1.2))
            started = trio.current_time()
            name = f"dc-{number}"
            takeout = SetService(
                kind="data_centre", name=name, state="out", number=1, operator="bench"
            )
            check_accepted(await operator.set_service(takeout))
            await wait_until(
                lambda n=name: all(  # type: ignore
                    node.view.is_out_of_service("data_centre", n) for node in nodes
                )
            )
            takeouts.append(trio.current_time() - started)
        nursery.cancel_scope.cancel()
    return {
        "nodes": count,
        "manifest_median_s": round(statistics.median(manifests), 3),
        "manifest_max_s": round(max(manifests), 3),
        "takeout_median_s": round(statistics.median(takeouts), 3),
        "takeout_max_s": round(max(takeouts), 3),
    }


def check_accepted(reply: SubmitReply | Failure) -> None:
    """Raise if a change was not accepted."""
    if isinstance(reply, Failure) or reply.outcome != "accepted":
        raise RuntimeError(f"change was not accepted: {reply}")


async def measure_cost(count: int) -> dict[str, object]:
    """Measure bytes, messages and CPU time of Sync with a number of entry nodes."""
    async with trio.open_nursery() as nursery:
        network = CountingNetwork(network=TcpNetwork())
        nodes = await start_control(nursery, network)
        client = nodes[0].client
        assert client is not None
        document = build_manifest(1, UPSTREAMS)
        check_accepted(
            await client.submit_manifest(SubmitManifest(document=document, operator="bench"))
        )
        await trio.sleep(3)
        idle_started = time.process_time()
        await trio.sleep(MEASURE_S / 3)
        idle_share = (time.process_time() - idle_started) / (MEASURE_S / 3)
        child = await trio.lowlevel.open_process(
            [sys.executable, "-m", "bench.propagation", "--entries", str(count)],
            stdout=subprocess.PIPE,
        )
        assert child.stdout is not None
        await wait_for_line(child.stdout)
        started, cpu_started = trio.current_time(), time.process_time()
        output = await wait_for_line(child.stdout)
        elapsed = trio.current_time() - started
        busy_share = (time.process_time() - cpu_started) / elapsed
        await child.wait()
        nursery.cancel_scope.cancel()
    result: dict[str, object] = json.loads(output)
    result["control_process_core_share_idle"] = round(idle_share, 4)
    result["control_process_core_share"] = round(busy_share, 4)
    result["leader_us_per_sync"] = round(1e6 * (busy_share - idle_share) / count, 1)
    return result


async def wait_for_line(stream: trio.abc.ReceiveStream) -> str:
    """Read one line of the output of a child process."""
    data = bytearray()
    while not data.endswith(b"\n"):
        chunk = await stream.receive_some(1)
        if not chunk:
            break
        data += chunk
    return data.decode()


async def run_entries(count: int) -> None:
    """Run entry nodes; print a line when the measurement begins, then its result."""
    network = CountingNetwork(network=TcpNetwork())
    nodes = [
        BenchNode(host=f"e{i}", port=FIRST_PORT + 100 + i, is_control=False, network=network)
        for i in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            # Starts are spread over a Sync interval, as in a running fleet.
            await trio.sleep(1 / count)
            nursery.start_soon(node.run)
        await wait_until(lambda: all(node.view.manifest is not None for node in nodes))
        await trio.sleep(WARM_UP_S)
        sys.stdout.write("measuring\n")
        sys.stdout.flush()
        network.reset()
        started, cpu_started = trio.current_time(), time.process_time()
        await trio.sleep(MEASURE_S)
        elapsed = trio.current_time() - started
        cpu = time.process_time() - cpu_started
        current = sum(node.view.is_current() for node in nodes)
        nursery.cancel_scope.cancel()
    per_node = count * elapsed
    result = {
        "nodes": count,
        "upstreams": UPSTREAMS,
        "nodes_current": current,
        "sent_bytes_per_s_per_node": round(network.sent_bytes / per_node, 1),
        "received_bytes_per_s_per_node": round(network.received_bytes / per_node, 1),
        "messages_sent_per_s_per_node": round(network.sends / per_node, 3),
        "node_core_share": round(cpu / per_node, 6),
        "leader_messages_per_s": round(network.sends / elapsed, 1),
    }
    sys.stdout.write(json.dumps(result) + "\n")
    sys.stdout.flush()


def measure_manifest(accounts: int) -> dict[str, object]:
    """Measure the size and validation time of a manifest in a Sync reply."""
    document = build_manifest(1, UPSTREAMS, accounts)
    started = time.perf_counter()
    checked = check_manifest(document)
    seconds = time.perf_counter() - started
    assert isinstance(checked, CheckedManifest)
    return {
        "upstreams": UPSTREAMS,
        "client_accounts": accounts,
        "document_bytes": len(checked.document),
        "reply_bytes": len(zlib.compress(checked.document, 9)),
        "validation_ms": round(1000 * seconds, 1),
    }


def measure_lookups() -> dict[str, float]:
    """Measure lookups in the view as a ratio to a plain dictionary lookup."""
    view = FleetView(timers=Timers())
    document = zlib.compress(build_manifest(1, UPSTREAMS))
    owners = [OwnerAssignment(partition=i, host="c0", epoch=1) for i in range(PARTITIONS)]
    reply = SyncReply(
        term=1,
        revisions={},
        manifest_number=1,
        manifest=document,
        owners=owners,
        loads=bytes(UPSTREAMS),
    )
    view.apply(reply, sent_at=0.0)
    plain = {f"engine-{index:03d}": index for index in range(UPSTREAMS)}
    baseline = min(timeit.repeat(lambda: plain.get("engine-500"), number=100_000))
    lookups: dict[str, Callable[[], object]] = {
        "is_out": lambda: view.is_out_of_service("upstream", "engine-500"),
        "upstream_status": lambda: view.upstream_status("engine-500"),
        "load_of": lambda: view.load_of("engine-500"),
        "owner_of": lambda: view.owner_of("engine-500"),
    }
    return {
        name: round(min(timeit.repeat(lookup, number=100_000)) / baseline, 2)
        for name, lookup in lookups.items()
    }


async def measure_lookups_async() -> dict[str, float]:
    """Run `measure_lookups` inside trio, where the monotonic clock can be read."""
    await trio.lowlevel.checkpoint()
    return measure_lookups()


def slope_ms_per_node(runs: list[dict[str, object]], figure: str) -> float:
    """Return the least-squares slope of a figure in milliseconds per node."""
    slope, _ = statistics.linear_regression(
        [float(str(run["nodes"])) for run in runs], [float(str(run[figure])) for run in runs]
    )
    return round(1000 * slope, 2)


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=0, help="run entry nodes only")
    entries = parser.parse_args().entries
    if entries:
        trio.run(run_entries, entries)
        return
    propagation = [trio.run(measure_propagation, count) for count in PROPAGATION_NODES]
    cost = [trio.run(measure_cost, count) for count in COST_NODES]
    result = {
        "propagation": propagation,
        "manifest_slope_ms_per_node": slope_ms_per_node(propagation, "manifest_median_s"),
        "takeout_slope_ms_per_node": slope_ms_per_node(propagation, "takeout_median_s"),
        "sync_cost": cost,
        "lookups_to_dictionary_ratio": trio.run(measure_lookups_async),
        "manifest_reply": [measure_manifest(5), measure_manifest(15000)],
    }
    sys.stdout.write(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()

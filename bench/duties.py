"""
Measures how the cost of the tasks of a control host grows with their state; prints JSON.

Run ``python -m bench.duties``. It measures the probes of a slot owner, the memory of its state, the
scan of the sweeper over pending claims, a pass of the scheduler of weight loads, and the state of
group config. The probes are sent over loopback to a stand-in in another process.
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
import time
import zlib
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import trio

from bench import hop, propagation, records, slots
from bench.fit import fit_line
from marigoldtrail.control import ConfigMachine
from marigoldtrail.control.commands import MarkOrder, PlanOrder, PutManifest, encode_command
from marigoldtrail.control.leader_state import LeaderState
from marigoldtrail.control.orders import OrderManager
from marigoldtrail.net import TcpNetwork
from marigoldtrail.records import Sweeper
from marigoldtrail.schema.generated.control import UpstreamObservation
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.slots import SlotOwner, UpstreamProber
from marigoldtrail.storage import FolderDisk, open_folder
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import UpstreamClient

OWNED = (30, 60, 120)
PROBES_S = 6.0
ENGINES = (180, 360, 720)
PENDING = (1_000, 2_000, 4_000)
REPEATS = 9
MODELS = 7
SWEEP_S, PLAN_S = 1.0, 0.5


class OwnedView(slots.BenchView):
    """
    View in which one host owns a number of upstreams that report their load.

    Parameters
    ----------
    count : int
        Number of upstreams.
    port : int
        Port of the stand-in that all upstreams share.
    """

    def __init__(self, count: int, port: int) -> None:
        super().__init__()
        upstreams = [
            msgspec.structs.replace(
                slots.make_upstream(number), address=f"127.0.0.1:{port}", reports_load=True
            )
            for number in range(count)
        ]
        self.manifest = Manifest(number=1, pipelines=[], upstreams=upstreams)


async def measure_probes(count: int, port: int) -> dict[str, float]:
    """Measure the share of a core that probes use, and the size of their observations."""
    timers = Timers()
    telemetry = Telemetry(host=slots.HOST, timers=timers)
    view = OwnedView(count, port)
    owner = SlotOwner(host=slots.HOST, view=view, timers=timers, telemetry=telemetry)
    client = UpstreamClient(
        network=TcpNetwork(),
        timers=timers,
        view=view,
        telemetry=telemetry,
        on_evidence=lambda *evidence: None,
    )
    prober = UpstreamProber(
        owner=owner, read_load=client.read_load, timers=timers, telemetry=telemetry
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(prober.run)
        await trio.sleep(2)
        cpu, started = time.process_time(), time.monotonic()
        await trio.sleep(PROBES_S)
        cpu, elapsed = time.process_time() - cpu, time.monotonic() - started
        nursery.cancel_scope.cancel()
    observations = prober.observations()
    return {
        "core_percent": 100 * cpu / elapsed,
        "observation_bytes": len(msgspec.msgpack.encode(observations)),
        "upstreams_reached": sum(bool(item.instance) for item in observations),
    }


def build_owner(count: int) -> SlotOwner:
    """Return an owner that holds the state of a number of upstreams."""
    owner = slots.make_owner(OwnedView(count, 1))
    owner.refresh()
    return owner


class LeaderLog:
    """Stub of the log of a group that this host leads."""

    is_leader = True
    leader = slots.HOST


def build_sweeper(disk: FolderDisk, count: int) -> Sweeper:
    """Return a sweeper over pending claims."""
    machine = records.make_machine(disk, f"pending-{count}")
    for number in range(count):
        machine.apply(number, records.claim_commands(number)[0])
    timers = Timers()
    return Sweeper(
        log=LeaderLog(),  # type: ignore[arg-type]
        machine=machine,
        query_outcome=None,  # type: ignore[arg-type]
        timers=timers,
        telemetry=Telemetry(host=slots.HOST, timers=timers),
    )


def scan(sweeper: Sweeper) -> None:
    """Scan for due claims, of which there must be none."""
    if sweeper._find_overdue_claims(time.monotonic()):
        raise RuntimeError("a claim was due immediately")


def build_config(count: int) -> tuple[ConfigMachine, LeaderState]:
    """Return a leader whose engines all hold their model and have completed an order."""
    machine, timers = ConfigMachine(), Timers()
    document = msgspec.json.decode(propagation.build_manifest(1, count))
    for model in document["models"]:
        model["min_warm"] = count // MODELS
    command = PutManifest(
        number=1,
        digest="0" * 64,
        document=zlib.compress(msgspec.json.encode(document)),
        concurrent_loads=4,
        operator="bench",
        wall_ms=1,
    )
    machine.apply(1, encode_command(command))
    leader = LeaderState(
        term=1,
        machine=machine,
        timers=timers,
        telemetry=Telemetry(host=slots.HOST, timers=timers),
        reads_platform=False,
    )
    leader.update_manifest()
    assert leader.manifest is not None
    for index, upstream in enumerate(leader.manifest.upstreams, start=2):
        add_engine(machine, leader, upstream, index)
    return machine, leader


def add_engine(machine: ConfigMachine, leader: LeaderState, upstream: Upstream, index: int) -> None:
    """Add a completed order of an engine and a report of its model."""
    order = PlanOrder(
        upstream=upstream.name,
        action="load_model",
        model=upstream.models[0],
        version="2026.11",
        previous_fencing=0,
        wall_ms=1,
    )
    machine.apply(index, encode_command(order))
    # Completed orders do not count towards the limit of concurrent loads.
    done = MarkOrder(upstream=upstream.name, fencing=index, state="done", detail="")
    machine.apply(index, encode_command(done))
    leader.upstream_states.merge(
        [
            UpstreamObservation(
                upstream=upstream.name,
                instance=f"instance-{index}",
                state="warm",
                load=100,
                sampled_ms=1,
                models=upstream.models,
            )
        ]
    )


def median_ms(call: Callable[[], Any]) -> float:
    """Return the median CPU time of a call in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        times.append(1000 * (time.process_time() - started))
    return statistics.median(times)


def measure_planner(count: int) -> dict[str, float]:
    """Measure one scheduling pass over all models, and the state of group config."""
    machine, leader = build_config(count)
    if len(machine.state.orders) != count:
        raise RuntimeError(f"{len(machine.state.orders)} of {count} orders were planned")
    timers = Timers()
    manager = OrderManager(
        group=None,  # type: ignore[arg-type]
        machine=machine,
        leader=leader,
        timers=timers,
        telemetry=Telemetry(host=slots.HOST, timers=timers),
        send_order=None,  # type: ignore[arg-type]
    )
    assert leader.manifest is not None
    models = leader.manifest.models
    return {
        "pass_ms": median_ms(lambda: [manager._choose_engine(model) for model in models]),
        "snapshot_bytes": len(machine.snapshot()),
        "memory_bytes": records.measure_allocated_bytes(partial(build_config, count)),
    }


def fit_runs(runs: dict[int, dict[str, float]]) -> dict[str, Any]:
    """Return runs by size with a line fitted to each figure."""
    names = next(iter(runs.values()))
    fits = {name: fit_line({size: run[name] for size, run in runs.items()}) for name in names}
    return {"runs": runs, "fit": fits}


async def run_bench() -> dict[str, Any]:
    """Run all measurements."""
    with hop.run_child("standins") as standins:
        line = await trio.to_thread.run_sync(standins.stdout.readline)
        port = json.loads(line)["ports"][0]
        probes = {count: await measure_probes(count, port) for count in OWNED}
    with tempfile.TemporaryDirectory() as folder:
        disk = open_folder(folder, timers=Timers())
        if not isinstance(disk, FolderDisk):
            raise RuntimeError(str(disk))
        sweeps = {}
        for count in PENDING:
            sweeper = build_sweeper(disk, count)
            sweeps[count] = {
                "scan_ms": median_ms(partial(scan, sweeper)),
                "memory_bytes": records.measure_allocated_bytes(
                    partial(build_sweeper, disk, count)
                ),
            }
    owners = {
        count: {"memory_bytes": records.measure_allocated_bytes(partial(build_owner, count))}
        for count in OWNED
    }
    return {
        "slot_owner_probes_by_upstreams": fit_runs(probes),
        "slot_owner_state_by_upstreams": fit_runs(owners),
        "sweeper_by_pending_claims": {**fit_runs(sweeps), "interval_s": SWEEP_S},
        "planner_by_engines": {
            **fit_runs({count: measure_planner(count) for count in ENGINES}),
            "interval_s": PLAN_S,
        },
    }


def main() -> None:
    """Print the figures."""
    sys.stdout.write(json.dumps(trio.run(run_bench), indent=2) + "\n")


if __name__ == "__main__":
    main()

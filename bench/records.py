"""
Measures the cost of claims and records: throughput, bytes, memory and lookup times; prints JSON.

Run ``python -m bench.records``. Commands are applied to the state machine and written to
segment files on a real disk, with one fsync per group of commands; the replicated log is left out.
"""

from __future__ import annotations

import gc
import json
import statistics
import sys
import tempfile
import time
import tracemalloc
import uuid
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import trio

from marigoldtrail.records import RecordMachine, SegmentStore, SettledBy, encode_command
from marigoldtrail.records.archive import CHUNK_CLAIMS, Archive
from marigoldtrail.records.claim import Location
from marigoldtrail.records.claims import MAX_RECENT_DONE
from marigoldtrail.records.machine import OpenCommand, PutCommand, SettleCommand
from marigoldtrail.records.search import search_records
from marigoldtrail.schema.generated.records import (
    FindRecords,
    OpenClaim,
    ResultRecord,
    SettleClaim,
    StageRecord,
)
from marigoldtrail.storage import FolderDisk, open_folder
from marigoldtrail.timers import Timers

GROUP_SIZES = (1, 16, 256)
GROUPS = {1: 300, 16: 100, 256: 20}
RECENT_SIZES = (2_000, 4_000, 8_000)
ARCHIVED_SIZES = tuple(CHUNK_CLAIMS * chunks for chunks in (1, 2, 3))
# The newest claims are kept in full; the last size adds one sealed chunk of archived claims.
SNAPSHOT_SIZES = (2_000, MAX_RECENT_DONE, MAX_RECENT_DONE + CHUNK_CLAIMS)
INDEX_SIZES = (5_000, 10_000, 20_000)
LOOKUP_SIZES = (5_000, 20_000, 60_000)
LOOKUPS = 300
STAGES = 4
ANSWER = json.dumps({"booking": "0123456789", "slot": "2026-12-04T10:00", "price": 120}).encode()
OUTPUT = b'"' + b"x" * 500 + b'"'


def make_digest() -> str:
    """Return a random text with the length of a SHA-256 digest."""
    return uuid.uuid4().hex * 2


def make_record(number: int) -> ResultRecord:
    """Return a record whose fields have typical lengths."""
    stages = [
        StageRecord(
            stage=f"stage-{stage}",
            kind="service",
            upstream=f"orders-{stage}",
            instance=uuid.uuid4().hex,
            attempt_id=f"00{uuid.uuid4().hex}.{stage}",
            attempts=1,
            result_digest=make_digest(),
            started_ms=1_765_000_000_000 + number,
            duration_ms=40,
        )
        for stage in range(STAGES)
    ]
    return ResultRecord(
        request_id=f"00{uuid.uuid4().hex}",
        client_account=f"account-{number % 50}",
        pipeline="order",
        request_digest=make_digest(),
        manifest_number=17,
        stages=stages,
        outcome="answered",
        result_digest=make_digest(),
        started_ms=1_765_000_000_000 + number,
        finished_ms=1_765_000_000_200 + number,
        entry="entry-1",
        data_centre="nbo-1",
        idempotency_key=uuid.uuid4().hex,
        output=OUTPUT,
    )


def put_command(number: int) -> bytes:
    """Return the command that stores a record."""
    raw = msgspec.Raw(msgspec.msgpack.encode(make_record(number)))
    return encode_command(PutCommand(raw, number))


def claim_commands(number: int) -> tuple[bytes, bytes]:
    """Return the commands that open and settle a claim."""
    key, attempt = uuid.uuid4().hex, f"00{uuid.uuid4().hex}.1"
    request_id = f"00{uuid.uuid4().hex}"
    opened = OpenClaim(
        client_account=f"account-{number % 50}",
        idempotency_key=key,
        stage="book",
        digest=make_digest(),
        request_id=request_id,
        attempt_id=attempt,
        entry="entry-1",
        upstream="booking-2",
        deadline_wall_ms=number,
        outcome_path="/outcome",
    )
    settled = SettleClaim(
        client_account=opened.client_account,
        idempotency_key=key,
        stage="book",
        request_id=request_id,
        attempt_id=attempt,
        state="done",
        answer=ANSWER,
    )
    return (
        encode_command(OpenCommand(opened, number)),
        encode_command(SettleCommand(settled, SettledBy.ATTEMPT, number)),
    )


def make_machine(disk: FolderDisk, folder: str) -> RecordMachine:
    """Return an empty machine."""
    return RecordMachine(store=SegmentStore(disk=disk, folder=folder))


async def measure_throughput(disk: FolderDisk, kind: str, size: int) -> dict[str, float]:
    """Apply groups of commands, each followed by one flush with fsync."""
    machine = make_machine(disk, f"{kind}-{size}")
    groups = []
    for group in range(GROUPS[size]):
        numbers = range(group * size, (group + 1) * size)
        if kind == "claims":
            commands = [command for number in numbers for command in claim_commands(number)]
        else:
            commands = [put_command(number) for number in numbers]
        groups.append(commands)
    index, count = 0, GROUPS[size] * size
    started = time.perf_counter()
    cpu_started = time.process_time()
    for commands in groups:
        for command in commands:
            index += 1
            machine.apply(index, command)
        await machine.store.flush()
    elapsed = time.perf_counter() - started
    cpu = time.process_time() - cpu_started
    stored = sum(machine.store.get_durable_size(number) for number in machine.store.list_numbers())
    return {
        "per_s": round(count / elapsed, 1),
        "cpu_us_each": round(cpu / count * 1e6, 1),
        "command_bytes_each": round(sum(len(c) for group in groups for c in group) / count, 1),
        "segment_bytes_each": round(stored / count, 1),
    }


def fit_slope(points: dict[int, int]) -> float:
    """Return the slope of the least-squares line of bytes by size."""
    return round(statistics.linear_regression(list(points), list(points.values())).slope, 1)


def measure_allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that remain allocated for the result of a function."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def build_claims(disk: FolderDisk, size: int) -> RecordMachine:
    """Return a machine with settled claims, without the bytes of their answers."""
    machine = make_machine(disk, "memory")
    for number in range(size):
        for command in claim_commands(number):
            machine.apply(number, command)
        if number % 1000 == 0:
            drop_tails(machine)
    drop_tails(machine)
    return machine


def build_archive(size: int) -> Archive:
    """Return an archive of claims."""
    archive = Archive()
    for number in range(size):
        archive.add("account-1", uuid.uuid4().hex, Location(1 + number // 30_000, number % 30_000))
    return archive


def build_records(disk: FolderDisk, size: int, *, seal: bool) -> RecordMachine:
    """Return a machine with indexed records, without their bytes and the recent ids."""
    machine = make_machine(disk, "memory")
    for number in range(size):
        machine.apply(number, put_command(number))
        drop_tails(machine)
    machine._recent_records.clear()
    for segment in machine.store._segments.values() if seal else ():
        segment.index.seal()
    return machine


def drop_tails(machine: RecordMachine) -> None:
    """Discard the bytes that a flush would have written to disk."""
    for segment in machine.store._segments.values():
        segment.tail.clear()


def measure_snapshot(machine: RecordMachine) -> dict[str, float]:
    """Return the size of a snapshot and the time to take it."""
    started = time.perf_counter()
    data = machine.snapshot()
    return {
        "ms": round((time.perf_counter() - started) * 1000, 1),
        "bytes": len(data),
    }


async def measure_memory(disk: FolderDisk) -> dict[str, Any]:
    """Measure the memory of claims, and of the index of records before and after sealing."""
    result: dict[str, Any] = {}
    builders: dict[str, tuple[tuple[int, ...], Callable[[int], Any]]] = {
        "recent_claims": (RECENT_SIZES, lambda size: build_claims(disk, size)),
        "archived_claims": (ARCHIVED_SIZES, build_archive),
        "open_index": (INDEX_SIZES, lambda size: build_records(disk, size, seal=False)),
        "sealed_index": (INDEX_SIZES, lambda size: build_records(disk, size, seal=True)),
    }
    for name, (sizes, build) in builders.items():
        points = {size: measure_allocated_bytes(partial(build, size)) for size in sizes}
        result[name] = {"bytes": points, "slope_bytes_each": fit_slope(points)}
        await trio.lowlevel.checkpoint()
    result["snapshots"] = {
        str(size): measure_snapshot(build_claims(disk, size)) for size in SNAPSHOT_SIZES
    }
    return result


async def measure_lookups(disk: FolderDisk) -> dict[str, Any]:
    """Measure lookups of flushed records by existing and by missing request ids."""
    result: dict[str, Any] = {}
    for size in LOOKUP_SIZES:
        machine = make_machine(disk, f"lookup-{size}")
        for number in range(size):
            machine.apply(number, put_command(number))
            if number % 5000 == 0:
                await machine.store.flush()
        await machine.store.flush()
        ids = list(machine._recent_records)[:: max(1, len(machine._recent_records) // LOOKUPS)][
            :LOOKUPS
        ]
        found, missed = [], []
        for request_id in ids:
            for wanted, times in ((request_id, found), (f"00{uuid.uuid4().hex}", missed)):
                request = FindRecords(group="records-0", request_id=wanted)
                started = time.perf_counter()
                records = await search_records(machine.store, request)
                times.append(time.perf_counter() - started)
                if not isinstance(records, list) or len(records) != (wanted == request_id):
                    raise RuntimeError(f"lookup of {wanted} returned {records}")
        result[str(size)] = {
            "segments": len(machine.store.list_numbers()),
            "found_us": round(statistics.median(found) * 1e6, 1),
            "missed_us": round(statistics.median(missed) * 1e6, 1),
        }
    return result


async def run_bench() -> dict[str, Any]:
    """Run every measurement in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        disk = open_folder(folder, timers=Timers())
        if not isinstance(disk, FolderDisk):
            raise RuntimeError(str(disk))
        result: dict[str, Any] = {"claims": {}, "records": {}}
        for kind in ("claims", "records"):
            for size in GROUP_SIZES:
                result[kind][f"group_{size}"] = await measure_throughput(disk, kind, size)
        result["memory"] = await measure_memory(disk)
        result["lookups"] = await measure_lookups(disk)
        disk.close()
        return result


def main() -> None:
    """Print the figures."""
    sys.stdout.write(json.dumps(trio.run(run_bench), indent=2) + "\n")


if __name__ == "__main__":
    main()

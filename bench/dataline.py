"""
Measures the CPU time of one entry per request and token, and latencies at callers; prints JSON.

Run ``python -m bench.dataline``. The entry, three control hosts and the callers run in processes of
their own, the stand-ins in the process of the benchmark. Requests and streams take the complete
path: admission control, selection, record, end marker.
"""

from __future__ import annotations

import json
import sys
import time
from contextlib import AsyncExitStack
from typing import Any

import trio

from bench.fit import fit_line
from bench.hop import BenchEngine
from bench.nodes import BenchFleet, run_fleet
from bench.processes import read_connections, sample_process
from marigoldtrail.api import ApiClient
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.timers import Timers

REQUESTS_PER_S = (10, 20, 40)
REQUESTS_S = 6.0
STREAMS = (8, 16, 32)
# 2.1 M tokens/s over 7,000 requests/s; a stream takes 6 s under the deadline of 11 s.
TOKENS_PER_STREAM = 300
TOKEN_S = 0.02
PREFILL_S = 0.005
STREAM_STAGGER_S = 0.05
WARM_TIMEOUT_S = 60.0
# Far above the number of streams: a stream that had to wait for a batch would miss its deadline.
ENGINE_CAPACITY = 64
# A client opens at most 10 connections; with fewer clients, requests would wait for a connection.
CALLERS = 40


def percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)


async def send_requests(clients: list[ApiClient], rate: int) -> dict[str, Any]:
    """Send requests at a fixed rate for `REQUESTS_S`."""
    times: list[float] = []
    failures: list[str] = []

    async def send(number: int) -> None:
        await trio.sleep(number / rate)
        started = time.perf_counter()
        client = clients[number % len(clients)]
        answer = await client.submit("slot_list", "bench", {"number": number})
        times.append(time.perf_counter() - started)
        if isinstance(answer, Failure):
            failures.append(str(answer))

    async with trio.open_nursery() as nursery:
        for number in range(int(rate * REQUESTS_S)):
            nursery.start_soon(send, number)
    return {
        "requests": len(times),
        "failures": failures[:3],
        "median_ms": percentile_ms(times, 0.5),
        "p95_ms": percentile_ms(times, 0.95),
    }


async def read_streams(clients: list[ApiClient], count: int) -> dict[str, Any]:
    """Read streams concurrently."""
    firsts: list[float] = []
    gaps: list[float] = []
    failures: list[str] = []
    tokens = 0

    async def read(number: int) -> None:
        nonlocal tokens
        await trio.sleep(number * STREAM_STAGGER_S)
        client = clients[number % len(clients)]
        last = started = time.perf_counter()
        async with client.stream("generate_only", "bench", f"prompt {number}") as stream:
            if isinstance(stream, Failure):
                failures.append(str(stream))
                return
            async for first, _ in stream:
                now = time.perf_counter()
                (gaps if first else firsts).append(now - last)
                last = now
            if stream.end is None:
                failures.append(f"{stream.failure} after {last - started:.1f} s")
            else:
                tokens += stream.end["count"]

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(read, number)
    return {
        "requests": count,
        "tokens": tokens,
        "events": len(firsts) + len(gaps),
        "failures": failures[:3],
        "first_token_p50_ms": percentile_ms(firsts, 0.5),
        "first_token_p95_ms": percentile_ms(firsts, 0.95),
        "first_token_max_ms": percentile_ms(firsts, 1.0),
        "gap_p50_ms": percentile_ms(gaps, 0.5),
        "gap_p95_ms": percentile_ms(gaps, 0.95),
    }


async def run_caller(port: int, kind: str, size: int) -> None:
    """Run the callers and print their measurements."""
    async with AsyncExitStack() as stack:
        address = Address("127.0.0.1", port)
        clients = [
            await stack.enter_async_context(ApiClient(address=address)) for _ in range(CALLERS)
        ]
        call = send_requests if kind == "requests" else read_streams
        print(json.dumps(await call(clients, size)))


async def measure_run(fleet: BenchFleet, kind: str, size: int) -> dict[str, Any]:
    """Measure the CPU time of the entry and the control hosts during one run of the callers."""
    port = fleet.api[fleet.entries[0]].port
    command = [sys.executable, "-m", "bench.dataline", str(port), kind, str(size)]
    before, started = cpu_times(fleet), time.monotonic()
    child = await trio.run_process(command, capture_stdout=True)
    elapsed, after = time.monotonic() - started, cpu_times(fleet)
    result: dict[str, Any] = json.loads(child.stdout)
    if result["failures"]:
        raise RuntimeError(f"{kind} at {size}: {result['failures']}")
    result["elapsed_s"] = round(elapsed, 2)
    result["entry_cpu_s"] = round(after[fleet.entries[0]] - before[fleet.entries[0]], 3)
    result["control_cpu_s"] = round(sum(after[h] - before[h] for h in fleet.controls), 3)
    return result


def cpu_times(fleet: BenchFleet) -> dict[str, float]:
    """Return the CPU time of every node in seconds."""
    connections = read_connections()
    return {h: sample_process(p.pid, connections).cpu_s for h, p in fleet.processes.items()}


async def wait_warm(fleet: BenchFleet) -> None:
    """Wait until every upstream is warm."""

    async def is_warm(client: ApiClient) -> bool:
        status = await client.get_status()
        if isinstance(status, Failure):
            return False
        states = {item["upstream"]: item["state"] for item in status["upstreams"]}
        return all(states.get(up["name"]) == "warm" for up in fleet.manifest["upstreams"])

    with trio.fail_after(WARM_TIMEOUT_S):
        await fleet.wait_for(fleet.entries[0], is_warm)


def use_long_streams(fleet: BenchFleet, standin_fleet: StandinFleet) -> None:
    """Replace the engines by engines that always generate `TOKENS_PER_STREAM` tokens."""
    stage = {
        "name": "generate",
        "kind": "generate",
        "pool": "engines",
        "model": fleet.manifest["models"][0]["name"],
        "max_tokens": TOKENS_PER_STREAM,
    }
    fleet.manifest["pipelines"].append({"name": "generate_only", "stages": [stage]})
    for upstream in fleet.manifest["upstreams"]:
        if upstream["kind"] == "engine":
            process = standin_fleet.standins[upstream["name"]].process
            upstream["capacity"] = process.capacity = ENGINE_CAPACITY
            standin_fleet.standins[upstream["name"]] = BenchEngine(
                process=process,
                timers=Timers(),
                token_s=TOKEN_S,
                prefill_s=PREFILL_S,
            )


def summarise(runs: list[dict[str, Any]], count: str) -> dict[str, Any]:
    """Fit CPU time against the number of requests or tokens."""
    fits = {
        name: fit_line({run[count]: run[f"{name}_cpu_s"] * 1e6 for run in runs})
        for name in ("entry", "control")
    }
    return {
        "runs": runs,
        f"cpu_us_fit_by_{count}": fits,
        f"{count}_per_s_of_one_entry_core": round(1e6 / fits["entry"]["slope"], 1),
    }


async def run_bench() -> dict[str, Any]:
    """Run all measurements."""
    async with run_fleet(1, prepare=use_long_streams) as fleet:
        await wait_warm(fleet)
        # Discarded: the first run includes opening connections.
        await measure_run(fleet, "requests", REQUESTS_PER_S[0])
        requests = [await measure_run(fleet, "requests", rate) for rate in REQUESTS_PER_S]
        streams = [await measure_run(fleet, "streams", count) for count in STREAMS]
    tokens = sum(run["tokens"] for run in streams)
    return {
        "requests": summarise(requests, "requests"),
        "streams": summarise(streams, "tokens"),
        "tokens_per_event": round(tokens / sum(run["events"] for run in streams), 2),
        "engine": {"token_ms": TOKEN_S * 1000, "prefill_ms": PREFILL_S * 1000},
    }


def main(arguments: list[str]) -> None:
    """Print the figures, or run the callers."""
    if arguments:
        trio.run(run_caller, int(arguments[0]), arguments[1], int(arguments[2]))
        return
    print(json.dumps(trio.run(run_bench), indent=2))


if __name__ == "__main__":
    main(sys.argv[1:])

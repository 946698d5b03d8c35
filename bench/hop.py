"""
Measures the overhead of a stage hop and of a relayed token; prints JSON.

Run ``python -m bench.hop``. The stand-ins and the reader of streams run in processes of their own,
so that CPU times are those of the entry alone.
"""

from __future__ import annotations

import itertools
import json
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any

import httpcore
import msgspec
import trio

from marigoldtrail.api import ApiClient, ApiContext, build_app, serve_api
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.schema.generated.control import NodeStatus, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.schema.generated.records import PutRecord, PutRecordReply
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.serving import Answer, PipelineRequest, Server, compute_digest
from marigoldtrail.serving.coalescer import Coalescer
from marigoldtrail.standins import Engine, PoolService, Process, run_standin
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import StageCall, UpstreamClient

TARGET_RATIO = 3.0
TARGET_EVENTS_PER_S = 6400

ROUNDS = 20
CALLS_PER_ROUND = 100
MANY_STAGES = 6

# Together the engines generate the target rate of 6,400 tokens/s for two seconds.
ENGINES = 2
STREAMS = 32
TOKENS_PER_STREAM = 400
TOKEN_S = 0.005

SOCKET_ROUNDS = 2000

LOOPBACK = Address("127.0.0.1", 0)
PAYLOAD = {"query": "a long design brief " * 20}


class BenchEngine(Engine):
    """Engine that always generates the maximum number of tokens."""

    __slots__ = ()

    def _count_tokens(self, prompt: str, model: str, max_tokens: int) -> int:
        return max_tokens


async def run_standins() -> None:
    """Run a pool and an engine; print their ports and instances."""
    timers = Timers()
    pool = PoolService(
        process=Process(name="pool-1", timers=timers, capacity=64),
        timers=timers,
        kind="encoder",
        work_s=0.0,
    )
    engine = BenchEngine(
        process=Process(name="engine-1", timers=timers, capacity=STREAMS),
        timers=timers,
        token_s=TOKEN_S,
        prefill_s=0.0,
    )
    async with trio.open_nursery() as nursery:
        ports = []
        for standin in (pool, engine):
            run = partial(run_standin, standin, network=TcpNetwork(), address=LOOPBACK)
            address: Address = await nursery.start(run)
            ports.append(address.port)
        instances = [pool.process.instance, engine.process.instance]
        print(json.dumps({"ports": ports, "instances": instances}), flush=True)


async def read_streams(port: int) -> None:
    """Read streams from an entry and print the number of events, tokens and failures."""
    counts = {"events": 0, "tokens": 0, "failures": 0}

    async def read(number: int) -> None:
        async with ApiClient(address=Address("127.0.0.1", port)) as client:
            async with client.stream("generate", "acme", f"prompt {number}") as stream:
                if isinstance(stream, Failure):
                    counts["failures"] += 1
                    return
                async for _ in stream:
                    counts["events"] += 1
                if stream.end is None:
                    counts["failures"] += 1
                else:
                    counts["tokens"] += stream.end["count"]

    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(read, number)
    print(json.dumps(counts), flush=True)


@contextmanager
def run_child(*arguments: str) -> Any:
    """Run this module in another process."""
    command = [sys.executable, "-m", "bench.hop", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


class InstantControl:
    """Stub that commits records immediately, so that only the work of the entry is measured."""

    record_groups = ["records-0"]

    async def put_record(self, request: PutRecord, *, timeout_s: float) -> PutRecordReply:
        """Return the reply of a commit."""
        return PutRecordReply(index=1)


class WarmView:
    """View in which all upstreams are warm."""

    def __init__(self, manifest: Manifest, instances: dict[str, str]) -> None:
        self.manifest = manifest
        self.number = manifest.number
        self.digest = "bench"
        self.nodes: list[NodeStatus] = []
        self._statuses = {
            name: UpstreamStatus(upstream=name, instance=instance, state="warm")
            for name, instance in instances.items()
        }

    def is_current(self) -> bool:
        """Return True: the view never expires here."""
        return True

    def is_out_of_service(self, kind: str, name: str) -> bool:
        """Return False: nothing is out of service here."""
        return False

    def is_leaving_host(self, host: str) -> bool:
        """Return False: no host is leaving here."""
        return False

    def load_of(self, upstream: str) -> int:
        """Return 0: no upstream is loaded."""
        return 0

    def upstream_status(self, upstream: str) -> UpstreamStatus | None:
        """Return the state of an upstream."""
        return self._statuses.get(upstream)


def build_manifest(pool_port: int, engine_ports: list[int]) -> Manifest:
    """Return a manifest with pipelines of one stage and of `MANY_STAGES` stages."""

    def stage(number: int) -> dict[str, Any]:
        return {"name": f"s{number}", "kind": "encode", "pool": "pool", "path": "/encode"}

    def upstream(pool: str, kind: str, port: int, number: int = 1) -> dict[str, Any]:
        return {
            "name": f"{pool}-{number}",
            "pool": pool,
            "kind": kind,
            "address": f"127.0.0.1:{port}",
            "data_centre": "dc",
            "host": pool,
            "capacity": 64,
        }

    return msgspec.convert(
        {
            "number": 1,
            "pipelines": [
                {"name": "one", "stages": [stage(0)]},
                {"name": "many", "stages": [stage(number) for number in range(MANY_STAGES)]},
                {"name": "generate", "stages": [stage(0)]},
            ],
            "upstreams": [
                upstream("pool", "encoder", pool_port),
                *(
                    upstream("engine", "engine", port, number)
                    for number, port in enumerate(engine_ports, 1)
                ),
            ],
        },
        Manifest,
    )


class RelayServer:
    """Relays one generation to the caller, with or without coalescing tokens into events."""

    def __init__(
        self, upstreams: UpstreamClient, engines: list[Upstream], timers: Timers, coalesced: bool
    ) -> None:
        self._upstreams = upstreams
        self._engines = itertools.cycle(engines)
        self._timers = timers
        self._coalesced = coalesced

    async def run_request(self, req: PipelineRequest, sink: Any) -> Any:
        """Relay a generation."""
        call = StageCall(
            request_id=req.request_id,
            attempt_id=req.request_id,
            client_account=req.client_account,
            stage="generate",
            input=req.input,
            max_tokens=TOKENS_PER_STREAM,
        )
        parts: list[str] = []
        async with trio.open_nursery() as nursery:
            coalescer = Coalescer(timers=self._timers, sink=sink)
            nursery.start_soon(coalescer.run)
            emit = coalescer.add if self._coalesced else sink.token
            async with self._upstreams.stream(next(self._engines), call, timeout_s=60) as stream:
                if isinstance(stream, Failure):
                    return stream
                async for chunk in stream:
                    if isinstance(chunk, Failure):
                        return chunk
                    parts.append(chunk.text)
                    await emit(chunk.first, chunk.text)
            await coalescer.finish()
            nursery.cancel_scope.cancel()
        text = "".join(parts)
        return Answer(
            request_id=req.request_id,
            output=text,
            count=len(parts),
            digest=compute_digest(text),
            record=None,  # type: ignore[arg-type]
        )


class BenchEntry:
    """Entry in this process, connected to stand-ins in other processes."""

    def __init__(self, standins: list[dict[str, Any]]) -> None:
        self.timers = Timers(seed=1)
        self.telemetry = Telemetry(host="bench", timers=self.timers)
        self.manifest = build_manifest(
            standins[0]["ports"][0], [standin["ports"][1] for standin in standins]
        )
        self.pool, *self.engines = self.manifest.upstreams
        instances = {self.pool.name: standins[0]["instances"][0]}
        for engine, standin in zip(self.engines, standins, strict=True):
            instances[engine.name] = standin["instances"][1]
        self.view = WarmView(self.manifest, instances)
        self.upstreams = UpstreamClient(
            network=TcpNetwork(),
            timers=self.timers,
            view=self.view,
            telemetry=self.telemetry,
            on_evidence=lambda *evidence: print("evidence", evidence, file=sys.stderr),
        )
        cfg = Settings(
            host="bench",
            data_centre="dc",
            roles=["entry"],
            peer_address="127.0.0.1:1",
            control_hosts=[],
        )
        self.server = Server(
            cfg=cfg,
            view=self.view,
            control=InstantControl(),
            slots=None,
            upstreams=self.upstreams,
            timers=self.timers,
            telemetry=self.telemetry,
            rng=random.Random(1),
        )
        self._number = 0

    def next_id(self) -> str:
        """Return a new request id."""
        self._number += 1
        return f"00{self._number:030x}"

    async def call_bare(self, http: httpcore.AsyncConnectionPool) -> None:
        """Send the request of a stage with httpcore only."""
        request_id = self.next_id()
        body = msgspec.json.encode(
            {
                "request_id": request_id,
                "attempt_id": request_id,
                "client_account": "acme",
                "stage": "s0",
                "deadline_ms": 1000,
                "input": PAYLOAD,
            }
        )
        url = f"http://{self.pool.address}/encode"
        response = await http.request("POST", url, content=body)
        assert response.status == 200

    async def call_upstream(self) -> None:
        """Send the request of a stage with the upstream client."""
        request_id = self.next_id()
        call = StageCall(
            request_id=request_id,
            attempt_id=request_id,
            client_account="acme",
            stage="s0",
            path="/encode",
            input=PAYLOAD,
        )
        answer = await self.upstreams.call(self.pool, call, timeout_s=5, may_repeat=True)
        assert not isinstance(answer, Failure), answer

    async def run_pipeline(self, name: str) -> None:
        """Run a pipeline, including admission and record."""
        request_id = self.next_id()
        req = PipelineRequest(
            request_id=request_id,
            pipeline=name,
            client_account="acme",
            idempotency_key=request_id,
            deadline=self.timers.now() + 10,
            input=PAYLOAD,
            digest="d",
        )
        answer = await self.server.run_request(req, None)
        assert not isinstance(answer, Failure), answer


async def time_calls(call: Callable[[], Awaitable[None]]) -> tuple[float, float]:
    """Return the mean wall and CPU time of a call in microseconds."""
    wall, cpu = time.perf_counter(), time.process_time()
    for _ in range(CALLS_PER_ROUND):
        await call()
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    return wall / CALLS_PER_ROUND * 1e6, cpu / CALLS_PER_ROUND * 1e6


async def measure_hops(bench: BenchEntry) -> dict[str, Any]:
    """Compare a bare HTTP call, a call of the upstream client and a stage of a pipeline."""
    async with httpcore.AsyncConnectionPool() as http:
        calls: dict[str, Callable[[], Awaitable[None]]] = {
            "bare": partial(bench.call_bare, http),
            "client": bench.call_upstream,
            "one": partial(bench.run_pipeline, "one"),
            "many": partial(bench.run_pipeline, "many"),
        }
        samples: dict[str, list[tuple[float, float]]] = {name: [] for name in calls}
        for call in calls.values():
            await call()
        # Rounds are interleaved, so that a change of the system load affects all calls alike.
        for _ in range(ROUNDS):
            for name, call in calls.items():
                samples[name].append(await time_calls(call))
    figures: dict[str, Any] = {}
    for index, kind in enumerate(("wall_us", "cpu_us")):
        medians = {
            name: statistics.median(sample[index] for sample in values)
            for name, values in samples.items()
        }
        stage = (medians["many"] - medians["one"]) / (MANY_STAGES - 1)
        figures[kind] = {
            "bare_call": round(medians["bare"], 1),
            "client_call": round(medians["client"], 1),
            "pipeline_stage": round(stage, 1),
            "pipeline_of_one": round(medians["one"], 1),
            "client_to_bare": round(medians["client"] / medians["bare"], 2),
            "stage_to_bare": round(stage / medians["bare"], 2),
        }
    return figures


async def measure_tokens(bench: BenchEntry, *, coalesced: bool) -> dict[str, Any]:
    """Relay streams to a reader in another process; return throughput and CPU time per token."""
    relay = RelayServer(bench.upstreams, bench.engines, bench.timers, coalesced)
    ctx = ApiContext(
        server=relay,  # type: ignore[arg-type]
        view=bench.view,  # type: ignore[arg-type]
        control=InstantControl(),  # type: ignore[arg-type]
        telemetry=bench.telemetry,
        timers=bench.timers,
        host="bench",
        data_centre="dc",
    )
    async with trio.open_nursery() as nursery:
        address = await nursery.start(partial(serve_api, build_app(ctx), LOOPBACK))
        with run_child("reader", str(address.port)) as reader:
            wall, cpu = time.perf_counter(), time.process_time()
            line = await trio.to_thread.run_sync(reader.stdout.readline)
            wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
        nursery.cancel_scope.cancel()
    counts = json.loads(line)
    assert counts["failures"] == 0, counts
    assert counts["tokens"] == STREAMS * TOKENS_PER_STREAM, counts
    return {
        "tokens": counts["tokens"],
        "events": counts["events"],
        "tokens_per_s": round(counts["tokens"] / wall),
        "share_of_a_core": round(cpu / wall, 2),
        "cpu_us_per_token": round(cpu / counts["tokens"] * 1e6, 1),
        "cpu_us_per_event": round(cpu / counts["events"] * 1e6, 1),
        "tokens_per_s_of_one_core": round(counts["tokens"] / cpu),
        "events_per_s_of_one_core": round(counts["events"] / cpu),
    }


async def measure_socket() -> float:
    """Return the CPU time in microseconds of sending and receiving 100 bytes with trio."""
    left, right = (trio.SocketStream(sock) for sock in trio.socket.socketpair())
    cpu = time.process_time()
    for _ in range(SOCKET_ROUNDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(right.receive_some, 100)
            await trio.lowlevel.checkpoint()
            await left.send_all(bytes(100))
    return (time.process_time() - cpu) / SOCKET_ROUNDS * 1e6


async def run_bench() -> dict[str, Any]:
    """Run all measurements."""
    with ExitStack() as stack:
        children = [stack.enter_context(run_child("standins")) for _ in range(ENGINES)]
        found = [json.loads(await trio.to_thread.run_sync(c.stdout.readline)) for c in children]
        bench = BenchEntry(found)
        async with trio.open_nursery() as nursery:
            await nursery.start(bench.server.run)
            hops = await measure_hops(bench)
            socket_us = await measure_socket()
            plain = await measure_tokens(bench, coalesced=False)
            joined = await measure_tokens(bench, coalesced=True)
            nursery.cancel_scope.cancel()
    return {
        "hop": hops,
        "hop_target": {"stage_to_bare": TARGET_RATIO},
        "bare_send_and_receive_cpu_us": round(socket_us, 1),
        "relay": {"without_coalescing": plain, "with_coalescing": joined},
        "relay_target": {"events_per_s_of_one_core": TARGET_EVENTS_PER_S},
    }


def main(arguments: list[str]) -> None:
    """Run the benchmark or one of its child processes."""
    if arguments[:1] == ["standins"]:
        trio.run(run_standins)
    elif arguments[:1] == ["reader"]:
        trio.run(read_streams, int(arguments[1]))
    else:
        print(json.dumps(trio.run(run_bench), indent=2))


if __name__ == "__main__":
    main(sys.argv[1:])

"""
Measures the cost of slots: grants per second of one owner and bytes per grant; prints JSON.

Run ``python -m bench.slots``. The handlers are measured alone and over loopback TCP, with
client and owner in the same process.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import msgspec
import trio

from marigoldtrail.errors import Failure
from marigoldtrail.net import Address, Envelope, PeerClient, TcpNetwork, serve_peers
from marigoldtrail.schema.generated.control import OwnerAssignment, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.schema.generated.slots import (
    AcquireSlot,
    ReleaseReply,
    ReleaseSlots,
    SlotGrant,
    SlotRelease,
)
from marigoldtrail.slots import SlotClient, SlotOwner
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

HOST = "control-1"
UPSTREAMS = 240
CAPACITY = 64
GRANTS = 20_000
CLIENT_GRANTS = 4_000
WORKERS = 32
FRAME_LENGTH_BYTES = 4
# A new owner grants nothing for 12 s, so the clock is moved ahead by more than that.
CLOCK_OFFSET_S = 100.0


class OffsetTimers(Timers):
    """Timers with an adjustable offset of the monotonic clock."""

    __slots__ = ("offset",)

    def __init__(self) -> None:
        super().__init__()
        self.offset = 0.0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return super().now() + self.offset


class BenchView:
    """View in which one host owns every upstream and no upstream is known to be warm."""

    def __init__(self, address: Address | None = None) -> None:
        self.address = address
        self.manifest = Manifest(
            number=1, pipelines=[], upstreams=[make_upstream(i) for i in range(UPSTREAMS)]
        )

    def is_current(self) -> bool:
        """Return True."""
        return True

    def is_out_of_service(self, kind: str, name: str) -> bool:
        """Return False."""
        return False

    def is_leaving_host(self, host: str) -> bool:
        """Return False."""
        return False

    def upstream_status(self, upstream: str) -> UpstreamStatus | None:
        """Return None."""
        return None

    def owner_of(self, upstream: str) -> OwnerAssignment | None:
        """Return the one owner."""
        return OwnerAssignment(partition=1, host=HOST, epoch=1)

    def address_of(self, host: str) -> Address | None:
        """Return the owner's address."""
        return self.address


def make_upstream(number: int) -> Upstream:
    """Return an upstream with many slots."""
    return Upstream(
        name=f"upstream-{number}",
        pool="pool",
        kind="service",
        address="127.0.0.1:1",
        data_centre="d",
        host="h",
        capacity=CAPACITY,
        cold_slots=CAPACITY,
        reports_load=False,
    )


def make_owner(view: BenchView) -> SlotOwner:
    """Return an owner that is past its waiting period and may grant slots."""
    timers = OffsetTimers()
    telemetry = Telemetry(host=HOST, timers=timers)
    owner = SlotOwner(host=HOST, view=view, timers=timers, telemetry=telemetry)
    owner.refresh()
    timers.offset = CLOCK_OFFSET_S
    return owner


def make_request(number: int) -> AcquireSlot:
    """Return a request with a typical attempt id."""
    return AcquireSlot(
        upstream=f"upstream-{number % UPSTREAMS}",
        host="entry-1",
        incarnation=1,
        attempt_id=f"00{number:032x}.1",
        hold_s=4.0,
    )


def frame_bytes(message: msgspec.Struct, sender: str) -> int:
    """Return the size of a message on the wire in bytes."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    envelope = Envelope(1000, type(message).__name__, sender, body)
    return FRAME_LENGTH_BYTES + len(msgspec.msgpack.encode(envelope))


async def measure_handlers() -> dict[str, Any]:
    """Measure grants and releases without a network, and refusals for a full upstream."""
    owner = make_owner(BenchView())
    started = time.process_time()
    for number in range(GRANTS):
        grant = await owner.acquire(make_request(number), "entry-1")
        if isinstance(grant, Failure):
            raise RuntimeError(str(grant))
        release = SlotRelease(slot_id=grant.slot_id, upstream=grant.upstream, succeeded=False)
        await owner.release(ReleaseSlots(host="entry-1", releases=[release]), "entry-1")
    granted = time.process_time() - started
    for number in range(CAPACITY):
        await owner.acquire(make_request(number * UPSTREAMS), "entry-1")
    started = time.process_time()
    for number in range(GRANTS):
        refusal = await owner.acquire(make_request((number + CAPACITY) * UPSTREAMS), "entry-1")
        if not isinstance(refusal, Failure):
            raise RuntimeError("more slots were granted than the upstream has")
    refused = time.process_time() - started
    return {
        "grant_and_release_per_cpu_s": round(GRANTS / granted),
        "refusals_per_cpu_s": round(GRANTS / refused),
    }


async def measure_network() -> dict[str, Any]:
    """Measure acquire and release over loopback TCP with both sides in this process."""
    async with trio.open_nursery() as nursery:
        view = BenchView()
        owner = make_owner(view)
        network = TcpNetwork()
        view.address = await nursery.start(
            lambda task_status: serve_peers(
                network,
                Address("127.0.0.1", 0),
                owner.handlers(),
                host=HOST,
                task_status=task_status,
            )
        )
        peers = PeerClient(network=network, host="entry-1", nursery=nursery)
        client = SlotClient(host="entry-1", incarnation=1, view=view, peers=peers, timers=Timers())
        nursery.start_soon(client.run)
        times: list[float] = []

        async def work(worker: int) -> None:
            for number in range(CLIENT_GRANTS // WORKERS):
                target = f"upstream-{(number * WORKERS + worker) % UPSTREAMS}"
                acquire_started = time.perf_counter()
                slot = await client.acquire(target, f"{worker:034x}", 4.0)
                times.append(time.perf_counter() - acquire_started)
                if isinstance(slot, Failure):
                    raise RuntimeError(str(slot))
                client.release(slot, succeeded=False)

        started, cpu = time.perf_counter(), time.process_time()
        async with trio.open_nursery() as workers:
            for worker in range(WORKERS):
                workers.start_soon(work, worker)
        elapsed, cpu = time.perf_counter() - started, time.process_time() - cpu
        nursery.cancel_scope.cancel()
    times.sort()
    return {
        "grants_per_s": round(CLIENT_GRANTS / elapsed),
        "cpu_us_per_grant_both_sides": round(cpu / CLIENT_GRANTS * 1e6, 1),
        "median_ms_with_32_waiting": round(times[len(times) // 2] * 1000, 2),
    }


def measure_bytes() -> dict[str, Any]:
    """Return the sizes of messages on the wire, without TCP/IP headers."""
    request = make_request(7)
    grant = SlotGrant(
        slot_id=request.attempt_id,
        upstream=request.upstream,
        epoch=3,
        expires_in_s=4.0,
        instance="0123456789abcdef",
    )
    release = SlotRelease(
        slot_id=grant.slot_id,
        upstream=grant.upstream,
        succeeded=True,
        duration_ms=300,
        instance=grant.instance,
    )
    sizes = {
        "acquire": frame_bytes(request, "entry-1"),
        "grant": frame_bytes(grant, HOST),
        "release_alone": frame_bytes(ReleaseSlots(host="entry-1", releases=[release]), "entry-1"),
        "release_in_batch_of_16": round(
            frame_bytes(ReleaseSlots(host="entry-1", releases=[release] * 16), "entry-1") / 16, 1
        ),
        "release_reply": frame_bytes(ReleaseReply(released=1), HOST),
    }
    names = ("acquire", "grant", "release_alone", "release_reply")
    sizes["each_grant_at_most"] = sum(sizes[name] for name in names)
    return sizes


async def run_bench() -> dict[str, Any]:
    """Run every measurement."""
    return {
        "handlers": await measure_handlers(),
        "network": await measure_network(),
        "bytes": measure_bytes(),
    }


def main() -> None:
    """Print the figures."""
    sys.stdout.write(json.dumps(trio.run(run_bench), indent=2) + "\n")


if __name__ == "__main__":
    main()

"""A stream leaves a sound replica that is silent for a second for a replica that is full, and is lost."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from site_of_review import Site, encode, read_head, run_case  # noqa: E402

EVENTS = 20
EVENT_INTERVAL_S = 0.2
# A replica runs as many streams as it has slots, and queues a few more.
SLOTS = 4
QUEUE = 2
REPLICAS = 3
SILENT_AFTER_S = 1.0
SILENCE_S = 1.2
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "draft", "host": "shop.example", "path_prefix": "/draft/", "kind": "streaming",
         "timeout_ms": 12000, "target_latency_ms": 2000, "priority": 0, "service": "pool",
         "max_attempts": 2, "stages": [], "public": False, "sticky": False, "resumable": True,
         "gap_aim_ms": 200}
    ],
    "services": [
        {"name": "pool", "health_path": "/health", "max_connections": 370, "protocol": "h1",
         "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "planner", "api_keys": ["key-1"], "priority": 1}],
}


class Load:
    """Streams that run or wait at each replica, and until when a replica writes nothing."""

    def __init__(self) -> None:
        self.held: dict[str, int] = {}
        self.slots: dict[str, asyncio.Semaphore] = {}
        self.silent_until: dict[str, float] = {}


def make_answer(load: Load):
    async def answer(replica, request, writer) -> bool:
        record = replica.site.record
        request_id = request.get("x-request-id")
        if load.held.get(replica.id, 0) >= SLOTS + QUEUE:
            record.note(f"{replica.id} is full and rejects {request_id}")
            headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1")]
            writer.write(encode("HTTP/1.1 503 Service Unavailable", headers))
            return True
        first = int(request.get("last-event-id") or 0) + 1
        load.held[replica.id] = load.held.get(replica.id, 0) + 1
        slots = load.slots.setdefault(replica.id, asyncio.Semaphore(SLOTS))
        if slots.locked():
            record.note(f"{replica.id} queues {request_id}")
        await slots.acquire()
        record.note(f"{replica.id} runs {request_id} from event {first}")
        try:
            head = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}",
                    f"X-Response-Seal: s.{request_id}", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(first, EVENTS + 1):
                while (left_s := load.silent_until.get(replica.id, 0.0) - record.now()) > 0:
                    await asyncio.sleep(left_s)
                    record.note(f"{replica.id} goes on with {request_id}")
                event = f"id: {number}\ndata: event {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            slots.release()
            load.held[replica.id] -= 1
        return True

    return answer


async def follow_stream(site: Site, entry, request_id: str) -> bool:
    """Request a stream; return whether a complete answer came, which may be a refusal."""
    host, _, port = entry.listen["front"].rpartition(":")
    headers = [("Host", "shop.example"), ("X-Request-Id", request_id), ("X-Deadline-Ms", "12000"),
               ("Authorization", "Token key-1")]
    reader, writer = await asyncio.open_connection(host, int(port))
    events, is_complete, status = 0, False, None
    try:
        writer.write(encode("POST /draft/1 HTTP/1.1", headers, b"a brief"))
        head = await read_head(reader)
        status = head.status if head is not None else None
        while status == 200 and (line := await reader.readline()):
            size = int(line, 16)
            events += (await reader.readexactly(size + 2)).count(b"id: ")
            is_complete = size == 0
            if is_complete:
                break
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    site.record.note(
        f"client: {request_id} at {entry.name}: status {status}, {events} events, "
        f"{'complete' if is_complete else 'the connection ended without a complete answer'}"
    )
    return is_complete or status not in (None, 200)


async def case(site: Site, with_trouble: bool) -> bool:
    site.add_hosts(["za", "zb", "zc"], ["za", "zb"])
    load = Load()
    for zone in ("za", "zb", "zc")[:REPLICAS]:
        site.add_replica("pool", zone, slots=SLOTS).answer = make_answer(load)
    await site.start()
    await site.configure(CONFIG)
    await site.wait_ready()
    await asyncio.sleep(4.0)
    first, second = site.entries
    # Planned work at the first entry: its settings file has changed.
    first.write_settings()
    first.send(signal.SIGHUP)
    site.record.note(f"SIGHUP to {first.name}")
    await asyncio.sleep(0.2)
    # As many streams as all replicas run and queue.
    streams = []
    for number in range((SLOTS + QUEUE) * REPLICAS):
        entry = (first, second)[number % 2]
        streams.append(
            asyncio.create_task(follow_stream(site, entry, f"s{number:02d}"))
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(SILENT_AFTER_S)
    if with_trouble:
        silent = site.replicas[0]
        load.silent_until[silent.id] = site.record.now() + SILENCE_S
        site.record.note(f"{silent.id} is silent for {SILENCE_S} s")
    results = await asyncio.gather(*streams)
    lost = [n for n, is_complete in enumerate(results) if not is_complete and n % 2 == 0]
    site.record.note(
        f"{len(lost)} of {len(results) // 2} requests sent to {first.name} within 2 s of its "
        f"SIGHUP ended without a complete answer ({results.count(False)} of {len(results)} in all)"
    )
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

"""An entry that is cut off joins a part of an event to the events that another entry brings."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from site_of_review import Site, encode, read_head, run_case  # noqa: E402

EVENTS = 12
EVENT_INTERVAL_S = 0.05
# The first event is written in two parts, as its tokens are made.
FIRST_PART_S = 0.05
SECOND_PART_S = 0.4
STREAMS = 9
# As in the site file; an entry then prefers the replica of its own zone.
SLOTS = 64
REPLICAS = 3
WARM_STREAMS = 16
CUT_S = 5.5
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


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: words of event {number}\n\n".encode()


class Cut:
    """Whether the connections of the first entry are cut off from all replicas."""

    def __init__(self) -> None:
        self.is_on = False
        # Connections that carried a request of the first entry.
        self.of_first_entry: set[int] = set()
        # Streams of the first entry of which the first part was written.
        self.begun = 0


def make_answer(cut: Cut):
    async def answer(replica, request, writer) -> bool:
        request_id = request.get("x-request-id")
        if request_id.startswith("first") and not cut.is_on:
            cut.of_first_entry.add(id(writer))
        if cut.is_on and id(writer) in cut.of_first_entry:
            await asyncio.Future()
        first = int(request.get("last-event-id") or 0) + 1
        replica.site.record.note(f"{replica.id} runs {request_id} from event {first}")

        async def send(data: bytes) -> None:
            if cut.is_on and id(writer) in cut.of_first_entry:
                # Nothing passes the cut any more.
                await asyncio.Future()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()

        head = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}",
                f"X-Response-Seal: s.{request_id}", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = make_event(number)
            if number == first:
                await asyncio.sleep(FIRST_PART_S)
                await send(event[:-12])
                cut.begun += request_id.startswith("first")
                await asyncio.sleep(SECOND_PART_S)
                await send(event[-12:])
            else:
                await send(event)
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return answer


async def follow_stream(site: Site, entry, request_id: str) -> bool:
    """Request a stream; return whether what came is not the begin of the events in their order."""
    host, _, port = entry.listen["front"].rpartition(":")
    headers = [("Host", "shop.example"), ("X-Request-Id", request_id), ("X-Deadline-Ms", "12000"),
               ("Authorization", "Token key-1")]
    reader, writer = await asyncio.open_connection(host, int(port))
    text = b""
    is_complete = False
    status = None
    try:
        writer.write(encode("POST /draft/1 HTTP/1.1", headers, b"a brief"))
        head = await read_head(reader)
        status = head.status if head is not None else None
        if status == 200:
            while line := await reader.readline():
                size = int(line, 16)
                text += (await reader.readexactly(size + 2))[:-2]
                is_complete = size == 0
                if is_complete:
                    break
    except (ConnectionError, asyncio.IncompleteReadError):
        # The answer was broken off, which is allowed.
        pass
    finally:
        writer.close()
    expected = b"".join(make_event(number) for number in range(1, EVENTS + 1))
    is_wrong = status == 200 and (text != expected if is_complete else not expected.startswith(text))
    site.record.note(
        f"client: {request_id} at {entry.name}: status {status}, complete {is_complete}, "
        f"wrong {is_wrong}; first event {text.split(bytes(2 * [10]))[0]!r}"
    )
    return is_wrong


async def case(site: Site, with_trouble: bool) -> bool:
    site.add_hosts(["za", "zb", "zc"], ["za", "zb", "zc"])
    cut = Cut()
    for zone in ("za", "zb", "zc")[:REPLICAS]:
        site.add_replica("pool", zone, slots=SLOTS).answer = make_answer(cut)
    await site.start()
    await site.configure(CONFIG)
    await site.wait_ready()
    await asyncio.sleep(2.0)
    first, *others = site.entries
    # The other entries have served streams and have open connections.
    for entry in others:
        warm = [follow_stream(site, entry, f"of-{entry.name}-{n}") for n in range(WARM_STREAMS)]
        await asyncio.gather(*warm)
    streams = [
        asyncio.create_task(follow_stream(site, first, f"first-{n}")) for n in range(STREAMS)
    ]
    if with_trouble:
        while not cut.begun:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SECOND_PART_S / 4)
        site.record.note(f"{cut.begun} streams have the first part of their first event")
        site.record.note(f"{first.name} is cut off from all replicas; new connections are refused")
        cut.is_on = True
        for replica in site.replicas:
            replica.server.close()
    results = await asyncio.gather(*streams)
    for entry in others:
        # Refused connections would be a disruption of these entries, too.
        unreached = await entry.metric("unreached_upstreams")
        site.record.note(f"upstreams to which {entry.name} failed to connect: {unreached}")
        if unreached != 0.0:
            raise RuntimeError(f"{entry.name} tried to open connections during the cut")
    wrong = sum(results)
    site.record.note(f"{wrong} of {STREAMS} streams brought bytes that no replica sent so")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

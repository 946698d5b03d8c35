"""Streams of two software versions are taken up again after their key has moved to another tenant."""

from __future__ import annotations

import asyncio
import copy
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from site_2 import (  # noqa: E402
    LIMITS,
    REPLICA,
    CannotRun,
    Hosts,
    Record,
    make_message,
    make_own_answer,
    play,
    read_body,
    read_chunk,
    read_head,
)

STREAMS, EVENTS, PAUSE_S = 36, 40, 0.15
# Seconds from the start of the streams to the change of the configuration, and to the kill.
CHANGE_AT_S, KILL_AT_S = 1.0, 3.5
DEADLINE_S = 15.0
ALLOWED = 2
KEY, SPARE_KEY = "k-1", "k-2"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1", "host": "a.example", "path_prefix": "/chat/", "kind": "streaming",
            "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 0, "service": "pool",
            "max_attempts": 2, "stages": [], "public": False, "sticky": True, "resumable": True,
            "gap_aim_ms": 200,
        }
    ],
    "services": [
        {
            "name": "pool", "health_path": "/health", "max_connections": 370, "protocol": "h1",
            "tls": False, "cold_start_s": 3.0, "cold_per_s": 6.6,
            "engine": {
                "slots": 64, "kv_capacity": 471059, "kv_token_bytes": 327680,
                "link_mbps": 550000.0, "models": [{"name": "m"}],
            },
        }
    ],
    "limits": LIMITS,
    "tenants": [
        {"name": "t-1", "api_keys": [KEY], "priority": 1},
        {"name": "t-2", "api_keys": [SPARE_KEY], "priority": 1},
    ],
}  # fmt: skip


def make_later_config() -> dict:
    """The key is taken from one tenant and added to the other one."""
    config = copy.deepcopy(CONFIG)
    config["version"] = 4
    if os.environ.get("MOVE") == "0":
        return config
    config["tenants"][0]["api_keys"] = []
    config["tenants"][1]["api_keys"] = [SPARE_KEY, KEY]
    return config


class Engine:
    """A replica that streams numbered events, each with the version of its software."""

    def __init__(
        self, record: Record, name: str, address: tuple[str, int], zone: str, version: str
    ) -> None:
        self.record, self.name, self.address = record, name, address
        self.zone, self.version = zone, version
        self.born_ms = int(time.time() * 1000)
        self.running = 0

    def entry(self) -> dict:
        """Entry of the platform's list."""
        return {
            "id": self.name, "service": "pool", "address": f"{self.address[0]}:{REPLICA}",
            "zone": self.zone, "version": self.version, "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "born": self.born_ms, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }  # fmt: skip

    async def serve(self) -> None:
        await asyncio.start_server(self._handle, *self.address)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(first, headers, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if headers.get("x-expect-instance", self.name) != self.name:
            refusal = {"X-Not-Executed": "1"}
            writer.write(make_message("HTTP/1.1 421 Misdirected Request", refusal, b""))
            return
        if not first.split(" ")[1].startswith("/chat/"):
            path = first.split(" ")[1]
            running = self.running
            writer.write(
                make_own_answer(
                    path, self.name, born_ms=self.born_ms, running=running, slots=64
                )
            )
            return
        request_id = headers["x-request-id"]
        begin = int(headers.get("last-event-id", "0")) + 1
        self.record.write(
            f"{self.name} ({self.version}) runs {request_id} from event {begin}"
            f" for {headers.get('x-tenant')}"
        )
        answer = {
            "Content-Type": "text/event-stream", "X-Request-Id": request_id,
            "X-Response-Seal": f"seal-{self.name}", "X-Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }  # fmt: skip
        self.running += 1
        try:
            writer.write(make_message("HTTP/1.1 200 OK", answer, None))
            for number in range(begin, EVENTS + 1):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Stream:
    """A stream of one client, which it takes up again at another entry if it breaks."""

    def __init__(self, hosts: Hosts, number: int) -> None:
        self._hosts, self._number = hosts, number
        self.versions: list[str] = []
        self.last = 0
        self.began_by = ""
        self.is_whole = False
        self.answers: list[str] = []

    async def run(self) -> None:
        ends_at = time.monotonic() + DEADLINE_S
        entries = self._hosts.entries
        for attempt in range(6):
            left_s = ends_at - time.monotonic()
            if left_s <= 0.5 or self.is_whole:
                return
            entry = entries[0] if not attempt else entries[1]
            wait_s = 0.1
            try:
                async with asyncio.timeout(left_s):
                    wait_s = await self._attempt(entry, attempt, left_s)
            except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
                self.answers.append("broken")
            await asyncio.sleep(wait_s)

    async def _attempt(self, entry: str, attempt: int, left_s: float) -> float:
        request_id = f"{attempt:08x}{self._number:08x}"
        headers = {
            "Host": "a.example", "X-Request-Id": request_id, "X-Model": "m",
            "X-Token-Count": "300,120", "X-Prompt-Prefix": f"{self._number + 0x1000:08x}:300",
            "X-Deadline-Ms": str(int(left_s * 1000)), "Authorization": f"Token {KEY}",
            "Connection": "close",
        }  # fmt: skip
        if self.last:
            headers |= {"Last-Event-Id": str(self.last), "Resumes": self.began_by}
        reader, writer = await asyncio.open_connection(*self._hosts.front(entry))
        try:
            writer.write(make_message("POST /chat/a HTTP/1.1", headers, b"{}"))
            first, found = await read_head(reader)
            status = first.split(" ")[1]
            self.answers.append(status)
            if status != "200":
                self._hosts.record.write(f"{request_id} at {entry}: {status}")
                return min(float(found.get("retry-after", "0.2")), left_s / 3)
            await self._read_events(request_id, reader)
            return 0.0
        finally:
            writer.close()

    async def _read_events(self, request_id: str, reader: asyncio.StreamReader) -> None:
        buffer = b""
        while part := await read_chunk(reader):
            buffer += part
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                fields = dict(line.split(": ", 1) for line in event.decode().splitlines())
                if int(fields["id"]) != self.last + 1:
                    raise CannotRun(f"event {fields['id']} after {self.last}")
                self.began_by = self.began_by or request_id
                self.last = int(fields["id"])
                self.versions.append(fields["data"])
        self.is_whole = self.last == EVENTS


async def case(record: Record, trouble: bool) -> str:
    hosts = Hosts(record, zones=["z-a", "z-b"], entries=7)
    engines = [
        Engine(record, f"i-{n + 1}", (f"{hosts.network}.{41 + n}", REPLICA), zone, version)
        for n, (zone, version) in enumerate(
            [("z-a", "v1"), ("z-b", "v1"), ("z-a", "v2"), ("z-b", "v2")]
        )
    ]
    try:
        for engine in engines:
            await engine.serve()
        hosts.list.publish([engine.entry for engine in engines])
        await hosts.start_all(CONFIG)
        await asyncio.sleep(2.0)
        streams = [Stream(hosts, number) for number in range(STREAMS)]
        tasks = [asyncio.create_task(stream.run()) for stream in streams]
        await asyncio.sleep(CHANGE_AT_S)
        await hosts.put_config(make_later_config(), within_s=4.0)
        await asyncio.sleep(KILL_AT_S - CHANGE_AT_S)
        if trouble:
            hosts.kill(hosts.entries[0])
        await asyncio.gather(*tasks)
        if ended := hosts.check():
            raise CannotRun(f"ended by themselves: {ended}")
        return judge(record, streams)
    finally:
        hosts.stop()


def judge(record: Record, streams: list[Stream]) -> str:
    mixed = 0
    for number, stream in enumerate(streams):
        versions = list(dict.fromkeys(stream.versions))
        counts = {version: stream.versions.count(version) for version in versions}
        record.write(f"stream {number}: answers {stream.answers}, events {counts}")
        mixed += len(versions) > 1
    whole = sum(stream.is_whole for stream in streams)
    text = f"{mixed} of {len(streams)} streams hold events of two versions, {whole} are whole"
    record.write(text)
    if not any(stream.last for stream in streams):
        raise CannotRun("no stream has begun")
    return f"ORDER, {text}" if mixed > ALLOWED else ""


if __name__ == "__main__":
    play(case, __file__)

"""Stand-in of a service of model replicas that write their software version into each event."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from standins import REPLICA_PORT, Record, Reply, Request, Server, Site, make_entry


class Engine:
    """
    A replica; it may start again under the id that it had, with another version of its software.

    Events are numbered from 1; a run with `Last-Event-Id` goes on after that event.
    """

    def __init__(self, site: Site, record: Record, name: str, service: str, number: int, zone: str,
                 *, events: int, pause_s: float, padding: int = 0) -> None:
        self.site, self.record, self.name, self.service, self.zone = site, record, name, service, zone
        self.ip = f"{site.network}.{100 + number}"
        self.events, self.pause_s, self.padding = events, pause_s, padding
        self.version, self.born, self.cold_s, self.cold_until = "v1", int(time.time() * 1000), 0.0, 0.0
        self.is_listed = True
        self.state = "ready"
        # Times at which requests have arrived.
        self.arrivals: list[float] = []
        self.server: Server | None = None

    @property
    def address(self) -> str:
        return f"{self.ip}:{REPLICA_PORT}"

    def describe(self) -> dict[str, Any]:
        cold_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        return make_entry(self.name, self.service, self.address, self.zone, version=self.version,
                          born=self.born, state=self.state, cold_remaining_ms=cold_ms)

    async def start(self) -> None:
        self.server = Server(self.ip, REPLICA_PORT, self.answer)
        await self.server.start()

    async def crash(self) -> None:
        assert self.server is not None
        self.record.note(f"replica {self.name} ({self.version}) crashes")
        await self.server.crash()
        self.server = None

    async def start_again(self, version: str) -> None:
        """Start again under the same id, as the pages say that a replica may."""
        self.version, self.born = version, int(time.time() * 1000)
        self.cold_until = time.monotonic() + self.cold_s
        await self.start()
        self.record.note(f"replica {self.name} has started again, version {version}")

    def read_cold_ms(self) -> int:
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    async def answer(self, request: Request, reply: Reply) -> None:
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await reply.send(421, headers={**headers, "X-Not-Executed": "1"})
            return
        if request.path == "/-/report":
            value = {"stage": "both", "born": self.born, "models": [{"name": "m", "version": 1, "adapters": []}],
                     "busy": False, "sequence": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 548610, "handles": 0}
            await reply.send_json(200, value)
            return
        if request.path == "/health":
            await reply.send(200, headers={"X-Instance-Id": self.name, "X-Cold-Ms": str(self.read_cold_ms())})
            return
        if request.path.startswith("/-/"):
            await reply.send_json(200, {})
            return
        self.arrivals.append(time.monotonic())
        await self.run(request, reply, headers)

    async def run(self, request: Request, reply: Reply, headers: dict[str, str]) -> None:
        request_id = request.headers.get("x-request-id", "")
        after = int(request.headers.get("last-event-id", "0") or 0)
        version = self.version
        self.record.note(f"{request_id} runs at {self.name} ({version}) after event {after}")
        await reply.start_stream({**headers, "X-Response-Seal": f"{self.name}.{request_id}"})
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            text = f"{version} {request_id} " + "x" * self.padding
            await reply.send_event(f"id: {number}\ndata: {text}\n\n".encode())
        await reply.end_stream()

"""A small site for the review scripts: real hosts of marigoldtrail, stand-ins for all others.

Hosts are started with the command of the deploy file and settings made from its template. The
platform's list, replicas, clients and operators are stand-ins in this process. All addresses are
loopback addresses. Processes are ended by their ids.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "drain_ms": 3000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 56,
    "budget_window_s": 10,
    "cold_over": 1.5,
    "cold_slack": 5,
    "ttl_max_s": 5,
    "evac_ms": 5000,
    "outer_ms": 5000,
    "stability_window_ms": 3000,
    "config_ms": 2000,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        return next((v for n, v in self.headers if n.lower() == name.lower()), None)

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = [
        (name.strip(), value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    ]
    return Message(lines[0], headers, b"")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return parts
        parts += data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message with a length or chunks."""
    head = await read_head(reader)
    if head is None:
        return None
    if "chunked" in (head.get("transfer-encoding") or "").lower():
        head.body = await read_chunks(reader)
    elif length := int(head.get("content-length") or 0):
        head.body = await reader.readexactly(length)
    return head


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process does that crashes with unread data."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def encode(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [start, *(f"{n}: {v}" for n, v in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]] = [],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Make one call on a connection of its own; None without a whole response in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            names = {name.lower() for name, _ in headers}
            host_header = [] if "host" in names else [("Host", address)]
            writer.write(encode(f"{method} {target} HTTP/1.1", [*host_header, *headers], body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def claim_network() -> tuple[str, socket.socket]:
    """Return the first three octets of unused loopback addresses, and the socket that claims them."""
    for _ in range(200):
        network = f"127.{random.randint(130, 240)}.{random.randint(1, 254)}"
        claim = socket.socket()
        try:
            claim.bind((f"{network}.250", 7999))
            return network, claim
        except OSError:
            claim.close()
    raise CaseError("no free loopback addresses")


def choose_ports(network: str) -> list[int]:
    """Return seven ports that are free on the network; others may listen on all addresses."""
    for _ in range(200):
        base = random.randint(20, 300) * 100
        ports = [base, base + 21, base + 22, base + 23, base + 24, base + 30, base + 31]
        if 9100 in ports:
            continue
        try:
            for port in [*ports, base + 9, 9100]:
                with socket.socket() as test:
                    test.bind((f"{network}.1", port))
        except OSError:
            continue
        return ports
    raise CaseError("no free ports")


def render(template: str, fields: dict) -> str:
    """Fill the placeholders that deploy/host.json uses."""

    def fill(match: re.Match) -> str:
        name, is_json = match.group(1), bool(match.group(2))
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if is_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", fill, template)


class Host:
    """One process of the system."""

    def __init__(self, site: Site, name: str, role: str, zone: str, number: int) -> None:
        self.site = site
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = f"{site.network}.{number}"
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.listen = (
            {"front": f"{self.ip}:{site.ports[1]}", "ready": f"{self.ip}:{site.ports[2]}"}
            if role == "entry"
            else {
                "control": f"{self.ip}:{site.ports[3]}",
                "directory": f"{self.ip}:{site.ports[4]}",
            }
        )

    def read_role(self) -> dict:
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            return tomllib.load(file)["roles"][self.role]

    def write_settings(self) -> Path:
        """Write the settings file; the seeds are named in another order each time."""
        site = self.site
        data = site.folder / self.name
        data.mkdir(exist_ok=True)
        seeds = [h.listen["control"] for h in site.hosts if h.role == "control"][:3]
        random.shuffle(seeds)
        fields = {
            "node_name": self.name,
            "role": self.role,
            "zone": self.zone,
            "region": "r",
            "ip": self.ip,
            "listen": self.listen,
            "internal_ports": [site.ports[0], site.ports[0] + 9],
            "seeds": seeds,
            "bootstrap": self.starts == 0,
            "data_dir": str(data) if self.role == "control" else None,
            "cloud": {"address": site.platform_address},
            "bounds": site.bounds,
        }
        path = site.folder / f"{self.name}.json"
        path.write_text(render((ROOT / self.read_role()["template"]).read_text(), fields))
        return path

    def start(self) -> None:
        site = self.site
        role = self.read_role()
        path = self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MARIGOLDTRAIL_CONFIG"] = str(path)
        self.starts += 1
        with (site.folder / f"{self.name}.log").open("ab") as out:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=out, stderr=out
            )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()
            self.process = None

    async def metric(self, name: str) -> float | None:
        """Return a value of the host's own metrics."""
        reply = await call(f"{self.ip}:9100", "GET", "/metrics")
        for line in (reply.body.decode() if reply is not None else "").splitlines():
            if re.match(rf"(marigoldtrail_)?{name}(\{{.*\}})? ", line):
                return float(line.split()[-1])
        return None


class Replica:
    """A stand-in of a replica: answers `GET /health` and requests, one after another on a connection."""

    def __init__(self, site: Site, service: str, zone: str, number: int, **fields) -> None:
        self.site = site
        self.id = f"i-{service}-{number}"
        self.address = f"{site.network}.{100 + number}:{site.ports[5]}"
        self.entry = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "id": self.id,
            "born": int(time.time() * 1000),
        } | fields
        self.work_s = 0.01
        # May replace the usual answer: gets the request and returns bytes, or None.
        self.answer: Callable | None = None
        self.runs: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def reset_all(self) -> None:
        """Close the listener and reset all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.get("x-request-id") or ""
        method, target, _ = request.start.split(" ", 2)
        expected = request.get("x-expect-instance")
        if expected is not None and expected != self.id:
            headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1")]
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        if target == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)]))
            return
        if self.answer is not None:
            handled = await self.answer(self, request, writer)
            if handled:
                return
        self.runs.append((self.site.record.now(), request_id))
        self.site.record.note(f"{self.id} runs {method} {target} {request_id}")
        await asyncio.sleep(self.work_s)
        headers = [("X-Request-Id", request_id), ("X-Response-Seal", f"s.{request_id}")]
        writer.write(encode("HTTP/1.1 200 OK", headers, f"{self.id} {request_id}".encode()))
        await writer.drain()


class Site:
    """Hosts, replicas and the platform's list."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network, self._claim = claim_network()
        # Ports: between hosts, front, ready, control, directory, replicas, the platform's list.
        self.ports = choose_ports(self.network)
        self.platform_address = f"{self.network}.200:{self.ports[6]}"
        self.bounds = dict(BOUNDS)
        self.hosts: list[Host] = []
        self.replicas: list[Replica] = []
        # What the list shows of a replica; None for nothing.
        self.show: Callable[[Replica], object | None] = lambda replica: replica.entry
        self._list_server: asyncio.Server | None = None

    def add_hosts(self, controls: list[str], entries: list[str]) -> None:
        """Add a control host and an entry for each zone named."""
        for zone in controls:
            number = len(self.hosts) + 1
            self.hosts.append(Host(self, f"control-{number}", "control", zone, number))
        for zone in entries:
            number = len(self.hosts) + 1
            self.hosts.append(Host(self, f"entry-{number}", "entry", zone, number))

    @property
    def controls(self) -> list[Host]:
        return [host for host in self.hosts if host.role == "control"]

    @property
    def entries(self) -> list[Host]:
        return [host for host in self.hosts if host.role == "entry"]

    def add_replica(self, service: str, zone: str, **fields) -> Replica:
        replica = Replica(self, service, zone, len(self.replicas) + 1, **fields)
        self.replicas.append(replica)
        return replica

    async def start(self) -> None:
        host, _, port = self.platform_address.rpartition(":")
        self._list_server = await asyncio.start_server(self._serve_list, host, int(port))
        for replica in self.replicas:
            await replica.start()
        for host in self.hosts:
            host.start()

    async def _serve_list(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                shown = [self.show(replica) for replica in self.replicas]
                entries = [entry for entry in shown if entry is not None]
                body = json.dumps({"instances": entries, "next": None}).encode()
                headers = [("Content-Type", "application/json")]
                if not request.start.startswith("GET /instances"):
                    writer.write(encode("HTTP/1.1 404 Not Found", []))
                else:
                    writer.write(encode("HTTP/1.1 200 OK", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def order(
        self, method: str, target: str, hosts: list[Host], body: bytes = b"", for_s: float = 4.0
    ) -> int | None:
        """
        Send an order as the operator does; return the status that ended it.

        It moves on to the next node after a failure, a 5xx or a second without a response.
        """
        until = self.record.now() + for_s
        turn, pause_s = 0, 0.1
        while self.record.now() < until:
            host = hosts[turn % len(hosts)]
            turn += 1
            sent_at = self.record.now()
            reply = await call(host.listen["control"], method, target, body=body)
            status = reply.status if reply is not None else None
            self.record.note(f"operator: {method} {target} at {host.name}: {status}")
            if status is not None and status < 500 and status not in (408, 429):
                return status
            # A second without a response is pause enough.
            if self.record.now() - sent_at < 0.9:
                await asyncio.sleep(pause_s)
                pause_s = min(1.0, 1.5 * pause_s)
        return None

    async def configure(self, config: dict) -> None:
        """Put a configuration in force; it is sent until it is accepted."""
        body = json.dumps(config).encode()
        status = await self.order("PUT", "/-/config", self.controls, body, for_s=40.0)
        if status != 200:
            raise CaseError(f"the configuration was not accepted: {status}")

    async def wait_ready(self, for_s: float = 30.0) -> None:
        """Wait until all entries say that they are ready."""
        until = self.record.now() + for_s
        for host in self.entries:
            while True:
                reply = await call(host.listen["ready"], "GET", "/-/ready")
                if reply is not None and reply.status == 200:
                    break
                if self.record.now() > until:
                    raise CaseError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    async def find_leader(self) -> Host:
        for _ in range(50):
            for host in self.controls:
                if await host.metric("leads") == 1.0:
                    return host
            await asyncio.sleep(0.2)
        raise CaseError("no control host leads")

    def stop(self) -> None:
        """End all processes and remove their files."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is not None:
                log = (self.folder / f"{host.name}.log").read_text(errors="replace")
                self.record.note(f"{host.name} has ended by itself: {log[-600:]!r}")
            host.kill()
        self._claim.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def run_case(case: Callable, folder: Path) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        site = Site(record)
        try:
            async with asyncio.timeout(110):
                return 1 if await case(site, with_trouble) else 0
        finally:
            site.stop()

    try:
        status = asyncio.run(main())
    except Exception as exc:
        record.note(f"the case could not run: {exc!r}")
        status = 2
    record.note(f"exit status {status}: " + ["the rule held", "the rule was broken", "no result"][status])
    return status

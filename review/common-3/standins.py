"""Stand-ins of the third review: platform, replicas, clients and operator on loopback addresses.

Only the standard library is used. Every address is a loopback address of one random network, which
is checked to be free before anything starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
PEER_PORT = 7740
FRONT_PORT = 8625
READY_PORT = 8621
CONTROL_PORT = 8628
DIRECTORY_PORT = 8627
REPLICA_PORT = 8080
LIST_PORT = 8624
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
ROUTE_HOST = "pule25.example"
# Bounds of the sheets of the small sites.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56,
    "cold_over": 1.5, "cold_slack": 5, "evac_ms": 5000, "recover_s": 12, "pass_ms": 120,
    "reuse_window_s": 10, "ttl_max_s": 5,
}


class Record:
    """What was sent, answered and run, written to `record.txt` in the folder of the case."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w")

    def note(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.partition("?")[0]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Reply:
    """Writes one response."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    async def send(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def send_json(self, status: int, value: Any, headers: dict[str, str] | None = None) -> None:
        await self.send(status, json.dumps(value).encode(), {"content-type": "application/json", **(headers or {})})

    async def start_stream(self, headers: dict[str, str]) -> None:
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send_event(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def end_stream(self) -> None:
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


Handler = Callable[[Request, Reply], Awaitable[None]]


class Server:
    """HTTP server whose connections are reset when it is stopped."""

    def __init__(self, ip: str, port: int, handler: Handler) -> None:
        self.ip, self.port, self.handler = ip, port, handler
        self._server: asyncio.AbstractServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, limit=2**24, backlog=1024)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                work = asyncio.create_task(self.handler(Request(method, target, headers, body), Reply(writer)))
                gone = asyncio.create_task(self._wait_closed(reader, work))
                try:
                    await work
                finally:
                    work.cancel()
                    gone.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await gone
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _wait_closed(reader: asyncio.StreamReader, work: asyncio.Task[None]) -> None:
        """Drop the request when its connection closes, as most replicas do."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)
        work.cancel()

    async def crash(self) -> None:
        """End at once: all connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Answer:
    """Response to a client; `end` is `whole`, `cut` or `deadline`."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.end = "cut"

    @property
    def seal(self) -> str:
        return self.headers.get("x-response-seal", "")


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
    on_data: Callable[[bytes], None] | None = None,
) -> Answer:
    """Send one request on a connection of its own."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=2**24)
            lines = [f"{method} {target} HTTP/1.1"]
            given = {"host": ROUTE_HOST, **(headers or {})}
            if body or method in ("POST", "PUT"):
                given["content-length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")[:-2]
            answer.status = int(first.split(" ")[1])
            answer.headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in rest)}
            if answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    data = await reader.readexactly(size + 2)
                    if not size:
                        break
                    answer.body += data[:-2]
                    if on_data is not None:
                        on_data(data[:-2])
            else:
                answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
            answer.end = "whole"
    except TimeoutError:
        answer.end = "deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        answer.end = "cut"
    finally:
        if writer is not None:
            writer.close()
    return answer


# Settings and processes ---------------------------------------------------------------------------


def find_network() -> str:
    """Return the first three octets of loopback addresses that nobody uses."""
    for _ in range(100):
        network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for port in (PEER_PORT, FRONT_PORT, CONTROL_PORT, LIST_PORT, REPLICA_PORT):
                with socket.socket() as sock:
                    sock.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise OSError("no free network")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders that `deploy/host.json` uses."""

    def fill(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z_.|]+)\}\}", fill, template)


class Host:
    """A process of the system."""

    def __init__(self, site: Site, name: str, role: str, ip: str, zone: str, memory_mb: int) -> None:
        self.site, self.name, self.role, self.ip, self.zone = site, name, role, ip, zone
        self.memory_mb = memory_mb
        self.folder = site.folder / name
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.bootstrap = True
        self.starts = 0

    def start(self) -> None:
        is_front = self.role == "entry"
        data = self.folder / "data"
        if not is_front:
            data.mkdir(exist_ok=True)
        listen = {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"}
        if not is_front:
            listen = {"control": f"{self.ip}:{CONTROL_PORT}", "directory": f"{self.ip}:{DIRECTORY_PORT}"}
        fields = {
            "node_name": self.name, "role": self.role, "zone": self.zone, "region": "nbo",
            "zones": dict.fromkeys(self.site.zones, "nbo"), "ip": self.ip, "listen": listen,
            "internal_ports": [PEER_PORT, PEER_PORT + 15], "seeds": self.site.seeds,
            "bootstrap": self.bootstrap, "limits": {"memory_mb": self.memory_mb},
            "data_dir": None if is_front else str(data),
            "tolerate": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "cloud": {"address": f"{self.site.network}.200:{LIST_PORT}", "rate_per_s": 44.0, "max_lag_ms": 800},
        }
        settings = self.folder / "node.json"
        settings.write_text(render((REPOSITORY / "deploy/host.json").read_text(), fields))
        json.loads(settings.read_text())
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"MARIGOLDTRAIL_CONFIG": str(settings), "PYTHONPATH": str(REPOSITORY / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        self.starts += 1
        log = (self.folder / f"log-{self.starts}.txt").open("wb")
        self.process = subprocess.Popen(
            ["python3", "-m", "marigoldtrail.platform"], cwd=REPOSITORY, env=env, stdout=log, stderr=log
        )
        log.close()
        self.site.record.note(f"{self.name} ({self.role}, {self.zone}) starts")
        self.bootstrap = False

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.site.record.note(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ended(self) -> int:
        assert self.process is not None
        while self.process.poll() is None:
            await asyncio.sleep(0.05)
        self.site.record.note(f"{self.name} has ended with {self.process.returncode}")
        return self.process.returncode

    def read_rss_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0


class Site:
    """A small deployment: control hosts, fronts, the platform's list and an operator."""

    def __init__(self, record: Record, zones: list[str], controls: int = 3) -> None:
        self.record, self.zones = record, zones
        self.network = find_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.seeds = [f"{self.network}.{n + 1}:{CONTROL_PORT}" for n in range(min(3, controls))]
        self.hosts: dict[str, Host] = {}
        # The platform's list, and what it shows: that of `lag_s` ago.
        self.lag_s = 0.4
        self._lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self._list_server = Server(f"{self.network}.200", LIST_PORT, self._answer_list)

    def add_host(self, name: str, role: str, zone: str, memory_mb: int = 300) -> Host:
        number = len(self.hosts) + 1
        host = Host(self, name, role, f"{self.network}.{number}", zone, memory_mb)
        self.hosts[name] = host
        return host

    async def start(self) -> None:
        await self._list_server.start()
        for host in self.hosts.values():
            host.start()

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Set the list of replicas; callers see it `lag_s` later."""
        self._lists.append((time.monotonic() + self.lag_s, [dict(entry) for entry in entries]))

    async def _answer_list(self, request: Request, reply: Reply) -> None:
        now = time.monotonic()
        shown = [entries for at, entries in self._lists if at <= now][-1]
        await reply.send_json(200, {"instances": shown, "next": None})

    async def operate(self, host: Host, method: str, path: str, body: bytes = b"") -> Answer:
        """Send one call of the operator to one host."""
        answer = await call((host.ip, CONTROL_PORT), method, path, body=body, timeout_s=1.0)
        shown = answer.status if answer.end == "whole" else answer.end
        self.record.note(f"operator: {method} {path} at {host.name}: {shown} {answer.body[:120].decode('latin-1')}")
        return answer

    async def configure(self, document: dict[str, Any], timeout_s: float = 20.0) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + timeout_s
        controls = [host for host in self.hosts.values() if host.role == "control"]
        while time.monotonic() < until:
            for host in controls:
                answer = await self.operate(host, "PUT", "/-/config", body)
                if answer.status == 200 and answer.end == "whole":
                    return True
                await asyncio.sleep(0.2)
        return False

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until all fronts say that they are ready."""
        until = time.monotonic() + timeout_s
        fronts = [host for host in self.hosts.values() if host.role == "entry"]
        while time.monotonic() < until:
            answers = [await call((host.ip, READY_PORT), "GET", "/-/ready", timeout_s=1.0) for host in fronts]
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self) -> None:
        """End all processes that were started, by their ids, and remove the temporary folder."""
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route like those of the platform's example."""
    return {
        "name": name, "host": ROUTE_HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 15000,
        "target_latency_ms": 2000, "priority": 1, "service": service, "max_attempts": 2,
        "public": False, "sticky": kind == "streaming", **fields,
    }


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service like those of the platform's example."""
    return {
        "name": name, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False,
        "cold_start_s": 0.0, "cold_per_s": 0.0, **fields,
    }


ENGINE = {
    "slots": 64, "kv_capacity": 548610, "kv_token_bytes": 327680, "link_mbps": 550000.0,
    "moves": False, "backups": False, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
    "handle_s": 5.0, "models": [{"name": "m"}],
}


def make_config(version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a complete configuration with one tenant."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def make_entry(name: str, service: str, address: str, zone: str, **fields: Any) -> dict[str, Any]:
    """Return an entry of the platform's list."""
    return {
        "id": name, "service": service, "address": address, "zone": zone, "version": "v1", "slots": 64,
        "state": "ready", "cold_remaining_ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}], "born": 1, **fields,
    }


def run_case(folder: Path, main: Callable[[Record, bool, list[Site]], Awaitable[int]]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    path = Path(os.environ.get("RECORD") or folder / "record.txt")
    record = Record(path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sites: list[Site] = []

    async def run() -> int:
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
        return await main(record, has_trouble, sites)

    try:
        code = asyncio.run(run())
    except Exception as exc:  # The case could not run.
        record.note(f"the case could not run: {exc!r}")
        code = 2
    finally:
        for site in sites:
            site.end()
    record.note({0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(code, "the case could not run"))
    print(path.read_text().splitlines()[-1])
    return code

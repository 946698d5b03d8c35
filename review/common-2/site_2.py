"""Small site for the cases: real hosts on loopback addresses, with stand-ins for the rest.

The hosts are started with the command of the deploy file and with settings filled into the template
that it names. The platform's list, the replicas, the operator and the clients are coroutines of the
script; they speak what the platform's pages say.
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
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, LIST, REPLICA = 8625, 8621, 8628, 8630, 8624, 8080
METRICS = 9100
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56, "cold_over": 1.5,
    "cold_slack": 5, "evac_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
    "ttl_max_s": 5,
}  # fmt: skip
MAX_LAG_S = 0.8
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        path = Path(os.environ.get("RECORD") or folder / "record.txt")
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def find_network() -> str:
    """Return the first three octets of loopback addresses on which nothing listens."""
    rng = random.SystemRandom()
    for _ in range(50):
        network = f"127.{rng.randrange(60, 250)}.{rng.randrange(1, 250)}"
        try:
            for last in (1, 31, 41, 61):
                for port in (FRONT, CONTROL, LIST, REPLICA):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")


# --- HTTP/1.1, as little as the stand-ins need ---------------------------------------------------


class Message:
    """A request or a response: its first line, headers with lower-case names, and body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_message(first: str, headers: dict[str, str], body: bytes | None) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def make_own_answer(
    path: str, name: str, *, born_ms: int, running: int, slots: int, cold_s: float = 0.0
) -> bytes:
    """Return what a sound replica says of itself: its health, its report, or that it has no such path."""
    if path == "/health":
        headers = {"X-Instance-Id": name, "X-Server-Load": f"{running},0,{slots}"}
        if cold_s > 0:
            headers["X-Cold-Ms"] = str(round(cold_s * 1000))
        return make_message("HTTP/1.1 200 OK", headers, b"")
    if path == "/-/report":
        report = {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False, "sequence": 0, "waiting": 0, "running": running, "kv_used": 0,
            "kv_total": 471059, "handles": 0, "born": born_ms,
        }  # fmt: skip
        kind = {"Content-Type": "application/json"}
        return make_message("HTTP/1.1 200 OK", kind, json.dumps(report).encode())
    return make_message("HTTP/1.1 404 Not Found", {"X-Not-Executed": "1"}, b"")


async def call(
    address: tuple[str, int], method: str, path: str, headers: dict[str, str], body: bytes | None,
    *, timeout_s: float, bind: str | None = None,
) -> Message | None:
    """Send one request on a connection of its own; return None without a whole response in time."""
    try:
        async with asyncio.timeout(timeout_s):
            local = (bind, 0) if bind else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            try:
                host = {"Host": f"{address[0]}:{address[1]}", **headers}
                writer.write(make_message(f"{method} {path} HTTP/1.1", host, body))
                first, found = await read_head(reader)
                return Message(first, found, await read_body(reader, found))
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None


# --- the platform's list ------------------------------------------------------------------------


class PlatformList:
    """The list of replicas; what is published appears after a lag."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._entries: list[tuple[float, list]] = [(0.0, [])]

    def publish(self, entries: list) -> None:
        """Publish entries; a callable entry is asked for its fields at each reading."""
        self._entries.append((time.monotonic(), list(entries)))

    def _current(self) -> list:
        seen_at = time.monotonic() - MAX_LAG_S / 2
        found = [entries for at, entries in self._entries if at <= seen_at]
        return [entry() if callable(entry) else entry for entry in (found[-1] if found else [])]

    async def serve(self) -> asyncio.Server:
        return await asyncio.start_server(self._handle, *self.address)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                body = json.dumps({"instances": self._current(), "next": None}).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(make_message("HTTP/1.1 200 OK", kind, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


# --- hosts --------------------------------------------------------------------------------------


def fill(template: str, fields: dict) -> str:
    """Fill the placeholders ``{{a.b}}`` and ``{{a.b|json}}`` of a template."""

    def find(match: re.Match[str]) -> str:
        value = fields
        for name in match[1].split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", find, template)


class Hosts:
    """The processes of the deploy file on loopback addresses."""

    def __init__(
        self, record: Record, *, zones: list[str], controls: int = 3, entries: int = 2
    ) -> None:
        self.record = record
        self.network = find_network()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.zones = zones
        self.controls = [f"core-{n + 1}" for n in range(controls)]
        self.entries = [f"front-{n + 1}" for n in range(entries)]
        self.list = PlatformList((f"{self.network}.61", LIST))
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ends: list[str] = []

    def ip(self, name: str) -> str:
        number = int(name.rpartition("-")[2])
        return f"{self.network}.{number + (30 if name in self.entries else 0)}"

    def zone(self, name: str) -> str:
        number = int(name.rpartition("-")[2]) - 1
        return self.zones[number % len(self.zones)]

    def front(self, name: str) -> tuple[str, int]:
        return self.ip(name), FRONT

    def control(self, name: str) -> tuple[str, int]:
        return self.ip(name), CONTROL

    def find_seeds(self) -> list[str]:
        """Return three control hosts of the operator's list, or fewer if there are fewer."""
        return self.controls[:3]

    def _write_settings(self, name: str, role: str, *, bootstrap: bool) -> Path:
        ip, is_front = self.ip(name), name in self.entries
        data = self.folder / name
        data.mkdir(exist_ok=True)
        listen = (
            {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"}
            if is_front
            else {"control": f"{ip}:{CONTROL}", "directory": f"{ip}:{DIRECTORY}"}
        )
        fields = {
            "node_name": name, "role": role, "zone": self.zone(name), "region": "r", "ip": ip,
            "listen": listen, "internal_ports": [7740, 7755], "bootstrap": bootstrap,
            "seeds": [f"{self.ip(seed)}:{CONTROL}" for seed in self.find_seeds()],
            "limits": {"memory_mb": 300 if is_front else 296},
            "data_dir": None if is_front else str(data),
            "cloud": {"address": f"{self.list.address[0]}:{LIST}"}, "bounds": BOUNDS,
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(fill((ROOT / self._roles[role]["template"]).read_text(), fields))
        return path

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        wanted = "front" if name in self.entries else "core"
        role = next(key for key, value in self._roles.items() if value["on"] == wanted)
        path = self._write_settings(name, role, bootstrap=bootstrap)
        words = self._roles[role]["run"].split(" ")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"MARIGOLDTRAIL_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *words[1:]], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"start {name}")

    async def find_leader(self) -> str | None:
        """Return the control host that leads according to its metrics; None if none does."""
        for name in self.controls:
            reply = await call(
                (self.ip(name), METRICS), "GET", "/metrics", {}, None, timeout_s=1.0
            )
            text = reply.body.decode() if reply is not None else ""
            if re.search(r"^\w*leads(\{[^}]*\})? 1(\.0)?$", text, re.MULTILINE):
                return name
        return None

    def kill(self, name: str) -> None:
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"kill {name}")

    async def stop_host(self, name: str) -> None:
        """Stop a host as the platform does: SIGTERM, and SIGKILL after `grace_s`."""
        process = self._processes.pop(name)
        process.terminate()
        self.record.write(f"SIGTERM {name}")
        ends_at = time.monotonic() + BOUNDS["grace_s"]
        while process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
        self.record.write(f"{name} ended with status {process.wait()}")

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)
        self.record.write(f"{number.name} {name}")

    def check(self) -> list[str]:
        """Return the hosts that ended by themselves."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def log_lines(self, name: str, text: str) -> list[str]:
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    async def start_all(self, config: dict) -> None:
        """Start the site and put its first configuration in force."""
        await self.list.serve()
        for name in [*self.controls, *self.entries]:
            self.start(name, bootstrap=True)
        await self.put_config(config, within_s=20.0)
        await self.wait_ready(self.entries, within_s=15.0)

    async def put_config(self, config: dict, *, within_s: float) -> None:
        ends_at = time.monotonic() + within_s
        body = json.dumps(config).encode()
        while time.monotonic() < ends_at:
            for name in self.controls:
                kind = {"Content-Type": "application/json"}
                reply = await call(
                    self.control(name), "PUT", "/-/config", kind, body, timeout_s=1.0
                )
                if reply is not None and reply.status == 200:
                    self.record.write(f"configuration {config['version']} acknowledged by {name}")
                    return
                if reply is not None and reply.status == 400:
                    raise CannotRun(f"configuration refused: {reply.body!r}")
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_ready(self, names: list[str], *, within_s: float) -> None:
        ends_at = time.monotonic() + within_s
        waiting = set(names)
        while waiting:
            for name in list(waiting):
                reply = await call(
                    (self.ip(name), READY), "GET", "/-/ready", {}, None, timeout_s=1.0
                )
                if reply is not None and reply.status == 200:
                    waiting.discard(name)
                    self.record.write(f"{name} is ready")
            if time.monotonic() > ends_at:
                raise CannotRun(f"not ready: {sorted(waiting)}")
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes; keep their logs if the variable KEEP names a folder."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        if keep := os.environ.get("KEEP"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: object, file: str) -> None:
    """Run a case: 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    # A script that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(Path(file).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CannotRun, TimeoutError, OSError) as exc:
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    text = f"rule broken: {broken}" if broken else "the rule held"
    record.write(text)
    print(text)
    sys.exit(1 if broken else 0)

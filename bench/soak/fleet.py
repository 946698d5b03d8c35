"""Manages the processes of a site: settings, starts, signals and disks."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import msgspec
import trio

from bench.soak.faulty_host import DISK_FAULTS, SMALL_FILES
from bench.soak.memory import LIMITS_MB
from bench.soak.planned import RELOAD, STOP, PlannedWork
from bench.soak.proxy import Proxy
from marigoldtrail.net import Address
from marigoldtrail.timers import Timers

CONTROL = ["control-1", "control-2", "control-3"]
ENTRIES = ["entry-1", "entry-2"]
HOSTS = CONTROL + ENTRIES
PEER_PORT, REQUEST_PORT, READY_PORT, OPERATOR_PORT, LOOKUP_PORT = 7740, 8625, 8621, 8628, 8620
METRICS_PORT = 8622
# Processor time after which a process has come to the first line of its program, 0.03 s in three
# measurements. No program can handle a signal that reaches the interpreter before; on a busy
# machine that takes over a second.
BEGIN_CPU_S = 0.04
BEGIN_POLL_S = 0.01
# Time between two signals to stop.
SECOND_SIGNAL_S = 0.4
# Longer than a host needs to finish its requests; it is killed after that, as on the platform.
GRACE_S = 8.0
# Bounds in the settings of a host, in turn at each start and reload.
BOUNDS = (
    {"grace_s": GRACE_S},
    {
        "grace_s": GRACE_S,
        "retry_budget_slack": 30.0,
        "budget_window_s": 5.0,
        "cold_over": 1.2,
        "ttl_max_s": 2.0,
    },
)
TORN_WRITE_BYTES = b"\x07torn write\xff" * 3
SEGMENTS = "*.log"


class Fleet:
    """
    Processes of one site.

    Parameters
    ----------
    network : str
        First two octets of the loopback addresses to use.
    folder : Path
        Folder for settings, data and logs.
    list_address : Address
        Address of the upstream list of the platform.
    proxy : Proxy
        Proxy in front of each host.
    has_small_files : bool
        Whether logs of control hosts consist of small files.
    limits_mb : mapping of str to int
        Limit on the memory of processes of each role, named in their settings.

    Attributes
    ----------
    starts : Counter
        Number of starts of each host.
    unexpected_exits : list of str
        Messages about processes that exited without being stopped.
    planned : list of PlannedWork
        Planned stops and reloads of entries.
    """

    __slots__ = (
        "starts",
        "unexpected_exits",
        "planned",
        "_network",
        "_folder",
        "_list_address",
        "_proxy",
        "_processes",
        "_seeds",
        "_writes",
        "_disk_faults",
        "_has_small_files",
        "_limits_mb",
    )

    def __init__(
        self,
        *,
        network: str,
        folder: Path,
        list_address: Address,
        proxy: Proxy,
        has_small_files: bool = False,
        limits_mb: Mapping[str, int] = LIMITS_MB[0],
    ) -> None:
        self._limits_mb = limits_mb
        self._has_small_files = has_small_files
        self._network = network
        self._folder = folder
        self._list_address = list_address
        self._proxy = proxy
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._seeds = list(CONTROL)
        self._writes: Counter[str] = Counter()
        self._disk_faults: dict[str, Counter[str]] = {name: Counter() for name in CONTROL}
        self.starts: Counter[str] = Counter()
        self.unexpected_exits: list[str] = []
        self.planned: list[PlannedWork] = []

    def ip(self, name: str) -> str:
        """Return the address under which others reach a host."""
        return f"{self._network}.1.{HOSTS.index(name) + 1}"

    def _bind_ip(self, name: str) -> str:
        return f"{self._network}.2.{HOSTS.index(name) + 1}"

    def request_address(self, name: str) -> str:
        """Return where callers reach an entry."""
        return f"{self.ip(name)}:{REQUEST_PORT}"

    def bound_request_address(self, name: str) -> Address:
        """Return where an entry listens, behind the proxy."""
        return Address(self._bind_ip(name), REQUEST_PORT)

    def operator_address(self, name: str) -> str:
        """Return the address where operators reach a control host."""
        return f"{self.ip(name)}:{OPERATOR_PORT}"

    def lookup_address(self, name: str) -> str:
        """Return the address where callers look up entries."""
        return f"{self.ip(name)}:{LOOKUP_PORT}"

    def metrics_address(self, name: str) -> str:
        """Return where the metrics of an entry are read, without the proxy."""
        return f"{self._bind_ip(name)}:{METRICS_PORT}"

    def entry_at(self, address: str) -> str:
        """Return the entry with an address."""
        return next(name for name in ENTRIES if self.request_address(name) == address)

    async def start(self) -> None:
        """Start all hosts for the first time, behind the proxy."""
        for name in HOSTS:
            ports = [PEER_PORT, OPERATOR_PORT, LOOKUP_PORT]
            for port in ports if name in CONTROL else [REQUEST_PORT, READY_PORT]:
                real = Address(self._bind_ip(name), port)
                await self._proxy.forward(Address(self.ip(name), port), real)
        for name in HOSTS:
            self.start_host(name, is_first=True)

    def write_settings(self, name: str, *, is_first: bool = False) -> Path:
        """Write the settings of a host, with other seeds first and other bounds each time."""
        role = find_role(name)
        is_control = role == "control"
        self._seeds.append(self._seeds.pop(0))
        self._writes[name] += 1
        value = {
            "host": name,
            "role": role,
            "data_centre": "z",
            "region": "r",
            "ip": self.ip(name),
            "bind_ip": self._bind_ip(name),
            "request_address": "" if is_control else self.request_address(name),
            "ready_address": "" if is_control else f"{self.ip(name)}:{READY_PORT}",
            "operator_address": self.operator_address(name) if is_control else "",
            "metrics_address": "" if is_control else self.metrics_address(name),
            "lookup_address": self.lookup_address(name) if is_control else "",
            "internal_ports": [PEER_PORT, PEER_PORT + 9],
            "seeds": [self.operator_address(seed) for seed in self._seeds],
            "first_start": is_first,
            "data_folder": str(self._data_folder(name)),
            "memory_mb": self._limits_mb[role],
            "upstream_list": {"address": str(self._list_address)},
            "bounds": BOUNDS[self._writes[name] % len(BOUNDS)],
        }
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(value))
        return path

    def _data_folder(self, name: str) -> Path:
        return self._folder / name

    def start_host(self, name: str, *, is_first: bool = False) -> None:
        """Start the process of a host."""
        path = self.write_settings(name, is_first=is_first)
        self._data_folder(name).mkdir(exist_ok=True)
        self.starts[name] += 1
        with (self._folder / f"{name}.out").open("ab") as out:
            self._processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", *self._program(name)],
                env={**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)},
                stdout=out,
                stderr=out,
            )

    def _program(self, name: str) -> list[str]:
        """Return the module and arguments of a host; only control hosts have a disk."""
        if name not in CONTROL:
            return ["marigoldtrail.platform"]
        folder = os.path.realpath(self._data_folder(name))
        options = [SMALL_FILES] if self._has_small_files else []
        return ["bench.soak.faulty_host", str(self._disk_control(name)), folder, *options]

    def _disk_control(self, name: str) -> Path:
        return self._folder / f"{name}.disk"

    def begin_disk_fault(self, name: str, kind: str) -> None:
        """Let calls on the disk of a control host fail, beside those that fail already."""
        self._disk_faults[name][kind] += 1
        self._write_disk_control(name)

    def end_disk_fault(self, name: str, kind: str) -> None:
        """End a fault of a disk; others of the same host go on."""
        self._disk_faults[name][kind] -= 1
        self._write_disk_control(name)

    def _write_disk_control(self, name: str) -> None:
        active = [kind for kind, count in self._disk_faults[name].items() if count]
        calls = sorted({call for kind in active for call in DISK_FAULTS[kind]})
        path = self._disk_control(name)
        # The process reads the file at any time, so it is replaced as a whole.
        temporary = path.with_suffix(".new")
        temporary.write_text(" ".join(calls))
        temporary.replace(path)

    def is_running(self, name: str) -> bool:
        """Return whether the process of a host runs; record an unexpected exit."""
        process = self._processes.get(name)
        if process is None:
            return False
        status = process.poll()
        if status is not None:
            self.unexpected_exits.append(f"{name}: exited with status {status}")
            del self._processes[name]
        return status is None

    def pid(self, name: str) -> int | None:
        """Return the id of the process of a host; None if there is none, or it is being stopped."""
        process = self._processes.get(name)
        return None if process is None else process.pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host if it is running."""
        if self.is_running(name):
            self._processes[name].send_signal(number)

    def kill(self, name: str) -> bool:
        """Kill the process of a host; return False if there is none."""
        if not self.is_running(name):
            return False
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        return True

    async def reload(self, name: str) -> None:
        """Write other settings of a host and signal that they have changed."""
        self.write_settings(name)
        process = self._processes.get(name)
        if process is None:
            return
        async for _ in Timers().subscribe("soak", BEGIN_POLL_S):
            if has_begun(process.pid):
                break
        if process is self._processes.get(name) and self.is_running(name):
            self._note_planned(name, RELOAD)
            self.send_signal(name, signal.SIGHUP)

    def _note_planned(self, name: str, kind: str) -> PlannedWork:
        work = PlannedWork(entry=(name, self.starts[name]), kind=kind, at=trio.current_time())
        if name in ENTRIES:
            self.planned.append(work)
        return work

    def count_refused_connection(self, name: str) -> None:
        """Count a connection that an entry refuses, if the entry is being stopped."""
        for work in self.planned:
            if work.entry[0] == name and work.kind == STOP and work.until == float("inf"):
                work.refused += 1

    async def terminate(self, name: str, *, signals: int = 1) -> bool:
        """
        Stop the process of a host as the platform does.

        Parameters
        ----------
        name : str
            The host.
        signals : int
            Number of signals to stop, with some time between them.

        Returns
        -------
        bool
            False if there is no process.
        """
        if not self.is_running(name):
            return False
        process = self._processes.pop(name)
        work = self._note_planned(name, STOP)
        process.send_signal(signal.SIGCONT)
        with trio.move_on_after(GRACE_S):
            for _ in range(signals - 1):
                process.terminate()
                await trio.sleep(SECOND_SIGNAL_S)
            process.terminate()
            await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        work.was_killed = process.poll() is None
        process.kill()
        process.wait()
        work.until = trio.current_time()
        return True

    def limit_file_size(self, name: str, max_bytes: int) -> None:
        """Let writes fail beyond a file size, as on a full disk; -1 for no limit."""
        if self.is_running(name):
            _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
            soft = hard if max_bytes < 0 else max_bytes
            resource.prlimit(self._processes[name].pid, resource.RLIMIT_FSIZE, (soft, hard))

    def wipe(self, name: str) -> None:
        """Delete the data folder of a host that is not running."""
        shutil.rmtree(self._data_folder(name))

    def append_torn_write(self, name: str) -> None:
        """Append an incomplete write to the newest segments of a stopped host."""
        for folder in {path.parent for path in self._data_folder(name).rglob(SEGMENTS)}:
            newest = max(folder.glob(SEGMENTS))
            with newest.open("ab") as file:
                file.write(TORN_WRITE_BYTES)

    def stop(self) -> None:
        """Kill all processes."""
        for name in list(self._processes):
            self.kill(name)


def find_role(name: str) -> str:
    """
    Return the role of a host.

    Examples
    --------
    >>> find_role("entry-1")
    'entry'
    """
    return "control" if name in CONTROL else "entry"


def has_begun(pid: int) -> bool:
    """Tell whether a process has come to the first line of its program, or has ended."""
    try:
        used_ns = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    except (FileNotFoundError, ProcessLookupError):
        return True
    return used_ns >= BEGIN_CPU_S * 1e9

"""The processes of a site: settings, starts, ends."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import trio

from bench.soak.proxy import Proxy
from marigoldtrail.net import Address

CONTROL = ["control-1", "control-2", "control-3"]
ENTRIES = ["entry-1", "entry-2"]
HOSTS = CONTROL + ENTRIES
PEER_PORT, REQUEST_PORT, READY_PORT, OPERATOR_PORT, LOOKUP_PORT = 7740, 8625, 8621, 8628, 8620
# Longer than a host needs to finish what it has; then it is killed, as on the platform.
GRACE_S = 8.0
GARBAGE = b"\x07torn write\xff" * 3
SEGMENTS = "*.log"


class Fleet:
    """
    Processes of one site.

    Parameters
    ----------
    network : str
        First two octets of the loopback addresses to use.
    folder : Path
        Settings, data and logs.
    list_address : Address
        The platform's list.
    proxy : Proxy
        Stands before each host.

    Attributes
    ----------
    starts : Counter
        How often each host was started.
    ended_by_itself : list of str
        Hosts whose process has ended without a signal.
    """

    __slots__ = (
        "starts",
        "ended_by_itself",
        "_network",
        "_folder",
        "_list_address",
        "_proxy",
        "_processes",
        "_seeds",
    )

    def __init__(self, *, network: str, folder: Path, list_address: Address, proxy: Proxy) -> None:
        self._network = network
        self._folder = folder
        self._list_address = list_address
        self._proxy = proxy
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._seeds = list(CONTROL)
        self.starts: Counter[str] = Counter()
        self.ended_by_itself: list[str] = []

    def ip(self, name: str) -> str:
        """Return the address under which others reach a host."""
        return f"{self._network}.1.{HOSTS.index(name) + 1}"

    def _bind_ip(self, name: str) -> str:
        return f"{self._network}.2.{HOSTS.index(name) + 1}"

    def request_address(self, name: str) -> str:
        """Return where callers reach an entry."""
        return f"{self.ip(name)}:{REQUEST_PORT}"

    def operator_address(self, name: str) -> str:
        """Return where operators reach a control host."""
        return f"{self.ip(name)}:{OPERATOR_PORT}"

    def lookup_address(self, name: str) -> str:
        """Return where callers ask for entries."""
        return f"{self.ip(name)}:{LOOKUP_PORT}"

    def entry_at(self, address: str) -> str:
        """Return the entry with an address."""
        return next(name for name in ENTRIES if self.request_address(name) == address)

    async def start(self) -> None:
        """Start all hosts for the first time, with the proxy before them."""
        for name in HOSTS:
            ports = [PEER_PORT, OPERATOR_PORT, LOOKUP_PORT]
            for port in ports if name in CONTROL else [REQUEST_PORT, READY_PORT]:
                real = Address(self._bind_ip(name), port)
                await self._proxy.forward(Address(self.ip(name), port), real)
        for name in HOSTS:
            self.start_host(name, is_first=True)

    def write_settings(self, name: str, *, is_first: bool = False) -> Path:
        """Write the settings of a host; seeds change their order each time."""
        is_control = name in CONTROL
        self._seeds.append(self._seeds.pop(0))
        value = {
            "host": name,
            "role": "control" if is_control else "entry",
            "data_centre": "z",
            "region": "r",
            "ip": self.ip(name),
            "bind_ip": self._bind_ip(name),
            "request_address": "" if is_control else self.request_address(name),
            "ready_address": "" if is_control else f"{self.ip(name)}:{READY_PORT}",
            "operator_address": self.operator_address(name) if is_control else "",
            "lookup_address": self.lookup_address(name) if is_control else "",
            "internal_ports": [PEER_PORT, PEER_PORT + 9],
            "seeds": [self.operator_address(seed) for seed in self._seeds],
            "first_start": is_first,
            "data_folder": str(self._data_folder(name)),
            "upstream_list": {"address": str(self._list_address)},
            "bounds": {"grace_s": GRACE_S},
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
                [sys.executable, "-m", "marigoldtrail.platform"],
                env={**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)},
                stdout=out,
                stderr=out,
            )

    def is_running(self, name: str) -> bool:
        """Tell whether the process of a host runs; note it if it has ended by itself."""
        process = self._processes.get(name)
        if process is None:
            return False
        status = process.poll()
        if status is not None:
            self.ended_by_itself.append(f"{name}: ended with status {status}")
            del self._processes[name]
        return status is None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host, if there is one."""
        if self.is_running(name):
            self._processes[name].send_signal(number)

    def kill(self, name: str) -> bool:
        """End the process of a host at once; False if there is none."""
        if not self.is_running(name):
            return False
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        return True

    async def terminate(self, name: str) -> bool:
        """Stop the process of a host as the platform does; False if there is none."""
        if not self.is_running(name):
            return False
        process = self._processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        with trio.move_on_after(GRACE_S):
            await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        process.kill()
        process.wait()
        return True

    def limit_files(self, name: str, most_bytes: int) -> None:
        """Let writes beyond a size of any file fail, as on a full disk; -1 for no limit."""
        if self.is_running(name):
            _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
            soft = hard if most_bytes < 0 else most_bytes
            resource.prlimit(self._processes[name].pid, resource.RLIMIT_FSIZE, (soft, hard))

    def wipe(self, name: str) -> None:
        """Empty the disk of a host that does not run."""
        shutil.rmtree(self._data_folder(name))

    def tear(self, name: str) -> None:
        """Leave the begin of a write at the end of the newest segments of a stopped host."""
        for folder in {path.parent for path in self._data_folder(name).rglob(SEGMENTS)}:
            newest = max(folder.glob(SEGMENTS))
            with newest.open("ab") as file:
                file.write(GARBAGE)

    def stop(self) -> None:
        """End all processes."""
        for name in list(self._processes):
            self.kill(name)

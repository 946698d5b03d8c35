"""Small test fleet of real processes on loopback addresses, with callers."""

from __future__ import annotations

import json
import random
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from marigoldtrail.api import ApiClient
from marigoldtrail.demo.callers import Caller
from marigoldtrail.demo.deployments import (
    API_PORT_OFFSET,
    TSVETANOV,
    UPSTREAM_PORT_OFFSET,
    Deployment,
    build_manifest,
    build_settings,
)
from marigoldtrail.demo.runner import init_groups_when_ready, parse_node_settings
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.schema import parse_manifest
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.timers import Timers

# Upper limit for waiting on outcomes; no test checks how long they take.
WAIT_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.2
HOSTS = 4
CONTROL_HOSTS = 3


class ProcessFleet:
    """Three hosts with both roles, a fourth that is only an entry, and their upstreams."""

    def __init__(self, *, folder: Path) -> None:
        self.timers = Timers()
        self.deployment = Deployment(
            name="tsvetanov",
            data_centres=TSVETANOV.data_centres,
            hosts=HOSTS,
            control_hosts=CONTROL_HOSTS,
            engines=2,
            services={"booking": True},
            replicas=2,
            first_port=find_free_ports(),
        )
        self.manifest = {**build_manifest(self.deployment), "client_accounts": []}
        parsed = parse_manifest(json.dumps(self.manifest).encode())
        assert not isinstance(parsed, list), parsed
        self.standin_fleet = StandinFleet(manifest=parsed, network=TcpNetwork(), timers=self.timers)
        self.settings: dict[str, Settings] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._files: dict[str, Path] = {}
        for document in build_settings(self.deployment, folder):
            path = folder / f"{document['host']}.json"
            path.write_text(json.dumps(document))
            self._files[document["host"]] = path
            self.settings[document["host"]] = parse_node_settings(document)

    def start(self, host: str) -> None:
        command = [sys.executable, "-m", "marigoldtrail", "serve", "--settings"]
        log = self._files[host].with_suffix(".log").open("ab")
        with log:
            self.processes[host] = subprocess.Popen([*command, self._files[host]], stderr=log)

    def kill(self, host: str) -> None:
        process = self.processes.pop(host)
        process.kill()
        process.wait()

    def delete_disk(self, host: str) -> None:
        shutil.rmtree(self.settings[host].data_folder)

    async def terminate(self, host: str) -> int:
        process = self.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        return await trio.to_thread.run_sync(process.wait)

    def client(self, host: str) -> ApiClient:
        return ApiClient(address=Address.parse(self.settings[host].api_address))

    def caller(self, account: str, seed: int = 1) -> Caller:
        entries = [Address.parse(cfg.api_address) for cfg in self.settings.values()]
        return Caller(
            entries=entries,
            data_centre=self.deployment.data_centres[0],
            client_account=account,
            timers=self.timers,
            rng=random.Random(seed),
        )

    async def call_entry(self, host: str, call: Callable[[ApiClient], Any]) -> Any:
        """Repeat a call to one entry until it succeeds."""
        return await self.wait_for(host, call, lambda answer: True)

    async def wait_for(
        self, host: str, call: Callable[[ApiClient], Any], accept: Callable[[Any], bool]
    ) -> Any:
        """Repeat a call to one entry until its result satisfies `accept`."""
        async with self.client(host) as client:
            answer: Any = None
            with trio.move_on_after(WAIT_TIMEOUT_S):
                while True:
                    answer = await call(client)
                    if not isinstance(answer, Failure) and accept(answer):
                        return answer
                    await trio.sleep(POLL_INTERVAL_S)
            raise AssertionError(
                f"no accepted answer within {WAIT_TIMEOUT_S} s; the last: {answer}"
            )

    async def wait_warm(self, host: str) -> None:
        names = set(self.standin_fleet.standins)

        def all_warm(status: dict[str, Any]) -> bool:
            states = {item["upstream"]: item["state"] for item in status["upstreams"]}
            return all(states.get(name) == "warm" for name in names)

        await self.wait_for(host, lambda client: client.get_status(), all_warm)


def find_free_ports() -> int:
    """Return the first of a range of free ports below the kernel's ephemeral range."""
    rng = random.Random()
    while True:
        first = rng.randrange(23000, 31000, 250)
        offsets = [*range(HOSTS), *range(API_PORT_OFFSET, API_PORT_OFFSET + HOSTS)]
        offsets += range(UPSTREAM_PORT_OFFSET, UPSTREAM_PORT_OFFSET + 12)
        if all(is_free(first + offset) for offset in offsets):
            return first


def is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


@asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[ProcessFleet]:
    """Start a fleet with its manifest in force and all upstreams warm."""
    fleet = ProcessFleet(folder=folder)
    hosts = list(fleet.settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.standin_fleet.run)
        try:
            for host in hosts:
                fleet.start(host)
            with trio.fail_after(WAIT_TIMEOUT_S):
                await init_groups_when_ready(fleet.settings[hosts[0]])
            document = json.dumps(fleet.manifest).encode()
            await fleet.call_entry(
                hosts[0], lambda client: client.submit_manifest(document, "test")
            )
            for host in hosts:
                await fleet.call_entry(host, lambda client: client.list_addresses())
            await fleet.wait_warm(hosts[0])
            yield fleet
        finally:
            for host in list(fleet.processes):
                fleet.kill(host)
        nursery.cancel_scope.cancel()

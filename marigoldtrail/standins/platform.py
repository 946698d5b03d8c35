"""Simulated host list of the platform, and simulated weight store."""

from __future__ import annotations

from typing import Literal

import trio

from marigoldtrail.standins.http import HttpRequest, ResponseWriter
from marigoldtrail.standins.process import FaultSwitches, Process
from marigoldtrail.timers import Timers

HostState = Literal["live", "leaving"]


class HostList:
    """
    The platform's list of live and leaving hosts, published with a delay.

    ``GET /hosts`` returns ``{"version": n, "hosts": [{"host": name, "state": state}]}``.

    Parameters
    ----------
    process : Process
        Its process.
    timers : Timers
        Clock.
    lag_s : float
        Age at which a change is published, in seconds.
    """

    __slots__ = (
        "process",
        "fault_switches",
        "cancel_on_disconnect",
        "_timers",
        "_lag_s",
        "_versions",
    )

    def __init__(self, *, process: Process, timers: Timers, lag_s: float = 3.0) -> None:
        self.process = process
        self.fault_switches = FaultSwitches()
        self.cancel_on_disconnect = False
        self._timers = timers
        self._lag_s = lag_s
        self._versions: list[tuple[float, dict[str, HostState]]] = [(float("-inf"), {})]

    def set_host(self, host: str, state: HostState | None) -> None:
        """Change the state of a host; None removes it from the list."""
        hosts = dict(self._versions[-1][1])
        hosts.pop(host, None)
        if state is not None:
            hosts[host] = state
        self._versions.append((self._timers.now(), hosts))

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        limit = self._timers.now() - self._lag_s
        published = [hosts for changed, hosts in self._versions if changed <= limit]
        hosts = [{"host": host, "state": state} for host, state in published[-1].items()]
        answer = {"version": len(published), "hosts": hosts}
        await reply.send_json(200, answer, self.process.headers())


class WeightStore:
    """
    Store of model weights that limits the number of concurrent loads.

    ``GET /weights/{model}`` responds after the load, or at once with status 429 at the limit.

    Parameters
    ----------
    process : Process
        Its process.
    timers : Timers
        Clock.
    concurrent_loads : int
        Maximum number of concurrent loads.
    load_s : float
        Duration of a load in seconds.
    """

    __slots__ = (
        "process",
        "fault_switches",
        "cancel_on_disconnect",
        "loads",
        "refused",
        "running",
        "max_running",
        "_timers",
        "_concurrent_loads",
        "_load_s",
    )

    def __init__(
        self, *, process: Process, timers: Timers, concurrent_loads: int = 2, load_s: float = 1.0
    ) -> None:
        self.process = process
        self.fault_switches = FaultSwitches()
        self.cancel_on_disconnect = True
        self.loads = 0
        self.refused = 0
        self.running = 0
        self.max_running = 0
        self._timers = timers
        self._concurrent_loads = concurrent_loads
        self._load_s = load_s

    async def load(self, model: str) -> bool:
        """Load a model; return False at once if the limit of concurrent loads is reached."""
        if self.running >= self._concurrent_loads:
            self.refused += 1
            return False
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self._timers.sleep(self._load_s + self.fault_switches.delay_s)
        finally:
            self.running -= 1
        self.loads += 1
        return True

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        if self.fault_switches.stalled:
            await trio.sleep_forever()
        model = request.path.removeprefix("/weights/")
        if await self.load(model):
            await reply.send_json(200, {"model": model}, self.process.headers())
        else:
            fields = {**self.process.headers(), "retry-after": "1"}
            await reply.send_json(429, {"detail": "too many loads"}, fields)

"""Injects the faults of a plan from outside the processes."""

from __future__ import annotations

import signal
from collections import Counter

import trio

from bench.soak.faulty_host import DISK_FAULTS
from bench.soak.fleet import HOSTS, Fleet
from bench.soak.plan import Fault
from bench.soak.planned import Disruption
from bench.soak.proxy import Proxy
from bench.soak.upstreams import Platform

DELAY_S = 0.15
# Less than the size of any file of a host after its start.
FULL_DISK_BYTES = 64
RESTART_S = 0.3
# Signals to stop, by kind of planned stop.
STOP_SIGNALS = {"term": 1, "term_twice": 2}
PLANNED_KINDS = frozenset({*STOP_SIGNALS, "reload"})


class Injector:
    """
    Injects faults, which may overlap.

    Parameters
    ----------
    fleet : Fleet
        Processes of the hosts.
    platform : Platform
        The upstreams.
    proxy : Proxy
        Proxy in front of hosts and upstreams.

    Attributes
    ----------
    counts : Counter
        Number of injected faults by kind.
    disruptions : list of Disruption
        All faults that are not planned work.
    """

    __slots__ = ("counts", "disruptions", "_fleet", "_platform", "_proxy")

    def __init__(self, *, fleet: Fleet, platform: Platform, proxy: Proxy) -> None:
        self.counts: Counter[str] = Counter()
        self.disruptions: list[Disruption] = []
        self._fleet = fleet
        self._platform = platform
        self._proxy = proxy

    async def run(self, plan: list[Fault]) -> None:
        """Inject all faults of a plan and wait for their end."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(started + fault.at)
                self.counts[fault.kind] += 1
                nursery.start_soon(self.inject, fault)

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and wait for its end."""
        targets = HOSTS if fault.target == "hosts" else [fault.target]
        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(self._inject_at, fault, target)

    async def _inject_at(self, fault: Fault, target: str) -> None:
        disruption = Disruption(target=target, kind=fault.kind, at=trio.current_time())
        if fault.kind not in PLANNED_KINDS:
            self.disruptions.append(disruption)
        if target in HOSTS:
            await self._inject_host_fault(fault.kind, target, fault.duration_s)
        else:
            await self._inject_upstream_fault(fault)
        disruption.until = trio.current_time()

    async def _inject_host_fault(self, kind: str, name: str, duration_s: float) -> None:
        fleet = self._fleet
        if kind in ("kill", "torn_write", "wipe"):
            if not fleet.kill(name):
                return
            if kind == "torn_write":
                fleet.append_torn_write(name)
            elif kind == "wipe":
                fleet.wipe(name)
            await trio.sleep(duration_s)
            fleet.start_host(name)
        elif kind in STOP_SIGNALS:
            if await fleet.terminate(name, signals=STOP_SIGNALS[kind]):
                await trio.sleep(RESTART_S)
                fleet.start_host(name)
        elif kind == "pause":
            fleet.send_signal(name, signal.SIGSTOP)
            await trio.sleep(duration_s)
            fleet.send_signal(name, signal.SIGCONT)
        elif kind == "reload":
            await fleet.reload(name)
        elif kind == "disk_full":
            fleet.limit_file_size(name, FULL_DISK_BYTES)
            await trio.sleep(duration_s)
            fleet.limit_file_size(name, -1)
        elif kind in DISK_FAULTS:
            fleet.begin_disk_fault(name, kind)
            await trio.sleep(duration_s)
            fleet.end_disk_fault(name, kind)
        else:
            await self._inject_link_fault(kind, fleet.ip(name), duration_s)

    async def _inject_upstream_fault(self, fault: Fault) -> None:
        upstream = self._platform.upstreams[fault.target]
        if fault.kind in ("restart", "leave"):
            if upstream.state != "ready":
                return
            upstream.state = "leaving" if fault.kind == "leave" else "down"
            run_fault = self._platform.leave if fault.kind == "leave" else self._platform.restart
            await run_fault(upstream, fault.duration_s)
        elif fault.kind == "limit":
            await self._platform.limit(upstream, fault.requests_per_s, fault.duration_s)
        else:
            await self._inject_link_fault(fault.kind, upstream.advertised.ip, fault.duration_s)

    async def _inject_link_fault(self, kind: str, ip: str, duration_s: float) -> None:
        proxy = self._proxy
        if kind == "reset":
            proxy.reset(ip)
            return
        fields = {
            "cut": {"is_cut": True},
            "delay": {"delay_s": DELAY_S},
            "silence": {"holds_requests": True, "holds_answers": True},
            "hold_requests": {"holds_requests": True},
            "hold_answers": {"holds_answers": True},
        }[kind]
        proxy.set_link(ip, **fields)
        await trio.sleep(duration_s)
        proxy.heal(ip)

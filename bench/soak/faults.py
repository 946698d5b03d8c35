"""Injects the faults of a plan from outside of the processes."""

from __future__ import annotations

import signal
from collections import Counter

import trio

from bench.soak.fleet import HOSTS, Fleet
from bench.soak.plan import Fault
from bench.soak.proxy import Proxy
from bench.soak.upstreams import Platform

DELAY_S = 0.15
# Less than any file of a host holds after its start.
FULL_DISK_BYTES = 64
RESTART_S = 0.3


class Injector:
    """
    Carries out faults, which may overlap.

    Parameters
    ----------
    fleet : Fleet
        The hosts.
    platform : Platform
        The upstreams.
    proxy : Proxy
        The links.

    Attributes
    ----------
    counts : Counter
        Faults by kind.
    """

    __slots__ = ("counts", "_fleet", "_platform", "_proxy")

    def __init__(self, *, fleet: Fleet, platform: Platform, proxy: Proxy) -> None:
        self.counts: Counter[str] = Counter()
        self._fleet = fleet
        self._platform = platform
        self._proxy = proxy

    async def run(self, plan: list[Fault]) -> None:
        """Inject all faults of a plan and end them."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(started + fault.at)
                self.counts[fault.kind] += 1
                nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        if fault.target == "hosts":
            async with trio.open_nursery() as nursery:
                for name in HOSTS:
                    nursery.start_soon(self._hit_host, fault.kind, name, fault.for_s)
        elif fault.target in HOSTS:
            await self._hit_host(fault.kind, fault.target, fault.for_s)
        else:
            await self._hit_upstream(fault)

    async def _hit_host(self, kind: str, name: str, for_s: float) -> None:
        fleet = self._fleet
        if kind in ("kill", "torn_write", "wipe"):
            if not fleet.kill(name):
                return
            if kind == "torn_write":
                fleet.tear(name)
            elif kind == "wipe":
                fleet.wipe(name)
            await trio.sleep(for_s)
            fleet.start_host(name)
        elif kind == "term":
            if await fleet.terminate(name):
                await trio.sleep(RESTART_S)
                fleet.start_host(name)
        elif kind == "pause":
            fleet.send_signal(name, signal.SIGSTOP)
            await trio.sleep(for_s)
            fleet.send_signal(name, signal.SIGCONT)
        elif kind == "reload":
            fleet.write_settings(name)
            fleet.send_signal(name, signal.SIGHUP)
        elif kind == "disk_full":
            fleet.limit_files(name, FULL_DISK_BYTES)
            await trio.sleep(for_s)
            fleet.limit_files(name, -1)
        else:
            await self._hit_link(kind, fleet.ip(name), for_s)

    async def _hit_upstream(self, fault: Fault) -> None:
        upstream = self._platform.upstreams[fault.target]
        if fault.kind in ("restart", "leave"):
            if upstream.state != "ready":
                return
            upstream.state = "leaving" if fault.kind == "leave" else "down"
            act = self._platform.leave if fault.kind == "leave" else self._platform.restart
            await act(upstream, fault.for_s)
        else:
            await self._hit_link(fault.kind, upstream.advertised.ip, fault.for_s)

    async def _hit_link(self, kind: str, ip: str, for_s: float) -> None:
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
        await trio.sleep(for_s)
        proxy.heal(ip)

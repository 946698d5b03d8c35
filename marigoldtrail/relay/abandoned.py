"""Watch upstreams at which a request was given up without an answer."""

from __future__ import annotations

import trio

from marigoldtrail.quarantine import PromptGuard
from marigoldtrail.reachability import ReachabilityMonitor
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers, run_guarded

# Times before the probes: an upstream may crash some time after a request was given up.
PROBE_DELAYS_S = (0.1, 0.4)
PROBE_TIMEOUT_S = 0.3
MAX_PROBES = 32


class AbandonedAttempts:
    """
    Blames requests for crashes of upstreams that come just after the requests were given up.

    A request that is repeated elsewhere after a short time, or whose time is up, would otherwise
    crash one upstream after the other unseen: its connection is closed when it is given up.

    Parameters
    ----------
    pool : ConnectionPool
        Opens connections to the upstreams.
    prompts : PromptGuard
        Learns of the crashes.
    reachability : ReachabilityMonitor
        Tells whether this host reaches upstreams.
    timers : Timers
        Delays.
    nursery : trio.Nursery
        Runs the probes.
    """

    __slots__ = ("_pool", "_prompts", "_reachability", "_timers", "_nursery", "_probes")

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        prompts: PromptGuard,
        reachability: ReachabilityMonitor,
        timers: Timers,
        nursery: trio.Nursery,
    ) -> None:
        self._pool = pool
        self._prompts = prompts
        self._reachability = reachability
        self._timers = timers
        self._nursery = nursery
        self._probes = 0

    def watch(self, exchange: Exchange, upstream: Upstream) -> None:
        """Find out whether an upstream crashed, unless many others are being watched."""
        if self._probes < MAX_PROBES:
            self._probes += 1
            self._nursery.start_soon(self._run_probe, exchange.identity, exchange.parts, upstream)

    async def _run_probe(self, request: str, parts: frozenset[str], upstream: Upstream) -> None:
        async def probe() -> None:
            for delay_s in PROBE_DELAYS_S:
                await self._timers.sleep(delay_s)
                is_refused = await self._pool.is_refused(upstream, PROBE_TIMEOUT_S)
                if is_refused and not self._reachability.is_cut_off:
                    self._prompts.record_crash(upstream.name, request, parts)
                    return

        try:
            await run_guarded(probe)
        finally:
            self._probes -= 1

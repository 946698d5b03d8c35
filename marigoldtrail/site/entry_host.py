"""Entry host: accepts callers' requests."""

from __future__ import annotations

import logging
from functools import partial

import trio

from marigoldtrail.net import Address, ListenerControl
from marigoldtrail.pieces import PieceClient
from marigoldtrail.ratelimits import PlaceClient, UpstreamLimiter, compute_share
from marigoldtrail.reachability import ReachabilityMonitor
from marigoldtrail.relay import (
    Dispatcher,
    PeerForwarder,
    Relay,
    SendGate,
    StreamVersions,
    UpstreamMonitor,
)
from marigoldtrail.relay.relay import StopCounts
from marigoldtrail.routing import Limits
from marigoldtrail.site.components import HostComponents
from marigoldtrail.site.leader_calls import LeaderCalls
from marigoldtrail.timers import run_guarded

# Callers use the addresses of a look-up for up to three times the stated time to live.
ADDRESS_EXPIRY_S = 3.5
# Draining stops this long before the grace period ends, so that the process has exited by then.
EXIT_MARGIN_S = 0.8
# Time for the answers to readiness checks and reads of the metrics at the end of a stop.
LAST_CHECKS_S = 0.1

_log = logging.getLogger(__name__)


class EntryHost:
    """
    Services of an entry host.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    """

    __slots__ = (
        "components",
        "listener",
        "monitor",
        "pieces",
        "reachability",
        "relay",
        "versions",
        "_draining",
        "_counts_at_end",
    )

    def __init__(self, *, components: HostComponents) -> None:
        self.components = components
        self.listener = ListenerControl()
        self.monitor = UpstreamMonitor(
            fleet_state=components.fleet_state,
            data_centre=components.cfg.data_centre,
            timers=components.timers,
        )
        self.pieces = PieceClient(
            fleet_state=components.fleet_state,
            peers=components.peers,
            timers=components.timers,
            nursery=components.nursery,
            seeds=components.seed_names(),
        )
        leader = LeaderCalls(components=components)
        gate = SendGate(
            fleet_state=components.fleet_state,
            monitor=self.monitor,
            limiter=UpstreamLimiter(
                book=components.fleet_state.limits,
                timers=components.timers,
                request_permit=leader.request_permit,
                entry_count=components.fleet_state.entry_count,
            ),
            places=PlaceClient(
                host=components.cfg.host,
                book=components.fleet_state.brittle,
                take_place=leader.take_place,
                release_place=leader.release_place,
                get_share=self._get_share,
                timers=components.timers,
                nursery=components.nursery,
            ),
            request_trial=leader.request_trial,
            timers=components.timers,
            metrics=components.metrics,
        )
        self.versions = StreamVersions(
            fleet_state=components.fleet_state,
            call_leader=leader.call,
            timers=components.timers,
        )
        self.reachability = ReachabilityMonitor(
            data_centre=components.cfg.data_centre,
            fleet_state=components.fleet_state,
            contact=components.contact,
            probe=components.pool.probe,
            on_change=self._handle_reachability,
            timers=components.timers,
            rng=components.rng,
        )
        dispatcher = Dispatcher(
            data_centre=components.cfg.data_centre,
            fleet_state=components.fleet_state,
            monitor=self.monitor,
            pool=components.pool,
            contact=components.contact,
            reachability=self.reachability,
            pieces=self.pieces,
            nursery=components.nursery,
            header_codec=components.adapter.header_codec,
            bounds=components.cfg.bounds,
            timers=components.timers,
            rng=components.rng,
            metrics=components.metrics,
            gate=gate,
            versions=self.versions,
            forwarder=PeerForwarder(
                host=components.cfg.host,
                network=components.network,
                header_codec=components.adapter.header_codec,
                list_entries=leader.list_entries,
                timers=components.timers,
                rng=components.rng,
                memory=components.memory,
            ),
            memory=components.memory,
        )
        self.relay = Relay(
            host=components.cfg.host,
            fleet_state=components.fleet_state,
            monitor=self.monitor,
            pool=components.pool,
            dispatcher=dispatcher,
            header_codec=components.adapter.header_codec,
            timers=components.timers,
            rng=components.rng,
            metrics=components.metrics,
            memory=components.request_memory,
        )
        components.metrics.add_gauge(
            "requests_in_progress", "Requests in progress.", lambda: self.relay.requests
        )
        components.metrics.add_gauge(
            "caller_connections", "Open connections of callers.", lambda: self.relay.connections
        )
        components.metrics.add_gauge(
            "cut_off", "Whether no upstream can be reached.", lambda: self.reachability.is_cut_off
        )
        components.reporter.set_load_source(self.monitor.report_loads)
        self._draining = False
        self._counts_at_end: StopCounts | None = None

    def _get_share(self, upstream: str) -> int:
        """Return the places of this entry at an upstream while there is no leader."""
        fleet_state = self.components.fleet_state
        found = fleet_state.upstreams.get(upstream)
        slots = found.slots if found is not None else 0
        return compute_share(slots, fleet_state.entry_position, fleet_state.entry_count())

    def is_ready(self) -> bool:
        """Return whether callers may be directed to this entry."""
        fleet_state = self.components.fleet_state
        return not self._draining and fleet_state.routes is not None and bool(fleet_state.upstreams)

    async def run(self) -> None:
        """Serve until cancelled."""
        components = self.components
        cfg = components.cfg
        handler = components.adapter.make_ready_handler(self.is_ready)
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(components.serve_http, cfg.ready_address, handler, Limits())
            )
            await nursery.start(
                partial(
                    components.network.listen,
                    Address.parse(cfg.request_address),
                    self.relay.serve,
                    control=self.listener,
                )
            )
            await nursery.start(components.serve_metrics)
            nursery.start_soon(components.reporter.run)
            nursery.start_soon(self.relay.run)
            nursery.start_soon(self._announce_ready)
            nursery.start_soon(components.report_crashes)
            nursery.start_soon(self.versions.run)
            nursery.start_soon(self.reachability.run)

    def _handle_reachability(self) -> None:
        """Tell the leader at once, so that look-ups leave this entry out or name it again."""
        is_cut_off = self.reachability.is_cut_off
        if not is_cut_off:
            # The upstreams were not to blame for their failures.
            self.monitor.end_ejections()
        self.components.reporter.identity.is_cut_off = is_cut_off
        self.components.nursery.start_soon(run_guarded, self.components.send_report)

    async def _announce_ready(self) -> None:
        while not self.is_ready():
            await self.components.fleet_state.changed.wait()
        self.components.reporter.identity.ready = True
        _log.info("ready")

    async def drain(self) -> None:
        """Finish the requests in progress while callers move to other entries."""
        components = self.components
        counts_at_start = self.relay.count_ends()
        started = components.timers.now()
        latest_end = started + components.cfg.bounds.grace_s - EXIT_MARGIN_S
        self._draining = True
        self.relay.start_draining(latest_end)
        components.endpoint_stop.start()
        components.reporter.identity.ready = False
        components.nursery.start_soon(run_guarded, components.send_report)
        await components.timers.sleep(ADDRESS_EXPIRY_S)
        # Callers with an old address are refused from here on and turn to other entries; the drain
        # would have no end while they still came.
        await self.listener.close()
        await self.relay.drain(latest_end)
        if components.timers.now() < latest_end:
            await components.close_endpoints(LAST_CHECKS_S)
        counts = self._counts_at_end = self.relay.count_ends()
        _log.info(
            "drained",
            extra={
                "requests_left": counts.requests,
                "connections_left": counts.connections,
                "accepted_at_close": self.listener.accepted_at_close,
                "requests_refused": counts.refused - counts_at_start.refused,
                "connections_reset": counts.reset - counts_at_start.reset,
            },
        )

    def log_stopped(self) -> None:
        """Log what happened between the end of the drain and the end of all tasks."""
        counts = self.relay.count_ends()
        before = self._counts_at_end
        if before is None:
            return
        _log.info(
            "stopped",
            extra={
                "connections_closed": counts.closed - before.closed,
                "connections_reset": counts.reset - before.reset,
                "requests_refused": counts.refused - before.refused,
            },
        )

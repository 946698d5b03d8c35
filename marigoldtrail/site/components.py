"""Components that hosts of both roles share."""

from __future__ import annotations

import random
from typing import Any

import trio

from marigoldtrail.memory import (
    MemoryBudget,
    RequestMemory,
    compute_budget_bytes,
    compute_frame_bytes,
    compute_request_bytes,
)
from marigoldtrail.net import Address, FaultyFrames, ListenerControl, Network, PeerClient
from marigoldtrail.reachability import UpstreamContact
from marigoldtrail.registry import FleetState, HostReporter, peer_name
from marigoldtrail.relay import CallerRequest, ConnectionPool, Reply, make_answer_recorder
from marigoldtrail.relay.endpoints import EndpointStop, Handler, serve_endpoint
from marigoldtrail.routing import Limits
from marigoldtrail.schema.generated.registry import HostReport
from marigoldtrail.schema.generated.site import SiteSettings
from marigoldtrail.site.adapter import Adapter
from marigoldtrail.telemetry.nonblocking_logs import count_dropped_lines
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers, run_guarded

METRICS_PATH = "/metrics"
CLOSE_POLL_INTERVAL_S = 0.02
# Time for the refusals of requests to endpoints that are still in progress when they must end.
LAST_REPLIES_S = 0.3
CRASH_REPORT_DELAY_S = 0.02


class HostComponents:
    """
    Components of a host in either role.

    Parameters
    ----------
    cfg : SiteSettings
        Settings of the host.
    adapter : Adapter
        Adapter of the platform.
    network : Network
        Opens and accepts connections.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator.
    nursery : trio.Nursery
        Runs the tasks of connections.
    """

    __slots__ = (
        "cfg",
        "adapter",
        "network",
        "timers",
        "rng",
        "nursery",
        "memory",
        "frame_memory",
        "request_memory",
        "faulty_frames",
        "peers",
        "fleet_state",
        "contact",
        "pool",
        "reporter",
        "metrics",
        "endpoint_stop",
        "_endpoint_listeners",
    )

    def __init__(
        self,
        *,
        cfg: SiteSettings,
        adapter: Adapter,
        network: Network,
        timers: Timers,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self.cfg = cfg
        self.adapter = adapter
        self.network = network
        self.timers = timers
        self.rng = rng
        self.nursery = nursery
        self.endpoint_stop = EndpointStop()
        self._endpoint_listeners: list[ListenerControl] = []
        self.metrics = PrometheusMetrics()
        self.memory = MemoryBudget(total_bytes=compute_budget_bytes(cfg.memory_mb), timers=timers)
        self.frame_memory = MemoryBudget(
            total_bytes=compute_frame_bytes(cfg.memory_mb), timers=timers
        )
        self.request_memory = RequestMemory(
            total_bytes=compute_request_bytes(cfg.memory_mb), timers=timers
        )
        self.faulty_frames = FaultyFrames()
        self.peers = PeerClient(network=network, host=cfg.host, nursery=nursery)
        self.fleet_state = FleetState(parse_document=adapter.parse_document, timers=timers)
        self.contact = UpstreamContact(timers=timers)
        self.pool = ConnectionPool(
            network=network,
            timers=timers,
            header_codec=adapter.header_codec,
            on_answer=make_answer_recorder(self.fleet_state),
            contact=self.contact,
        )
        self.reporter = HostReporter(
            identity=HostReport(
                host=cfg.host,
                incarnation=timers.wall_ms(),
                role=cfg.role,
                data_centre=cfg.data_centre,
                region=cfg.region,
                peer_address=self.own_name if cfg.role == "control" else "",
                request_address=cfg.request_address,
            ),
            fleet_state=self.fleet_state,
            peers=self.peers,
            timers=timers,
            seeds=self.seed_names(),
        )

        self._add_gauges()

    def _add_gauges(self) -> None:
        fleet_state = self.fleet_state
        add = self.metrics.add_gauge
        add("picture_age_seconds", "Time since a leader confirmed the picture.", fleet_state.age_s)
        add("config_version", "Configuration in force.", lambda: fleet_state.version())
        add("upstreams", "Upstreams on the list.", lambda: len(fleet_state.upstreams))
        add("hosts", "Hosts that report.", lambda: len(fleet_state.hosts))
        add(
            "prompt_quarantines",
            "Quarantines of prompt parts in force.",
            lambda: fleet_state.prompts.quarantine_count,
        )
        add(
            "limited_upstreams",
            "Upstreams that limit their requests.",
            lambda: fleet_state.limits.count,
        )
        add(
            "upstream_silence_seconds",
            "Time for which waiting requests have heard from no upstream.",
            lambda: self.contact.silence_s,
        )
        add(
            "unreached_upstreams",
            "Upstreams that failed to connect since any connection was opened.",
            lambda: len(self.contact.unreached),
        )
        add(
            "unfinished_bytes",
            "Memory of unfinished messages of others.",
            lambda: self.memory.used_bytes + self.frame_memory.used_bytes,
        )
        add(
            "messages_given_up",
            "Unfinished messages that were given up for want of memory.",
            lambda: self.memory.evicted.total() + self.frame_memory.evicted.total(),
        )
        add(
            "request_bytes",
            "Memory of the requests of callers.",
            lambda: self.request_memory.used_bytes,
        )
        add(
            "requests_without_memory",
            "Requests that were refused or given up for want of memory.",
            lambda: self.request_memory.refused,
        )
        add(
            "faulty_frames",
            "Frames of other hosts for which their connections were closed.",
            lambda: self.faulty_frames.count,
        )
        add("log_lines_dropped", "Log lines dropped.", count_dropped_lines)

    @property
    def own_name(self) -> str:
        """Name of this host among the control hosts."""
        return peer_name(f"{self.cfg.ip}:0", self.cfg.internal_ports[0])

    def seed_names(self) -> list[str]:
        """Return the names of the seeds, sorted."""
        port = self.cfg.internal_ports[0]
        return sorted(peer_name(seed, port) for seed in self.cfg.seeds)

    async def report_crashes(self) -> None:
        """Report each crash at once until cancelled; the leader may hold the periodic report."""
        while True:
            await self.fleet_state.prompts.crashed.wait()
            # The other requests at the upstream are broken off within this time.
            await self.timers.sleep(CRASH_REPORT_DELAY_S)
            await run_guarded(self.send_report)

    async def send_report(self) -> None:
        """Report to the leader without waiting for news from it."""
        await self.reporter.report_once(wait_s=0.0)

    async def serve_metrics(
        self, *, task_status: trio.TaskStatus[Address | None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve the metrics until cancelled if the settings contain an address for them."""

        async def handle(request: CallerRequest) -> Reply:
            if request.path != METRICS_PATH:
                return Reply(status=404)
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            return Reply(status=200, body=self.metrics.render_text(), headers=headers)

        if not self.cfg.metrics_address:
            task_status.started(None)
            return
        await self.serve_http(self.cfg.metrics_address, handle, Limits(), task_status=task_status)

    async def serve_http(
        self,
        address: str,
        handler: Handler,
        limits: Limits,
        *,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an HTTP endpoint until cancelled or closed."""
        control = ListenerControl()
        self._endpoint_listeners.append(control)

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_endpoint(stream, handler, limits, self.endpoint_stop, self.request_memory)

        await self.network.listen(
            Address.parse(address), serve, control=control, task_status=task_status
        )

    @property
    def endpoints_accepted_at_close(self) -> int:
        """Number of connections that were in the queues of the endpoints at their close."""
        return sum(listener.accepted_at_close for listener in self._endpoint_listeners)

    async def close_endpoints(self, timeout_s: float) -> int:
        """
        Close the HTTP endpoints: answer what has arrived, then refuse it, and end the connections.

        Parameters
        ----------
        timeout_s : float
            Seconds after which requests in progress are refused.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        for listener in self._endpoint_listeners:
            await listener.close()
        if await self._wait_for_endpoints(timeout_s):
            self.endpoint_stop.end()
            return await self._wait_for_endpoints(LAST_REPLIES_S)
        return 0

    async def _wait_for_endpoints(self, timeout_s: float) -> int:
        """Close connections as they become idle; return how many are left after a time."""
        ends_at = self.timers.now() + timeout_s
        while True:
            self.endpoint_stop.close_idle()
            count = sum(listener.connections for listener in self._endpoint_listeners)
            if not count or self.timers.now() >= ends_at:
                return count
            await self.timers.sleep(CLOSE_POLL_INTERVAL_S)

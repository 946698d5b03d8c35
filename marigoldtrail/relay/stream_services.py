"""Services that began streams: recorded when a new configuration would choose another one."""

from __future__ import annotations

from collections import OrderedDict

from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.stream_versions import StreamVersions, make_service_keys
from marigoldtrail.routing import RouteIndex, RouteKind
from marigoldtrail.routing.table import choose_service
from marigoldtrail.timers import Timers

# Callers whose stream has broken off come back within this time.
RETENTION_S = 5.0
MAX_STREAMS = 4096


class BegunStream:
    """
    A stream whose events this entry has forwarded.

    Parameters
    ----------
    exchange : Exchange
        The request, with the service and the version of the stream.
    """

    __slots__ = (
        "hostname",
        "path",
        "attempt",
        "keys",
        "service_keys",
        "service",
        "version",
        "is_recorded",
    )

    def __init__(self, *, exchange: Exchange) -> None:
        self.hostname = exchange.request.header(b"host")
        self.path = exchange.request.path
        self.attempt = exchange.first_attempt
        self.keys = exchange.stream_keys
        self.service_keys = make_service_keys(exchange.account_name, self.attempt)
        self.service = exchange.service.name
        self.version = exchange.stream_version or ""
        self.is_recorded = False


class StreamServices:
    """
    Keeps resumed streams of one entry at the service that began them.

    The service of a stream follows from its route and the id of its first attempt, as long as the
    route keeps its targets and their weights. When a configuration changes that, the entry records
    service and version of the streams that it affects, so that every host finds them.

    Parameters
    ----------
    fleet_state : FleetState
        The configuration.
    versions : StreamVersions
        Records of streams.
    timers : Timers
        Clock.
    """

    __slots__ = ("_fleet_state", "_versions", "_timers", "_streams", "_ended", "_reviewed")

    def __init__(
        self, *, fleet_state: FleetState, versions: StreamVersions, timers: Timers
    ) -> None:
        self._fleet_state = fleet_state
        self._versions = versions
        self._timers = timers
        self._streams: OrderedDict[bytes, BegunStream] = OrderedDict()
        # Times at which streams have ended, by key, the earliest first.
        self._ended: OrderedDict[bytes, float] = OrderedDict()
        self._reviewed: RouteIndex | None = None

    def note(self, exchange: Exchange) -> None:
        """Note a stream whose events are forwarded, or that its version has changed."""
        if keys := exchange.stream_keys:
            self._streams[keys[0]] = BegunStream(exchange=exchange)
            self._ended.pop(keys[0], None)
            if len(self._streams) > MAX_STREAMS:
                key, _ = self._streams.popitem(last=False)
                self._ended.pop(key, None)

    def note_end(self, exchange: Exchange) -> None:
        """Note that a request has ended; its caller may still come back for the rest."""
        now = self._timers.now()
        if (keys := exchange.stream_keys) and keys[0] in self._streams:
            self._ended[keys[0]] = now
        while self._ended and next(iter(self._ended.values())) < now - RETENTION_S:
            key, _ = self._ended.popitem(last=False)
            self._streams.pop(key, None)

    async def run(self) -> None:
        """Review the streams after each change of the configuration, until cancelled."""
        while True:
            routes = self._fleet_state.routes
            if routes is not None and routes is not self._reviewed:
                self._reviewed = routes
                self._review(routes)
            await self._fleet_state.changed.wait()

    def _review(self, routes: RouteIndex) -> None:
        """Record the streams for which a host would choose another service by now."""
        for stream in self._streams.values():
            route = routes.find_route(stream.hostname, stream.path)
            if route is None or route.kind is not RouteKind.STREAMING or stream.is_recorded:
                continue
            if choose_service(route, stream.attempt) != stream.service:
                stream.is_recorded = True
                self._versions.start_recording(stream.keys, stream.version)
                self._versions.start_recording_service(stream.service_keys, stream.service)

    async def restore(self, exchange: Exchange) -> None:
        """Give a resumed stream back to the service that began it, if its route permits that."""
        route, routes = exchange.route, self._fleet_state.routes
        attempt = exchange.first_attempt
        if not exchange.is_resumed or not attempt or len(route.targets) == 1 or routes is None:
            return
        keys = make_service_keys(exchange.account_name, attempt)
        name = await self._versions.find_service(exchange.service.name, keys)
        if name in routes.services and any(target.service == name for target in route.targets):
            exchange.service = routes.services[name]

"""What a host knows of the fleet."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable

import msgspec

from marigoldtrail.routing import RouteIndex, RouteTable, Service, Upstream, build_index
from marigoldtrail.schema.generated.registry import (
    HostEntry,
    HostReportReply,
    LeavingUpstream,
    UpstreamEntry,
)
from marigoldtrail.timers import Signal, Timers

ParseDocument = Callable[[bytes], RouteTable | str]

# An upstream that leaves serves on; for this time it gets requests if all others leave too.
LEAVING_FALLBACK_S = 1.0

_log = logging.getLogger(__name__)


class FleetPicture:
    """
    Configuration, upstreams and hosts as the leader last told them.

    The configuration never goes back to an older version while the process runs. Everything else
    is replaced by what a leader says.

    Parameters
    ----------
    parse_document : callable
        Decodes the document of the routes.
    timers : Timers
        Clock.

    Attributes
    ----------
    routes : RouteIndex or None
        Configuration in force; None before the first one is known.
    upstreams : dict
        Upstreams by name.
    is_listed : bool
        Whether a leader has told the upstreams since this process started.
    hosts : list of HostEntry
        Hosts that report to the leader; on entries only control hosts.
    turn : float
        Place of this host among all entries, from 0 to 1.
    data_centres : set of str
        Data centres that had a host or an upstream at any time.
    loads : dict
        Requests in progress at each upstream but the engines, over all entries.
    upstreams_changed_at : float
        Monotonic time in seconds of the last change of the upstreams or takeouts.
    changed : Signal
        Notified after each change of the upstreams, takeouts or routes.
    """

    __slots__ = (
        "routes",
        "upstreams",
        "is_listed",
        "hosts",
        "turn",
        "data_centres",
        "loads",
        "changed",
        "upstreams_changed_at",
        "term",
        "revisions",
        "confirmed_at",
        "_entry_count",
        "_takeouts",
        "_told_leaving",
        "_leaving_since",
        "_parse_document",
        "_timers",
    )

    def __init__(self, *, parse_document: ParseDocument, timers: Timers) -> None:
        self.routes: RouteIndex | None = None
        self.upstreams: dict[str, Upstream] = {}
        self.is_listed = False
        self.hosts: list[HostEntry] = []
        self.turn = 0.0
        self._entry_count = 0
        self.data_centres: set[str] = set()
        self.loads: dict[str, int] = {}
        self.changed = Signal()
        self.upstreams_changed_at = 0.0
        self.term = 0
        self.revisions: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._takeouts: frozenset[str] = frozenset()
        # Upstreams that said in an answer that they leave, with the start that said so.
        self._told_leaving: dict[str, int] = {}
        self._leaving_since: dict[str, float] = {}
        self._parse_document = parse_document
        self._timers = timers

    def age_s(self) -> float:
        """Return the seconds since a leader last confirmed the picture."""
        return self._timers.now() - self.confirmed_at

    def version(self) -> int:
        """Return the version of the configuration in force; 0 before the first one."""
        return self.routes.table.version if self.routes is not None else 0

    def entry_count(self) -> int:
        """Return the number of entries that serve, at least 1."""
        return max(1, self._entry_count)

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force; None if it has none of that name."""
        return self.routes.services.get(name) if self.routes is not None else None

    def usable_upstreams(self, service: str) -> list[Upstream]:
        """
        Return the upstreams of a service that may get new work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Upstream
            Neither leaving nor in a data centre that is out of service. If all are leaving, those
            that have begun to leave just now.
        """
        listed = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.data_centre not in self._takeouts
        ]
        staying = [upstream for upstream in listed if not upstream.is_leaving]
        if staying:
            return staying
        oldest = self._timers.now() - LEAVING_FALLBACK_S
        return [u for u in listed if self._leaving_since.get(u.name, 0.0) >= oldest]

    def note_leaving(self, name: str) -> None:
        """Note that an upstream has said that it leaves, until it starts again or is gone."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.is_leaving:
            return
        _log.info("upstream says that it leaves", extra={"subject": name})
        self._told_leaving[name] = upstream.born_ms
        self._leaving_since[name] = self._timers.now()
        self.upstreams_changed_at = self._timers.now()
        self.upstreams[name] = msgspec.structs.replace(upstream, is_leaving=True)
        self.changed.notify()

    def leaving(self) -> list[LeavingUpstream]:
        """Return the upstreams that have told this host that they leave."""
        return [
            LeavingUpstream(upstream=name, born_ms=born_ms)
            for name, born_ms in self._told_leaving.items()
        ]

    def apply(self, reply: HostReportReply, *, sent_at: float) -> None:
        """
        Take in what the leader replied to a report.

        Parameters
        ----------
        reply : HostReportReply
            The reply.
        sent_at : float
            Monotonic time in seconds at which the report was sent.
        """
        if reply.term < self.term:
            return
        if reply.term > self.term:
            self.term = reply.term
            self.revisions = {}
        self.revisions.update(reply.revisions)
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if reply.routes:
            self._take_routes(reply)
        if reply.takeouts is not None:
            self._takeouts = frozenset(reply.takeouts)
            _log.info("data centres out of service: %s", sorted(self._takeouts))
        if reply.upstreams is not None:
            self._take_upstreams(reply.upstreams)
        if reply.entry_count:
            self._entry_count = reply.entry_count
            self.turn = reply.turn
        if reply.hosts is not None:
            self.hosts = reply.hosts
            self.data_centres.update(host.data_centre for host in reply.hosts)
        if reply.loads is not None:
            self.loads = {load.upstream: load.requests for load in reply.loads}
        if reply.takeouts is not None or reply.upstreams is not None:
            self.upstreams_changed_at = self._timers.now()
        if reply.routes or reply.takeouts is not None or reply.upstreams is not None:
            self.changed.notify()

    def _take_routes(self, reply: HostReportReply) -> None:
        if self.routes is not None and reply.routes_version <= self.routes.table.version:
            return
        table = self._parse_document(zlib.decompress(reply.routes))
        if isinstance(table, str):
            # A newer release accepted it; the last readable version stays in force here.
            _log.error("version %d can't be read: %s", reply.routes_version, table)
            return
        self.routes = build_index(table)
        _log.info("configuration in force", extra={"version": table.version})

    def _take_upstreams(self, entries: list[UpstreamEntry]) -> None:
        now = self._timers.now()
        upstreams = {}
        for entry in entries:
            told = self._told_leaving.get(entry.upstream) == entry.born_ms
            upstream = Upstream(
                name=entry.upstream,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
                slots=entry.slots,
                is_leaving=told or entry.state == "draining",
                cold_until=now + entry.cold_ms / 1000 if entry.cold_ms else 0.0,
                born_ms=entry.born_ms,
            )
            upstreams[upstream.name] = upstream
        for name in self.upstreams.keys() ^ upstreams.keys():
            _log.info(
                "upstream %s", "listed" if name in upstreams else "gone", extra={"upstream": name}
            )
        self.upstreams = upstreams
        self.is_listed = True
        self._told_leaving = {
            name: born_ms
            for name, born_ms in self._told_leaving.items()
            if name in upstreams and upstreams[name].born_ms == born_ms
        }
        self._leaving_since = {
            name: self._leaving_since.get(name, now)
            for name, upstream in upstreams.items()
            if upstream.is_leaving
        }
        self.data_centres.update(entry.data_centre for entry in entries)

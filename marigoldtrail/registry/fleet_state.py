"""State of the fleet as known to one host."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable

import msgspec
import trio

from marigoldtrail.quarantine.guard import PromptGuard
from marigoldtrail.ratelimits.book import LimitBook, log_brittleness
from marigoldtrail.registry.item_checks import leave_out_odd_items
from marigoldtrail.routing import RouteIndex, RouteTable, Service, Upstream, build_index
from marigoldtrail.routing.bounds import clamp_table
from marigoldtrail.schema.generated.registry import (
    HostEntry,
    HostReportReply,
    LeavingUpstream,
    UpstreamEntry,
)
from marigoldtrail.timers import Notifier, Timers

ParseDocument = Callable[[bytes], RouteTable | str]

# A leaving upstream goes on serving. If all upstreams of a service are leaving, it gets requests
# for this long after it was first seen to leave.
LEAVING_FALLBACK_S = 1.0
# The list shows after this time that an upstream was started shortly before its data centre came
# back into service, and is cold.
RETURN_CAUTION_S = 2.0
# Largest configuration, compressed, that is decoded in the event loop. One of 3.4 MiB with 9,000
# routes takes 0.2 s of processor time, thus 1.7 s on a host with 0.12 of a core.
MAX_INLINE_DECODE_BYTES = 8192

_log = logging.getLogger(__name__)


class FleetState:
    """
    Configuration, upstreams and hosts according to the leader's last replies.

    The version of the configuration never decreases while the process runs. Everything else is
    replaced by what the current leader sends.

    Parameters
    ----------
    parse_document : callable
        Decodes a configuration document.
    timers : Timers
        Clock.

    Attributes
    ----------
    routes : RouteIndex or None
        Configuration in force; None before the first one is received.
    upstreams : dict
        Upstreams by name.
    versions : dict
        Software versions that streams in progress may hold, oldest first, by service.
    leader_records_streams : bool
        Whether the leader keeps the versions that began streams; False if its release has none.
    has_upstream_list : bool
        Whether a list of upstreams has been received since this process started.
    hosts : list of HostEntry
        Hosts that report to the leader; on entries, control hosts only.
    entry_position : float
        Position of this host among all entries, from 0 to 1.
    data_centres : set of str
        Data centres that have had a host or an upstream at any time.
    loads : dict
        Requests in progress at each upstream except the engines, summed over all entries.
    upstreams_changed_at : float
        Monotonic time in seconds of the last change of the upstreams or takeouts.
    prompts : PromptGuard
        Parts of prompts that are held off.
    limits : LimitBook
        Limits that upstreams set on their requests.
    brittle : LimitBook
        Rejections in a second that upstreams of brittle services bear, by service.
    changed : Notifier
        Notified after each change of the upstreams, takeouts or routes.
    """

    __slots__ = (
        "routes",
        "upstreams",
        "versions",
        "leader_records_streams",
        "has_upstream_list",
        "hosts",
        "entry_position",
        "data_centres",
        "loads",
        "prompts",
        "limits",
        "brittle",
        "changed",
        "upstreams_changed_at",
        "term",
        "revisions",
        "confirmed_at",
        "_entry_count",
        "_takeouts",
        "_cold_until",
        "_announced_leaving",
        "_leaving_since",
        "_parse_document",
        "_timers",
    )

    def __init__(self, *, parse_document: ParseDocument, timers: Timers) -> None:
        self.routes: RouteIndex | None = None
        self.upstreams: dict[str, Upstream] = {}
        self.versions: dict[str, list[str]] = {}
        self.leader_records_streams = True
        self.has_upstream_list = False
        self.hosts: list[HostEntry] = []
        self.entry_position = 0.0
        self._entry_count = 0
        self.data_centres: set[str] = set()
        self.loads: dict[str, int] = {}
        self.prompts = PromptGuard(timers=timers)
        self.limits = LimitBook()
        self.brittle = LimitBook(log_change=log_brittleness)
        self.changed = Notifier()
        self.upstreams_changed_at = 0.0
        self.term = 0
        self.revisions: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._takeouts: frozenset[str] = frozenset()
        # Monotonic time in seconds until which the upstreams of a data centre that has come back
        # into service are treated as cold.
        self._cold_until: dict[str, float] = {}
        # Upstreams that announced in an answer that they are leaving, with the `born_ms` of the
        # process that announced it.
        self._announced_leaving: dict[str, int] = {}
        self._leaving_since: dict[str, float] = {}
        self._parse_document = parse_document
        self._timers = timers

    def age_s(self) -> float:
        """Return the time in seconds since a leader last confirmed this state."""
        return self._timers.now() - self.confirmed_at

    def version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none yet."""
        return self.routes.table.version if self.routes is not None else 0

    def entry_count(self) -> int:
        """Return the number of entries that serve, at least 1."""
        return max(1, self._entry_count)

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force; None if there is none of that name."""
        return self.routes.services.get(name) if self.routes is not None else None

    def usable_upstreams(self, service: str, *, version: str | None = None) -> list[Upstream]:
        """
        Return the upstreams of a service that may get new work.

        Parameters
        ----------
        service : str
            Name of the service.
        version : str or None
            The only software version that is wanted; None for any.

        Returns
        -------
        list of Upstream
            Upstreams that are neither leaving nor in a data centre that is out of service. If all
            are leaving, those that began to leave less than `LEAVING_FALLBACK_S` ago.
        """
        listed = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and upstream.data_centre not in self._takeouts
            and version in (None, upstream.version)
        ]
        not_leaving = [upstream for upstream in listed if not upstream.is_leaving]
        if not_leaving:
            return not_leaving
        oldest = self._timers.now() - LEAVING_FALLBACK_S
        return [u for u in listed if self._leaving_since.get(u.name, 0.0) >= oldest]

    def find_other_version(self, upstream: Upstream) -> Upstream | None:
        """
        Return a later start of an upstream, at another version, that the list shows in its place.

        Parameters
        ----------
        upstream : Upstream
            An upstream as it was listed before.

        Returns
        -------
        Upstream or None
            None if it is listed as before, at the same version, or not at all.
        """
        listed = self.upstreams.get(upstream.name)
        return listed if listed is not None and listed.version != upstream.version else None

    def list_versions(self, service: str) -> set[str]:
        """Return the software versions of the listed upstreams of a service."""
        return {u.version for u in self.upstreams.values() if u.service == service}

    def mark_leaving(self, name: str) -> None:
        """Mark an upstream as leaving until it restarts or is removed from the list."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.is_leaving:
            return
        _log.info("upstream says that it leaves", extra={"subject": name})
        self._announced_leaving[name] = upstream.born_ms
        self._leaving_since[name] = self._timers.now()
        self.upstreams_changed_at = self._timers.now()
        self.upstreams[name] = msgspec.structs.replace(upstream, is_leaving=True)
        self.changed.notify()

    def record_limit(self, name: str, requests_per_s: float | None, sent_at: float) -> None:
        """
        Record the limit that an upstream named in an answer, or that it named none.

        Parameters
        ----------
        name : str
            The upstream.
        requests_per_s : float or None
            Requests a second from all hosts together; None if the answer names no limit.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        upstream = self.upstreams.get(name)
        if upstream is not None:
            now = self._timers.now()
            self.limits.record_answer(
                name, upstream.born_ms, requests_per_s, sent_at=sent_at, now=now
            )

    def record_brittleness(self, name: str, max_rejections: float | None, sent_at: float) -> None:
        """
        Record how many rejections an upstream bears, or that it said nothing of it.

        Parameters
        ----------
        name : str
            The upstream.
        max_rejections : float or None
            Rejections in a second; None if the answer names no bound.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        upstream = self.upstreams.get(name)
        if upstream is not None:
            now = self._timers.now()
            # One that crashed and starts again is as brittle as the others of its service.
            self.brittle.record_answer(
                upstream.service, 0, max_rejections, sent_at=sent_at, now=now
            )

    def leaving_upstreams(self) -> list[LeavingUpstream]:
        """Return the upstreams that have announced to this host that they are leaving."""
        return [
            LeavingUpstream(upstream=name, born_ms=born_ms)
            for name, born_ms in self._announced_leaving.items()
        ]

    def apply(self, reply: HostReportReply, *, sent_at: float) -> None:
        """
        Apply the leader's reply to a report.

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
        # Later releases send both together.
        if "upstreams" in reply.revisions:
            self.leader_records_streams = "versions" in reply.revisions
        reply = leave_out_odd_items(reply)
        for apply_section in (
            self._apply_routes,
            self._apply_takeouts,
            self._apply_versions,
            self._apply_upstreams,
            self._apply_hosts,
            self._apply_prompts,
            self._apply_limits,
        ):
            try:
                apply_section(reply)
            except Exception:
                # The others hold; this one is sent again when it changes, or by another leader.
                _log.exception("a section of the leader's reply could not be applied")
        if reply.takeouts is not None or reply.upstreams is not None:
            self.upstreams_changed_at = self._timers.now()
        if reply.routes or reply.takeouts is not None or reply.upstreams is not None:
            self.changed.notify()

    async def apply_beside_requests(self, reply: HostReportReply, *, sent_at: float) -> None:
        """
        Apply the leader's reply to a report, decoding a large configuration in a thread.

        All other sections are in force at once, the configuration as soon as it is decoded. The
        state of the fleet counts as confirmed only then.

        Parameters
        ----------
        reply : HostReportReply
            The reply.
        sent_at : float
            Monotonic time in seconds at which the report was sent.
        """
        if len(reply.routes) <= MAX_INLINE_DECODE_BYTES or not self._has_newer_routes(reply):
            self.apply(reply, sent_at=sent_at)
            return
        # A host that was cut off for long must not serve by its old configuration meanwhile.
        self.apply(msgspec.structs.replace(reply, routes=b""), sent_at=float("-inf"))
        try:
            index = await trio.to_thread.run_sync(
                self._decode_routes, reply.routes, abandon_on_cancel=True
            )
            self._replace_routes(index, reply)
        except Exception:
            _log.exception("a section of the leader's reply could not be applied")
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.changed.notify()

    def _apply_takeouts(self, reply: HostReportReply) -> None:
        if reply.takeouts is None:
            return
        cold_until = self._timers.now() + RETURN_CAUTION_S
        returned = self._takeouts - set(reply.takeouts)
        self._cold_until.update(dict.fromkeys(returned, cold_until))
        self._takeouts = frozenset(reply.takeouts)
        self.upstreams = {
            name: (
                msgspec.structs.replace(upstream, cold_until=max(upstream.cold_until, cold_until))
                if upstream.data_centre in returned
                else upstream
            )
            for name, upstream in self.upstreams.items()
        }
        _log.info("data centres out of service: %s", sorted(self._takeouts))

    def _apply_versions(self, reply: HostReportReply) -> None:
        if reply.versions is not None:
            self.versions = {entry.service: entry.versions for entry in reply.versions}

    def _apply_hosts(self, reply: HostReportReply) -> None:
        if reply.entry_count:
            self._entry_count = reply.entry_count
            self.entry_position = reply.turn
        if reply.hosts is not None:
            self.hosts = reply.hosts
            self.data_centres.update(host.data_centre for host in reply.hosts)
        if reply.loads is not None:
            self.loads = {load.upstream: load.requests for load in reply.loads}

    def _apply_prompts(self, reply: HostReportReply) -> None:
        if reply.quarantines is not None:
            self.prompts.apply(reply.suspect_parts, reply.quarantines)

    def _apply_limits(self, reply: HostReportReply) -> None:
        if reply.limits is not None:
            self.limits.merge(reply.limits, self._timers.now())
        if reply.brittle is not None:
            self.brittle.merge(reply.brittle, self._timers.now())

    def _has_newer_routes(self, reply: HostReportReply) -> bool:
        return bool(reply.routes) and reply.term >= self.term and self._is_newer(reply)

    def _is_newer(self, reply: HostReportReply) -> bool:
        return self.routes is None or reply.routes_version > self.routes.table.version

    def _apply_routes(self, reply: HostReportReply) -> None:
        if self._has_newer_routes(reply):
            self._replace_routes(self._decode_routes(reply.routes), reply)

    def _decode_routes(self, routes: bytes) -> RouteIndex | str:
        table = self._parse_document(zlib.decompress(routes))
        # A release without bounds may have accepted it.
        return table if isinstance(table, str) else build_index(clamp_table(table))

    def _replace_routes(self, index: RouteIndex | str, reply: HostReportReply) -> None:
        if isinstance(index, str):
            # A newer release accepted it; the last readable version stays in force here.
            _log.error(
                "configuration version %d cannot be decoded: %s", reply.routes_version, index
            )
            return
        # Another reply may have been applied while this one was decoded.
        if self._is_newer(reply):
            self.routes = index
            _log.info("configuration in force", extra={"version": index.table.version})

    def _apply_upstreams(self, reply: HostReportReply) -> None:
        if reply.upstreams is not None:
            self._replace_upstreams(reply.upstreams)

    def _replace_upstreams(self, entries: list[UpstreamEntry]) -> None:
        now = self._timers.now()
        upstreams = {}
        for entry in entries:
            has_announced = self._announced_leaving.get(entry.upstream) == entry.born_ms
            upstream = Upstream(
                name=entry.upstream,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
                slots=entry.slots,
                is_leaving=has_announced or entry.state == "draining",
                cold_until=max(
                    now + entry.cold_ms / 1000 if entry.cold_ms else 0.0,
                    self._cold_until.get(entry.data_centre, 0.0),
                ),
                born_ms=entry.born_ms,
                version=entry.version,
            )
            upstreams[upstream.name] = upstream
        for name in self.upstreams.keys() ^ upstreams.keys():
            _log.info(
                "upstream %s", "listed" if name in upstreams else "gone", extra={"upstream": name}
            )
        self.upstreams = upstreams
        self.has_upstream_list = True
        self.limits.retain({name: upstream.born_ms for name, upstream in upstreams.items()})
        self._announced_leaving = {
            name: born_ms
            for name, born_ms in self._announced_leaving.items()
            if name in upstreams and upstreams[name].born_ms == born_ms
        }
        self._leaving_since = {
            name: self._leaving_since.get(name, now)
            for name, upstream in upstreams.items()
            if upstream.is_leaving
        }
        self.data_centres.update(entry.data_centre for entry in entries)

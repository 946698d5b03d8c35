"""Soft state of the leader, rebuilt after an election from reports and the platform's list."""

from __future__ import annotations

import itertools
import logging
import math

import msgspec

from marigoldtrail.quarantine.evidence import PromptEvidence
from marigoldtrail.ratelimits import LimitBook, PermitLedger, PlaceLedger
from marigoldtrail.ratelimits.book import MIN_REQUESTS_PER_S, log_brittleness
from marigoldtrail.registry.item_checks import leave_out_odd_items
from marigoldtrail.schema.generated.registry import (
    HostEntry,
    HostReport,
    ListEntries,
    PermitReply,
    ReleasePlace,
    RequestPermit,
    TakePlace,
    UpstreamEntry,
    UpstreamLoad,
)
from marigoldtrail.timers import Notifier, Timers

# Three missed reports.
HOST_TIMEOUT_S = 1.2
# Entries that are named to one that forwards its requests.
MAX_LISTED_ENTRIES = 16
# Time within which every live host reports to a new leader.
SETTLE_S = 1.2

_log = logging.getLogger(__name__)


class ReceivedReport:
    """
    Last report of one host.

    Parameters
    ----------
    report : HostReport
        The report.
    reported_at : float
        Monotonic time in seconds at which it arrived.

    Attributes
    ----------
    entry : HostEntry
        Description of the host that is sent to other hosts.
    """

    __slots__ = ("report", "reported_at", "entry")

    def __init__(self, *, report: HostReport, reported_at: float) -> None:
        self.report = report
        self.reported_at = reported_at
        self.entry = make_host_entry(report)


class RegistryState:
    """
    Hosts, upstreams and loads during one term of leadership.

    Parameters
    ----------
    term : int
        The term.
    timers : Timers
        Clock.

    Attributes
    ----------
    changed : Notifier
        Notified when hosts, upstreams or quarantines have changed.
    place_released : Notifier
        Notified when a place at a brittle upstream was given back.
    prompts : PromptEvidence
        Parts of prompts that crash upstreams.
    limits : LimitBook
        Limits that upstreams set on their requests.
    brittle : LimitBook
        Rejections in a second that upstreams of brittle services bear, by service.
    """

    __slots__ = (
        "term",
        "changed",
        "place_released",
        "prompts",
        "limits",
        "brittle",
        "_permits",
        "_places",
        "_prompts_notified",
        "upstreams",
        "upstreams_revision",
        "hosts_revision",
        "control_hosts_revision",
        "loads_revision",
        "_hosts",
        "_host_entries",
        "_control_entries",
        "_entry_positions",
        "_is_host_list_current",
        "_loads",
        "_platform_list",
        "_leaving",
        "_timers",
        "_started_at",
    )

    def __init__(self, *, term: int, timers: Timers) -> None:
        self.term = term
        self.changed = Notifier()
        self.place_released = Notifier()
        self.prompts = PromptEvidence()
        self.limits = LimitBook()
        self.brittle = LimitBook(log_change=log_brittleness)
        self._permits = PermitLedger()
        self._places = PlaceLedger()
        # Revision of the quarantines at the last notification.
        self._prompts_notified = 0
        self.upstreams: list[UpstreamEntry] | None = None
        self.upstreams_revision = 0
        self.hosts_revision = 0
        self.control_hosts_revision = 0
        self.loads_revision = 0
        # In the order of their last reports, so that those whose reports have stopped come first.
        self._hosts: dict[str, ReceivedReport] = {}
        self._host_entries: list[HostEntry] = []
        # Entries receive the control hosts only. If they received all hosts, a restart of all
        # entries would cause traffic that grows with the square of their number.
        self._control_entries: list[HostEntry] = []
        self._entry_positions: dict[str, float] = {}
        # Whether the list of hosts reflects the latest reports.
        self._is_host_list_current = True
        # Sums over all hosts, updated incrementally since the replies to entries contain them.
        self._loads: dict[str, UpstreamLoad] = {}
        # The platform's list as last read, and the start times (`born_ms`) of upstreams that have
        # announced to a host that they are leaving.
        self._platform_list: list[UpstreamEntry] | None = None
        self._leaving: dict[str, int] = {}
        self._timers = timers
        self._started_at = timers.now()

    def is_settled(self) -> bool:
        """Return whether every live host has had time to report to this leader."""
        return self._timers.now() >= self._started_at + SETTLE_S

    def record_report(self, report: HostReport) -> bool:
        """
        Record a report.

        Parameters
        ----------
        report : HostReport
            The report.

        Returns
        -------
        bool
            False if it is from an earlier incarnation of the host's process.
        """
        report = leave_out_odd_items(report)
        known = self._hosts.get(report.host)
        if known is not None and known.report.incarnation > report.incarnation:
            return False
        received = ReceivedReport(report=report, reported_at=self._timers.now())
        if known is None or known.entry != received.entry:
            self._is_host_list_current = False
        if known is not None:
            del self._hosts[report.host]
            self._add_loads(known.report.loads, -1)
        self._add_loads(report.loads, 1)
        self._hosts[report.host] = received
        self.loads_revision += 1
        self.refresh_hosts()
        self._record_leaving(report)
        self._record_prompts(report)
        self._record_limits(report)
        return True

    def _record_limits(self, report: HostReport) -> None:
        revisions = self.limits.revision, self.brittle.revision
        self.limits.merge(report.limits, self._timers.now())
        self.brittle.merge(report.brittle, self._timers.now())
        if (self.limits.revision, self.brittle.revision) != revisions:
            self.changed.notify()

    def reserve_permit(self, request: RequestPermit) -> PermitReply:
        """Reserve a time at which one request may be sent to an upstream that limits them."""
        now = self._timers.now()
        limit = self.limits.get_limit(request.upstream) or request.requests_per_s
        if limit <= 0:
            return PermitReply(is_granted=True)
        is_granted, wait_s = self._permits.reserve(
            request.upstream,
            now,
            rate=max(limit, MIN_REQUESTS_PER_S),
            max_wait_s=request.max_wait_ms / 1000,
        )
        return PermitReply(is_granted=is_granted, wait_ms=math.ceil(wait_s * 1000))

    def take_place(self, request: TakePlace) -> int:
        """Take a place at a brittle upstream; return its number, 0 if none is free."""
        slots = next(
            (entry.slots for entry in self.upstreams or () if entry.upstream == request.upstream), 1
        )
        if not self.is_settled() and request.upstream in self._loads:
            # The places that the former leader granted are known by the reported loads only.
            slots -= self._loads[request.upstream].requests
        return self._places.take(
            request.upstream,
            request.host,
            self._timers.now(),
            slots=slots,
            max_rejections=request.max_rejections,
        )

    def release_place(self, request: ReleasePlace) -> None:
        """Give a place back, and wake those who wait for one."""
        self._places.release(
            request.upstream,
            request.place,
            self._timers.now(),
            was_rejected=request.was_rejected,
        )
        self.place_released.notify()

    def _record_prompts(self, report: HostReport) -> None:
        """Record what a host has seen of prompts, and its quarantines if from another term."""
        now = self._timers.now()
        adopted = report.quarantines if report.term != self.term else []
        if not (report.crashes or report.answered_parts or adopted):
            return
        for quarantine in adopted:
            self.prompts.adopt(quarantine, now)
        for answer in report.answered_parts:
            self.prompts.record_answer(answer, now)
        for crash in report.crashes:
            self.prompts.record_crash(crash, now)
        self.review_prompts()

    def review_prompts(self) -> None:
        """Quarantine the parts of prompts that hosts had time to clear and did not."""
        try:
            self.prompts.review(self._timers.now())
        except Exception:
            # The hosts need the replies of the leader also if this decision fails.
            _log.exception("the evidence on prompts could not be reviewed")
        if self.prompts.revision != self._prompts_notified:
            self._prompts_notified = self.prompts.revision
            self.changed.notify()

    def take_trial(self, part: str) -> bool:
        """Allow one request with quarantined parts to be sent, if it is time for a trial."""
        is_taken = self.prompts.take_trial(part, self._timers.now())
        if is_taken:
            self.changed.notify()
        return is_taken

    def _record_leaving(self, report: HostReport) -> None:
        """Mark the upstreams that are leaving according to a host, so that all hosts learn it."""
        announced = {u.upstream: u.born_ms for u in report.leaving}
        if not announced or all(
            self._leaving.get(name) == born for name, born in announced.items()
        ):
            return
        self._leaving.update(announced)
        if self._platform_list is not None:
            self.apply_upstreams(self._platform_list)

    def refresh_hosts(self) -> None:
        """Remove hosts whose reports have stopped and update the lists of hosts."""
        oldest = self._timers.now() - HOST_TIMEOUT_S
        lost = itertools.takewhile(lambda name: self._hosts[name].reported_at < oldest, self._hosts)
        for name in list(lost):
            _log.warning("host lost", extra={"subject": name})
            self._add_loads(self._hosts.pop(name).report.loads, -1)
            self._places.release_host(name)
            self._is_host_list_current = False
        if self._is_host_list_current:
            return
        self._host_entries = [last.entry for _, last in sorted(self._hosts.items())]
        self._is_host_list_current = True
        self.hosts_revision += 1
        control_entries = [entry for entry in self._host_entries if entry.role == "control"]
        if control_entries != self._control_entries:
            self._control_entries = control_entries
            self.control_hosts_revision += 1
        names = [entry.host for entry in self._host_entries if entry.role == "entry"]
        self._entry_positions = {name: number / len(names) for number, name in enumerate(names)}
        self.changed.notify()

    def _add_loads(self, loads: list[UpstreamLoad], sign: int) -> None:
        for load in loads:
            total = self._loads.setdefault(
                load.upstream, UpstreamLoad(upstream=load.upstream, requests=0)
            )
            total.requests += sign * load.requests
            if not total.requests:
                del self._loads[load.upstream]

    def hosts(self, role: str = "control") -> list[HostEntry]:
        """Return the reporting hosts that are sent to hosts of a role."""
        return self._host_entries if role == "control" else self._control_entries

    def list_connected_entries(self, request: ListEntries) -> list[str]:
        """Return addresses of entries that serve and reach upstreams, rotated among senders."""
        addresses = [
            host.request_address
            for host in self._host_entries
            if host.role == "entry"
            and host.ready
            and not host.is_cut_off
            and host.region == request.region
            and host.host != request.host
        ]
        if len(addresses) <= MAX_LISTED_ENTRIES:
            return addresses
        start = round(self.position_of(request.host) * len(addresses))
        return [*addresses[start:], *addresses[:start]][:MAX_LISTED_ENTRIES]

    def hosts_revision_for(self, role: str) -> int:
        """Return the revision of the list of hosts that is sent to hosts of a role."""
        return self.hosts_revision if role == "control" else self.control_hosts_revision

    @property
    def entry_count(self) -> int:
        """Number of entries that report."""
        return len(self._entry_positions)

    def position_of(self, host: str) -> float:
        """Return the position of an entry among all entries, from 0 to 1."""
        return self._entry_positions.get(host, 0.0)

    def apply_upstreams(self, entries: list[UpstreamEntry]) -> None:
        """
        Apply the platform's list.

        Parameters
        ----------
        entries : list of UpstreamEntry
            All upstreams.
        """
        self._platform_list = entries
        born = {entry.upstream: entry.born_ms for entry in entries}
        self._leaving = {n: ms for n, ms in self._leaving.items() if born.get(n) == ms}
        self.limits.retain(born)
        self._permits.retain(set(born))
        self._places.retain(set(born))
        entries = sorted(map(self._mark_leaving, entries), key=lambda entry: entry.upstream)
        if self.upstreams is not None and is_equivalent(self.upstreams, entries):
            return
        self.upstreams = entries
        self.upstreams_revision += 1
        self.changed.notify()

    def _mark_leaving(self, entry: UpstreamEntry) -> UpstreamEntry:
        if entry.state == "draining" or self._leaving.get(entry.upstream) != entry.born_ms:
            return entry
        return msgspec.structs.replace(entry, state="draining")

    def loads(self) -> list[UpstreamLoad]:
        """Return the work in progress at the upstreams, summed over all entries."""
        return list(self._loads.values())


def make_host_entry(report: HostReport) -> HostEntry:
    """Return the description of a host that is sent to other hosts."""
    return HostEntry(
        host=report.host,
        role=report.role,
        data_centre=report.data_centre,
        region=report.region,
        peer_address=report.peer_address,
        request_address=report.request_address,
        ready=report.ready,
        is_cut_off=report.is_cut_off,
    )


def is_equivalent(old: list[UpstreamEntry], new: list[UpstreamEntry]) -> bool:
    """
    Return whether two lists differ at most in the remaining cold times.

    Parameters
    ----------
    old, new : list of UpstreamEntry
        Two lists sorted by name.

    Returns
    -------
    bool
        True if hosts need no update.
    """
    return [_comparison_key(entry) for entry in old] == [_comparison_key(entry) for entry in new]


def _comparison_key(entry: UpstreamEntry) -> tuple[str, str, str, str, str, int, bool]:
    return (
        entry.upstream,
        entry.service,
        entry.version,
        entry.address,
        entry.state,
        entry.born_ms,
        entry.cold_ms > 0,
    )

"""What only the leader knows; rebuilt from reports and from the platform after an election."""

from __future__ import annotations

import logging

import msgspec

from marigoldtrail.schema.generated.registry import (
    HostEntry,
    HostReport,
    UpstreamEntry,
    UpstreamLoad,
)
from marigoldtrail.timers import Signal, Timers

# Three reports that did not come.
HOST_LOST_S = 1.2
# Every live host has reported to a new leader by then.
SETTLE_S = 1.2

_log = logging.getLogger(__name__)


class HostState:
    """
    One host that reports.

    Parameters
    ----------
    report : HostReport
        Its last report.
    heard_at : float
        Monotonic time in seconds of that report.
    """

    __slots__ = ("report", "heard_at")

    def __init__(self, *, report: HostReport, heard_at: float) -> None:
        self.report = report
        self.heard_at = heard_at


class LeaderBoard:
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
    changed : Signal
        Notified when hosts or upstreams have changed.
    """

    __slots__ = (
        "term",
        "changed",
        "upstreams",
        "upstreams_revision",
        "hosts_revision",
        "controls_revision",
        "loads_revision",
        "_hosts",
        "_listed",
        "_controls",
        "_turns",
        "_is_listed",
        "_loads",
        "_read",
        "_leaving",
        "_timers",
        "_started_at",
    )

    def __init__(self, *, term: int, timers: Timers) -> None:
        self.term = term
        self.changed = Signal()
        self.upstreams: list[UpstreamEntry] | None = None
        self.upstreams_revision = 0
        self.hosts_revision = 0
        self.controls_revision = 0
        self.loads_revision = 0
        self._hosts: dict[str, HostState] = {}
        self._listed: list[HostEntry] = []
        # Entries are told of the control hosts only: with a list of all hosts in each reply, a
        # restart of all entries would cost the square of their number.
        self._controls: list[HostEntry] = []
        self._turns: dict[str, float] = {}
        # Whether the list says what the last reports said.
        self._is_listed = True
        # Sums over all hosts; every report is answered with them, so that they are kept.
        self._loads: dict[str, UpstreamLoad] = {}
        # The platform's list as it was read, and what hosts were told by upstreams since.
        self._read: list[UpstreamEntry] | None = None
        self._leaving: dict[str, int] = {}
        self._timers = timers
        self._started_at = timers.now()

    def is_settled(self) -> bool:
        """Tell whether every live host has had the time to report to this leader."""
        return self._timers.now() >= self._started_at + SETTLE_S

    def take_report(self, report: HostReport) -> bool:
        """
        Note a report.

        Parameters
        ----------
        report : HostReport
            The report.

        Returns
        -------
        bool
            False if it comes from an earlier start of the host's process.
        """
        known = self._hosts.get(report.host)
        if known is not None and known.report.incarnation > report.incarnation:
            return False
        if known is None or entry_of(known.report) != entry_of(report):
            self._is_listed = False
        if known is not None:
            self._add_loads(known.report.loads, -1)
        self._add_loads(report.loads, 1)
        self._hosts[report.host] = HostState(report=report, heard_at=self._timers.now())
        self.loads_revision += 1
        self.refresh_hosts()
        self._take_leaving(report)
        return True

    def _take_leaving(self, report: HostReport) -> None:
        """Note the upstreams that have told a host that they leave; all hosts are told."""
        news = {u.upstream: u.born_ms for u in report.leaving}
        if not news or all(self._leaving.get(name) == born for name, born in news.items()):
            return
        self._leaving.update(news)
        if self._read is not None:
            self.take_upstreams(self._read)

    def refresh_hosts(self) -> None:
        """Take hosts off the list that have been silent, and note what has changed."""
        oldest = self._timers.now() - HOST_LOST_S
        for name in [name for name, state in self._hosts.items() if state.heard_at < oldest]:
            _log.warning("host lost", extra={"subject": name})
            self._add_loads(self._hosts.pop(name).report.loads, -1)
            self._is_listed = False
        if self._is_listed:
            return
        self._listed = [entry_of(state.report) for _, state in sorted(self._hosts.items())]
        self._is_listed = True
        self.hosts_revision += 1
        controls = [entry for entry in self._listed if entry.role == "control"]
        if controls != self._controls:
            self._controls = controls
            self.controls_revision += 1
        names = [entry.host for entry in self._listed if entry.role == "entry"]
        self._turns = {name: number / len(names) for number, name in enumerate(names)}
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
        """Return the hosts that report, as far as hosts of a role are told of them."""
        return self._listed if role == "control" else self._controls

    def hosts_revision_for(self, role: str) -> int:
        """Return the revision of the hosts that hosts of a role are told of."""
        return self.hosts_revision if role == "control" else self.controls_revision

    @property
    def entry_count(self) -> int:
        """Entries that report."""
        return len(self._turns)

    def turn_of(self, host: str) -> float:
        """Return the place of an entry among all entries, from 0 to 1."""
        return self._turns.get(host, 0.0)

    def take_upstreams(self, entries: list[UpstreamEntry]) -> None:
        """
        Note the platform's list.

        Parameters
        ----------
        entries : list of UpstreamEntry
            All upstreams.
        """
        self._read = entries
        born = {entry.upstream: entry.born_ms for entry in entries}
        self._leaving = {n: ms for n, ms in self._leaving.items() if born.get(n) == ms}
        entries = sorted(map(self._mark_leaving, entries), key=lambda entry: entry.upstream)
        if self.upstreams is not None and same_upstreams(self.upstreams, entries):
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


def entry_of(report: HostReport) -> HostEntry:
    """Return what the other hosts are told of a host."""
    return HostEntry(
        host=report.host,
        role=report.role,
        data_centre=report.data_centre,
        region=report.region,
        peer_address=report.peer_address,
        request_address=report.request_address,
        ready=report.ready,
    )


def same_upstreams(old: list[UpstreamEntry], new: list[UpstreamEntry]) -> bool:
    """
    Tell whether nothing but the rest of cold times differs.

    Parameters
    ----------
    old, new : list of UpstreamEntry
        Two lists in the order of their names.

    Returns
    -------
    bool
        True if hosts need not be told.
    """
    return [_key(entry) for entry in old] == [_key(entry) for entry in new]


def _key(entry: UpstreamEntry) -> tuple[str, str, str, str, int, bool]:
    return (
        entry.upstream,
        entry.service,
        entry.address,
        entry.state,
        entry.born_ms,
        entry.cold_ms > 0,
    )

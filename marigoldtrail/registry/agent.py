"""Reports of a host to the leader, and what the leader replies."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.net import PeerClient
from marigoldtrail.registry.bootstrap import PeerNames
from marigoldtrail.registry.picture import FleetPicture
from marigoldtrail.schema.generated.registry import HostReport, HostReportReply, UpstreamLoad
from marigoldtrail.timers import Timers

# A change reaches a host at once; without one, a host is believed alive for a few of these.
REPORT_WAIT_S = 0.35
REPORT_TIMEOUT_S = 3.0
TRY_TIMEOUT_S = 0.8
SILENT_TRY_TIMEOUT_S = 0.45
RETRY_PAUSE_S = 0.1

_log = logging.getLogger(__name__)


class HostAgent:
    """
    Keeps the picture of one host up to date by reports to the leader.

    Parameters
    ----------
    identity : HostReport
        What the host is; sent with each report.
    picture : FleetPicture
        Updated by each reply.
    peers : PeerClient
        Carries the reports.
    timers : Timers
        Clock and pauses.
    seeds : list of str
        Names of control hosts to start with.
    loads : callable
        Returns the work that this host has in progress at upstreams.
    """

    __slots__ = ("identity", "_picture", "_timers", "_finder", "_members", "_loads", "_sent_at")

    def __init__(
        self,
        *,
        identity: HostReport,
        picture: FleetPicture,
        peers: PeerClient,
        timers: Timers,
        seeds: list[str],
        loads: Callable[[], list[UpstreamLoad]] = list,
    ) -> None:
        self.identity = identity
        self._picture = picture
        self._timers = timers
        self._members = {CONFIG_GROUP: list(seeds)}
        self._finder = LeaderFinder(
            peers=peers, addresses=PeerNames(), timers=timers, members=self._members
        )
        self._loads = loads
        self._sent_at = 0.0

    @property
    def finder(self) -> LeaderFinder:
        """Calls the leader."""
        return self._finder

    def set_loads(self, loads: Callable[[], list[UpstreamLoad]]) -> None:
        """Report what this function returns as work in progress at upstreams."""
        self._loads = loads

    def add_seeds(self, seeds: list[str]) -> None:
        """Try these control hosts too when the leader is looked for."""
        members = self._members[CONFIG_GROUP]
        members += [seed for seed in seeds if seed not in members]

    async def run(self) -> None:
        """Report until cancelled."""
        lost = False
        while True:
            failure = await self._report_guarded()
            if failure is None:
                if lost:
                    _log.info("leader found again", extra={"term": self._picture.term})
                lost = False
                continue
            if not lost:
                _log.warning("leader lost: %s", failure)
            lost = True
            await self._timers.sleep(RETRY_PAUSE_S)

    async def _report_guarded(self) -> Failure | None:
        """Report once; a reply that can't be taken in must not end the process."""
        try:
            return await self.report_once()
        except Exception as exc:
            _log.exception("a reply of the leader was not taken in")
            return Failure(
                reason=Reason.BAD_ANSWER,
                run_state=RunState.NOT_RUN,
                step="HostReport",
                detail=str(exc),
            )

    async def report_once(self, *, wait_s: float = REPORT_WAIT_S) -> Failure | None:
        """
        Send one report and take in the reply.

        Parameters
        ----------
        wait_s : float
            Seconds for which the leader may hold back its reply.

        Returns
        -------
        Failure or None
            Why no leader replied.
        """
        picture = self._picture
        request = msgspec.structs.replace(
            self.identity,
            term=picture.term,
            revisions=picture.revisions,
            loads=self._loads(),
            leaving=picture.leaving(),
            wait_ms=round(wait_s * 1000),
        )
        reply = await self._finder.call(
            CONFIG_GROUP,
            request,
            HostReportReply,
            timeout_s=REPORT_TIMEOUT_S,
            try_timeout_s=TRY_TIMEOUT_S,
            silent_try_timeout_s=SILENT_TRY_TIMEOUT_S,
            on_try=self._note_sending,
        )
        if isinstance(reply, Failure):
            return reply
        picture.apply(reply, sent_at=self._sent_at)
        self.add_seeds([host.peer_address for host in picture.hosts if host.peer_address])
        return None

    def _note_sending(self) -> None:
        self._sent_at = self._timers.now()

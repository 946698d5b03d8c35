"""Heartbeat reports from a host to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.net import PeerClient
from marigoldtrail.registry.addresses import PeerAddresses
from marigoldtrail.registry.fleet_state import FleetState
from marigoldtrail.registry.item_checks import EncodedReply, decode_reply
from marigoldtrail.schema.generated.registry import HostReport, UpstreamLoad
from marigoldtrail.timers import Timers

# Long poll: a change ends it early. The leader drops a host after several missed reports.
LONG_POLL_S = 0.35
REPORT_TIMEOUT_S = 3.0
ATTEMPT_TIMEOUT_S = 0.8
SILENT_ATTEMPT_TIMEOUT_S = 0.45
RETRY_PAUSE_S = 0.1

_log = logging.getLogger(__name__)


class HostReporter:
    """
    Keeps the fleet state of one host up to date by reporting to the leader.

    Parameters
    ----------
    identity : HostReport
        Description of the host, sent with each report.
    fleet_state : FleetState
        Fleet state that each reply updates.
    peers : PeerClient
        Sends the reports.
    timers : Timers
        Clock and delays.
    seeds : list of str
        Names of the control hosts that are tried first.
    loads : callable
        Returns the work that this host has in progress at upstreams.
    """

    __slots__ = (
        "identity",
        "_fleet_state",
        "_timers",
        "_finder",
        "_members",
        "_get_loads",
        "_sent_at",
    )

    def __init__(
        self,
        *,
        identity: HostReport,
        fleet_state: FleetState,
        peers: PeerClient,
        timers: Timers,
        seeds: list[str],
        loads: Callable[[], list[UpstreamLoad]] = list,
    ) -> None:
        self.identity = identity
        self._fleet_state = fleet_state
        self._timers = timers
        self._members = {CONFIG_GROUP: list(seeds)}
        self._finder = LeaderFinder(
            peers=peers, addresses=PeerAddresses(), timers=timers, members=self._members
        )
        self._get_loads = loads
        self._sent_at = 0.0

    @property
    def finder(self) -> LeaderFinder:
        """Client that finds and calls the leader."""
        return self._finder

    def set_load_source(self, loads: Callable[[], list[UpstreamLoad]]) -> None:
        """Set the function that returns the work in progress at upstreams."""
        self._get_loads = loads

    def announce_stop(self) -> None:
        """Tell the leader with each report from now on that this process is about to end."""
        self.identity = msgspec.structs.replace(self.identity, is_stopping=True)

    def add_seeds(self, seeds: list[str]) -> None:
        """Add control hosts to those that are tried in the search for the leader."""
        members = self._members[CONFIG_GROUP]
        members += [seed for seed in seeds if seed not in members]

    async def run(self) -> None:
        """Send reports until cancelled."""
        lost = False
        while True:
            failure = await self._try_report()
            if failure is None:
                if lost:
                    _log.info("leader found again", extra={"term": self._fleet_state.term})
                lost = False
                continue
            if not lost:
                _log.warning("leader lost: %s", failure)
            lost = True
            await self._timers.sleep(RETRY_PAUSE_S)

    async def _try_report(self) -> Failure | None:
        """Send one report; a reply that cannot be applied must not end the process."""
        try:
            return await self.report_once()
        except Exception as exc:
            _log.exception("the leader's reply to HostReport could not be applied")
            return Failure(
                reason=Reason.BAD_ANSWER,
                run_state=RunState.NOT_RUN,
                step="HostReport",
                detail=str(exc),
            )

    async def report_once(self, *, wait_s: float = LONG_POLL_S) -> Failure | None:
        """
        Send one report and apply the reply.

        Parameters
        ----------
        wait_s : float
            Longest time in seconds that the leader may delay its reply.

        Returns
        -------
        Failure or None
            None after a reply; otherwise why no leader replied.
        """
        fleet_state = self._fleet_state
        prompts = fleet_state.prompts.build_report()
        request = msgspec.structs.replace(
            self.identity,
            term=fleet_state.term,
            revisions=fleet_state.revisions,
            loads=self._get_loads(),
            leaving=fleet_state.leaving_upstreams(),
            crashes=prompts.crashes,
            answered_parts=prompts.answers,
            quarantines=prompts.quarantines,
            limits=fleet_state.limits.list_limits(self._timers.now()),
            brittle=fleet_state.brittle.list_limits(self._timers.now()),
            wait_ms=round(wait_s * 1000),
        )
        answer = await self._finder.call(
            CONFIG_GROUP,
            request,
            EncodedReply,
            timeout_s=REPORT_TIMEOUT_S,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
            silent_attempt_timeout_s=SILENT_ATTEMPT_TIMEOUT_S,
            on_attempt=self._record_send_time,
        )
        if isinstance(answer, Failure):
            return answer
        reply = decode_reply(answer)
        fleet_state.prompts.confirm(prompts, reply.term)
        await fleet_state.apply_beside_requests(reply, sent_at=self._sent_at)
        self.add_seeds([host.peer_address for host in fleet_state.hosts if host.peer_address])
        return None

    def _record_send_time(self) -> None:
        self._sent_at = self._timers.now()

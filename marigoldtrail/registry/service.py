"""Handles host reports and operators' changes on a control host."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.consensus import Group
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.errors import Failure, Reason
from marigoldtrail.net import Handlers
from marigoldtrail.registry.fleet_state import ParseDocument
from marigoldtrail.registry.operator_changes import (
    BARRIER_TIMEOUT_S,
    OperatorChanges,
    list_takeouts,
)
from marigoldtrail.registry.refusals import Refusals
from marigoldtrail.registry.state import RegistryState
from marigoldtrail.registry.version_service import VersionService
from marigoldtrail.schema.generated.registry import (
    EntryList,
    HostReport,
    HostReportReply,
    ListEntries,
    PermitReply,
    PlaceReleased,
    PlaceReply,
    ReleasePlace,
    RequestPermit,
    RequestTrial,
    TakePlace,
    TrialReply,
    UpstreamEntry,
)
from marigoldtrail.timers import Timers, run_guarded

ReadUpstreams = Callable[[], Awaitable[list[UpstreamEntry] | Failure]]

BARRIER_RETRY_S = 0.05
# Each read is a call to the platform; a leaving upstream must be detected within drain_ms.
LIST_INTERVAL_S = 0.7
LIST_TIMEOUT_S = 1.0
HOST_CHECK_INTERVAL_S = 0.3
PROMPT_REVIEW_INTERVAL_S = 0.1
MAX_WAIT_S = 0.5
PLACE_CHECK_INTERVAL_S = 0.05

_log = logging.getLogger(__name__)


class RegistryService:
    """
    Group ``config`` on one control host of a fleet that finds its members by seeds.

    Parameters
    ----------
    host : str
        Name of this host within the group.
    group : Group
        The log group.
    machine : ConfigMachine
        The group's state machine on this host.
    parse_document : callable
        Decodes a configuration document.
    read_upstreams : callable
        Reads the platform's list.
    timers : Timers
        Clock and delays.
    """

    __slots__ = (
        "_group",
        "_machine",
        "_read_upstreams",
        "_timers",
        "_registry",
        "_versions",
        "_refusals",
        "_changes",
    )

    def __init__(
        self,
        *,
        host: str,
        group: Group,
        machine: ConfigMachine,
        parse_document: ParseDocument,
        read_upstreams: ReadUpstreams,
        timers: Timers,
    ) -> None:
        self._group = group
        self._machine = machine
        self._read_upstreams = read_upstreams
        self._timers = timers
        self._registry: RegistryState | None = None
        self._versions = VersionService(group=group, machine=machine, timers=timers)
        self._refusals = Refusals(host=host, group=group)
        self._changes = OperatorChanges(
            group=group,
            machine=machine,
            parse_document=parse_document,
            refusals=self._refusals,
            on_change=self._notify_hosts,
            timers=timers,
        )

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of this service.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        return {
            HostReport: self._handle_report,
            RequestTrial: self._request_trial,
            RequestPermit: self._request_permit,
            TakePlace: self._take_place,
            ReleasePlace: self._release_place,
            ListEntries: self._list_entries,
            **self._versions.get_handlers(),
            **self._changes.get_handlers(),
        }

    async def run(self) -> None:
        """Run the leader's tasks whenever this host leads, until cancelled."""
        await self._group.run_while_leader(self._run_as_leader)

    async def _run_as_leader(self, term: int) -> None:
        registry = self._current_registry()
        if registry is None:
            return
        _log.info("leads the fleet", extra={"term": term})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_upstreams, registry)
            nursery.start_soon(self._review_prompts, registry)
            async for _ in self._timers.subscribe("hosts", HOST_CHECK_INTERVAL_S):
                await run_guarded(self._refresh_hosts, registry)

    async def _refresh_hosts(self, registry: RegistryState) -> None:
        registry.refresh_hosts()

    async def _review_prompts(self, registry: RegistryState) -> None:
        async for _ in self._timers.subscribe("prompts", PROMPT_REVIEW_INTERVAL_S):
            registry.review_prompts()

    def _notify_hosts(self) -> None:
        """Answer the reports that wait for changes."""
        if self._registry is not None:
            self._registry.changed.notify()

    def _current_registry(self) -> RegistryState | None:
        # Before that, the state machine may lack changes that an earlier leader acknowledged.
        if not self._group.leads_with_whole_log:
            return None
        if self._registry is None or self._registry.term != self._group.term:
            self._registry = RegistryState(term=self._group.term, timers=self._timers)
        return self._registry

    async def _poll_upstreams(self, registry: RegistryState) -> None:
        # A new leader that has not applied its whole log would take all versions for unknown.
        while await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S) is not None:
            await self._timers.sleep(BARRIER_RETRY_S)
        is_list_readable = True
        while True:
            listed: list[UpstreamEntry] | Failure = self._refusals.refuse(Reason.TIMEOUT, "list")
            with trio.move_on_after(LIST_TIMEOUT_S):
                try:
                    listed = await self._read_upstreams()
                except Exception:
                    # An unexpected answer of the platform must not end the leader's tasks.
                    _log.exception("reading the platform's list of upstreams failed")
            if isinstance(listed, Failure):
                if is_list_readable:
                    _log.warning("the platform's list of upstreams could not be read: %s", listed)
            else:
                if not is_list_readable:
                    _log.info("the platform's list of upstreams can be read again")
                await run_guarded(self._apply_list, registry, listed)
            is_list_readable = not isinstance(listed, Failure)
            await self._timers.sleep(LIST_INTERVAL_S)

    async def _apply_list(self, registry: RegistryState, listed: list[UpstreamEntry]) -> None:
        """Announce the listed upstreams; those of a new version once the log holds it."""
        known = self._versions.select_known(listed)
        registry.apply_upstreams(known)
        if len(known) < len(listed) or self._versions.may_begin():
            failure = await self._versions.add_missing(listed)
            if failure is not None:
                _log.warning("new versions of upstreams could not be recorded: %s", failure)
                return
            registry.apply_upstreams(self._versions.select_known(listed))
        await self._versions.remove_expired(listed)

    async def _handle_report(self, request: HostReport, sender: str) -> HostReportReply | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("HostReport")
        if not registry.record_report(request):
            detail = "a later start of the host is known"
            return self._refusals.refuse(Reason.STALE_EPOCH, "HostReport", detail=detail)
        if request.peer_address and request.is_stopping:
            self._group.release_host(request.peer_address)
        elif request.peer_address:
            self._group.add_host(request.peer_address)
        with trio.move_on_after(min(request.wait_ms / 1000, MAX_WAIT_S)):
            while self._is_leading(registry) and not self._has_changes_for(registry, request):
                await registry.changed.wait()
        if not self._is_leading(registry):
            return self._refusals.not_leader("HostReport")
        return self._build_reply(registry, request)

    def _is_leading(self, registry: RegistryState) -> bool:
        return self._group.is_leader and self._group.term == registry.term

    def _revisions(self, registry: RegistryState, request: HostReport) -> dict[str, int]:
        state = self._machine.state
        revisions = {"routes": state.manifest_index, "takeouts": state.services_index}
        if registry.upstreams is not None:
            revisions["upstreams"] = registry.upstreams_revision
            # The leader has read its whole log by now; an earlier state could name another default.
            revisions["versions"] = self._versions.ledger.services_index
        # Until the leader knows all hosts, a host that has just started gets the incomplete list,
        # while others keep the list of the former leader.
        has_hosts_of_term = request.term == registry.term and "hosts" in request.revisions
        if registry.is_settled() or request.term == 0 or has_hosts_of_term:
            revisions["hosts"] = registry.hosts_revision_for(request.role)
        # The quarantines of the former leader are collected from the hosts first.
        if registry.is_settled() or request.term == 0:
            revisions["prompts"] = registry.prompts.revision
        if registry.limits.revision:
            revisions["limits"] = registry.limits.revision
        if registry.brittle.revision:
            revisions["brittle"] = registry.brittle.revision
        return revisions

    def _has_changes_for(self, registry: RegistryState, request: HostReport) -> bool:
        known = request.revisions if request.term == registry.term else {}
        return any(
            known.get(name) != value for name, value in self._revisions(registry, request).items()
        )

    def _build_reply(self, registry: RegistryState, request: HostReport) -> HostReportReply:
        state = self._machine.state
        known = request.revisions if request.term == registry.term else {}
        revisions = self._revisions(registry, request)
        reply = HostReportReply(term=registry.term, revisions=revisions)
        if "hosts" in revisions:
            reply.entry_count = registry.entry_count
            reply.turn = registry.position_of(request.host)

        def has_changed(section: str) -> bool:
            return section in revisions and known.get(section) != revisions[section]

        if state.manifest is not None and has_changed("routes"):
            reply.routes = state.manifest.document
            reply.routes_version = state.manifest.number
        if has_changed("takeouts"):
            reply.takeouts = list_takeouts(self._machine)
        if has_changed("versions"):
            reply.versions = self._versions.list_versions()
        if has_changed("upstreams"):
            reply.upstreams = registry.upstreams
        if has_changed("hosts"):
            reply.hosts = registry.hosts(request.role)
        if has_changed("prompts"):
            reply.suspect_parts = registry.prompts.list_suspects()
            reply.quarantines = registry.prompts.list_quarantines(self._timers.now())
        if has_changed("limits"):
            reply.limits = registry.limits.list_limits(self._timers.now())
        if has_changed("brittle"):
            reply.brittle = registry.brittle.list_limits(self._timers.now())
        if request.role == "entry" and known.get("loads") != registry.loads_revision:
            reply.revisions["loads"] = registry.loads_revision
            reply.loads = registry.loads()
        return reply

    async def _request_trial(self, request: RequestTrial, sender: str) -> TrialReply | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("RequestTrial")
        is_granted = registry.is_settled() and registry.take_trial(request.part)
        return TrialReply(is_granted=is_granted)

    async def _request_permit(self, request: RequestPermit, sender: str) -> PermitReply | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("RequestPermit")
        return registry.reserve_permit(request)

    async def _take_place(self, request: TakePlace, sender: str) -> PlaceReply | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("TakePlace")
        until = self._timers.now() + min(request.max_wait_ms / 1000, MAX_WAIT_S)
        place = registry.take_place(request)
        while not place and (left_s := until - self._timers.now()) > 0:
            # Caution after a rejection also ends without a release.
            await registry.place_released.wait_with_timeout(min(left_s, PLACE_CHECK_INTERVAL_S))
            if not self._is_leading(registry):
                return self._refusals.not_leader("TakePlace")
            place = registry.take_place(request)
        return PlaceReply(place=place)

    async def _release_place(self, request: ReleasePlace, sender: str) -> PlaceReleased | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("ReleasePlace")
        registry.release_place(request)
        return PlaceReleased()

    async def _list_entries(self, request: ListEntries, sender: str) -> EntryList | Failure:
        registry = self._current_registry()
        if registry is None:
            return self._refusals.not_leader("ListEntries")
        return EntryList(addresses=registry.list_connected_entries(request))

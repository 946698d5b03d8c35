"""Client of the control hosts, with one coroutine per message type."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet.groups import CONFIG_GROUP, record_group_of
from marigoldtrail.fleet.leaders import ATTEMPT_TIMEOUT_S, SILENT_ATTEMPT_TIMEOUT_S, LeaderFinder
from marigoldtrail.fleet.view import FleetView
from marigoldtrail.net import PeerClient
from marigoldtrail.schema.generated.control import (
    DecisionsReply,
    GetDecisions,
    GetManifest,
    GetStatus,
    ManifestReply,
    SetService,
    StatusReply,
    SubmitManifest,
    SubmitReply,
    Sync,
    SyncReply,
)
from marigoldtrail.schema.generated.records import (
    ClaimReply,
    ClaimsReply,
    FindKey,
    FindRecords,
    FindRecordsReply,
    KeyReply,
    ListClaims,
    OpenClaim,
    PutRecord,
    PutRecordReply,
    SettleClaim,
)
from marigoldtrail.schema.generated.settings import LogGroup
from marigoldtrail.timers import Timers

CALL_TIMEOUT_S = 3.0
# Longer than for a Sync: a commit under load takes longer than the read barrier of a Sync.
CALL_ATTEMPT_TIMEOUT_S = 1.0
# Validating a manifest of the size planned for in two years takes up to 1 s.
SUBMIT_TIMEOUT_S = 12.0
SUBMIT_ATTEMPT_TIMEOUT_S = 4.0

Reply = TypeVar("Reply", bound=msgspec.Struct)


class ControlClient:
    """
    Finds the leaders of the log groups and calls them.

    Parameters
    ----------
    peers : PeerClient
        Sends the requests.
    view : FleetView
        Provides the addresses of hosts.
    timers : Timers
        Clock and delays.
    groups : list of LogGroup
        All groups, as `groups_of` returns them.

    Attributes
    ----------
    record_groups : list of str
        Names of the record groups in the order of the settings.

    See Also
    --------
    marigoldtrail.fleet.groups_of : Groups from the settings.
    """

    __slots__ = ("record_groups", "_peers", "_view", "_finder")

    def __init__(
        self, *, peers: PeerClient, view: FleetView, timers: Timers, groups: list[LogGroup]
    ) -> None:
        self.record_groups = [group.name for group in groups if group.name != CONFIG_GROUP]
        self._peers = peers
        self._view = view
        self._finder = LeaderFinder(
            peers=peers,
            addresses=view,
            timers=timers,
            members={group.name: list(group.members) for group in groups},
        )

    def leader_of(self, group: str) -> str:
        """
        Return the host that last answered as leader of a group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        str
            The host; empty if none is known.
        """
        return self._finder.leader_of(group)

    async def call_group(
        self,
        group: str,
        request: msgspec.Struct,
        reply_type: type[Reply],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        attempt_timeout_s: float = CALL_ATTEMPT_TIMEOUT_S,
    ) -> Reply | Failure:
        """
        Call the leader of a log group.

        Tries the host that answered last, hosts that others name as the leader, and then all
        members in turn, until one answers or `timeout_s` has passed.

        Parameters
        ----------
        group : str
            Name of the group.
        request : msgspec.Struct
            The request. It must be idempotent by its own id, since it may be sent repeatedly.
        reply_type : type
            Type of the reply.
        timeout_s : float
            Timeout in seconds over all attempts.
        attempt_timeout_s : float
            Timeout in seconds per attempt.

        Returns
        -------
        msgspec.Struct or Failure
            The reply, or the last failure; ``MAY_HAVE_RUN`` if any attempt may have had an effect.
        """
        return await self._finder.call(
            group,
            request,
            reply_type,
            timeout_s=timeout_s,
            attempt_timeout_s=attempt_timeout_s,
        )

    async def call_host(
        self,
        host: str,
        request: msgspec.Struct,
        reply_type: type[Reply],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply | Failure:
        """
        Call one node.

        Parameters
        ----------
        host : str
            The node's host.
        request : msgspec.Struct
            The request.
        reply_type : type
            Type of the reply.
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        msgspec.Struct or Failure
            The reply, or the failure.
        """
        address = self._view.address_of(host)
        if address is None:
            return Failure(
                reason=Reason.NOT_FOUND,
                run_state=RunState.NOT_RUN,
                step=type(request).__name__,
                peer=host,
                detail="the host is unknown",
            )
        return await self._peers.call(address, request, reply_type, timeout_s=timeout_s)

    async def sync(
        self, request: Sync, *, timeout_s: float, on_attempt: Callable[[], None]
    ) -> SyncReply | Failure:
        """Send a Sync; `on_attempt` is called right before each attempt. See `call_group`."""
        return await self._finder.call(
            CONFIG_GROUP,
            request,
            SyncReply,
            timeout_s=timeout_s,
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
            silent_attempt_timeout_s=SILENT_ATTEMPT_TIMEOUT_S,
            on_attempt=on_attempt,
        )

    async def open_claim(
        self, request: OpenClaim, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> ClaimReply | Failure:
        """Claim the only run of a non-idempotent stage. See `call_group`."""
        group = record_group_of(request.client_account, self.record_groups)
        return await self.call_group(group, request, ClaimReply, timeout_s=timeout_s)

    async def find_key(
        self, request: FindKey, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> KeyReply | Failure:
        """Query whether an idempotency key is in use. See `call_group`."""
        group = record_group_of(request.client_account, self.record_groups)
        return await self.call_group(group, request, KeyReply, timeout_s=timeout_s)

    async def settle_claim(
        self, request: SettleClaim, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> ClaimReply | Failure:
        """Record the outcome of a claimed call. See `call_group`."""
        group = record_group_of(request.client_account, self.record_groups)
        return await self.call_group(group, request, ClaimReply, timeout_s=timeout_s)

    async def put_record(
        self, request: PutRecord, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> PutRecordReply | Failure:
        """Store a result record. See `call_group`."""
        group = record_group_of(request.record.client_account, self.record_groups)
        return await self.call_group(group, request, PutRecordReply, timeout_s=timeout_s)

    async def find_records(
        self, request: FindRecords, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> FindRecordsReply | Failure:
        """Look up records in the group that the request names. See `call_group`."""
        return await self.call_group(request.group, request, FindRecordsReply, timeout_s=timeout_s)

    async def list_claims(
        self, request: ListClaims, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> ClaimsReply | Failure:
        """List claims of the group that the request names. See `call_group`."""
        return await self.call_group(request.group, request, ClaimsReply, timeout_s=timeout_s)

    async def submit_manifest(
        self, request: SubmitManifest, *, timeout_s: float = SUBMIT_TIMEOUT_S
    ) -> SubmitReply | Failure:
        """Submit an operator's manifest. See `call_group`."""
        return await self.call_group(
            CONFIG_GROUP,
            request,
            SubmitReply,
            timeout_s=timeout_s,
            attempt_timeout_s=SUBMIT_ATTEMPT_TIMEOUT_S,
        )

    async def set_service(
        self, request: SetService, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> SubmitReply | Failure:
        """Take a target out of service or return it to service. See `call_group`."""
        return await self.call_group(CONFIG_GROUP, request, SubmitReply, timeout_s=timeout_s)

    async def get_manifest(self, *, timeout_s: float = CALL_TIMEOUT_S) -> ManifestReply | Failure:
        """Return the manifest in force. See `call_group`."""
        request = GetManifest()
        return await self.call_group(CONFIG_GROUP, request, ManifestReply, timeout_s=timeout_s)

    async def get_status(self, *, timeout_s: float = CALL_TIMEOUT_S) -> StatusReply | Failure:
        """Return the state of the fleet. See `call_group`."""
        return await self.call_group(CONFIG_GROUP, GetStatus(), StatusReply, timeout_s=timeout_s)

    async def get_decisions(
        self, host: str, request: GetDecisions, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> DecisionsReply | Failure:
        """Return recent decisions of one node. See `call_host`."""
        return await self.call_host(host, request, DecisionsReply, timeout_s=timeout_s)

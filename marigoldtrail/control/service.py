"""RPC service of group config (Sync, submissions, status) and the tasks of its leader."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import trio

from marigoldtrail.control.commands import (
    AssignOwners,
    Command,
    PutManifest,
    PutService,
    encode_command,
)
from marigoldtrail.control.host_list import ReadHosts
from marigoldtrail.control.leader_state import LeaderState
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.control.orders import OrderManager, SendOrder
from marigoldtrail.control.validation import MAX_NUMBER, check_manifest
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Handlers
from marigoldtrail.schema.generated.control import (
    DecisionsReply,
    GetDecisions,
    GetManifest,
    GetStatus,
    GroupStatus,
    ManifestReply,
    OrderStatus,
    SetService,
    StatusReply,
    SubmitManifest,
    SubmitReply,
    Sync,
    SyncReply,
)
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

# Below the client's timeout per attempt, so that the reply arrives in time.
BARRIER_TIMEOUT_S = 0.6
# Syncs that arrive within this time share one read barrier. The barrier's messages to the other
# members account for most of the leader's load at 330 nodes.
BARRIER_BATCH_DELAY_S = 0.02
PROPOSE_TIMEOUT_S = 2.0
MEMBERS_INTERVAL_S = 0.5
PLATFORM_INTERVAL_S = 2.0
PLATFORM_TIMEOUT_S = 2.0
MAX_NAME_CHARS = 128
# Larger manifests are validated in a thread: a faulty one with 720 upstreams and 15,000 accounts
# takes most of a second, which would delay the leader's heartbeats.
MAX_INLINE_CHECK_BYTES = 65536

_log = logging.getLogger(__name__)


class ConfigGroup(Protocol):
    """Interface of the replicated log group ``config`` that the service uses."""

    @property
    def leader(self) -> str | None:
        """Host of the leader, if known."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this host leads the group."""
        ...

    @property
    def term(self) -> int:
        """Term of the group on this host."""
        ...

    async def propose(self, command: bytes, *, timeout_s: float) -> Any:
        """Commit a command; return the machine's result or a `Failure`."""
        ...

    async def read_barrier(self, *, timeout_s: float) -> Failure | None:
        """Confirm leadership by a quorum; return None or a `Failure`."""
        ...

    async def wait_for_leadership(self) -> int:
        """Return the term once this host leads and has applied all earlier commands."""
        ...

    async def wait_for_leadership_end(self, term: int | None = None) -> None:
        """Return once this host does not lead the group, or not in this term."""
        ...


class BarrierBatch:
    """Batch of Syncs that wait for the same read barrier."""

    __slots__ = ("done", "result")

    def __init__(self, *, host: str) -> None:
        self.done = trio.Event()
        # Remains the result if the task that runs the barrier is cancelled.
        self.result: Failure | None = Failure(
            reason=Reason.NO_QUORUM, run_state=RunState.NOT_RUN, step="Sync", peer=host
        )


class ControlService:
    """
    Service of group ``config`` on one control host.

    Parameters
    ----------
    host : str
        Name of this host.
    group : ConfigGroup
        The log group.
    machine : ConfigMachine
        The group's state machine on this host.
    timers : Timers
        Clock and periodic timers.
    telemetry : Telemetry
        Records decisions.
    read_hosts : callable or None
        Reads the platform's host list; None if there is no such list.
    hosts_interval_s : float
        Interval in seconds between reads of that list.
    send_order : callable or None
        Sends an order to an engine; None to disable orders.
    group_statuses : callable
        Returns the state of the log groups on this host.

    Examples
    --------
    Typical use in a node::

        service = ControlService(host="a", group=group, machine=machine, timers=timers,
                                 telemetry=telemetry, read_hosts=read_hosts, send_order=send)
        handlers |= service.get_handlers()
        await nursery.start(service.run)
    """

    __slots__ = (
        "_host",
        "_group",
        "_machine",
        "_timers",
        "_telemetry",
        "_read_hosts",
        "_hosts_interval_s",
        "_send_order",
        "_group_statuses",
        "_leader",
        "_batch",
    )

    def __init__(
        self,
        *,
        host: str,
        group: ConfigGroup,
        machine: ConfigMachine,
        timers: Timers,
        telemetry: Telemetry,
        read_hosts: ReadHosts | None = None,
        hosts_interval_s: float = PLATFORM_INTERVAL_S,
        send_order: SendOrder | None = None,
        group_statuses: Callable[[], list[GroupStatus]] = list,
    ) -> None:
        self._host = host
        self._group = group
        self._machine = machine
        self._timers = timers
        self._telemetry = telemetry
        self._read_hosts = read_hosts
        self._hosts_interval_s = hosts_interval_s
        self._send_order = send_order
        self._group_statuses = group_statuses
        self._leader: LeaderState | None = None
        self._batch: BarrierBatch | None = None

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of this service.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        return {
            Sync: self._sync,
            SubmitManifest: self._submit_manifest,
            SetService: self._set_service,
            GetManifest: self._get_manifest,
            GetStatus: self._get_status,
            GetDecisions: self._get_decisions,
        }

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run the leader's tasks whenever this host leads the group, until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started at once.
        """
        task_status.started()
        while True:
            await self._group.wait_for_leadership()
            leader = self._leader_state()
            if leader is not None:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_membership, leader)
                    if self._read_hosts is not None:
                        nursery.start_soon(self._poll_platform, leader, self._read_hosts)
                    if self._send_order is not None:
                        nursery.start_soon(self._run_orders, leader, self._send_order)
                    await self._group.wait_for_leadership_end(leader.term)
                    nursery.cancel_scope.cancel()
            await trio.lowlevel.checkpoint()

    def _leader_state(self) -> LeaderState | None:
        """Return the leader state of the current term; None if this host is not the leader."""
        if not self._group.is_leader:
            return None
        if self._leader is None or self._leader.term != self._group.term:
            self._leader = LeaderState(
                term=self._group.term,
                machine=self._machine,
                timers=self._timers,
                telemetry=self._telemetry,
                reads_platform=self._read_hosts is not None,
            )
            _log.info("became leader of group config in term %d", self._group.term)
        return self._leader

    async def _sync(self, request: Sync, sender: str) -> SyncReply | Failure:
        leader = self._leader_state()
        if leader is None:
            return self._refuse(Reason.NOT_LEADER, "Sync", hint=self._group.leader or "")
        if not leader.apply_sync(request):
            detail = "a later incarnation of the host, or a later Sync, is known"
            return self._refuse(Reason.STALE_EPOCH, "Sync", detail=detail)
        failure = await self._wait_shared_barrier()
        if failure is not None:
            return failure
        if self._leader_state() is not leader:
            return self._refuse(Reason.NOT_LEADER, "Sync", hint=self._group.leader or "")
        if leader.is_being_displaced(request.host):
            detail = "partitions of the host are being moved"
            return self._refuse(Reason.UNKNOWN_OUTCOME, "Sync", detail=detail)
        return leader.build_reply(request)

    async def _wait_shared_barrier(self) -> Failure | None:
        """Wait for a read barrier that begins after this call and is shared with other callers."""
        if self._batch is not None:
            batch = self._batch
            await batch.done.wait()
            return batch.result
        batch = self._batch = BarrierBatch(host=self._host)
        try:
            try:
                await self._timers.sleep(BARRIER_BATCH_DELAY_S)
            finally:
                # Later callers need a barrier that begins after their call.
                self._batch = None
            batch.result = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        finally:
            batch.done.set()
        return batch.result

    async def _submit_manifest(self, request: SubmitManifest, sender: str) -> SubmitReply | Failure:
        if not self._group.is_leader:
            step = "SubmitManifest"
            return self._refuse(Reason.NOT_LEADER, step, hint=self._group.leader or "")
        if len(request.document) > MAX_INLINE_CHECK_BYTES:
            checked = await trio.to_thread.run_sync(check_manifest, request.document)
        else:
            checked = check_manifest(request.document)
        if isinstance(checked, list):
            return SubmitReply(outcome="invalid", number=0, faults=[str(item) for item in checked])
        command = PutManifest(
            number=checked.manifest.number,
            digest=checked.digest,
            document=zlib.compress(checked.document, 9),
            concurrent_loads=checked.manifest.weight_store.concurrent_loads,
            operator=request.operator,
            wall_ms=self._timers.wall_ms(),
        )
        return await self._submit(command, "manifest", request.operator)

    async def _set_service(self, request: SetService, sender: str) -> SubmitReply | Failure:
        if not self._group.is_leader:
            return self._refuse(Reason.NOT_LEADER, "SetService", hint=self._group.leader or "")
        faults = check_service(request)
        if faults:
            return SubmitReply(outcome="invalid", number=request.number, faults=faults)
        command = PutService(
            kind=request.kind,
            name=request.name,
            state=request.state,
            number=request.number,
            operator=request.operator,
            wall_ms=self._timers.wall_ms(),
        )
        return await self._submit(command, f"{request.kind}/{request.name}", request.operator)

    async def _submit(
        self, command: PutManifest | PutService, subject: str, operator: str
    ) -> SubmitReply | Failure:
        reply = await self._propose(command)
        if isinstance(reply, SubmitReply):
            self._telemetry.decisions.add(
                "submission",
                subject,
                reply.outcome,
                number=command.number,
                operator=operator,
                winner=reply.winner_operator,
            )
        return reply

    async def _get_manifest(self, request: GetManifest, sender: str) -> ManifestReply | Failure:
        failure = await self._confirm("GetManifest")
        if failure is not None:
            return failure
        manifest = self._machine.state.manifest
        if manifest is None:
            detail = "no manifest was submitted yet"
            return self._refuse(Reason.NOT_FOUND, "GetManifest", detail=detail)
        return ManifestReply(
            number=manifest.number,
            digest=manifest.digest,
            document=self._machine.manifest_document(),
        )

    async def _get_status(self, request: GetStatus, sender: str) -> StatusReply | Failure:
        failure = await self._confirm("GetStatus")
        leader = self._leader_state()
        if failure is not None:
            return failure
        if leader is None:
            return self._refuse(Reason.NOT_LEADER, "GetStatus", hint=self._group.leader or "")
        state = self._machine.state
        return StatusReply(
            leader=self._host,
            term=leader.term,
            manifest_number=state.manifest.number if state.manifest else 0,
            nodes=leader.membership.list_nodes(),
            services=[entry.current for entry in state.services.values()],
            upstreams=leader.upstream_states.entries.values(),
            owners=list(state.owners.values()),
            groups=self._group_statuses(),
            orders=[
                OrderStatus(
                    upstream=order.upstream,
                    fencing=order.fencing,
                    action=order.action,
                    model=order.model,
                    version=order.version,
                    adapter=order.adapter,
                    state=order.state,
                    detail=order.detail,
                )
                for order in state.orders.values()
            ],
        )

    async def _get_decisions(self, request: GetDecisions, sender: str) -> DecisionsReply:
        decisions = self._telemetry.decisions.find(
            request_id=request.request_id, subject=request.subject, limit=request.limit
        )
        return DecisionsReply(decisions=decisions)

    async def _confirm(self, step: str) -> Failure | None:
        if not self._group.is_leader:
            return self._refuse(Reason.NOT_LEADER, step, hint=self._group.leader or "")
        return await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)

    async def _propose(self, command: Command) -> Any:
        return await self._group.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)

    def _refuse(self, reason: Reason, step: str, *, detail: str = "", hint: str = "") -> Failure:
        return Failure(
            reason=reason,
            run_state=RunState.NOT_RUN,
            step=step,
            peer=self._host,
            detail=detail,
            hint=hint,
        )

    async def _run_membership(self, leader: LeaderState) -> None:
        async for _ in self._timers.subscribe("members", MEMBERS_INTERVAL_S):
            leader.update_manifest()
            leader.membership.refresh()
            await self._reassign_partitions(leader)

    async def _reassign_partitions(self, leader: LeaderState) -> None:
        changes = leader.plan_owners()
        if not changes:
            return
        leader.pending_changes = changes
        result = await self._propose(AssignOwners(changes=changes))
        if isinstance(result, Failure):
            _log.warning("assignment of slot owners failed: %s", result)
            if result.run_state is RunState.NOT_RUN:
                leader.pending_changes = []
            return
        leader.pending_changes = []
        for owner in result:
            self._telemetry.decisions.add(
                "owner", f"partition/{owner.partition}", f"assigned to {owner.host}"
            )

    async def _poll_platform(self, leader: LeaderState, read_hosts: ReadHosts) -> None:
        while True:
            with trio.move_on_after(PLATFORM_TIMEOUT_S):
                listing = await read_hosts()
                if isinstance(listing, Failure):
                    _log.warning("reading the platform's host list failed: %s", listing)
                else:
                    self._merge_host_list(leader, listing)
            await self._timers.sleep(self._hosts_interval_s)

    def _merge_host_list(self, leader: LeaderState, listing: Any) -> None:
        used = {node.host for node in leader.membership.entries.values()}
        if leader.manifest is not None:
            used.update(upstream.host for upstream in leader.manifest.upstreams)
        for host in leader.leaving.observe(listing, used):
            state = "leaving" if leader.leaving.is_leaving(host) else "not leaving"
            own = leader.membership.state_of(host)
            self._telemetry.decisions.add(
                "platform", host, f"host is {state}", version=listing.version, own=own
            )
        for host in leader.update_disputed_hosts():
            own = leader.membership.state_of(host)
            self._telemetry.decisions.add(
                "platform", host, "own evidence takes precedence", listed="live", own=own
            )

    async def _run_orders(self, leader: LeaderState, send_order: SendOrder) -> None:
        manager = OrderManager(
            group=self._group,
            machine=self._machine,
            leader=leader,
            timers=self._timers,
            telemetry=self._telemetry,
            send_order=send_order,
        )
        await manager.run()


def check_service(request: SetService) -> list[str]:
    """
    Validate a request that takes a target out of service or returns it to service.

    Parameters
    ----------
    request : SetService
        The request. A name that is in no manifest is allowed: a host may be taken out before it
        joins, and a leader with incomplete state must not block an urgent takeout.

    Returns
    -------
    list of str
        Faults with their JSON paths; empty if the request is valid.

    Examples
    --------
    >>> check_service(SetService(kind="host", name="", state="out", number=1, operator="eve"))
    ['service: $.name: from 1 to 128 characters are allowed']
    """
    faults = []
    if not 1 <= len(request.name) <= MAX_NAME_CHARS:
        faults.append(f"service: $.name: from 1 to {MAX_NAME_CHARS} characters are allowed")
    if not 1 <= request.number <= MAX_NUMBER:
        faults.append(f"service: $.number: from 1 to {MAX_NUMBER} is allowed")
    return faults

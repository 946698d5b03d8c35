"""The control role: log groups, configuration, records and slots."""

from __future__ import annotations

import trio

from marigoldtrail.consensus import GroupSet, StateMachine
from marigoldtrail.control import ConfigMachine, ControlService, Order, OrderAnswer
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import CONFIG_GROUP, groups_of, record_group_of, record_groups_of
from marigoldtrail.net import Address, Handlers
from marigoldtrail.node.components import NodeParts
from marigoldtrail.node.host_list import make_host_reader
from marigoldtrail.records import RecordGroup, RecordMachine, RecordService, SegmentStore
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.records import FetchSegment, SegmentChunk
from marigoldtrail.slots import SlotOwner, UpstreamProber
from marigoldtrail.storage import Disk
from marigoldtrail.upstream import EngineOrder, OutcomeReply

FETCH_TIMEOUT_S = 5.0
TRANSFER_TIMEOUT_S = 2.0


class ControlRole:
    """
    Services of a control host.

    Parameters
    ----------
    groups : GroupSet
        Log groups of this host.
    config : ControlService or None
        Service of group ``config``; None if this host is not a member.
    records : RecordService
        Service of the record groups.
    slots : SlotOwner
        Grants slots of the upstreams that this host owns.
    prober : UpstreamProber
        Probes these upstreams.
    """

    __slots__ = ("groups", "config", "records", "slots", "prober")

    def __init__(
        self,
        *,
        groups: GroupSet,
        config: ControlService | None,
        records: RecordService,
        slots: SlotOwner,
        prober: UpstreamProber,
    ) -> None:
        self.groups = groups
        self.config = config
        self.records = records
        self.slots = slots
        self.prober = prober

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of all services.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        handlers = {
            **self.groups.get_handlers(),
            **self.records.get_handlers(),
            **self.slots.handlers(),
        }
        return handlers if self.config is None else handlers | self.config.get_handlers()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run all services until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started when all logs are open.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self.groups.run)
            if self.config is not None:
                await nursery.start(self.config.run)
            nursery.start_soon(self.records.run)
            nursery.start_soon(self.prober.run)
            task_status.started()

    async def stop(self) -> None:
        """Transfer leadership of the log groups before the process ends."""
        await self.groups.transfer_leadership(timeout_s=TRANSFER_TIMEOUT_S)


def build_control_role(parts: NodeParts, disk: Disk) -> ControlRole:
    """
    Build the services of a control host.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.
    disk : Disk
        Data folder of the node.

    Returns
    -------
    ControlRole
        The services, not yet running.
    """
    cfg = parts.cfg
    hosts = {group.name: list(group.members) for group in groups_of(cfg)}
    joined_groups = [name for name, members in hosts.items() if cfg.host in members]
    config_machine = ConfigMachine()
    record_machines = {
        name: RecordMachine(store=SegmentStore(disk=disk, folder=f"{name}/segments"))
        for name in joined_groups
        if name != CONFIG_GROUP
    }
    machines: dict[str, StateMachine] = {**record_machines}
    if CONFIG_GROUP in joined_groups:
        machines[CONFIG_GROUP] = config_machine
    groups = GroupSet(
        host=cfg.host,
        hosts=hosts,
        addresses={peer.host: Address.parse(peer.peer_address) for peer in cfg.control_hosts},
        client=parts.peers,
        disk=disk,
        machines=machines,
        timers=parts.timers,
        rng=parts.rng,
        telemetry=parts.telemetry,
    )
    slots = SlotOwner(
        host=cfg.host, view=parts.view, timers=parts.timers, telemetry=parts.telemetry
    )
    return ControlRole(
        groups=groups,
        config=_build_config(parts, groups, config_machine) if CONFIG_GROUP in groups else None,
        records=_build_records(parts, groups, record_machines),
        slots=slots,
        prober=UpstreamProber(
            owner=slots,
            read_load=parts.upstreams.read_load,
            timers=parts.timers,
            telemetry=parts.telemetry,
        ),
    )


def _build_config(parts: NodeParts, groups: GroupSet, machine: ConfigMachine) -> ControlService:
    async def send_order(upstream: Upstream, order: Order) -> OrderAnswer | Failure:
        request = EngineOrder(
            fencing=order.fencing,
            action=order.action,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
        )
        reply = await parts.upstreams.send_order(upstream, request)
        if isinstance(reply, Failure):
            return reply
        return OrderAnswer(state=reply.state, detail=reply.detail)

    platform = parts.cfg.platform
    return ControlService(
        host=parts.cfg.host,
        group=groups[CONFIG_GROUP],
        machine=machine,
        timers=parts.timers,
        telemetry=parts.telemetry,
        read_hosts=make_host_reader(platform.hosts_url),
        hosts_interval_s=platform.hosts_interval_s,
        send_order=send_order,
        group_statuses=groups.describe,
    )


def _build_records(
    parts: NodeParts, groups: GroupSet, machines: dict[str, RecordMachine]
) -> RecordService:
    names = record_groups_of(parts.cfg)
    members = {group.name: list(group.members) for group in groups_of(parts.cfg)}

    async def query_outcome(name: str, path: str, attempt_id: str) -> OutcomeReply | Failure:
        upstream = parts.find_upstream(name)
        if upstream is None:
            return Failure(
                reason=Reason.NO_UPSTREAM,
                run_state=RunState.MAY_HAVE_RUN,
                step="claim.sweep",
                peer=name,
                detail="the upstream is not in the manifest in force",
            )
        return await parts.upstreams.query_outcome(upstream, path, attempt_id)

    async def fetch_chunk(host: str, request: FetchSegment) -> SegmentChunk | Failure:
        return await parts.control.call_host(host, request, SegmentChunk, timeout_s=FETCH_TIMEOUT_S)

    return RecordService(
        host=parts.cfg.host,
        groups=[
            RecordGroup(name=name, log=groups[name], machine=machine, members=members[name])
            for name, machine in machines.items()
        ],
        get_group_name=lambda account: record_group_of(account, names),
        query_outcome=query_outcome,
        fetch_chunk=fetch_chunk,
        timers=parts.timers,
        telemetry=parts.telemetry,
        retention_days=parts.cfg.record_retention_days,
    )

"""Run all log groups of one host; initialise the groups of a new fleet."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldtrail.consensus.election import handle_campaign, handle_vote
from marigoldtrail.consensus.follower import handle_append, handle_snapshot
from marigoldtrail.consensus.group import MAX_BATCH_ENTRIES, Group
from marigoldtrail.consensus.primitives import StateMachine
from marigoldtrail.consensus.quorum import has_same_voters
from marigoldtrail.consensus.state import MIN_VOTERS, GroupState
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, Handlers, PeerClient
from marigoldtrail.schema.generated.consensus import (
    AppendEntries,
    CampaignNow,
    DescribeGroup,
    GroupIdentity,
    InitGroup,
    InstallSnapshot,
    Member,
    RequestVote,
)
from marigoldtrail.schema.generated.control import GroupStatus
from marigoldtrail.storage import Disk
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

_MESSAGE_HANDLERS: dict[type, Any] = {
    AppendEntries: handle_append,
    InstallSnapshot: handle_snapshot,
    RequestVote: handle_vote,
    CampaignNow: handle_campaign,
}


class GroupSet(Mapping[str, Group]):
    """
    All log groups of one host, by name.

    Parameters
    ----------
    host : str
        Name of this host.
    hosts : dict
        Hosts that should be voters, by group.
    addresses : dict
        Address of each control host.
    client : PeerClient
        Calls the other hosts.
    disk : Disk
        The data folder.
    machines : dict
        State machine by group; only groups listed here run on this host.
    timers : Timers
        Timer service of the node.
    rng : random.Random or None
        Source of election time-outs and storage ids; None for the operating system's.
    telemetry : Telemetry or None
        Receives the reported decisions.
    max_batch_entries : int
        Largest number of entries in one write; 1 disables group commit.
    unreachable_removal_s : float or None
        Seconds without contact after which the leader removes a voter; None for never.
    min_voters : int
        Number of voters below which none is removed without another in its place.
    """

    __slots__ = ("_groups",)

    def __init__(
        self,
        *,
        host: str,
        hosts: Mapping[str, list[str]],
        addresses: Mapping[str, Address],
        client: PeerClient,
        disk: Disk,
        machines: Mapping[str, StateMachine],
        timers: Timers,
        rng: random.Random | None = None,
        telemetry: Telemetry | None = None,
        max_batch_entries: int = MAX_BATCH_ENTRIES,
        unreachable_removal_s: float | None = None,
        min_voters: int = MIN_VOTERS,
    ) -> None:
        self._groups = {
            name: Group(
                name=name,
                host=host,
                hosts=hosts[name],
                addresses=addresses,
                client=client,
                disk=disk,
                machine=machine,
                timers=timers,
                rng=rng,
                telemetry=telemetry,
                max_batch_entries=max_batch_entries,
                unreachable_removal_s=unreachable_removal_s,
                min_voters=min_voters,
            )
            for name, machine in machines.items()
        }

    def __getitem__(self, name: str) -> Group:
        return self._groups[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._groups)

    def __len__(self) -> int:
        return len(self._groups)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run all groups until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started when all logs are open.
        """
        async with trio.open_nursery() as nursery:
            for group in self._groups.values():
                await nursery.start(partial(group.run))
            task_status.started()

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of the consensus messages.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        handlers: Handlers = {
            message: partial(self._dispatch, handler)
            for message, handler in _MESSAGE_HANDLERS.items()
        }
        handlers[DescribeGroup] = partial(self._dispatch, self._describe_group)
        handlers[InitGroup] = partial(self._dispatch, self._init_group)
        return handlers

    async def _dispatch(self, handler: Any, request: Any, sender: str) -> msgspec.Struct:
        group = self._groups.get(request.group)
        if group is None:
            return Failure(
                reason=Reason.NOT_FOUND,
                run_state=RunState.NOT_RUN,
                step=type(request).__name__,
                detail=f"this host has no group {request.group}",
            )
        return await group.handle(handler, request)

    async def _describe_group(
        self, state: GroupState, request: DescribeGroup
    ) -> GroupIdentity | Failure:
        return self._groups[request.group].identify()

    async def _init_group(self, state: GroupState, request: InitGroup) -> GroupIdentity | Failure:
        group = self._groups[request.group]
        if request.target_id != state.storage_id:
            return state.make_failure(
                Reason.KEY_MISMATCH, RunState.NOT_RUN, "init", "the host has another identity"
            )
        result = await group.initialise(request.voters)
        return result if isinstance(result, Failure) else group.identify()

    def describe(self) -> list[GroupStatus]:
        """
        Return the status of all groups as known to this host.

        Returns
        -------
        list of GroupStatus
            One for each group.
        """
        return [group.describe() for group in self._groups.values()]

    async def transfer_leadership(self, *, timeout_s: float) -> bool:
        """
        Transfer the leadership of all groups to other hosts before a graceful stop.

        Parameters
        ----------
        timeout_s : float
            Time-out in seconds.

        Returns
        -------
        bool
            True if this host no longer leads any group.
        """
        async with trio.open_nursery() as nursery:
            for group in self._groups.values():
                nursery.start_soon(partial(group.transfer_leadership, timeout_s=timeout_s))
        return not any(group.is_leader for group in self._groups.values())


async def init_fleet(
    client: PeerClient,
    *,
    hosts: Mapping[str, list[str]],
    addresses: Mapping[str, Address],
    timeout_s: float,
) -> None | Failure:
    """
    Initialise every group of a new fleet with its first member list.

    Idempotent: it may be repeated after an interruption and does not change groups that are in use.

    Parameters
    ----------
    client : PeerClient
        Calls the control hosts.
    hosts : dict
        First voters of each group.
    addresses : dict
        Address of each control host.
    timeout_s : float
        Time-out of each call in seconds.

    Returns
    -------
    None or Failure
        ``KEY_MISMATCH`` if a group is in use with other voters; the failure of a call.
    """
    for group, members in hosts.items():
        identities = []
        for host in sorted(members):
            identity = await client.call(
                addresses[host], DescribeGroup(group=group), GroupIdentity, timeout_s=timeout_s
            )
            if isinstance(identity, Failure):
                return identity
            identities.append(identity)
        voters = [Member(host=i.host, storage_id=i.storage_id) for i in identities]
        # Check all hosts before changing any: in a group in use, an empty host must not be
        # initialised on its own.
        for identity in identities:
            if identity.last_index > 0 and not has_same_voters(identity.voters, voters):
                return Failure(
                    reason=Reason.KEY_MISMATCH,
                    run_state=RunState.NOT_RUN,
                    step="init",
                    peer=identity.host,
                    detail=f"group {group} is in use with other voters",
                )
        for member in voters:
            request = InitGroup(group=group, target_id=member.storage_id, voters=voters)
            result = await client.call(
                addresses[member.host], request, GroupIdentity, timeout_s=timeout_s
            )
            if isinstance(result, Failure):
                return result
    return None

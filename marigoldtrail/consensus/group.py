"""Run one replicated log group on one host."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any, TypeVar

import trio

from marigoldtrail.consensus.applying import apply_committed, write_proposals
from marigoldtrail.consensus.election import run_elections, start_replication, transfer_leadership
from marigoldtrail.consensus.levels import has_level
from marigoldtrail.consensus.log import COMMAND, MEMBERS, encode_voters
from marigoldtrail.consensus.membership import list_learners, list_missing
from marigoldtrail.consensus.primitives import Proposal, StateMachine
from marigoldtrail.consensus.quorum import has_same_voters
from marigoldtrail.consensus.reopening import open_first, reopen_after_failures
from marigoldtrail.consensus.replication import (
    get_confirmed_read_round,
    get_quorum_contact_time,
    request_read_round,
)
from marigoldtrail.consensus.state import (
    LEADER,
    MIN_VOTERS,
    GroupState,
    adopt_term,
    check_disk,
    stop_group,
)
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.schema.generated.consensus import GroupIdentity, LogEntry, Member
from marigoldtrail.schema.generated.control import GroupStatus
from marigoldtrail.storage import Disk
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

MAX_COMMAND_BYTES = 4 * 1024 * 1024
MAX_QUEUED_COMMANDS = 8192
MAX_BATCH_ENTRIES = 1024
RELEASE_POLL_INTERVAL_S = 0.02

Request = TypeVar("Request")
Reply = TypeVar("Reply")


class Group:
    """
    Replicated log group on this host.

    Parameters
    ----------
    name : str
        Name of the group and of its folder on the disk.
    host : str
        Name of this host.
    hosts : list of str
        Hosts that should be voters of the group, this one included.
    addresses : dict
        Address of each control host.
    client : PeerClient
        Calls the other hosts.
    disk : Disk
        The data folder.
    machine : StateMachine
        The state machine, in its initial state.
    timers : Timers
        Timer service of the node.
    rng : random.Random or None
        Source of election time-outs and storage ids; None for the operating system's.
    telemetry : Telemetry or None
        Receives the reported decisions.
    max_batch_entries : int
        Maximum number of entries in one write; 1 disables group commit.
    unreachable_removal_s : float or None
        Seconds without contact after which the leader removes a voter; None for never.
    min_voters : int
        Number of voters below which none is removed without another in its place.
    """

    __slots__ = ("_state", "_disk", "_opened")

    def __init__(
        self,
        *,
        name: str,
        host: str,
        hosts: list[str],
        addresses: Mapping[str, Address],
        client: PeerClient,
        disk: Disk,
        machine: StateMachine,
        timers: Timers,
        rng: random.Random | None = None,
        telemetry: Telemetry | None = None,
        max_batch_entries: int = MAX_BATCH_ENTRIES,
        unreachable_removal_s: float | None = None,
        min_voters: int = MIN_VOTERS,
    ) -> None:
        self._disk = disk
        self._opened = trio.Event()
        self._state = GroupState(
            name=name,
            host=host,
            hosts=hosts,
            addresses=addresses,
            client=client,
            machine=machine,
            timers=timers,
            rng=rng or random.SystemRandom(),
            telemetry=telemetry,
            max_batch_entries=max_batch_entries,
            unreachable_removal_s=unreachable_removal_s,
            min_voters=min_voters,
        )

    @property
    def name(self) -> str:
        """Name of the group."""
        return self._state.name

    @property
    def leader(self) -> str | None:
        """Leader known to this host; None if unknown."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this host leads; a linearizable read also needs `read_barrier`."""
        return self._state.role == LEADER

    @property
    def leads_with_whole_log(self) -> bool:
        """Whether this host leads and has applied all entries that earlier leaders committed."""
        state = self._state
        return state.role == LEADER and 0 < state.term_start_index <= state.applied_index

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def contact_time(self) -> float:
        """
        Monotonic time in seconds of the last contact with the leader, or with a quorum as leader.

        Negative infinity if there was none yet.
        """
        if self.is_leader:
            return get_quorum_contact_time(self._state)
        return self._state.leader_contact_at

    @property
    def term_start_index(self) -> int:
        """Log index of the first entry of this host's term as leader; 0 if it is not known."""
        return self._state.term_start_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was applied to the state machine."""
        return self._state.applied_index

    @property
    def stop_failure(self) -> Failure | None:
        """The failure of the disk that keeps this host out of the group, if any."""
        return self._state.stop_failure

    @property
    def has_room(self) -> bool:
        """Whether the last entry was not refused by a full disk."""
        return self._state.has_room

    @property
    def has_voters(self) -> bool:
        """Whether the group is known to be initialised, that is, to have voters."""
        return self._state.is_open and bool(self._state.log.voters)

    @property
    def voter_count(self) -> int:
        """Number of voters on the newest member list that this host knows."""
        return len(self._state.log.voters) if self._state.is_open else 0

    @property
    def missing_voter_count(self) -> int:
        """Number of voters that this host does not reach as leader; 0 if it does not lead."""
        return len(list_missing(self._state)) if self._state.is_open else 0

    def has_level(self, level: int) -> bool:
        """Tell whether this host leads and all members can apply commands of a feature level."""
        return has_level(self._state, level)

    def add_host(self, host: str) -> None:
        """
        Add a host that should become a voter.

        Replication to the host begins at once; it becomes a voter when it holds the whole log.

        Parameters
        ----------
        host : str
            Name of the host; its address must be known.
        """
        state = self._state
        state.leaving.discard(host)
        if host not in state.hosts:
            state.hosts.append(host)
        if state.role == LEADER and host != state.host and host not in state.peers:
            start_replication(state, host)

    def release_host(self, host: str) -> None:
        """
        Remove a host from the voters before its process stops, as far as enough others remain.

        A host can't tell whether it stops for good. If it comes back, `add_host` makes it a voter
        again, once it holds the whole log.

        Parameters
        ----------
        host : str
            Name of the host.
        """
        state = self._state
        state.leaving.add(host)
        if host in state.hosts:
            state.hosts.remove(host)

    async def wait_for_release(self, *, timeout_s: float) -> bool:
        """
        Wait until this host, whose process is about to stop, is no voter any more.

        Parameters
        ----------
        timeout_s : float
            Time-out in seconds.

        Returns
        -------
        bool
            False if it is still a voter, for example because too few others would remain.
        """
        state = self._state
        ends_at = state.timers.now() + timeout_s
        while state.is_open and state.stop_failure is None:
            if not state.is_voter and state.log.voters_index <= state.commit_index:
                return True
            is_needed = state.is_voter and len(state.log.voters) <= state.min_voters
            if is_needed or state.timers.now() >= ends_at:
                return False
            await state.timers.sleep(RELEASE_POLL_INTERVAL_S)
        return False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run the group until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started when the log is open and messages can be handled.
        """
        state = self._state
        async with trio.open_nursery() as nursery:
            state.nursery = nursery
            failure = await open_first(state, self._disk)
            if failure is not None:
                stop_group(state, failure)
            nursery.start_soon(run_elections, state)
            nursery.start_soon(write_proposals, state)
            nursery.start_soon(apply_committed, state)
            nursery.start_soon(reopen_after_failures, state, self._disk)
            self._opened.set()
            task_status.started()
            await trio.sleep_forever()

    async def propose(self, command: bytes, *, timeout_s: float) -> Any:
        """
        Commit a command and wait until it is applied.

        Parameters
        ----------
        command : bytes
            The command; it must contain a unique id, so that a retry has no second effect.
        timeout_s : float
            Time-out in seconds.

        Returns
        -------
        object or Failure
            What the machine's `apply` returned, or a failure: ``NOT_RUN`` if the command is not in
            the log, ``MAY_HAVE_RUN`` if it may be.
        """
        refused = self._check_proposal(command)
        if refused is not None:
            return refused
        state = self._state
        proposal = Proposal(kind=COMMAND, payload=command)
        state.queue.append(proposal)
        state.proposed.notify()
        with trio.move_on_after(timeout_s):
            await proposal.done.wait()
        if proposal.done.is_set():
            return proposal.result
        if proposal in state.queue:
            state.queue.remove(proposal)
            return state.make_failure(Reason.TIMEOUT, RunState.NOT_RUN, "propose")
        return state.make_failure(Reason.UNKNOWN_OUTCOME, RunState.MAY_HAVE_RUN, "propose")

    def _check_proposal(self, command: bytes) -> Failure | None:
        state = self._state
        reason, detail = None, ""
        if state.stop_failure is not None:
            reason, detail = state.stop_failure.reason, state.stop_failure.detail
        elif state.role != LEADER:
            reason = Reason.NOT_LEADER
        elif state.is_transferring:
            reason, detail = Reason.NOT_LEADER, "the leadership is being transferred"
        elif len(command) > MAX_COMMAND_BYTES:
            reason, detail = Reason.BAD_REQUEST, f"a command has at most {MAX_COMMAND_BYTES} bytes"
        elif len(state.queue) >= MAX_QUEUED_COMMANDS:
            reason, detail = Reason.OVERLOADED, f"{MAX_QUEUED_COMMANDS} commands are waiting"
        if reason is None:
            return None
        return state.make_failure(reason, RunState.NOT_RUN, "propose", detail)

    async def read_barrier(self, *, timeout_s: float) -> None | Failure:
        """
        Wait until the state machine has applied all entries committed before this call.

        Parameters
        ----------
        timeout_s : float
            Time-out in seconds.

        Returns
        -------
        None or Failure
            None if a quorum has confirmed this host as leader since the call began.
        """
        state = self._state
        term = state.term
        if state.stop_failure is not None:
            return state.make_failure(state.stop_failure.reason, RunState.NOT_RUN, "read_barrier")
        if state.role != LEADER:
            return state.make_failure(Reason.NOT_LEADER, RunState.NOT_RUN, "read_barrier")
        with trio.move_on_after(timeout_s):
            # A leader does not know the commit index before it commits an entry of its own term.
            while state.is_leader_in(term) and not 0 < state.term_start_index <= state.commit_index:
                await state.applied.wait()
            index = state.commit_index
            wanted = request_read_round(state)
            while state.is_leader_in(term) and get_confirmed_read_round(state) < wanted:
                await state.confirmed.wait()
            while state.is_leader_in(term) and state.applied_index < index:
                await state.applied.wait()
            if not state.is_leader_in(term):
                return state.make_failure(Reason.NOT_LEADER, RunState.NOT_RUN, "read_barrier")
            return None
        return state.make_failure(Reason.NO_QUORUM, RunState.NOT_RUN, "read_barrier")

    async def wait_for_leadership(self) -> int:
        """
        Wait until this host leads and has applied all entries that earlier leaders committed.

        Returns
        -------
        int
            Term in which it leads.
        """
        state = self._state
        while not self.leads_with_whole_log:
            await (state.applied if state.role == LEADER else state.changed).wait()
        return state.term

    async def wait_for_leadership_end(self, term: int | None = None) -> None:
        """
        Wait until this host does not lead, or not in a given term.

        Parameters
        ----------
        term : int or None
            Also return if this host leads in a term other than this one; None for any term.
        """
        state = self._state
        while state.role == LEADER and term in (None, state.term):
            await state.changed.wait()

    async def iterate_leaderships(self) -> AsyncIterator[int]:
        """
        Iterate over the terms in which this host leads.

        Yields
        ------
        int
            The term, yielded when the leadership begins; the next one after it has ended.
        """
        while True:
            term = await self.wait_for_leadership()
            yield term
            await self.wait_for_leadership_end(term)

    async def run_while_leader(self, task: Callable[[int], Awaitable[None]]) -> None:
        """
        Run a task whenever this host leads; cancel it when the leadership ends.

        Parameters
        ----------
        task : callable
            Asynchronous function of the term. If it returns early it is not run again in that term.
        """
        while True:
            term = await self.wait_for_leadership()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(task, term)
                await self.wait_for_leadership_end(term)
                nursery.cancel_scope.cancel()

    async def transfer_leadership(self, *, timeout_s: float) -> bool:
        """
        Transfer the leadership to the most up-to-date follower.

        Parameters
        ----------
        timeout_s : float
            Time-out in seconds.

        Returns
        -------
        bool
            True if this host no longer leads.
        """
        return await transfer_leadership(self._state, timeout_s=timeout_s)

    def describe(self) -> GroupStatus:
        """
        Return the status of the group as known to this host.

        Returns
        -------
        GroupStatus
            Leader, term, indexes, members and learners.
        """
        state = self._state
        voters = sorted(state.log.voters, key=lambda member: member.host) if state.is_open else []
        return GroupStatus(
            group=state.name,
            leader=state.leader or "",
            term=state.term,
            commit_index=state.commit_index,
            applied_index=state.applied_index,
            members=[member.host for member in voters],
            learners=list_learners(state) if state.is_open else [],
            storage_ids=[member.storage_id for member in voters],
        )

    def identify(self) -> GroupIdentity | Failure:
        """
        Return the storage id, last index and voters of this host's log.

        Returns
        -------
        GroupIdentity or Failure
            The failure that stopped the group.
        """
        state = self._state
        if state.stop_failure is not None:
            return state.stop_failure
        return GroupIdentity(
            group=state.name,
            host=state.host,
            storage_id=state.storage_id,
            last_index=state.log.last_index,
            voters=state.log.voters,
        )

    async def initialise(self, voters: list[Member]) -> None | Failure:
        """
        Write the first member list to an empty log.

        Parameters
        ----------
        voters : list of Member
            The first voters, the same on every host.

        Returns
        -------
        None or Failure
            ``KEY_MISMATCH`` if the log is not empty and has other voters.
        """
        state = self._state
        async with state.lock:
            if state.stop_failure is not None:
                return state.stop_failure
            if has_same_voters(state.log.voters, voters):
                return None
            if state.log.last_index > 0 or not any(
                m.storage_id == state.storage_id for m in voters
            ):
                return state.make_failure(
                    Reason.KEY_MISMATCH, RunState.NOT_RUN, "init", "the log is in use"
                )
            adopted = await adopt_term(state, 1, "the group is initialised")
            if isinstance(adopted, Failure):
                return adopted
            entry = LogEntry(term=1, kind=MEMBERS, payload=encode_voters(voters))
            appended = check_disk(state, await state.log.append([entry]))
            if isinstance(appended, Failure):
                return appended
            synced = check_disk(state, await state.log.journal.sync())
            if not isinstance(synced, Failure):
                state.synced_index = state.log.last_index
            return synced

    async def handle(
        self, handler: Callable[[GroupState, Request], Awaitable[Reply]], request: Request
    ) -> Reply | Failure:
        """
        Handle a message in a task of the group's nursery.

        Closing the connection that delivered the message must not cancel a write in progress.

        Parameters
        ----------
        handler : callable
            Asynchronous function of the state and the message.
        request : msgspec.Struct
            The message.

        Returns
        -------
        msgspec.Struct or Failure
            The reply.
        """
        await self._opened.wait()
        state = self._state
        if state.stop_failure is not None:
            return state.stop_failure
        replies: list[Reply] = []
        done = trio.Event()

        async def run() -> None:
            replies.append(await handler(state, request))
            done.set()

        state.nursery.start_soon(run)
        await done.wait()
        return replies[0]

"""Hold the state of one log group on one host, shared by the tasks of the group."""

from __future__ import annotations

import logging
import random
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import trio

from marigoldtrail.consensus.log import ReplicatedLog
from marigoldtrail.consensus.primitives import Peer, Proposal, StateMachine
from marigoldtrail.consensus.store import GroupStore
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.schema.generated.consensus import StoredSnapshot
from marigoldtrail.timers import Notifier, Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

HEARTBEAT_S = 0.25
ELECTION_TIMEOUT_S = (1.0, 2.0)
# A group with fewer voters could not tolerate the loss of one.
MIN_VOTERS = 3
CHECK_QUORUM_S = 1.0
# Used after a start; long enough to receive a heartbeat from an existing leader.
FIRST_ELECTION_TIMEOUT_S = (0.4, 0.9)

# More than the first entry of a term and an order of an operator need.
PROBED_ENTRY_BYTES = 512

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

# Steps of a campaign after an election time-out.
NO_CAMPAIGN = ""
PRE_VOTE = "pre-vote"
VOTE = "vote"

_log = logging.getLogger(__name__)


class GroupState:
    """
    State of one group.

    `lock` is held while the term, vote or log changes, so that granting a vote and acknowledging
    entries exclude each other.

    Parameters
    ----------
    name, host : str
        Names of the group and of this host.
    hosts : list of str
        Hosts that should be voters of the group.
    addresses : dict
        Address of each control host.
    client : PeerClient
        Calls the other hosts.
    machine : StateMachine
        The state machine.
    timers : Timers
        Timer service of the node.
    rng : random.Random
        Source of election time-outs and storage ids.
    telemetry : Telemetry or None
        Receives the reported decisions.
    max_batch_entries : int
        Maximum number of entries in one write.
    unreachable_removal_s : float or None
        Seconds without contact after which the leader removes a voter; None for never.
    min_voters : int
        Number of voters below which none is removed without another in its place.

    Attributes
    ----------
    leaving : set of str
        Hosts that have announced to this leader that their processes end.
    last_leader : str or None
        The leader that this host heard of last, also after it has campaigned itself.
    """

    __slots__ = (
        "name",
        "host",
        "hosts",
        "addresses",
        "client",
        "machine",
        "timers",
        "rng",
        "telemetry",
        "max_batch_entries",
        "unreachable_removal_s",
        "min_voters",
        "leaving",
        "leader_nursery",
        "lock",
        "nursery",
        "store",
        "log",
        "role",
        "term",
        "leader",
        "leader_contact_at",
        "last_leader",
        "campaign_at",
        "commit_index",
        "applied_index",
        "synced_index",
        "applied_bytes",
        "term_start_index",
        "peers",
        "queue",
        "pending_proposals",
        "read_round",
        "is_read_round_sent",
        "transfers",
        "incoming_snapshot",
        "is_writing_snapshot",
        "leader_scope",
        "stop_failure",
        "stopped_at",
        "has_room",
        "may_campaign",
        "campaign_step",
        "held_index",
        "refused_snapshot",
        "proposed",
        "committed",
        "applied",
        "confirmed",
        "changed",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        hosts: list[str],
        addresses: Mapping[str, Address],
        client: PeerClient,
        machine: StateMachine,
        timers: Timers,
        rng: random.Random,
        telemetry: Telemetry | None,
        max_batch_entries: int,
        unreachable_removal_s: float | None = None,
        min_voters: int = MIN_VOTERS,
    ) -> None:
        self.name = name
        self.host = host
        self.hosts = hosts
        self.addresses = addresses
        self.client = client
        self.machine = machine
        self.timers = timers
        self.rng = rng
        self.telemetry = telemetry
        self.max_batch_entries = max_batch_entries
        self.unreachable_removal_s = unreachable_removal_s
        self.min_voters = min_voters
        self.leaving: set[str] = set()
        # Runs the leader's tasks; None while this host is not the leader.
        self.leader_nursery: trio.Nursery | None = None
        self.lock = trio.Lock()
        self.nursery: trio.Nursery
        self.store: GroupStore
        self.log: ReplicatedLog
        self.role = FOLLOWER
        self.term = 0
        self.leader: str | None = None
        self.leader_contact_at = float("-inf")
        self.last_leader: str | None = None
        self.campaign_at = 0.0
        self.commit_index = 0
        self.applied_index = 0
        self.synced_index = 0
        self.applied_bytes = 0
        self.term_start_index = 0
        self.peers: dict[str, Peer] = {}
        self.queue: deque[Proposal] = deque()
        self.pending_proposals: dict[int, Proposal] = {}
        self.read_round = 0
        self.is_read_round_sent = False
        # Number of transfers of this leadership that are under way.
        self.transfers = 0
        self.incoming_snapshot: tuple[int, int] = (0, 0)
        self.is_writing_snapshot = False
        self.leader_scope = trio.CancelScope()
        self.stop_failure: Failure | None = None
        self.stopped_at = 0.0
        # Whether the last append was not refused by a full disk.
        self.has_room = True
        self.may_campaign = True
        self.campaign_step = NO_CAMPAIGN
        # Index of the last command that needs a later release.
        self.held_index = 0
        # Index of the snapshot that was refused last; the leader sends it again and again.
        self.refused_snapshot = 0
        self.proposed = Notifier()
        self.committed = Notifier()
        self.applied = Notifier()
        self.confirmed = Notifier()
        self.changed = Notifier()

    @property
    def storage_id(self) -> str:
        """Storage id of this host's log."""
        return self.store.vote.storage_id

    @property
    def is_transferring(self) -> bool:
        """Whether this leader refuses proposals because it transfers its leadership."""
        return self.transfers > 0

    @property
    def is_open(self) -> bool:
        """Whether the files have been opened since the start of the process."""
        return hasattr(self, "log")

    @property
    def is_voter(self) -> bool:
        """Whether this host's log is a voter in the newest member list."""
        return any(member.storage_id == self.storage_id for member in self.log.voters)

    def is_leader_in(self, term: int) -> bool:
        """Whether this host is the leader in a term."""
        return self.role == LEADER and self.term == term

    def make_failure(
        self, reason: Reason, run_state: RunState, step: str, detail: str = ""
    ) -> Failure:
        """Build a failure that names this group and the known leader."""
        return Failure(
            reason=reason,
            run_state=run_state,
            step=step,
            peer=self.host,
            detail=detail or self.name,
            hint=self.leader if self.leader not in (None, self.host) else "",
        )

    def report(self, kind: str, reason: str, **inputs: Any) -> None:
        """Log a decision and add it to the telemetry."""
        _log.info("group %s on %s: %s: %s %s", self.name, self.host, kind, reason, inputs)
        if self.telemetry is not None:
            self.telemetry.decisions.add(kind, self.name, reason, **inputs)


def load_state(state: GroupState, store: GroupStore, log: ReplicatedLog) -> None:
    """
    Initialise the state from the opened files.

    Parameters
    ----------
    state : GroupState
        The group.
    store : GroupStore
        Files of the group.
    log : ReplicatedLog
        Log of the group.
    """
    state.store = store
    state.log = log
    state.term = max(store.vote.term, log.last_term)
    state.commit_index = state.applied_index = log.snapshot_index
    state.synced_index = log.last_index
    # A shorter time-out is safe: hosts in contact with a leader refuse the pre-vote.
    state.campaign_at = state.timers.now() + state.rng.uniform(*FIRST_ELECTION_TIMEOUT_S)


def restore_machine(state: GroupState, snapshot: StoredSnapshot) -> None:
    """
    Replace the state of the machine.

    Parameters
    ----------
    state : GroupState
        The group.
    snapshot : StoredSnapshot
        State at an index that is not before the applied one.
    """
    state.machine.restore(snapshot.data)
    state.applied_index = snapshot.index
    state.commit_index = max(state.commit_index, snapshot.index)
    state.synced_index = max(state.synced_index, snapshot.index)
    state.applied_bytes = 0
    state.committed.notify()
    state.applied.notify()


def reset_campaign(state: GroupState) -> None:
    """
    Postpone the next campaign by a random election time-out.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    state.campaign_at = state.timers.now() + state.rng.uniform(*ELECTION_TIMEOUT_S)


def record_leader_contact(state: GroupState, leader: str) -> None:
    """
    Record a message from the leader of the current term.

    Parameters
    ----------
    state : GroupState
        The group.
    leader : str
        Host of the leader.
    """
    state.leader_contact_at = state.timers.now()
    state.last_leader = leader
    reset_campaign(state)
    if state.leader != leader:
        state.leader = leader
        state.changed.notify()


def step_down(state: GroupState, why: str) -> None:
    """
    Become a follower; cancel the leader's tasks and fail its proposals.

    Parameters
    ----------
    state : GroupState
        The group.
    why : str
        Reason, for the decision log.
    """
    was_leader = state.role == LEADER
    state.role = FOLLOWER
    if not was_leader:
        return
    state.leader = None
    state.leader_scope.cancel()
    state.transfers = 0
    state.peers = {}
    state.leaving = set()
    reset_campaign(state)
    for proposal in state.queue:
        proposal.resolve(state.make_failure(Reason.NOT_LEADER, RunState.NOT_RUN, "propose", why))
    state.queue.clear()
    for proposal in state.pending_proposals.values():
        proposal.resolve(
            state.make_failure(Reason.UNKNOWN_OUTCOME, RunState.MAY_HAVE_RUN, "propose", why)
        )
    state.pending_proposals.clear()
    state.report("step_down", why, term=state.term)
    for notifier in (state.changed, state.confirmed, state.applied):
        notifier.notify()


def stop_campaigns(state: GroupState, why: str) -> None:
    """
    Let this host follow and vote, but never lead, until its process ends.

    Parameters
    ----------
    state : GroupState
        The group.
    why : str
        Reason, for the decision log.
    """
    if not state.may_campaign:
        return
    state.may_campaign = False
    state.report("stop_campaigns", why)
    step_down(state, why)


def stop_group(state: GroupState, failure: Failure) -> None:
    """
    Stop the group on this host after a failure of the disk, until its files are opened again.

    Parameters
    ----------
    state : GroupState
        The group.
    failure : Failure
        The failure; calls return it meanwhile.
    """
    if state.stop_failure is not None:
        return
    state.stop_failure = failure
    state.stopped_at = state.timers.now()
    step_down(state, str(failure))
    state.leader = None
    _log.error("group %s: this host is out of the group: %s", state.name, failure)
    state.report("stop_group", str(failure))
    state.changed.notify()


def record_room(state: GroupState, result: None | Failure) -> None:
    """
    Record whether an append was refused by a full disk.

    Parameters
    ----------
    state : GroupState
        The group.
    result : None or Failure
        Result of the append.
    """
    has_room = not isinstance(result, Failure) or result.reason is not Reason.DISK_FULL
    if has_room == state.has_room:
        return
    state.has_room = has_room
    if has_room:
        _log.warning("group %s: the disk has room again", state.name)
    else:
        _log.error("group %s: the disk is full: %s", state.name, result)


def check_disk(state: GroupState, result: None | Failure) -> Failure | None:
    """
    Stop the group if a disk operation failed for a reason other than a full disk.

    Parameters
    ----------
    state : GroupState
        The group.
    result : None or Failure
        Result of the disk operation.

    Returns
    -------
    Failure or None
        The failure, if any.
    """
    if isinstance(result, Failure) and result.reason is not Reason.DISK_FULL:
        stop_group(state, result)
    return result


async def check_room(state: GroupState) -> bool:
    """
    Tell whether this host can append an entry; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    bool
        False also after a failure of the disk, which stops the group.
    """
    result = check_disk(state, await state.log.journal.probe_room(PROBED_ENTRY_BYTES))
    record_room(state, result)
    return result is None


async def adopt_term(
    state: GroupState, term: int, why: str, *, voted_for: str = ""
) -> None | Failure:
    """
    Adopt a newer term as a follower, and optionally vote in it; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term seen in a message.
    why : str
        Reason, for the decision log.
    voted_for : str
        Storage id to vote for, also in the current term; empty for none.

    Returns
    -------
    None or Failure
        The failure of the disk; then the term is not adopted.
    """
    if term < state.term or (term == state.term and not voted_for):
        return None
    if term > state.term:
        step_down(state, why)
    result = check_disk(state, await state.store.save_vote(term, voted_for))
    if isinstance(result, Failure):
        return result
    if term > state.term:
        state.term = term
        state.leader = None
    return None


async def adopt_newer_term(state: GroupState, term: int, why: str) -> None:
    """
    Step down and adopt a newer term that was seen in a reply.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term of the reply.
    why : str
        Reason, for the decision log.
    """
    if term <= state.term:
        return
    # Step down at once, without waiting until the new term is on disk.
    step_down(state, why)
    # Runs in the group's nursery: the caller may be a leader's task, which is now cancelled.
    state.nursery.start_soon(adopt_term_locked, state, term, why)


async def adopt_term_locked(state: GroupState, term: int, why: str) -> None:
    """Acquire the lock and adopt a term; see `adopt_term`."""
    async with state.lock:
        if state.stop_failure is None:
            await adopt_term(state, term, why)

"""State of one log group on one host, shared by the tasks of the group."""

from __future__ import annotations

import logging
import random
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import trio

from marigoldtrail.consensus.log import ReplicatedLog
from marigoldtrail.consensus.parts import Machine, Peer, Proposal
from marigoldtrail.consensus.store import GroupStore
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.schema.generated.consensus import Member, StoredSnapshot
from marigoldtrail.timers import Signal, Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

HEARTBEAT_S = 0.25
ELECTION_TIMEOUT_S = (1.0, 2.0)
CHECK_QUORUM_S = 1.0
# After a start: long enough for a heartbeat of a leader that is there.
FIRST_ELECTION_S = (0.4, 0.9)

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

_log = logging.getLogger(__name__)


class GroupState:
    """
    State of one group.

    `lock` is held while term, vote or log change, so that a vote and the acknowledgement of
    entries exclude each other.

    Parameters
    ----------
    name, host : str
        Names of the group and of this host.
    hosts : list of str
        Hosts that the group shall have as voters.
    addresses : dict
        Address of each control host.
    client : PeerClient
        Calls the other hosts.
    machine : Machine
        The state machine.
    timers : Timers
        Timer service of the node.
    rng : random.Random
        Source of election timeouts and identities.
    telemetry : Telemetry or None
        Where decisions are reported.
    max_batch : int
        Largest number of entries in one write.
    silent_removal_s : float or None
        Seconds of silence after which a leader takes a voter off the list; None for never.
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
        "max_batch",
        "silent_removal_s",
        "leader_nursery",
        "lock",
        "nursery",
        "store",
        "log",
        "role",
        "term",
        "leader",
        "last_heard",
        "campaign_at",
        "commit_index",
        "applied_index",
        "synced_index",
        "applied_bytes",
        "first_of_term",
        "peers",
        "queue",
        "waiting",
        "round",
        "round_taken",
        "transferring",
        "incoming",
        "snapshotting",
        "leader_scope",
        "stopped",
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
        machine: Machine,
        timers: Timers,
        rng: random.Random,
        telemetry: Telemetry | None,
        max_batch: int,
        silent_removal_s: float | None = None,
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
        self.max_batch = max_batch
        self.silent_removal_s = silent_removal_s
        # Runs the tasks of a leader; None while this host does not lead.
        self.leader_nursery: trio.Nursery | None = None
        self.lock = trio.Lock()
        self.nursery: trio.Nursery
        self.store: GroupStore
        self.log: ReplicatedLog
        self.role = FOLLOWER
        self.term = 0
        self.leader: str | None = None
        self.last_heard = float("-inf")
        self.campaign_at = 0.0
        self.commit_index = 0
        self.applied_index = 0
        self.synced_index = 0
        self.applied_bytes = 0
        self.first_of_term = 0
        self.peers: dict[str, Peer] = {}
        self.queue: deque[Proposal] = deque()
        self.waiting: dict[int, Proposal] = {}
        self.round = 0
        self.round_taken = False
        self.transferring = False
        self.incoming: tuple[int, int] = (0, 0)
        self.snapshotting = False
        self.leader_scope = trio.CancelScope()
        self.stopped: Failure | None = None
        self.proposed = Signal()
        self.committed = Signal()
        self.applied = Signal()
        self.confirmed = Signal()
        self.changed = Signal()

    @property
    def storage_id(self) -> str:
        """Identity of this host's log."""
        return self.store.vote.storage_id

    @property
    def is_voter(self) -> bool:
        """Whether this log counts towards the quorum."""
        return any(member.storage_id == self.storage_id for member in self.log.voters)

    def leads(self, term: int) -> bool:
        """Whether this host leads in a term."""
        return self.role == LEADER and self.term == term

    def failure(self, reason: Reason, run_state: RunState, step: str, detail: str = "") -> Failure:
        """Return a failure of this group."""
        return Failure(
            reason=reason,
            run_state=run_state,
            step=step,
            peer=self.host,
            detail=detail or self.name,
            hint=self.leader if self.leader not in (None, self.host) else "",
        )

    def report(self, kind: str, reason: str, **inputs: Any) -> None:
        """Report a decision."""
        _log.info("group %s on %s: %s: %s %s", self.name, self.host, kind, reason, inputs)
        if self.telemetry is not None:
            self.telemetry.decisions.add(kind, self.name, reason, **inputs)


def load_state(state: GroupState, store: GroupStore, log: ReplicatedLog) -> None:
    """
    Take over what was on disk.

    Parameters
    ----------
    state : GroupState
        The group.
    store : GroupStore
        Its files.
    log : ReplicatedLog
        Its log.
    """
    state.store = store
    state.log = log
    state.term = max(store.vote.term, log.last_term)
    state.commit_index = state.applied_index = log.snapshot_index
    state.synced_index = log.last_index
    # No leader is being followed yet; a follower of one refuses the pre-vote.
    state.campaign_at = state.timers.now() + state.rng.uniform(*FIRST_ELECTION_S)


def restore_machine(state: GroupState, snapshot: StoredSnapshot) -> None:
    """
    Replace the state of the machine.

    Parameters
    ----------
    state : GroupState
        The group.
    snapshot : StoredSnapshot
        State after an index that is not before the applied one.
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
    Wait a random election timeout before the next campaign.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    state.campaign_at = state.timers.now() + state.rng.uniform(*ELECTION_TIMEOUT_S)


def hear_leader(state: GroupState, leader: str) -> None:
    """
    Note a message of the leader of the current term.

    Parameters
    ----------
    state : GroupState
        The group.
    leader : str
        Its host.
    """
    state.last_heard = state.timers.now()
    reset_campaign(state)
    if state.leader != leader:
        state.leader = leader
        state.changed.notify()


def step_down(state: GroupState, why: str) -> None:
    """
    Become a follower; ends the tasks of a leader and its proposals.

    Parameters
    ----------
    state : GroupState
        The group.
    why : str
        Reason, for the log.
    """
    was_leader = state.role == LEADER
    state.role = FOLLOWER
    if not was_leader:
        return
    state.leader = None
    state.leader_scope.cancel()
    state.transferring = False
    state.peers = {}
    reset_campaign(state)
    for proposal in state.queue:
        proposal.resolve(state.failure(Reason.NOT_LEADER, RunState.NOT_RUN, "propose", why))
    state.queue.clear()
    for proposal in state.waiting.values():
        proposal.resolve(
            state.failure(Reason.UNKNOWN_OUTCOME, RunState.MAY_HAVE_RUN, "propose", why)
        )
    state.waiting.clear()
    state.report("step_down", why, term=state.term)
    for signal in (state.changed, state.confirmed, state.applied):
        signal.notify()


def stop_group(state: GroupState, failure: Failure) -> None:
    """
    Stop taking part after a failure of the disk.

    Parameters
    ----------
    state : GroupState
        The group.
    failure : Failure
        What happened; every later call returns it.
    """
    if state.stopped is not None:
        return
    state.stopped = failure
    step_down(state, str(failure))
    state.leader = None
    state.report("stop_group", str(failure))
    state.changed.notify()


def check_disk(state: GroupState, result: None | Failure) -> Failure | None:
    """
    Stop the group if a result of the disk is not just a lack of room.

    Parameters
    ----------
    state : GroupState
        The group.
    result : None or Failure
        Result of a call of the disk.

    Returns
    -------
    Failure or None
        The result.
    """
    if isinstance(result, Failure) and result.reason is not Reason.DISK_FULL:
        stop_group(state, result)
    return result


async def adopt_term(
    state: GroupState, term: int, why: str, *, voted_for: str = ""
) -> None | Failure:
    """
    Move on to a newer term as a follower, and vote in it; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term seen in a message.
    why : str
        Reason, for the log.
    voted_for : str
        Storage id to vote for, also in the current term; empty for none.

    Returns
    -------
    None or Failure
        The failure of the disk; the term is not adopted then.
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


async def learn_term(state: GroupState, term: int, why: str) -> None:
    """
    Move on to a newer term that was seen in a reply.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term of the reply.
    why : str
        Reason, for the log.
    """
    if term <= state.term:
        return
    # A reply with a newer term ends the leadership at once, before the disk is waited for.
    step_down(state, why)
    # Shielded from the end of the leader's tasks, one of which calls this.
    state.nursery.start_soon(adopt_later, state, term, why)


async def adopt_later(state: GroupState, term: int, why: str) -> None:
    """Adopt a term under the lock; see `adopt_term`."""
    async with state.lock:
        await adopt_term(state, term, why)


def quorum_of(state: GroupState) -> int:
    """
    Return the number of voters that make a quorum.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        More than half of the voters.
    """
    return len(state.log.voters) // 2 + 1


def quorum_value(
    state: GroupState, own: float, value_of: dict[str, float], missing: float
) -> float:
    """
    Return the largest value that a quorum of voters has reached.

    Parameters
    ----------
    state : GroupState
        The group.
    own : float
        Value of this host.
    value_of : dict
        Value by the storage id of the other hosts.
    missing : float
        Value of a voter that is not among them.

    Returns
    -------
    float
        At least a quorum of voters has this value or a larger one.
    """
    values = [
        own if member.storage_id == state.storage_id else value_of.get(member.storage_id, missing)
        for member in state.log.voters
    ]
    values.sort(reverse=True)
    return values[quorum_of(state) - 1] if values else missing


def voter_of(voters: list[Member], host: str) -> Member | None:
    """
    Return the voter on a host.

    Parameters
    ----------
    voters : list of Member
        A member list.
    host : str
        Name of the host.

    Returns
    -------
    Member or None
        None if the host has no vote.
    """
    return next((member for member in voters if member.host == host), None)


def same_voters(one: list[Member], other: list[Member]) -> bool:
    """
    Compare two member lists without regard to their order.

    Parameters
    ----------
    one, other : list of Member
        The lists.

    Returns
    -------
    bool
        True if the same logs vote.

    Examples
    --------
    >>> a, b = Member(host="a", storage_id="1"), Member(host="b", storage_id="2")
    >>> same_voters([a, b], [b, a])
    True
    """
    return sorted((m.host, m.storage_id) for m in one) == sorted(
        (m.host, m.storage_id) for m in other
    )

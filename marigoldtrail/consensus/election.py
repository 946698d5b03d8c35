"""Elections: pre-vote, vote, check of the quorum, transfer of leadership."""

from __future__ import annotations

import trio

from marigoldtrail.consensus.log import NO_OPERATION
from marigoldtrail.consensus.membership import maintain_members
from marigoldtrail.consensus.parts import Proposal
from marigoldtrail.consensus.replication import (
    build_peers,
    keep_heard,
    make_peer,
    quorum_heard_at,
    replicate,
)
from marigoldtrail.consensus.state import (
    CANDIDATE,
    CHECK_QUORUM_S,
    ELECTION_TIMEOUT_S,
    FOLLOWER,
    HEARTBEAT_S,
    LEADER,
    GroupState,
    adopt_term,
    check_disk,
    learn_term,
    quorum_of,
    reset_campaign,
    step_down,
)
from marigoldtrail.errors import Failure
from marigoldtrail.schema.generated.consensus import (
    CampaignNow,
    CampaignReply,
    Member,
    RequestVote,
    VoteReply,
)

PRE_VOTE_TIMEOUT_S = 0.5
# A vote is answered after it has been written to a disk, which may be slow.
VOTE_TIMEOUT_S = 2.0
# A refused pre-vote costs little: another follower may have heard the old leader a little later.
RETRY_S = (0.1, 0.5)


async def run_elections(state: GroupState) -> None:
    """
    Campaign when there is no leader; step down as leader without a quorum.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while state.stopped is None:
        now = state.timers.now()
        if state.role == LEADER:
            due = quorum_heard_at(state) + CHECK_QUORUM_S
            if now >= due:
                step_down(state, "no quorum was heard in time")
            else:
                await state.changed.wait_for(due - now)
        elif now < state.campaign_at:
            # The time moves on with each heartbeat; nothing needs to wake this task.
            await state.timers.sleep_until(state.campaign_at)
        else:
            await lose_leader(state)


async def lose_leader(state: GroupState) -> None:
    """
    Campaign after the leader has been silent for an election timeout.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    if state.leader is not None:
        state.leader = None
        state.changed.notify()
    reset_campaign(state)
    if not state.is_voter:
        return
    before = (state.term, state.last_heard)
    won = await gather_votes(state, state.term + 1, pre_vote=True, transfer=False)
    if (state.term, state.last_heard) != before:
        # A leader or a newer term has shown up; the campaign is put off already.
        return
    if won:
        await campaign(state)
        # After a split vote: slow disks need the whole spread of the election timeout.
        reset_campaign(state)
    else:
        state.campaign_at = state.timers.now() + state.rng.uniform(*RETRY_S)


async def campaign(state: GroupState, *, transfer: bool = False) -> None:
    """
    Try to become leader; a pre-vote has succeeded, or the leader has asked for it.

    Parameters
    ----------
    state : GroupState
        The group.
    transfer : bool
        Whether the leader asked for it.
    """
    term, heard = state.term, state.last_heard
    async with state.lock:
        if state.term != term or state.role == LEADER or state.last_heard != heard:
            return
        if state.stopped is not None or not state.is_voter:
            return
        saved = check_disk(state, await state.store.save_vote(term + 1, state.storage_id))
        if isinstance(saved, Failure):
            return
        state.term = term + 1
        state.role = CANDIDATE
        state.leader = None
    won = await gather_votes(state, term + 1, pre_vote=False, transfer=transfer)
    if state.term != term + 1 or state.role != CANDIDATE:
        return
    if won:
        become_leader(state)
    else:
        state.role = FOLLOWER


async def gather_votes(state: GroupState, term: int, *, pre_vote: bool, transfer: bool) -> bool:
    """
    Ask all voters for their vote.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term to lead.
    pre_vote : bool
        Whether to ask only if the vote would be granted.
    transfer : bool
        Whether the leader asked for the election.

    Returns
    -------
    bool
        True if a quorum has granted it.
    """
    needed = quorum_of(state)
    others = [m for m in state.log.voters if m.storage_id != state.storage_id]
    granted = {state.storage_id}
    timeout_s = PRE_VOTE_TIMEOUT_S if pre_vote else VOTE_TIMEOUT_S
    request = RequestVote(
        group=state.name,
        term=term,
        candidate=state.host,
        candidate_id=state.storage_id,
        target_id="",
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
        transfer=transfer,
    )

    async def ask(member: Member, scope: trio.CancelScope) -> None:
        if member.host not in state.addresses:
            return
        request_to = RequestVote(
            **{field: getattr(request, field) for field in request.__struct_fields__}
        )
        request_to.target_id = member.storage_id
        reply = await state.client.call(
            state.addresses[member.host], request_to, VoteReply, timeout_s=timeout_s
        )
        if isinstance(reply, Failure) or reply.storage_id != member.storage_id:
            return
        if reply.granted:
            granted.add(member.storage_id)
        elif reply.term > state.term:
            await learn_term(state, reply.term, f"{member.host} is in a newer term")
        if len(granted) >= needed:
            scope.cancel()

    if len(granted) < needed:
        async with trio.open_nursery() as nursery:
            for member in others:
                nursery.start_soon(ask, member, nursery.cancel_scope)
    return len(granted) >= needed


def become_leader(state: GroupState) -> None:
    """
    Begin to lead the current term.

    Parameters
    ----------
    state : GroupState
        The group; it has won the election.
    """
    state.role = LEADER
    state.leader = state.host
    state.peers = build_peers(state)
    state.first_of_term = 0
    state.transferring = False
    state.round += 1
    state.round_taken = False
    state.leader_scope = trio.CancelScope()
    # The entry commits those of earlier terms, which cannot be committed by counting.
    state.queue.append(Proposal(kind=NO_OPERATION, payload=b""))
    state.proposed.notify()
    state.report("lead", "won the election", term=state.term)
    state.changed.notify()
    state.nursery.start_soon(run_leadership, state, state.term, state.leader_scope)


async def run_leadership(state: GroupState, term: int, scope: trio.CancelScope) -> None:
    """
    Run the tasks of a leader until it steps down.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    scope : trio.CancelScope
        Cancelled when it steps down.
    """
    with scope:
        async with trio.open_nursery() as nursery:
            state.leader_nursery = nursery
            try:
                for peer in state.peers.values():
                    nursery.start_soon(replicate, state, peer, term)
                    nursery.start_soon(keep_heard, state, peer, term)
                await maintain_members(state, term)
            finally:
                state.leader_nursery = None


def start_peer(state: GroupState, host: str) -> None:
    """
    Begin to replicate to a host that became known while this host leads.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    host : str
        Name of the other host.
    """
    if state.leader_nursery is None or host not in state.addresses:
        # The tasks of the leadership start with all hosts known by then.
        return
    peer = make_peer(state, host)
    state.peers[host] = peer
    state.leader_nursery.start_soon(replicate, state, peer, state.term)
    state.leader_nursery.start_soon(keep_heard, state, peer, state.term)


async def handle_vote(state: GroupState, req: RequestVote) -> VoteReply | Failure:
    """
    Decide on a vote.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The request.

    Returns
    -------
    VoteReply or Failure
        The failure of the disk.
    """
    if state.stopped is not None:
        return state.stopped
    if req.target_id != state.storage_id:
        return vote_reply(state, False)
    if not req.transfer and hears_leader(state):
        return vote_reply(state, False)
    if req.pre_vote:
        return vote_reply(state, req.term > state.term and is_up_to_date(state, req))
    async with state.lock:
        if state.stopped is not None:
            return state.stopped
        if req.term < state.term or has_voted_otherwise(state, req):
            return vote_reply(state, False)
        why = f"{req.candidate} campaigns in a newer term"
        if not is_up_to_date(state, req):
            adopted = await adopt_term(state, req.term, why)
            return adopted if isinstance(adopted, Failure) else vote_reply(state, False)
        # Term and vote in one write.
        adopted = await adopt_term(state, req.term, why, voted_for=req.candidate_id)
        if isinstance(adopted, Failure):
            return adopted
        reset_campaign(state)
        return vote_reply(state, True)


def has_voted_otherwise(state: GroupState, req: RequestVote) -> bool:
    """
    Tell whether this host has given its vote in a term to another candidate.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The candidate's request.

    Returns
    -------
    bool
        True if it has.
    """
    vote = state.store.vote
    return vote.term == req.term and vote.voted_for not in ("", req.candidate_id)


def vote_reply(state: GroupState, granted: bool) -> VoteReply:
    """
    Build a reply.

    Parameters
    ----------
    state : GroupState
        The group.
    granted : bool
        Whether the vote is granted.

    Returns
    -------
    VoteReply
        The reply.
    """
    return VoteReply(term=state.term, storage_id=state.storage_id, granted=granted)


def hears_leader(state: GroupState) -> bool:
    """
    Tell whether a leader has been heard within the shortest election timeout.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    bool
        True if this host leads or follows; it refuses votes then, so that a host that was isolated
        does not disturb the others.
    """
    if state.role == LEADER:
        return True
    return state.timers.now() < state.last_heard + ELECTION_TIMEOUT_S[0]


def is_up_to_date(state: GroupState, req: RequestVote) -> bool:
    """
    Tell whether a candidate's log has all that this host's log has.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The candidate's request.

    Returns
    -------
    bool
        True if its last entry is not older.
    """
    own = (state.log.last_term, state.log.last_index)
    return (req.last_term, req.last_index) >= own


async def transfer_leadership(state: GroupState, *, timeout_s: float) -> bool:
    """
    Hand the leadership to the most up-to-date follower.

    Parameters
    ----------
    state : GroupState
        The group.
    timeout_s : float
        Longest wait in seconds.

    Returns
    -------
    bool
        True if this host does not lead any more.
    """
    if state.role != LEADER:
        return True
    term = state.term
    # New proposals are refused from here on, so that the follower can catch up.
    state.transferring = True
    with trio.move_on_after(timeout_s):
        while state.leads(term):
            await hand_over(state, term)
            await state.changed.wait_for(HEARTBEAT_S)
    if state.leads(term):
        state.transferring = False
        return False
    return True


async def hand_over(state: GroupState, term: int) -> None:
    """
    Ask the most up-to-date follower to campaign, once it has the whole log.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    """
    voters = {member.storage_id for member in state.log.voters}
    peers = [peer for peer in state.peers.values() if peer.storage_id in voters]
    if not peers:
        return
    peer = max(peers, key=lambda peer: (peer.match_index, peer.heard_at))
    if state.queue or peer.match_index < state.log.last_index:
        return
    if state.applied_index < state.log.last_index:
        # The proposers still wait for their results.
        return
    request = CampaignNow(group=state.name, term=term, target_id=peer.storage_id)
    await state.client.call(
        state.addresses[peer.host], request, CampaignReply, timeout_s=PRE_VOTE_TIMEOUT_S
    )


async def handle_campaign(state: GroupState, req: CampaignNow) -> CampaignReply | Failure:
    """
    Start an election because the leader asks for it.

    Parameters
    ----------
    state : GroupState
        The group.
    req : CampaignNow
        The request.

    Returns
    -------
    CampaignReply or Failure
        The failure that stopped the group.
    """
    if state.stopped is not None:
        return state.stopped
    started = (
        req.target_id == state.storage_id and req.term == state.term and state.role == FOLLOWER
    )
    if started:
        state.nursery.start_soon(run_transfer, state)
    return CampaignReply(storage_id=state.storage_id, started=started)


async def run_transfer(state: GroupState) -> None:
    """Campaign because the leader asked for it; see `campaign`."""
    await campaign(state, transfer=True)

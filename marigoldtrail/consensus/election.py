"""Run elections: pre-vote, vote, quorum check and leadership transfer."""

from __future__ import annotations

import itertools

import trio

from marigoldtrail.consensus.log import NO_OPERATION
from marigoldtrail.consensus.membership import maintain_members
from marigoldtrail.consensus.primitives import Proposal
from marigoldtrail.consensus.quorum import get_quorum_size
from marigoldtrail.consensus.replication import (
    build_peers,
    get_quorum_contact_time,
    make_peer,
    replicate,
    send_heartbeats_while_blocked,
)
from marigoldtrail.consensus.state import (
    CANDIDATE,
    CHECK_QUORUM_S,
    ELECTION_TIMEOUT_S,
    FOLLOWER,
    HEARTBEAT_S,
    LEADER,
    NO_CAMPAIGN,
    PRE_VOTE,
    VOTE,
    GroupState,
    adopt_newer_term,
    adopt_term,
    check_disk,
    check_room,
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
# A voter replies after it has written its vote to disk, which may be slow.
VOTE_TIMEOUT_S = 2.0
# Repeating a refused pre-vote is cheap; the refusal may come from a follower that had contact with
# the old leader slightly later.
PRE_VOTE_RETRY_S = (0.1, 0.5)
# A second request to the same follower covers one that was lost.
ATTEMPTS_PER_SUCCESSOR = 2


async def run_elections(state: GroupState) -> None:
    """
    Campaign when there is no leader; step down as leader without contact to a quorum.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while True:
        now = state.timers.now()
        if state.stop_failure is not None:
            await state.changed.wait()
        elif state.role == LEADER:
            due = get_quorum_contact_time(state) + CHECK_QUORUM_S
            if now >= due:
                step_down(state, "no quorum was heard in time")
            else:
                await state.changed.wait_with_timeout(due - now)
        elif now < state.campaign_at:
            # Each heartbeat only postpones `campaign_at`, so this task need not be woken early.
            await state.timers.sleep_until(state.campaign_at)
        else:
            await campaign_without_leader(state)


async def campaign_without_leader(state: GroupState) -> None:
    """
    Run a pre-vote, then a campaign, after an election time-out without contact to a leader.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    if state.leader is not None:
        state.leader = None
        state.changed.notify()
    reset_campaign(state)
    if not state.is_voter or not state.may_campaign:
        return
    before = (state.term, state.leader_contact_at)
    state.campaign_step = PRE_VOTE
    won = await request_votes(state, state.term + 1, pre_vote=True, transfer=False)
    state.campaign_step = NO_CAMPAIGN
    if (state.term, state.leader_contact_at) != before:
        # A leader or a newer term has appeared, which has already postponed the campaign.
        return
    if won:
        state.campaign_step = VOTE
        await campaign(state)
        state.campaign_step = NO_CAMPAIGN
        # After a split vote, slow disks need the full range of the election time-out.
        reset_campaign(state)
    else:
        state.campaign_at = state.timers.now() + state.rng.uniform(*PRE_VOTE_RETRY_S)


async def campaign(state: GroupState, *, transfer: bool = False) -> None:
    """
    Request votes for a new term, after a successful pre-vote or at the request of the leader.

    Parameters
    ----------
    state : GroupState
        The group.
    transfer : bool
        Whether the leader has requested the campaign.
    """
    term, contact_at = state.term, state.leader_contact_at
    async with state.lock:
        if state.term != term or state.role == LEADER or state.leader_contact_at != contact_at:
            return
        if state.stop_failure is not None or not state.is_voter:
            return
        if transfer and not await check_room(state):
            return
        saved = check_disk(state, await state.store.save_vote(term + 1, state.storage_id))
        if isinstance(saved, Failure):
            return
        state.term = term + 1
        state.role = CANDIDATE
        state.leader = None
    won = await request_votes(state, term + 1, pre_vote=False, transfer=transfer)
    if state.term != term + 1 or state.role != CANDIDATE:
        return
    if won:
        become_leader(state)
    else:
        state.role = FOLLOWER


async def request_votes(state: GroupState, term: int, *, pre_vote: bool, transfer: bool) -> bool:
    """
    Request the votes of all voters.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term of the candidacy.
    pre_vote : bool
        Whether this is a pre-vote: the voters only state whether they would grant the vote.
    transfer : bool
        Whether the leader has requested the election.

    Returns
    -------
    bool
        True if a quorum has granted the vote.
    """
    needed = get_quorum_size(state)
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
            await adopt_newer_term(state, reply.term, f"{member.host} is in a newer term")
        if len(granted) >= needed:
            scope.cancel()

    if len(granted) < needed:
        async with trio.open_nursery() as nursery:
            for member in others:
                nursery.start_soon(ask, member, nursery.cancel_scope)
    return len(granted) >= needed


def become_leader(state: GroupState) -> None:
    """
    Become leader of the current term and start its tasks.

    Parameters
    ----------
    state : GroupState
        The group; this host has won the election.
    """
    state.role = LEADER
    state.leader = state.host
    state.peers = build_peers(state)
    state.term_start_index = 0
    state.transfers = 0
    state.read_round += 1
    state.is_read_round_sent = False
    state.leader_scope = trio.CancelScope()
    # Committing this entry also commits those of earlier terms, which counting alone cannot.
    state.queue.append(Proposal(kind=NO_OPERATION, payload=b""))
    state.proposed.notify()
    state.report("lead", "won the election", term=state.term)
    state.changed.notify()
    state.nursery.start_soon(run_leadership, state, state.term, state.leader_scope)


async def run_leadership(state: GroupState, term: int, scope: trio.CancelScope) -> None:
    """
    Run the leader's tasks until it steps down.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    scope : trio.CancelScope
        Cancelled when the leader steps down.
    """
    with scope:
        async with trio.open_nursery() as nursery:
            state.leader_nursery = nursery
            try:
                for peer in state.peers.values():
                    nursery.start_soon(replicate, state, peer, term)
                    nursery.start_soon(send_heartbeats_while_blocked, state, peer, term)
                await maintain_members(state, term)
            finally:
                state.leader_nursery = None


def start_replication(state: GroupState, host: str) -> None:
    """
    Start replication to a host that was added while this host leads.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    host : str
        Name of the other host.
    """
    if state.leader_nursery is None or host not in state.addresses:
        # A later leadership starts its tasks with all hosts known by then.
        return
    peer = make_peer(state, host)
    state.peers[host] = peer
    state.leader_nursery.start_soon(replicate, state, peer, state.term)
    state.leader_nursery.start_soon(send_heartbeats_while_blocked, state, peer, state.term)


async def handle_vote(state: GroupState, req: RequestVote) -> VoteReply | Failure:
    """
    Decide on a vote or pre-vote.

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
    if state.stop_failure is not None:
        return state.stop_failure
    if req.target_id != state.storage_id:
        return build_vote_reply(state, False)
    if not req.transfer and has_recent_leader_contact(state):
        return build_vote_reply(state, False)
    if req.pre_vote:
        is_electable = req.term > state.term and is_up_to_date(state, req)
        return build_vote_reply(state, is_electable and not is_rival(state, req))
    async with state.lock:
        if state.stop_failure is not None:
            return state.stop_failure
        if req.term < state.term or has_voted_for_other(state, req):
            return build_vote_reply(state, False)
        # Without room at a quorum, a new leader could not commit the first entry of its term, and
        # nothing could be read.
        if req.transfer and not await check_room(state):
            return build_vote_reply(state, False)
        why = f"{req.candidate} campaigns in a newer term"
        if not is_up_to_date(state, req):
            adopted = await adopt_term(state, req.term, why)
            return adopted if isinstance(adopted, Failure) else build_vote_reply(state, False)
        # One write saves both term and vote.
        adopted = await adopt_term(state, req.term, why, voted_for=req.candidate_id)
        if isinstance(adopted, Failure):
            return adopted
        reset_campaign(state)
        return build_vote_reply(state, True)


def has_voted_for_other(state: GroupState, req: RequestVote) -> bool:
    """
    Tell whether this host has voted for another candidate in the term of the request.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The candidate's request.

    Returns
    -------
    bool
        True if another candidate has the vote.
    """
    vote = state.store.vote
    return vote.term == req.term and vote.voted_for not in ("", req.candidate_id)


def build_vote_reply(state: GroupState, granted: bool) -> VoteReply:
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


def has_recent_leader_contact(state: GroupState) -> bool:
    """
    Tell whether there was contact with a leader within the shortest election time-out.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    bool
        True if this host is the leader or follows one; it then refuses votes, so that a host that
        was isolated does not depose the leader.
    """
    if state.role == LEADER:
        return True
    return state.timers.now() < state.leader_contact_at + ELECTION_TIMEOUT_S[0]


def is_rival(state: GroupState, req: RequestVote) -> bool:
    """
    Tell whether a pre-vote is refused in favour of this host's own campaign at the same time.

    If both hosts went on to ask for votes, these could split, and the next campaign would come
    seconds later.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The candidate's request.

    Returns
    -------
    bool
        True if this host asks for votes already, or if both ask for pre-votes and this one has the
        later log or, with equal logs, the higher storage id.
    """
    if state.campaign_step != PRE_VOTE:
        return state.campaign_step == VOTE
    own = (state.log.last_term, state.log.last_index, state.storage_id)
    return own > (req.last_term, req.last_index, req.candidate_id)


def is_up_to_date(state: GroupState, req: RequestVote) -> bool:
    """
    Tell whether a candidate's log is at least as up to date as this host's log.

    Parameters
    ----------
    state : GroupState
        The group.
    req : RequestVote
        The candidate's request.

    Returns
    -------
    bool
        True if its last term and index are not lower.
    """
    own = (state.log.last_term, state.log.last_index)
    return (req.last_term, req.last_index) >= own


async def transfer_leadership(state: GroupState, *, timeout_s: float) -> bool:
    """
    Transfer the leadership to the most up-to-date follower.

    Parameters
    ----------
    state : GroupState
        The group.
    timeout_s : float
        Time-out in seconds.

    Returns
    -------
    bool
        True if this host no longer leads.
    """
    if state.role != LEADER:
        return True
    term = state.term
    # New proposals are refused from here on, so that the follower can catch up.
    state.transfers += 1
    with trio.move_on_after(timeout_s):
        for attempt in itertools.count():
            if not state.is_leader_in(term):
                break
            await request_transfer(state, term, attempt // ATTEMPTS_PER_SUCCESSOR)
            await state.changed.wait_with_timeout(HEARTBEAT_S)
    if state.is_leader_in(term):
        state.transfers -= 1
        return False
    return True


async def request_transfer(state: GroupState, term: int, turn: int) -> None:
    """
    Ask a follower that has the whole log to campaign.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    turn : int
        Number of followers that were asked before and did not take over, for example because their
        disks are full.
    """
    if state.queue or state.applied_index < state.log.last_index:
        # Some proposers are still waiting for their results.
        return
    voters = {member.storage_id for member in state.log.voters}
    peers = [
        peer
        for peer in state.peers.values()
        if peer.storage_id in voters
        and peer.match_index >= state.log.last_index
        and peer.host not in state.leaving
    ]
    if not peers:
        return
    peers.sort(key=lambda peer: peer.last_contact_at, reverse=True)
    peer = peers[turn % len(peers)]
    request = CampaignNow(group=state.name, term=term, target_id=peer.storage_id)
    await state.client.call(
        state.addresses[peer.host], request, CampaignReply, timeout_s=PRE_VOTE_TIMEOUT_S
    )


async def handle_campaign(state: GroupState, req: CampaignNow) -> CampaignReply | Failure:
    """
    Start an election at the request of the leader.

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
    if state.stop_failure is not None:
        return state.stop_failure
    started = (
        req.target_id == state.storage_id
        and req.term == state.term
        and state.role == FOLLOWER
        and state.may_campaign
    )
    if started:
        state.nursery.start_soon(run_transfer, state)
    return CampaignReply(storage_id=state.storage_id, started=started)


async def run_transfer(state: GroupState) -> None:
    """Campaign at the request of the leader; see `campaign`."""
    await campaign(state, transfer=True)

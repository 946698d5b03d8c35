"""Add, replace and remove voters, one committed change at a time."""

from __future__ import annotations

from marigoldtrail.consensus.log import MEMBERS, encode_voters
from marigoldtrail.consensus.primitives import Peer, Proposal
from marigoldtrail.consensus.state import CHECK_QUORUM_S, HEARTBEAT_S, GroupState, find_voter
from marigoldtrail.schema.generated.consensus import Member

# A group with fewer voters could not tolerate the loss of one.
MIN_REMAINING_VOTERS = 3


async def maintain_members(state: GroupState, term: int) -> None:
    """
    Add missing hosts, remove replaced storage ids and unreachable voters.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    """
    while state.is_leader_in(term):
        await state.timers.sleep(HEARTBEAT_S)
        # The leadership may have ended during the sleep.
        if not state.is_leader_in(term) or not may_change(state):
            continue
        change = choose_change(state)
        if change is None:
            continue
        voters, why = change
        state.report("change_members", why, voters=[f"{m.host}/{m.storage_id}" for m in voters])
        proposal = Proposal(kind=MEMBERS, payload=encode_voters(voters))
        state.queue.append(proposal)
        state.proposed.notify()
        await proposal.done.wait()


def may_change(state: GroupState) -> bool:
    """
    Tell whether the member list may change now.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    bool
        True if the last change and an entry of the leader's own term are committed, and no
        proposal is queued.
    """
    committed_own = 0 < state.term_start_index <= state.commit_index
    return (
        committed_own
        and not state.is_transferring
        and not state.queue
        and state.log.voters_index <= state.commit_index
    )


def choose_change(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose the next change of the member list.

    A missing host is added before another one is removed, so that at most one voter is missing.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None if no change is needed.
    """
    voters = state.log.voters
    ready = [peer for peer in state.peers.values() if holds_complete_state(state, peer)]
    for peer in ready:
        if peer.host in state.hosts and find_voter(voters, peer.host) is None:
            member = Member(host=peer.host, storage_id=peer.storage_id)
            return [*voters, member], f"add {peer.host}"
    for peer in ready:
        member_now = find_voter(voters, peer.host)
        if member_now is not None and member_now.storage_id != peer.storage_id:
            remaining = [member for member in voters if member is not member_now]
            return remaining, f"remove the old identity of {peer.host}"
    return choose_removal(state)


def choose_removal(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose a voter to remove because its host has been unreachable for too long.

    A permanently lost host would otherwise count towards the quorum forever. The host becomes a
    voter again after it is back in contact and added with `Group.add_host`.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None unless at least `MIN_REMAINING_VOTERS` others remain
        and all of them are reachable and complete.
    """
    if state.unreachable_removal_s is None:
        return None
    voters = state.log.voters
    now = state.timers.now()
    for member in voters:
        peer = state.peers.get(member.host)
        if member.host == state.host or peer is None:
            continue
        if now < peer.last_contact_at + state.unreachable_removal_s:
            continue
        others = [other for other in voters if other is not member]
        if len(others) >= MIN_REMAINING_VOTERS and all(
            is_reachable_and_complete(state, other) for other in others
        ):
            if member.host in state.hosts:
                state.hosts.remove(member.host)
            return others, f"remove {member.host}: silent for {now - peer.last_contact_at:.1f} s"
    return None


def is_reachable_and_complete(state: GroupState, member: Member) -> bool:
    """
    Tell whether a voter is this host, or is reachable and has all committed entries.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    member : Member
        The voter.

    Returns
    -------
    bool
        True if either holds.
    """
    if member.host == state.host:
        return True
    peer = state.peers.get(member.host)
    return peer is not None and holds_complete_state(state, peer)


def holds_complete_state(state: GroupState, peer: Peer) -> bool:
    """
    Tell whether a host is reachable and has all committed entries and their data.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    peer : Peer
        The host.

    Returns
    -------
    bool
        True if both hold.
    """
    is_reachable = state.timers.now() < peer.last_contact_at + CHECK_QUORUM_S
    has_log = bool(peer.storage_id) and peer.match_index >= state.commit_index
    return is_reachable and has_log and peer.is_complete


def list_learners(state: GroupState) -> list[str]:
    """
    Return the hosts that receive the log without being voters, as known to this host.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    list of str
        Names of hosts, sorted.
    """
    voting = {member.storage_id for member in state.log.voters}
    learners = {
        peer.host
        for peer in state.peers.values()
        if peer.storage_id and peer.storage_id not in voting
    }
    if not state.is_voter:
        learners.add(state.host)
    return sorted(learners)

"""Replacement of voters, one committed change at a time."""

from __future__ import annotations

from marigoldtrail.consensus.log import MEMBERS, encode_voters
from marigoldtrail.consensus.parts import Peer, Proposal
from marigoldtrail.consensus.state import CHECK_QUORUM_S, HEARTBEAT_S, GroupState, voter_of
from marigoldtrail.schema.generated.consensus import Member

# A group of fewer voters could not lose one.
LEAST_VOTERS = 3


async def maintain_members(state: GroupState, term: int) -> None:
    """
    Replace the identities of hosts that came back with another log.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    """
    while state.leads(term):
        await state.timers.sleep(HEARTBEAT_S)
        # The leadership may have ended between the end of the sleep and this step.
        if not state.leads(term) or not may_change(state):
            continue
        change = next_change(state)
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
        True if the last change is committed and so is an entry of the leader's own term.
    """
    committed_own = 0 < state.first_of_term <= state.commit_index
    return (
        committed_own
        and not state.transferring
        and not state.queue
        and state.log.voters_index <= state.commit_index
    )


def next_change(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose the next member list.

    A missing host is added before another one is removed, so that at most one vote is missing.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None if nothing is to change.
    """
    voters = state.log.voters
    ready = [peer for peer in state.peers.values() if holds_complete_state(state, peer)]
    for peer in ready:
        if peer.host in state.hosts and voter_of(voters, peer.host) is None:
            member = Member(host=peer.host, storage_id=peer.storage_id)
            return [*voters, member], f"add {peer.host}"
    for peer in ready:
        member_now = voter_of(voters, peer.host)
        if member_now is not None and member_now.storage_id != peer.storage_id:
            remaining = [member for member in voters if member is not member_now]
            return remaining, f"remove the old identity of {peer.host}"
    return remove_silent(state)


def remove_silent(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose a voter to remove because its host has been silent for long.

    A machine that is gone for good would otherwise count towards the quorum for ever. The host
    gets its vote back once it is heard again.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None unless at least `LEAST_VOTERS` others remain and all of
        them are heard and complete.
    """
    if state.silent_removal_s is None:
        return None
    voters = state.log.voters
    now = state.timers.now()
    for member in voters:
        peer = state.peers.get(member.host)
        if member.host == state.host or peer is None:
            continue
        if now < peer.heard_at + state.silent_removal_s:
            continue
        others = [other for other in voters if other is not member]
        if len(others) >= LEAST_VOTERS and all(is_sound(state, other) for other in others):
            if member.host in state.hosts:
                state.hosts.remove(member.host)
            return others, f"remove {member.host}: silent for {now - peer.heard_at:.1f} s"
    return None


def is_sound(state: GroupState, member: Member) -> bool:
    """
    Tell whether a voter is this host, or reachable with all that is committed.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    member : Member
        The voter.

    Returns
    -------
    bool
        True if it is.
    """
    if member.host == state.host:
        return True
    peer = state.peers.get(member.host)
    return peer is not None and holds_complete_state(state, peer)


def holds_complete_state(state: GroupState, peer: Peer) -> bool:
    """
    Tell whether a host has all that is committed and is reachable.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    peer : Peer
        The host.

    Returns
    -------
    bool
        True if it does.
    """
    heard = state.timers.now() < peer.heard_at + CHECK_QUORUM_S
    has_log = bool(peer.storage_id) and peer.match_index >= state.commit_index
    return heard and has_log and peer.is_complete


def learners_of(state: GroupState) -> list[str]:
    """
    Return the hosts that receive the log without a vote, as far as this host knows.

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

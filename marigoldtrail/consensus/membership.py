"""Add, replace and remove voters, one committed change at a time."""

from __future__ import annotations

import logging

from marigoldtrail.consensus.log import MEMBERS, encode_voters
from marigoldtrail.consensus.primitives import Peer, Proposal
from marigoldtrail.consensus.quorum import find_voter
from marigoldtrail.consensus.state import CHECK_QUORUM_S, HEARTBEAT_S, GroupState
from marigoldtrail.schema.generated.consensus import Member

# A host that has left is no longer called after this time.
LEARNER_RETENTION_S = 10.0

_log = logging.getLogger(__name__)


async def maintain_members(state: GroupState, term: int) -> None:
    """
    Add missing hosts; remove replaced storage ids, hosts that leave and unreachable voters.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term in which this host leads.
    """
    missing: list[str] = []
    while state.is_leader_in(term):
        await state.timers.sleep(HEARTBEAT_S)
        # The leadership may have ended during the sleep.
        if not state.is_leader_in(term):
            return
        missing = report_missing(state, missing)
        forget_absent_learners(state)
        if not may_change(state):
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

    The loss of a voter is made good by two changes: its removal and the addition of another host.
    Until both are committed, a further loss costs part of the majority for good, so that neither
    waits for the other. The removal comes first, since it depends on no further host.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None if no change is needed.
    """
    return choose_removal(state) or choose_addition(state) or choose_replaced_identity(state)


def choose_addition(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose a host to add that holds the complete state.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None if there is no such host.
    """
    voters = state.log.voters
    for peer in state.peers.values():
        is_wanted = peer.host in state.hosts and find_voter(voters, peer.host) is None
        if is_wanted and holds_complete_state(state, peer):
            member = Member(host=peer.host, storage_id=peer.storage_id)
            return [*voters, member], f"add {peer.host}"
    return None


def choose_replaced_identity(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose a voter to remove because its host has caught up with a new log.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None if there is no such voter.
    """
    voters = state.log.voters
    for member in voters:
        peer = state.peers.get(member.host)
        if peer is None or peer.storage_id == member.storage_id:
            continue
        if holds_complete_state(state, peer):
            remaining = [other for other in voters if other is not member]
            return remaining, f"remove the old identity of {peer.host}"
    return None


def choose_removal(state: GroupState) -> tuple[list[Member], str] | None:
    """
    Choose a voter to remove because it is lost or about to stop.

    A lost voter would otherwise count towards the quorum forever. Other lost voters are no reason
    to keep it: each removal shrinks the quorum that the remaining ones must form. A host that was
    only cut off becomes a voter again after it has reported and was added with `Group.add_host`.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    tuple or None
        The new voters and the reason; None unless `min_voters` others remain, of which those that
        are reachable and complete are a majority of the present list and of the new one.
    """
    if state.unreachable_removal_s is None:
        return None
    voters = state.log.voters
    if len(voters) <= state.min_voters:
        return None
    for member in sorted(voters, key=lambda member: get_silent_since(state, member)):
        why = find_removal_reason(state, member)
        if why is None:
            continue
        others = [other for other in voters if other is not member]
        live = sum(is_reachable_and_complete(state, other) for other in others)
        if live > len(voters) // 2:
            if member.host in state.hosts:
                state.hosts.remove(member.host)
            return others, f"remove {member.host}: {why}"
    return None


def get_silent_since(state: GroupState, member: Member) -> float:
    """
    Return the time since which a voter may have been silent.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    member : Member
        The voter.

    Returns
    -------
    float
        Monotonic time in seconds; infinity for this host.
    """
    peer = state.peers.get(member.host)
    return float("inf") if peer is None else peer.silent_since


def find_removal_reason(state: GroupState, member: Member) -> str | None:
    """
    Tell why a voter may be removed.

    Parameters
    ----------
    state : GroupState
        The group, led by this host, with a limit for unreachable voters.
    member : Member
        The voter.

    Returns
    -------
    str or None
        None if it may not.
    """
    peer = state.peers.get(member.host)
    if peer is None or state.unreachable_removal_s is None:
        return None
    if peer.storage_id not in ("", member.storage_id):
        return "its host has another log"
    if member.host in state.leaving:
        return "it is about to stop"
    silent_s = state.timers.now() - peer.silent_since
    return f"silent for {silent_s:.1f} s" if silent_s >= state.unreachable_removal_s else None


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
    is_same_log = peer is not None and peer.storage_id == member.storage_id
    return peer is not None and is_same_log and holds_complete_state(state, peer)


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
    has_log = bool(peer.storage_id) and peer.match_index >= state.commit_index
    return is_reachable(state, peer) and has_log and peer.is_complete


def is_reachable(state: GroupState, peer: Peer) -> bool:
    """
    Tell whether a host has replied to this leader recently.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    peer : Peer
        The host.

    Returns
    -------
    bool
        False after `CHECK_QUORUM_S` without a reply.
    """
    return state.timers.now() < peer.last_contact_at + CHECK_QUORUM_S


def list_missing(state: GroupState) -> list[str]:
    """
    Return the voters that do not count towards a quorum now.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    list of str
        Hosts that this leader does not reach, or whose log is another one; empty on followers.
    """
    missing = []
    for member in state.log.voters:
        peer = state.peers.get(member.host)
        if peer is None:
            continue
        if peer.storage_id not in ("", member.storage_id) or not is_reachable(state, peer):
            missing.append(member.host)
    return sorted(missing)


def report_missing(state: GroupState, known: list[str]) -> list[str]:
    """
    Log the voters that are missing if they have changed.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    known : list of str
        Missing voters that were logged last.

    Returns
    -------
    list of str
        Missing voters now.
    """
    missing = list_missing(state)
    if missing != known:
        left = len(state.log.voters) - len(missing)
        text = "group %s: %d of %d voters are reachable; missing: %s"
        level = logging.WARNING if missing else logging.INFO
        names = ", ".join(missing) or "none"
        _log.log(level, text, state.name, left, len(state.log.voters), names)
    return missing


def forget_absent_learners(state: GroupState) -> None:
    """
    Stop the replication to hosts that are no voters and have not replied for long.

    Without this, each host that was ever replaced would be called forever.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    """
    if state.unreachable_removal_s is None:
        return
    oldest = state.timers.now() - LEARNER_RETENTION_S
    for peer in list(state.peers.values()):
        if peer.silent_since < oldest and find_voter(state.log.voters, peer.host) is None:
            del state.peers[peer.host]
            if peer.host in state.hosts:
                state.hosts.remove(peer.host)


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

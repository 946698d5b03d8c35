"""Replicate the leader's log to the other hosts, with one replication task per host."""

from __future__ import annotations

from marigoldtrail.consensus.primitives import Peer
from marigoldtrail.consensus.quorum import find_voter, get_quorum_value
from marigoldtrail.consensus.state import HEARTBEAT_S, GroupState, adopt_newer_term
from marigoldtrail.errors import Failure
from marigoldtrail.schema.generated.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)

# Longer than a slow fsync of the other host; the heartbeats of `send_heartbeats_while_blocked`
# detect an unreachable host earlier.
APPEND_TIMEOUT_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.0
MAX_MESSAGE_ENTRIES = 1024
# Well below the frame limit, even with one command of the maximum size added.
MAX_MESSAGE_BYTES = 1024 * 1024
CHUNK_BYTES = 256 * 1024


def build_peers(state: GroupState) -> dict[str, Peer]:
    """
    Create the replication state of a new leader for the other hosts.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    dict
        One peer for each host that is a voter or should become one, by host.
    """
    hosts = {member.host for member in state.log.voters} | set(state.hosts)
    peers = {}
    for host in sorted(hosts - {state.host}):
        if host not in state.addresses:
            state.report("skip_member", "the address of the host is not known", member=host)
            continue
        peers[host] = make_peer(state, host)
    return peers


def make_peer(state: GroupState, host: str) -> Peer:
    """
    Create the replication state for a host that has not replied yet.

    Parameters
    ----------
    state : GroupState
        The group.
    host : str
        Name of the other host.

    Returns
    -------
    Peer
        Has the storage id of the voter on that host, if there is one.
    """
    member = find_voter(state.log.voters, host)
    now = state.timers.now()
    return Peer(
        host=host,
        storage_id=member.storage_id if member is not None else "",
        next_index=state.log.last_index + 1,
        now=now,
        silent_since=state.leader_contact_at if host == state.last_leader else now,
    )


def is_replicating(state: GroupState, peer: Peer, term: int) -> bool:
    """
    Tell whether this host still replicates to another one.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which the replication began.

    Returns
    -------
    bool
        False after the end of the leadership, and once the host is no longer needed.
    """
    return state.is_leader_in(term) and state.peers.get(peer.host) is peer


async def replicate(state: GroupState, peer: Peer, term: int) -> None:
    """
    Replicate the log to one host while this host leads.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    """
    while is_replicating(state, peer, term):
        peer.busy_since = state.timers.now()
        if peer.next_index <= state.log.base_index:
            progress = await send_snapshot(state, peer, term)
        else:
            progress = await send_entries(state, peer, term)
        peer.busy_since = float("inf")
        if not state.is_leader_in(term):
            return
        if not progress:
            # The host is unreachable or its disk is full.
            await state.timers.sleep(HEARTBEAT_S)
        elif (
            peer.next_index > state.log.last_index and peer.confirmed_read_round >= state.read_round
        ):
            await peer.wakeup.wait_with_timeout(HEARTBEAT_S)


async def send_heartbeats_while_blocked(state: GroupState, peer: Peer, term: int) -> None:
    """
    Send heartbeats while an earlier message still waits for its reply.

    Otherwise an fsync that takes longer than the election time-out would depose the leader.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    """
    while is_replicating(state, peer, term):
        await state.timers.sleep(HEARTBEAT_S)
        if state.timers.now() >= peer.busy_since + HEARTBEAT_S and state.is_leader_in(term):
            await send_heartbeat(state, peer, term)


async def send_heartbeat(state: GroupState, peer: Peer, term: int) -> None:
    """
    Send a heartbeat that the other host can answer without disk access.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    """
    target, prev_index = peer.storage_id, peer.match_index
    prev_term = state.log.term_at(prev_index)
    if not target or prev_term is None:
        return
    request = AppendEntries(
        group=state.name,
        term=term,
        leader=state.host,
        target_id=target,
        prev_index=prev_index,
        prev_term=prev_term,
        entries=[],
        commit_index=state.commit_index,
    )
    sent_round = assign_read_round(state)
    reply = await state.client.call(
        state.addresses[peer.host], request, AppendReply, timeout_s=HEARTBEAT_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return
    if await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
        peer.level = reply.level
        confirm_read_round(state, peer, sent_round)


async def send_entries(state: GroupState, peer: Peer, term: int) -> bool:
    """
    Send the next entries, or a heartbeat if there are none.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.

    Returns
    -------
    bool
        False if the next message should be delayed.
    """
    target, prev_index = peer.storage_id, peer.next_index - 1
    entries = state.log.entries_from(
        peer.next_index, max_entries=MAX_MESSAGE_ENTRIES, max_bytes=MAX_MESSAGE_BYTES
    )
    request = AppendEntries(
        group=state.name,
        term=term,
        leader=state.host,
        target_id=target,
        prev_index=prev_index,
        prev_term=state.log.term_at(prev_index) or 0,
        entries=entries,
        commit_index=state.commit_index,
    )
    sent_round = assign_read_round(state)
    reply = await state.client.call(
        state.addresses[peer.host], request, AppendReply, timeout_s=APPEND_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return False
    if not await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
        return False
    confirm_read_round(state, peer, sent_round)
    peer.is_complete = reply.is_complete
    peer.level = reply.level
    if not reply.accepted:
        peer.next_index = min(reply.last_index + 1, prev_index)
        return True
    peer.next_index = reply.last_index + 1
    if reply.last_index > peer.match_index:
        peer.match_index = reply.last_index
        advance_commit(state)
    return reply.last_index > prev_index or not entries


async def send_snapshot(state: GroupState, peer: Peer, term: int) -> bool:
    """
    Send the newest snapshot in chunks.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.

    Returns
    -------
    bool
        True if the host has installed it.
    """
    target, name = peer.storage_id, state.store.snapshot_name
    index = state.log.snapshot_index
    total = await state.store.disk.get_size(name)
    if isinstance(total, Failure):
        return False
    offset = 0
    while offset < total:
        data = await state.store.disk.read(name, offset=offset, length=CHUNK_BYTES)
        if isinstance(data, Failure) or not data:
            # A newer snapshot has replaced the file during the transfer.
            return False
        request = InstallSnapshot(
            group=state.name,
            term=term,
            leader=state.host,
            target_id=target,
            index=index,
            offset=offset,
            total_bytes=total,
            data=data,
        )
        sent_round = assign_read_round(state)
        reply = await state.client.call(
            state.addresses[peer.host], request, SnapshotReply, timeout_s=APPEND_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            return False
        if not await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
            return False
        confirm_read_round(state, peer, sent_round)
        if reply.received < offset + len(data):
            return False
        offset = reply.received
    peer.match_index = max(peer.match_index, index)
    peer.next_index = index + 1
    advance_commit(state)
    return True


async def accept_reply(
    state: GroupState, peer: Peer, term: int, reply_term: int, reply_id: str, target: str
) -> bool:
    """
    Check that a reply comes from the addressed log and belongs to this term.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    reply_term : int
        Term of the reply.
    reply_id : str
        Storage id of the log that replied.
    target : str
        Storage id to which the request was addressed.

    Returns
    -------
    bool
        False if the reply must be ignored.
    """
    if reply_id != target:
        if target:
            state.report("new_identity", "the host has another log", member=peer.host, log=reply_id)
        peer.reset_progress(reply_id)
        peer.next_index = state.log.last_index + 1
        return False
    if reply_term > term:
        await adopt_newer_term(state, reply_term, f"{peer.host} is in a newer term")
        return False
    if not state.is_leader_in(term) or reply_term != term or peer.storage_id != target:
        return False
    peer.record_contact(state.timers.now())
    return True


def assign_read_round(state: GroupState) -> int:
    """
    Return the read round of a message about to be sent, and mark the round as sent.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round; a read that starts later needs a new round.
    """
    state.is_read_round_sent = True
    return state.read_round


def request_read_round(state: GroupState) -> int:
    """
    Return a read round of which no message has been sent yet; begins one if needed.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round.
    """
    if state.is_read_round_sent:
        state.read_round += 1
        state.is_read_round_sent = False
        for peer in state.peers.values():
            peer.wakeup.notify()
    return state.read_round


def confirm_read_round(state: GroupState, peer: Peer, sent_round: int) -> None:
    """
    Record that a host has acknowledged this leader in a read round.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    sent_round : int
        Read round of the message to which the host replied.
    """
    if sent_round > peer.confirmed_read_round:
        peer.confirmed_read_round = sent_round
        state.confirmed.notify()


def get_confirmed_read_round(state: GroupState) -> int:
    """
    Return the newest read round that a quorum has confirmed.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round.
    """
    rounds: dict[str, float] = {p.storage_id: p.confirmed_read_round for p in state.peers.values()}
    return int(get_quorum_value(state, state.read_round, rounds, 0))


def get_quorum_contact_time(state: GroupState) -> float:
    """
    Return the time of the last contact with a quorum, this host included.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    contacts = {peer.storage_id: peer.last_contact_at for peer in state.peers.values()}
    return get_quorum_value(state, state.timers.now(), contacts, float("-inf"))


def advance_commit(state: GroupState) -> None:
    """
    Commit the entries that a quorum of voters has made durable.

    Only an entry of the leader's own term is committed by counting; it also commits all entries
    before it.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    """
    matches: dict[str, float] = {p.storage_id: p.match_index for p in state.peers.values()}
    index = int(get_quorum_value(state, state.synced_index, matches, 0))
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_index = index
        state.committed.notify()

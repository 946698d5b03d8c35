"""How a leader brings the logs of the other hosts up to date, one task for each host."""

from __future__ import annotations

from marigoldtrail.consensus.parts import Peer
from marigoldtrail.consensus.state import (
    HEARTBEAT_S,
    GroupState,
    learn_term,
    quorum_value,
    voter_of,
)
from marigoldtrail.errors import Failure
from marigoldtrail.schema.generated.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)

# Longer than a slow fsync of the other host; a silent host is noticed by `keep_heard`.
APPEND_TIMEOUT_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.0
MESSAGE_ENTRIES = 1024
# Well under the limit of a frame, also with one command of the largest size on top.
MESSAGE_BYTES = 1024 * 1024
CHUNK_BYTES = 256 * 1024


def build_peers(state: GroupState) -> dict[str, Peer]:
    """
    Return what a new leader assumes of the other hosts.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    dict
        One peer for each host that is a voter or shall become one.
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
    Return what a leader assumes of a host that it has not heard yet.

    Parameters
    ----------
    state : GroupState
        The group.
    host : str
        Name of the other host.

    Returns
    -------
    Peer
        With the identity of the voter on that host, if there is one.
    """
    member = voter_of(state.log.voters, host)
    return Peer(
        host=host,
        storage_id=member.storage_id if member is not None else "",
        next_index=state.log.last_index + 1,
        now=state.timers.now(),
    )


async def replicate(state: GroupState, peer: Peer, term: int) -> None:
    """
    Keep the log of one host up to date for as long as this host leads.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    """
    while state.leads(term):
        peer.busy_since = state.timers.now()
        if peer.next_index <= state.log.base_index:
            progress = await send_snapshot(state, peer, term)
        else:
            progress = await send_entries(state, peer, term)
        peer.busy_since = float("inf")
        if not state.leads(term):
            return
        if not progress:
            # No progress: an unreachable host, or one without room on its disk.
            await state.timers.sleep(HEARTBEAT_S)
        elif peer.next_index > state.log.last_index and peer.confirmed_round >= state.round:
            await peer.wakeup.wait_for(HEARTBEAT_S)


async def keep_heard(state: GroupState, peer: Peer, term: int) -> None:
    """
    Send heartbeats past a message whose reply waits for a slow disk.

    Otherwise an fsync that takes longer than the election timeout would unseat the leader.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    term : int
        Term in which this host leads.
    """
    while state.leads(term):
        await state.timers.sleep(HEARTBEAT_S)
        if state.timers.now() >= peer.busy_since + HEARTBEAT_S and state.leads(term):
            await send_heartbeat(state, peer, term)


async def send_heartbeat(state: GroupState, peer: Peer, term: int) -> None:
    """
    Send a heartbeat that the other host can answer without its disk.

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
    sent_round = take_round(state)
    reply = await state.client.call(
        state.addresses[peer.host], request, AppendReply, timeout_s=HEARTBEAT_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return
    if await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
        confirm_round(state, peer, sent_round)


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
        False if the host should be left alone for a while.
    """
    target, prev_index = peer.storage_id, peer.next_index - 1
    entries = state.log.entries_from(
        peer.next_index, max_entries=MESSAGE_ENTRIES, max_bytes=MESSAGE_BYTES
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
    sent_round = take_round(state)
    reply = await state.client.call(
        state.addresses[peer.host], request, AppendReply, timeout_s=APPEND_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return False
    if not await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
        return False
    confirm_round(state, peer, sent_round)
    peer.is_complete = reply.is_complete
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
    total = await state.store.disk.size(name)
    if isinstance(total, Failure):
        return False
    offset = 0
    while offset < total:
        data = await state.store.disk.read(name, offset=offset, length=CHUNK_BYTES)
        if isinstance(data, Failure) or not data:
            # A newer snapshot has replaced the file.
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
        sent_round = take_round(state)
        reply = await state.client.call(
            state.addresses[peer.host], request, SnapshotReply, timeout_s=APPEND_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            return False
        if not await accept_reply(state, peer, term, reply.term, reply.storage_id, target):
            return False
        confirm_round(state, peer, sent_round)
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
    Check that a reply comes from the log that was meant, in this term.

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
        Storage id that the request was meant for.

    Returns
    -------
    bool
        False if the reply must not count.
    """
    if reply_id != target:
        if target:
            state.report("new_identity", "the host has another log", member=peer.host, log=reply_id)
        peer.change_identity(reply_id)
        peer.next_index = state.log.last_index + 1
        return False
    if reply_term > term:
        await learn_term(state, reply_term, f"{peer.host} is in a newer term")
        return False
    if not state.leads(term) or reply_term != term or peer.storage_id != target:
        return False
    peer.heard_at = state.timers.now()
    return True


def take_round(state: GroupState) -> int:
    """
    Return the round that a message sent now belongs to.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round; later readers begin a new one.
    """
    state.round_taken = True
    return state.round


def join_round(state: GroupState) -> int:
    """
    Return a round of which no message has been sent yet.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round.
    """
    if state.round_taken:
        state.round += 1
        state.round_taken = False
        for peer in state.peers.values():
            peer.wakeup.notify()
    return state.round


def confirm_round(state: GroupState, peer: Peer, sent_round: int) -> None:
    """
    Note that a host follows this leader since a round began.

    Parameters
    ----------
    state : GroupState
        The group.
    peer : Peer
        The other host.
    sent_round : int
        Round of the message that it answered.
    """
    if sent_round > peer.confirmed_round:
        peer.confirmed_round = sent_round
        state.confirmed.notify()


def confirmed_round(state: GroupState) -> int:
    """
    Return the newest round that a quorum has confirmed.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        Number of the round.
    """
    rounds: dict[str, float] = {p.storage_id: p.confirmed_round for p in state.peers.values()}
    return int(quorum_value(state, state.round, rounds, 0))


def quorum_heard_at(state: GroupState) -> float:
    """
    Return since when a quorum has been heard, this host included.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    heard = {peer.storage_id: peer.heard_at for peer in state.peers.values()}
    return quorum_value(state, state.timers.now(), heard, float("-inf"))


def advance_commit(state: GroupState) -> None:
    """
    Commit what a quorum of voters has made durable.

    Only an entry of the leader's own term is committed by counting; it commits those before it.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    """
    matches: dict[str, float] = {p.storage_id: p.match_index for p in state.peers.values()}
    index = int(quorum_value(state, state.synced_index, matches, 0))
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_index = index
        state.committed.notify()

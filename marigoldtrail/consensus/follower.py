"""Handle the entries and snapshots that a follower or learner receives from the leader."""

from __future__ import annotations

from marigoldtrail.consensus.levels import build_level_failure, get_command_level
from marigoldtrail.consensus.state import (
    FOLLOWER,
    GroupState,
    adopt_term,
    check_disk,
    record_leader_contact,
    record_room,
    restore_machine,
    stop_group,
)
from marigoldtrail.consensus.store import build_snapshot_failure, decode_stored
from marigoldtrail.errors import Failure, Reason
from marigoldtrail.schema.generated.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
    StoredSnapshot,
)


async def handle_append(state: GroupState, req: AppendEntries) -> AppendReply | Failure:
    """
    Handle an AppendEntries message.

    Parameters
    ----------
    state : GroupState
        The group.
    req : AppendEntries
        The message.

    Returns
    -------
    AppendReply or Failure
        The failure of the disk.
    """
    if state.stop_failure is not None:
        return state.stop_failure
    if req.target_id != state.storage_id or req.term < state.term:
        return build_append_reply(state, False, 0)
    if is_heartbeat(state, req):
        accept_leader(state, req, req.prev_index)
        return build_append_reply(state, True, req.prev_index)
    async with state.lock:
        refused = await follow_leader(state, req.term, req.leader)
        if isinstance(refused, Failure):
            return refused
        if req.term < state.term:
            return build_append_reply(state, False, 0)
        mismatch = find_mismatch(state, req)
        if mismatch is not None:
            return build_append_reply(state, False, mismatch)
        matched = await store_entries(state, req)
        if isinstance(matched, Failure):
            return matched
    accept_leader(state, req, matched)
    return build_append_reply(state, True, matched)


def is_heartbeat(state: GroupState, req: AppendEntries) -> bool:
    """
    Tell whether a message of the known leader changes neither term nor log.

    It is answered without the lock, which a slow write may hold. The entries that the reply
    acknowledges are durable, and were in the log before any vote that is now being written was
    decided.

    Parameters
    ----------
    state : GroupState
        The group.
    req : AppendEntries
        The message.

    Returns
    -------
    bool
        True if the message is only a heartbeat.
    """
    return (
        not req.entries
        and state.role == FOLLOWER
        and (req.term, req.leader) == (state.term, state.leader)
        and req.prev_index <= state.synced_index
        and find_mismatch(state, req) is None
    )


def accept_leader(state: GroupState, req: AppendEntries, matched: int) -> None:
    """
    Record contact with the leader and advance the commit index.

    Parameters
    ----------
    state : GroupState
        The group.
    req : AppendEntries
        Message of the leader.
    matched : int
        Last index at which the logs are known to match.
    """
    record_leader_contact(state, req.leader)
    if min(req.commit_index, matched) > state.commit_index:
        state.commit_index = min(req.commit_index, matched)
        state.committed.notify()


def build_append_reply(state: GroupState, accepted: bool, last_index: int) -> AppendReply:
    """
    Build the reply to an AppendEntries message.

    Parameters
    ----------
    state : GroupState
        The group.
    accepted : bool
        Whether the logs match at `prev_index`.
    last_index : int
        Last index that matches; if not accepted, the index to try next.

    Returns
    -------
    AppendReply
        The reply.
    """
    has_applied_all = state.applied_index >= state.commit_index
    return AppendReply(
        term=state.term,
        storage_id=state.storage_id,
        accepted=accepted,
        last_index=last_index,
        is_complete=has_applied_all and state.machine.is_complete(),
        level=get_command_level(state.machine),
    )


async def follow_leader(state: GroupState, term: int, leader: str) -> None | Failure:
    """
    Follow the leader of a term unless a newer term is known; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group.
    term : int
        Term of the leader's message.
    leader : str
        Host of the leader.

    Returns
    -------
    None or Failure
        The failure of the disk.
    """
    if state.stop_failure is not None:
        return state.stop_failure
    result = await adopt_term(state, term, f"{leader} leads a newer term")
    if isinstance(result, Failure) or term < state.term:
        return result
    state.role = FOLLOWER
    record_leader_contact(state, leader)
    return None


def find_mismatch(state: GroupState, req: AppendEntries) -> int | None:
    """
    Compare this host's log with the leader's at the entry before the new ones.

    Parameters
    ----------
    state : GroupState
        The group.
    req : AppendEntries
        The entries.

    Returns
    -------
    int or None
        None if the logs match there, else the highest index at which they may match.
    """
    log = state.log
    if req.prev_index > log.last_index:
        return log.last_index
    if req.prev_index <= state.commit_index:
        # Committed entries are the same on every host.
        return None
    if log.term_at(req.prev_index) == req.prev_term:
        return None
    return max(log.first_index_of_term(req.prev_index) - 1, state.commit_index)


async def store_entries(state: GroupState, req: AppendEntries) -> int | Failure:
    """
    Remove conflicting entries, append the new ones and sync.

    Parameters
    ----------
    state : GroupState
        The group.
    req : AppendEntries
        Entries whose predecessor matches.

    Returns
    -------
    int or Failure
        Last index that is durable and matches the leader's log.
    """
    log = state.log
    index = req.prev_index
    known = 0
    for entry in req.entries:
        if index + 1 > log.last_index:
            break
        if index + 1 > state.commit_index and log.term_at(index + 1) != entry.term:
            # Lowered first: a truncation that fails may still have removed the entries.
            state.synced_index = min(state.synced_index, index)
            result = await log.truncate_after(index, committed=state.commit_index)
            if isinstance(result, Failure):
                stop_group(state, result)
                return result
            break
        index += 1
        known += 1
    result = await log.append(req.entries[known:])
    record_room(state, result)
    if isinstance(result, Failure) and result.reason is not Reason.DISK_FULL:
        stop_group(state, result)
        return result
    # On a full disk the earlier entries stay valid, and the leader sends the rest again later.
    matched = index if isinstance(result, Failure) else req.prev_index + len(req.entries)
    synced = check_disk(state, await log.journal.sync())
    if isinstance(synced, Failure):
        return synced
    state.synced_index = log.last_index
    return matched


async def handle_snapshot(state: GroupState, req: InstallSnapshot) -> SnapshotReply | Failure:
    """
    Handle a chunk of the leader's snapshot; install the snapshot after the last one.

    Parameters
    ----------
    state : GroupState
        The group.
    req : InstallSnapshot
        The chunk.

    Returns
    -------
    SnapshotReply or Failure
        The failure of the disk.
    """
    if state.stop_failure is not None:
        return state.stop_failure
    if req.target_id != state.storage_id or req.term < state.term:
        return build_snapshot_reply(state, 0)
    async with state.lock:
        refused = await follow_leader(state, req.term, req.leader)
        if isinstance(refused, Failure):
            return refused
        if req.term < state.term:
            return build_snapshot_reply(state, 0)
        received = await store_chunk(state, req)
        if isinstance(received, Failure):
            return received
    record_leader_contact(state, req.leader)
    return build_snapshot_reply(state, received)


def build_snapshot_reply(state: GroupState, received: int) -> SnapshotReply:
    """
    Build the reply to an InstallSnapshot message.

    Parameters
    ----------
    state : GroupState
        The group.
    received : int
        Number of bytes received.

    Returns
    -------
    SnapshotReply
        The reply.
    """
    return SnapshotReply(term=state.term, storage_id=state.storage_id, received=received)


async def store_chunk(state: GroupState, req: InstallSnapshot) -> int | Failure:
    """
    Append a chunk to the partial file; after an out-of-order chunk the leader starts anew.

    Parameters
    ----------
    state : GroupState
        The group.
    req : InstallSnapshot
        The chunk.

    Returns
    -------
    int or Failure
        Number of bytes received.
    """
    if req.index <= state.commit_index:
        return req.total_bytes
    disk, name = state.store.disk, state.store.partial_name
    if req.offset == 0:
        removed = check_disk(state, await disk.remove(name))
        if isinstance(removed, Failure):
            return removed
        state.incoming_snapshot = (req.index, 0)
    if state.incoming_snapshot != (req.index, req.offset):
        return state.incoming_snapshot[1] if state.incoming_snapshot[0] == req.index else 0
    appended = check_disk(state, await disk.append(name, req.data))
    if isinstance(appended, Failure):
        return appended
    received = req.offset + len(req.data)
    state.incoming_snapshot = (req.index, received)
    if received < req.total_bytes:
        return received
    state.incoming_snapshot = (0, 0)
    installed = await install_snapshot(state, name)
    return installed if isinstance(installed, Failure) else received


async def install_snapshot(state: GroupState, name: str) -> None | Failure:
    """
    Replace the state of the machine and the log with a complete snapshot file.

    Parameters
    ----------
    state : GroupState
        The group.
    name : str
        Name of the file.

    Returns
    -------
    None or Failure
        ``CORRUPT`` if the checksum is wrong; the failure of the disk.
    """
    disk = state.store.disk
    data = await disk.read(name)
    removed = await disk.remove(name)
    if isinstance(data, Failure) or isinstance(removed, Failure):
        return check_disk(state, data if isinstance(data, Failure) else removed)  # type: ignore[arg-type]
    snapshot = decode_stored(data, StoredSnapshot)
    if snapshot is None:
        return build_snapshot_failure(name)
    if snapshot.level > get_command_level(state.machine):
        return build_level_failure(state, snapshot)
    if state.log.term_at(snapshot.index) != snapshot.term:
        # Nothing after the snapshot is kept. Lowered first: a failed write may leave the snapshot.
        state.synced_index = min(state.synced_index, snapshot.index)
    saved = check_disk(state, await state.store.save_snapshot(snapshot))
    if isinstance(saved, Failure):
        return saved
    replaced = check_disk(
        state, await state.log.replace(snapshot.index, snapshot.term, snapshot.voters)
    )
    if isinstance(replaced, Failure):
        return replaced
    state.synced_index = state.log.last_index
    if snapshot.index > state.applied_index:
        restore_machine(state, snapshot)
    state.report("install_snapshot", "the log was too far behind", index=snapshot.index)
    return None

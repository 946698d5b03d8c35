"""Open the files of a group, and open them again after a failure of the disk that may pass."""

from __future__ import annotations

import logging

from marigoldtrail.consensus.levels import build_level_failure, get_command_level
from marigoldtrail.consensus.log import ReplicatedLog
from marigoldtrail.consensus.state import (
    GroupState,
    load_state,
    reset_campaign,
    restore_machine,
)
from marigoldtrail.consensus.store import GroupStore, OpenedStore, open_store
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import StoredSnapshot, StoredVote
from marigoldtrail.storage import Disk

FIRST_REOPEN_PAUSE_S = 0.1
MAX_REOPEN_PAUSE_S = 2.0

_log = logging.getLogger(__name__)

_PASSING_REASONS = (Reason.DISK_ERROR, Reason.DISK_FULL, Reason.NOT_FOUND)


def may_pass(failure: Failure) -> bool:
    """
    Tell whether the group may go on when the disk works again.

    Parameters
    ----------
    failure : Failure
        The failure that stopped the group.

    Returns
    -------
    bool
        False if the content of the disk is wrong or needs a later release.

    Examples
    --------
    >>> fields = {"run_state": RunState.NOT_RUN, "step": "disk.sync"}
    >>> may_pass(Failure(reason=Reason.DISK_ERROR, **fields))
    True
    >>> may_pass(Failure(reason=Reason.CORRUPT, **fields))
    False
    """
    return failure.reason in _PASSING_REASONS


async def open_first(state: GroupState, disk: Disk) -> None | Failure:
    """
    Open the files of a group that has no log in memory yet.

    Parameters
    ----------
    state : GroupState
        The group.
    disk : Disk
        The data folder.

    Returns
    -------
    None or Failure
        The failure of the disk, or of a snapshot that needs a later release.
    """
    opened = await open_store(disk, state.name, state.rng)
    if isinstance(opened, Failure):
        return opened
    load_state(state, opened.store, opened.log)
    snapshot = opened.snapshot
    if snapshot is not None and snapshot.level > get_command_level(state.machine):
        return build_level_failure(state, snapshot)
    if snapshot is not None:
        restore_machine(state, snapshot)
    return None


async def reopen_after_failures(state: GroupState, disk: Disk) -> None:
    """
    Open the files again after each failure that may pass, with growing pauses.

    Until then the host neither votes nor acknowledges entries.

    Parameters
    ----------
    state : GroupState
        The group.
    disk : Disk
        The data folder.
    """
    pause_s = FIRST_REOPEN_PAUSE_S
    while True:
        failure = state.stop_failure
        if failure is None or not may_pass(failure):
            await state.changed.wait()
            pause_s = FIRST_REOPEN_PAUSE_S
            continue
        await state.timers.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_REOPEN_PAUSE_S)
        # The task that writes a snapshot still uses the files.
        if not state.is_writing_snapshot:
            await try_reopen(state, disk)


async def try_reopen(state: GroupState, disk: Disk) -> None:
    """
    Open the files of a stopped group; it remains stopped if that fails.

    Parameters
    ----------
    state : GroupState
        The group.
    disk : Disk
        The data folder.
    """
    async with state.lock:
        result = await (reopen if state.is_open else open_first)(state, disk)
        if isinstance(result, Failure):
            state.stop_failure = result
            state.report("reopen_failed", str(result))
            return
        state.stop_failure = None
        reset_campaign(state)
    out_s = state.timers.now() - state.stopped_at
    _log.warning("group %s: this host is in the group again after %.1f s", state.name, out_s)
    state.report("reopen_group", "the disk works again", last_index=state.log.last_index)
    state.changed.notify()


async def reopen(state: GroupState, disk: Disk) -> None | Failure:
    """
    Read the files again and write anew what the failed operations may have left incomplete.

    Parameters
    ----------
    state : GroupState
        The group; unchanged after a failure.
    disk : Disk
        The data folder.

    Returns
    -------
    None or Failure
        The failure of the disk; ``CORRUPT`` if the log on disk lacks entries that cannot be written
        again from memory.
    """
    opened = await open_store(disk, state.name, state.rng)
    if isinstance(opened, Failure):
        return opened
    snapshot = opened.snapshot
    if snapshot is not None and snapshot.level > get_command_level(state.machine):
        return build_level_failure(state, snapshot)
    restored = await restore_vote(state, opened.store)
    if isinstance(restored, Failure):
        return restored
    restored = await restore_log(state, opened)
    if isinstance(restored, Failure):
        return restored
    use_reopened(state, opened.store, opened.log, snapshot)
    return None


async def restore_vote(state: GroupState, store: GroupStore) -> None | Failure:
    """
    Write the newest vote anew, since a failed write may have left it without a durable name.

    Parameters
    ----------
    state : GroupState
        The group.
    store : GroupStore
        The reopened files.

    Returns
    -------
    None or Failure
        The failure of the disk.
    """
    vote = choose_vote(store.vote, state.store.vote)
    return await store.save_vote(vote.term, vote.voted_for)


def choose_vote(stored: StoredVote, remembered: StoredVote) -> StoredVote:
    """
    Return the vote that binds this host.

    Parameters
    ----------
    stored : StoredVote
        The vote on disk, whose write may have been reported as failed.
    remembered : StoredVote
        The last vote whose write succeeded.

    Returns
    -------
    StoredVote
        The later one; a vote for a candidate binds more than none in the same term.

    Examples
    --------
    >>> old = StoredVote(storage_id="a", term=3, voted_for="")
    >>> new = StoredVote(storage_id="a", term=3, voted_for="b")
    >>> choose_vote(new, old) is new and choose_vote(old, new) is new
    True
    """
    if stored.storage_id != remembered.storage_id:
        return stored
    return max(stored, remembered, key=lambda vote: (vote.term, bool(vote.voted_for)))


async def restore_log(state: GroupState, opened: OpenedStore) -> None | Failure:
    """
    Check that the log on disk holds what was durable, and add committed entries from memory.

    Parameters
    ----------
    state : GroupState
        The group.
    opened : OpenedStore
        The reopened files.

    Returns
    -------
    None or Failure
        The failure of the disk; ``CORRUPT`` if memory does not continue the log on disk.
    """
    log = opened.log
    durable = state.synced_index
    if log.last_index < durable:
        why = f"entries {log.last_index + 1} to {durable} are missing on disk"
        renewed = await opened.store.renew_storage_id(state.rng, why)
        if isinstance(renewed, Failure):
            return renewed
    if log.last_index >= state.commit_index:
        return None
    if log.last_index < state.log.base_index:
        return build_gap_failure(state, log)
    count = state.commit_index - log.last_index
    appended = await log.append(state.log.entries_after(log.last_index, count))
    return appended if isinstance(appended, Failure) else await log.journal.sync()


def build_gap_failure(state: GroupState, log: ReplicatedLog) -> Failure:
    """
    Build the failure for a log on disk that ends before the first entry in memory.

    Parameters
    ----------
    state : GroupState
        The group.
    log : ReplicatedLog
        The log on disk.

    Returns
    -------
    Failure
        With reason ``CORRUPT``; after a restart the leader restores the host.
    """
    detail = f"the log on disk ends at {log.last_index}, that in memory begins after"
    return state.make_failure(
        Reason.CORRUPT, RunState.NOT_RUN, "log.reopen", f"{detail} {state.log.base_index}"
    )


def use_reopened(
    state: GroupState, store: GroupStore, log: ReplicatedLog, snapshot: StoredSnapshot | None
) -> None:
    """
    Go on with the reopened files.

    Parameters
    ----------
    state : GroupState
        The group.
    store : GroupStore
        The reopened files.
    log : ReplicatedLog
        The reopened log, which holds all entries that this host knows to be committed.
    snapshot : StoredSnapshot or None
        The newest snapshot, which the failure may have kept from being installed.
    """
    state.store = store
    state.log = log
    state.term = max(state.term, store.vote.term, log.last_term)
    state.synced_index = log.last_index
    state.incoming_snapshot = (0, 0)
    if snapshot is not None and snapshot.index > state.applied_index:
        restore_machine(state, snapshot)

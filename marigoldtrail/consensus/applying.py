"""Write proposals to the log, apply committed entries and take snapshots."""

from __future__ import annotations

import logging
from typing import Any

import trio

from marigoldtrail.consensus.election import transfer_leadership
from marigoldtrail.consensus.levels import get_state_level, hold_at_unsupported_command
from marigoldtrail.consensus.log import COMMAND
from marigoldtrail.consensus.primitives import Proposal, UnsupportedCommandError
from marigoldtrail.consensus.replication import advance_commit
from marigoldtrail.consensus.state import (
    LEADER,
    GroupState,
    check_disk,
    check_room,
    record_room,
    step_down,
    stop_group,
)
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import LogEntry, StoredSnapshot

MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 16 * 1024 * 1024
HAND_OVER_TIMEOUT_S = 1.5
# Entries applied before the applier yields to other tasks.
APPLY_BURST_ENTRIES = 64

_log = logging.getLogger(__name__)


async def write_proposals(state: GroupState) -> None:
    """
    Write proposals to the log; proposals that arrive during a sync share the next sync.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while True:
        if not state.queue or state.stop_failure is not None:
            await state.proposed.wait()
            continue
        async with state.lock:
            if state.role == LEADER:
                await write_batch(state)


async def write_batch(state: GroupState) -> None:
    """
    Append a batch, wake the replication tasks and sync; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    """
    term = state.term
    batch = pop_batch(state)
    start = state.log.last_index + 1
    entries = [LogEntry(term=term, kind=p.kind, payload=p.payload) for p in batch]
    for offset, proposal in enumerate(batch):
        proposal.index = start + offset
        state.pending_proposals[proposal.index] = proposal
    appended = await state.log.append(entries)
    record_room(state, appended)
    if isinstance(appended, Failure):
        fail_batch(state, batch, appended)
        return
    if state.term_start_index == 0 and state.is_leader_in(term):
        state.term_start_index = start
    for peer in state.peers.values():
        peer.wakeup.notify()
    synced = await state.log.journal.sync()
    if isinstance(synced, Failure):
        stop_group(state, synced)
        return
    state.synced_index = state.log.last_index
    if state.is_leader_in(term):
        advance_commit(state)


def pop_batch(state: GroupState) -> list[Proposal]:
    """
    Remove a batch of proposals from the queue.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    list of Proposal
        At least one, if the queue is not empty.
    """
    batch: list[Proposal] = []
    total = 0
    while state.queue and len(batch) < state.max_batch_entries and total < MAX_BATCH_BYTES:
        proposal = state.queue.popleft()
        total += len(proposal.payload)
        batch.append(proposal)
    return batch


def fail_batch(state: GroupState, batch: list[Proposal], failure: Failure) -> None:
    """
    Resolve proposals that could not be appended with the failure of the journal.

    Parameters
    ----------
    state : GroupState
        The group.
    batch : list of Proposal
        The proposals.
    failure : Failure
        Failure of the journal.
    """
    full = failure.reason is Reason.DISK_FULL
    run_state = RunState.NOT_RUN if full else RunState.MAY_HAVE_RUN
    for proposal in batch:
        state.pending_proposals.pop(proposal.index, None)
        proposal.resolve(state.make_failure(failure.reason, run_state, "propose", failure.detail))
    if not full:
        stop_group(state, failure)
    elif state.term_start_index == 0:
        # A leader cannot commit anything before the first entry of its term.
        step_down(state, "no room for the first entry of the term")
    elif not state.is_transferring:
        state.nursery.start_soon(hand_over, state)


async def hand_over(state: GroupState) -> None:
    """Transfer the leadership to a host with room; lead on if there is none, or room for others."""
    async with state.lock:
        # A command that is larger than the others may have been refused.
        if state.role != LEADER or state.is_transferring or await check_room(state):
            return
    state.report("hand_over", "the disk of the leader is full")
    if not await transfer_leadership(state, timeout_s=HAND_OVER_TIMEOUT_S):
        state.report("lead_on", "no other host could take over")


async def apply_committed(state: GroupState) -> None:
    """
    Apply committed commands to the state machine, each once and in order.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while True:
        burst = 0
        while state.applied_index < state.commit_index and burst < APPLY_BURST_ENTRIES:
            if not apply_next(state):
                # A snapshot that this release can read may pass over the command.
                await state.committed.wait()
                continue
            burst += 1
        if burst:
            state.applied.notify()
            start_snapshot(state)
            await trio.lowlevel.checkpoint()
        else:
            await state.committed.wait()


def apply_next(state: GroupState) -> bool:
    """
    Apply the next entry and resolve its proposal.

    Parameters
    ----------
    state : GroupState
        The group; it has a committed entry that is not applied yet.

    Returns
    -------
    bool
        False if the entry needs a later release, so that nothing more can be applied.
    """
    index = state.applied_index + 1
    entry = state.log.entry_at(index)
    result: Any = None
    if entry.kind == COMMAND:
        try:
            result = state.machine.apply(index, entry.payload)
        except UnsupportedCommandError as exc:
            hold_at_unsupported_command(state, index, str(exc))
            return False
        except Exception:
            # The command stays in the log; raising here would stop every host, again after each
            # restart.
            _log.exception("group %s: command at index %d raised an exception", state.name, index)
            result = state.make_failure(Reason.INTERNAL, RunState.MAY_HAVE_RUN, "apply")
    state.applied_index = index
    state.applied_bytes += len(entry.payload)
    proposal = state.pending_proposals.pop(index, None)
    if proposal is not None:
        proposal.resolve(result)
    return True


def start_snapshot(state: GroupState) -> None:
    """
    Start writing a snapshot if enough entries were applied since the last one.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    if state.stop_failure is not None or state.is_writing_snapshot:
        return
    index = state.applied_index
    has_many_entries = index - state.log.snapshot_index >= SNAPSHOT_ENTRIES
    if not (has_many_entries or state.applied_bytes >= SNAPSHOT_BYTES):
        return
    state.is_writing_snapshot = True
    state.applied_bytes = 0
    snapshot = StoredSnapshot(
        index=index,
        term=state.log.term_at(index) or 0,
        voters=state.log.voters_at(index),
        data=state.machine.snapshot(),
        level=get_state_level(state.machine),
    )
    state.nursery.start_soon(write_snapshot, state, snapshot)


async def write_snapshot(state: GroupState, snapshot: StoredSnapshot) -> None:
    """
    Write a snapshot, then compact the log.

    Parameters
    ----------
    state : GroupState
        The group.
    snapshot : StoredSnapshot
        The state at an applied index.
    """
    try:
        saved = check_disk(state, await state.store.save_snapshot(snapshot))
        if isinstance(saved, Failure):
            _log.warning("group %s: snapshot write failed: %s", state.name, saved)
            return
        async with state.lock:
            if state.stop_failure is None and snapshot.index > state.log.snapshot_index:
                check_disk(state, await state.log.compact(snapshot.index))
    finally:
        state.is_writing_snapshot = False
    # Enough entries for the next snapshot may have been applied during the write.
    start_snapshot(state)

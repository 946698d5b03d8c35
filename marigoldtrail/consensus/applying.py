"""The writer, the applier and the snapshots of a group."""

from __future__ import annotations

import logging
from typing import Any

import trio

from marigoldtrail.consensus.log import COMMAND
from marigoldtrail.consensus.parts import Proposal
from marigoldtrail.consensus.replication import advance_commit
from marigoldtrail.consensus.state import LEADER, GroupState, check_disk, step_down, stop_group
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import LogEntry, StoredSnapshot

BATCH_BYTES = 1024 * 1024
SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 16 * 1024 * 1024
# Other tasks run between this many applied entries.
APPLY_BURST = 64

_log = logging.getLogger(__name__)


async def write_proposals(state: GroupState) -> None:
    """
    Write proposals to the log; all that arrive during a sync share the next one.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while True:
        if not state.queue or state.stopped is not None:
            await state.proposed.wait()
            continue
        async with state.lock:
            if state.role == LEADER:
                await write_batch(state)


async def write_batch(state: GroupState) -> None:
    """
    Append a batch, show it to the other hosts, and sync it; the caller holds the lock.

    Parameters
    ----------
    state : GroupState
        The group, led by this host.
    """
    term = state.term
    batch = take_batch(state)
    start = state.log.last_index + 1
    entries = [LogEntry(term=term, kind=p.kind, payload=p.payload) for p in batch]
    for offset, proposal in enumerate(batch):
        proposal.index = start + offset
        state.waiting[proposal.index] = proposal
    appended = await state.log.append(entries)
    if isinstance(appended, Failure):
        refuse_batch(state, batch, appended)
        return
    if state.first_of_term == 0 and state.leads(term):
        state.first_of_term = start
    for peer in state.peers.values():
        peer.wakeup.notify()
    synced = await state.log.journal.sync()
    if isinstance(synced, Failure):
        stop_group(state, synced)
        return
    state.synced_index = state.log.last_index
    if state.leads(term):
        advance_commit(state)


def take_batch(state: GroupState) -> list[Proposal]:
    """
    Take proposals from the queue.

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
    while state.queue and len(batch) < state.max_batch and total < BATCH_BYTES:
        proposal = state.queue.popleft()
        total += len(proposal.payload)
        batch.append(proposal)
    return batch


def refuse_batch(state: GroupState, batch: list[Proposal], failure: Failure) -> None:
    """
    Give proposals that were not appended the disk's failure.

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
        state.waiting.pop(proposal.index, None)
        proposal.resolve(state.failure(failure.reason, run_state, "propose", failure.detail))
    if not full:
        stop_group(state, failure)
    elif state.first_of_term == 0:
        # Without the first entry of its term a leader can commit nothing.
        step_down(state, "no room for the first entry of the term")


async def apply_committed(state: GroupState) -> None:
    """
    Apply committed commands to the machine, each once and in order.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    while True:
        burst = 0
        while state.applied_index < state.commit_index and burst < APPLY_BURST:
            apply_next(state)
            burst += 1
        if burst:
            state.applied.notify()
            start_snapshot(state)
            await trio.lowlevel.checkpoint()
        else:
            await state.committed.wait()


def apply_next(state: GroupState) -> None:
    """
    Apply the next entry and give its proposer the result.

    Parameters
    ----------
    state : GroupState
        The group; an entry is committed and not applied.
    """
    index = state.applied_index + 1
    entry = state.log.entry_at(index)
    result: Any = None
    if entry.kind == COMMAND:
        try:
            result = state.machine.apply(index, entry.payload)
        except Exception:
            # The command is in the log for good; raising here would stop every host, and again
            # after each restart.
            _log.exception("group %s: command %d raised", state.name, index)
            result = state.failure(Reason.INTERNAL, RunState.MAY_HAVE_RUN, "apply")
    state.applied_index = index
    state.applied_bytes += len(entry.payload)
    proposal = state.waiting.pop(index, None)
    if proposal is not None:
        proposal.resolve(result)


def start_snapshot(state: GroupState) -> None:
    """
    Take a snapshot if enough has been applied since the last one.

    Parameters
    ----------
    state : GroupState
        The group.
    """
    index = state.applied_index
    many = index - state.log.snapshot_index >= SNAPSHOT_ENTRIES
    if state.snapshotting or not (many or state.applied_bytes >= SNAPSHOT_BYTES):
        return
    state.snapshotting = True
    state.applied_bytes = 0
    snapshot = StoredSnapshot(
        index=index,
        term=state.log.term_at(index) or 0,
        voters=state.log.voters_at(index),
        data=state.machine.snapshot(),
    )
    state.nursery.start_soon(keep_snapshot, state, snapshot)


async def keep_snapshot(state: GroupState, snapshot: StoredSnapshot) -> None:
    """
    Write a snapshot, then drop the log before it.

    Parameters
    ----------
    state : GroupState
        The group.
    snapshot : StoredSnapshot
        The state after an applied entry.
    """
    try:
        saved = check_disk(state, await state.store.save_snapshot(snapshot))
        if isinstance(saved, Failure):
            _log.warning("group %s: no snapshot was written: %s", state.name, saved)
            return
        async with state.lock:
            if snapshot.index > state.log.snapshot_index:
                check_disk(state, await state.log.compact(snapshot.index))
    finally:
        state.snapshotting = False
    # Enough may have been applied during the write.
    start_snapshot(state)

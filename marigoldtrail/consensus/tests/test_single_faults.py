"""Let each single call of the disk fail under the files of a group."""

import functools
import random

import pytest

from marigoldtrail.consensus import log, store
from marigoldtrail.consensus.log import COMMAND
from marigoldtrail.consensus.store import open_store
from marigoldtrail.errors import Reason, is_failure
from marigoldtrail.schema.generated.consensus import LogEntry, StoredSnapshot
from marigoldtrail.storage import open_journal
from marigoldtrail.testing.faulty_files import FULL, KINDS, PARTIAL, FaultyDisk
from marigoldtrail.testing.single_faults import (
    FAIL_COUNTS,
    check_end_of_process,
    check_power_losses,
    list_fault_indexes,
    repeat_step,
    set_fault,
)

GROUP = "g"
MAX_ATTEMPTS = 8


class StepFailed(Exception):
    """A step failed, at which the process ends."""


def build_snapshot(index, term):
    return StoredSnapshot(index=index, term=term, voters=[], data=b"state %d" % index, level=0)


class StoreRun:
    """The files of a group under one fault, and what it has acknowledged as durable."""

    def __init__(self, seed, *, ends_at_failure=False):
        self.seed = seed
        self.disk = FaultyDisk(rng=random.Random(seed))
        self.ends_at_failure = ends_at_failure
        self.opened = None
        self.storage_id = None
        self.term = 0
        self.vote = (0, "")
        self.attempted_votes = {(0, "")}
        self.entries = {}
        self.snapshot_index = 0

    async def open(self):
        """Open the files as a process does; what it finds must be what was acknowledged."""
        # The same storage id is drawn as long as the first one has not been acknowledged.
        opened = await open_store(self.disk, GROUP, random.Random(self.seed))
        if is_failure(opened):
            return opened
        self.opened = opened
        self.check()
        return None

    def check(self):
        """Compare the opened files with what was acknowledged."""
        stored, replicated = self.opened.store, self.opened.log
        assert self.storage_id in (None, stored.vote.storage_id), "the storage id was replaced"
        self.storage_id = stored.vote.storage_id
        self.check_vote((stored.vote.term, stored.vote.voted_for))
        snapshot = self.opened.snapshot
        index = snapshot.index if snapshot is not None else 0
        assert index >= self.snapshot_index, "an acknowledged snapshot is lost"
        assert snapshot is None or snapshot == build_snapshot(index, snapshot.term)
        for position, entry in self.entries.items():
            if position > index:
                assert position <= replicated.last_index, f"acknowledged entry {position} is lost"
                assert replicated.entry_at(position) == entry
        self.snapshot_index = index
        first = replicated.base_index + 1
        self.entries = {i: replicated.entry_at(i) for i in range(first, replicated.last_index + 1)}

    def check_vote(self, vote):
        """Check that no other vote than the acknowledged one can be given in its term."""
        assert vote in self.attempted_votes and vote >= self.vote, f"{self.vote} became {vote}"
        assert vote[0] > self.vote[0] or self.vote[1] in ("", vote[1])
        self.vote = vote

    async def save_vote(self, name):
        """Vote in the next term."""
        term = self.vote[0] + 1
        self.attempted_votes.add((term, name))
        result = await self.opened.store.save_vote(term, name)
        if not is_failure(result):
            self.vote = (term, name)
        elif result.reason is Reason.DISK_FULL:
            self.attempted_votes.discard((term, name))
        return result

    async def append(self, count):
        """Append entries and sync them."""
        replicated = self.opened.log
        self.term += 1
        first = replicated.last_index + 1
        entries = [LogEntry(term=self.term, kind=COMMAND, payload=b"%d" % i) for i in range(count)]
        result = await replicated.append(entries)
        if result is None:
            result = await replicated.journal.sync()
        if not is_failure(result):
            self.entries.update({first + i: entry for i, entry in enumerate(entries)})
        return result

    async def take_snapshot(self):
        """Save a snapshot of the newest entry and compact the log."""
        index = self.opened.log.last_index
        result = await self.save_snapshot(index, self.opened.log.last_term)
        return await self.opened.log.compact(index) if result is None else result

    async def receive_snapshot(self):
        """Save a snapshot of the leader, which is far ahead, and replace the log."""
        self.term += 1
        index = self.opened.log.last_index + 10
        result = await self.save_snapshot(index, self.term)
        return await self.opened.log.replace(index, self.term, []) if result is None else result

    async def save_snapshot(self, index, term):
        """Save a snapshot."""
        result = await self.opened.store.save_snapshot(build_snapshot(index, term))
        if result is None:
            self.snapshot_index = max(self.snapshot_index, index)
        return result

    async def run(self):
        """Vote, append, take and receive snapshots and open again."""
        for step, *arguments in (
            (self.open,),
            (self.save_vote, "a"),
            (self.append, 3),
            (self.append, 3),
            (self.take_snapshot,),
            (self.append, 2),
            (self.save_vote, "b"),
            (self.receive_snapshot,),
            (self.append, 2),
            (self.open,),
            (self.append, 2),
            (self.take_snapshot,),
            (self.save_vote, "c"),
        ):
            await self.run_step(step, *arguments)

    async def run_step(self, step, *arguments):
        """Run a step again until it succeeds, or end the process; open the files in between."""

        async def handle_failure(failure):
            if self.ends_at_failure:
                raise StepFailed
            if failure.reason is Reason.DISK_ERROR and step != self.open:
                await self.run_step(self.open)

        await repeat_step(
            step, *arguments, max_attempts=MAX_ATTEMPTS, handle_failure=handle_failure
        )


@pytest.fixture(autouse=True)
def limits(monkeypatch):
    """Let a few entries fill a segment, and keep few before a snapshot."""
    monkeypatch.setattr(log, "RETAINED_ENTRIES", 2)
    monkeypatch.setattr(store, "open_journal", functools.partial(open_journal, segment_bytes=60))


@pytest.mark.parametrize("fail_count", FAIL_COUNTS)
@pytest.mark.parametrize("kind", KINDS)
async def test_files_of_a_group_keep_what_they_acknowledged_when_one_call_fails(
    autojump_clock, kind, fail_count
):
    """Guards against a vote, entry or snapshot that is lost by the rest of a failed step."""
    for index in await list_fault_indexes(StoreRun(1), kind, fail_count=fail_count):
        run = StoreRun(index)
        set_fault(run, index, kind, fail_count)
        await run.run()
        await check_power_losses(run)


@pytest.mark.parametrize("fail_count", [1, 10**9])
@pytest.mark.parametrize("torn", [True, False])
@pytest.mark.parametrize("kind", [FULL, PARTIAL])
async def test_files_of_a_group_survive_the_end_of_the_process_at_a_failed_call(
    autojump_clock, kind, torn, fail_count
):
    """Guards against leftovers that only a start finds: of a killed process, then a power loss."""
    for index in await list_fault_indexes(StoreRun(1), kind, fail_count=fail_count):
        run = StoreRun(index, ends_at_failure=True)
        set_fault(run, index, kind, fail_count)
        try:
            await run.run()
        except StepFailed:
            pass
        await check_end_of_process(run, torn=torn, fail_count=fail_count)

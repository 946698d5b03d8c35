"""Let each single call of the disk fail under a journal, then end the process or the power."""

import random

import pytest

from marigoldtrail.errors import Reason, is_failure
from marigoldtrail.storage import Record, open_journal
from marigoldtrail.testing.faulty_files import FULL, KINDS, PARTIAL, FaultyDisk
from marigoldtrail.testing.single_faults import (
    FAIL_COUNTS,
    check_end_of_process,
    check_power_losses,
    list_fault_indexes,
    repeat_step,
    set_fault,
)

PREFIX = "g/log/"


class JournalRun:
    """A journal under one fault, and the records that it has acknowledged as durable."""

    def __init__(self, seed):
        self.disk = FaultyDisk(rng=random.Random(seed))
        self.journal = None
        self.term = 0
        self.appended = {}
        self.durable = {}
        # Records after this index, or up to it, may be gone.
        self.dropped_after = 10**9
        self.dropped_until = 0

    async def open(self):
        """Open the journal as a process does; what counts is durable."""
        opened = await self.disk.sync_names(PREFIX.rstrip("/"))
        if opened is None:
            opened = await open_journal(self.disk, PREFIX, segment_bytes=120)
        if is_failure(opened):
            return opened
        written = await opened.write_tail_anew()
        if is_failure(written):
            return written
        self.journal = opened
        return await self.check()

    async def check(self):
        """Compare the journal with what it has acknowledged."""
        records = await self.journal.read_from(0)
        if is_failure(records):
            return records
        found = {record.index: record for record in records}
        assert sorted(found) == list(range(min(found, default=1), max(found, default=0) + 1))
        for index, record in found.items():
            assert record in self.appended[index]
        for index, record in self.durable.items():
            if self.dropped_until < index <= self.dropped_after:
                assert found.get(index) == record, f"acknowledged record {index} is lost"
        self.durable = found
        self.dropped_after = 10**9
        return None

    async def append(self, count):
        """Append records and sync; a full disk refuses all of them."""
        first = self.journal.last_index + 1 if self.journal.last_index else 1
        self.term += 1
        records = [Record(self.term, first + i, b"record %d" % i) for i in range(count)]
        for record in records:
            self.appended.setdefault(record.index, []).append(record)
        result = await self.journal.append(records)
        if is_failure(result):
            if result.reason is Reason.DISK_FULL:
                self.forget(records)
            return result
        result = await self.journal.sync()
        if not is_failure(result):
            self.durable.update({record.index: record for record in records})
        return result

    async def cut(self, count):
        """Remove the newest records."""
        self.dropped_after = max(0, self.journal.last_index - count)
        result = await self.journal.drop_after(self.dropped_after)
        if is_failure(result) and result.reason is not Reason.DISK_FULL:
            return result
        if not is_failure(result):
            self.durable = {i: r for i, r in self.durable.items() if i <= self.dropped_after}
            self.appended = {i: r for i, r in self.appended.items() if i <= self.dropped_after}
        self.dropped_after = 10**9
        return result

    def forget(self, records):
        """Remove records of which nothing may be on disk."""
        for record in records:
            self.appended[record.index].remove(record)

    async def compact(self, count):
        """Drop old segments."""
        self.dropped_until = max(self.dropped_until, self.journal.last_index - count)
        return await self.journal.drop_until(self.dropped_until)

    async def run(self):
        """Append, roll, truncate, compact and reopen; after a failure with effect reopen."""
        steps = [
            (self.open, ()),
            *[(self.append, (2,))] * 3,
            (self.cut, (3,)),
            *[(self.append, (3,))] * 4,
            (self.cut, (13,)),
            *[(self.append, (3,))] * 3,
            (self.compact, (4,)),
            (self.cut, (1,)),
            (self.append, (1,)),
            (self.open, ()),
            *[(self.append, (2,))] * 2,
        ]
        for step, arguments in steps:
            await self.run_step(step, *arguments)

    async def run_step(self, step, *arguments):
        """Run a step again until it succeeds; open the journal anew, or cut it, in between."""

        async def handle_failure(failure):
            if failure.reason is Reason.DISK_ERROR and step != self.open:
                await self.run_step(self.open)
            elif step == self.append:
                # As a new leader does that lacks the newest record.
                await self.run_step(self.cut, 1)

        await repeat_step(
            step, *arguments, max_attempts=2 * max(FAIL_COUNTS), handle_failure=handle_failure
        )


@pytest.mark.parametrize("fail_count", FAIL_COUNTS)
@pytest.mark.parametrize("kind", KINDS)
async def test_journal_keeps_what_it_acknowledged_when_one_call_fails(
    autojump_clock, kind, fail_count
):
    """Guards against a step whose rest on disk loses records at once or at a later start."""
    for index in await list_fault_indexes(JournalRun(1), kind, fail_count=fail_count):
        run = JournalRun(index)
        set_fault(run, index, kind, fail_count)
        await run.run()
        await check_power_losses(run)


@pytest.mark.parametrize("fail_count", [1, 10**9])
@pytest.mark.parametrize("torn", [True, False])
@pytest.mark.parametrize("kind", [FULL, PARTIAL])
async def test_journal_survives_the_end_of_the_process_at_a_failed_call(
    autojump_clock, kind, torn, fail_count
):
    """Guards against leftovers that only a start finds: of a killed process, then a power loss."""
    for index in await list_fault_indexes(JournalRun(1), kind, fail_count=fail_count):
        run = JournalRun(index)
        set_fault(run, index, kind, fail_count)
        await stop_at_failure(run)
        await check_end_of_process(run, torn=torn, fail_count=fail_count)
        await run.append(3)
        run.disk.crash(torn=torn)
        assert await run.open() is None


async def stop_at_failure(run):
    """Run until the first step that fails."""

    async def run_once(step, *arguments):
        if is_failure(await step(*arguments)):
            raise StopAsyncIteration

    run.run_step = run_once
    try:
        await run.run()
    except StopAsyncIteration:
        return

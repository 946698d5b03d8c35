"""Tests of the replicated log on a disk that refuses single operations."""

import random

from marigoldtrail.consensus.log import COMMAND, ReplicatedLog
from marigoldtrail.errors import Reason
from marigoldtrail.schema.generated.consensus import LogEntry
from marigoldtrail.storage import open_journal
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.testing.disk import full_failure


async def test_snapshot_whose_installation_fails_leaves_the_entries_in_memory(
    autojump_clock, monkeypatch
):
    """Guards against entries that are looked up behind a snapshot that was not applied."""
    disk = MemoryDisk(rng=random.Random(1))
    journal = await open_journal(disk, "log/", segment_bytes=1)
    log = ReplicatedLog(journal=journal, base_index=0, base_term=0, voters=[], snapshot_index=0)
    for number in range(3):
        await log.append([LogEntry(term=1, kind=COMMAND, payload=b"%d" % number)])

    async def refuse(name):
        return full_failure("remove", name)

    monkeypatch.setattr(MemoryDisk, "remove", lambda self, name: refuse(name))
    assert (await log.replace(2, 1, [])).reason is Reason.DISK_FULL
    assert log.entry_at(1).payload == b"0" and log.snapshot_index == 0
    monkeypatch.undo()
    assert await log.replace(2, 1, []) is None
    assert log.base_index == 2 and log.entry_at(3).payload == b"2"

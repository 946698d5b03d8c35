"""Tests of a group's files that an earlier process left without syncing them."""

import functools
import random

import pytest

from marigoldtrail.consensus import store
from marigoldtrail.consensus.log import COMMAND
from marigoldtrail.consensus.store import open_store
from marigoldtrail.schema.generated.consensus import LogEntry, StoredSnapshot
from marigoldtrail.storage import open_journal
from marigoldtrail.testing.faulty_files import FaultyDisk


async def append(opened, first, last):
    """Append entries, without a sync."""
    for index in range(first, last + 1):
        entry = LogEntry(term=1, kind=COMMAND, payload=b"%d" % index)
        assert await opened.log.append([entry]) is None


@pytest.fixture
def disk():
    return FaultyDisk(rng=random.Random(1))


async def test_entries_in_several_segments_are_durable_before_they_count(
    autojump_clock, disk, monkeypatch
):
    """Guards against an older segment that was never synced."""
    monkeypatch.setattr(store, "open_journal", functools.partial(open_journal, segment_bytes=1))
    await append(await open_store(disk, "g", random.Random(1)), 1, 3)
    disk.kill()
    opened = await open_store(disk, "g", random.Random(2))
    disk.crash(torn=False)
    assert (await open_store(disk, "g", random.Random(3))).log.last_index == 3
    assert opened.log.last_index == 3


@pytest.mark.parametrize("is_sync_refused", [False, True])
async def test_entries_of_a_killed_process_are_durable_before_they_count(
    autojump_clock, disk, is_sync_refused
):
    """Guards against acknowledged entries that only the page cache holds."""
    opened = await open_store(disk, "g", random.Random(1))
    await append(opened, 1, 3)
    if is_sync_refused:
        disk.files.fail_at = disk.files.count
        assert await opened.log.journal.sync() is not None
    disk.kill()
    opened = await open_store(disk, "g", random.Random(2))
    assert opened.log.last_index == 3
    disk.crash(torn=False)
    assert (await open_store(disk, "g", random.Random(3))).log.last_index == 3


async def test_snapshot_of_a_killed_process_is_durable_before_it_replaces_the_log(
    autojump_clock, disk
):
    """Guards against the loss of both a snapshot without a durable name and the log behind it."""
    opened = await open_store(disk, "g", random.Random(1))
    await append(opened, 1, 3)
    assert await opened.log.journal.sync() is None
    first = StoredSnapshot(index=1, term=1, voters=[], data=b"", level=0)
    assert await opened.store.save_snapshot(first) is None
    snapshot = StoredSnapshot(index=9, term=2, voters=[], data=b"state", level=0)
    await fail_at_folder_sync(disk, opened.store, snapshot)
    disk.kill()
    opened = await open_store(disk, "g", random.Random(2))
    assert opened.snapshot == snapshot and opened.log.base_index == 9
    disk.crash(torn=False)
    opened = await open_store(disk, "g", random.Random(3))
    assert opened.snapshot == snapshot and opened.log.base_index == 9


async def fail_at_folder_sync(disk, files, snapshot):
    """Save a snapshot whose name does not become durable."""
    fsync = type(disk.files).fsync
    calls = []

    def fail_second(self, fd):
        calls.append(fd)
        if len(calls) == 2:
            self.fail_at, self.fail_count = self.count, 1
        fsync(self, fd)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(disk.files), "fsync", fail_second)
        assert await files.save_snapshot(snapshot) is not None
    assert disk.files.failed[-1] == "fsync of a folder"

"""Test the journal on the in-memory disk with injected faults."""

import itertools
import random

import pytest

from marigoldtrail.errors import Reason, is_failure
from marigoldtrail.storage import Record, open_journal
from marigoldtrail.storage.journal import encode_record
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.testing.disk import full_failure

PREFIX = "config/log/"


def make_records(first, last, *, term=1):
    return [Record(term, index, b"payload %d" % index) for index in range(first, last + 1)]


async def open_small(disk, **options):
    """Open a journal with segments of about four records."""
    return await open_journal(disk, PREFIX, segment_bytes=120, **options)


async def fill(disk, last):
    journal = await open_small(disk)
    for record in make_records(1, last):
        assert await journal.append([record]) is None
    assert await journal.sync() is None
    return journal


@pytest.fixture
def disk():
    return MemoryDisk(rng=random.Random(7))


async def test_records_survive_reopening_and_dropping(autojump_clock, disk):
    """Guards against records lost or wrongly kept at segment boundaries."""
    journal = await fill(disk, 20)
    assert len(disk.files) > 3
    assert await journal.drop_until(9) is None
    assert await journal.drop_after(17) is None
    assert await journal.append(make_records(18, 18, term=2)) is None
    again = await open_small(disk)
    assert again.first_index <= 10 and again.last_index == 18
    expected = [*make_records(10, 17), *make_records(18, 18, term=2)]
    assert await again.read_from(10) == await journal.read_from(10) == expected
    assert await again.drop_after(0) is None
    assert await again.append(make_records(5, 6)) is None and again.first_index == 5


async def test_crash_loses_only_unsynced_records(autojump_clock, disk):
    """Guards against a torn tail that prevents opening or causes loss of synced records."""
    for seed in range(30):
        disk = MemoryDisk(rng=random.Random(seed))
        journal = await fill(disk, 5)
        await journal.append(make_records(6, 9))
        disk.crash(torn=True)
        again = await open_small(disk)
        assert 5 <= again.last_index <= 9
        assert await again.read_from(1) == make_records(1, again.last_index)
        assert await again.append(make_records(again.last_index + 1, 10)) is None


async def test_torn_segment_without_records_is_removed(autojump_clock, disk):
    """Guards against an empty or torn last segment that prevents appending."""
    await fill(disk, 4)
    for torn in (b"", encode_record(Record(1, 5, b"torn"))[:-1]):
        await disk.append(f"{PREFIX}{5:020d}.log", torn)
        journal = await open_small(disk)
        assert journal.last_index == 4
        assert await disk.list_names(PREFIX) == [f"{PREFIX}{1:020d}.log"]


async def test_empty_segment_of_a_refused_append_is_skipped(autojump_clock, disk):
    """Guards against valid records that are taken for corrupt behind an empty segment."""
    journal = await fill(disk, 4)
    await disk.append(f"{PREFIX}{5:020d}.log", b"")
    assert await journal.drop_after(3) is None
    # Of one batch, both records go to the first segment, so that the next one starts at 6.
    assert await journal.append(make_records(4, 5, term=2)) is None
    for record in make_records(6, 12, term=2):
        assert await journal.append([record]) is None
    again = await open_small(disk)
    expected = [*make_records(1, 3), *make_records(4, 12, term=2)]
    assert await again.read_from(1) == expected
    assert f"{PREFIX}{5:020d}.log" not in await disk.list_names(PREFIX)


@pytest.mark.parametrize("offset", [0, 5, 10, 17, 26])
async def test_corruption_before_valid_records_is_refused(autojump_clock, disk, offset):
    """Guards against a journal that skips, alters or silently truncates a corrupt record."""
    await fill(disk, 20)
    name = sorted(disk.files)[1]
    disk.flip_bit(name, offset)
    failure = await open_small(disk)
    assert is_failure(failure) and failure.reason is Reason.CORRUPT and name in failure.detail
    truncated = await open_small(disk, truncate_corrupt=True)
    assert truncated.last_index == 4 and (await open_small(disk)).last_index == 4


async def test_missing_segment_is_refused(autojump_clock, disk):
    """Guards against a gap between segments that is accepted as a complete log."""
    await fill(disk, 20)
    await disk.remove(sorted(disk.files)[1])
    assert (await open_small(disk)).reason is Reason.CORRUPT


async def test_record_corrupted_after_opening_is_not_returned(autojump_clock, disk):
    """Guards against corrupt content in the result of `read_from`."""
    journal = await fill(disk, 4)
    disk.flip_bit(sorted(disk.files)[0], 30)
    assert (await journal.read_from(1)).reason is Reason.CORRUPT


async def test_failed_sync_is_final(autojump_clock, disk):
    """Guards against a second sync that reports success for dropped pages."""
    journal = await fill(disk, 3)
    await journal.append(make_records(4, 4))
    disk.fail_syncs = True
    assert (await journal.sync()).reason is Reason.DISK_ERROR
    disk.fail_syncs = False
    for call in (journal.sync(), journal.append(make_records(5, 5)), journal.drop_after(0)):
        assert (await call).reason is Reason.DISK_ERROR


@pytest.mark.parametrize("refused", [1, 2])
async def test_journal_that_lost_records_to_a_refused_removal_is_not_used(
    autojump_clock, disk, monkeypatch, refused
):
    """Guards against a caller that goes on with records that are no longer on disk."""
    journal = await fill(disk, 12)
    calls = itertools.count(1)
    remove = disk.remove

    async def refuse(name):
        return full_failure("remove", name) if next(calls) == refused else await remove(name)

    monkeypatch.setattr(MemoryDisk, "remove", lambda self, name: refuse(name))
    failure = await journal.drop_after(0)
    monkeypatch.undo()
    is_usable = await journal.append(make_records(13, 13)) is None
    assert is_usable == (failure.reason is Reason.DISK_FULL) == (refused == 1)


async def test_full_disk_appends_nothing_and_recovers(autojump_clock, disk):
    """Guards against a partial batch, or an unusable journal, after a full disk."""
    journal = await fill(disk, 3)
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + 20
    assert (await journal.append(make_records(4, 5))).reason is Reason.DISK_FULL
    assert journal.last_index == 3 and (await open_small(disk)).last_index == 3
    disk.capacity_bytes = None
    assert await journal.append(make_records(4, 5)) is None
    assert (await open_small(disk)).last_index == 5

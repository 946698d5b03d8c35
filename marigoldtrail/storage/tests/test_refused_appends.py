"""Test what a power loss leaves of an append that a full disk refused."""

import random

from marigoldtrail.errors import Reason
from marigoldtrail.storage import Record, open_journal
from marigoldtrail.testing.faulty_files import PARTIAL, FaultyDisk

PREFIX = "g/log/"


def make_batch(first, text):
    return [Record(1, index, text) for index in (first, first + 1)]


async def test_record_of_a_refused_append_does_not_come_back_after_a_power_loss(autojump_clock):
    """Guards against a refused record in place of a later one of the same index and term."""
    for seed in range(60):
        disk = FaultyDisk(rng=random.Random(seed))
        journal = await open_journal(disk, PREFIX)
        assert await journal.append(make_batch(1, b"first")) is None
        assert await journal.sync() is None
        disk.files.fail_kind, disk.files.fail_count = PARTIAL, 2
        # The disk is full within the write: the first record of the batch is in the file.
        disk.files.fail_at = disk.files.count + 1
        failure = await journal.append(make_batch(3, b"other"))
        assert failure.reason is Reason.DISK_FULL and "partial write" in disk.files.failed
        disk.files.fail_at = None
        assert await journal.append(make_batch(3, b"later")) is None
        disk.crash(torn=True)
        again = await open_journal(disk, PREFIX)
        expected = [*make_batch(1, b"first"), *make_batch(3, b"later")]
        found = await again.read_from(1)
        assert found == expected[: len(found)] and len(found) >= 2, seed

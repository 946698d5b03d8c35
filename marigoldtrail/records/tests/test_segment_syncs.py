"""Tests of segment files whose sync fails while they are verified."""

from marigoldtrail.records.tests.fakes import FOLDER, make_disk, make_machine
from marigoldtrail.records.tests.test_segments import put

FILE = f"{FOLDER}/{1:08d}.seg"


async def test_prefix_whose_sync_failed_at_a_start_is_written_again(autojump_clock):
    """Guards against a segment that counts as complete though its pages were dropped."""
    source_disk = make_disk()
    machine = make_machine(source_disk)
    put(machine, range(3))
    await machine.store.flush()
    snapshot, data = machine.snapshot(), await source_disk.read(FILE)
    # A process has written the same bytes and was killed before its sync.
    disk = make_disk()
    await disk.append(FILE, data)
    again = make_machine(disk)
    again.restore(snapshot)
    disk.fail_syncs = True
    await again.store.maintain()
    disk.fail_syncs = False
    assert not again.is_complete()
    await again.store.maintain()
    assert again.is_complete()
    disk.crash(torn=False)
    size = await disk.get_size(FILE)
    assert size == len(data)

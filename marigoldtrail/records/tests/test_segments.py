"""Segment files on a disk with torn writes, corruption and write errors."""

import json
import random

import msgspec
import pytest

from marigoldtrail.errors import Reason, is_failure
from marigoldtrail.records import RecordMachine, SegmentStore, export_records
from marigoldtrail.records.fetch import fetch_missing
from marigoldtrail.records.machine import PutCommand, RetainCommand, encode_command
from marigoldtrail.records.search import search_records
from marigoldtrail.records.tests.fakes import FOLDER, corrupt, make_disk, make_machine, make_record
from marigoldtrail.schema.generated.records import FindRecords, SegmentChunk
from marigoldtrail.testing.faulty_files import INPUT_OUTPUT, FaultyDisk, FaultyFiles

FILE = f"{FOLDER}/{1:08d}.seg"


def put(machine, numbers, **fields):
    for number in numbers:
        payload = msgspec.Raw(msgspec.msgpack.encode(make_record(number, **fields)))
        machine.apply(number, encode_command(PutCommand(payload, number)))


async def find(machine, **fields):
    found = await search_records(machine.store, FindRecords(group="records-0", **fields))
    return found if is_failure(found) else [record.request_id for record in found]


async def restart(machine, disk, *, crash=True):
    """Restore the current snapshot on the existing files."""
    data = machine.snapshot()
    if crash:
        disk.crash()
    again = make_machine(disk)
    again.restore(data)
    await again.store.maintain()
    return again


async def test_records_are_found_by_each_field_in_memory_and_on_disk(autojump_clock):
    """Guards against records lost from the index when segments are flushed, sealed or reloaded."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(20))
    for step in range(3):
        assert await find(machine, request_id="00000007") == ["00000007"]
        assert await find(machine, result_digest="r3") == ["00000007", "00000006"]
        assert await find(machine, idempotency_key="key9", client_account="acme") == ["00000009"]
        assert await find(machine, idempotency_key="key9", client_account="other") == []
        assert len(await find(machine, client_account="acme")) == 20
        assert await find(machine, limit=2) == ["00000013", "00000012"]
        await machine.store.maintain()
        if step == 1:
            machine = await restart(machine, disk)
    assert len(machine.store.list_numbers()) > 2
    assert machine.is_complete()


async def test_repeated_record_is_stored_once(autojump_clock):
    """Guards against duplicate records after a lost reply, also across a restore."""
    machine = make_machine(make_disk())
    put(machine, [1, 2])
    again = make_machine(make_disk())
    again.restore(machine.snapshot())
    payload = msgspec.Raw(msgspec.msgpack.encode(make_record(1)))
    reply = again.apply(9, encode_command(PutCommand(payload, 9)))
    assert reply.index == 1
    assert again.snapshot() == machine.snapshot()


async def test_torn_tail_is_truncated_and_rewritten(autojump_clock):
    """Guards against a partial entry left between two valid entries after a torn write."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(3))
    await machine.store.flush()
    snapshot = machine.snapshot()
    size = await disk.get_size(FILE)
    put(machine, range(3, 5))
    await disk.append(FILE, b"\0\0\1\0half an entry")
    again = make_machine(disk)
    again.restore(snapshot)
    put(again, range(3, 5))
    await again.store.flush()
    assert await disk.get_size(FILE) > size
    assert await find(again, client_account="acme") == [f"00{n:06x}" for n in (4, 3, 2, 1, 0)]
    assert again.snapshot() != snapshot
    assert (await restart(again, disk)).is_complete()


async def test_lost_unsynced_bytes_are_restored_from_the_snapshot(autojump_clock):
    """Guards against a snapshot without the bytes that were not yet durable in the files."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(2))
    await machine.store.flush()
    put(machine, range(2, 4))
    again = await restart(machine, disk)
    assert await find(again, client_account="acme") == [f"00{n:06x}" for n in (3, 2, 1, 0)]


async def test_corrupt_record_is_reported_and_refetched(autojump_clock):
    """Guards against a corrupt record that is returned as valid or is never repaired."""
    disk, other = make_disk(), make_disk()
    machine, member = make_machine(disk), make_machine(other)
    for each in (machine, member):
        put(each, range(12))
        await each.store.flush()
    corrupt(disk, 1, 100)
    first = await find(machine, request_id="00000000")
    assert is_failure(first) and first.reason is Reason.CORRUPT
    assert await find(machine, request_id="00000005") == ["00000005"], "other records stay readable"
    await machine.store.maintain()
    assert [segment.number for segment in machine.store.list_missing()] == [1]
    assert not machine.is_complete()

    async def fetch(host, req):
        data = await member.store.read_durable(req.segment, req.offset, 700)
        return data if is_failure(data) else SegmentChunk(size=0, data=data)

    assert await fetch_missing(machine.store, "records-0", ["c2"], fetch) == 1
    assert await find(machine, request_id="00000000") == ["00000000"]
    assert machine.is_complete()


async def test_content_with_wrong_checksum_is_not_installed(autojump_clock):
    """Guards against replacing the file with a corrupt copy from another member."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(2))
    await machine.store.flush()
    corrupt(disk, 1, 50)
    damaged = bytes(disk.files[FILE].data)
    again = await restart(machine, disk, crash=False)
    [segment] = again.store.list_missing()
    assert not await again.store.install(segment, damaged)
    assert not again.is_complete()
    failure = await find(again, client_account="acme")
    assert is_failure(failure) and failure.retry_after_s > 0


async def test_full_disk_and_failed_sync_lose_no_entries(autojump_clock):
    """Guards against entries that are lost or written twice after a disk error."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(2))
    disk.capacity_bytes = 10
    await machine.store.maintain()
    assert machine.store.failure.reason is Reason.DISK_FULL
    disk.capacity_bytes = None
    disk.fail_syncs = True
    await machine.store.maintain()
    assert machine.store.failure.reason is Reason.DISK_ERROR
    assert machine.store.count_unflushed_bytes() > 0
    disk.fail_syncs = False
    await machine.store.maintain()
    assert machine.store.failure is None and machine.store.count_unflushed_bytes() == 0
    assert await find(await restart(machine, disk), client_account="acme") == [
        "00000001",
        "00000000",
    ]


def make_faulty_machine():
    """Return a machine on a disk whose single calls can fail, and the disk."""
    disk = FaultyDisk(rng=random.Random(1))
    return make_machine(disk), disk


async def test_segment_that_could_not_be_read_for_a_moment_is_read_again(autojump_clock):
    """Guards against records that are never served again although their file is whole."""
    machine, disk = make_faulty_machine()
    put(machine, range(2))
    await machine.store.flush()
    again = make_machine(disk)
    again.restore(machine.snapshot())
    disk.files.fail_kind, disk.files.fail_count = INPUT_OUTPUT, 1
    # The sizes are asked for before; the first read fails.
    disk.files.fail_at = disk.files.count + 2
    await again.store.maintain()
    assert disk.files.failed == ["fstat"] and again.store.failure is not None
    await again.store.maintain()
    assert again.store.failure is None and again.is_complete()
    assert await find(again, client_account="acme") == ["00000001", "00000000"]


async def test_file_of_a_killed_process_is_durable_before_it_counts(autojump_clock):
    """Guards against a host that counts as complete with bytes that only the page cache holds."""
    machine, disk = make_faulty_machine()
    put(machine, range(2))
    await machine.store.flush()
    killed, own_disk = make_faulty_machine()
    await own_disk.append(FILE, await disk.read(FILE))
    own_disk.kill()
    # From the snapshot of the member that has synced its file.
    killed.restore(machine.snapshot())
    await killed.store.maintain()
    assert killed.is_complete()
    own_disk.crash(torn=False)
    assert await own_disk.read(FILE) == await disk.read(FILE)


async def test_refused_removal_of_a_dropped_file_is_tried_again(autojump_clock):
    """Guards against files of dropped segments that fill the disk until the next restart."""
    machine, disk = make_faulty_machine()
    await machine.store.flush()
    put(machine, range(2))
    await machine.store.flush()
    orphan = f"{FOLDER}/{9:08d}.seg"
    await disk.append(orphan, b"dropped")
    machine.store.restore(machine.store.dump())
    unlink = FaultyFiles.unlink

    def refuse(self, path):
        self.fail_at, self.fail_count = self.count, 1
        unlink(self, path)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FaultyFiles, "unlink", refuse)
        await machine.store.maintain()
    assert machine.store.failure is not None
    await machine.store.maintain()
    assert await disk.list_names(FOLDER) == [FILE] and machine.store.failure is None


async def test_retention_drops_whole_old_segments_and_their_files(autojump_clock):
    """Guards against files that remain after retention, and recent records that are dropped."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(20))
    await machine.store.flush()
    before = machine.store.list_numbers()
    machine.apply(21, encode_command(RetainCommand(10, 100)))
    await machine.store.maintain()
    kept = machine.store.list_numbers()
    assert kept[0] > before[0] and kept[-1] == before[-1]
    assert await find(machine, request_id="0000000a") == ["0000000a"]
    names = await disk.list_names(FOLDER)
    assert {int(name[len(FOLDER) + 1 :][:8]) for name in names} == set(kept)


async def test_members_write_the_same_bytes(autojump_clock):
    """Guards against segment content that depends on when a member flushed."""
    one, two = make_disk(), make_disk()
    first, second = make_machine(one), make_machine(two)
    for number in range(15):
        put(first, [number])
        put(second, [number])
        await first.store.flush()
    await second.store.flush()
    for name in await one.list_names(FOLDER):
        assert one.files[name].data == two.files[name].data


async def test_export_writes_json_lines_and_reports_damage(autojump_clock):
    """Guards against an export that stops at a corrupt segment or does not report it."""
    disk = make_disk()
    machine = make_machine(disk)
    put(machine, range(30), output=b'{"price": 7}')
    await machine.store.flush()
    corrupt(disk, 2, 30)
    lines = []

    async def write(line):
        lines.append(json.loads(line))

    failures = await export_records(machine.store, write)
    assert [failure.reason for failure in failures] == [Reason.CORRUPT]
    ids = [line["request_id"] for line in lines]
    assert ids[0] == "00000000" and ids[-1] == "0000001d" and 15 < len(ids) < 30
    assert lines[0]["output"] == '{"price": 7}'


def test_snapshot_of_another_version_is_refused():
    """Guards against decoding a snapshot of an incompatible format."""
    machine = RecordMachine(store=SegmentStore(disk=make_disk(), folder=FOLDER))
    state = msgspec.msgpack.decode(machine.snapshot())
    with pytest.raises(ValueError, match="version 9"):
        machine.restore(msgspec.msgpack.encode({**state, "version": 9}))

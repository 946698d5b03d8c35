"""Tests of the in-memory file system that fails at single calls."""

import random

import pytest

from marigoldtrail.errors import Reason
from marigoldtrail.testing.faulty_files import FULL, INPUT_OUTPUT, KINDS, PARTIAL, FaultyDisk


async def write_and_sync(disk):
    """Return the failures of an append, a sync and an atomic write, in this order."""
    return [
        await disk.append("g/log", b"abcd"),
        await disk.sync("g/log"),
        await disk.write_atomic("g/vote", b"vote"),
    ]


@pytest.fixture
def disk():
    return FaultyDisk(rng=random.Random(1))


async def test_power_loss_keeps_what_was_synced_and_may_lose_the_rest(autojump_clock, disk):
    """Guards against a fake disk that keeps bytes or names that nothing made durable."""
    assert await write_and_sync(disk) == [None] * 3
    await disk.append("g/log", b"ef")
    await disk.append("g/new", b"x")
    disk.kill()
    assert await disk.list_names() == ["g/log", "g/new", "g/vote"]
    disk.crash(torn=False)
    assert await disk.list_names() == ["g/log", "g/vote"]
    assert await disk.read("g/log") == b"abcd"


async def test_power_loss_may_keep_each_change_on_its_own(autojump_clock):
    """Guards against a fake disk that never keeps a name without its bytes, or a later change."""
    contents = set()
    for seed in range(60):
        disk = FaultyDisk(rng=random.Random(seed))
        await disk.sync("g/log")
        for data in (b"ab", b"cd"):
            await disk.append("g/log", data)
        disk.crash()
        contents.add(await disk.read("g/log"))
    whole = {b"", b"ab", b"abcd", b"\0\0cd"}
    torn = {b"a", b"abc", b"\0\0", b"\0\0c", b"a\0c", b"a\0cd"}
    assert contents == whole | torn


async def test_bytes_of_a_failed_sync_are_lost_although_they_can_be_read(autojump_clock, disk):
    """Guards against a fake disk that writes dropped pages at a later sync."""
    assert await write_and_sync(disk) == [None] * 3
    await disk.append("g/log", b"ef")
    disk.files.fail_at = disk.files.count
    assert (await disk.sync("g/log")).reason is Reason.DISK_ERROR
    assert disk.files.failed == ["fsync"] and await disk.read("g/log") == b"abcdef"
    assert await disk.sync("g/log") is None
    disk.crash(torn=False)
    assert await disk.read("g/log") == b"abcd"


@pytest.mark.parametrize("kind", KINDS)
async def test_each_call_can_fail(autojump_clock, kind):
    """Guards against calls of the real data folder that no index reaches."""
    disk = FaultyDisk(rng=random.Random(1))
    await write_and_sync(disk)
    failed = set()
    for index in range(disk.files.count):
        disk = FaultyDisk(rng=random.Random(1))
        disk.files.fail_at, disk.files.fail_kind = index, kind
        results = await write_and_sync(disk)
        assert any(results) == bool(disk.files.failed) or disk.files.failed == ["partial write"]
        failed.update(disk.files.failed)
    changing = {"create", "write", "fsync", "fsync of a folder", "replace", "mkdir"}
    expected = {
        FULL: changing,
        INPUT_OUTPUT: changing | {"open", "fstat", "stat"},
        PARTIAL: {"partial write"},
    }
    assert failed == expected[kind]

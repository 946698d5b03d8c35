"""Test the real data folder, and that the in-memory disk behaves the same."""

import errno
import itertools
import os
import random

import pytest

from marigoldtrail.errors import Reason, RunState, is_failure
from marigoldtrail.storage import Record, open_folder, open_journal, wait_for_folder
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.timers import Timers


@pytest.fixture(params=["folder", "memory"])
def disk(request, tmp_path):
    if request.param == "memory":
        yield MemoryDisk(rng=random.Random(1))
        return
    folder = open_folder(tmp_path / "data", timers=Timers())
    yield folder
    folder.close()


async def test_files_behave_the_same(disk):
    """Guards against a difference between the real folder and the in-memory disk."""
    assert await disk.append("g/log/1", b"abc") is None
    assert await disk.append("g/log/1", b"def") is None
    assert await disk.sync("g/log/1") is None
    assert await disk.write_atomic("g/vote", b"old") is None
    assert await disk.write_atomic("g/vote", b"new") is None
    assert await disk.read("g/vote") == b"new"
    assert await disk.read("g/log/1", offset=2, length=3) == b"cde"
    assert await disk.list_names("g/") == ["g/log/1", "g/vote"]
    assert await disk.truncate("g/log/1", 2) is None
    assert await disk.append("g/log/1", b"x") is None
    assert await disk.read("g/log/1") == b"abx" and await disk.get_size("g/log/1") == 3
    assert await disk.remove("g/log/1") is None
    assert await disk.remove("g/log/1") is None
    assert (await disk.read("g/log/1")).reason is Reason.NOT_FOUND
    assert (await disk.get_size("g/log/1")).reason is Reason.NOT_FOUND
    assert await disk.append("g/log/1", b"again") is None
    assert await disk.read("g/log/1") == b"again"


async def test_many_files_share_few_descriptors(tmp_path):
    """Guards against exhausted file descriptors, and against appends lost by closing a file."""
    disk = open_folder(tmp_path, timers=Timers())
    for turn in (b"a", b"b"):
        for number in range(100):
            assert await disk.append(f"s/{number}", turn) is None
    assert all([await disk.read(f"s/{number}") == b"ab" for number in range(100)])
    assert len(os.listdir("/proc/self/fd")) < 100
    disk.close()


async def test_folder_is_locked_by_one_process(tmp_path):
    """Guards against two processes that write the same log."""
    first = open_folder(tmp_path, timers=Timers())
    second = open_folder(tmp_path, timers=Timers())
    assert is_failure(second) and "in use" in second.detail
    first.close()
    third = open_folder(tmp_path, timers=Timers())
    assert not is_failure(third)
    third.close()


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
async def test_start_waits_until_the_disk_accepts_the_lock_file(
    tmp_path, monkeypatch, autojump_clock, number
):
    """Guards against a process that ends again and again while its disk is full."""
    real, refused = os.open, []

    def refuse(path, *args):
        if str(path).endswith("lock") and len(refused) < 5:
            refused.append(path)
            raise OSError(number, "refused")
        return real(path, *args)

    monkeypatch.setattr(os, "open", refuse)
    disk = await wait_for_folder(tmp_path, timers=Timers())
    assert not is_failure(disk) and len(refused) == 5
    assert "in use" in (await wait_for_folder(tmp_path, timers=Timers())).detail
    disk.close()


async def test_rest_of_an_atomic_write_is_removed_at_the_start(tmp_path):
    """Guards against files of killed processes that fill the disk and are never listed."""
    (tmp_path / "g").mkdir()
    (tmp_path / "g" / "snapshot.tmp").write_bytes(b"rest")
    disk = open_folder(tmp_path, timers=Timers())
    assert list((tmp_path / "g").iterdir()) == []
    disk.close()


async def test_names_stay_inside_the_folder(tmp_path):
    """Guards against a name that accesses files outside the data folder."""
    disk = open_folder(tmp_path, timers=Timers())
    for name in ("../x", "/x", "a//b", ""):
        with pytest.raises(ValueError):
            await disk.read(name)
    disk.close()


async def test_full_disk_removes_a_partial_append(tmp_path, monkeypatch):
    """Guards against a partial record that precedes later ones after a full disk."""
    disk = open_folder(tmp_path, timers=Timers())
    journal = await open_journal(disk, "log/")
    assert await journal.append([Record(1, 1, b"kept")]) is None
    write = os.write

    def write_some(fd, data):
        if len(data) < 20:
            raise OSError(errno.ENOSPC, "no space left on device")
        return write(fd, data[:10])

    monkeypatch.setattr(os, "write", write_some)
    failure = await journal.append([Record(1, 2, b"refused")])
    monkeypatch.undo()
    assert failure.reason is Reason.DISK_FULL and failure.run_state is RunState.NOT_RUN
    assert await journal.append([Record(1, 2, b"after")]) is None
    again = await open_journal(disk, "log/")
    assert [record.payload for record in await again.read_from(1)] == [b"kept", b"after"]
    disk.close()


async def test_refused_first_append_leaves_no_file(tmp_path, monkeypatch):
    """Guards against empty segments, which may later stand among valid ones."""
    disk = open_folder(tmp_path, timers=Timers())

    def refuse(fd, data):
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "write", refuse)
    assert (await disk.append("log/1", b"refused")).reason is Reason.DISK_FULL
    monkeypatch.undo()
    assert await disk.list_names() == []
    assert await disk.append("log/1", b"after") is None
    assert await disk.read("log/1") == b"after"
    disk.close()


def watch_folder_syncs(monkeypatch, synced, *, refuse=()):
    """Note the folders that are synced; a sync of a folder whose name is in `refuse` fails."""
    fsync = os.fsync

    def watch(fd):
        path = os.readlink(f"/proc/self/fd/{fd}")
        if os.path.isdir(path):
            if os.path.basename(path) in refuse:
                raise OSError(errno.ENOSPC, "no space left on device")
            synced.append(os.path.basename(path))
        fsync(fd)

    monkeypatch.setattr(os, "fsync", watch)


@pytest.mark.parametrize("refused", ["data", "g", "log"])
async def test_sync_succeeds_only_when_the_name_is_durable(tmp_path, monkeypatch, refused):
    """Guards against a file that counts as durable in a folder that was never synced."""
    disk = open_folder(tmp_path / "data", timers=Timers())
    synced = []
    watch_folder_syncs(monkeypatch, synced, refuse=[refused])
    await disk.append("g/log/1", b"a")
    assert (await disk.sync("g/log/1")).reason is Reason.DISK_ERROR
    monkeypatch.undo()
    watch_folder_syncs(monkeypatch, synced)
    assert await disk.append("g/log/1", b"b") is None
    assert await disk.sync("g/log/1") is None
    assert set(synced) == {"data", "g", "log"}
    disk.close()


async def test_sync_covers_the_name_of_a_file_that_an_earlier_process_left(tmp_path, monkeypatch):
    """Guards against a file whose process was killed before it could sync the folder."""
    disk = open_folder(tmp_path / "data", timers=Timers())
    await disk.append("g/log/1", b"a")
    disk.close()
    disk = open_folder(tmp_path / "data", timers=Timers())
    synced = []
    watch_folder_syncs(monkeypatch, synced)
    for _ in range(3):
        await disk.append("g/log/1", b"b")
        assert await disk.sync("g/log/1") is None
    assert synced == ["data", "g", "log"]
    disk.close()


def refuse_calls(monkeypatch, name, *, accepted=0):
    """Let a call of the operating system fail with a full disk after some that succeed."""
    real = getattr(os, name)
    calls = itertools.count()

    def refuse(*args):
        if next(calls) >= accepted:
            raise OSError(errno.ENOSPC, "no space left on device")
        return real(*args)

    monkeypatch.setattr(os, name, refuse)


async def test_partial_append_that_stays_is_not_reported_as_a_full_disk(tmp_path, monkeypatch):
    """Guards against a caller that appends behind the rest of a refused record."""
    disk = open_folder(tmp_path, timers=Timers())
    write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: write(fd, data[:3]))
    refuse_calls(monkeypatch, "write", accepted=1)
    refuse_calls(monkeypatch, "ftruncate")
    failure = await disk.append("log/1", b"refused")
    monkeypatch.undo()
    assert failure.reason is Reason.DISK_ERROR and failure.run_state is RunState.MAY_HAVE_RUN
    assert await disk.read("log/1") == b"ref"
    disk.close()


@pytest.mark.parametrize("step", ["write_atomic", "truncate", "remove"])
async def test_refused_sync_after_an_effect_is_not_reported_as_a_full_disk(
    tmp_path, monkeypatch, step
):
    """Guards against a vote, a log or a snapshot that changed although the call says it did not."""
    disk = open_folder(tmp_path, timers=Timers())
    await disk.write_atomic("g/file", b"old")
    run = {
        "write_atomic": lambda: disk.write_atomic("g/file", b"new"),
        "truncate": lambda: disk.truncate("g/file", 1),
        "remove": lambda: disk.remove("g/file"),
    }[step]
    refuse_calls(monkeypatch, "fsync", accepted=1 if step == "write_atomic" else 0)
    failure = await run()
    monkeypatch.undo()
    assert failure.reason is Reason.DISK_ERROR and failure.run_state is RunState.MAY_HAVE_RUN
    content = await disk.read("g/file")
    assert is_failure(content) if step == "remove" else content in (b"new", b"o")
    disk.close()


async def test_failed_fsync_of_the_folder_breaks_the_journal(tmp_path, monkeypatch):
    """Guards against an fsync error, a full disk included, that is treated as recoverable."""
    disk = open_folder(tmp_path, timers=Timers())
    journal = await open_journal(disk, "log/")
    await journal.append([Record(1, 1, b"x")])

    def fail(fd):
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    assert (await journal.sync()).reason is Reason.DISK_ERROR
    monkeypatch.undo()
    assert (await journal.sync()).reason is Reason.DISK_ERROR
    disk.close()


async def test_interrupted_atomic_write_keeps_the_old_content(tmp_path, monkeypatch):
    """Guards against a vote lost by a crash or a full disk during its replacement."""
    disk = open_folder(tmp_path, timers=Timers())
    await disk.write_atomic("vote", b"old")

    def fail(source, target):
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "replace", fail)
    assert (await disk.write_atomic("vote", b"new")).reason is Reason.DISK_FULL
    monkeypatch.undo()
    assert await disk.read("vote") == b"old" and await disk.list_names() == ["vote"]
    disk.close()

"""
Runs a host whose disk fails as a file says: ``python -m bench.soak.faulty_host FAULTS FOLDER``.

With a third argument, `SMALL_FILES`, logs consist of small segments and are compacted often, so
that a short run creates and removes files all the time.

The calls of the operating system that the process makes for its data folder are wrapped, and the
program of the platform runs as always. Only modules that the interpreter has loaded anyway are
imported first: a signal that arrives early must meet the program in the same state as without
this module.
"""

from __future__ import annotations

import errno
import os
import signal
import stat
import sys
from collections.abc import Callable

# Calls that fail, by fault; the file of faults lists the calls.
SYNC_ERROR, SYNC_FULL, SYNC_FOLDER = "sync-error", "sync-full", "sync-folder"
WRITE, RENAME, TRUNCATE = "write", "rename", "truncate"
DISK_FAULTS = {
    "sync_error": (SYNC_ERROR,),
    # A file system with delayed allocation takes the write and has no space at the sync.
    "sync_full": (SYNC_FULL,),
    "folder_sync_error": (SYNC_FOLDER,),
    "rename_error": (RENAME,),
    "truncate_error": (TRUNCATE,),
    "short_write": (WRITE,),
    # What is left of a write that fails in the middle cannot be removed.
    "torn_append": (WRITE, TRUNCATE),
    # All at once, as of a device that hangs up.
    "failing_disk": (SYNC_ERROR, SYNC_FOLDER, WRITE, RENAME, TRUNCATE),
}

SMALL_FILES = "small-files"
SMALL_SEGMENT_BYTES = 1024
SMALL_SNAPSHOT_ENTRIES = 12
SMALL_RETAINED_ENTRIES = 4


def install_faults(control: str, folder: str) -> None:
    """
    Wrap the calls of this process that write, sync, rename and truncate files.

    Parameters
    ----------
    control : str
        Path of the file that lists the calls that fail now; none fails while it does not exist.
    folder : str
        Only files in this folder are affected.
    """
    fsync, replace, ftruncate, write = os.fsync, os.replace, os.ftruncate, os.write
    # Descriptors whose last write was short.
    shortened: set[int] = set()

    def is_failing(path: str, call: str) -> bool:
        return is_inside(path, folder) and call in read_calls(control)

    def failing_fsync(fd: int) -> None:
        path = get_path(fd)
        if stat.S_ISDIR(os.fstat(fd).st_mode):
            check(is_failing(path, SYNC_FOLDER), errno.EIO, path)
        else:
            check(is_failing(path, SYNC_ERROR), errno.EIO, path)
            check(is_failing(path, SYNC_FULL), errno.ENOSPC, path)
        fsync(fd)

    def failing_replace(source: str, target: str) -> None:
        check(is_failing(os.fspath(target), RENAME), errno.EIO, os.fspath(target))
        replace(source, target)

    def failing_ftruncate(fd: int, length: int) -> None:
        path = get_path(fd)
        check(is_failing(path, TRUNCATE), errno.EIO, path)
        ftruncate(fd, length)

    def failing_write(fd: int, data: bytes) -> int:
        path = get_path(fd)
        if not is_failing(path, WRITE):
            shortened.discard(fd)
            return write(fd, data)
        # The first write ends early, as on a disk that becomes full, and the next one fails.
        check(fd in shortened or len(data) < 2, errno.ENOSPC, path)
        shortened.add(fd)
        return write(fd, data[: len(data) // 2])

    wrapped: dict[str, Callable[..., object]] = {
        "fsync": failing_fsync,
        "replace": failing_replace,
        "ftruncate": failing_ftruncate,
        "write": failing_write,
    }
    vars(os).update(wrapped)


def get_path(fd: int) -> str:
    """Return the path of an open file."""
    return os.readlink(f"/proc/self/fd/{fd}")


def is_inside(path: str, folder: str) -> bool:
    """
    Tell whether a path is a folder or something in it.

    Examples
    --------
    >>> [is_inside(path, "/data") for path in ("/data", "/data/a/b", "/data-2/a", "pipe:[7]")]
    [True, True, False, False]
    """
    return path == folder or path.startswith(folder + os.sep)


def read_calls(control: str) -> list[str]:
    """Return the calls that fail now."""
    try:
        with open(control) as file:
            return file.read().split()
    except FileNotFoundError:
        return []


def check(is_failing: bool, number: int, path: str) -> None:
    """Raise the error of a call that fails."""
    if is_failing:
        raise OSError(number, os.strerror(number), path)


def shrink_files() -> None:
    """Let logs consist of small files and be compacted often."""
    # The product ignores this signal before it loads its modules, which happens here instead.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marigoldtrail.consensus import applying, log
    from marigoldtrail.storage.journal import open_journal

    vars(applying).update(SNAPSHOT_ENTRIES=SMALL_SNAPSHOT_ENTRIES)
    vars(log).update(RETAINED_ENTRIES=SMALL_RETAINED_ENTRIES)
    open_journal.__kwdefaults__.update(segment_bytes=SMALL_SEGMENT_BYTES)


def main() -> int:
    """Install the faults and run the host; return the exit status."""
    install_faults(sys.argv[1], sys.argv[2])
    if SMALL_FILES in sys.argv[3:]:
        shrink_files()
    from marigoldtrail.platform.__main__ import main as run_host

    return run_host()


if __name__ == "__main__":
    sys.exit(main())

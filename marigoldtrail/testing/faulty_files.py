"""In-memory file system under the real data folder, which can fail at each single call."""

from __future__ import annotations

import errno
import os
import random
import stat
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import trio

from marigoldtrail.storage.folder_disk import BlockingRunner, FolderDisk
from marigoldtrail.timers import Timers

FULL = "full"
INPUT_OUTPUT = "io"
PARTIAL = "partial"
KINDS = (FULL, INPUT_OUTPUT, PARTIAL)

ROOT = Path("/data")

# Calls that need no room on the disk, and so succeed on a full one.
_READING = frozenset({"open", "read", "fstat", "stat", "listdir"})

Result = TypeVar("Result")


class File:
    """
    Content of a file.

    Attributes
    ----------
    data : bytearray
        Content that is read.
    durable : bytearray
        Content after a loss of power if all later changes are lost.
    pending : list of tuple
        Changes that the next sync makes durable: an offset and the bytes that were written there,
        or the new size and None.
    """

    __slots__ = ("data", "durable", "pending")

    def __init__(self) -> None:
        self.data = bytearray()
        self.durable = bytearray()
        self.pending: list[tuple[int, bytes | None]] = []

    def change(self, offset: int, written: bytes | None) -> None:
        """Write bytes at an offset, or cut the file there."""
        apply_change(self.data, offset, written)
        self.pending.append((offset, written))

    def sync(self) -> None:
        """Make the pending changes durable."""
        for offset, written in self.pending:
            apply_change(self.durable, offset, written)
        self.pending.clear()

    def fail_sync(self) -> None:
        """Drop written bytes; as in a page cache, they can be read until the next power loss."""
        self.pending = [change for change in self.pending if change[1] is None]

    def lose_power(self, rng: random.Random | None) -> None:
        """Keep, tear or lose each pending change; lose all if no source of randomness is given."""
        for offset, written in self.pending:
            fate = rng.choice(("kept", "torn", "lost")) if rng is not None else "lost"
            if rng is not None and fate == "torn" and written is not None:
                apply_change(self.durable, offset, written[: rng.randint(0, len(written))])
            elif fate == "kept":
                apply_change(self.durable, offset, written)
        self.pending.clear()
        self.data = bytearray(self.durable)


def apply_change(data: bytearray, offset: int, written: bytes | None) -> None:
    """
    Apply a change of a file to its content.

    Parameters
    ----------
    data : bytearray
        The content.
    offset : int
        Offset of the bytes, or the new size.
    written : bytes or None
        The bytes; None to cut the content.

    Examples
    --------
    >>> data = bytearray(b"ab")
    >>> apply_change(data, 3, b"c")
    >>> bytes(data)
    b'ab\\x00c'
    """
    if written is None:
        del data[offset:]
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(written)] = written


class Folder:
    """
    Names in a folder.

    Attributes
    ----------
    names : dict
        Files and folders by name.
    durable : dict
        Those that exist after a loss of power if all later changes are lost.
    pending : list of dict
        Changes that the next sync makes durable; each maps names to what they name from then on, or
        to None.
    """

    __slots__ = ("names", "durable", "pending")

    def __init__(self) -> None:
        self.names: dict[str, File | Folder] = {}
        self.durable: dict[str, File | Folder] = {}
        self.pending: list[dict[str, File | Folder | None]] = []

    def change(self, change: dict[str, File | Folder | None]) -> None:
        """Set and remove names in one step."""
        apply_names(self.names, change)
        self.pending.append(change)

    def sync(self) -> None:
        """Make the pending changes durable."""
        for change in self.pending:
            apply_names(self.durable, change)
        self.pending.clear()

    def fail_sync(self) -> None:
        """Keep the changes pending: a later sync writes them."""

    def lose_power(self, rng: random.Random | None) -> None:
        """Keep or lose each pending change, here and below; lose all without randomness."""
        for change in self.pending:
            if rng is not None and rng.random() < 0.5:
                apply_names(self.durable, change)
        self.pending.clear()
        self.names = dict(self.durable)
        for node in self.names.values():
            node.lose_power(rng)


def apply_names(names: dict[str, File | Folder], change: dict[str, File | Folder | None]) -> None:
    """
    Apply a change of a folder to its names.

    Parameters
    ----------
    names : dict
        Files and folders by name.
    change : dict
        What some names refer to from now on; None removes a name.
    """
    for name, node in change.items():
        if node is None:
            names.pop(name, None)
        else:
            names[name] = node


class FaultyFiles:
    """
    `marigoldtrail.storage.folder_disk.FileCalls` in memory.

    Each call has an index, counted from 0. The `fail_count` calls from the index `fail_at` on fail
    in the way `fail_kind`: ``"full"`` (calls that only read succeed), ``"io"``, or ``"partial"``
    (the first write takes half of its bytes, and the disk is full from then on).

    Examples
    --------
    >>> files = FaultyFiles()
    >>> files.fail_at = 0
    >>> files.mkdir(ROOT / "a")
    Traceback (most recent call last):
    OSError: [Errno 5] fault: mkdir
    """

    __slots__ = (
        "root",
        "calls",
        "fail_at",
        "fail_count",
        "fail_kind",
        "failed",
        "_open",
        "_positions",
        "_next",
    )

    def __init__(self) -> None:
        self.root = Folder()
        self.calls: list[str] = []
        self.fail_at: int | None = None
        self.fail_count = 1
        self.fail_kind = INPUT_OUTPUT
        self.failed: list[str] = []
        self._open: dict[int, tuple[File | Folder, int]] = {}
        self._positions: dict[int, int] = {}
        self._next = 3

    @property
    def count(self) -> int:
        """Number of calls so far, which is the index of the next one."""
        return len(self.calls)

    def list_indexes(self, kind: str, *, fail_count: int = 1) -> list[int]:
        """
        Return the indexes of the calls so far at which a fault of a kind is of interest.

        Parameters
        ----------
        kind : str
            How the calls fail.
        fail_count : int
            Number of calls that fail in a row.

        Returns
        -------
        list of int
            Of writes, if they fail in part; of all calls, if only one fails with an error; else of
            the calls that change something.
        """
        if kind == INPUT_OUTPUT and fail_count == 1:
            return list(range(self.count))
        return [
            index
            for index, call in enumerate(self.calls)
            if (call == "write" if kind == PARTIAL else call not in _READING)
        ]

    def lose_power(self, rng: random.Random | None) -> None:
        """Keep or lose each change that is not durable; lose all without randomness."""
        self._open.clear()
        self.root.lose_power(rng)

    def is_failing(self) -> bool:
        """Tell whether the next call fails."""
        return self.fail_at is not None and 0 <= self.count - self.fail_at < self.fail_count

    def _enter(self, call: str) -> None:
        is_failing, is_first = self.is_failing(), self.count == self.fail_at
        self.calls.append(call)
        if not is_failing or (self.fail_kind != INPUT_OUTPUT and call in _READING):
            return
        if self.fail_kind == PARTIAL and is_first:
            return
        self.failed.append(call)
        number = errno.EIO if self.fail_kind == INPUT_OUTPUT else errno.ENOSPC
        raise OSError(number, f"fault: {call}")

    def _find(self, path: Path) -> File | Folder:
        if path in ROOT.parents:
            return Folder()
        node: File | Folder = self.root
        for part in path.relative_to(ROOT).parts:
            if not isinstance(node, Folder) or part not in node.names:
                raise FileNotFoundError(errno.ENOENT, "no such file", str(path))
            node = node.names[part]
        return node

    def _find_folder(self, path: Path) -> Folder:
        folder = self._find(path)
        if not isinstance(folder, Folder):
            raise NotADirectoryError(errno.ENOTDIR, "not a folder", str(path))
        return folder

    def _get_file(self, fd: int) -> File:
        node = self._open[fd][0]
        if not isinstance(node, File):
            raise IsADirectoryError(errno.EISDIR, "is a folder")
        return node

    def open(self, path: Path, flags: int, mode: int = 0o777, /) -> int:
        """Open a file or folder; see `os.open`."""
        parent = self._find_folder(path.parent) if path != ROOT else Folder()
        creates = flags & os.O_CREAT and path.name not in parent.names
        self._enter("create" if creates else "open")
        if creates:
            parent.change({path.name: File()})
        node = self._find(path)
        if flags & os.O_TRUNC and isinstance(node, File) and node.data:
            node.change(0, None)
        self._next += 1
        self._open[self._next] = (node, flags)
        return self._next

    def close(self, fd: int, /) -> None:
        """Close a file; see `os.close`."""
        # Unknown after a loss of power, when the process no longer exists.
        self._open.pop(fd, None)
        self._positions.pop(fd, None)

    def lseek(self, fd: int, offset: int, whence: int, /) -> int:
        """Set the position from the start of a file; never fails; see `os.lseek`."""
        self._positions[fd] = offset
        return offset

    def read(self, fd: int, length: int, /) -> bytes:
        """Read at the position; see `os.read`."""
        self._enter("read")
        offset = self._positions.get(fd, 0)
        part = bytes(self._get_file(fd).data[offset : offset + length])
        self._positions[fd] = offset + len(part)
        return part

    def write(self, fd: int, data: memoryview, /) -> int:
        """Write at the position that `lseek` has set, else append; see `os.write`."""
        is_partial = self.fail_kind == PARTIAL and self.count == self.fail_at
        self._enter("write")
        written = bytes(data)
        if is_partial:
            self.failed.append("partial write")
            written = written[: (len(written) + 1) // 2]
        file = self._get_file(fd)
        is_at_position = not self._open[fd][1] & os.O_APPEND and fd in self._positions
        offset = self._positions[fd] if is_at_position else len(file.data)
        file.change(offset, written)
        if is_at_position:
            self._positions[fd] = offset + len(written)
        return len(written)

    def ftruncate(self, fd: int, length: int, /) -> None:
        """Cut a file; see `os.ftruncate`."""
        self._enter("ftruncate")
        self._get_file(fd).change(length, None)

    def fsync(self, fd: int, /) -> None:
        """Make a file or the names of a folder durable; see `os.fsync`."""
        node = self._open[fd][0]
        try:
            self._enter("fsync of a folder" if isinstance(node, Folder) else "fsync")
        except OSError:
            node.fail_sync()
            raise
        node.sync()

    def fstat(self, fd: int, /) -> os.stat_result:
        """Describe an open file; see `os.fstat`."""
        self._enter("fstat")
        return build_status(self._open[fd][0])

    def stat(self, path: Path, /) -> os.stat_result:
        """Describe a file; see `os.stat`."""
        self._enter("stat")
        return build_status(self._find(path))

    def replace(self, source: Path, target: Path, /) -> None:
        """Rename a file within its folder; see `os.replace`."""
        self._enter("replace")
        node = self._find(source)
        self._find_folder(source.parent).change({target.name: node, source.name: None})

    def unlink(self, path: Path, /) -> None:
        """Remove a file; see `os.unlink`."""
        self._find(path)
        self._enter("unlink")
        self._find_folder(path.parent).change({path.name: None})

    def mkdir(self, path: Path, /) -> None:
        """Create a folder; see `os.mkdir`."""
        self._enter("mkdir")
        self._find_folder(path.parent).change({path.name: Folder()})

    def listdir(self, path: Path, /) -> list[str]:
        """Return the names in a folder; see `os.listdir`."""
        self._enter("listdir")
        return list(self._find_folder(path).names)


def build_status(node: File | Folder) -> os.stat_result:
    """
    Build the status of a file or folder.

    Parameters
    ----------
    node : File or Folder
        The file or folder.

    Returns
    -------
    os.stat_result
        With type and size.
    """
    mode = stat.S_IFDIR if isinstance(node, Folder) else stat.S_IFREG
    size = 0 if isinstance(node, Folder) else len(node.data)
    return os.stat_result((mode, 0, 0, 1, 0, 0, size, 0, 0, 0))


class FaultyDisk(FolderDisk):
    """
    The real data folder on `FaultyFiles`, without threads, in simulated time.

    Parameters
    ----------
    rng : random.Random
        Decides what a loss of power keeps.
    operation_s : float
        Duration of each operation of the disk in seconds.
    """

    __slots__ = ("files", "_rng")

    def __init__(self, *, rng: random.Random, operation_s: float = 0.0) -> None:
        self.files = FaultyFiles()
        self._rng = rng
        super().__init__(
            folder=ROOT,
            timers=Timers(seed=1),
            calls=self.files,
            run_blocking=build_runner(operation_s),
        )

    def kill(self) -> None:
        """End the process that uses the disk; what it has written can still be read."""
        self.close()
        self._durable_folders.clear()

    def crash(self, *, torn: bool = True) -> None:
        """
        End the process and lose power.

        Parameters
        ----------
        torn : bool
            Whether a part of what is not durable may be kept.
        """
        self.kill()
        self.files.lose_power(self._rng if torn else None)


def build_runner(operation_s: float) -> BlockingRunner:
    """
    Build a function that runs the operations of a disk in simulated time.

    Parameters
    ----------
    operation_s : float
        Duration of each operation in seconds.

    Returns
    -------
    BlockingRunner
        The function.
    """

    async def run_operation(run: Callable[[], Result], /) -> Result:
        await trio.sleep(operation_s)
        return run()

    return run_operation

"""Implement the disk protocol for a real data folder."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os
import stat
from collections import OrderedDict
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol, TypeVar, cast

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.storage.disk import build_disk_failure
from marigoldtrail.timers import Timers

MAX_OPEN_FILES = 64
SLOW_SYNC_S = 1.0
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"
FILE_MODE = 0o644

Result = TypeVar("Result")

_log = logging.getLogger(__name__)


class FileCalls(Protocol):
    """The calls of the operating system that `FolderDisk` makes; as in the module `os`."""

    def open(self, path: Path, flags: int, mode: int = 0o777, /) -> int: ...
    def close(self, fd: int, /) -> None: ...
    def lseek(self, fd: int, offset: int, whence: int, /) -> int: ...
    def read(self, fd: int, length: int, /) -> bytes: ...
    def write(self, fd: int, data: memoryview, /) -> int: ...
    def ftruncate(self, fd: int, length: int, /) -> None: ...
    def fsync(self, fd: int, /) -> None: ...
    def fstat(self, fd: int, /) -> os.stat_result: ...
    def stat(self, path: Path, /) -> os.stat_result: ...
    def replace(self, source: Path, target: Path, /) -> None: ...
    def unlink(self, path: Path, /) -> None: ...
    def mkdir(self, path: Path, /) -> None: ...
    def listdir(self, path: Path, /) -> list[str]: ...


class BlockingRunner(Protocol):
    """Runs a function that blocks; as `trio.to_thread.run_sync`."""

    async def __call__(self, run: Callable[[], Result], /) -> Result: ...


@contextlib.contextmanager
def after_effect() -> Iterator[None]:
    """
    Convert errors of steps after the first effect of an operation, so that none says "disk full".

    Raises
    ------
    OSError
        With the number ``EIO``, whatever the error was.

    Examples
    --------
    >>> with after_effect():
    ...     raise OSError(errno.ENOSPC, "full")
    Traceback (most recent call last):
    OSError: [Errno 5] after a partial effect: [Errno 28] full
    """
    try:
        yield
    except OSError as exc:
        raise OSError(errno.EIO, f"after a partial effect: {exc}") from exc


class OpenFile:
    """
    A file kept open for appending.

    Attributes
    ----------
    use_count : int
        Number of calls that currently use it.
    is_name_durable : bool
        Whether its folder has been synced since the file was opened.
    """

    __slots__ = ("fd", "use_count", "is_name_durable")

    def __init__(self) -> None:
        self.fd: int | None = None
        self.use_count = 0
        self.is_name_durable = False


class FolderDisk:
    """
    Files in one folder; blocking calls run in worker threads.

    Parameters
    ----------
    folder : pathlib.Path
        The folder.
    timers : Timers
        Measures the duration of fsync calls.
    calls : FileCalls or None
        The operating system's calls; None for the real ones.
    run_blocking : BlockingRunner
        Runs these calls.
    """

    __slots__ = (
        "_folder",
        "_timers",
        "_calls",
        "_run_blocking",
        "_files",
        "_durable_folders",
        "_lock_fd",
    )

    def __init__(
        self,
        *,
        folder: Path,
        timers: Timers,
        calls: FileCalls | None = None,
        run_blocking: BlockingRunner = trio.to_thread.run_sync,
    ) -> None:
        self._folder = folder
        self._timers = timers
        self._calls = calls or cast(FileCalls, os)
        self._run_blocking = run_blocking
        # Folders whose own name this process has made durable.
        self._durable_folders: set[Path] = set()
        self._files: OrderedDict[str, OpenFile] = OrderedDict()
        self._lock_fd: int | None = None

    def lock(self) -> None:
        """
        Lock the folder for this process until it ends or `close` is called.

        Raises
        ------
        OSError
            If another process has locked the folder.
        """
        fd = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        self._lock_fd = fd

    def remove_temporary_files(self) -> None:
        """Remove the files of atomic writes that a process did not live to complete."""
        with contextlib.suppress(OSError):
            for path in self._list_files(self._folder):
                if path.name.endswith(TEMPORARY_SUFFIX):
                    self._unlink_quietly(path)

    def close(self) -> None:
        """Close all files and unlock the folder."""
        while self._files:
            self._close_descriptor(self._files.popitem()[1])
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None

    async def append(self, name: str, data: bytes) -> None | Failure:
        """Append to a file; see `Disk.append`."""
        return await self._with_file(
            "disk.append", name, lambda file: self._append(file, name, data)
        )

    async def sync(self, name: str) -> None | Failure:
        """Make a file durable; see `Disk.sync`."""
        started = self._timers.now()
        result = await self._with_file("disk.sync", name, lambda file: self._sync(file, name))
        took_s = self._timers.now() - started
        if took_s > SLOW_SYNC_S:
            _log.warning("fsync of %s took %.1f s", name, took_s)
        return result

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure:
        """Read a file; see `Disk.read`."""

        def run() -> bytes:
            with self._opened(self._path(name), os.O_RDONLY) as fd:
                size = self._calls.fstat(fd).st_size
                end = size if length is None else min(size, offset + length)
                return self._read_range(fd, offset, end)

        return await self._run("disk.read", name, run)

    async def write_atomic(self, name: str, data: bytes) -> None | Failure:
        """Replace a file; see `Disk.write_atomic`."""
        # Later appends must reach the new file.
        self._close_file(name)

        def run() -> None:
            path = self._path(name)
            self._make_parents(path)
            temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
            try:
                with self._opened(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as fd:
                    self._write_all(fd, data)
                    self._calls.fsync(fd)
                self._calls.replace(temporary, path)
            except OSError:
                self._unlink_quietly(temporary)
                raise
            with after_effect():
                self._sync_names(path.parent)

        return await self._run("disk.write_atomic", name, run)

    async def rewrite(self, name: str) -> None | Failure:
        """Write a file in place again; see `Disk.rewrite`."""
        self._close_file(name)

        def run() -> None:
            path = self._path(name)
            with self._opened(path, os.O_RDWR) as fd:
                data = self._read_range(fd, 0, self._calls.fstat(fd).st_size)
                self._calls.lseek(fd, 0, os.SEEK_SET)
                self._write_all(fd, data)
                with after_effect():
                    self._calls.fsync(fd)
                    self._sync_names(path.parent)

        return await self._run("disk.rewrite", name, run)

    async def probe_room(self, name: str, count: int) -> None | Failure:
        """Tell whether there is room in a file; see `Disk.probe_room`."""

        def run(file: OpenFile) -> None:
            fd = self._open(file, name)
            size = self._calls.fstat(fd).st_size
            self._append(file, name, bytes(count))
            with after_effect():
                self._calls.ftruncate(fd, size)

        return await self._with_file("disk.probe_room", name, run)

    async def list_names(self, prefix: str = "") -> list[str] | Failure:
        """List files; see `Disk.list_names`."""

        def run() -> list[str]:
            names = [
                path.relative_to(self._folder).as_posix()
                for path in self._list_files(self._folder)
                if not path.name.endswith(TEMPORARY_SUFFIX)
            ]
            return sorted(name for name in names if name.startswith(prefix) and name != LOCK_NAME)

        return await self._run("disk.list", prefix, run)

    async def remove(self, name: str) -> None | Failure:
        """Remove a file; see `Disk.remove`."""
        self._close_file(name)

        def run() -> None:
            path = self._path(name)
            with contextlib.suppress(FileNotFoundError):
                self._calls.unlink(path)
            with after_effect():
                if self._exists(path.parent):
                    self._sync_folder(path.parent)

        return await self._run("disk.remove", name, run)

    async def truncate(self, name: str, size: int) -> None | Failure:
        """Truncate a file; see `Disk.truncate`."""

        def run() -> None:
            with self._opened(self._path(name), os.O_WRONLY) as fd, after_effect():
                self._calls.ftruncate(fd, size)
                self._calls.fsync(fd)

        return await self._run("disk.truncate", name, run)

    async def get_size(self, name: str) -> int | Failure:
        """Return the size of a file; see `Disk.get_size`."""
        return await self._run(
            "disk.size", name, lambda: self._calls.stat(self._path(name)).st_size
        )

    async def sync_names(self, folder: str) -> None | Failure:
        """Make the names in a folder durable; see `Disk.sync_names`."""

        def run() -> None:
            path = self._path(folder)
            with after_effect():
                if self._exists(path):
                    self._sync_names(path)

        return await self._run("disk.sync_names", folder, run)

    def _path(self, name: str) -> Path:
        parts = name.split("/")
        if not name or any(part in ("", ".", "..") for part in parts):
            raise ValueError(f"{name!r} is not a valid file name in the data folder")
        return self._folder.joinpath(*parts)

    def _exists(self, path: Path) -> bool:
        try:
            self._calls.stat(path)
        except FileNotFoundError:
            return False
        return True

    def _make_parents(self, path: Path) -> None:
        missing = [folder for folder in path.parents if not self._exists(folder)]
        for folder in reversed(missing):
            with contextlib.suppress(FileExistsError):
                self._calls.mkdir(folder)

    def _list_files(self, folder: Path) -> list[Path]:
        found: list[Path] = []
        for name in self._calls.listdir(folder):
            path = folder / name
            # A temporary file may be gone by now.
            with contextlib.suppress(FileNotFoundError):
                is_folder = stat.S_ISDIR(self._calls.stat(path).st_mode)
                found += self._list_files(path) if is_folder else [path]
        return found

    @contextlib.contextmanager
    def _opened(self, path: Path, flags: int) -> Iterator[int]:
        fd = self._calls.open(path, flags | os.O_CLOEXEC, FILE_MODE)
        try:
            yield fd
        finally:
            self._calls.close(fd)

    def _read_range(self, fd: int, offset: int, end: int) -> bytes:
        parts: list[bytes] = []
        # The pages of the users' platform name seek and read among its calls, and not pread.
        self._calls.lseek(fd, offset, os.SEEK_SET)
        while offset < end:
            part = self._calls.read(fd, end - offset)
            if not part:
                break
            parts.append(part)
            offset += len(part)
        return b"".join(parts)

    def _write_all(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._calls.write(fd, view) :]

    def _undo_append(self, file: OpenFile, fd: int, name: str, size: int) -> None:
        # Later appends would follow the part that was written. Synced, since a loss of power could
        # otherwise keep that part in place of what is appended next.
        with after_effect():
            if self._calls.fstat(fd).st_size != size:
                self._calls.ftruncate(fd, size)
                self._calls.fsync(fd)
        if size == 0:
            # Readers cope with an empty file, should it remain.
            self._close_descriptor(file)
            self._unlink_quietly(self._path(name))

    def _unlink_quietly(self, path: Path) -> None:
        # The operation has failed already; its first error is the one to report.
        with contextlib.suppress(OSError):
            self._calls.unlink(path)

    def _open(self, file: OpenFile, name: str) -> int:
        if file.fd is None:
            path = self._path(name)
            self._make_parents(path)
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            file.fd = self._calls.open(path, flags, FILE_MODE)
        return file.fd

    def _append(self, file: OpenFile, name: str, data: bytes) -> None:
        fd = self._open(file, name)
        size = self._calls.fstat(fd).st_size
        try:
            self._write_all(fd, data)
        except OSError:
            self._undo_append(file, fd, name, size)
            raise

    def _sync(self, file: OpenFile, name: str) -> None:
        # After any fsync error, a full disk included, the state of the file is unknown.
        with after_effect():
            self._calls.fsync(self._open(file, name))
            if not file.is_name_durable:
                # An earlier process may have created the file and been killed before this step.
                self._sync_names(self._path(name).parent)
                file.is_name_durable = True

    def _sync_names(self, folder: Path) -> None:
        inside = folder.relative_to(self._folder)
        parent = self._folder
        for part in inside.parts:
            if parent / part not in self._durable_folders:
                self._sync_folder(parent)
                self._durable_folders.add(parent / part)
            parent /= part
        self._sync_folder(folder)

    def _sync_folder(self, folder: Path) -> None:
        with self._opened(folder, os.O_RDONLY | os.O_DIRECTORY) as fd:
            self._calls.fsync(fd)

    async def _with_file(
        self, step: str, name: str, run: Callable[[OpenFile], None]
    ) -> None | Failure:
        file = self._files.setdefault(name, OpenFile())
        self._files.move_to_end(name)
        file.use_count += 1
        try:
            return await self._run(step, name, lambda: run(file))
        finally:
            file.use_count -= 1
            self._close_idle_files()

    def _close_file(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            self._close_descriptor(file)

    def _close_descriptor(self, file: OpenFile) -> None:
        if file.fd is not None:
            self._calls.close(file.fd)
        file.fd = None
        file.is_name_durable = False

    def _close_idle_files(self) -> None:
        for name, file in list(self._files.items()):
            if len(self._files) <= MAX_OPEN_FILES:
                return
            if file.use_count == 0:
                self._close_descriptor(self._files.pop(name))

    async def _run(self, step: str, name: str, run: Callable[[], Result]) -> Result | Failure:
        try:
            return await self._run_blocking(run)
        except OSError as exc:
            return build_disk_failure(exc, step, name)

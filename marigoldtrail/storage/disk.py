"""Define the disk protocol and implement it for a real data folder."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.timers import Timers

MAX_OPEN_FILES = 64
SLOW_SYNC_S = 1.0
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"

_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

Result = TypeVar("Result")

_log = logging.getLogger(__name__)


class Disk(Protocol):
    """
    Files by relative name; every method returns a `Failure` if the operation fails.

    Names separate folders with ``/``. Calls for one name must not overlap. Truncation, removal and
    atomic writes are durable on return; appended bytes are durable after `sync`.
    """

    async def append(self, name: str, data: bytes) -> None | Failure:
        """
        Append to a file; create it if needed.

        Parameters
        ----------
        name : str
            Name of the file.
        data : bytes
            Bytes to append.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` and ``NOT_RUN`` if the disk is full and nothing was appended; else
            ``DISK_ERROR``.
        """
        ...

    async def sync(self, name: str) -> None | Failure:
        """Make the appended bytes of a file durable."""
        ...

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure:
        """Return a file, or `length` bytes from `offset`; ``NOT_FOUND`` if it does not exist."""
        ...

    async def write_atomic(self, name: str, data: bytes) -> None | Failure:
        """Replace a whole file so that a crash leaves either the old or the new content."""
        ...

    async def list_names(self, prefix: str = "") -> list[str] | Failure:
        """Return the sorted names that start with a prefix."""
        ...

    async def remove(self, name: str) -> None | Failure:
        """Remove a file; does nothing if it does not exist."""
        ...

    async def truncate(self, name: str, size: int) -> None | Failure:
        """Truncate a file to a size in bytes."""
        ...

    async def get_size(self, name: str) -> int | Failure:
        """Return the size of a file in bytes; ``NOT_FOUND`` if it does not exist."""
        ...


def build_disk_failure(exc: OSError, step: str, name: str) -> Failure:
    """
    Convert an operating system error to a failure.

    Parameters
    ----------
    exc : OSError
        The error.
    step : str
        Step that failed, for example ``"disk.append"``.
    name : str
        Name of the file.

    Returns
    -------
    Failure
        With reason ``DISK_FULL``, ``NOT_FOUND`` or ``DISK_ERROR``.

    Examples
    --------
    >>> build_disk_failure(OSError(errno.ENOSPC, "full"), "disk.append", "a").reason.value
    'disk_full'
    """
    reason, state = Reason.DISK_ERROR, RunState.MAY_HAVE_RUN
    if exc.errno in _FULL_ERRORS:
        reason, state = Reason.DISK_FULL, RunState.NOT_RUN
    elif isinstance(exc, FileNotFoundError):
        reason, state = Reason.NOT_FOUND, RunState.NOT_RUN
    return Failure(reason=reason, run_state=state, step=step, detail=f"{name}: {exc}")


class OpenFile:
    """A file kept open for appending, and the number of calls that currently use it."""

    __slots__ = ("fd", "use_count")

    def __init__(self) -> None:
        self.fd: int | None = None
        self.use_count = 0

    def close(self) -> None:
        """Close the file descriptor, if open."""
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None


class FolderDisk:
    """
    Files in one folder; blocking calls run in worker threads.

    Parameters
    ----------
    folder : pathlib.Path
        The folder.
    timers : Timers
        Measures the duration of fsync calls.
    """

    __slots__ = ("_folder", "_timers", "_files", "_lock_fd")

    def __init__(self, *, folder: Path, timers: Timers) -> None:
        self._folder = folder
        self._timers = timers
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

    def close(self) -> None:
        """Close all files and unlock the folder."""
        while self._files:
            self._files.popitem()[1].close()
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
        if isinstance(result, Failure):
            # After any fsync error, a full disk included, the state of the file is unknown.
            return Failure(
                reason=Reason.DISK_ERROR,
                run_state=RunState.MAY_HAVE_RUN,
                step=result.step,
                detail=result.detail,
            )
        return result

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure:
        """Read a file; see `Disk.read`."""

        def run() -> bytes:
            with open(self._path(name), "rb") as file:
                file.seek(offset)
                return file.read(-1 if length is None else length)

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
                with open(temporary, "wb") as file:
                    file.write(data)
                    file.flush()
                    os.fsync(file.fileno())
                os.replace(temporary, path)
            except OSError:
                temporary.unlink(missing_ok=True)
                raise
            sync_folder(path.parent)

        return await self._run("disk.write_atomic", name, run)

    async def list_names(self, prefix: str = "") -> list[str] | Failure:
        """List files; see `Disk.list_names`."""

        def run() -> list[str]:
            names = [
                path.relative_to(self._folder).as_posix()
                for path in self._folder.rglob("*")
                if path.is_file() and not path.name.endswith(TEMPORARY_SUFFIX)
            ]
            return sorted(name for name in names if name.startswith(prefix) and name != LOCK_NAME)

        return await self._run("disk.list", prefix, run)

    async def remove(self, name: str) -> None | Failure:
        """Remove a file; see `Disk.remove`."""
        self._close_file(name)

        def run() -> None:
            path = self._path(name)
            path.unlink(missing_ok=True)
            if path.parent.is_dir():
                sync_folder(path.parent)

        return await self._run("disk.remove", name, run)

    async def truncate(self, name: str, size: int) -> None | Failure:
        """Truncate a file; see `Disk.truncate`."""

        def run() -> None:
            fd = os.open(self._path(name), os.O_WRONLY | os.O_CLOEXEC)
            try:
                os.ftruncate(fd, size)
                os.fsync(fd)
            finally:
                os.close(fd)

        return await self._run("disk.truncate", name, run)

    async def get_size(self, name: str) -> int | Failure:
        """Return the size of a file; see `Disk.get_size`."""
        return await self._run("disk.size", name, lambda: self._path(name).stat().st_size)

    def _path(self, name: str) -> Path:
        parts = name.split("/")
        if not name or any(part in ("", ".", "..") for part in parts):
            raise ValueError(f"{name!r} is not a valid file name in the data folder")
        return self._folder.joinpath(*parts)

    def _make_parents(self, path: Path) -> None:
        missing = [folder for folder in path.parents if not folder.exists()]
        for folder in reversed(missing):
            folder.mkdir(exist_ok=True)
            sync_folder(folder.parent)

    def _open(self, file: OpenFile, name: str) -> int:
        if file.fd is None:
            path = self._path(name)
            self._make_parents(path)
            created = not path.exists()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            file.fd = os.open(path, flags, 0o644)
            if created:
                sync_folder(path.parent)
        return file.fd

    def _append(self, file: OpenFile, name: str, data: bytes) -> None:
        fd = self._open(file, name)
        size = os.fstat(fd).st_size
        view = memoryview(data)
        try:
            while view:
                view = view[os.write(fd, view) :]
        except OSError:
            # Remove the partial append: later appends would follow it.
            os.ftruncate(fd, size)
            if size == 0:
                self._remove_empty(file, name)
            raise

    def _remove_empty(self, file: OpenFile, name: str) -> None:
        file.close()
        # The append has failed already; readers cope with an empty file.
        with contextlib.suppress(OSError):
            self._path(name).unlink()

    def _sync(self, file: OpenFile, name: str) -> None:
        os.fsync(self._open(file, name))

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
            file.close()

    def _close_idle_files(self) -> None:
        for name, file in list(self._files.items()):
            if len(self._files) <= MAX_OPEN_FILES:
                return
            if file.use_count == 0:
                self._files.pop(name).close()

    async def _run(self, step: str, name: str, run: Callable[[], Result]) -> Result | Failure:
        try:
            return await trio.to_thread.run_sync(run)
        except OSError as exc:
            return build_disk_failure(exc, step, name)


def sync_folder(folder: Path) -> None:
    """
    Make the directory entries of a folder durable.

    Parameters
    ----------
    folder : pathlib.Path
        The folder.
    """
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def open_folder(path: str | Path, *, timers: Timers) -> FolderDisk | Failure:
    """
    Open and lock a data folder; create it if needed.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder.
    timers : Timers
        Timer service of the node.

    Returns
    -------
    FolderDisk or Failure
        ``DISK_ERROR`` if the folder cannot be used, for example because another process has
        locked it.
    """
    folder = Path(path)
    disk = FolderDisk(folder=folder, timers=timers)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        disk.lock()
    except BlockingIOError:
        return Failure(
            reason=Reason.DISK_ERROR,
            run_state=RunState.NOT_RUN,
            step="disk.open",
            detail=f"{folder} is in use by another process",
        )
    except OSError as exc:
        return build_disk_failure(exc, "disk.open", str(folder))
    return disk

"""In-memory disk whose writes can be torn, refused, lost or corrupted."""

from __future__ import annotations

import errno
import random

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.storage.disk import build_disk_failure


class MemoryFile:
    """
    Content of a file and the number of its bytes that are durable.

    Attributes
    ----------
    dropped_at : int or None
        First byte that a failed sync has dropped; as in a page cache, it can still be read, but no
        later sync makes it durable.
    """

    __slots__ = ("data", "synced_bytes", "dropped_at")

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced_bytes = 0
        self.dropped_at: int | None = None

    def fail_sync(self) -> None:
        """Drop the bytes that are not durable."""
        if self.synced_bytes < len(self.data):
            self.dropped_at = min(self.synced_bytes, self.dropped_at or self.synced_bytes)

    def sync(self, size: int) -> None:
        """Make the bytes up to a size durable, except those that were dropped."""
        end = min(size, len(self.data))
        if self.dropped_at is not None:
            end = min(end, self.dropped_at)
        self.synced_bytes = max(self.synced_bytes, end)

    def truncate(self, size: int) -> None:
        """Remove the bytes after a size, durably."""
        del self.data[size:]
        if self.dropped_at is not None and self.dropped_at >= size:
            self.dropped_at = None
        self.synced_bytes = len(self.data) if self.dropped_at is None else self.dropped_at


class MemoryDisk:
    """
    In-memory `marigoldtrail.storage.Disk`.

    Parameters
    ----------
    rng : random.Random
        Draws the lengths of torn writes.
    sync_delay_s : float
        Duration of each sync and atomic write in seconds.

    Examples
    --------
    >>> disk = MemoryDisk(rng=random.Random(1))
    >>> trio.run(disk.append, "a", b"lost")
    >>> disk.crash(torn=False)
    >>> trio.run(disk.list_names)
    []
    """

    __slots__ = (
        "files",
        "capacity_bytes",
        "fail_syncs",
        "lie_about_sync",
        "sync_delay_s",
        "syncs",
        "_rng",
    )

    def __init__(self, *, rng: random.Random, sync_delay_s: float = 0.001) -> None:
        self.files: dict[str, MemoryFile] = {}
        self.capacity_bytes: int | None = None
        self.fail_syncs = False
        self.lie_about_sync = False
        self.sync_delay_s = sync_delay_s
        self.syncs = 0
        self._rng = rng

    def crash(self, *, torn: bool = True) -> None:
        """
        Discard unsynced data, as a power failure does.

        Parameters
        ----------
        torn : bool
            Whether a random part of the unsynced bytes is kept.
        """
        for name, file in list(self.files.items()):
            end = len(file.data) if file.dropped_at is None else file.dropped_at
            kept = self._rng.randint(0, max(0, end - file.synced_bytes)) if torn else 0
            del file.data[file.synced_bytes + kept :]
            file.synced_bytes = len(file.data)
            file.dropped_at = None
            if not file.data:
                del self.files[name]

    def flip_bit(self, name: str, offset: int) -> None:
        """Invert one bit of a byte."""
        self.files[name].data[offset] ^= 1

    async def append(self, name: str, data: bytes) -> None | Failure:
        """Append to a file; see `Disk.append`."""
        await trio.lowlevel.checkpoint()
        if not self._has_room(len(data)):
            return full_failure("disk.append", name)
        self.files.setdefault(name, MemoryFile()).data += data
        return None

    async def sync(self, name: str) -> None | Failure:
        """Make a file durable; see `Disk.sync`."""
        file = self.files.get(name)
        size = len(file.data) if file is not None else 0
        await trio.sleep(self.sync_delay_s)
        self.syncs += 1
        if self.fail_syncs:
            if file is not None:
                file.fail_sync()
            return build_disk_failure(OSError(errno.EIO, "input/output error"), "disk.sync", name)
        if file is not None and not self.lie_about_sync:
            file.sync(size)
        return None

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure:
        """Read a file; see `Disk.read`."""
        await trio.lowlevel.checkpoint()
        if name not in self.files:
            return missing_failure("disk.read", name)
        data = self.files[name].data
        return bytes(data[offset : len(data) if length is None else offset + length])

    async def write_atomic(self, name: str, data: bytes) -> None | Failure:
        """Replace a file; see `Disk.write_atomic`."""
        await trio.sleep(self.sync_delay_s)
        self.syncs += 1
        if self.fail_syncs:
            return build_disk_failure(
                OSError(errno.EIO, "input/output error"), "disk.write_atomic", name
            )
        if not self._has_room(len(data)):
            return full_failure("disk.write_atomic", name)
        file = MemoryFile()
        file.data += data
        file.synced_bytes = len(data)
        self.files[name] = file
        return None

    async def rewrite(self, name: str) -> None | Failure:
        """Write a file in place again; see `Disk.rewrite`."""
        await trio.sleep(self.sync_delay_s)
        self.syncs += 1
        if name not in self.files:
            return missing_failure("disk.rewrite", name)
        file = self.files[name]
        if self.fail_syncs:
            file.fail_sync()
            return build_disk_failure(
                OSError(errno.EIO, "input/output error"), "disk.rewrite", name
            )
        if self.capacity_bytes == 0:
            # Some full disks refuse every write, also one that needs no room.
            return full_failure("disk.rewrite", name)
        file.dropped_at = None
        file.synced_bytes = len(file.data)
        return None

    async def probe_room(self, name: str, count: int) -> None | Failure:
        """Tell whether there is room in a file; see `Disk.probe_room`."""
        result = await self.append(name, bytes(count))
        if not isinstance(result, Failure):
            del self.files[name].data[-count:]
        return result

    async def list_names(self, prefix: str = "") -> list[str] | Failure:
        """List files; see `Disk.list_names`."""
        await trio.lowlevel.checkpoint()
        return sorted(name for name in self.files if name.startswith(prefix))

    async def remove(self, name: str) -> None | Failure:
        """Remove a file; see `Disk.remove`."""
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)
        return None

    async def truncate(self, name: str, size: int) -> None | Failure:
        """Truncate a file; see `Disk.truncate`."""
        await trio.lowlevel.checkpoint()
        if name not in self.files:
            return missing_failure("disk.truncate", name)
        if self.fail_syncs:
            return build_disk_failure(
                OSError(errno.EIO, "input/output error"), "disk.truncate", name
            )
        self.files[name].truncate(size)
        return None

    async def get_size(self, name: str) -> int | Failure:
        """Return the size of a file; see `Disk.get_size`."""
        await trio.lowlevel.checkpoint()
        if name not in self.files:
            return missing_failure("disk.size", name)
        return len(self.files[name].data)

    async def sync_names(self, folder: str) -> None | Failure:
        """Make the names in a folder durable; see `Disk.sync_names`."""
        await trio.lowlevel.checkpoint()
        if self.fail_syncs:
            return build_disk_failure(
                OSError(errno.EIO, "input/output error"), "disk.sync_names", folder
            )
        return None

    def _has_room(self, count: int) -> bool:
        if self.capacity_bytes is None:
            return True
        used = sum(len(file.data) for file in self.files.values())
        return used + count <= self.capacity_bytes


def full_failure(step: str, name: str) -> Failure:
    """Return the failure of a full disk."""
    return build_disk_failure(OSError(errno.ENOSPC, "no space left on device"), step, name)


def missing_failure(step: str, name: str) -> Failure:
    """Return the failure of a missing file."""
    return build_disk_failure(FileNotFoundError(errno.ENOENT, "no such file"), step, name)

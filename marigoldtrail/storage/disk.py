"""Define the disk protocol and the failures of its operations."""

from __future__ import annotations

import errno
from typing import Protocol

from marigoldtrail.errors import Failure, Reason, RunState

FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Disk(Protocol):
    """
    Files by relative name; every method returns a `Failure` if the operation fails.

    Names separate folders with ``/``. Calls for one name must not overlap. Truncation, removal and
    atomic writes are durable on return; appended bytes and the name of their file are durable after
    `sync`.

    ``DISK_FULL`` and ``NOT_RUN`` mean that nothing has changed, so that the caller may go on and
    try again later. After ``DISK_ERROR`` the file is in one of the states that each method names,
    and may change to another of them at a loss of power.
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
            ``DISK_FULL`` if nothing was appended, though an empty file may have been created.
            After ``DISK_ERROR`` any part of the bytes may follow the earlier content.
        """
        ...

    async def sync(self, name: str) -> None | Failure:
        """
        Make the appended bytes and the name of a file durable.

        Parameters
        ----------
        name : str
            Name of the file.

        Returns
        -------
        None or Failure
            ``DISK_ERROR``, also on a full disk: reads may return bytes that a later sync does not
            write. Only what an earlier sync covered is known to be durable.
        """
        ...

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure:
        """Return a file, or `length` bytes from `offset`; ``NOT_FOUND`` if it does not exist."""
        ...

    async def write_atomic(self, name: str, data: bytes) -> None | Failure:
        """
        Replace a whole file so that a crash leaves either the old or the new content.

        Parameters
        ----------
        name : str
            Name of the file; created if needed.
        data : bytes
            The new content.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if the old content is in place. After ``DISK_ERROR`` either may be.
        """
        ...

    async def list_names(self, prefix: str = "") -> list[str] | Failure:
        """Return the sorted names that start with a prefix."""
        ...

    async def remove(self, name: str) -> None | Failure:
        """
        Remove a file; does nothing if it does not exist.

        Parameters
        ----------
        name : str
            Name of the file.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if the file is in place. After ``DISK_ERROR`` it may be gone, and may be
            back after a loss of power.
        """
        ...

    async def truncate(self, name: str, size: int) -> None | Failure:
        """
        Truncate a file to a size in bytes.

        Parameters
        ----------
        name : str
            Name of the file.
        size : int
            Number of bytes to keep.

        Returns
        -------
        None or Failure
            ``NOT_FOUND`` if the file does not exist. After ``DISK_ERROR``, also on a full disk, the
            file has either size.
        """
        ...

    async def get_size(self, name: str) -> int | Failure:
        """Return the size of a file in bytes; ``NOT_FOUND`` if it does not exist."""
        ...

    async def rewrite(self, name: str) -> None | Failure:
        """
        Write the content of a file in place again and make it durable.

        Also makes those bytes durable that a failed sync has dropped from the page cache, and needs
        no room for a second copy.

        Parameters
        ----------
        name : str
            Name of the file.

        Returns
        -------
        None or Failure
            The content is the same after a failure.
        """
        ...

    async def probe_room(self, name: str, count: int) -> None | Failure:
        """
        Tell whether bytes can be appended to a file, and leave it as it was.

        Parameters
        ----------
        name : str
            Name of an existing file.
        count : int
            Number of bytes.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if there is no room. After ``DISK_ERROR`` zeros may follow the content.
        """
        ...

    async def sync_names(self, folder: str) -> None | Failure:
        """Make all names in a folder durable, with its own; does nothing if it does not exist."""
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
    if exc.errno in FULL_ERRORS:
        reason, state = Reason.DISK_FULL, RunState.NOT_RUN
    elif isinstance(exc, FileNotFoundError):
        reason, state = Reason.NOT_FOUND, RunState.NOT_RUN
    return Failure(reason=reason, run_state=state, step=step, detail=f"{name}: {exc}")

"""Open and lock a data folder."""

from __future__ import annotations

import errno
import logging
from pathlib import Path

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.storage.disk import FULL_ERRORS, build_disk_failure
from marigoldtrail.storage.folder_disk import FolderDisk
from marigoldtrail.timers import Timers

OPEN_PAUSE_S = 0.5
_PASSING_ERRORS = (*FULL_ERRORS, errno.EIO)

_log = logging.getLogger(__name__)


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
    try:
        return lock_folder(Path(path), timers)
    except OSError as exc:
        return build_open_failure(exc, path)


async def wait_for_folder(path: str | Path, *, timers: Timers) -> FolderDisk | Failure:
    """
    Open and lock a data folder as `open_folder` does; wait while its disk is full or fails.

    A process that ended instead would be started again and again.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder.
    timers : Timers
        Timer service of the node.

    Returns
    -------
    FolderDisk or Failure
        ``DISK_ERROR`` if the folder cannot be used for a reason that does not pass by itself.
    """
    is_waiting = False
    while True:
        try:
            disk = lock_folder(Path(path), timers)
        except OSError as exc:
            if exc.errno not in _PASSING_ERRORS:
                return build_open_failure(exc, path)
            if not is_waiting:
                _log.error("the data folder %s cannot be opened yet; waiting: %s", path, exc)
            is_waiting = True
            await timers.sleep(OPEN_PAUSE_S)
            continue
        if is_waiting:
            _log.warning("the data folder %s is open", path)
        return disk


def lock_folder(folder: Path, timers: Timers) -> FolderDisk:
    """
    Create a folder if needed, lock it and remove what interrupted atomic writes have left.

    Parameters
    ----------
    folder : pathlib.Path
        The folder.
    timers : Timers
        Timer service of the node.

    Returns
    -------
    FolderDisk
        The files of the folder.

    Raises
    ------
    OSError
        If the folder cannot be created or locked.
    """
    disk = FolderDisk(folder=folder, timers=timers)
    folder.mkdir(parents=True, exist_ok=True)
    disk.lock()
    disk.remove_temporary_files()
    return disk


def build_open_failure(exc: OSError, path: str | Path) -> Failure:
    """
    Build the failure for a data folder that cannot be used.

    Parameters
    ----------
    exc : OSError
        The error.
    path : str or pathlib.Path
        The folder.

    Returns
    -------
    Failure
        The failure.
    """
    if not isinstance(exc, BlockingIOError):
        return build_disk_failure(exc, "disk.open", str(path))
    return Failure(
        reason=Reason.DISK_ERROR,
        run_state=RunState.NOT_RUN,
        step="disk.open",
        detail=f"{path} is in use by another process",
    )

"""Durable storage: the data folder and the journal."""

from marigoldtrail.storage.disk import Disk, FolderDisk, open_folder, wait_for_folder
from marigoldtrail.storage.journal import Journal, Record, open_journal

__all__ = [
    "Disk",
    "FolderDisk",
    "Journal",
    "Record",
    "open_folder",
    "open_journal",
    "wait_for_folder",
]

"""Durable storage: the data folder and the journal."""

from marigoldtrail.storage.disk import Disk
from marigoldtrail.storage.folder_disk import FolderDisk
from marigoldtrail.storage.journal import Journal, Record, open_journal
from marigoldtrail.storage.opening import open_folder, wait_for_folder

__all__ = [
    "Disk",
    "FolderDisk",
    "Journal",
    "Record",
    "open_folder",
    "open_journal",
    "wait_for_folder",
]

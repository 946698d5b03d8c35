"""Store the storage id, term, vote, snapshots and log of one group on disk."""

from __future__ import annotations

import logging
import random
import struct
from typing import TypeVar

import msgspec

from marigoldtrail.consensus.log import ReplicatedLog
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import StoredSnapshot, StoredVote
from marigoldtrail.storage import Disk, Journal, open_journal
from marigoldtrail.storage.checksum import crc32c

_CHECKSUM = struct.Struct(">I")

Stored = TypeVar("Stored", bound=msgspec.Struct)

_log = logging.getLogger(__name__)


def encode_stored(value: msgspec.Struct) -> bytes:
    """
    Encode a value and prefix it with its checksum.

    Parameters
    ----------
    value : msgspec.Struct
        The value.

    Returns
    -------
    bytes
        Checksum and msgpack encoding.
    """
    body = msgspec.msgpack.encode(value)
    return _CHECKSUM.pack(crc32c(body)) + body


def decode_stored(data: bytes, stored_type: type[Stored]) -> Stored | None:
    """
    Decode a value and verify its checksum.

    Parameters
    ----------
    data : bytes
        Output of `encode_stored`.
    stored_type : type
        Expected type.

    Returns
    -------
    msgspec.Struct or None
        None if the checksum or the content is wrong.

    Examples
    --------
    >>> vote = StoredVote(storage_id="ab", term=3, voted_for="")
    >>> decode_stored(encode_stored(vote), StoredVote) == vote
    True
    >>> decode_stored(encode_stored(vote)[:-1], StoredVote) is None
    True
    """
    body = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != crc32c(body):
        return None
    try:
        return msgspec.msgpack.decode(body, type=stored_type)
    except msgspec.MsgspecError:
        return None


def generate_storage_id(rng: random.Random) -> str:
    """
    Return a random storage id.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str
        Sixteen hexadecimal digits.
    """
    return f"{rng.getrandbits(64):016x}"


class GroupStore:
    """
    Files of one group.

    Parameters
    ----------
    disk : Disk
        The data folder.
    group : str
        Name of the group; its files are in the folder of that name.
    """

    __slots__ = ("disk", "group", "vote", "snapshot_name")

    def __init__(self, *, disk: Disk, group: str) -> None:
        self.disk = disk
        self.group = group
        self.vote = StoredVote(storage_id="", term=0, voted_for="")
        self.snapshot_name = ""

    @property
    def vote_name(self) -> str:
        """Name of the file that holds storage id, term and vote."""
        return f"{self.group}/vote"

    @property
    def partial_name(self) -> str:
        """Name of the file that collects the chunks of a snapshot from the leader."""
        return f"{self.group}/incoming"

    @property
    def log_prefix(self) -> str:
        """Common prefix of the names of the log's segment files."""
        return f"{self.group}/log/"

    @property
    def snapshot_prefix(self) -> str:
        """Common prefix of the names of the snapshot files."""
        return f"{self.group}/snapshot/"

    async def sync_names(self) -> None | Failure:
        """
        Make the names of all files durable.

        Returns
        -------
        None or Failure
            The failure of the disk.
        """
        for folder in (self.group, self.log_prefix, self.snapshot_prefix):
            result = await self.disk.sync_names(folder.rstrip("/"))
            if isinstance(result, Failure):
                return result
        return None

    async def save_vote(self, term: int, voted_for: str) -> None | Failure:
        """
        Write term and vote durably.

        Parameters
        ----------
        term : int
            The term.
        voted_for : str
            Storage id that receives the vote in this term; empty for none.

        Returns
        -------
        None or Failure
            After a failure the previous term and vote remain in force.
        """
        vote = StoredVote(storage_id=self.vote.storage_id, term=term, voted_for=voted_for)
        result = await self.disk.write_atomic(self.vote_name, encode_stored(vote))
        if not isinstance(result, Failure):
            self.vote = vote
        return result

    async def save_snapshot(self, snapshot: StoredSnapshot) -> None | Failure:
        """
        Write a snapshot durably, then remove older ones.

        Parameters
        ----------
        snapshot : StoredSnapshot
            The snapshot.

        Returns
        -------
        None or Failure
            If the write failed, the older snapshot is kept.
        """
        name = f"{self.snapshot_prefix}{snapshot.index:020d}"
        result = await self.disk.write_atomic(name, encode_stored(snapshot))
        if isinstance(result, Failure):
            return result
        # A newer snapshot from the leader may have been installed during the write.
        self.snapshot_name = max(name, self.snapshot_name)
        names = await self.disk.list_names(self.snapshot_prefix)
        if isinstance(names, Failure):
            return names
        for old in names:
            if old < self.snapshot_name:
                removed = await self.disk.remove(old)
                if isinstance(removed, Failure):
                    return removed
        return None

    async def renew_storage_id(self, rng: random.Random, why: str) -> None | Failure:
        """
        Assign a new storage id, which discards the vote of this log.

        Parameters
        ----------
        rng : random.Random
            Source of the storage id.
        why : str
            Reason, for the log line.

        Returns
        -------
        None or Failure
            The failure of the disk.
        """
        _log.error(
            "group %s: replacing the storage id and discarding the vote: %s", self.group, why
        )
        self.vote = StoredVote(
            storage_id=generate_storage_id(rng), term=self.vote.term, voted_for=""
        )
        return await self.save_vote(self.vote.term, "")


class OpenedStore(msgspec.Struct):
    """An opened store with its log and its newest snapshot."""

    store: GroupStore
    log: ReplicatedLog
    snapshot: StoredSnapshot | None


async def open_store(disk: Disk, group: str, rng: random.Random) -> OpenedStore | Failure:
    """
    Open the files of a group; format an empty folder.

    A log with corruption other than a torn tail gets a new storage id, so that it counts towards no
    quorum until the leader has restored it. What an earlier process left counts only after it is
    made durable: that process may have been killed before its syncs, or after one that failed.

    Parameters
    ----------
    disk : Disk
        The data folder.
    group : str
        Name of the group.
    rng : random.Random
        Source of storage ids.

    Returns
    -------
    OpenedStore or Failure
        The failure of the disk.
    """
    store = GroupStore(disk=disk, group=group)
    result = await store.sync_names()
    if isinstance(result, Failure):
        return result
    result = await load_vote(store, rng)
    if isinstance(result, Failure):
        return result
    snapshot = await load_snapshot(store, rng)
    if isinstance(snapshot, Failure):
        return snapshot
    journal = await open_journal(disk, store.log_prefix)
    if isinstance(journal, Failure):
        if journal.reason is not Reason.CORRUPT:
            return journal
        result = await store.renew_storage_id(rng, journal.detail)
        if isinstance(result, Failure):
            return result
        journal = await open_journal(disk, store.log_prefix, truncate_corrupt=True)
        if isinstance(journal, Failure):
            return journal
    log = await combine_log(store, journal, snapshot, rng)
    if isinstance(log, Failure):
        return log
    result = await journal.write_tail_anew()
    if isinstance(result, Failure):
        return result
    removed = await disk.remove(store.partial_name)
    return removed if isinstance(removed, Failure) else OpenedStore(store, log, snapshot)


async def load_vote(store: GroupStore, rng: random.Random) -> None | Failure:
    """
    Read storage id, term and vote; format an empty folder.

    Parameters
    ----------
    store : GroupStore
        The store; its `vote` is set.
    rng : random.Random
        Source of the storage id.

    Returns
    -------
    None or Failure
        The failure of the disk.
    """
    names = await store.disk.list_names(f"{store.group}/")
    if isinstance(names, Failure):
        return names
    if not names:
        store.vote = StoredVote(storage_id=generate_storage_id(rng), term=0, voted_for="")
        return await store.save_vote(0, "")
    if store.vote_name not in names:
        return await store.renew_storage_id(rng, "the vote file is missing")
    data = await store.disk.read(store.vote_name)
    if isinstance(data, Failure):
        return data
    vote = decode_stored(data, StoredVote)
    if vote is None:
        return await store.renew_storage_id(rng, "the vote file is corrupt")
    store.vote = vote
    return None


async def load_snapshot(store: GroupStore, rng: random.Random) -> StoredSnapshot | None | Failure:
    """
    Read the newest valid snapshot; a corrupt one is removed and the storage id replaced.

    Parameters
    ----------
    store : GroupStore
        The store; its `snapshot_name` is set.
    rng : random.Random
        Source of a new storage id.

    Returns
    -------
    StoredSnapshot, None or Failure
        None if there is no snapshot; the failure of the disk.
    """
    names = await store.disk.list_names(store.snapshot_prefix)
    if isinstance(names, Failure):
        return names
    for name in reversed(names):
        data = await store.disk.read(name)
        if isinstance(data, Failure):
            return data
        snapshot = decode_stored(data, StoredSnapshot)
        if snapshot is not None:
            store.snapshot_name = name
            return snapshot
        result = await store.renew_storage_id(rng, f"{name} is corrupt")
        if isinstance(result, Failure):
            return result
        removed = await store.disk.remove(name)
        if isinstance(removed, Failure):
            return removed
    return None


async def combine_log(
    store: GroupStore, journal: Journal, snapshot: StoredSnapshot | None, rng: random.Random
) -> ReplicatedLog | Failure:
    """
    Build the replicated log from the snapshot and the journal.

    Parameters
    ----------
    store : GroupStore
        The store.
    journal : Journal
        The entries on disk.
    snapshot : StoredSnapshot or None
        The newest snapshot.
    rng : random.Random
        Source of a new storage id, needed if entries between the two are missing.

    Returns
    -------
    ReplicatedLog or Failure
        The failure of the disk.
    """
    index, term = (snapshot.index, snapshot.term) if snapshot is not None else (0, 0)
    records = await journal.read_from(0)
    if isinstance(records, Failure):
        return records
    if records and records[0].index > index + 1:
        why = f"entries {index + 1} to {records[0].index - 1} are missing"
        result = await store.renew_storage_id(rng, why)
        if isinstance(result, Failure):
            return result
        records = []
    # A snapshot from the leader is written before the log that it replaces is removed, so a crash
    # may leave both.
    conflict = any(record.index == index and record.term != term for record in records)
    if records and (records[-1].index < index or conflict):
        records = []
    if not records:
        dropped = await journal.drop_after(0)
        if isinstance(dropped, Failure):
            return dropped
    base_index, base_term = index, term
    if records and records[0].index <= index:
        base_index, base_term = records[0].index, records[0].term
    log = ReplicatedLog(
        journal=journal,
        base_index=base_index,
        base_term=base_term,
        voters=snapshot.voters if snapshot is not None else [],
        snapshot_index=index,
    )
    log.load([record for record in records if record.index > base_index])
    return log


def build_snapshot_failure(name: str) -> Failure:
    """
    Build the failure for a received snapshot with a wrong checksum.

    Parameters
    ----------
    name : str
        Name of the file.

    Returns
    -------
    Failure
        With reason ``CORRUPT``.
    """
    return Failure(
        reason=Reason.CORRUPT,
        run_state=RunState.NOT_RUN,
        step="snapshot.install",
        detail=f"{name}: the checksum of the received snapshot is wrong",
    )

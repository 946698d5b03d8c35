"""Keep the replicated log in memory and in a journal on disk."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import LogEntry, Member, MemberList
from marigoldtrail.storage import Journal, Record

NO_OPERATION = 0
COMMAND = 1
MEMBERS = 2

# Kept before a snapshot, so that a follower that lags only slightly needs no snapshot transfer.
RETAINED_ENTRIES = 1024
RETAINED_BYTES = 4 * 1024 * 1024


def encode_entry(entry: LogEntry, index: int) -> Record:
    """
    Encode an entry for the journal.

    Parameters
    ----------
    entry : LogEntry
        The entry.
    index : int
        Its position.

    Returns
    -------
    Record
        The record.
    """
    return Record(entry.term, index, bytes([entry.kind]) + entry.payload)


def decode_entry(record: Record) -> LogEntry:
    """
    Decode an entry from the journal.

    Parameters
    ----------
    record : Record
        The record.

    Returns
    -------
    LogEntry
        The entry.
    """
    return LogEntry(term=record.term, kind=record.payload[0], payload=record.payload[1:])


def encode_voters(voters: list[Member]) -> bytes:
    """
    Encode a member list as the payload of an entry.

    Parameters
    ----------
    voters : list of Member
        The voters.

    Returns
    -------
    bytes
        The payload.
    """
    return msgspec.msgpack.encode(MemberList(voters=voters))


class ReplicatedLog:
    """
    Entries after a base index, held in memory and in a journal.

    The caller holds the group's lock while it calls an asynchronous method.

    Parameters
    ----------
    journal : Journal
        The entries on disk.
    base_index, base_term : int
        Last index before the entries in memory, and its term.
    voters : list of Member
        Member list in force at `snapshot_index`.
    snapshot_index : int
        Index of the newest snapshot; entries up to it are committed.
    """

    __slots__ = (
        "journal",
        "base_index",
        "base_term",
        "snapshot_index",
        "_entries",
        "_member_lists",
    )

    def __init__(
        self,
        *,
        journal: Journal,
        base_index: int,
        base_term: int,
        voters: list[Member],
        snapshot_index: int,
    ) -> None:
        self.journal = journal
        self.base_index = base_index
        self.base_term = base_term
        self.snapshot_index = snapshot_index
        self._entries: list[LogEntry] = []
        self._member_lists: list[tuple[int, list[Member]]] = [(snapshot_index, voters)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def voters(self) -> list[Member]:
        """The newest member list, committed or not."""
        return self._member_lists[-1][1]

    @property
    def voters_index(self) -> int:
        """Index of the newest member list."""
        return self._member_lists[-1][0]

    def voters_at(self, index: int) -> list[Member]:
        """
        Return the member list in force at an index.

        Parameters
        ----------
        index : int
            An index not before the snapshot.

        Returns
        -------
        list of Member
            The voters.
        """
        return [voters for start, voters in self._member_lists if start <= index][-1]

    def term_at(self, index: int) -> int | None:
        """
        Return the term of an entry.

        Parameters
        ----------
        index : int
            Position.

        Returns
        -------
        int or None
            None if the entry is not in memory.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """
        Return an entry.

        Parameters
        ----------
        index : int
            A position after `base_index`, up to `last_index`.

        Returns
        -------
        LogEntry
            The entry.
        """
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, *, max_entries: int, max_bytes: int) -> list[LogEntry]:
        """
        Return consecutive entries for one message.

        Parameters
        ----------
        index : int
            First position, after `base_index`.
        max_entries : int
            Maximum number of entries.
        max_bytes : int
            Maximum sum of payload bytes; the first entry is returned whatever its size.

        Returns
        -------
        list of LogEntry
            The entries; empty if the log ends before `index`.
        """
        found: list[LogEntry] = []
        total = 0
        start = index - self.base_index - 1
        for entry in self._entries[start : start + max_entries]:
            total += len(entry.payload)
            if found and total > max_bytes:
                break
            found.append(entry)
        return found

    def entries_after(self, index: int, count: int) -> list[LogEntry]:
        """
        Return a number of consecutive entries.

        Parameters
        ----------
        index : int
            Position before the first one, not before `base_index`.
        count : int
            Number of entries.

        Returns
        -------
        list of LogEntry
            The entries; fewer if the log ends before.
        """
        start = index - self.base_index
        return self._entries[start : start + count]

    def first_index_of_term(self, index: int) -> int:
        """
        Return the first index in memory that has the same term as an entry.

        Parameters
        ----------
        index : int
            A position from `base_index` to `last_index`.

        Returns
        -------
        int
            First index of that term.
        """
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def load(self, records: Sequence[Record]) -> None:
        """
        Load entries that the journal already contains.

        Parameters
        ----------
        records : sequence of Record
            Records after `base_index`.
        """
        for record in records:
            self._add(decode_entry(record))

    async def append(self, entries: Sequence[LogEntry]) -> None | Failure:
        """
        Append entries; they are durable after `sync`.

        Parameters
        ----------
        entries : sequence of LogEntry
            The entries.

        Returns
        -------
        None or Failure
            The failure of the journal; then no entry was appended.
        """
        start = self.last_index + 1
        records = [encode_entry(entry, start + i) for i, entry in enumerate(entries)]
        result = await self.journal.append(records)
        if isinstance(result, Failure):
            return result
        for entry in entries:
            self._add(entry)
        return None

    def _add(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        if entry.kind == MEMBERS and self.last_index > self.snapshot_index:
            members = msgspec.msgpack.decode(entry.payload, type=MemberList)
            self._member_lists.append((self.last_index, members.voters))

    async def truncate_after(self, index: int, *, committed: int) -> None | Failure:
        """
        Remove the entries after an index.

        Parameters
        ----------
        index : int
            Last index to keep.
        committed : int
            Index of the last committed entry; committed entries are never removed.

        Returns
        -------
        None or Failure
            ``CORRUPT`` if a committed entry would be removed.
        """
        if index < committed:
            return Failure(
                reason=Reason.CORRUPT,
                run_state=RunState.NOT_RUN,
                step="log.truncate",
                detail=f"the leader's log conflicts with committed entry {index + 1}",
            )
        result = await self.journal.drop_after(index)
        if isinstance(result, Failure):
            return result
        del self._entries[index - self.base_index :]
        while self._member_lists[-1][0] > index:
            self._member_lists.pop()
        return None

    async def compact(self, index: int) -> None | Failure:
        """
        Drop the entries before a snapshot, except a tail for followers that lag slightly.

        Parameters
        ----------
        index : int
            Index of the snapshot, which is durable.

        Returns
        -------
        None or Failure
            The failure of the journal.
        """
        self._set_snapshot(index, self.voters_at(index))
        keep, total = index, 0
        lowest = max(self.base_index, index - RETAINED_ENTRIES)
        while keep > lowest and total <= RETAINED_BYTES:
            total += len(self.entry_at(keep).payload)
            keep -= 1
        self._drop_until(keep)
        return await self.journal.drop_until(keep)

    async def replace(self, index: int, term: int, voters: list[Member]) -> None | Failure:
        """
        Replace the log up to a durable snapshot that the leader has sent.

        Parameters
        ----------
        index, term : int
            Index of the snapshot and the term of the entry there.
        voters : list of Member
            Member list in force there.

        Returns
        -------
        None or Failure
            The failure of the journal; then the entries in memory are unchanged.
        """
        continues = self.term_at(index) == term
        journal = self.journal
        result = await (journal.drop_until(index) if continues else journal.drop_after(0))
        if isinstance(result, Failure):
            # The entries in memory stay: the snapshot is not applied yet.
            return result
        if continues:
            self._drop_until(index)
            self._set_snapshot(index, voters)
            return None
        self._entries.clear()
        self.base_index = index
        self.base_term = term
        self.snapshot_index = index
        self._member_lists = [(index, voters)]
        return None

    def _set_snapshot(self, index: int, voters: list[Member]) -> None:
        later = [item for item in self._member_lists if item[0] > index]
        self._member_lists = [(index, voters), *later]
        self.snapshot_index = index

    def _drop_until(self, index: int) -> None:
        if index <= self.base_index:
            return
        self.base_term = self.entry_at(index).term
        del self._entries[: index - self.base_index]
        self.base_index = index

"""Implement an append-only journal of records in segment files."""

from __future__ import annotations

import struct
from collections.abc import Sequence

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.storage.checksum import crc32c
from marigoldtrail.storage.disk import Disk

SEGMENT_BYTES = 4 * 1024 * 1024
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024
SEGMENT_SUFFIX = ".log"

# Length of the payload, crc32c of the length and of everything after the checksum, term, index.
_HEADER = struct.Struct(">IIQQ")
_LENGTH = struct.Struct(">I")
_TERM_INDEX = struct.Struct(">QQ")


class Record(msgspec.Struct, frozen=True):
    """
    One record of a journal.

    Parameters
    ----------
    term : int
        Term in which the record was written.
    index : int
        Position; one higher than that of the preceding record.
    payload : bytes
        Content.
    """

    term: int
    index: int
    payload: bytes


class Segment:
    """
    One file of a journal.

    Parameters
    ----------
    name : str
        Name of the file.
    first_index : int
        Index of its first record.
    """

    __slots__ = ("name", "first_index", "offsets", "size")

    def __init__(self, *, name: str, first_index: int) -> None:
        self.name = name
        self.first_index = first_index
        self.offsets: list[int] = []
        self.size = 0

    @property
    def last_index(self) -> int:
        """Index of the last record; `first_index` - 1 if there is none."""
        return self.first_index + len(self.offsets) - 1


def encode_record(record: Record) -> bytes:
    """
    Encode a record for a segment file.

    Parameters
    ----------
    record : Record
        The record.

    Returns
    -------
    bytes
        Header and payload.
    """
    length = len(record.payload)
    term_and_index = _TERM_INDEX.pack(record.term, record.index)
    checksum = crc32c(record.payload, crc32c(term_and_index, crc32c(_LENGTH.pack(length))))
    return _HEADER.pack(length, checksum, record.term, record.index) + record.payload


def decode_record(data: bytes, offset: int) -> Record | None:
    """
    Decode the record at an offset.

    Parameters
    ----------
    data : bytes
        Content of a segment.
    offset : int
        Offset of the record in bytes.

    Returns
    -------
    Record or None
        None if there is no complete record with a correct checksum.

    Examples
    --------
    >>> decode_record(encode_record(Record(1, 2, b"x")), 0)
    Record(term=1, index=2, payload=b'x')
    """
    if offset + _HEADER.size > len(data):
        return None
    length, checksum, term, index = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + _HEADER.size : end]
    record = Record(term, index, payload)
    term_and_index = _TERM_INDEX.pack(term, index)
    if crc32c(payload, crc32c(term_and_index, crc32c(_LENGTH.pack(length)))) != checksum:
        return None
    return record


def has_valid_record(data: bytes, start: int) -> bool:
    """
    Tell whether a valid record starts anywhere at or after an offset.

    Parameters
    ----------
    data : bytes
        Content of a segment.
    start : int
        First offset to check.

    Returns
    -------
    bool
        True if there is one.
    """
    offsets = range(start, len(data) - _HEADER.size + 1)
    return any(decode_record(data, offset) is not None for offset in offsets)


class Journal:
    """
    Records in segment files; opened by `open_journal`.

    After a failed write or sync with unknown effect the journal refuses all further operations.

    Parameters
    ----------
    disk : Disk
        Disk that holds the files.
    prefix : str
        Common prefix of the segment names, for example ``"config/log/"``.
    segment_bytes : int
        Size in bytes at which a new segment is started.
    """

    __slots__ = ("_disk", "_prefix", "_segment_bytes", "_segments", "_unsynced", "fatal_failure")

    def __init__(self, *, disk: Disk, prefix: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._disk = disk
        self._prefix = prefix
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._unsynced: list[str] = []
        self.fatal_failure: Failure | None = None

    @property
    def first_index(self) -> int:
        """Index of the first record; 0 if there is none."""
        return self._segments[0].first_index if self._segments else 0

    @property
    def last_index(self) -> int:
        """Index of the last record; 0 if there is none."""
        return self._segments[-1].last_index if self._segments else 0

    async def append(self, records: Sequence[Record]) -> None | Failure:
        """
        Append records; they are durable after `sync`.

        Parameters
        ----------
        records : sequence of Record
            Records with consecutive indexes after `last_index`.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if no record was appended; the journal remains usable then.
        """
        if self.fatal_failure is not None or not records:
            return self.fatal_failure
        if self._segments and records[0].index != self.last_index + 1:
            raise ValueError(f"record {records[0].index} does not follow {self.last_index}")
        segment = self._segments[-1] if self._segments else None
        if segment is None or segment.size >= self._segment_bytes:
            # Only the newest segment may hold records that are not durable; see `write_tail_anew`.
            synced = await self.sync()
            if isinstance(synced, Failure):
                return synced
            segment = self._create_segment(records[0].index)
        encoded = [encode_record(record) for record in records]
        result = await self._disk.append(segment.name, b"".join(encoded))
        if isinstance(result, Failure):
            return self._record_failure(result)
        if segment is not (self._segments[-1] if self._segments else None):
            self._segments.append(segment)
        for data in encoded:
            segment.offsets.append(segment.size)
            segment.size += len(data)
        if segment.name not in self._unsynced:
            self._unsynced.append(segment.name)
        return None

    def _create_segment(self, first_index: int) -> Segment:
        name = f"{self._prefix}{first_index:020d}{SEGMENT_SUFFIX}"
        return Segment(name=name, first_index=first_index)

    def _record_failure(self, failure: Failure) -> Failure:
        if failure.reason is not Reason.DISK_FULL:
            self.fatal_failure = failure
        return failure

    async def sync(self) -> None | Failure:
        """
        Make all appended records durable.

        Returns
        -------
        None or Failure
            A failure is final: the kernel may have dropped the unsynced pages.
        """
        if self.fatal_failure is not None:
            return self.fatal_failure
        while self._unsynced:
            name = self._unsynced[0]
            result = await self._disk.sync(name)
            if isinstance(result, Failure):
                self.fatal_failure = result
                return result
            self._unsynced.remove(name)
        return None

    async def read_from(self, index: int) -> list[Record] | Failure:
        """
        Return the records from an index on.

        Parameters
        ----------
        index : int
            First index to return.

        Returns
        -------
        list of Record or Failure
            ``CORRUPT`` if a record on disk is no longer valid.
        """
        records: list[Record] = []
        for segment in self._segments:
            if segment.last_index < index:
                continue
            data = await self._disk.read(segment.name)
            if isinstance(data, Failure):
                return data
            for position, offset in enumerate(segment.offsets):
                record = decode_record(data, offset)
                if record is None or record.index != segment.first_index + position:
                    return build_corrupt_failure(segment.name, offset)
                if record.index >= index:
                    records.append(record)
        return records

    async def drop_until(self, index: int) -> None | Failure:
        """
        Remove the segments that contain no record after an index.

        Parameters
        ----------
        index : int
            Last index that is no longer needed.

        Returns
        -------
        None or Failure
            The failure of the disk.
        """
        if self.fatal_failure is not None:
            return self.fatal_failure
        while self._segments and self._segments[0].last_index <= index:
            result = await self._disk.remove(self._segments[0].name)
            if isinstance(result, Failure):
                return self._record_failure(result)
            self._discard_unsynced(self._segments.pop(0))
        return None

    async def drop_after(self, index: int) -> None | Failure:
        """
        Remove the records after an index; durable on return.

        Parameters
        ----------
        index : int
            Last index to keep; 0 removes all.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if no record was removed; any other failure of the disk is final.
        """
        if self.fatal_failure is not None:
            return self.fatal_failure
        last_index = self.last_index
        while self._segments and self._segments[-1].first_index > index:
            result = await self._disk.remove(self._segments[-1].name)
            if isinstance(result, Failure):
                # The caller still holds all records; those that are gone cannot be followed.
                has_effect = self.last_index != last_index
                return self._record_failure(build_effect_failure(result) if has_effect else result)
            self._discard_unsynced(self._segments.pop())
        if not self._segments or self._segments[-1].last_index <= index:
            return None
        segment = self._segments[-1]
        keep = index - segment.first_index + 1
        size = segment.offsets[keep]
        result = await self._disk.truncate(segment.name, size)
        if isinstance(result, Failure):
            return self._record_failure(build_effect_failure(result))
        del segment.offsets[keep:]
        segment.size = size
        return None

    async def probe_room(self, count: int) -> None | Failure:
        """
        Tell whether there is room for a record.

        Parameters
        ----------
        count : int
            Size of the record in bytes.

        Returns
        -------
        None or Failure
            ``DISK_FULL`` if there is none; else the failure of the disk, which is final.
        """
        if self.fatal_failure is not None or not self._segments:
            return self.fatal_failure
        result = await self._disk.probe_room(self._segments[-1].name, count)
        return self._record_failure(result) if isinstance(result, Failure) else None

    async def write_tail_anew(self) -> None | Failure:
        """
        Write the newest segment anew.

        Makes the records durable that an earlier process or a failed sync has left in the page
        cache. A sync is not enough: it may succeed although an earlier one has dropped pages.

        Returns
        -------
        None or Failure
            The failure of the disk.
        """
        if self.fatal_failure is not None or not self._segments:
            return self.fatal_failure
        segment = self._segments[-1]
        data = await self._disk.read(segment.name, length=segment.size)
        if isinstance(data, Failure):
            return data
        written = await self._disk.write_atomic(segment.name, data)
        if isinstance(written, Failure) and written.reason is Reason.DISK_FULL:
            # There is no room for a second copy.
            written = await self._disk.rewrite(segment.name)
        if not isinstance(written, Failure):
            self._discard_unsynced(segment)
        return written

    def _discard_unsynced(self, segment: Segment) -> None:
        if segment.name in self._unsynced:
            self._unsynced.remove(segment.name)

    async def recover(self, *, truncate_corrupt: bool) -> None | Failure:
        """
        Load all segments; remove empty ones and truncate a torn tail.

        Parameters
        ----------
        truncate_corrupt : bool
            Whether to truncate the journal even at a corrupt record that valid records follow.

        Returns
        -------
        None or Failure
            ``CORRUPT`` if valid records follow a corrupt one, or a segment is missing.
        """
        names = await self._disk.list_names(self._prefix)
        if isinstance(names, Failure):
            return names
        names = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
        for position, name in enumerate(names):
            data = await self._disk.read(name)
            if isinstance(data, Failure):
                return data
            if not data:
                # A refused first append leaves an empty file. It never held a record, and the
                # records from its index on may since have been written to other segments.
                removed = await self._disk.remove(name)
                if isinstance(removed, Failure):
                    return removed
                continue
            segment, complete = self._scan(name, data)
            if complete:
                self._segments.append(segment)
                continue
            if not truncate_corrupt and await self._has_later_valid_record(
                names[position + 1 :], segment, data
            ):
                return build_corrupt_failure(name, segment.size)
            return await self._truncate_after(segment, names[position + 1 :])
        return None

    def _scan(self, name: str, data: bytes) -> tuple[Segment, bool]:
        first = int(name[len(self._prefix) : -len(SEGMENT_SUFFIX)])
        segment = Segment(name=name, first_index=first)
        if self._segments and first != self.last_index + 1:
            return segment, False
        while segment.size < len(data):
            record = decode_record(data, segment.size)
            if record is None or record.index != segment.last_index + 1:
                return segment, False
            segment.offsets.append(segment.size)
            segment.size += _HEADER.size + len(record.payload)
        return segment, bool(segment.offsets)

    async def _has_later_valid_record(
        self, later: list[str], segment: Segment, data: bytes
    ) -> bool:
        if has_valid_record(data, segment.size):
            return True
        for name in later:
            content = await self._disk.read(name)
            if isinstance(content, Failure) or has_valid_record(content, 0):
                return True
        return False

    async def _truncate_after(self, segment: Segment, later: list[str]) -> None | Failure:
        for name in reversed(later):
            result = await self._disk.remove(name)
            if isinstance(result, Failure):
                return result
        if not segment.offsets:
            return await self._disk.remove(segment.name)
        result = await self._disk.truncate(segment.name, segment.size)
        if isinstance(result, Failure):
            return result
        self._segments.append(segment)
        return None


def build_effect_failure(failure: Failure) -> Failure:
    """
    Build the failure for an operation of which a part has had an effect.

    Parameters
    ----------
    failure : Failure
        Failure of a later part.

    Returns
    -------
    Failure
        With reason ``DISK_ERROR``, also on a full disk.
    """
    return Failure(
        reason=Reason.DISK_ERROR,
        run_state=RunState.MAY_HAVE_RUN,
        step=failure.step,
        detail=failure.detail,
    )


def build_corrupt_failure(name: str, offset: int) -> Failure:
    """
    Build the failure for a corrupt record.

    Parameters
    ----------
    name : str
        Name of the segment.
    offset : int
        Offset of the record in bytes.

    Returns
    -------
    Failure
        With reason ``CORRUPT``.
    """
    return Failure(
        reason=Reason.CORRUPT,
        run_state=RunState.NOT_RUN,
        step="journal.open",
        detail=f"{name}: the record at offset {offset} is not valid, but records after it are",
    )


async def open_journal(
    disk: Disk, prefix: str, *, segment_bytes: int = SEGMENT_BYTES, truncate_corrupt: bool = False
) -> Journal | Failure:
    """
    Open a journal; truncate a torn tail.

    Parameters
    ----------
    disk : Disk
        Disk that holds the files.
    prefix : str
        Common prefix of the segment names.
    segment_bytes : int
        Size in bytes at which a new segment is started.
    truncate_corrupt : bool
        Whether to truncate the journal at a corrupt record that valid records follow. Only a host
        that has discarded its vote may do this: the removed records may have counted for a quorum.

    Returns
    -------
    Journal or Failure
        ``CORRUPT`` if valid records follow a corrupt one and `truncate_corrupt` is false.
    """
    journal = Journal(disk=disk, prefix=prefix, segment_bytes=segment_bytes)
    result = await journal.recover(truncate_corrupt=truncate_corrupt)
    return result if isinstance(result, Failure) else journal

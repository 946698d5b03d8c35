"""Segment files of a record group on one host.

Segments are deterministic: every member appends the same entries at the same offsets, derived from
the commands of the group only. `append` changes only memory; a writer task flushes appended bytes
to disk later. This is safe because a committed command stays in the log until a snapshot replaces
it, and a snapshot contains the bytes that its host had not yet synced.

A snapshot lists each segment with its size and checksum. A host that restores a snapshot keeps the
files that match, truncates them to the flushed size (later bytes are appended again from the
snapshot and the log), and marks the others as missing; `marigoldtrail.records.fetch` then fetches
those from another member.
"""

from __future__ import annotations

import logging

import trio
from crc32c import crc32c

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.records.claim import Location
from marigoldtrail.records.entries import (
    HEADER_BYTES,
    Entry,
    decode_entry,
    encode_entry,
    get_entry_length,
    iterate_entries,
)
from marigoldtrail.records.index import Field, SegmentIndex
from marigoldtrail.records.segment import Segment, SegmentState
from marigoldtrail.storage import Disk

SEGMENT_BYTES = 64 * 1024 * 1024
READ_CHUNK_BYTES = 1024 * 1024
# Most entries are shorter, so that a single read returns both header and payload.
FIRST_READ_BYTES = 4096
# Above this limit the disk has been failing for a long time, and new records are refused to keep
# memory bounded.
MAX_UNFLUSHED_BYTES = 64 * 1024 * 1024
SEGMENT_SUFFIX = ".seg"
INDEX_SUFFIX = ".idx"

_log = logging.getLogger(__name__)


class SegmentStore:
    """
    The segments of one record group.

    Parameters
    ----------
    disk : Disk
        Disk that holds the files.
    folder : str
        Prefix of the file names, for example ``"segments/records-0"``.
    segment_bytes : int
        Size in bytes beyond which a new segment is started. All members must use the same value.

    Examples
    --------
    On the disk of a control host::

        store = SegmentStore(disk=disk, folder="segments/records-0")
        location = store.append(RECORD, payload, at_ms=1)
        await store.flush()
        entry = await store.read(location)
    """

    __slots__ = (
        "_disk",
        "_folder",
        "_segment_bytes",
        "_segments",
        "_is_initialized",
        "_may_have_orphans",
        "_lock",
        "changed",
        "failure",
    )

    def __init__(self, *, disk: Disk, folder: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._disk = disk
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: dict[int, Segment] = {}
        self._is_initialized = False
        self._may_have_orphans = True
        self._lock = trio.Lock()
        self.changed = trio.Event()
        self.failure: Failure | None = None

    # Called by the state machine.

    def append(self, kind: int, payload: bytes, *, at_ms: int) -> Location:
        """
        Append an entry.

        Parameters
        ----------
        kind : int
            `RECORD` or `ANSWER`.
        payload : bytes
            Content of the entry.
        at_ms : int
            Wall time of the leader in milliseconds.

        Returns
        -------
        Location
            Location of the entry.
        """
        self._is_initialized = True
        data = encode_entry(kind, payload)
        segment = self._get_active_segment()
        if segment.size and segment.size + len(data) > self._segment_bytes:
            segment.is_sealed = True
            segment = self._create_segment(segment.number + 1)
        location = Location(segment.number, segment.size)
        segment.add_to_index(Entry(segment.size, kind, payload))
        segment.tail += data
        segment.size += len(data)
        segment.crc = crc32c(data, segment.crc)
        segment.last_ms = max(segment.last_ms, at_ms)
        self._notify_changed()
        return location

    def _get_active_segment(self) -> Segment:
        if not self._segments:
            return self._create_segment(1)
        return self._segments[max(self._segments)]

    def _create_segment(self, number: int) -> Segment:
        segment = self._segments[number] = Segment(number=number)
        segment.is_indexed = True
        return segment

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def drop_before(self, before_ms: int) -> int:
        """
        Drop the oldest sealed segments whose retention period has expired.

        Parameters
        ----------
        before_ms : int
            Wall time in milliseconds; segments with a last append before it are dropped.

        Returns
        -------
        int
            Number of the oldest segment that is kept.
        """
        for number in sorted(self._segments):
            segment = self._segments[number]
            if not segment.is_sealed or segment.last_ms >= before_ms:
                break
            del self._segments[number]
            self._may_have_orphans = True
        self._notify_changed()
        return min(self._segments, default=1)

    def dump(self) -> list[SegmentState]:
        """Return the state of the segments for a snapshot."""
        return [
            SegmentState(
                number=segment.number,
                size=segment.size,
                crc=segment.crc,
                last_ms=segment.last_ms,
                flushed=segment.flushed,
                flushed_crc=segment.flushed_crc,
                tail=bytes(segment.tail),
            )
            for segment in self._segments.values()
        ]

    def restore(self, states: list[SegmentState]) -> None:
        """
        Replace the state with that of a snapshot; `maintain` verifies the files later.

        Parameters
        ----------
        states : list of SegmentState
            Result of `dump` on any member.
        """
        self._is_initialized = True
        self._may_have_orphans = True
        self._segments = {}
        for state in states:
            segment = self._create_segment(state.number)
            segment.size = state.size
            segment.crc = state.crc
            segment.last_ms = state.last_ms
            segment.flushed = state.flushed
            segment.flushed_crc = state.flushed_crc
            segment.tail = bytearray(state.tail)
            segment.is_indexed = state.flushed == 0
            segment.is_sealed = state.number != states[-1].number
            for entry in iterate_entries(state.tail, state.flushed):
                segment.add_to_index(entry)
        self._notify_changed()

    # Status.

    def list_missing(self) -> list[Segment]:
        """Return the segments whose files must be fetched from another member."""
        return [segment for segment in self._segments.values() if segment.is_missing]

    def is_complete(self) -> bool:
        """Tell whether the files contain all flushed bytes of the replicated state."""
        return all(seg.is_verified or not seg.flushed for seg in self._segments.values())

    def count_unflushed_bytes(self) -> int:
        """Return the number of bytes that are only in memory and in the log."""
        return sum(len(segment.tail) for segment in self._segments.values())

    def get_oldest_ms(self) -> int:
        """Return the wall time of the last append to the oldest segment; 0 if there is none."""
        return self._segments[min(self._segments)].last_ms if self._segments else 0

    def get_file_name(self, number: int) -> str:
        """Return the file name of a segment."""
        return f"{self._folder}/{number:08d}{SEGMENT_SUFFIX}"

    # Called by the writer task, except for `install`.

    async def maintain(self) -> None:
        """Verify files, flush appended bytes and remove the files of dropped segments, once."""
        async with self._lock:
            self.failure = None
            for segment in list(self._segments.values()):
                needs_check = not segment.is_missing or segment.has_read_error
                if not segment.is_verified and needs_check and self._is_current(segment):
                    await self._verify_segment(segment)
            for segment in list(self._segments.values()):
                if segment.is_verified and self._is_current(segment):
                    await self._flush_segment(segment)
            # Before the first command or snapshot, the set of required files is unknown.
            if self._is_initialized and self._may_have_orphans:
                await self._remove_orphans()

    async def flush(self) -> None:
        """Write and sync all appended entries; `failure` is set on error."""
        await self.maintain()

    def _is_current(self, segment: Segment) -> bool:
        # A snapshot or a retention command may replace the segments during file operations.
        return self._segments.get(segment.number) is segment

    def _set_failure(self, failure: Failure) -> None:
        self.failure = failure
        _log.error("segment file operation failed: %s", failure)

    async def _verify_segment(self, segment: Segment) -> None:
        name = self.get_file_name(segment.number)
        size = await self._disk.get_size(name)
        if isinstance(size, Failure):
            if size.reason is not Reason.NOT_FOUND:
                self._set_failure(size)
                return
            size = 0
        index = await self._scan_prefix(segment) if size >= segment.flushed else None
        if not self._is_current(segment):
            return
        if index is None or isinstance(index, Failure):
            self._set_missing(segment, index)
            return
        durable = await self._make_durable(name, segment, size)
        if isinstance(durable, Failure):
            self._set_failure(durable)
            return
        # No await below: entries appended during the scan are all in the tail.
        segment.index = index
        for entry in iterate_entries(segment.tail, segment.flushed):
            segment.add_to_index(entry)
        segment.is_indexed = True
        segment.is_missing = segment.has_read_error = False
        segment.is_verified = True

    def _set_missing(self, segment: Segment, failure: Failure | None) -> None:
        segment.is_missing = True
        # The file is read again in the next round, as no member may have another copy.
        segment.has_read_error = failure is not None
        if failure is not None:
            self._set_failure(failure)
        _log.error(
            "segment file %s is missing, corrupt or unreadable; fetching it from another member",
            self.get_file_name(segment.number),
        )

    async def _make_durable(self, name: str, segment: Segment, size: int) -> None | Failure:
        if size > segment.flushed:
            cut = await self._disk.truncate(name, segment.flushed)
            if isinstance(cut, Failure):
                return cut
        # An earlier process may have been killed before its sync, or after one that failed, and the
        # snapshot that says how much is flushed may come from another member.
        return await self._disk.rewrite(name) if segment.flushed else None

    async def _scan_prefix(self, segment: Segment) -> SegmentIndex | None | Failure:
        stored = await self._read_index(segment)
        scan = Segment(number=segment.number)
        while scan.size < segment.flushed:
            entries = await self.read_entries(segment.number, scan.size, segment.flushed)
            if isinstance(entries, Failure):
                is_content_wrong = entries.reason in (Reason.CORRUPT, Reason.NOT_FOUND)
                return None if is_content_wrong else entries
            for entry in entries:
                scan.crc = crc32c(encode_entry(entry.kind, entry.payload), scan.crc)
                if stored is None:
                    scan.add_to_index(entry)
            scan.size = entries[-1].end
        if scan.size != segment.flushed or scan.crc != segment.flushed_crc:
            return None
        return stored or scan.index

    async def _read_index(self, segment: Segment) -> SegmentIndex | None:
        if not segment.is_sealed or segment.tail:
            return None
        data = await self._disk.read(self.get_file_name(segment.number) + INDEX_SUFFIX)
        return None if isinstance(data, Failure) else SegmentIndex.decode(data)

    async def _flush_segment(self, segment: Segment) -> None:
        name = self.get_file_name(segment.number)
        data = bytes(segment.tail)
        if data:
            result = await self._disk.append(name, data)
            if result is None:
                result = await self._disk.sync(name)
            if isinstance(result, Failure):
                # After a failed fsync the page cache is not reliable. The next round truncates the
                # file to its durable part, which discards the pages, and writes the bytes again.
                segment.is_verified = False
                self._set_failure(result)
                return
            segment.flushed += len(data)
            segment.flushed_crc = crc32c(data, segment.flushed_crc)
            del segment.tail[: len(data)]
        if segment.is_sealed and not segment.tail and not segment.is_index_stored:
            segment.index.seal()
            result = await self._disk.write_atomic(name + INDEX_SUFFIX, segment.index.encode())
            segment.is_index_stored = result is None

    async def _remove_orphans(self) -> None:
        names = await self._disk.list_names(f"{self._folder}/")
        if isinstance(names, Failure):
            self._set_failure(names)
            return
        self._may_have_orphans = False
        current_names = {self.get_file_name(number) for number in self._segments}
        for name in names:
            if name.removesuffix(INDEX_SUFFIX) not in current_names:
                removed = await self._disk.remove(name)
                if isinstance(removed, Failure):
                    self._may_have_orphans = True
                    self._set_failure(removed)

    async def install(self, segment: Segment, data: bytes) -> bool:
        """
        Replace the file of a missing segment with content from another member.

        Parameters
        ----------
        segment : Segment
            A segment returned by `list_missing`.
        data : bytes
            The first `flushed` bytes of the segment.

        Returns
        -------
        bool
            False if the content does not match the replicated state or cannot be written.
        """
        async with self._lock:
            if crc32c(data) != segment.flushed_crc or not self._is_current(segment):
                return False
            name = self.get_file_name(segment.number)
            # Removing the file first closes it in case the disk keeps it open for appending.
            await self._disk.remove(name + INDEX_SUFFIX)
            await self._disk.remove(name)
            result = await self._disk.write_atomic(name, data)
            if isinstance(result, Failure):
                self._set_failure(result)
                return False
            segment.is_missing = segment.has_read_error = False
            segment.is_index_stored = False
            await self._verify_segment(segment)
            return segment.is_verified

    # Reading.

    async def read(self, location: Location) -> Entry | Failure:
        """
        Read one entry.

        Parameters
        ----------
        location : Location
            Location returned by `append`.

        Returns
        -------
        Entry or Failure
            ``NOT_FOUND`` if the segment was dropped by retention; ``CORRUPT`` if the file is
            corrupt, which also triggers a new verification and fetch of the segment.
        """
        segment = self._segments.get(location.segment)
        if segment is None:
            return _failure(Reason.NOT_FOUND, f"segment {location.segment} was dropped")
        if location.offset >= segment.flushed:
            entry = decode_entry(segment.tail, location.offset - segment.flushed, segment.flushed)
            return entry or _failure(Reason.CORRUPT, f"no entry at {location}")
        name = self.get_file_name(location.segment)
        data = await self._disk.read(name, offset=location.offset, length=FIRST_READ_BYTES)
        if not isinstance(data, Failure) and len(data) >= HEADER_BYTES:
            length = get_entry_length(data)
            if len(data) < length <= segment.size - location.offset:
                data = await self._disk.read(name, offset=location.offset, length=length)
        entry = None if isinstance(data, Failure) else decode_entry(data, 0, location.offset)
        if entry is None:
            detail = f"{name} is damaged at byte {location.offset}"
            _log.error("%s", detail)
            segment.is_verified = False
            self._notify_changed()
            return _failure(Reason.CORRUPT, detail)
        return entry

    async def read_entries(self, number: int, offset: int, end: int) -> list[Entry] | Failure:
        """
        Read the entries from an offset of a segment file.

        Parameters
        ----------
        number : int
            Number of the segment.
        offset, end : int
            Offset of the first entry and end offset of the part to read.

        Returns
        -------
        list of Entry or Failure
            At least one entry and about 1 MB at most; ``CORRUPT`` if the first entry is corrupt.
        """
        name = self.get_file_name(number)
        length = min(READ_CHUNK_BYTES, end - offset)
        data = await self._disk.read(name, offset=offset, length=length)
        if isinstance(data, Failure):
            return data
        entries = list(iterate_entries(data, offset))
        if not entries and HEADER_BYTES <= len(data) < get_entry_length(data) <= end - offset:
            data = await self._disk.read(name, offset=offset, length=get_entry_length(data))
            entries = [] if isinstance(data, Failure) else list(iterate_entries(data, offset))
        return entries or _failure(Reason.CORRUPT, f"{name} is damaged at byte {offset}")

    async def read_durable(self, number: int, offset: int, length: int) -> bytes | Failure:
        """
        Read raw bytes for another member.

        Parameters
        ----------
        number : int
            Number of the segment.
        offset, length : int
            Start and length of the part, in bytes.

        Returns
        -------
        bytes or Failure
            At most `length` bytes of the verified part of the file.
        """
        segment = self._segments.get(number)
        if segment is None or not segment.is_verified:
            return _failure(Reason.NOT_FOUND, f"segment {number} is not complete here")
        length = max(0, min(length, segment.flushed - offset))
        return await self._disk.read(self.get_file_name(number), offset=offset, length=length)

    def get_durable_size(self, number: int) -> int:
        """Return the number of durable bytes of a segment."""
        segment = self._segments.get(number)
        return segment.flushed if segment is not None else 0

    def list_numbers(self) -> list[int]:
        """Return the numbers of the segments, oldest first."""
        return sorted(self._segments)

    def find(self, field: Field, value: str) -> list[Location] | Failure:
        """
        Return the possible locations of records with a field value.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            Value of the field; empty for all records.

        Returns
        -------
        list of Location or Failure
            Newest first; a failure while a segment is still being verified or fetched.
        """
        found: list[Location] = []
        for number in reversed(self.list_numbers()):
            segment = self._segments[number]
            if not segment.is_indexed:
                return _failure(Reason.OVERLOADED, f"segment {number} is being fetched", 1.0)
            index = segment.index
            offsets = index.find(field, value) if value else index.list_offsets()
            found += [Location(number, offset) for offset in reversed(offsets)]
        return found


def _failure(reason: Reason, detail: str, retry_after_s: float = 0.0) -> Failure:
    return Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step="records.read",
        detail=detail,
        retry_after_s=retry_after_s,
    )

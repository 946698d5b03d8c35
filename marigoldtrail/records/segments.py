"""Segment files of a record group on one host.

The content of the segments follows from the commands of the group alone: every member appends the
same entries at the same places. `append` only changes memory; a writer task moves appended bytes
to the disk later. That is safe because an entry whose command is committed stands in the log until
a snapshot replaces it, and a snapshot carries the bytes that its host had not yet synced.

A snapshot names each segment with its size and checksum. A host that restores one keeps the files
that match, cuts what lies behind the named size (it is appended again from the log), and marks the
others as missing; `marigoldtrail.records.fetch` then gets those from another member.
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
    entry_length,
    iterate_entries,
)
from marigoldtrail.records.index import Field, SegmentIndex
from marigoldtrail.records.segment import Segment, SegmentState
from marigoldtrail.storage import Disk

SEGMENT_BYTES = 64 * 1024 * 1024
READ_PIECE_BYTES = 1024 * 1024
# Most entries are shorter, so that one read gets the header and the payload.
FIRST_READ_BYTES = 4096
# Beyond this the disk has failed for long enough to refuse new records rather than fill the memory.
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
        Where the files are.
    folder : str
        Prefix of their names, for example ``"segments/records-0"``.
    segment_bytes : int
        Size in bytes at which a segment is sealed. All members must use the same.

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
        "_started",
        "_may_have_unknown",
        "_lock",
        "changed",
        "failure",
    )

    def __init__(self, *, disk: Disk, folder: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._disk = disk
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: dict[int, Segment] = {}
        self._started = False
        self._may_have_unknown = True
        self._lock = trio.Lock()
        self.changed = trio.Event()
        self.failure: Failure | None = None

    # What the state machine calls.

    def append(self, kind: int, payload: bytes, *, at_ms: int) -> Location:
        """
        Append an entry.

        Parameters
        ----------
        kind : int
            `RECORD` or `ANSWER`.
        payload : bytes
            Content.
        at_ms : int
            Wall time of the leader in milliseconds.

        Returns
        -------
        Location
            Where the entry is.
        """
        self._started = True
        data = encode_entry(kind, payload)
        segment = self._active()
        if segment.size and segment.size + len(data) > self._segment_bytes:
            segment.sealed = True
            segment = self._create(segment.number + 1)
        location = Location(segment.number, segment.size)
        segment.add_to_index(Entry(segment.size, kind, payload))
        segment.tail += data
        segment.size += len(data)
        segment.crc = crc32c(data, segment.crc)
        segment.last_ms = max(segment.last_ms, at_ms)
        self._notify()
        return location

    def _active(self) -> Segment:
        if not self._segments:
            return self._create(1)
        return self._segments[max(self._segments)]

    def _create(self, number: int) -> Segment:
        segment = self._segments[number] = Segment(number=number)
        segment.indexed = True
        return segment

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def drop_before(self, before_ms: int) -> int:
        """
        Drop the oldest sealed segments.

        Parameters
        ----------
        before_ms : int
            Segments whose last append was before this wall time are dropped.

        Returns
        -------
        int
            Number of the oldest segment that is kept.
        """
        for number in sorted(self._segments):
            segment = self._segments[number]
            if not segment.sealed or segment.last_ms >= before_ms:
                break
            del self._segments[number]
            self._may_have_unknown = True
        self._notify()
        return min(self._segments, default=1)

    def dump(self) -> list[SegmentState]:
        """Return what a snapshot says about the segments."""
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

    def adopt(self, states: list[SegmentState]) -> None:
        """
        Replace the content by that of a snapshot; files are compared later, by `verify`.

        Parameters
        ----------
        states : list of SegmentState
            From `dump` on any member.
        """
        self._started = True
        self._may_have_unknown = True
        self._segments = {}
        for state in states:
            segment = self._create(state.number)
            segment.size = state.size
            segment.crc = state.crc
            segment.last_ms = state.last_ms
            segment.flushed = state.flushed
            segment.flushed_crc = state.flushed_crc
            segment.tail = bytearray(state.tail)
            segment.indexed = state.flushed == 0
            segment.sealed = state.number != states[-1].number
            for entry in iterate_entries(state.tail, state.flushed):
                segment.add_to_index(entry)
        self._notify()

    # Status.

    def missing(self) -> list[Segment]:
        """Return the segments whose files must be fetched from another member."""
        return [segment for segment in self._segments.values() if segment.missing]

    def is_complete(self) -> bool:
        """Tell whether every file holds what the state machine says."""
        return all(seg.ready or not seg.flushed for seg in self._segments.values())

    def unflushed_bytes(self) -> int:
        """Return the number of bytes that are only in memory and in the log."""
        return sum(len(segment.tail) for segment in self._segments.values())

    def oldest_ms(self) -> int:
        """Return the wall time of the last append to the oldest segment; 0 if there is none."""
        return self._segments[min(self._segments)].last_ms if self._segments else 0

    def name_of(self, number: int) -> str:
        """Return the file name of a segment."""
        return f"{self._folder}/{number:08d}{SEGMENT_SUFFIX}"

    # What the writer task calls.

    async def maintain(self) -> None:
        """Verify new files, flush appended bytes, and remove files of dropped segments, once."""
        async with self._lock:
            self.failure = None
            for segment in list(self._segments.values()):
                if not segment.ready and not segment.missing and self._is_known(segment):
                    await self._verify_segment(segment)
            for segment in list(self._segments.values()):
                if segment.ready and self._is_known(segment):
                    await self._flush_segment(segment)
            # Before the first command or snapshot it is not known which files are needed.
            if self._started and self._may_have_unknown:
                await self._remove_unknown()

    async def flush(self) -> None:
        """Make every appended entry durable in its file; see `failure` for errors."""
        await self.maintain()

    def _is_known(self, segment: Segment) -> bool:
        # A snapshot or a retention command may replace the segments while a file is worked on.
        return self._segments.get(segment.number) is segment

    def _fail(self, failure: Failure) -> None:
        self.failure = failure
        _log.error("segment files: %s", failure)

    async def _verify_segment(self, segment: Segment) -> None:
        name = self.name_of(segment.number)
        size = await self._disk.size(name)
        if isinstance(size, Failure):
            if size.reason is not Reason.NOT_FOUND:
                self._fail(size)
                return
            size = 0
        index = await self._scan_prefix(segment) if size >= segment.flushed else None
        if not self._is_known(segment):
            return
        if index is None:
            segment.missing = True
            _log.error("segment %s is missing or damaged: it will be fetched", name)
            return
        if size > segment.flushed:
            cut = await self._disk.truncate(name, segment.flushed)
            if isinstance(cut, Failure):
                self._fail(cut)
                return
        # No await from here on: entries appended meanwhile are all in the tail.
        segment.index = index
        for entry in iterate_entries(segment.tail, segment.flushed):
            segment.add_to_index(entry)
        segment.indexed = True
        segment.ready = True

    async def _scan_prefix(self, segment: Segment) -> SegmentIndex | None:
        stored = await self._read_index(segment)
        scan = Segment(number=segment.number)
        while scan.size < segment.flushed:
            entries = await self.read_entries(segment.number, scan.size, segment.flushed)
            if isinstance(entries, Failure):
                return None
            for entry in entries:
                scan.crc = crc32c(encode_entry(entry.kind, entry.payload), scan.crc)
                if stored is None:
                    scan.add_to_index(entry)
            scan.size = entries[-1].end
        if scan.size != segment.flushed or scan.crc != segment.flushed_crc:
            return None
        return stored or scan.index

    async def _read_index(self, segment: Segment) -> SegmentIndex | None:
        if not segment.sealed or segment.tail:
            return None
        data = await self._disk.read(self.name_of(segment.number) + INDEX_SUFFIX)
        return None if isinstance(data, Failure) else SegmentIndex.decode(data)

    async def _flush_segment(self, segment: Segment) -> None:
        name = self.name_of(segment.number)
        data = bytes(segment.tail)
        if data:
            result = await self._disk.append(name, data)
            if result is None:
                result = await self._disk.sync(name)
            if isinstance(result, Failure):
                # After a failed fsync the cached pages cannot be trusted; cutting the file back
                # to its durable part drops them, and the next round writes the bytes again.
                segment.ready = False
                self._fail(result)
                return
            segment.flushed += len(data)
            segment.flushed_crc = crc32c(data, segment.flushed_crc)
            del segment.tail[: len(data)]
        if segment.sealed and not segment.tail and not segment.index_stored:
            segment.index.seal()
            result = await self._disk.write_atomic(name + INDEX_SUFFIX, segment.index.encode())
            segment.index_stored = result is None

    async def _remove_unknown(self) -> None:
        names = await self._disk.list_names(f"{self._folder}/")
        if isinstance(names, Failure):
            self._fail(names)
            return
        self._may_have_unknown = False
        known = {self.name_of(number) for number in self._segments}
        for name in names:
            if name.removesuffix(INDEX_SUFFIX) not in known:
                await self._disk.remove(name)

    async def install(self, segment: Segment, data: bytes) -> bool:
        """
        Replace the file of a missing segment by content from another member.

        Parameters
        ----------
        segment : Segment
            One of `missing`.
        data : bytes
            Its first `flushed` bytes.

        Returns
        -------
        bool
            False if the content is not that which the state machine names.
        """
        async with self._lock:
            if crc32c(data) != segment.flushed_crc or not self._is_known(segment):
                return False
            name = self.name_of(segment.number)
            # Removing it first closes the file that the disk may hold open for appending.
            await self._disk.remove(name + INDEX_SUFFIX)
            await self._disk.remove(name)
            result = await self._disk.write_atomic(name, data)
            if isinstance(result, Failure):
                self._fail(result)
                return False
            segment.missing = False
            segment.index_stored = False
            await self._verify_segment(segment)
            return segment.ready

    # Reading.

    async def read(self, location: Location) -> Entry | Failure:
        """
        Read one entry.

        Parameters
        ----------
        location : Location
            From `append`.

        Returns
        -------
        Entry or Failure
            ``NOT_FOUND`` if retention dropped its segment; ``CORRUPT`` if the file is damaged,
            which also has the segment fetched again.
        """
        segment = self._segments.get(location.segment)
        if segment is None:
            return _failure(Reason.NOT_FOUND, f"segment {location.segment} was dropped")
        if location.offset >= segment.flushed:
            entry = decode_entry(segment.tail, location.offset - segment.flushed, segment.flushed)
            return entry or _failure(Reason.CORRUPT, f"no entry at {location}")
        name = self.name_of(location.segment)
        data = await self._disk.read(name, offset=location.offset, length=FIRST_READ_BYTES)
        if not isinstance(data, Failure) and len(data) >= HEADER_BYTES:
            length = entry_length(data)
            if len(data) < length <= segment.size - location.offset:
                data = await self._disk.read(name, offset=location.offset, length=length)
        entry = None if isinstance(data, Failure) else decode_entry(data, 0, location.offset)
        if entry is None:
            detail = f"{name} is damaged at byte {location.offset}"
            _log.error("%s", detail)
            segment.ready = False
            self._notify()
            return _failure(Reason.CORRUPT, detail)
        return entry

    async def read_entries(self, number: int, offset: int, end: int) -> list[Entry] | Failure:
        """
        Read the entries that follow an offset of a file.

        Parameters
        ----------
        number : int
            Number of the segment.
        offset, end : int
            Offset of an entry and of the end of the part to read.

        Returns
        -------
        list of Entry or Failure
            At least one entry, at most about 1 MB; ``CORRUPT`` if the first one is damaged.
        """
        name = self.name_of(number)
        length = min(READ_PIECE_BYTES, end - offset)
        data = await self._disk.read(name, offset=offset, length=length)
        if isinstance(data, Failure):
            return data
        entries = list(iterate_entries(data, offset))
        if not entries and HEADER_BYTES <= len(data) < entry_length(data) <= end - offset:
            data = await self._disk.read(name, offset=offset, length=entry_length(data))
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
            The part, in bytes.

        Returns
        -------
        bytes or Failure
            At most `length` bytes of the verified part of the file.
        """
        segment = self._segments.get(number)
        if segment is None or not segment.ready:
            return _failure(Reason.NOT_FOUND, f"segment {number} is not complete here")
        length = max(0, min(length, segment.flushed - offset))
        return await self._disk.read(self.name_of(number), offset=offset, length=length)

    def durable_size(self, number: int) -> int:
        """Return the number of durable bytes of a segment."""
        segment = self._segments.get(number)
        return segment.flushed if segment is not None else 0

    def numbers(self) -> list[int]:
        """Return the numbers of the segments, oldest first."""
        return sorted(self._segments)

    def find(self, field: Field, value: str) -> list[Location] | Failure:
        """
        Return where records with a value may be.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            The value; empty for all records.

        Returns
        -------
        list of Location or Failure
            Newest first; a failure while a segment is still being verified or fetched.
        """
        found: list[Location] = []
        for number in reversed(self.numbers()):
            segment = self._segments[number]
            if not segment.indexed:
                return _failure(Reason.OVERLOADED, f"segment {number} is being fetched", 1.0)
            index = segment.index
            offsets = index.find(field, value) if value else index.offsets()
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

"""State of one segment of a record group, in snapshots and on this host."""

from __future__ import annotations

import msgspec

from marigoldtrail.records.entries import RECORD, Entry
from marigoldtrail.records.index import Field, SegmentIndex


class SegmentState(msgspec.Struct, array_like=True, kw_only=True):
    """
    State of a segment in a snapshot.

    Parameters
    ----------
    number : int
        Number of the segment.
    size, crc : int
        Size in bytes and checksum of the whole segment.
    last_ms : int
        Wall time of the leader at the last append, in milliseconds.
    flushed, flushed_crc : int
        Size in bytes and checksum of the part that must be in the file.
    tail : bytes
        The bytes that follow the flushed part.
    """

    number: int
    size: int
    crc: int
    last_ms: int
    flushed: int
    flushed_crc: int
    tail: bytes


class IndexedFields(msgspec.Struct, gc=False):
    """
    The indexed fields of a record; decoding only these is faster than decoding the whole record.

    Parameters
    ----------
    request_id, result_digest, client_account, idempotency_key : str
        See `marigoldtrail.schema.generated.records.ResultRecord`.
    """

    request_id: str
    result_digest: str
    client_account: str
    idempotency_key: str = ""


_fields_decoder = msgspec.msgpack.Decoder(IndexedFields)


class Segment:
    """
    One segment on this host.

    Parameters
    ----------
    number : int
        Number of the segment.
    """

    __slots__ = (
        "number",
        "size",
        "crc",
        "last_ms",
        "is_sealed",
        "flushed",
        "flushed_crc",
        "tail",
        "is_verified",
        "is_missing",
        "has_read_error",
        "is_indexed",
        "index",
        "is_index_stored",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.size = 0
        self.crc = 0
        self.last_ms = 0
        self.is_sealed = False
        self.flushed = 0
        self.flushed_crc = 0
        self.tail = bytearray()
        # Whether the file was verified to contain exactly the first `flushed` bytes.
        self.is_verified = False
        # Whether the file was found to be incomplete or to differ from the expected content.
        self.is_missing = False
        # Whether the disk refused to read the file, whose content may therefore be right.
        self.has_read_error = False
        self.is_indexed = False
        self.index = SegmentIndex()
        self.is_index_stored = False

    def add_to_index(self, entry: Entry) -> None:
        """Index an entry if it is a record."""
        if entry.kind == RECORD:
            fields = _fields_decoder.decode(entry.payload)
            self.index.add(Field.REQUEST_ID, fields.request_id, entry.offset)
            self.index.add(Field.RESULT_DIGEST, fields.result_digest, entry.offset)
            self.index.add(Field.CLIENT_ACCOUNT, fields.client_account, entry.offset)
            self.index.add(Field.IDEMPOTENCY_KEY, fields.idempotency_key, entry.offset)

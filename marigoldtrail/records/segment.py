"""One segment of a record group: its state in snapshots and on this host."""

from __future__ import annotations

import msgspec

from marigoldtrail.records.entries import RECORD, Entry
from marigoldtrail.records.index import Field, SegmentIndex


class SegmentState(msgspec.Struct, array_like=True, kw_only=True):
    """
    A segment as a snapshot names it.

    Parameters
    ----------
    number : int
        Number of the segment.
    size, crc : int
        Size in bytes and checksum of the whole content.
    last_ms : int
        Wall time of the leader at the last append.
    flushed, flushed_crc : int
        Size and checksum of the part that the file must have.
    tail : bytes
        The rest of the content.
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
    The fields of a record that are indexed; decoding only these is faster.

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
        "sealed",
        "flushed",
        "flushed_crc",
        "tail",
        "ready",
        "missing",
        "indexed",
        "index",
        "index_stored",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.size = 0
        self.crc = 0
        self.last_ms = 0
        self.sealed = False
        self.flushed = 0
        self.flushed_crc = 0
        self.tail = bytearray()
        # Whether the file is known to hold the first `flushed` bytes and nothing else.
        self.ready = False
        # Whether the file was found to lack or contradict them.
        self.missing = False
        self.indexed = False
        self.index = SegmentIndex()
        self.index_stored = False

    def add_to_index(self, entry: Entry) -> None:
        """Index an entry if it is a record."""
        if entry.kind == RECORD:
            fields = _fields_decoder.decode(entry.payload)
            self.index.add(Field.REQUEST_ID, fields.request_id, entry.offset)
            self.index.add(Field.RESULT_DIGEST, fields.result_digest, entry.offset)
            self.index.add(Field.CLIENT_ACCOUNT, fields.client_account, entry.offset)
            self.index.add(Field.IDEMPOTENCY_KEY, fields.idempotency_key, entry.offset)

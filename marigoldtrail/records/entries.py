"""Checksummed entries of segment files."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from crc32c import crc32c

RECORD = 1
ANSWER = 2

# Length of the payload, crc32c of length, kind and payload, kind.
_HEADER = struct.Struct(">IIB")
_CHECKED = struct.Struct(">IB")
HEADER_BYTES = _HEADER.size


class Entry(NamedTuple):
    """
    One entry of a segment.

    Parameters
    ----------
    offset : int
        Its first byte in the segment.
    kind : int
        `RECORD` or `ANSWER`.
    payload : bytes
        Content.
    """

    offset: int
    kind: int
    payload: bytes

    @property
    def end(self) -> int:
        """Offset of the byte after the entry."""
        return self.offset + HEADER_BYTES + len(self.payload)


def encode_entry(kind: int, payload: bytes) -> bytes:
    """
    Encode an entry as it stands in a segment.

    Parameters
    ----------
    kind : int
        `RECORD` or `ANSWER`.
    payload : bytes
        Content.

    Returns
    -------
    bytes
        Header and payload.

    Examples
    --------
    >>> decode_entry(encode_entry(RECORD, b"abc"), 0)
    Entry(offset=0, kind=1, payload=b'abc')
    >>> decode_entry(encode_entry(RECORD, b"abc")[:-1], 0) is None
    True
    """
    crc = crc32c(payload, crc32c(_CHECKED.pack(len(payload), kind)))
    return _HEADER.pack(len(payload), crc, kind) + payload


def entry_length(header: bytes) -> int:
    """
    Return the length of an entry from its header.

    Parameters
    ----------
    header : bytes
        At least `HEADER_BYTES` bytes.

    Returns
    -------
    int
        Bytes of the header and the payload, as the header states it.
    """
    length: int = _HEADER.unpack_from(header)[0]
    return HEADER_BYTES + length


def decode_entry(data: bytes | bytearray, start: int, base: int = 0) -> Entry | None:
    """
    Decode the entry at a position.

    Parameters
    ----------
    data : bytes
        Part of a segment.
    start : int
        Position of the entry in `data`.
    base : int
        Offset of `data` in the segment.

    Returns
    -------
    Entry or None
        None if the entry is cut off or its checksum is wrong.
    """
    if start + HEADER_BYTES > len(data):
        return None
    length, crc, kind = _HEADER.unpack_from(data, start)
    first = start + HEADER_BYTES
    payload = bytes(data[first : first + length])
    if len(payload) < length:
        return None
    if crc32c(payload, crc32c(_CHECKED.pack(length, kind))) != crc:
        return None
    return Entry(base + start, kind, payload)


def iterate_entries(data: bytes | bytearray, base: int = 0) -> Iterator[Entry]:
    """
    Iterate over the valid entries at the start of a part of a segment.

    Parameters
    ----------
    data : bytes
        Begins at an entry.
    base : int
        Offset of `data` in the segment.

    Yields
    ------
    Entry
        Up to the first entry that is cut off or damaged.
    """
    start = 0
    while (entry := decode_entry(data, start, base)) is not None:
        yield entry
        start = entry.end - base

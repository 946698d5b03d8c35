"""Checksummed entries of segment files."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from crc32c import crc32c

RECORD = 1
ANSWER = 2

# Payload length; crc32c over length, kind and payload; kind.
_HEADER = struct.Struct(">IIB")
_CHECKED_HEADER = struct.Struct(">IB")
HEADER_BYTES = _HEADER.size


class Entry(NamedTuple):
    """
    One entry of a segment.

    Parameters
    ----------
    offset : int
        Byte offset of the entry in the segment.
    kind : int
        `RECORD` or `ANSWER`.
    payload : bytes
        Content of the entry.
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
    Encode an entry for a segment file.

    Parameters
    ----------
    kind : int
        `RECORD` or `ANSWER`.
    payload : bytes
        Content of the entry.

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
    crc = crc32c(payload, crc32c(_CHECKED_HEADER.pack(len(payload), kind)))
    return _HEADER.pack(len(payload), crc, kind) + payload


def get_entry_length(header: bytes) -> int:
    """
    Return the length of an entry from its header.

    Parameters
    ----------
    header : bytes
        At least `HEADER_BYTES` bytes.

    Returns
    -------
    int
        Length of header and payload in bytes, as stated in the header.
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
        None if the entry is truncated or its checksum does not match.
    """
    if start + HEADER_BYTES > len(data):
        return None
    length, crc, kind = _HEADER.unpack_from(data, start)
    first = start + HEADER_BYTES
    payload = bytes(data[first : first + length])
    if len(payload) < length:
        return None
    if crc32c(payload, crc32c(_CHECKED_HEADER.pack(length, kind))) != crc:
        return None
    return Entry(base + start, kind, payload)


def iterate_entries(data: bytes | bytearray, base: int = 0) -> Iterator[Entry]:
    """
    Iterate over the leading valid entries in part of a segment.

    Parameters
    ----------
    data : bytes
        Part of a segment that starts at an entry boundary.
    base : int
        Offset of `data` in the segment.

    Yields
    ------
    Entry
        Each entry before the first one that is truncated or corrupt.
    """
    start = 0
    while (entry := decode_entry(data, start, base)) is not None:
        yield entry
        start = entry.end - base

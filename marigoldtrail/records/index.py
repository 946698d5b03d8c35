"""Index of one segment: offsets by the hashes of four fields of its records.

Only 64-bit hashes are kept, so that a sealed index takes 12 bytes for each field of a record. Two
values may share a hash; whoever looks up checks the record that was read.
"""

from __future__ import annotations

import enum
from array import array
from bisect import bisect_left

import xxhash
from crc32c import crc32c

_CRC_BYTES = 4
_COUNT_BYTES = 4


class Field(enum.IntEnum):
    """Indexed field of a record."""

    REQUEST_ID = 0
    RESULT_DIGEST = 1
    CLIENT_ACCOUNT = 2
    IDEMPOTENCY_KEY = 3


def hash_value(value: str) -> int:
    """
    Return the hash under which a value is indexed.

    Parameters
    ----------
    value : str
        Value of the field.

    Returns
    -------
    int
        64-bit hash.
    """
    return xxhash.xxh64_intdigest(value.encode())


class SegmentIndex:
    """
    Offsets of the records of one segment, open for additions until sealed.

    Examples
    --------
    >>> index = SegmentIndex()
    >>> index.add(Field.REQUEST_ID, "00ab", 17)
    >>> index.seal()
    >>> index.find(Field.REQUEST_ID, "00ab"), index.find(Field.REQUEST_ID, "00ac")
    ([17], [])
    """

    __slots__ = ("_open", "_hashes", "_offsets")

    def __init__(self) -> None:
        # A single offset stands without a list: most values belong to one record.
        self._open: list[dict[int, int | list[int]]] | None = [{} for _ in Field]
        self._hashes: list[array[int]] = []
        self._offsets: list[array[int]] = []

    def add(self, field: Field, value: str, offset: int) -> None:
        """
        Add a record.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            Its value; an empty one is not indexed.
        offset : int
            Offset of the record.
        """
        if not value or self._open is None:
            return
        by_hash, key = self._open[field], hash_value(value)
        found = by_hash.setdefault(key, offset)
        if isinstance(found, list):
            found.append(offset)
        elif found != offset:
            by_hash[key] = [found, offset]

    def find(self, field: Field, value: str) -> list[int]:
        """
        Return the offsets of records that may have a value.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            The value.

        Returns
        -------
        list of int
            Ascending offsets; a record with another value of the same hash may be among them.
        """
        wanted = hash_value(value)
        if self._open is not None:
            return _as_list(self._open[field].get(wanted))
        hashes = self._hashes[field]
        first = last = bisect_left(hashes, wanted)
        while last < len(hashes) and hashes[last] == wanted:
            last += 1
        return list(self._offsets[field][first:last])

    def offsets(self) -> list[int]:
        """
        Return the offsets of all records.

        Returns
        -------
        list of int
            Ascending.
        """
        if self._open is not None:
            by_request = self._open[Field.REQUEST_ID]
            return sorted(offset for found in by_request.values() for offset in _as_list(found))
        return sorted(self._offsets[Field.REQUEST_ID])

    def seal(self) -> None:
        """Convert to sorted arrays; nothing can be added after it."""
        if self._open is None:
            return
        for by_hash in self._open:
            pairs = sorted(
                (key, offset) for key, found in by_hash.items() for offset in _as_list(found)
            )
            self._hashes.append(array("Q", [key for key, _ in pairs]))
            self._offsets.append(array("I", [offset for _, offset in pairs]))
        self._open = None

    def encode(self) -> bytes:
        """
        Encode a sealed index for its file.

        Returns
        -------
        bytes
            Checksum, counts and arrays, in the byte order of this host.
        """
        parts = []
        for hashes, offsets in zip(self._hashes, self._offsets, strict=True):
            parts.append(len(hashes).to_bytes(_COUNT_BYTES, "big"))
            parts.append(hashes.tobytes())
            parts.append(offsets.tobytes())
        body = b"".join(parts)
        return crc32c(body).to_bytes(_CRC_BYTES, "big") + body

    @classmethod
    def decode(cls, data: bytes) -> SegmentIndex | None:
        """
        Decode a sealed index.

        Parameters
        ----------
        data : bytes
            Content of its file.

        Returns
        -------
        SegmentIndex or None
            None if the file is damaged; the index is then built from the segment.
        """
        body = memoryview(data)[_CRC_BYTES:]
        if len(data) < _CRC_BYTES or crc32c(body).to_bytes(_CRC_BYTES, "big") != data[:_CRC_BYTES]:
            return None
        index = cls()
        index._open = None
        for _ in Field:
            count = int.from_bytes(body[:_COUNT_BYTES], "big")
            body = body[_COUNT_BYTES:]
            hashes: array[int] = array("Q")
            offsets: array[int] = array("I")
            hashes.frombytes(body[: count * hashes.itemsize])
            body = body[count * hashes.itemsize :]
            offsets.frombytes(body[: count * offsets.itemsize])
            body = body[count * offsets.itemsize :]
            index._hashes.append(hashes)
            index._offsets.append(offsets)
        return index


def _as_list(found: int | list[int] | None) -> list[int]:
    if found is None:
        return []
    return sorted(found) if isinstance(found, list) else [found]

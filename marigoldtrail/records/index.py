"""Index of one segment, which maps hashes of four record fields to record offsets.

Only 64-bit hashes are stored, so that a sealed index takes 12 bytes for each field of a record.
Hashes may collide; callers must compare the field of the record that they read.
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
    Record offsets of one segment; records can be added until the index is sealed.

    Examples
    --------
    >>> index = SegmentIndex()
    >>> index.add(Field.REQUEST_ID, "00ab", 17)
    >>> index.seal()
    >>> index.find(Field.REQUEST_ID, "00ab"), index.find(Field.REQUEST_ID, "00ac")
    ([17], [])
    """

    __slots__ = ("_unsealed", "_hashes", "_offsets")

    def __init__(self) -> None:
        # A single offset is stored without a list, because most values belong to one record.
        self._unsealed: list[dict[int, int | list[int]]] | None = [{} for _ in Field]
        self._hashes: list[array[int]] = []
        self._offsets: list[array[int]] = []

    def add(self, field: Field, value: str, offset: int) -> None:
        """
        Index one field of a record.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            Value of the field; an empty value is not indexed.
        offset : int
            Offset of the record.
        """
        if not value or self._unsealed is None:
            return
        by_hash, key = self._unsealed[field], hash_value(value)
        found = by_hash.setdefault(key, offset)
        if isinstance(found, list):
            found.append(offset)
        elif found != offset:
            by_hash[key] = [found, offset]

    def find(self, field: Field, value: str) -> list[int]:
        """
        Return the offsets of records whose field may have a value.

        Parameters
        ----------
        field : Field
            The field.
        value : str
            The value.

        Returns
        -------
        list of int
            Ascending offsets; may include records whose value has the same hash.
        """
        target_hash = hash_value(value)
        if self._unsealed is not None:
            return _to_sorted_list(self._unsealed[field].get(target_hash))
        hashes = self._hashes[field]
        first = last = bisect_left(hashes, target_hash)
        while last < len(hashes) and hashes[last] == target_hash:
            last += 1
        return list(self._offsets[field][first:last])

    def list_offsets(self) -> list[int]:
        """
        Return the offsets of all records.

        Returns
        -------
        list of int
            Ascending offsets.
        """
        if self._unsealed is not None:
            by_request = self._unsealed[Field.REQUEST_ID]
            return sorted(
                offset for found in by_request.values() for offset in _to_sorted_list(found)
            )
        return sorted(self._offsets[Field.REQUEST_ID])

    def seal(self) -> None:
        """Convert to sorted arrays; later calls of `add` have no effect."""
        if self._unsealed is None:
            return
        for by_hash in self._unsealed:
            pairs = sorted(
                (key, offset) for key, found in by_hash.items() for offset in _to_sorted_list(found)
            )
            self._hashes.append(array("Q", [key for key, _ in pairs]))
            self._offsets.append(array("I", [offset for _, offset in pairs]))
        self._unsealed = None

    def encode(self) -> bytes:
        """
        Encode a sealed index for its file.

        Returns
        -------
        bytes
            Checksum, counts and arrays; the arrays have the native byte order.
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
            Content of the index file.

        Returns
        -------
        SegmentIndex or None
            None if the file is corrupt; the index is then rebuilt from the segment.
        """
        body = memoryview(data)[_CRC_BYTES:]
        if len(data) < _CRC_BYTES or crc32c(body).to_bytes(_CRC_BYTES, "big") != data[:_CRC_BYTES]:
            return None
        index = cls()
        index._unsealed = None
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


def _to_sorted_list(found: int | list[int] | None) -> list[int]:
    if found is None:
        return []
    return sorted(found) if isinstance(found, list) else [found]

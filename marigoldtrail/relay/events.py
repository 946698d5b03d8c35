"""Cuts a stream of events at their ends, so that only whole events are passed on."""

from __future__ import annotations

import re

# Longer events are no answer of an engine.
MAX_EVENT_BYTES = 256 * 1024

_END = re.compile(rb"\r?\n\r?\n")
# Bytes of an end that may have arrived without its last one.
_END_BEGUN = 3
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventCutter:
    """
    Collects the bytes of a stream and gives out whole events.

    Attributes
    ----------
    last_id : str
        Id of the last event that was given out.
    count : int
        Events given out.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.push(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> cutter.last_id
    '1'
    """

    __slots__ = ("last_id", "count", "_rest")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._rest = bytearray()

    def push(self, data: bytes) -> bytes:
        """
        Take bytes of the stream.

        Parameters
        ----------
        data : bytes
            What has arrived.

        Returns
        -------
        bytes
            All events that are complete now.
        """
        start = max(0, len(self._rest) - _END_BEGUN)
        self._rest += data
        ends = [match.end() for match in _END.finditer(self._rest, start)]
        if not ends:
            return b""
        whole = bytes(self._rest[: ends[-1]])
        del self._rest[: ends[-1]]
        self.count += len(ends)
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    @property
    def is_too_long(self) -> bool:
        """Whether the event that has begun can't be one of an engine."""
        return len(self._rest) > MAX_EVENT_BYTES

    def drop_rest(self) -> bytes:
        """Forget the begin of an event that will not be completed, and return it."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

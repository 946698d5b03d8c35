"""Split a stream of server-sent events, so that only complete events are forwarded."""

from __future__ import annotations

import re

# Engines send no longer events.
MAX_EVENT_BYTES = 256 * 1024

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Length in bytes of the longest incomplete event end (``\r\n\r``).
_MAX_PARTIAL_END_BYTES = 3
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """
    Buffers the bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : str
        Id of the last returned event that had an id.
    count : int
        Number of returned events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id
    '1'
    """

    __slots__ = ("last_id", "count", "_partial")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """
        Add bytes of the stream.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Returns
        -------
        bytes
            All events that are now complete; empty if there are none.
        """
        start = max(0, len(self._partial) - _MAX_PARTIAL_END_BYTES)
        self._partial += data
        ends = [match.end() for match in _EVENT_END.finditer(self._partial, start)]
        if not ends:
            return b""
        complete = bytes(self._partial[: ends[-1]])
        del self._partial[: ends[-1]]
        self.count += len(ends)
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._partial) > MAX_EVENT_BYTES

    def discard_partial(self) -> bytes:
        """Discard the bytes of the incomplete event and return them."""
        rest = bytes(self._partial)
        self._partial.clear()
        return rest

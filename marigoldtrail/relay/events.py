"""Split a stream of server-sent events, so that only complete events are forwarded."""

from __future__ import annotations

import re

# Engines send no longer events.
MAX_EVENT_BYTES = 256 * 1024

# A blank line, and all line ends and comments after it that form blocks without an event. They are
# matched together: a match for each costs a faulty upstream little and the processor much.
_EVENT_END = re.compile(rb"(\r?\n\r?\n)(?:\r?\n\r?\n|(?:\r?\n)?+(?::[^\r\n]*+\r?\n)++\r?\n)*+")
# Length in bytes of the longest incomplete event end (``\r\n\r``).
_MAX_PARTIAL_END_BYTES = 3
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """
    Buffers the bytes of a stream and returns complete events.

    Blank lines and comments are no events; they are returned with the event that follows them.

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

    __slots__ = ("last_id", "count", "_partial", "_block_start")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._partial = bytearray()
        # Index after the last blank line among the buffered bytes.
        self._block_start = 0

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
        start = max(self._block_start, len(self._partial) - _MAX_PARTIAL_END_BYTES)
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial, start):
            if is_event(bytes(self._partial[self._block_start : match.end(1)])):
                end = match.end(1)
                self.count += 1
            self._block_start = match.end()
        if not end:
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._block_start -= end
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    @property
    def held_bytes(self) -> int:
        """Number of bytes after the last returned event."""
        return len(self._partial)

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def is_within_event(self) -> bool:
        """Whether the bytes end within an event, and not after an event or a comment."""
        return bool(self._partial[self._block_start :].strip())

    def discard_partial(self) -> bytes:
        """Discard the bytes after the last returned event and return them."""
        rest = bytes(self._partial)
        self._partial.clear()
        self._block_start = 0
        return rest


def is_event(block: bytes) -> bool:
    """
    Return whether bytes that end with a blank line are an event.

    Parameters
    ----------
    block : bytes
        Lines up to a blank line.

    Returns
    -------
    bool
        False for blank lines and comments only.

    Examples
    --------
    >>> is_event(b": wait\\ndata: a\\n\\n"), is_event(b": wait\\n\\n")
    (True, False)
    """
    return any(line and not line.startswith(b":") for line in block.splitlines())

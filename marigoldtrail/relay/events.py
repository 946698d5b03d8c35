"""Cuts a stream of events at their ends, so that only whole events are passed on."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
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
        self._rest = b""

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
        pending = self._rest + data
        ends = [match.end() for match in _END.finditer(pending)]
        if not ends:
            self._rest = pending
            return b""
        whole, self._rest = pending[: ends[-1]], pending[ends[-1] :]
        self.count += len(ends)
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    def drop_rest(self) -> bytes:
        """Forget the begin of an event that will not be completed, and return it."""
        rest, self._rest = self._rest, b""
        return rest

"""JSON log lines on standard output that never block and are bounded under load."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

MAX_LINES_PER_S = 400
# Lines about failures have an allowance of their own.
MAX_WARNINGS_PER_S = 200
MAX_BUFFERED_LINES = 2000

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class LineHandler(logging.Handler):
    """
    Writes lines to a descriptor without waiting for its reader.

    Lines over the limit of a second, and those for which the buffer has no room, are counted and
    reported with the next line that is written.

    Parameters
    ----------
    fd : int
        The descriptor; it is set to non-blocking.
    """

    __slots__ = (
        "_fd",
        "_buffer",
        "_dropped",
        "_reported",
        "_second",
        "_written",
        "_warned",
    )

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self._dropped = 0
        self._reported = 0
        self._second = 0.0
        self._written = 0
        self._warned = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the start."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        if not self._admit(record):
            self._dropped += 1
            return
        if self._dropped > self._reported:
            record.dropped_lines = self._dropped - self._reported
            self._reported = self._dropped
        self._buffer.append(self.format(record).encode() + b"\n")
        self._flush_buffer()
        while len(self._buffer) > MAX_BUFFERED_LINES:
            # The first one may have left in part.
            del self._buffer[1]
            self._dropped += 1

    def _admit(self, record: logging.LogRecord) -> bool:
        second = time.monotonic() // 1
        if second != self._second:
            self._second, self._written, self._warned = second, 0, 0
        if record.levelno >= logging.WARNING:
            self._warned += 1
            return self._warned <= MAX_WARNINGS_PER_S
        self._written += 1
        return self._written <= MAX_LINES_PER_S

    def _flush_buffer(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to report it.
                self._dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def dropped_lines() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(handler.dropped for handler in handlers if isinstance(handler, LineHandler))


class _HostFilter(logging.Filter):
    def __init__(self, *, host: str) -> None:
        super().__init__()
        self._host = host

    def filter(self, record: logging.LogRecord) -> bool:
        record.host = self._host
        return True


def configure_lines(*, host: str, level: str = "INFO", fd: int | None = None) -> None:
    """
    Send all log lines of the process as JSON to standard output.

    Parameters
    ----------
    host : str
        Name of this host, added to each line.
    level : str
        Least level.
    fd : int or None
        Where the lines go; None for standard output.
    """
    handler = LineHandler(fd=sys.stdout.fileno() if fd is None else fd)
    handler.setFormatter(JsonFormatter(_FIELDS, rename_fields={"levelname": "level"}))
    handler.addFilter(_HostFilter(host=host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)

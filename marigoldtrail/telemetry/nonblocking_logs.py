"""JSON logging to standard output that never blocks and limits its rate under load."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

MAX_LINES_PER_S = 400
# Warnings and errors have a limit of their own.
MAX_WARNINGS_PER_S = 200
MAX_BUFFERED_LINES = 2000

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class NonBlockingHandler(logging.Handler):
    """
    Writes log lines to a file descriptor without waiting for its reader.

    Lines that exceed the limit per second or the buffer are dropped; their number is reported with
    the next line that is written.

    Parameters
    ----------
    fd : int
        File descriptor; it is set to non-blocking mode.
    """

    __slots__ = (
        "_fd",
        "_buffer",
        "_dropped",
        "_reported_drops",
        "_current_second",
        "_info_count",
        "_warning_count",
    )

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self._dropped = 0
        self._reported_drops = 0
        self._current_second = 0.0
        self._info_count = 0
        self._warning_count = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the handler was created."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log line, or count it as dropped."""
        if not self._admit(record):
            self._dropped += 1
            return
        if self._dropped > self._reported_drops:
            record.dropped_lines = self._dropped - self._reported_drops
            self._reported_drops = self._dropped
        self._buffer.append(self.format(record).encode() + b"\n")
        self._flush_buffer()
        while len(self._buffer) > MAX_BUFFERED_LINES:
            # The first line may have been written in part, so that it is kept.
            del self._buffer[1]
            self._dropped += 1

    def _admit(self, record: logging.LogRecord) -> bool:
        second = time.monotonic() // 1
        if second != self._current_second:
            self._current_second, self._info_count, self._warning_count = second, 0, 0
        if record.levelno >= logging.WARNING:
            self._warning_count += 1
            return self._warning_count <= MAX_WARNINGS_PER_S
        self._info_count += 1
        return self._info_count <= MAX_LINES_PER_S

    def _flush_buffer(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed its end, so that the error cannot be reported.
                self._dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def count_dropped_lines() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(handler.dropped for handler in handlers if isinstance(handler, NonBlockingHandler))


class _HostFilter(logging.Filter):
    def __init__(self, *, host: str) -> None:
        super().__init__()
        self._host = host

    def filter(self, record: logging.LogRecord) -> bool:
        record.host = self._host
        return True


def configure_nonblocking_logging(*, host: str, level: str = "INFO", fd: int | None = None) -> None:
    """
    Send all log lines of the process as JSON to standard output.

    Parameters
    ----------
    host : str
        Name of this host, added to each line.
    level : str
        Minimum level.
    fd : int or None
        File descriptor to write to; None for standard output.
    """
    handler = NonBlockingHandler(fd=sys.stdout.fileno() if fd is None else fd)
    handler.setFormatter(JsonFormatter(_FIELDS, rename_fields={"levelname": "level"}))
    handler.addFilter(_HostFilter(host=host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)

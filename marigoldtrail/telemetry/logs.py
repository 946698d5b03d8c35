"""JSON logging that adds the id of the current request to each line."""

from __future__ import annotations

import contextvars
import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

request_id_var: contextvars.ContextVar[str] = contextvars.ContextVar("request_id", default="")

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class _RequestIdFilter(logging.Filter):
    def __init__(self, *, host: str) -> None:
        super().__init__()
        self._host = host

    def filter(self, record: logging.LogRecord) -> bool:
        record.host = self._host
        if request_id := request_id_var.get():
            record.request_id = request_id
        return True


def configure_logging(level: str, *, host: str, stream: TextIO = sys.stderr) -> None:
    """
    Send all log lines of the process as JSON to a stream.

    Parameters
    ----------
    level : str
        Minimum level: ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    host : str
        Name of this host, added to each line.
    stream : file object
        Stream to write to.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(_FIELDS, rename_fields={"levelname": "level"}))
    handler.addFilter(_RequestIdFilter(host=host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Hypercorn and httpcore log each request at info or debug; spans already record requests.
    for name in ("hypercorn.access", "httpcore", "hpack"):
        logging.getLogger(name).setLevel(logging.WARNING)

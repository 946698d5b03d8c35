"""Finds the log lines that tell what became of a request, in the files of all hosts."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

import msgspec

# What happened to the upstreams and hosts of a request this long before it may have caused its end.
BEFORE = timedelta(seconds=10)
AFTER = timedelta(seconds=2)
# Changes of what a host believes that concern all of its requests.
HOST_EVENTS = frozenset(
    {"start", "stop", "reload", "configuration in force", "leader lost", "leader found again"}
)

EJECTED = "upstream ejected"
UPSTREAM_EVENTS = frozenset({EJECTED, "upstream gone", "upstream listed"})


class LogEvent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One log line.

    Parameters
    ----------
    at : datetime
        When it was written, by the clock of its host.
    host, message : str
        Who wrote it, and what happened.
    fields : dict
        Everything else, with the inputs of a decision.
    """

    at: datetime
    host: str
    message: str
    fields: dict[str, Any]

    def concerns(self, request_id: str) -> bool:
        """Tell whether the line is about a request, alone or among others."""
        return request_id == self.fields.get("request_id") or request_id in self.fields.get(
            "requests", ()
        )

    def names(self) -> set[str]:
        """Return the upstreams that the line names."""
        found = {self.fields.get("upstream"), self.fields.get("subject")}
        return {name for name in found if isinstance(name, str) and name}


def parse_lines(data: bytes) -> tuple[list[LogEvent], int]:
    """
    Read the lines of a file.

    Parameters
    ----------
    data : bytes
        JSON lines; anything before the first brace of a line is skipped.

    Returns
    -------
    tuple of (list of LogEvent, int)
        The events, and the number of lines that can't be read.

    Examples
    --------
    >>> line = b'{"asctime": "2026-01-08 23:27:23,613", "host": "h", "message": "start"}'
    >>> [event.message for event in parse_lines(line)[0]]
    ['start']
    """
    events = []
    unread = 0
    for line in data.splitlines():
        if not line.strip():
            continue
        event = _parse_line(line[max(0, line.find(b"{")) :])
        if event is None:
            unread += 1
        else:
            events.append(event)
    return events, unread


def _parse_line(line: bytes) -> LogEvent | None:
    try:
        fields = msgspec.json.decode(line, type=dict[str, Any])
        at = datetime.strptime(fields.pop("asctime"), "%Y-%m-%d %H:%M:%S,%f")
        host, message = str(fields.pop("host", "")), str(fields.pop("message"))
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None
    for name in ("level", "name"):
        fields.pop(name, None)
    return LogEvent(at=at, host=host, message=message, fields=fields)


def explain_request(events: Iterable[LogEvent], request_id: str) -> list[LogEvent]:
    """
    Select what tells why a request ended as it did.

    Parameters
    ----------
    events : iterable of LogEvent
        Lines of all hosts.
    request_id : str
        The request.

    Returns
    -------
    list of LogEvent
        Lines about the request, and changes of its upstreams and hosts around it, in the order of
        time; empty if no line names it.
    """
    known = sorted(events, key=lambda event: event.at)
    own = [event for event in known if event.concerns(request_id)]
    if not own:
        return []
    upstreams = {name for event in own for name in event.names()}
    hosts = {event.host for event in own}
    first, last = own[0].at - BEFORE, own[-1].at + AFTER

    def is_cause(event: LogEvent) -> bool:
        if not first <= event.at <= last or "request_id" in event.fields:
            return False
        if event.message in UPSTREAM_EVENTS:
            # What all hosts see of the platform's list is told once by those of the request.
            is_told = event.host in hosts or event.message == EJECTED
            return is_told and bool(upstreams & event.names())
        return event.host in hosts and event.message in HOST_EVENTS

    return [event for event in known if event.concerns(request_id) or is_cause(event)]

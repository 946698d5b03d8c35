"""Selection of the log lines, from files of all hosts, that explain the outcome of a request."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

import msgspec

# Events of the upstreams and hosts of a request may have caused its outcome if they occurred from
# this long before its first log line until this long after its last one.
MARGIN_BEFORE = timedelta(seconds=10)
MARGIN_AFTER = timedelta(seconds=2)
# Events of a host that affect all of its requests.
HOST_EVENT_MESSAGES = frozenset(
    {"start", "stop", "reload", "configuration in force", "leader lost", "leader found again"}
)

EJECTION_MESSAGE = "upstream ejected"
# Decisions of the leader on a request or a part of prompts; each holds until it is changed.
PROMPT_EVENT_MESSAGES = frozenset(
    template.format(kind)
    for template in ("{} quarantined", "trial of a {}", "quarantine of a {} lifted")
    for kind in ("request", "prompt part")
)
UPSTREAM_EVENT_MESSAGES = frozenset({EJECTION_MESSAGE, "upstream gone", "upstream listed"})


class LogEvent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One parsed log line.

    Parameters
    ----------
    at : datetime
        Time of the line by the clock of its host.
    host, message : str
        Host that wrote the line, and its message.
    fields : dict
        All other fields, including the inputs of a decision.
    """

    at: datetime
    host: str
    message: str
    fields: dict[str, Any]

    def is_about(self, request_id: str) -> bool:
        """Return whether the line is about a request, alone or among others."""
        return request_id == self.fields.get("request_id") or request_id in self.fields.get(
            "requests", ()
        )

    def upstream_names(self) -> set[str]:
        """Return the names of upstreams in the line."""
        found = {self.fields.get("upstream"), self.fields.get("subject")}
        return {name for name in found if isinstance(name, str) and name}


def parse_lines(data: bytes) -> tuple[list[LogEvent], int]:
    """
    Parse the log lines of a file.

    Parameters
    ----------
    data : bytes
        JSON lines; anything before the first brace of a line is skipped.

    Returns
    -------
    tuple of (list of LogEvent, int)
        The parsed lines, and the number of unreadable lines.

    Examples
    --------
    >>> line = b'{"asctime": "2026-01-08 23:27:23,613", "host": "h", "message": "start"}'
    >>> [event.message for event in parse_lines(line)[0]]
    ['start']
    """
    events = []
    unreadable = 0
    for line in data.splitlines():
        if not line.strip():
            continue
        event = _parse_line(line[max(0, line.find(b"{")) :])
        if event is None:
            unreadable += 1
        else:
            events.append(event)
    return events, unreadable


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
    Select the log lines that explain the outcome of a request.

    Parameters
    ----------
    events : iterable of LogEvent
        Log lines of all hosts.
    request_id : str
        Id of the request.

    Returns
    -------
    list of LogEvent
        Lines about the request, events of its upstreams and hosts around that time, and earlier
        decisions on parts of its prompt, in order of time; empty if no line names the request.
    """
    ordered_events = sorted(events, key=lambda event: event.at)
    request_events = [event for event in ordered_events if event.is_about(request_id)]
    if not request_events:
        return []
    upstreams = {name for event in request_events for name in event.upstream_names()}
    hosts = {event.host for event in request_events}
    first, last = request_events[0].at - MARGIN_BEFORE, request_events[-1].at + MARGIN_AFTER

    def is_cause(event: LogEvent) -> bool:
        if event.message in PROMPT_EVENT_MESSAGES:
            return event.at <= last and event.fields.get("subject") in upstreams
        if not first <= event.at <= last or "request_id" in event.fields:
            return False
        if event.message in UPSTREAM_EVENT_MESSAGES:
            # All hosts log changes of the platform's list; lines of the request's hosts suffice.
            is_selected = event.host in hosts or event.message == EJECTION_MESSAGE
            return is_selected and bool(upstreams & event.upstream_names())
        return event.host in hosts and event.message in HOST_EVENT_MESSAGES

    return [event for event in ordered_events if event.is_about(request_id) or is_cause(event)]

"""Tests of the selection of log lines that explain the outcome of a request."""

import json

from marigoldtrail.telemetry.history import explain_request, parse_lines


def line(seconds, host, message, **fields):
    at = f"2026-01-08 23:27:{seconds:02d},500"
    return json.dumps({"asctime": at, "host": host, "message": message, **fields})


LINES = "\n".join(
    [
        line(1, "entry-1", "configuration in force", version=7),
        line(20, "entry-1", "configuration in force", version=8),
        line(21, "control-1", "pieces done", requests={"r1": 2, "r2": 1}, subject="board-1"),
        line(21, "entry-2", "configuration in force", version=8),
        line(23, "entry-1", "request ended", request_id="r1", upstream="llm-1", outcome="served"),
        line(22, "entry-2", "upstream ejected", subject="llm-1"),
        line(22, "entry-2", "upstream ejected", subject="llm-9"),
        line(22, "entry-1", "request ended", request_id="r2", upstream="llm-1"),
    ]
)


def test_lines_of_a_request_and_its_causes_are_found():
    """Guards against an explanation that omits the cause or includes unrelated lines."""
    events, unreadable = parse_lines(LINES.encode())
    found = [(e.host, e.message) for e in explain_request(events, "r1")]
    assert unreadable == 0
    assert found == [
        ("entry-1", "configuration in force"),
        ("control-1", "pieces done"),
        ("entry-2", "upstream ejected"),
        ("entry-1", "request ended"),
    ]
    assert explain_request(events, "r3") == []


def test_unreadable_lines_are_counted():
    """Guards against a truncated line that makes all others unreadable."""
    data = b'{"torn\n' + LINES.encode() + b'\nplain text\n{"message": "no time"}\n12.5 core-1 '
    data += line(30, "core-1", "start").encode()
    events, unreadable = parse_lines(data)
    assert unreadable == 3
    assert len(events) == 9 and events[-1].host == "core-1"


def test_earlier_decisions_on_a_part_of_the_prompt_are_found():
    """Guards against a refusal whose quarantine was decided on another host, long before."""
    lines = [
        line(1, "control-1", "prompt part quarantined", subject="p1", crashes=2),
        line(2, "control-1", "prompt part quarantined", subject="p2", crashes=2),
        line(50, "entry-1", "prompt is quarantined", request_id="r1", subject="p1"),
        line(50, "entry-1", "request ended", request_id="r1", outcome="quarantined"),
        line(55, "control-1", "quarantine of a prompt part lifted", subject="p1"),
    ]
    events, _ = parse_lines("\n".join(lines).encode())
    assert [(e.host, e.message) for e in explain_request(events, "r1")] == [
        ("control-1", "prompt part quarantined"),
        ("entry-1", "prompt is quarantined"),
        ("entry-1", "request ended"),
    ]

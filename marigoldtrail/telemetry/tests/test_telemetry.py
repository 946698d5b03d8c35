"""Spans in the file, log lines and decisions."""

import io
import json
import logging

from marigoldtrail.telemetry import (
    Telemetry,
    build_tracer_provider,
    configure_logging,
    request_id_var,
)
from marigoldtrail.timers import Timers


def test_spans_are_written_with_their_parents(tmp_path):
    path = tmp_path / "spans.jsonl"
    provider = build_tracer_provider(host="a", trace_file=str(path))
    telemetry = Telemetry(host="a", timers=Timers(), provider=provider)
    with telemetry.span("request"), telemetry.span("stage", stage="rerank"):
        pass
    telemetry.shutdown()
    stage, request = [json.loads(line) for line in path.read_text().splitlines()]
    assert stage["parent_id"] == request["span_id"]
    assert stage["attributes"] == {"stage": "rerank"}
    assert request["host"] == "a"


def test_log_lines_are_json_with_the_request_id():
    stream = io.StringIO()
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    token = request_id_var.set("00ab")
    try:
        configure_logging("info", host="a", stream=stream)
        logging.getLogger("test").info("slot %d", 7)
    finally:
        request_id_var.reset(token)
        root.handlers[:], root.level = handlers, level
    line = json.loads(stream.getvalue())
    assert (line["message"], line["request_id"], line["host"]) == ("slot 7", "00ab", "a")


def test_decisions_are_bounded_and_found_by_subject():
    telemetry = Telemetry(host="a", timers=Timers())
    for index in range(3000):
        telemetry.decisions.add("eject", f"engine-{index}", "timeouts", count=index)
    assert telemetry.decisions.find(subject="engine-0") == []
    (found,) = telemetry.decisions.find(subject="engine-2999")
    assert found.inputs == {"count": "2999"}

"""Tests of the span file, log lines and decisions."""

import io
import json
import logging
import socket

import trio

from marigoldtrail.telemetry import (
    Telemetry,
    build_tracer_provider,
    configure_logging,
    follow_decisions,
    publish_decisions,
    request_id_var,
)
from marigoldtrail.timers import Timers


def test_spans_are_written_with_their_parents(tmp_path):
    """Guards against spans that are written without parent, attributes or host."""
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
    """Guards against log lines that cannot be assigned to their request or host."""
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
    """Guards against a decision log that grows without bound or drops the newest entries."""
    telemetry = Telemetry(host="a", timers=Timers())
    for index in range(3000):
        telemetry.decisions.add("eject", f"engine-{index}", "timeouts", count=index)
    assert telemetry.decisions.find(subject="engine-0") == []
    (found,) = telemetry.decisions.find(subject="engine-2999")
    assert found.inputs == {"count": "2999"}


async def test_feed_publishes_decisions(nursery):
    """Guards against a feed that loses events for a subscriber that reads fast enough."""
    telemetry = Telemetry(host="a", timers=Timers())
    address = f"127.0.0.1:{free_port()}"
    await nursery.start(publish_decisions, telemetry.decisions, address)
    received = []

    async def follow() -> None:
        async for decision in follow_decisions(address):
            received.append(decision.subject)
            if decision.subject == "last":
                nursery.cancel_scope.cancel()

    nursery.start_soon(follow)
    # A subscriber receives only what is published after it has connected.
    while not received:
        telemetry.decisions.add("test", "first", "connect")
        await trio.sleep(0.01)
    for number in range(100):
        telemetry.decisions.add("test", str(number), "test")
    telemetry.decisions.add("test", "last", "test")
    with trio.move_on_after(30):
        await trio.sleep_forever()
    raise AssertionError(f"only {len(received)} decisions arrived")


async def test_feed_that_cannot_listen_does_not_harm_the_node(nursery):
    """Guards against a node that fails to start because its feed address is in use or invalid."""
    telemetry = Telemetry(host="a", timers=Timers())
    await nursery.start(publish_decisions, telemetry.decisions, "nowhere")
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        await nursery.start(publish_decisions, telemetry.decisions, address)
    telemetry.decisions.add("test", "u1", "reason")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]

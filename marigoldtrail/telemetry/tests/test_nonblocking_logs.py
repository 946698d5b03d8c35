"""Tests of non-blocking logging and of the Prometheus metrics."""

import json
import logging
import os

from marigoldtrail.telemetry import nonblocking_logs
from marigoldtrail.telemetry.prometheus import MAX_ROUTES, PrometheusMetrics


def make_logger(fd):
    handler = nonblocking_logs.NonBlockingHandler(fd=fd)
    handler.setFormatter(nonblocking_logs.JsonFormatter("%(levelname)s %(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler


def test_reader_that_stops_does_not_stop_the_process(monkeypatch):
    """Guards against a process that blocks when the reader of its log stops."""
    monkeypatch.setattr(nonblocking_logs, "MAX_LINES_PER_S", 10**9)
    reader, writer = os.pipe()
    logger, handler = make_logger(writer)
    for number in range(20_000):
        logger.info("line %d", number, extra={"padding": "x" * 200})
    assert handler.dropped > 0
    data = b""
    os.set_blocking(reader, False)
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    whole = [json.loads(line) for line in data.split(b"\n")[:-1]]
    assert [line["message"] for line in whole[:2]] == ["line 0", "line 1"]
    os.close(reader)
    logger.info("nobody reads")
    os.close(writer)


def test_volume_is_bounded_and_failures_have_their_own_allowance(monkeypatch):
    """Guards against dropping warnings when many lines about served requests are logged."""
    monkeypatch.setattr(nonblocking_logs.time, "monotonic", lambda: 5.0)
    reader, writer = os.pipe()
    logger, handler = make_logger(writer)
    for _ in range(nonblocking_logs.MAX_LINES_PER_S + 50):
        logger.info("served")
    logger.warning("failed")
    assert handler.dropped == 50
    text = os.read(reader, 1 << 20).decode().splitlines()
    assert json.loads(text[-1])["message"] == "failed"
    assert json.loads(text[-1])["dropped_lines"] == 50
    os.close(reader)
    os.close(writer)


def test_metrics_of_many_routes_stay_bounded():
    """Guards against a metrics text that grows with the number of configured routes."""
    metrics = PrometheusMetrics()
    for number in range(MAX_ROUTES + 100):
        metrics.count_request(f"r-{number}", "served", 0.1)
    text = metrics.render_text().decode()
    assert text.count("requests_total{") == MAX_ROUTES + 1
    assert 'requests_total{outcome="served",route="other"} 100.0' in text

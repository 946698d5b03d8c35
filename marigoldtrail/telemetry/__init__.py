"""Spans, metrics, logs and decision events."""

from marigoldtrail.telemetry.decisions import DecisionLog
from marigoldtrail.telemetry.feed import follow_feed, start_feed
from marigoldtrail.telemetry.logs import configure_logging, request_id_var
from marigoldtrail.telemetry.metrics import Metrics, metric_part
from marigoldtrail.telemetry.service import Telemetry, mark_failure
from marigoldtrail.telemetry.spans import FileSpanProcessor, build_tracer_provider

__all__ = [
    "DecisionLog",
    "FileSpanProcessor",
    "Metrics",
    "Telemetry",
    "build_tracer_provider",
    "configure_logging",
    "follow_feed",
    "mark_failure",
    "metric_part",
    "request_id_var",
    "start_feed",
]

"""Spans, metrics, logs and decision events."""

from marigoldtrail.telemetry.decisions import DecisionLog
from marigoldtrail.telemetry.feed import follow_decisions, publish_decisions
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
    "follow_decisions",
    "mark_failure",
    "metric_part",
    "publish_decisions",
    "request_id_var",
]

"""
Spans, metrics, logs and decision events.

Submodules are imported on first use: the span exporters and the decision feed would otherwise
take most of the memory of a small host.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from marigoldtrail.telemetry.decisions import DecisionLog
    from marigoldtrail.telemetry.feed import follow_decisions, publish_decisions
    from marigoldtrail.telemetry.logs import configure_logging, request_id_var
    from marigoldtrail.telemetry.metrics import Metrics, metric_part
    from marigoldtrail.telemetry.service import Telemetry, mark_failure
    from marigoldtrail.telemetry.spans import FileSpanProcessor, build_tracer_provider

_MODULES = {
    "DecisionLog": "decisions",
    "FileSpanProcessor": "spans",
    "Metrics": "metrics",
    "Telemetry": "service",
    "build_tracer_provider": "spans",
    "configure_logging": "logs",
    "follow_decisions": "feed",
    "mark_failure": "service",
    "metric_part": "metrics",
    "publish_decisions": "feed",
    "request_id_var": "logs",
}

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


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)

"""Export of OpenTelemetry spans to a file and over OTLP."""

from __future__ import annotations

import json
from pathlib import Path

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor, TracerProvider

MAX_BUFFERED_SPANS = 512


class FileSpanProcessor(SpanProcessor):
    """
    Appends finished spans to a file, one JSON object per line.

    Spans are buffered and written in batches: one write call per span would cost more than the
    span itself.

    Parameters
    ----------
    path : str or Path
        Path of the file; it is created if missing.
    """

    __slots__ = ("_file", "_buffer")

    def __init__(self, *, path: str | Path) -> None:
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115
        self._buffer: list[ReadableSpan] = []

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Do nothing when a span starts."""

    def on_end(self, span: ReadableSpan) -> None:
        """Buffer a finished span."""
        self._buffer.append(span)
        if len(self._buffer) >= MAX_BUFFERED_SPANS:
            self.force_flush()

    def force_flush(self, timeout_millis: int = 30000) -> bool:
        """Write the buffered spans."""
        spans, self._buffer = self._buffer, []
        self._file.writelines(json.dumps(span_to_dict(span)) + "\n" for span in spans)
        self._file.flush()
        return True

    def shutdown(self) -> None:
        """Write the buffered spans and close the file."""
        if not self._file.closed:
            self.force_flush()
            self._file.close()


def span_to_dict(span: ReadableSpan) -> dict[str, object]:
    """
    Convert a span to the fields that are written to the file.

    Parameters
    ----------
    span : ReadableSpan
        A finished span.

    Returns
    -------
    dict
        Name, ids, times in nanoseconds, attributes and status.
    """
    context = span.get_span_context()
    assert context is not None
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
        "status": span.status.status_code.name,
        "host": span.resource.attributes.get("host.name", ""),
    }


def build_tracer_provider(
    *, host: str, trace_file: str = "", otlp_endpoint: str = ""
) -> TracerProvider:
    """
    Build the tracer provider of a node.

    Parameters
    ----------
    host : str
        Name of this host.
    trace_file : str
        File that spans are appended to; empty for none.
    otlp_endpoint : str
        URL of an OTLP/HTTP collector; empty for none.

    Returns
    -------
    TracerProvider
        The provider; shut it down to flush the spans.
    """
    resource = Resource.create({"service.name": "marigoldtrail", "host.name": host})
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    if trace_file:
        provider.add_span_processor(FileSpanProcessor(path=trace_file))
    if otlp_endpoint:
        # Imported here because the import takes 40 ms and few nodes use OTLP.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
        from opentelemetry.sdk.trace.export import BatchSpanProcessor

        provider.add_span_processor(BatchSpanProcessor(OTLPSpanExporter(endpoint=otlp_endpoint)))
    return provider

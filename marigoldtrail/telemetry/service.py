"""Interface through which the other packages record spans, metrics and decisions."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider

from marigoldtrail.errors import Failure
from marigoldtrail.telemetry.decisions import DecisionLog
from marigoldtrail.telemetry.metrics import Metrics
from marigoldtrail.timers import Timers


class Telemetry:
    """
    Spans, metrics and decisions of one node.

    Parameters
    ----------
    host : str
        Name of this host.
    timers : Timers
        Clock for the timestamps of decisions.
    metrics : Metrics or None
        Destination of metrics; None to drop them.
    provider : TracerProvider or None
        Source of the tracer; None to drop all spans.

    Examples
    --------
    >>> telemetry = Telemetry(host="a", timers=Timers())
    >>> with telemetry.span("stage", stage="rerank") as span:
    ...     span.set_attribute("attempts", 1)
    >>> telemetry.decisions.add("refuse", "quotes", "overloaded", request_id="00ab")
    >>> telemetry.decisions.find(request_id="00ab")[0].reason
    'overloaded'
    """

    __slots__ = ("host", "metrics", "decisions", "_provider", "_tracer")

    def __init__(
        self,
        *,
        host: str,
        timers: Timers,
        metrics: Metrics | None = None,
        provider: TracerProvider | None = None,
    ) -> None:
        self.host = host
        self.metrics = metrics or Metrics()
        self.decisions = DecisionLog(host=host, timers=timers)
        self._provider = provider
        source = provider or trace.NoOpTracerProvider()
        self._tracer = source.get_tracer("marigoldtrail")

    @contextmanager
    def span(self, name: str, **attributes: str | int | float | bool) -> Iterator[trace.Span]:
        """
        Run a block inside a span.

        Parameters
        ----------
        name : str
            Name of the span, for example ``"stage.attempt"``.
        **attributes
            Attributes of the span.

        Yields
        ------
        opentelemetry.trace.Span
            The span.
        """
        with self._tracer.start_as_current_span(name, attributes=attributes) as span:
            yield span

    def flush(self) -> None:
        """Export buffered spans."""
        if self._provider is not None:
            self._provider.force_flush()

    def shutdown(self) -> None:
        """Export buffered spans and shut down the exporters."""
        if self._provider is not None:
            self._provider.shutdown()


def mark_failure(span: trace.Span, failure: Failure) -> None:
    """
    Record a failure in the status and attributes of a span.

    Parameters
    ----------
    span : opentelemetry.trace.Span
        The span.
    failure : Failure
        The failure.
    """
    span.set_status(trace.Status(trace.StatusCode.ERROR, str(failure)))
    span.set_attribute("reason", failure.reason.value)
    span.set_attribute("run_state", failure.run_state.value)

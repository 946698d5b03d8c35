"""Prometheus metrics of a host, served as text at its metrics address."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
# Limits the size of the metrics text for configurations with many routes.
MAX_ROUTES = 64
OTHER_ROUTES = "other"


class PrometheusMetrics:
    """
    Prometheus metrics of one host.

    Examples
    --------
    >>> metrics = PrometheusMetrics()
    >>> metrics.count_request("r", "served", 0.3)
    >>> b'requests_total{outcome="served",route="r"} 1.0' in metrics.render_text()
    True
    """

    __slots__ = (
        "_registry",
        "_requests",
        "_latency",
        "_sends",
        "_pieces",
        "_connection_ends",
        "_dropped_bytes",
        "_resets",
        "_stop_refusals",
        "_unanswered",
        "_broken",
        "_given_up",
        "_left_out",
        "_reread_tokens",
        "_declined",
        "_routes",
    )

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self._requests = Counter(
            "requests", "Requests of callers by outcome.", ["route", "outcome"], registry=registry
        )
        self._latency = Histogram(
            "request_seconds",
            "Time to the first event of a stream, or to the whole answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._sends = Counter(
            "sends", "Requests sent to upstreams by outcome.", ["outcome"], registry=registry
        )
        self._pieces = Counter(
            "pieces", "Pieces of stages by outcome.", ["outcome"], registry=registry
        )
        self._connection_ends = Counter(
            "caller_connection_ends",
            "Closed connections of callers by reason.",
            ["reason"],
            registry=registry,
        )
        self._dropped_bytes = Counter(
            "caller_bytes_dropped",
            "Bytes of callers that were received and not served when a connection was closed.",
            ["reason"],
            registry=registry,
        )
        self._resets = Counter(
            "caller_connections_reset",
            "Connections of callers that were closed with unread data, by reason.",
            ["reason"],
            registry=registry,
        )
        self._stop_refusals = Counter(
            "requests_refused_at_stop",
            "Requests of callers that were refused because the host stops.",
            registry=registry,
        )
        self._unanswered = Counter(
            "requests_unanswered",
            "Whole requests that ended without a complete answer, by cause.",
            ["cause"],
            registry=registry,
        )
        self._broken = Counter(
            "responses_broken_off",
            "Responses to callers that were broken off, by the reason of the failure.",
            ["reason"],
            registry=registry,
        )
        self._given_up = Counter(
            "responses_given_up",
            "Responses to callers that this host broke off for a cause of its own, by the cause.",
            ["cause"],
            registry=registry,
        )
        self._left_out = Counter(
            "left_out_entries",
            "Entries of the list of upstreams that were left out, at each reading, by reason.",
            ["reason"],
            registry=registry,
        )
        self._reread_tokens = Counter(
            "prompt_tokens_read_again",
            "Tokens of shared prompts that an engine reads although one has read them, by cause.",
            ["cause"],
            registry=registry,
        )
        self._declined = Counter(
            "stage_requests_declined",
            "Requests with stages that the scheduler refused or deferred, by reason.",
            ["outcome", "reason"],
            registry=registry,
        )
        self._routes: set[str] = set()

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """
        Add a gauge whose value a function returns.

        Parameters
        ----------
        name, text : str
            Name and help text of the gauge.
        read : callable
            Function that returns the value; called when the metrics are read.
        """
        Gauge(name, text, registry=self._registry).set_function(read)

    def count_request(self, route: str, outcome: str, latency_s: float | None) -> None:
        """
        Count a finished request and record its latency.

        Parameters
        ----------
        route : str
            Route of the request; routes beyond the first `MAX_ROUTES` are counted together.
        outcome : str
            ``"served"`` or the reason of the failure.
        latency_s : float or None
            Seconds to the first event or the complete response; None if there was none.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        self._routes.add(route)
        self._requests.labels(route=route, outcome=outcome).inc()
        if latency_s is not None:
            self._latency.labels(route=route).observe(latency_s)

    def count_send(self, outcome: str) -> None:
        """Count a request sent to an upstream by its outcome."""
        self._sends.labels(outcome=outcome).inc()

    def count_pieces(self, outcome: str, count: int) -> None:
        """Count pieces by their outcome."""
        self._pieces.labels(outcome=outcome).inc(count)

    def count_connection_end(self, reason: str, dropped_bytes: int, *, was_reset: bool) -> None:
        """Count a closed connection of a caller, the bytes that were not served, and its reset."""
        self._connection_ends.labels(reason=reason).inc()
        if was_reset:
            self._resets.labels(reason=reason).inc()
        if dropped_bytes:
            self._dropped_bytes.labels(reason=reason).inc(dropped_bytes)

    def count_stop_refusal(self) -> None:
        """Count a request that was refused because the host stops."""
        self._stop_refusals.inc()

    def count_unanswered(self, cause: str) -> None:
        """Count a whole request that ended without a complete answer by its cause."""
        self._unanswered.labels(cause=cause).inc()

    def count_broken_response(self, reason: str) -> None:
        """Count a response that was broken off by the reason of the failure."""
        self._broken.labels(reason=reason).inc()

    def count_given_up_response(self, cause: str) -> None:
        """Count a response that this host broke off for a cause of its own."""
        self._given_up.labels(cause=cause).inc()

    def count_left_out_entry(self, reason: str) -> None:
        """Count an entry of the list of upstreams that was left out by its reason."""
        self._left_out.labels(reason=reason).inc()

    def count_reread_tokens(self, cause: str, tokens: int) -> None:
        """Count tokens of a shared prompt that an engine reads again."""
        self._reread_tokens.labels(cause).inc(tokens)

    def count_declined(self, outcome: str, reason: str) -> None:
        """Count a request that was refused or deferred by the scheduler of stages."""
        self._declined.labels(outcome=outcome, reason=reason).inc()

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))

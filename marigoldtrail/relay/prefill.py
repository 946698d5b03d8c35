"""Count of the prompt tokens that upstreams still have to prefill."""

from __future__ import annotations

from marigoldtrail.relay.upstream_monitor import UpstreamMonitor


class PrefillReservation:
    """
    Prompt tokens that are counted as not prefilled until `release` is called.

    Parameters
    ----------
    monitor : UpstreamMonitor
        Holds the count of the upstream.
    name : str
        The upstream.
    tokens : int
        Number of tokens.
    """

    __slots__ = ("_monitor", "_name", "_tokens")

    def __init__(self, *, monitor: UpstreamMonitor, name: str, tokens: int) -> None:
        self._monitor = monitor
        self._name = name
        self._tokens = tokens

    def release(self) -> None:
        """Subtract the tokens from the count; further calls have no effect."""
        if self._tokens:
            self._monitor.finish_prefill(self._name, self._tokens)
            self._tokens = 0

"""statsd metrics, dropped if no statsd server is configured."""

from __future__ import annotations

import re

import statsd

from marigoldtrail.net import Address

PREFIX = "marigoldtrail"

_UNSAFE_CHARS = re.compile(r"[^A-Za-z0-9_-]")


class Metrics:
    """
    Sends counters, timings and gauges over UDP.

    Parameters
    ----------
    address : str
        IP address and port of the statsd server; empty to drop all metrics.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str = "") -> None:
        self._client = None
        if address:
            target = Address.parse(address)
            ipv6 = ":" in target.ip
            self._client = statsd.StatsClient(target.ip, target.port, prefix=PREFIX, ipv6=ipv6)

    def count(self, name: str, value: int = 1) -> None:
        """
        Increment a counter.

        Parameters
        ----------
        name : str
            Metric name without the prefix.
        value : int
            Amount to add.
        """
        if self._client is not None:
            self._client.incr(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """
        Report a duration.

        Parameters
        ----------
        name : str
            Metric name without the prefix.
        milliseconds : float
            Duration in milliseconds.
        """
        if self._client is not None:
            self._client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """
        Set a gauge.

        Parameters
        ----------
        name : str
            Metric name without the prefix.
        value : float
            New value.
        """
        if self._client is not None:
            self._client.gauge(name, value)


def metric_part(text: str) -> str:
    """
    Convert a text to one component of a metric name.

    Parameters
    ----------
    text : str
        Text to convert, for example a client account.

    Returns
    -------
    str
        The text; characters other than letters, digits, ``_`` and ``-`` are replaced by ``_``.

    Examples
    --------
    >>> metric_part("acme.co/nbo")
    'acme_co_nbo'
    """
    return _UNSAFE_CHARS.sub("_", text)

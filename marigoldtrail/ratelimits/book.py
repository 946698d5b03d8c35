"""Limits of the upstreams as known to one host; the latest statement of an upstream holds."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

import msgspec

from marigoldtrail.schema.generated.registry import UpstreamLimit

# A lower limit is treated as this one: an upstream that gets nothing can't say that it recovers.
MIN_REQUESTS_PER_S = 0.1
# Smaller changes are ignored, so that a limit that varies a little is not sent to all hosts again.
MIN_CHANGE = 0.05

_log = logging.getLogger(__name__)


# Logs an upstream, its new limit (0: none any more) and the one before.
LogChange = Callable[[str, float, float], None]


def log_request_limit(upstream: str, limit: float, before: float) -> None:
    """Log that the limit of an upstream on its requests a second has changed."""
    if limit:
        _log.info(
            "upstream limits its requests",
            extra={"subject": upstream, "requests_per_s": limit, "before": before},
        )
    else:
        _log.info("upstream limit ended", extra={"subject": upstream, "before": before})


def log_brittleness(service: str, limit: float, before: float) -> None:
    """Log that the rejections in a second that upstreams of a service bear have changed."""
    if limit:
        _log.info("service is brittle", extra={"subject": service, "max_rejections": limit})
    else:
        _log.info("service is brittle no more", extra={"subject": service})


class Statement(msgspec.Struct, kw_only=True, frozen=True):
    """
    What an upstream said of its limit.

    Parameters
    ----------
    requests_per_s : float
        Requests a second from all hosts together; 0 if there is no limit any more.
    at : float
        Monotonic time in seconds at which it said so.
    born_ms : int
        Start time of its process (wall clock, milliseconds); 0 if unknown.
    """

    requests_per_s: float
    at: float
    born_ms: int


class LimitBook:
    """
    Latest statement of each upstream that has set a limit since it started.

    Parameters
    ----------
    log_change : callable
        Logs an upstream, its new limit (0: none any more) and the one before.

    Attributes
    ----------
    revision : int
        Increases when a limit changes, or when a host has to be corrected.
    """

    __slots__ = ("revision", "_log_change", "_statements")

    def __init__(self, *, log_change: LogChange = log_request_limit) -> None:
        self.revision = 0
        self._log_change = log_change
        self._statements: dict[str, Statement] = {}

    def get_limit(self, upstream: str) -> float | None:
        """Return the requests a second that an upstream takes; None if it sets no limit."""
        found = self._statements.get(upstream)
        return found.requests_per_s or None if found is not None else None

    @property
    def count(self) -> int:
        """Number of upstreams that set a limit."""
        return sum(found.requests_per_s > 0 for found in self._statements.values())

    def record_answer(
        self, upstream: str, born_ms: int, limit: float | None, *, sent_at: float, now: float
    ) -> None:
        """
        Record the limit in an answer, or that it names none.

        Parameters
        ----------
        upstream : str
            The upstream.
        born_ms : int
            Start time of its process (wall clock, milliseconds); 0 if unknown.
        limit : float or None
            Requests a second; None if the answer names no limit.
        sent_at : float
            Monotonic time in seconds at which the request was sent. An answer without a limit ends
            one only if its request was sent after the limit was named: answers may overtake each
            other.
        now : float
            Monotonic time in seconds.
        """
        if limit is not None:
            limit = max(limit, MIN_REQUESTS_PER_S)
            self._update(upstream, Statement(requests_per_s=limit, at=now, born_ms=born_ms))
        elif self.get_limit(upstream) is not None:
            self._update(upstream, Statement(requests_per_s=0.0, at=sent_at, born_ms=born_ms))

    def merge(self, limits: list[UpstreamLimit], now: float) -> None:
        """
        Merge the statements known to another host.

        Parameters
        ----------
        limits : list of UpstreamLimit
            The statements.
        now : float
            Monotonic time in seconds.
        """
        for limit in limits:
            statement = Statement(
                requests_per_s=limit.requests_per_s,
                at=now - limit.age_ms / 1000,
                born_ms=limit.born_ms,
            )
            self._update(limit.upstream, statement)

    def _update(self, upstream: str, new: Statement) -> None:
        known = self._statements.get(upstream)
        if known is None and not new.requests_per_s:
            return
        before = known.requests_per_s if known is not None else 0.0
        is_changed = abs(new.requests_per_s - before) > MIN_CHANGE * before
        if known is not None and known.at >= new.at:
            # A host that holds an older statement has to be corrected.
            self.revision += is_changed
            return
        if not is_changed:
            new = msgspec.structs.replace(new, requests_per_s=before)
        self._statements[upstream] = new
        self.revision += is_changed
        if is_changed:
            self._log_change(upstream, new.requests_per_s, before)

    def retain(self, born_ms: Mapping[str, int]) -> None:
        """
        Forget upstreams that are gone or have started again.

        Parameters
        ----------
        born_ms : mapping
            Start times of the processes of all listed upstreams.
        """
        for name, statement in list(self._statements.items()):
            if born_ms.get(name) != statement.born_ms:
                del self._statements[name]
                self.revision += 1

    def list_limits(self, now: float) -> list[UpstreamLimit]:
        """Return the statements for another host at a monotonic time in seconds."""
        return [
            UpstreamLimit(
                upstream=name,
                born_ms=found.born_ms,
                requests_per_s=found.requests_per_s,
                age_ms=max(0, round((now - found.at) * 1000)),
            )
            for name, found in self._statements.items()
        ]

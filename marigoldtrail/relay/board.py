"""What an entry knows of the upstreams: work in progress, failures, speed, cold starts."""

from __future__ import annotations

import logging

from marigoldtrail.policy.fading import fade
from marigoldtrail.policy.placement import Option
from marigoldtrail.registry import FleetPicture
from marigoldtrail.routing import Service, Upstream
from marigoldtrail.schema.generated.registry import UpstreamLoad
from marigoldtrail.timers import Timers

FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
# Weight of the newest outcome in the failure rate, and the time in which an old one fades.
OUTCOME_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 3.0
# Failures that a whole pool shares say nothing about one upstream.
COMMON_FAILURES = 0.15
# A longer pause that an upstream asks for is taken for a fault of it.
LONGEST_PAUSE_S = 120.0
SPEED_WEIGHT = 0.2
SPEED_HALF_LIFE_S = 4.0
# The share of the cold limit that entries use together; the rest covers requests on their way.
COLD_SHARE = 0.8

_log = logging.getLogger(__name__)


class UpstreamRecord:
    """
    One upstream as this entry sees it.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "requests",
        "prefill_tokens",
        "reported_requests",
        "failures_in_row",
        "ejected_until",
        "closed_until",
        "failure_rate",
        "rated_at",
        "duration_s",
        "timed_at",
        "is_cold",
        "cold_next_at",
    )

    def __init__(self, *, now: float) -> None:
        self.requests = 0
        self.prefill_tokens = 0
        self.reported_requests = 0
        self.failures_in_row = 0
        self.ejected_until = 0.0
        self.closed_until = 0.0
        self.failure_rate = 0.0
        self.rated_at = now
        self.duration_s = 0.0
        self.timed_at = now
        self.is_cold = False
        self.cold_next_at = 0.0


class UpstreamBoard:
    """
    What an entry knows of all upstreams.

    Parameters
    ----------
    picture : FleetPicture
        Upstreams of the fleet, and the loads of the other entries.
    data_centre : str
        Where this entry is.
    timers : Timers
        Clock.
    """

    __slots__ = ("_picture", "_data_centre", "_timers", "_records")

    def __init__(self, *, picture: FleetPicture, data_centre: str, timers: Timers) -> None:
        self._picture = picture
        self._data_centre = data_centre
        self._timers = timers
        self._records: dict[str, UpstreamRecord] = {}

    def record(self, name: str) -> UpstreamRecord:
        """Return what is known of an upstream."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = UpstreamRecord(now=self._timers.now())
        return record

    def begin(self, name: str, prefill_tokens: int = 0) -> None:
        """Count a request that is sent to an upstream."""
        record = self.record(name)
        record.requests += 1
        record.prefill_tokens += prefill_tokens

    def end_prefill(self, name: str, prefill_tokens: int) -> None:
        """Note that the prompt of a request has been read."""
        record = self.record(name)
        record.prefill_tokens = max(0, record.prefill_tokens - prefill_tokens)

    def end(self, name: str) -> None:
        """Count a request as ended."""
        record = self.record(name)
        record.requests = max(0, record.requests - 1)

    def succeed(self, name: str, duration_s: float | None = None) -> None:
        """Note an answer and the seconds that it took."""
        record = self.record(name)
        record.failures_in_row = 0
        self._rate(record, 0.0)
        if duration_s is not None:
            weight = SPEED_WEIGHT if record.duration_s else 1.0
            record.duration_s += weight * (duration_s - record.duration_s)
            record.timed_at = self._timers.now()

    def fail(self, name: str, *, is_dead: bool) -> None:
        """
        Note a failed request.

        Parameters
        ----------
        name : str
            The upstream.
        is_dead : bool
            Whether it didn't answer at all; it then gets no requests for a while.
        """
        record = self.record(name)
        record.failures_in_row += 1
        self._rate(record, 1.0)
        if is_dead:
            pause_s = FIRST_EJECTION_S * 2 ** (record.failures_in_row - 1)
            pause_s = min(LONGEST_EJECTION_S, pause_s)
            record.ejected_until = self._timers.now() + pause_s
            _log.info(
                "upstream ejected",
                extra={"subject": name, "failures": record.failures_in_row, "pause_s": pause_s},
            )

    def close(self, name: str, seconds: float) -> None:
        """Send an upstream nothing for the seconds for which it wants no requests."""
        if seconds <= 0:
            return
        record = self.record(name)
        seconds = min(seconds, LONGEST_PAUSE_S)
        record.closed_until = max(record.closed_until, self._timers.now() + seconds)
        _log.info("upstream wants no requests", extra={"subject": name, "pause_s": seconds})

    def opens_in_s(self, upstreams: list[Upstream]) -> float:
        """Return the seconds until some upstream takes requests again; 0 if one does now."""
        now = self._timers.now()
        waits = [self.record(u.name).closed_until - now for u in upstreams]
        return max(0.0, min(waits, default=0.0))

    def closed(self) -> set[str]:
        """Return the upstreams that want no requests from this host for a while."""
        now = self._timers.now()
        return {name for name, record in self._records.items() if record.closed_until > now}

    def _rate(self, record: UpstreamRecord, outcome: float) -> None:
        rate = self._failure_rate(record)
        record.failure_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        record.rated_at = self._timers.now()

    def _failure_rate(self, record: UpstreamRecord) -> float:
        age_s = self._timers.now() - record.rated_at
        return record.failure_rate * fade(age_s, FAILURE_HALF_LIFE_S)

    def options(self, upstreams: list[Upstream], service: Service) -> list[Option]:
        """
        Return the upstreams that may get a request now.

        Parameters
        ----------
        upstreams : list of Upstream
            Upstreams of the service in service.
        service : Service
            The service.

        Returns
        -------
        list of Option
            Without those that are ejected, unless all are, those that want no requests, and cold
            ones beyond their limit.
        """
        now = self._timers.now()
        opened = [u for u in upstreams if self.record(u.name).closed_until <= now]
        usable = [u for u in opened if self._accepts_cold(u, service, now)]
        healthy = [u for u in usable if self.record(u.name).ejected_until <= now]
        usual_s = self._usual_duration(upstreams)
        return [self._option(u, usual_s) for u in (healthy or usable)]

    def ejected(self) -> set[str]:
        """Return the upstreams that get no requests for a while."""
        now = self._timers.now()
        return {name for name, record in self._records.items() if record.ejected_until > now}

    def _accepts_cold(self, upstream: Upstream, service: Service, now: float) -> bool:
        record = self.record(upstream.name)
        if upstream.cold_until <= now or not service.cold_rate:
            record.is_cold = False
            return True
        if not record.is_cold:
            # All entries learn of it at the same time; they begin one after the other.
            record.is_cold = True
            record.cold_next_at = now + self._cold_interval_s(service) * self._picture.turn
        return record.cold_next_at <= now

    def _cold_interval_s(self, service: Service) -> float:
        """Return the seconds between two requests of one entry to a cold upstream."""
        return self._picture.entry_count() / (service.cold_rate * COLD_SHARE)

    def note_sent(self, upstream: Upstream, service: Service) -> None:
        """Count a request against the limit of a cold upstream, of which each entry has a share."""
        now = self._timers.now()
        if upstream.cold_until > now and service.cold_rate:
            self.record(upstream.name).cold_next_at = now + self._cold_interval_s(service)

    def _usual_duration(self, upstreams: list[Upstream]) -> float:
        known = sorted(d for u in upstreams if (d := self.record(u.name).duration_s))
        return known[len(known) // 2] if known else 0.0

    def _option(self, upstream: Upstream, usual_s: float) -> Option:
        record = self.record(upstream.name)
        others = max(0, self._picture.loads.get(upstream.name, 0) - record.reported_requests)
        slowness = 1.0
        if usual_s and record.duration_s:
            weight = fade(self._timers.now() - record.timed_at, SPEED_HALF_LIFE_S)
            slowness = max(1.0, 1 + (record.duration_s / usual_s - 1) * weight)
        return Option(
            name=upstream.name,
            slots=upstream.slots,
            requests=others + record.requests,
            prefill_tokens=record.prefill_tokens,
            failure_rate=max(0.0, self._failure_rate(record) - COMMON_FAILURES),
            slowness=slowness,
            is_remote=upstream.data_centre != self._data_centre,
        )

    def report(self) -> list[UpstreamLoad]:
        """
        Return the work in progress for the next report, and note that it was reported.

        Engines are left out: the scheduler, which chooses them, knows their work, and every entry
        gets the sums several times a second.
        """
        loads = []
        for name, record in self._records.items():
            if self._is_engine(name):
                continue
            record.reported_requests = record.requests
            if record.requests:
                loads.append(UpstreamLoad(upstream=name, requests=record.requests))
        return loads

    def _is_engine(self, name: str) -> bool:
        upstream = self._picture.upstreams.get(name)
        service = self._picture.find_service(upstream.service) if upstream is not None else None
        return service is not None and service.engine is not None

    def forget_except(self, names: set[str]) -> None:
        """Drop what is known of upstreams that are gone and have nothing in progress."""
        for name in [n for n, r in self._records.items() if n not in names and not r.requests]:
            del self._records[name]

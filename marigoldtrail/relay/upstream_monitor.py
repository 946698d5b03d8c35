"""Track the state of upstreams on an entry host: load, failures, latency and cold starts."""

from __future__ import annotations

import logging

from marigoldtrail.policy.decay import decay_weight
from marigoldtrail.policy.placement import UpstreamOption
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Service, Upstream
from marigoldtrail.schema.generated.registry import UpstreamLoad
from marigoldtrail.timers import Timers

INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Weight of the newest outcome in the failure rate, and the half-life of older outcomes.
OUTCOME_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 3.0
# Failure rate that the upstreams of a service have in common; only the excess counts against
# one of them.
COMMON_FAILURE_RATE = 0.15
# A longer pause requested by an upstream is treated as an error and cut to this value.
MAX_PAUSE_S = 120.0
DURATION_WEIGHT = 0.2
DURATION_HALF_LIFE_S = 4.0
# Share of the cold rate limit that all entries together use; the rest covers requests in flight.
COLD_RATE_SHARE = 0.8

_log = logging.getLogger(__name__)


class UpstreamRecord:
    """
    State of one upstream as observed by this entry.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "requests",
        "prefill_tokens",
        "reported_requests",
        "consecutive_failures",
        "ejected_until",
        "paused_until",
        "limited_until",
        "failure_rate",
        "failure_rate_updated_at",
        "duration_s",
        "duration_updated_at",
        "is_cold",
        "cold_next_send_at",
    )

    def __init__(self, *, now: float) -> None:
        self.requests = 0
        self.prefill_tokens = 0
        self.reported_requests = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.paused_until = 0.0
        self.limited_until = 0.0
        self.failure_rate = 0.0
        self.failure_rate_updated_at = now
        self.duration_s = 0.0
        self.duration_updated_at = now
        self.is_cold = False
        self.cold_next_send_at = 0.0


class UpstreamMonitor:
    """
    State of all upstreams as observed by one entry.

    Parameters
    ----------
    fleet_state : FleetState
        Upstreams of the fleet and the loads reported by the other entries.
    data_centre : str
        Data centre of this entry.
    timers : Timers
        Clock.
    """

    __slots__ = ("_fleet_state", "_data_centre", "_timers", "_records")

    def __init__(self, *, fleet_state: FleetState, data_centre: str, timers: Timers) -> None:
        self._fleet_state = fleet_state
        self._data_centre = data_centre
        self._timers = timers
        self._records: dict[str, UpstreamRecord] = {}

    def get_record(self, name: str) -> UpstreamRecord:
        """Return the record of an upstream; create it if there is none."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = UpstreamRecord(now=self._timers.now())
        return record

    def start_request(self, name: str, prefill_tokens: int = 0) -> None:
        """Count a request as in progress at an upstream."""
        record = self.get_record(name)
        record.requests += 1
        record.prefill_tokens += prefill_tokens

    def finish_prefill(self, name: str, prefill_tokens: int) -> None:
        """Subtract the prompt tokens of a request whose prefill has ended."""
        record = self.get_record(name)
        record.prefill_tokens = max(0, record.prefill_tokens - prefill_tokens)

    def finish_request(self, name: str) -> None:
        """Count a request as no longer in progress."""
        record = self.get_record(name)
        record.requests = max(0, record.requests - 1)

    def record_success(self, name: str, duration_s: float | None = None) -> None:
        """Record a successful request and its duration in seconds, if measured."""
        record = self.get_record(name)
        record.consecutive_failures = 0
        self._update_failure_rate(record, 0.0)
        if duration_s is not None:
            weight = DURATION_WEIGHT if record.duration_s else 1.0
            record.duration_s += weight * (duration_s - record.duration_s)
            record.duration_updated_at = self._timers.now()

    def record_failure(self, name: str, *, is_dead: bool) -> None:
        """
        Record a failed request.

        Parameters
        ----------
        name : str
            The upstream.
        is_dead : bool
            Whether it gave no valid response; it is then ejected for some seconds.
        """
        record = self.get_record(name)
        record.consecutive_failures += 1
        self._update_failure_rate(record, 1.0)
        if is_dead:
            pause_s = INITIAL_EJECTION_S * 2 ** (record.consecutive_failures - 1)
            pause_s = min(MAX_EJECTION_S, pause_s)
            record.ejected_until = self._timers.now() + pause_s
            _log.info(
                "upstream ejected",
                extra={
                    "subject": name,
                    "failures": record.consecutive_failures,
                    "pause_s": pause_s,
                },
            )

    def end_ejections(self) -> None:
        """End all ejections; the failures were those of this host's network."""
        now = self._timers.now()
        for record in self._records.values():
            record.ejected_until = min(record.ejected_until, now)
            record.consecutive_failures = 0

    def start_pause(self, name: str, seconds: float) -> None:
        """Send no requests to an upstream for the number of seconds that it asked for."""
        if seconds <= 0:
            return
        record = self.get_record(name)
        seconds = min(seconds, MAX_PAUSE_S)
        record.paused_until = max(record.paused_until, self._timers.now() + seconds)
        _log.info("upstream wants no requests", extra={"subject": name, "pause_s": seconds})

    def start_limited(self, name: str, seconds: float) -> None:
        """Send no requests to an upstream until the limit that it set allows the next one."""
        self.get_record(name).limited_until = self._timers.now() + seconds

    def get_limited_s(self, upstream: Upstream, service: Service) -> float:
        """Return the seconds until an upstream is below its limit; inf if blocked otherwise."""
        now = self._timers.now()
        record = self.get_record(upstream.name)
        if max(record.paused_until, self._find_cold_ready_at(upstream, service, now)) > now:
            return float("inf")
        return max(0.0, record.limited_until - now)

    def get_ready_in_s(self, upstreams: list[Upstream], service: Service) -> float:
        """
        Return the time until a request may be sent to one of several upstreams.

        Parameters
        ----------
        upstreams : list of Upstream
            Upstreams of the service that are in service.
        service : Service
            The service.

        Returns
        -------
        float
            Seconds; 0 if a request may be sent now, or if there are no upstreams.
        """
        now = self._timers.now()
        times = [self._find_ready_at(upstream, service, now) for upstream in upstreams]
        return max(0.0, min(times, default=now) - now)

    def get_blocked(self) -> set[str]:
        """Return the upstreams that currently accept no requests from this host."""
        now = self._timers.now()
        return {
            name
            for name, record in self._records.items()
            if record.paused_until > now or record.limited_until > now
        }

    def _update_failure_rate(self, record: UpstreamRecord, outcome: float) -> None:
        rate = self._get_failure_rate(record)
        record.failure_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        record.failure_rate_updated_at = self._timers.now()

    def _get_failure_rate(self, record: UpstreamRecord) -> float:
        age_s = self._timers.now() - record.failure_rate_updated_at
        return record.failure_rate * decay_weight(age_s, FAILURE_HALF_LIFE_S)

    def list_options(self, upstreams: list[Upstream], service: Service) -> list[UpstreamOption]:
        """
        Return the upstreams to which a request may be sent now.

        Parameters
        ----------
        upstreams : list of Upstream
            Upstreams of the service that are in service.
        service : Service
            The service.

        Returns
        -------
        list of UpstreamOption
            Without paused upstreams, cold ones at their rate limit, those at a limit of their own
            and ejected ones; ejected ones are included if no others remain.
        """
        now = self._timers.now()
        usable = [u for u in upstreams if self._find_ready_at(u, service, now) <= now]
        healthy = [u for u in usable if self.get_record(u.name).ejected_until <= now]
        median_s = self._median_duration_s(upstreams)
        return [self._make_option(u, median_s) for u in (healthy or usable)]

    def is_sound_option(
        self, wanted: Upstream, upstreams: list[Upstream], service: Service
    ) -> bool:
        """
        Return whether `list_options` holds an upstream that is not ejected.

        Parameters
        ----------
        wanted : Upstream
            One of the upstreams.
        upstreams : list of Upstream
            Upstreams of the service that are in service.
        service : Service
            The service.

        Returns
        -------
        bool
            False if it may get no request now, or is ejected.
        """
        now = self._timers.now()
        for upstream in upstreams:
            # The offset of a cold upstream begins when it is first seen, for whatever request.
            if upstream.cold_until > now:
                self._find_cold_ready_at(upstream, service, now)
            elif upstream.name in self._records:
                self._records[upstream.name].is_cold = False
        if self._find_ready_at(wanted, service, now) > now:
            return False
        return self.get_record(wanted.name).ejected_until <= now

    def get_ejected(self) -> set[str]:
        """Return the upstreams that are currently ejected."""
        now = self._timers.now()
        return {name for name, record in self._records.items() if record.ejected_until > now}

    def _find_ready_at(self, upstream: Upstream, service: Service, now: float) -> float:
        """Return when one more request may be sent to an upstream: the strictest bound holds."""
        record = self.get_record(upstream.name)
        cold_at = self._find_cold_ready_at(upstream, service, now)
        return max(record.paused_until, record.limited_until, cold_at)

    def _find_cold_ready_at(self, upstream: Upstream, service: Service, now: float) -> float:
        record = self.get_record(upstream.name)
        if upstream.cold_until <= now or not service.max_cold_requests_per_s:
            record.is_cold = False
            return now
        if not record.is_cold:
            # All entries learn of a cold upstream at the same time; the offset spreads their first
            # requests.
            record.is_cold = True
            record.cold_next_send_at = (
                now + self._cold_interval_s(service) * self._fleet_state.entry_position
            )
        return record.cold_next_send_at

    def _cold_interval_s(self, service: Service) -> float:
        """Return the seconds between two requests of one entry to a cold upstream."""
        return self._fleet_state.entry_count() / (service.max_cold_requests_per_s * COLD_RATE_SHARE)

    def record_send(self, upstream: Upstream, service: Service) -> None:
        """Count a request against this entry's share of the rate limit of a cold upstream."""
        now = self._timers.now()
        if upstream.cold_until > now and service.max_cold_requests_per_s:
            self.get_record(upstream.name).cold_next_send_at = now + self._cold_interval_s(service)

    def _median_duration_s(self, upstreams: list[Upstream]) -> float:
        known = sorted(d for u in upstreams if (d := self.get_record(u.name).duration_s))
        return known[len(known) // 2] if known else 0.0

    def _make_option(self, upstream: Upstream, median_s: float) -> UpstreamOption:
        record = self.get_record(upstream.name)
        other_requests = max(
            0, self._fleet_state.loads.get(upstream.name, 0) - record.reported_requests
        )
        slowness = 1.0
        if median_s and record.duration_s:
            weight = decay_weight(
                self._timers.now() - record.duration_updated_at, DURATION_HALF_LIFE_S
            )
            slowness = max(1.0, 1 + (record.duration_s / median_s - 1) * weight)
        return UpstreamOption(
            name=upstream.name,
            slots=upstream.slots,
            requests=other_requests + record.requests,
            prefill_tokens=record.prefill_tokens,
            failure_rate=max(0.0, self._get_failure_rate(record) - COMMON_FAILURE_RATE),
            slowness=slowness,
            is_remote=upstream.data_centre != self._data_centre,
        )

    def report_loads(self) -> list[UpstreamLoad]:
        """
        Return the requests in progress for the next report, and store what was reported.

        Engines are left out: the scheduler that chooses them tracks their load, and the sums are
        sent to every entry several times a second.
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
        upstream = self._fleet_state.upstreams.get(name)
        service = self._fleet_state.find_service(upstream.service) if upstream is not None else None
        return service is not None and service.engine is not None

    def remove_except(self, names: set[str]) -> None:
        """
        Remove the records of all other upstreams that are not needed any more.

        Those with requests in progress are kept, and those that asked for a pause: the list may
        leave an upstream out for some seconds.
        """
        now = self._timers.now()
        for name, record in list(self._records.items()):
            if name not in names and not record.requests and record.paused_until <= now:
                del self._records[name]

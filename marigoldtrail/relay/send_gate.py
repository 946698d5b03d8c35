"""Whether one more request may be sent now: quarantines, and limits of upstreams."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.quarantine import is_fingerprint
from marigoldtrail.quarantine.quarantine import Quarantine
from marigoldtrail.ratelimits import Place, PlaceClient, UpstreamLimiter
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

# The caller of a quarantined request is told to wait at least this long.
MIN_QUARANTINE_RETRY_S = 1.0
# Without a leader that has answered so recently no trial is asked for, since its caller would wait.
MAX_LEADER_AGE_S = 1.0
# Time without requests after a permit was refused.
MIN_LIMITED_S = 0.02
# Time without requests after no place was free at a brittle upstream.
PLACE_RETRY_S = 0.05

# Asks the leader whether one request with the quarantined part may be sent.
RequestTrialFn = Callable[[str], Awaitable[bool]]

_log = logging.getLogger(__name__)


class SendGate:
    """
    Decides on one entry whether requests may be sent now.

    Parameters
    ----------
    fleet_state : FleetState
        Upstreams, their limits, and quarantines.
    monitor : UpstreamMonitor
        Learns which upstreams are at their limit.
    limiter : UpstreamLimiter
        Grants requests to upstreams that limit them.
    places : PlaceClient
        Takes places at brittle upstreams.
    request_trial : callable
        Asks the leader whether one request with a quarantined part may be sent.
    timers : Timers
        Clock and delays.
    metrics : PrometheusMetrics
        Counts refused permits.
    """

    __slots__ = (
        "_fleet_state",
        "_monitor",
        "_limiter",
        "_places",
        "_request_trial",
        "_timers",
        "_metrics",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        monitor: UpstreamMonitor,
        limiter: UpstreamLimiter,
        places: PlaceClient,
        request_trial: RequestTrialFn,
        timers: Timers,
        metrics: PrometheusMetrics,
    ) -> None:
        self._fleet_state = fleet_state
        self._monitor = monitor
        self._limiter = limiter
        self._places = places
        self._request_trial = request_trial
        self._timers = timers
        self._metrics = metrics

    async def check_arrival(self, exchange: Exchange) -> Failure | None:
        """
        Check a request before its stages are run.

        Parameters
        ----------
        exchange : Exchange
            The request; it may be granted a trial.

        Returns
        -------
        Failure or None
            ``QUARANTINED`` if it is held off.
        """
        parts = exchange.parts | exchange.stage_parts
        found = self._fleet_state.prompts.find_held(parts)
        if not found:
            return None
        is_leader_there = self._fleet_state.age_s() < MAX_LEADER_AGE_S
        if len(found) == 1 and found[0].trial_at <= self._timers.now() and is_leader_there:
            exchange.has_trial_grant = await self._request_trial(found[0].part)
            if exchange.has_trial_grant:
                return None
        return self._make_quarantine_failure(exchange, found[0])

    def check_send(self, exchange: Exchange) -> Failure | None:
        """
        Check a request before it is sent; it may have been quarantined meanwhile.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Returns
        -------
        Failure or None
            ``QUARANTINED`` if it is held off and no trial.
        """
        held = self._find_held(exchange)
        return self._make_quarantine_failure(exchange, held) if held is not None else None

    def _find_held(self, exchange: Exchange) -> Quarantine | None:
        """Return a quarantine that holds a request off, unless it is sent as a trial."""
        found = self._fleet_state.prompts.find_held(exchange.parts)
        return found[0] if found and not exchange.has_trial_grant else None

    def _make_quarantine_failure(self, exchange: Exchange, held: Quarantine) -> Failure:
        retry_after_s = max(MIN_QUARANTINE_RETRY_S, held.trial_at - self._timers.now())
        _log.info(
            "%s is quarantined",
            "request" if is_fingerprint(held.part) else "prompt",
            extra={
                "request_id": exchange.info.request_id,
                "subject": held.part,
                "parts": sorted(held.parts),
                "sends": exchange.sends,
                "retry_after_s": round(retry_after_s, 2),
            },
        )
        run_state = RunState.MAY_HAVE_RUN if exchange.may_have_run else RunState.NOT_RUN
        return Failure(
            reason=Reason.QUARANTINED,
            run_state=run_state,
            step="upstream.choose",
            peer=exchange.service.name,
            detail=f"{describe_part(held.part)} has crashed upstreams",
            retry_after_s=retry_after_s,
        )

    def choose_limited(self, exchange: Exchange, max_wait_s: float) -> Upstream | None:
        """
        Choose an upstream whose room all hosts share, and that can take a request soon.

        Parameters
        ----------
        exchange : Exchange
            The request.
        max_wait_s : float
            Longest time in seconds that the request can wait.

        Returns
        -------
        Upstream or None
            The first that is ready; None if that is too late, or if they are blocked otherwise.
        """
        service = exchange.service
        waits_s = {
            upstream.name: self._monitor.get_limited_s(upstream, service)
            for upstream in self._fleet_state.usable_upstreams(
                service.name, version=exchange.stream_version
            )
            if upstream.name not in exchange.tried and self._is_shared(upstream)
        }
        name = min(waits_s, key=lambda item: waits_s[item], default=None)
        if name is None or waits_s[name] > max_wait_s:
            return None
        return self._fleet_state.upstreams.get(name)

    def _is_shared(self, upstream: Upstream) -> bool:
        """Return whether an upstream limits its requests or is brittle."""
        state = self._fleet_state
        return (
            state.limits.get_limit(upstream.name) is not None
            or state.brittle.get_limit(upstream.service) is not None
        )

    async def take_permit(
        self, exchange: Exchange, upstream: Upstream, max_wait_s: float
    ) -> Place | None:
        """
        Wait until a request may be sent to an upstream.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.
        max_wait_s : float
            Longest time in seconds that the request can wait.

        Returns
        -------
        Place or None
            The place of the request, to be given back by `release`; None if another upstream has
            to be chosen.
        """
        started = self._timers.now()
        place = await self._places.take(upstream.name, upstream.service, max_wait_s)
        if place is None:
            self._note_limited(exchange, upstream, is_sent_later=False, wait_s=PLACE_RETRY_S)
            return None
        is_permitted = False
        try:
            left_s = max(0.0, started + max_wait_s - self._timers.now())
            is_permitted = await self._wait_for_rate(exchange, upstream, left_s)
            if self._timers.now() > started:
                is_permitted = is_permitted and self._is_still_usable(exchange, upstream)
        finally:
            if not is_permitted:
                self._places.release(place)
        return place if is_permitted else None

    def release(self, place: Place, *, was_rejected: bool) -> None:
        """Give back the place of a request that has ended, or was rejected by its upstream."""
        self._places.release(place, was_rejected=was_rejected)

    async def _wait_for_rate(
        self, exchange: Exchange, upstream: Upstream, max_wait_s: float
    ) -> bool:
        """Wait for a permit of an upstream that limits its requests a second."""
        permit = await self._limiter.acquire(upstream.name, max_wait_s)
        if permit.is_granted and not permit.wait_s:
            return True
        self._note_limited(
            exchange, upstream, is_sent_later=permit.is_granted, wait_s=permit.wait_s
        )
        if not permit.is_granted:
            return False
        await self._timers.sleep(permit.wait_s)
        return True

    def _is_still_usable(self, exchange: Exchange, upstream: Upstream) -> bool:
        """Return whether, after a wait, a request may still be sent to an upstream."""
        usable = self._fleet_state.usable_upstreams(exchange.service.name)
        return (
            any(other.name == upstream.name for other in usable)
            and self._monitor.get_limited_s(upstream, exchange.service) != float("inf")
            and self._find_held(exchange) is None
        )

    def _note_limited(
        self, exchange: Exchange, upstream: Upstream, *, is_sent_later: bool, wait_s: float
    ) -> None:
        _log.info(
            "upstream is at its limit",
            extra={
                "request_id": exchange.info.request_id,
                "subject": upstream.name,
                "is_sent_later": is_sent_later,
                "wait_ms": round(wait_s * 1000),
            },
        )
        if not is_sent_later:
            self._metrics.count_send("limited")
            self._monitor.start_limited(upstream.name, max(wait_s, MIN_LIMITED_S))


def describe_part(part: str) -> str:
    """Return what a caller is told of a quarantined part of its request."""
    if is_fingerprint(part):
        return f"the request ({part})"
    return f"part {part} of the prompt"

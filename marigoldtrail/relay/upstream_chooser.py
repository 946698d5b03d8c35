"""Choose the upstream of a request among those that may get it."""

from __future__ import annotations

import random

from marigoldtrail.policy.engine_choice import EngineOption, Generation, choose_engine
from marigoldtrail.policy.placement import (
    UpstreamOption,
    choose_by_rendezvous_hash,
    choose_service_upstream,
)
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.stream_admission import is_version_unknown
from marigoldtrail.relay.stream_versions import MAX_LEADER_AGE_S, StreamVersions
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream

# Assumed duration of a request to a service without engine until one has been measured.
DEFAULT_DURATION_S = 0.03


class UpstreamChooser:
    """
    Chooses upstreams for the requests of one entry.

    Parameters
    ----------
    fleet_state : FleetState
        Upstreams of the fleet.
    monitor : UpstreamMonitor
        Observed state of the upstreams.
    versions : StreamVersions
        Versions whose streams need no record.
    rng : random.Random
        Breaks ties between upstreams.
    """

    __slots__ = ("_fleet_state", "_monitor", "_versions", "_rng")

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        monitor: UpstreamMonitor,
        versions: StreamVersions,
        rng: random.Random,
    ) -> None:
        self._fleet_state = fleet_state
        self._monitor = monitor
        self._versions = versions
        self._rng = rng

    def list_upstreams(self, exchange: Exchange) -> list[Upstream]:
        """Return the upstreams that may get the request, or continue its stream."""
        if is_version_unknown(exchange, self._fleet_state):
            return []
        service, version = exchange.service.name, exchange.stream_version
        if version is None and self._would_record_wait(exchange):
            default = self._versions.get_default(service)
            if upstreams := self._fleet_state.usable_upstreams(service, version=default):
                return upstreams
        return self._fleet_state.usable_upstreams(service, version=version)

    def _would_record_wait(self, exchange: Exchange) -> bool:
        """Return whether a stream of another than the default version would wait for a leader."""
        return exchange.needs_durable_version and self._fleet_state.age_s() > MAX_LEADER_AGE_S

    def list_excluded(self, exchange: Exchange) -> set[str]:
        """Return the engines that the scheduler must not choose."""
        excluded = exchange.tried | self._monitor.get_blocked()
        if exchange.stream_version is None:
            return excluded
        return excluded | {
            upstream.name
            for upstream in self._fleet_state.usable_upstreams(exchange.service.name)
            if upstream.version != exchange.stream_version
        }

    def choose(self, exchange: Exchange) -> Upstream | None:
        """Choose an upstream that has not been tried; None if none can take the request now."""
        untried = [u for u in self.list_upstreams(exchange) if u.name not in exchange.tried]
        chosen = self._find_scheduled(exchange, untried)
        if chosen is not None:
            return chosen
        options = self._monitor.list_options(untried, exchange.service)
        if exchange.service.engine is None:
            name = choose_service_upstream(options, work_s=DEFAULT_DURATION_S, rng=self._rng)
        elif exchange.stage_run is not None and exchange.stage_run.upstream in {
            option.name for option in options
        }:
            name = exchange.stage_run.upstream
        else:
            name = self._choose_engine(exchange, options)
        return self._fleet_state.upstreams.get(name) if name is not None else None

    def _find_scheduled(self, exchange: Exchange, untried: list[Upstream]) -> Upstream | None:
        """
        Return the engine that the scheduler has chosen, if it is sound and may get the request.

        The others need not be weighed then: an entry has few requests, and many engines.
        """
        if exchange.service.engine is None or exchange.stage_run is None:
            return None
        name = exchange.stage_run.upstream
        wanted = next((upstream for upstream in untried if upstream.name == name), None)
        if wanted is None or not self._monitor.is_sound_option(wanted, untried, exchange.service):
            return None
        return wanted

    def choose_left(self, exchange: Exchange) -> Upstream | None:
        """
        Choose an upstream that a request left only because it was silent.

        Parameters
        ----------
        exchange : Exchange
            The request; the upstream isn't chosen for it again.

        Returns
        -------
        Upstream or None
            The latest one that may get the request now, also if it is ejected.
        """
        while exchange.left:
            name = exchange.left.pop()
            found = [u for u in self.list_upstreams(exchange) if u.name == name]
            if self._monitor.list_options(found, exchange.service):
                return found[0]
        return None

    def _choose_engine(self, exchange: Exchange, options: list[UpstreamOption]) -> str | None:
        """Choose an engine without the scheduler; all entries prefer the same one for a prefix."""
        prefix_key, shared = exchange.get_shared_prefix()
        preferred = (
            choose_by_rendezvous_hash(prefix_key, [option.name for option in options])
            if prefix_key
            else None
        )
        engines = [
            EngineOption(
                name=option.name,
                slots=option.slots,
                requests=option.requests,
                prefill_tokens=option.prefill_tokens,
                cached_tokens=shared if option.name == preferred else 0,
                failure_rate=option.failure_rate,
                slowness=option.slowness,
            )
            for option in options
        ]
        generation = Generation(prompt_tokens=exchange.info.prompt_tokens)
        choice = choose_engine(engines, generation, rng=self._rng)
        return choice.option.name if choice is not None else None

"""Chooses the engines of generations from the fleet-wide state of the scheduler."""

from __future__ import annotations

import random

import msgspec

from marigoldtrail.pieces.engines import EngineTracker, Placement, Prefixes, list_prefixes
from marigoldtrail.policy.placement import EngineOption, choose_by_rendezvous_hash, choose_engine
from marigoldtrail.ratelimits import PermitLedger
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Upstream
from marigoldtrail.schema.generated.pieces import RunStages
from marigoldtrail.timers import Timers

# Cached prefixes of at least this length determine where a request runs.
LONG_PROMPT_TOKENS = 2000
# An engine that an entry could not reach is avoided for this time.
SUSPECT_S = 1.0
# Longest time by which requests are placed ahead of the limit of an engine.
MAX_PLACED_AHEAD_S = 1.0


class EnginePlacer:
    """
    Chooses engines for the requests of all services.

    Parameters
    ----------
    fleet_state : FleetState
        Services and upstreams.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties.
    """

    __slots__ = ("_fleet_state", "_timers", "_rng", "_trackers", "_suspects", "_permits")

    def __init__(self, *, fleet_state: FleetState, timers: Timers, rng: random.Random) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._rng = rng
        self._trackers: dict[str, EngineTracker] = {}
        self._suspects: dict[str, float] = {}
        # Spreads requests over the engines that limit them; the leader grants the permits to send.
        self._permits = PermitLedger()

    def record_progress(self, request_id: str, *, has_ended: bool) -> None:
        """Record that an engine has read the prompt of a request, or that the request has ended."""
        for tracker in self._trackers.values():
            if has_ended:
                tracker.mark_ended(request_id)
            else:
                tracker.mark_prompt_read(request_id)

    def forget_except(self, names: set[str]) -> None:
        """Forget all engines other than those named."""
        for tracker in self._trackers.values():
            tracker.forget_except(names)
        self._suspects = {name: at for name, at in self._suspects.items() if name in names}
        self._permits.retain(names)

    def _tracker(self, service: str) -> EngineTracker | None:
        found = self._fleet_state.find_service(service)
        spec = found.engine if found is not None else None
        if spec is None:
            return None
        tracker = self._trackers.get(service)
        if tracker is None:
            tracker = self._trackers[service] = EngineTracker(spec=spec)
        tracker.spec = spec
        return tracker

    def _find_candidates(self, request: RunStages) -> list[Upstream]:
        now = self._timers.now()
        for name in request.suspects:
            self._suspects[name] = now + SUSPECT_S
        upstreams = self._fleet_state.usable_upstreams(request.engine_service)
        untried = [u for u in upstreams if u.name not in request.excluded]
        healthy = [u for u in untried if self._suspects.get(u.name, 0.0) <= now] or untried
        healthy = [u for u in healthy if self._may_place(u.name, now)] or healthy
        # The entries enforce the shared limit of cold engines, not the scheduler.
        return [u for u in healthy if u.cold_until <= now] or healthy

    def _may_place(self, name: str, now: float) -> bool:
        limit = self._fleet_state.limits.get_limit(name)
        return limit is None or self._permits.is_free(name, now)

    def expected_data_centre(self, request: RunStages) -> str:
        """
        Return where the results of a request will be read.

        Parameters
        ----------
        request : RunStages
            The request.

        Returns
        -------
        str
            Data centre of the engine that has cached the prompt, or of the home of the prompt;
            empty if unknown.
        """
        tracker = self._tracker(request.engine_service)
        if tracker is None:
            return request.data_centre
        upstreams = self._find_candidates(request)
        prompt = list_prefixes(request.prompt)
        cached = {u.name: tracker.cached_tokens(u.name, prompt) for u in upstreams}
        best = max(upstreams, key=lambda u: cached[u.name], default=None)
        if best is not None and cached[best.name] >= LONG_PROMPT_TOKENS:
            return best.data_centre
        home = find_prompt_home(prompt, [upstream.name for upstream in upstreams])
        return next((u.data_centre for u in upstreams if u.name == home), "")

    def place(self, request: RunStages, bytes_in: dict[str, int], expires_at: float) -> str | None:
        """
        Choose the engine of a request and record the request there.

        Parameters
        ----------
        request : RunStages
            The request.
        bytes_in : dict
            Bytes of the results that it reads, by data centre.
        expires_at : float
            Monotonic time in seconds by which it has ended.

        Returns
        -------
        str or None
            The engine; None if the request needs none or none is in service.
        """
        tracker = self._tracker(request.engine_service)
        if tracker is None:
            return None
        prompt = list_prefixes(request.prompt)
        candidates = self._find_candidates(request)
        options = tracker.describe_engines(
            candidates,
            prompt,
            bytes_in=bytes_in,
            now=self._timers.now(),
        )
        options = prefer_home(options, prompt)
        name = choose_engine(options, prompt_tokens=request.prompt_tokens, rng=self._rng)
        if name is not None:
            cached = tracker.cached_tokens(name, prompt)
            placement = Placement(
                upstream=name,
                prefill_tokens=max(0, request.prompt_tokens - cached),
                tokens=request.prompt_tokens + request.output_tokens,
                expires_at=expires_at,
            )
            tracker.place(request.request_id, prompt, placement)
            limit = self._fleet_state.limits.get_limit(name)
            if limit is not None:
                self._permits.reserve(
                    name, self._timers.now(), rate=limit, max_wait_s=MAX_PLACED_AHEAD_S
                )
        return name


def prefer_home(options: list[EngineOption], prompt: Prefixes) -> list[EngineOption]:
    """
    Send requests with a long shared prompt to one engine that all hosts agree on.

    A scheduler that has just taken over, or has dropped a prompt that its engine may still cache,
    would otherwise choose another engine, which would have to read the prompt again.

    Parameters
    ----------
    options : list of EngineOption
        Engines that may get the request.
    prompt : list of (str, int)
        Prefixes of its prompt; the last one belongs to the request alone.

    Returns
    -------
    list of EngineOption
        The options, with the home treated as having cached the prompt unless another engine has.
    """
    if any(option.cached_tokens >= LONG_PROMPT_TOKENS for option in options):
        return options
    home = find_prompt_home(prompt, [option.name for option in options])
    if home is None:
        return options
    _, tokens = prompt[-2]
    return [
        msgspec.structs.replace(option, cached_tokens=tokens) if option.name == home else option
        for option in options
    ]


def find_prompt_home(prompt: Prefixes, names: list[str]) -> str | None:
    """
    Return the engine that requests with a long shared prompt are sent to.

    Parameters
    ----------
    prompt : list of (str, int)
        Prefixes of the prompt; the last one belongs to the request alone.
    names : list of str
        Engines that may get the request.

    Returns
    -------
    str or None
        None if the shared prefix is short or there are no engines.
    """
    shared, tokens = prompt[-2] if len(prompt) > 1 else ("", 0)
    return choose_by_rendezvous_hash(shared, names) if tokens >= LONG_PROMPT_TOKENS else None

"""Chooses the engines of generations from the fleet-wide state of the scheduler."""

from __future__ import annotations

import logging
import random

from marigoldtrail.pieces.engines import EngineTracker, Placement, Prefixes, list_prefixes
from marigoldtrail.policy.engine_choice import (
    EngineOption,
    Generation,
    choose_engine,
    estimate_first_event_s,
    estimate_idle_first_event_s,
)
from marigoldtrail.policy.placement import choose_by_rendezvous_hash
from marigoldtrail.ratelimits import PermitLedger
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Upstream
from marigoldtrail.schema.generated.pieces import NoteProgress, RunStages
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

# Cached prefixes of at least this length determine where a request runs.
LONG_PROMPT_TOKENS = 2000
# An engine that an entry could not reach is avoided for this time.
SUSPECT_S = 1.0
# The engines of a service are listed anew after this time, or when the list of upstreams changes.
LIST_INTERVAL_S = 0.1
# Longest time by which requests are placed ahead of the limit of an engine.
MAX_PLACED_AHEAD_S = 1.0

_log = logging.getLogger(__name__)


class EngineList:
    """
    Engines of a service that may get new work.

    Parameters
    ----------
    upstreams : list of Upstream
        The engines.
    names : list of str
        Their names, in the same order.
    listed_at : float
        Monotonic time in seconds.
    """

    __slots__ = ("upstreams", "names", "listed_at")

    def __init__(self, *, upstreams: list[Upstream], listed_at: float) -> None:
        self.upstreams = upstreams
        self.names = [upstream.name for upstream in upstreams]
        self.listed_at = listed_at


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
    metrics : PrometheusMetrics
        Counts prompt tokens that are read again.
    """

    __slots__ = (
        "_fleet_state",
        "_timers",
        "_rng",
        "_metrics",
        "_trackers",
        "_lists",
        "_suspects",
        "_permits",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        timers: Timers,
        rng: random.Random,
        metrics: PrometheusMetrics,
    ) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._trackers: dict[str, EngineTracker] = {}
        self._lists: dict[str, EngineList] = {}
        self._suspects: dict[str, float] = {}
        # Spreads requests over the engines that limit them; the leader grants the permits to send.
        self._permits = PermitLedger()

    def record_progress(self, note: NoteProgress) -> None:
        """Record that an engine has read the prompt of a request, or that the request has ended."""
        now = self._timers.now()
        for tracker in self._trackers.values():
            if note.has_ended:
                tracker.mark_ended(note.request_id, stream_s=note.stream_ms / 1000, now=now)
            else:
                tracker.mark_prompt_read(
                    note.request_id, first_event_s=note.first_event_ms / 1000, now=now
                )

    def forget_except(self, names: set[str]) -> None:
        """Forget all engines other than those named."""
        for tracker in self._trackers.values():
            tracker.forget_except(names)
        self._suspects = {name: at for name, at in self._suspects.items() if name in names}
        self._permits.retain(names)
        self._lists.clear()

    def _tracker(self, service: str) -> EngineTracker | None:
        found = self._fleet_state.find_service(service)
        spec = found.engine if found is not None else None
        if spec is None:
            return None
        tracker = self._trackers.get(service)
        if tracker is None:
            tracker = self._trackers[service] = EngineTracker(spec=spec)
        tracker.set_spec(spec)
        return tracker

    def _list_engines(self, service: str, now: float) -> EngineList:
        found = self._lists.get(service)
        changed_at = self._fleet_state.upstreams_changed_at
        if (
            found is None
            or found.listed_at < changed_at
            or now >= found.listed_at + LIST_INTERVAL_S
        ):
            upstreams = self._fleet_state.usable_upstreams(service)
            found = self._lists[service] = EngineList(upstreams=upstreams, listed_at=now)
        return found

    def _find_candidates(self, request: RunStages) -> EngineList:
        now = self._timers.now()
        for name in request.suspects:
            self._suspects[name] = now + SUSPECT_S
        listed = self._list_engines(request.engine_service, now)
        untried = listed.upstreams
        if request.excluded:
            untried = [u for u in untried if u.name not in request.excluded]
        healthy = untried
        if self._suspects:
            healthy = [u for u in healthy if self._suspects.get(u.name, 0.0) <= now] or untried
        if self._fleet_state.limits.count:
            healthy = [u for u in healthy if self._may_place(u.name, now)] or healthy
        # The entries enforce the shared limit of cold engines, not the scheduler.
        warm = [u for u in healthy if u.cold_until <= now] or healthy
        if len(warm) == len(listed.upstreams):
            return listed
        return EngineList(upstreams=warm, listed_at=now)

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
        candidates = self._find_candidates(request)
        prompt = list_prefixes(request.prompt)
        cached = tracker.cached_tokens_by_engine(prompt)
        best = max(
            (u for u in candidates.upstreams if u.name in cached),
            key=lambda u: cached[u.name],
            default=None,
        )
        if best is not None and cached[best.name] >= LONG_PROMPT_TOKENS:
            return best.data_centre
        home = find_prompt_home(prompt, candidates.names)
        return next((u.data_centre for u in candidates.upstreams if u.name == home), "")

    def place(
        self,
        request: RunStages,
        bytes_in: dict[str, int],
        expires_at: float,
        *,
        admitted_at: float | None = None,
    ) -> str | None:
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
        admitted_at : float or None
            Monotonic time in seconds at which the request arrived; None for now.

        Returns
        -------
        str or None
            The engine; None if the request needs none or none is in service.
        """
        tracker = self._tracker(request.engine_service)
        if tracker is None:
            return None
        now = self._timers.now()
        prompt = list_prefixes(request.prompt)
        candidates = self._find_candidates(request)
        options = tracker.describe_engines(candidates.upstreams, prompt, bytes_in=bytes_in, now=now)
        prefer_home(options, prompt, candidates.names)
        generation = self._make_generation(
            request, tracker, now if admitted_at is None else admitted_at
        )
        choice = choose_engine(options, generation, rng=self._rng)
        if choice is None:
            return None
        chosen, name = choice.option, choice.option.name
        # The home of a prompt has to read it if no engine has: its tokens count until then.
        chosen.cached_tokens = tracker.cached_tokens(name, prompt)
        read_tokens = max(0, request.prompt_tokens - chosen.cached_tokens)
        expected_s = estimate_first_event_s(chosen, read_tokens)
        reread = tracker.find_rereads(prompt, chosen, options)
        if reread is not None:
            self._metrics.count_reread_tokens(reread[0].value, reread[1])
        _log.info(
            "engine chosen",
            extra={
                "request_id": request.request_id,
                "subject": name,
                "cached_tokens": chosen.cached_tokens,
                "read_tokens": read_tokens,
                "expected_s": round(expected_s * chosen.slowness, 3),
                "slowness": round(chosen.slowness, 2),
                "uncached_s": round(choice.uncached_s, 3),
                "reread": reread[0].value if reread is not None else "",
            },
        )
        placement = Placement(
            upstream=name,
            prefill_tokens=read_tokens,
            tokens=request.prompt_tokens + request.output_tokens,
            expires_at=expires_at,
            output_tokens=request.output_tokens,
            expected_s=expected_s,
        )
        tracker.place(request.request_id, prompt, placement, now=now)
        limit = self._fleet_state.limits.get_limit(name)
        if limit is not None:
            self._permits.reserve(name, now, rate=limit, max_wait_s=MAX_PLACED_AHEAD_S)
        return name

    def _make_generation(
        self, request: RunStages, tracker: EngineTracker, admitted_at: float
    ) -> Generation:
        """
        Describe the generation of a request; its times are counted from its arrival.

        Where all engines are equally fast the time left is not weighed: an engine that is in time
        for one request then costs others results from another data centre and prompts read again.
        """
        if not tracker.has_unequal_engines:
            return Generation(prompt_tokens=request.prompt_tokens)
        waited_s = self._timers.now() - admitted_at
        # The times of the message end where the entry expects the engine to start.
        reserved_s = estimate_idle_first_event_s(request.prompt_tokens)
        left_s = float("inf")
        if request.deadline_ms > 0:
            left_s = request.deadline_ms / 1000 - waited_s
        return Generation(
            prompt_tokens=request.prompt_tokens,
            slack_s=request.slack_ms / 1000 + reserved_s - waited_s,
            left_s=left_s,
            stream_s=request.output_tokens * tracker.stream_s_per_token,
        )


def prefer_home(options: list[EngineOption], prompt: Prefixes, names: list[str]) -> None:
    """
    Send requests with a long shared prompt to one engine that all hosts agree on.

    A scheduler that has just taken over, or has dropped a prompt that its engine may still cache,
    would otherwise choose another engine, which would have to read the prompt again. The home is
    treated as having cached the prompt unless another engine has.

    Parameters
    ----------
    options : list of EngineOption
        Engines that may get the request.
    prompt : list of (str, int)
        Prefixes of its prompt; the last one belongs to the request alone.
    names : list of str
        Names of the engines, in the same order.
    """
    if len(prompt) < 2 or prompt[-2][1] < LONG_PROMPT_TOKENS:
        return
    if any(option.cached_tokens >= LONG_PROMPT_TOKENS for option in options):
        return
    home = find_prompt_home(prompt, names)
    if home is not None:
        options[names.index(home)].cached_tokens = prompt[-2][1]


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

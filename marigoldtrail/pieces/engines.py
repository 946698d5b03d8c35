"""State that the scheduler keeps for the engines: work, cached prompts and speeds."""

from __future__ import annotations

import enum
from collections import OrderedDict

import msgspec

from marigoldtrail.pieces.engine_speeds import EngineSpeeds
from marigoldtrail.policy.engine_choice import EngineOption
from marigoldtrail.routing import EngineSpec, Upstream
from marigoldtrail.schema.generated.pieces import PromptPart

# Share of the memory of an engine that holds prompts and generated tokens; the rest is lost to the
# blocks in which memory is given away.
USABLE_SHARE = 0.95
EXPIRY_INTERVAL_S = 0.5
# The slowness of all engines is computed anew at most once in this time.
SPEED_INTERVAL_S = 0.1
# Prefixes of which it is remembered that some engine has read them.
MAX_READ_PREFIXES = 32_768
# Weight of a new stream in the mean duration of streams per token.
STREAM_WEIGHT = 0.05
# Reported durations are rounded to milliseconds.
REPORT_TOLERANCE_S = 0.001

# The prefixes of a prompt, shortest first: key of the chain of parts, and length in tokens.
Prefixes = list[tuple[str, int]]


class RereadCause(enum.StrEnum):
    """Why an engine reads a prefix that another engine, or itself, has read before."""

    # An engine that may get the request has it cached, and another one was chosen.
    MOVED = "moved"
    # Those that have it cached may not get the request.
    EXCLUDED = "excluded"
    # The engine that read it last has started again, or is gone.
    RESTARTED = "restarted"
    EVICTED = "evicted"


class Placement(msgspec.Struct, kw_only=True):
    """
    A request that was sent to an engine.

    Parameters
    ----------
    upstream : str
        The engine.
    prefill_tokens : int
        Prompt tokens that the engine has to prefill.
    tokens : int
        Maximum number of tokens of the request in the memory of the engine.
    expires_at : float
        Monotonic time in seconds by which the request has ended.
    output_tokens : int
        Maximum number of tokens that it generates.
    expected_s : float
        Expected seconds to the first event at an engine of the usual speed; 0 if unknown.
    born_ms : int
        Start time of the process that has it (wall clock, milliseconds).
    placed_at : float
        Monotonic time in seconds at which the engine was chosen.
    """

    upstream: str
    prefill_tokens: int
    tokens: int
    expires_at: float
    output_tokens: int = 0
    expected_s: float = 0.0
    born_ms: int = 0
    placed_at: float = 0.0

    def is_possible(self, duration_s: float, now: float) -> bool:
        """Return whether a reported duration fits between the choice of the engine and now."""
        return 0 < duration_s <= now - self.placed_at + REPORT_TOLERANCE_S


class EngineState:
    """
    Work in progress and cached prompts of one engine.

    Parameters
    ----------
    upstream : Upstream
        The engine.
    spec : EngineSpec
        Its capacity.

    Attributes
    ----------
    option : EngineOption
        Description for the choice; the fields that depend on a request are set for each.
    cached : OrderedDict
        Tokens that each cached prefix adds to the one before, least recently used first.
    cached_tokens : int
        Sum of these tokens.
    """

    __slots__ = ("upstream", "option", "cached", "cached_tokens")

    def __init__(self, *, upstream: Upstream, spec: EngineSpec) -> None:
        self.upstream = upstream
        self.option = EngineOption(
            name=upstream.name, slots=spec.slots, kv_tokens=spec.kv_cache_tokens
        )
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def add(self, placement: Placement, sign: int) -> None:
        """Add a request, or remove it with a negative sign."""
        option = self.option
        option.requests += sign
        option.prefill_tokens += sign * placement.prefill_tokens
        option.memory_tokens += sign * placement.tokens


class EngineTracker:
    """
    Work in progress, cached prompts and speeds of the engines of one service.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of one engine.

    Attributes
    ----------
    speeds : EngineSpeeds
        Learned slowness of the engines.
    has_unequal_engines : bool
        Whether several engines differ in their usual speed.
    stream_s_per_token : float
        Mean duration of streams, divided by their maximum number of output tokens, at an engine of
        the usual speed; 0 if unknown.
    """

    __slots__ = (
        "spec",
        "speeds",
        "has_unequal_engines",
        "stream_s_per_token",
        "_placements",
        "_engines",
        "_holders",
        "_read_at",
        "_expired_at",
        "_slowness_at",
    )

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self.speeds = EngineSpeeds()
        self.has_unequal_engines = False
        self.stream_s_per_token = 0.0
        self._placements: dict[str, Placement] = {}
        self._engines: dict[str, EngineState] = {}
        # For each cached prefix the engines that have it, so that a request looks at these only.
        self._holders: dict[str, set[str]] = {}
        # The process that read each prefix last, least recently read first.
        self._read_at: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self._expired_at = float("-inf")
        self._slowness_at = float("-inf")

    def _engine(self, upstream: Upstream) -> EngineState:
        engine = self._engines.get(upstream.name)
        if engine is not None and engine.upstream is upstream:
            return engine
        if engine is None:
            engine = self._engines[upstream.name] = EngineState(upstream=upstream, spec=self.spec)
        elif engine.upstream.born_ms != upstream.born_ms:
            # It has started again, and has nothing cached.
            self._evict_all(engine)
        engine.upstream = upstream
        return engine

    def set_spec(self, spec: EngineSpec) -> None:
        """Use another capacity, also for the engines that are known already."""
        if spec == self.spec:
            return
        self.spec = spec
        for engine in self._engines.values():
            engine.option.slots = spec.slots
            engine.option.kv_tokens = spec.kv_cache_tokens
            self._evict_to_fit(engine)

    def _evict_all(self, engine: EngineState) -> None:
        while engine.cached:
            self._evict_oldest(engine)

    def _evict_oldest(self, engine: EngineState) -> None:
        key, tokens = engine.cached.popitem(last=False)
        engine.cached_tokens -= tokens
        holders = self._holders[key]
        holders.discard(engine.upstream.name)
        if not holders:
            del self._holders[key]

    def describe_engines(
        self,
        upstreams: list[Upstream],
        prompt: Prefixes,
        *,
        bytes_in: dict[str, int],
        now: float,
    ) -> list[EngineOption]:
        """
        Describe the engines for a request.

        Parameters
        ----------
        upstreams : list of Upstream
            Engines that may get it.
        prompt : list of (str, int)
            Prefixes of its prompt; see `list_prefixes`.
        bytes_in : dict
            Bytes of the results that it reads, by data centre.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of EngineOption
            One for each engine; valid until the next call.
        """
        self._expire(now)
        engines = [self._engine(upstream) for upstream in upstreams]
        self._refresh_slowness(now)
        cached = self.cached_tokens_by_engine(prompt)
        total_in = sum(bytes_in.values())
        found = []
        for engine in engines:
            option = engine.option
            option.cached_tokens = cached.get(option.name, 0)
            option.remote_bytes = (
                total_in - bytes_in.get(engine.upstream.data_centre, 0) if total_in else 0
            )
            found.append(option)
        return found

    def _refresh_slowness(self, now: float) -> None:
        if now < self._slowness_at + SPEED_INTERVAL_S:
            return
        self._slowness_at = now
        self.has_unequal_engines = self.speeds.are_unequal(now)
        # Of equal engines only one that has clearly turned slow counts as slower than the others.
        find_slowness = (
            self.speeds.slowness_at if self.has_unequal_engines else self.speeds.clear_step_at
        )
        for name, engine in self._engines.items():
            engine.option.slowness = find_slowness(name, engine.upstream.born_ms, now)

    def _expire(self, now: float) -> None:
        if now < self._expired_at + EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for request_id in [r for r, p in self._placements.items() if p.expires_at <= now]:
            self.mark_ended(request_id)

    def cached_tokens_by_engine(self, prompt: Prefixes) -> dict[str, int]:
        """Return the length of the cached prefix of a prompt for each engine that has one."""
        found: dict[str, int] = {}
        names: set[str] | None = None
        for key, length in prompt:
            holders = self._holders.get(key, set())
            names = holders if names is None else names & holders
            if not names:
                break
            found.update(dict.fromkeys(names, length))
        return found

    def cached_tokens(self, upstream: str, prompt: Prefixes) -> int:
        """Return the length of the prefix of a prompt that an engine has probably cached."""
        return self.cached_tokens_by_engine(prompt).get(upstream, 0)

    def place(
        self, request_id: str, prompt: Prefixes, placement: Placement, *, now: float = 0.0
    ) -> None:
        """Record that a request is sent to an engine, which then caches the parts of its prompt."""
        self.mark_ended(request_id)
        engine = self._engines.get(placement.upstream)
        if engine is None:
            return
        placement.born_ms, placement.placed_at = engine.upstream.born_ms, now
        self._placements[request_id] = placement
        engine.add(placement, 1)
        cached, before = engine.cached, 0
        for key, length in prompt:
            if key not in cached:
                tokens = length - before
                if key == prompt[-1][0]:
                    # What the engine generates stays in its memory with the last part.
                    tokens += placement.output_tokens
                cached[key] = tokens
                engine.cached_tokens += tokens
                self._holders.setdefault(key, set()).add(placement.upstream)
            before = length
        for key, _ in reversed(prompt):
            # A prefix is of use without what follows it, so that it is evicted later.
            cached.move_to_end(key)
        self._record_reads(prompt, engine)
        self._evict_to_fit(engine)

    def _evict_to_fit(self, engine: EngineState) -> None:
        capacity = engine.option.kv_tokens * USABLE_SHARE
        while capacity and engine.cached and engine.cached_tokens > capacity:
            self._evict_oldest(engine)

    def _record_reads(self, prompt: Prefixes, engine: EngineState) -> None:
        # The last part belongs to the request alone.
        for key, _ in prompt[:-1]:
            self._read_at[key] = (engine.upstream.name, engine.upstream.born_ms)
            self._read_at.move_to_end(key)
        while len(self._read_at) > MAX_READ_PREFIXES:
            self._read_at.popitem(last=False)

    def find_rereads(
        self, prompt: Prefixes, chosen: EngineOption, candidates: list[EngineOption]
    ) -> tuple[RereadCause, int] | None:
        """
        Return why a chosen engine reads a shared prefix again.

        Parameters
        ----------
        prompt : list of (str, int)
            Prefixes of the prompt; the last one belongs to the request alone.
        chosen : EngineOption
            The engine.
        candidates : list of EngineOption
            All engines that may get the request.

        Returns
        -------
        tuple or None
            The cause, and the number of tokens; None if no engine has read more than it has cached.
        """
        known = [(key, length) for key, length in prompt[:-1] if key in self._read_at]
        if not known or known[-1][1] <= chosen.cached_tokens:
            return None
        key, length = known[-1]
        tokens = length - chosen.cached_tokens
        holders = self._holders.get(key)
        if holders:
            is_moved = any(option.name in holders for option in candidates)
            return RereadCause.MOVED if is_moved else RereadCause.EXCLUDED, tokens
        name, born_ms = self._read_at[key]
        engine = self._engines.get(name)
        if engine is None or engine.upstream.born_ms != born_ms:
            return RereadCause.RESTARTED, tokens
        return RereadCause.EVICTED, tokens

    def mark_prompt_read(
        self, request_id: str, *, first_event_s: float = 0.0, now: float = 0.0
    ) -> None:
        """
        Record that an engine has read the prompt of a request.

        Parameters
        ----------
        request_id : str
            The request.
        first_event_s : float
            Seconds from its sending to the first event; 0 if unknown.
        now : float
            Monotonic time in seconds.
        """
        placement = self._placements.get(request_id)
        if placement is None:
            return
        engine = self._engines[placement.upstream]
        engine.option.prefill_tokens -= placement.prefill_tokens
        placement.prefill_tokens = 0
        is_same_process = placement.born_ms == engine.upstream.born_ms
        if is_same_process and placement.is_possible(first_event_s, now):
            self.speeds.observe(
                placement.upstream,
                placement.born_ms,
                expected_s=placement.expected_s,
                observed_s=first_event_s,
                now=now,
            )
            # The report may come again; without an expected time it teaches nothing.
            placement.expected_s = 0.0

    def mark_ended(self, request_id: str, *, stream_s: float = 0.0, now: float = 0.0) -> None:
        """
        Record that a request has left its engine.

        Parameters
        ----------
        request_id : str
            The request.
        stream_s : float
            Seconds from its first to its last event; 0 if unknown.
        now : float
            Monotonic time in seconds.
        """
        placement = self._placements.pop(request_id, None)
        if placement is None:
            return
        engine = self._engines.get(placement.upstream)
        if engine is None:
            return
        engine.add(placement, -1)
        is_same_process = placement.born_ms == engine.upstream.born_ms
        if is_same_process and placement.is_possible(stream_s, now) and placement.output_tokens > 0:
            slowness = self.speeds.slowness_at(placement.upstream, engine.upstream.born_ms, now)
            value = stream_s / slowness / placement.output_tokens
            weight = STREAM_WEIGHT if self.stream_s_per_token else 1.0
            self.stream_s_per_token += weight * (value - self.stream_s_per_token)

    def forget_except(self, names: set[str]) -> None:
        """Drop all engines other than those named; requests there are counted until they end."""
        for name in [name for name in self._engines if name not in names]:
            engine = self._engines[name]
            self._evict_all(engine)
            if not engine.option.requests:
                del self._engines[name]
        self.speeds.retain(names)


def list_prefixes(prompt: list[PromptPart]) -> Prefixes:
    """
    Return the prefixes of a prompt with their lengths.

    Parameters
    ----------
    prompt : list of PromptPart
        The parts.

    Returns
    -------
    list of (str, int)
        Key of the chain of parts, and length in tokens; shortest first.

    Examples
    --------
    >>> list_prefixes([PromptPart(part="a", tokens=5), PromptPart(part="b", tokens=2)])
    [('a', 5), ('a/b', 7)]
    """
    found: list[tuple[str, int]] = []
    key, tokens = "", 0
    for part in prompt:
        key = f"{key}/{part.part}" if key else part.part
        tokens += part.tokens
        found.append((key, tokens))
    return found

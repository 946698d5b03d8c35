"""State that the scheduler keeps for the engines: work in progress and cached prompts."""

from __future__ import annotations

from collections import OrderedDict

from marigoldtrail.policy.placement import EngineOption
from marigoldtrail.routing import EngineSpec, Upstream
from marigoldtrail.schema.generated.pieces import PromptPart

# Share of the memory of an engine that is assumed to hold parts of earlier prompts.
CACHE_SHARE = 0.6
EXPIRY_INTERVAL_S = 0.5

# The prefixes of a prompt, shortest first: key of the chain of parts, and length in tokens.
Prefixes = list[tuple[str, int]]


class Placement:
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
    """

    __slots__ = ("upstream", "prefill_tokens", "tokens", "expires_at")

    def __init__(
        self, *, upstream: str, prefill_tokens: int, tokens: int, expires_at: float
    ) -> None:
        self.upstream = upstream
        self.prefill_tokens = prefill_tokens
        self.tokens = tokens
        self.expires_at = expires_at


class EngineWork:
    """Totals of the requests in progress at one engine."""

    __slots__ = ("requests", "prefill_tokens", "tokens")

    def __init__(self) -> None:
        self.requests = 0
        self.prefill_tokens = 0
        self.tokens = 0

    def add(self, placement: Placement, sign: int) -> None:
        """Add a request, or remove it with a negative sign."""
        self.requests += sign
        self.prefill_tokens += sign * placement.prefill_tokens
        self.tokens += sign * placement.tokens


class EngineTracker:
    """
    Work in progress and cached prompts of the engines of one service.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of one engine.
    """

    __slots__ = ("spec", "_placements", "_work", "_expired_at", "_cached", "_cached_tokens")

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self._placements: dict[str, Placement] = {}
        # Totals by engine, kept up to date because every request compares all engines.
        self._work: dict[str, EngineWork] = {}
        self._expired_at = float("-inf")
        # For each engine, the cached prompt parts by prefix key, least recently used first.
        self._cached: dict[str, OrderedDict[str, int]] = {}
        self._cached_tokens: dict[str, int] = {}

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
            One for each engine.
        """
        self._expire(now)
        nothing = EngineWork()
        total_in = sum(bytes_in.values())
        found = []
        for upstream in upstreams:
            own = self._work.get(upstream.name, nothing)
            found.append(
                EngineOption(
                    name=upstream.name,
                    slots=self.spec.slots,
                    requests=own.requests,
                    prefill_tokens=own.prefill_tokens,
                    memory_tokens=own.tokens,
                    kv_tokens=self.spec.kv_cache_tokens,
                    cached_tokens=self.cached_tokens(upstream.name, prompt),
                    remote_bytes=total_in - bytes_in.get(upstream.data_centre, 0),
                )
            )
        return found

    def _expire(self, now: float) -> None:
        if now < self._expired_at + EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for request_id in [r for r, p in self._placements.items() if p.expires_at <= now]:
            self.mark_ended(request_id)

    def cached_tokens(self, upstream: str, prompt: Prefixes) -> int:
        """Return the length of the prefix of a prompt that an engine has probably cached."""
        cached = self._cached.get(upstream)
        if not cached:
            return 0
        tokens = 0
        for key, length in prompt:
            if key not in cached:
                break
            tokens = length
        return tokens

    def place(self, request_id: str, prompt: Prefixes, placement: Placement) -> None:
        """Record that a request is sent to an engine, which then caches the parts of its prompt."""
        self.mark_ended(request_id)
        upstream = placement.upstream
        self._placements[request_id] = placement
        self._work.setdefault(upstream, EngineWork()).add(placement, 1)
        cached = self._cached.setdefault(upstream, OrderedDict())
        before = 0
        for key, length in prompt:
            if key not in cached:
                self._cached_tokens[upstream] = (
                    self._cached_tokens.get(upstream, 0) + length - before
                )
                cached[key] = length - before
            cached.move_to_end(key)
            before = length
        while cached and self._cached_tokens[upstream] > self.spec.kv_cache_tokens * CACHE_SHARE:
            _, dropped = cached.popitem(last=False)
            self._cached_tokens[upstream] -= dropped

    def mark_prompt_read(self, request_id: str) -> None:
        """Record that an engine has read the prompt of a request."""
        placement = self._placements.get(request_id)
        if placement is not None:
            self._work[placement.upstream].prefill_tokens -= placement.prefill_tokens
            placement.prefill_tokens = 0

    def mark_ended(self, request_id: str) -> None:
        """Record that a request has left its engine."""
        placement = self._placements.pop(request_id, None)
        if placement is None:
            return
        work = self._work[placement.upstream]
        work.add(placement, -1)
        if not work.requests:
            del self._work[placement.upstream]

    def forget_except(self, names: set[str]) -> None:
        """Drop the cached prompts of all engines other than those named."""
        for name in [name for name in self._cached if name not in names]:
            del self._cached[name]
            self._cached_tokens.pop(name, None)


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

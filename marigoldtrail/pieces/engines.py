"""What the scheduler knows of the engines: work in progress, and prompts that they have read."""

from __future__ import annotations

from collections import OrderedDict

from marigoldtrail.policy.placement import EngineOption
from marigoldtrail.routing import EngineSpec, Upstream
from marigoldtrail.schema.generated.pieces import PromptPart

# Share of an engine's memory in which parts of earlier prompts are believed to stay.
CACHE_SHARE = 0.6
EXPIRY_INTERVAL_S = 0.5

# Each begin of a prompt: identity of its chain of parts, and its tokens.
Chains = list[tuple[str, int]]


class Placement:
    """
    A request that was sent to an engine.

    Parameters
    ----------
    upstream : str
        The engine.
    unread : int
        Prompt tokens that it has to read.
    tokens : int
        Tokens of its memory that the request takes at most.
    expires_at : float
        Monotonic time in seconds at which the request is over in any case.
    """

    __slots__ = ("upstream", "unread", "tokens", "expires_at")

    def __init__(self, *, upstream: str, unread: int, tokens: int, expires_at: float) -> None:
        self.upstream = upstream
        self.unread = unread
        self.tokens = tokens
        self.expires_at = expires_at


class EngineWork:
    """Sums over the requests that were sent to one engine."""

    __slots__ = ("requests", "unread", "tokens")

    def __init__(self) -> None:
        self.requests = 0
        self.unread = 0
        self.tokens = 0

    def add(self, placement: Placement, sign: int) -> None:
        """Count a request, or with a negative sign take it out."""
        self.requests += sign
        self.unread += sign * placement.unread
        self.tokens += sign * placement.tokens


class EngineBoard:
    """
    Engines of all services.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of one engine.
    """

    __slots__ = ("spec", "_placements", "_work", "_expired_at", "_cached", "_cached_tokens")

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self._placements: dict[str, Placement] = {}
        # Kept for each engine, since every request compares all of them.
        self._work: dict[str, EngineWork] = {}
        self._expired_at = float("-inf")
        # For each engine the prompts that it has read, by their chain of parts, oldest use first.
        self._cached: dict[str, OrderedDict[str, int]] = {}
        self._cached_tokens: dict[str, int] = {}

    def options(
        self,
        upstreams: list[Upstream],
        prompt: Chains,
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
            Begins of its prompt; see `chains`.
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
                    unread_tokens=own.unread,
                    memory_tokens=own.tokens,
                    kv_tokens=self.spec.kv_tokens,
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
            self.end(request_id)

    def cached_tokens(self, upstream: str, prompt: Chains) -> int:
        """Return the length of the begin of a prompt that an engine has probably kept."""
        cached = self._cached.get(upstream)
        if not cached:
            return 0
        tokens = 0
        for key, length in prompt:
            if key not in cached:
                break
            tokens = length
        return tokens

    def place(self, request_id: str, prompt: Chains, placement: Placement) -> None:
        """Note that a request is sent to an engine, which then keeps the parts of its prompt."""
        self.end(request_id)
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
        while cached and self._cached_tokens[upstream] > self.spec.kv_tokens * CACHE_SHARE:
            _, dropped = cached.popitem(last=False)
            self._cached_tokens[upstream] -= dropped

    def begin(self, request_id: str) -> None:
        """Note that an engine has read the prompt of a request."""
        placement = self._placements.get(request_id)
        if placement is not None:
            self._work[placement.upstream].unread -= placement.unread
            placement.unread = 0

    def end(self, request_id: str) -> None:
        """Note that a request has left its engine."""
        placement = self._placements.pop(request_id, None)
        if placement is None:
            return
        work = self._work[placement.upstream]
        work.add(placement, -1)
        if not work.requests:
            del self._work[placement.upstream]

    def forget_except(self, names: set[str]) -> None:
        """Drop what is known of engines that are gone."""
        for name in [name for name in self._cached if name not in names]:
            del self._cached[name]
            self._cached_tokens.pop(name, None)


def chains(prompt: list[PromptPart]) -> Chains:
    """
    Return each begin of a prompt with its length.

    Parameters
    ----------
    prompt : list of PromptPart
        The parts.

    Returns
    -------
    list of (str, int)
        Identity of the chain of parts, and its tokens.

    Examples
    --------
    >>> chains([PromptPart(part="a", tokens=5), PromptPart(part="b", tokens=2)])
    [('a', 5), ('a/b', 7)]
    """
    found: list[tuple[str, int]] = []
    key, tokens = "", 0
    for part in prompt:
        key = f"{key}/{part.part}" if key else part.part
        tokens += part.tokens
        found.append((key, tokens))
    return found

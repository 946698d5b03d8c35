"""Chooses the engines of generations with what the scheduler knows of the whole fleet."""

from __future__ import annotations

import random

import msgspec

from marigoldtrail.pieces.engines import Chains, EngineBoard, Placement, chains
from marigoldtrail.policy.placement import EngineOption, choose_engine, find_home
from marigoldtrail.registry import FleetPicture
from marigoldtrail.routing import Upstream
from marigoldtrail.schema.generated.pieces import RunStages
from marigoldtrail.timers import Timers

# A kept prompt of this length decides where a request will run.
LONG_PROMPT_TOKENS = 2000
# An engine that an entry could not reach is avoided for this time.
SUSPECT_S = 1.0


class EnginePlacer:
    """
    Engines of all services.

    Parameters
    ----------
    picture : FleetPicture
        Services and upstreams.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties.
    """

    __slots__ = ("_picture", "_timers", "_rng", "_boards", "_suspects")

    def __init__(self, *, picture: FleetPicture, timers: Timers, rng: random.Random) -> None:
        self._picture = picture
        self._timers = timers
        self._rng = rng
        self._boards: dict[str, EngineBoard] = {}
        self._suspects: dict[str, float] = {}

    def note_progress(self, request_id: str, *, has_ended: bool) -> None:
        """Note that an engine has read the prompt of a request, or that the request has ended."""
        for board in self._boards.values():
            if has_ended:
                board.end(request_id)
            else:
                board.begin(request_id)

    def _board(self, service: str) -> EngineBoard | None:
        found = self._picture.find_service(service)
        spec = found.engine if found is not None else None
        if spec is None:
            return None
        board = self._boards.get(service)
        if board is None:
            board = self._boards[service] = EngineBoard(spec=spec)
        board.spec = spec
        return board

    def _candidates(self, request: RunStages) -> list[Upstream]:
        now = self._timers.now()
        for name in request.suspects:
            self._suspects[name] = now + SUSPECT_S
        upstreams = self._picture.usable_upstreams(request.engine_service)
        untried = [u for u in upstreams if u.name not in request.excluded]
        sound = [u for u in untried if self._suspects.get(u.name, 0.0) <= now] or untried
        # Entries share the limit of a cold engine; the scheduler leaves it to them.
        return [u for u in sound if u.cold_until <= now] or sound

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
            Data centre of the engine that has kept the prompt, or of the home of the prompt; empty
            if that is open.
        """
        board = self._board(request.engine_service)
        if board is None:
            return request.data_centre
        upstreams = self._candidates(request)
        prompt = chains(request.prompt)
        cached = {u.name: board.cached_tokens(u.name, prompt) for u in upstreams}
        best = max(upstreams, key=lambda u: cached[u.name], default=None)
        if best is not None and cached[best.name] >= LONG_PROMPT_TOKENS:
            return best.data_centre
        home = find_prompt_home(prompt, [upstream.name for upstream in upstreams])
        return next((u.data_centre for u in upstreams if u.name == home), "")

    def place(self, request: RunStages, bytes_in: dict[str, int], expires_at: float) -> str | None:
        """
        Choose the engine of a request and count the request there.

        Parameters
        ----------
        request : RunStages
            The request.
        bytes_in : dict
            Bytes of the results that it reads, by data centre.
        expires_at : float
            Monotonic time in seconds at which it is over in any case.

        Returns
        -------
        str or None
            The engine; None if it needs none or none is in service.
        """
        board = self._board(request.engine_service)
        if board is None:
            return None
        prompt = chains(request.prompt)
        candidates = self._candidates(request)
        options = board.options(
            candidates,
            prompt,
            bytes_in=bytes_in,
            now=self._timers.now(),
        )
        options = prefer_home(options, prompt)
        name = choose_engine(options, prompt_tokens=request.prompt_tokens, rng=self._rng)
        if name is not None:
            cached = board.cached_tokens(name, prompt)
            placement = Placement(
                upstream=name,
                unread=max(0, request.prompt_tokens - cached),
                tokens=request.prompt_tokens + request.output_tokens,
                expires_at=expires_at,
            )
            board.place(request.request_id, prompt, placement)
        return name


def prefer_home(options: list[EngineOption], prompt: Chains) -> list[EngineOption]:
    """
    Let requests with a long shared prompt meet at one engine that all hosts agree on.

    Answers a scheduler that has just taken over, or has forgotten a prompt that its engine may
    still keep: without a home each of them would have the prompt read at another engine.

    Parameters
    ----------
    options : list of EngineOption
        Engines that may get the request.
    prompt : list of (str, int)
        Begins of its prompt; the last one belongs to the request alone.

    Returns
    -------
    list of EngineOption
        The home counts as an engine that has kept the prompt, unless another one has.
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


def find_prompt_home(prompt: Chains, names: list[str]) -> str | None:
    """
    Return the engine at which requests with a long shared prompt meet.

    Parameters
    ----------
    prompt : list of (str, int)
        Begins of the prompt; the last one belongs to the request alone.
    names : list of str
        Engines that may get the request.

    Returns
    -------
    str or None
        None if what is shared is short, or there are no engines.
    """
    shared, tokens = prompt[-2] if len(prompt) > 1 else ("", 0)
    return find_home(shared, names) if tokens >= LONG_PROMPT_TOKENS else None

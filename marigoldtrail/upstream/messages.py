"""JSON messages of the upstream interface."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from marigoldtrail.upstream.types import StageCall

MAX_TEXT_CHARS = 200


class LoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer of ``GET /load``.

    Parameters
    ----------
    instance : str
        Id of the process; a restarted process has a new id.
    started_ms, sampled_ms : int
        Wall times of the start and of the sample, in milliseconds.
    state : str
        State at the time of the sample.
    running, capacity, cold_slots : int
        Calls in progress, and their limits when warm and in cold start.
    models : list of str
        Loaded models.
    """

    instance: str
    state: Literal["cold", "warming", "warm", "leaving", "down"]
    started_ms: int = 0
    sampled_ms: int = 0
    running: int = 0
    capacity: int = 0
    cold_slots: int = 0
    models: list[str] = msgspec.field(default_factory=list)


class EngineOrder(msgspec.Struct, kw_only=True, frozen=True):
    """
    Order to an engine.

    Parameters
    ----------
    fencing : int
        Fencing number.
    action : str
        ``load_model``, ``load_adapter``, ``load_version`` or ``change_role``.
    model, version, adapter : str
        What the action applies to.
    """

    fencing: int
    action: str
    model: str = ""
    version: str = ""
    adapter: str = ""


class OrderReply(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer to an order.

    Parameters
    ----------
    state : str
        ``accepted`` while the engine carries the order out, ``done`` or ``refused``.
    detail : str
        Reason for a refusal.
    """

    state: Literal["accepted", "done", "refused"]
    detail: str = ""


class OutcomeReply(msgspec.Struct, kw_only=True, frozen=True):
    """
    Outcome of an earlier call.

    Parameters
    ----------
    state : str
        ``done`` or ``not_found``.
    output : object
        Output of a call that is done.
    """

    state: Literal["done", "not_found"]
    output: Any = None


class CacheEvent(msgspec.Struct, kw_only=True, frozen=True):
    """
    Change of an engine's prefix cache.

    Parameters
    ----------
    number : int
        Number of the event; a gap means that events were lost.
    kind : str
        ``stored`` or ``evicted``.
    block : str
        Id of the block.
    """

    number: int
    kind: Literal["stored", "evicted"]
    block: str


class CacheEvents(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer of ``GET /cache-events``.

    Parameters
    ----------
    events : list of CacheEvent
        Events after the number asked for.
    next : int
        Number to pass in the next request.
    """

    events: list[CacheEvent]
    next: int = 0


class WireAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Body of an answer of a pool or service."""

    request_id: str
    attempt_id: str
    client_account: str
    output: Any
    stage: str = ""


class WireChunk(msgspec.Struct, frozen=True):
    """One event of a stream."""

    n: int
    text: str
    count: int = 1
    request_id: str = ""
    attempt_id: str = ""
    client_account: str = ""


class _WireCall(msgspec.Struct, kw_only=True, frozen=True):
    request_id: str
    attempt_id: str
    client_account: str
    stage: str
    deadline_ms: int
    input: Any


class _WireCompletion(msgspec.Struct, kw_only=True, frozen=True):
    request_id: str
    attempt_id: str
    client_account: str
    priority: int
    deadline_ms: int
    model: str
    version: str
    adapter: str
    max_tokens: int
    resume_from: int
    prompt: str
    stream: bool = True


_encoder = msgspec.json.Encoder()


def build_prompt(value: Any) -> str:
    """
    Return the prompt for the input of a generation.

    Parameters
    ----------
    value : object
        JSON value.

    Returns
    -------
    str
        A string unchanged; any other value as JSON with sorted keys.

    Examples
    --------
    >>> build_prompt({"b": 1, "a": 2})
    '{"a":2,"b":1}'
    """
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value, order="sorted").decode()


def encode_call(call: StageCall) -> bytes:
    """Encode the body of a call to a pool or service."""
    return _encoder.encode(
        _WireCall(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            client_account=call.client_account,
            stage=call.stage,
            deadline_ms=call.deadline_ms,
            input=call.input,
        )
    )


def encode_completion(call: StageCall) -> bytes:
    """Encode the body of a call to an engine."""
    return _encoder.encode(
        _WireCompletion(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            client_account=call.client_account,
            priority=call.priority,
            deadline_ms=call.deadline_ms,
            model=call.model,
            version=call.version,
            adapter=call.adapter,
            max_tokens=call.max_tokens,
            resume_from=call.resume_from,
            prompt=build_prompt(call.input),
        )
    )


def find_mismatch(call: StageCall, answer: Any) -> str:
    """
    Compare the ids of an answer with those of its call.

    Parameters
    ----------
    call : StageCall
        The call.
    answer : object
        Has ``request_id``, ``attempt_id`` and ``client_account``.

    Returns
    -------
    str
        Description of the first id that differs; empty if the answer belongs to the call.
    """
    for name in ("request_id", "attempt_id", "client_account"):
        expected = getattr(call, name)
        actual = getattr(answer, name)
        if actual != expected:
            return f"{name} is {actual[:MAX_TEXT_CHARS]!r}; expected {expected!r}"
    return ""

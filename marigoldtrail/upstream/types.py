"""Types of the upstream interface: calls, answers and token streams."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec


class StageCall(msgspec.Struct, kw_only=True, frozen=True):
    """
    One attempt of one stage.

    Parameters
    ----------
    request_id, attempt_id, client_account, stage : str
        Ids by which the answer is matched. An attempt id is never used for a second call.
    path : str
        Path of the call, for all kinds but ``"generate"``.
    kind : str
        Kind of the stage, for example ``"rerank"``.
    model, version, adapter : str
        Model that serves the stage; empty if it uses none.
    priority : int
        0 is the most urgent.
    deadline_ms : int
        Milliseconds left for this attempt.
    input : object
        JSON value.
    max_tokens : int
        Maximum number of tokens of the whole generation, including those already forwarded.
    resume_from : int
        Number of tokens already forwarded.
    warm_instance : str
        Instance that the caller's view lists as warm; empty if unknown. Without a slot, a
        connection to another instance of a reporting upstream fails with ``NO_SLOT``, ``not_run``
        before the first byte, with the instance found as the failure's ``hint``.
    slot_id : str
        Slot held for the call; with one, the call may go to a cold instance.
    """

    request_id: str
    attempt_id: str
    client_account: str
    stage: str
    path: str = "/"
    kind: str = "service"
    model: str = ""
    version: str = ""
    adapter: str = ""
    priority: int = 5
    deadline_ms: int = 11_000
    input: Any = None
    max_tokens: int = 512
    resume_from: int = 0
    warm_instance: str = ""
    slot_id: str = ""


class StageAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer of a pool or service.

    Parameters
    ----------
    request_id, attempt_id, client_account : str
        As the upstream returned them; the caller compares them with its call.
    output : object
        JSON value.
    instance : str
        Instance of the upstream that answered; empty if unknown.
    state : str
        State in the reply header, for example ``"warm"``; empty if not given.
    load : int
        Load in the reply header in 1/255 of capacity; -1 if not given.
    stage : str
        Stage as the upstream returned it; empty if its protocol does not carry it.
    """

    request_id: str
    attempt_id: str
    client_account: str
    output: Any
    instance: str = ""
    state: str = ""
    load: int = -1
    stage: str = ""


class TokenChunk(msgspec.Struct, kw_only=True, frozen=True):
    """
    Consecutive tokens of a stream.

    Parameters
    ----------
    first : int
        Number of the first token; the first token of a generation is 0.
    text : str
        Text of all tokens of the chunk.
    count : int
        Number of tokens.
    """

    first: int
    text: str
    count: int = 1


class TokenStream(Protocol):
    """
    Asynchronous iterator over the `TokenChunk` values of one attempt.

    It ends with ``StopAsyncIteration`` only after the engine's end marker. A stream that breaks
    yields a `marigoldtrail.errors.Failure` as its last item; where no stream could be opened, the
    context manager of ``UpstreamClient.stream`` yields a `Failure` in place of it. The attributes
    ``request_id``, ``attempt_id`` and ``client_account`` are as the engine returned them; empty if
    it returns none.
    """

    instance: str
    state: str
    request_id: str
    attempt_id: str
    client_account: str

    def __aiter__(self) -> TokenStream:
        """Return itself."""

    async def __anext__(self) -> Any:
        """Return the next `TokenChunk`, or a `Failure` as the last item."""

    async def aclose(self) -> None:
        """Cancel the attempt at the engine and release the connection."""

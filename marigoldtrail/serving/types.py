"""Types of the serving interface: requests, answers and sinks."""

from __future__ import annotations

import hashlib
from typing import Any, Protocol

import msgspec

from marigoldtrail.schema.generated.records import ResultRecord


class PipelineRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A validated request of a caller.

    Parameters
    ----------
    request_id : str
        Id of this request, as `marigoldtrail.fleet.new_request_id` returns it.
    pipeline : str
        Name of the pipeline.
    client_account : str
        The caller's account.
    idempotency_key : str
        The caller's key; the request id if none was given.
    priority : int
        0 is the most urgent.
    deadline : float
        Monotonic time by which the answer is due, in seconds.
    input : object
        JSON value.
    stream : bool
        Whether the caller asked for the tokens as a stream.
    digest : str
        Digest of the body, hexadecimal.
    """

    request_id: str
    pipeline: str
    client_account: str
    idempotency_key: str
    deadline: float
    input: Any
    digest: str
    priority: int = 5
    stream: bool = False


class Answer(msgspec.Struct, kw_only=True, frozen=True):
    """
    A complete answer, with its record committed.

    Parameters
    ----------
    request_id : str
        Id of the request.
    output : object
        JSON value; the whole text of a generation.
    count : int
        Number of tokens; 1 for an answer that was not generated.
    digest : str
        SHA-256 of the result, hexadecimal; see `compute_digest`.
    record : ResultRecord
        The committed record.
    """

    request_id: str
    output: Any
    count: int
    digest: str
    record: ResultRecord


class Sink(Protocol):
    """Receiver of a stream's tokens."""

    async def token(self, first: int, text: str) -> None:
        """Forward consecutive tokens; `first` is the number of the first one."""


def text_of(output: Any) -> str:
    """
    Return the text that the digest of a result covers.

    Parameters
    ----------
    output : object
        JSON value.

    Returns
    -------
    str
        A string unchanged; other values as JSON with sorted keys and no spaces.

    Examples
    --------
    >>> text_of("ab"), text_of({"b": 1, "a": "x"})
    ('ab', '{"a":"x","b":1}')
    """
    if isinstance(output, str):
        return output
    return msgspec.json.encode(output, order="sorted").decode()


def compute_digest(output: Any) -> str:
    """
    Return the digest of a result.

    Parameters
    ----------
    output : object
        JSON value.

    Returns
    -------
    str
        SHA-256 of `text_of`, hexadecimal.
    """
    return hashlib.sha256(text_of(output).encode()).hexdigest()

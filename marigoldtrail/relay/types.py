"""What the relay knows of requests, answers and upstreams, free of any wire format."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Headers = list[tuple[bytes, bytes]]


class RequestFacts(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the head of a caller's request says.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller; empty if it has none.
    deadline_s : float or None
        Seconds that the caller will wait; None if it does not say.
    key : str
        Key of the client account; empty if there is none.
    prompt_tokens, output_tokens : int
        Length of the prompt and greatest length of the output.
    prefix : tuple of (str, int)
        Parts of the prompt in their order, with their tokens.
    piece_counts : tuple of int
        Pieces of each stage.
    piece_key : str
        Key of the input of the first stages.
    resume_after : str
        Id of the last event that the caller has; empty if it starts anew.
    """

    request_id: str = ""
    deadline_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[tuple[str, int], ...] = ()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    resume_after: str = ""


class AnswerFacts(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the head of an upstream's answer says.

    Parameters
    ----------
    request_id : str
        Request that it belongs to; empty if it does not say.
    is_signed : bool
        Whether the upstream vouches for the answer.
    is_refusal : bool
        Whether the upstream says that it did not run the request.
    is_other_upstream : bool
        Whether another upstream than the expected one has answered.
    is_encoded : bool
        Whether the body is not the upstream's own bytes.
    lacks_inputs : bool
        Whether results of earlier stages were gone.
    is_leaving : bool
        Whether the upstream says that it will stop soon.
    pause_s : float or None
        Seconds for which a refusing upstream wants no requests from this host.
    keep_alive_s : float or None
        Seconds after which the upstream closes an idle connection.
    """

    request_id: str = ""
    is_signed: bool = False
    is_refusal: bool = False
    is_other_upstream: bool = False
    is_encoded: bool = False
    lacks_inputs: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    keep_alive_s: float | None = None


class Forwarding(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the system adds to a request that it passes on.

    Parameters
    ----------
    upstream : str
        The only upstream that may run it.
    left_s : float
        Seconds until the deadline.
    account : str
        Client account; empty if there is none.
    hides_key : bool
        Whether the key is left out.
    priority : int or None
        Rank among the requests of an engine; None to leave it open.
    inputs : tuple of str
        Handles of the results that the request reads.
    resume_after : str
        Id of the last event that was passed on; empty for a new stream.
    """

    upstream: str
    left_s: float
    account: str = ""
    hides_key: bool = False
    priority: int | None = None
    inputs: tuple[str, ...] = ()
    resume_after: str = ""


class Dialect(msgspec.Struct, kw_only=True, frozen=True):
    """
    How a platform writes what the relay knows.

    Parameters
    ----------
    read_request : callable
        Facts from the headers of a request.
    build_request : callable
        Headers of a request to an upstream, from those of the caller.
    read_answer : callable
        Facts from the status and headers of an answer.
    build_answer : callable
        Headers of the answer to the caller, from those of the upstream.
    """

    read_request: Callable[[Headers], RequestFacts]
    build_request: Callable[[Headers, Forwarding], Headers]
    read_answer: Callable[[int, Headers], AnswerFacts]
    build_answer: Callable[[Headers], Headers]

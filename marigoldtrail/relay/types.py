"""Request and response metadata of the relay, independent of the wire format."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Headers = list[tuple[bytes, bytes]]


class RequestInfo(msgspec.Struct, kw_only=True, frozen=True):
    """
    Metadata from the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller; empty if the caller sent none.
    deadline_s : float or None
        Seconds that the caller waits for the response; None if not stated.
    key : str
        API key of the client account; empty if there is none.
    prompt_tokens, output_tokens : int
        Length of the prompt and maximum length of the output.
    prefix : tuple of (str, int)
        Identity and token count of each part of the prompt, in order.
    piece_counts : tuple of int
        Number of pieces of each stage.
    piece_key : str
        Key that identifies the input of the first stages.
    resume_after : str
        Id of the last event that the caller received; empty for a new stream.
    is_forwarded : bool
        Whether another entry has forwarded the request.
    resumed_id : str
        Id of the attempt that brought the first event of the stream that the caller resumes; empty
        for a new stream.
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
    is_forwarded: bool = False
    resumed_id: str = ""


class ResponseInfo(msgspec.Struct, kw_only=True, frozen=True):
    """
    Metadata from the status and headers of an upstream's response.

    Parameters
    ----------
    request_id : str
        Id of the request to which it responds; empty if not stated.
    is_signed : bool
        Whether the response is signed by the upstream.
    is_refusal : bool
        Whether the upstream states that it did not run the request.
    is_misdirected : bool
        Whether a different upstream than the expected one responded.
    is_encoded : bool
        Whether the body has a content encoding.
    is_missing_inputs : bool
        Whether results of earlier stages were no longer available.
    is_leaving : bool
        Whether the upstream announces that it will stop soon.
    pause_s : float or None
        Seconds for which a refusing upstream accepts no requests from this host.
    keep_alive_s : float or None
        Seconds after which the upstream closes an idle connection.
    requests_per_s : float or None
        Requests a second that the upstream takes from all hosts together; None if not stated.
    max_rejections : float or None
        Rejections in a second beyond which the upstream crashes; None if it is not brittle.
    """

    request_id: str = ""
    is_signed: bool = False
    is_refusal: bool = False
    is_misdirected: bool = False
    is_encoded: bool = False
    is_missing_inputs: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    keep_alive_s: float | None = None
    requests_per_s: float | None = None
    max_rejections: float | None = None


class Forwarding(msgspec.Struct, kw_only=True, frozen=True):
    """
    Metadata that the relay adds to a forwarded request.

    Parameters
    ----------
    upstream : str
        The only upstream that may run it.
    left_s : float
        Seconds until the deadline.
    account : str
        Client account; empty if there is none.
    removes_key : bool
        Whether the API key is removed from the headers.
    priority : int or None
        Scheduling rank at the engine, 0 is the most urgent; None to set none.
    inputs : tuple of str
        Handles of the stage results that the request reads.
    resume_after : str
        Id of the last forwarded event; empty for a new stream.
    """

    upstream: str
    left_s: float
    account: str = ""
    removes_key: bool = False
    priority: int | None = None
    inputs: tuple[str, ...] = ()
    resume_after: str = ""


class HeaderCodec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Conversion between HTTP headers and metadata, as defined by a platform.

    Parameters
    ----------
    parse_request : callable
        Returns the metadata of a request from its headers.
    build_request_headers : callable
        Returns the headers of a request to an upstream from those of the caller.
    build_forwarded_headers : callable
        Returns the headers of a request to another entry from those of the caller, the seconds
        that are left, and the name of this host.
    parse_response : callable
        Returns the metadata of a response from its status and headers.
    build_response_headers : callable
        Returns the headers of the response to the caller from those of the upstream.
    """

    parse_request: Callable[[Headers], RequestInfo]
    build_request_headers: Callable[[Headers, Forwarding], Headers]
    build_forwarded_headers: Callable[[Headers, float, str], Headers]
    parse_response: Callable[[int, Headers], ResponseInfo]
    build_response_headers: Callable[[Headers], Headers]

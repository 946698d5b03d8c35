"""RFC 9457 problem documents for failed and refused requests."""

from __future__ import annotations

import math

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState

CONTENT_TYPE = b"application/problem+json"
TYPE_PREFIX = "urn:marigoldtrail:problem:"

_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ACCOUNT: 403,
    Reason.UNKNOWN_PIPELINE: 404,
    Reason.NOT_FOUND: 404,
    Reason.KEY_MISMATCH: 409,
    Reason.CLAIM_PENDING: 409,
    Reason.CLAIM_MAY_HAVE_RUN: 409,
    Reason.UPSTREAM_ERROR: 502,
    Reason.BAD_ANSWER: 502,
    Reason.NO_MEMORY: 502,
    Reason.UNREACHABLE: 502,
    Reason.DISCONNECTED: 502,
    Reason.DEADLINE: 504,
    Reason.TIMEOUT: 504,
    Reason.DISK_FULL: 507,
    Reason.UNKNOWN_OUTCOME: 500,
    Reason.RECORD_NOT_DURABLE: 500,
    Reason.DISK_ERROR: 500,
    Reason.CORRUPT: 500,
    Reason.INTERNAL: 500,
}
# All other reasons are temporary states of the fleet.
_DEFAULT_STATUS = 503


class Problem(msgspec.Struct, kw_only=True, frozen=True):
    """
    RFC 9457 problem document.

    Parameters
    ----------
    type, title : str
        Identifier and name of the kind of problem.
    status : int
        HTTP status.
    detail : str
        Human-readable explanation.
    run_state : str
        ``not_run`` only if the request certainly had no effect.
    reason, step, peer : str
        Cause of the failure, and the step and peer at which it occurred.
    retry_after_s : float
        Seconds to wait before a retry; 0 if unknown.
    alternatives : list of str
        Addresses of other entries.
    request_id : str
        Id of the request; empty if none was assigned.
    faults : list of str
        Faults found in a document.
    extra : dict
        Additional fields, for example the winner of a conflict.
    """

    type: str
    title: str
    status: int
    detail: str
    run_state: str
    reason: str
    step: str
    peer: str
    retry_after_s: float
    alternatives: list[str]
    request_id: str
    faults: list[str] = msgspec.field(default_factory=list)
    extra: dict[str, str] = msgspec.field(default_factory=dict)


def build_problem(
    failure: Failure,
    *,
    request_id: str = "",
    status: int = 0,
    alternatives: list[str] | None = None,
    faults: list[str] | None = None,
    extra: dict[str, str] | None = None,
) -> Problem:
    """
    Build the problem document for a failure.

    Parameters
    ----------
    failure : Failure
        What happened.
    request_id : str
        Id of the request; empty if it has none.
    status : int
        HTTP status; 0 for that of the failure reason.
    alternatives : list of str or None
        Addresses of other entries.
    faults : list of str or None
        Faults found in a document.
    extra : dict or None
        Additional fields.

    Returns
    -------
    Problem
        The document.

    Examples
    --------
    >>> exc = Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="admission")
    >>> build_problem(exc).status
    503
    """
    return Problem(
        type=TYPE_PREFIX + failure.reason.value,
        title=failure.reason.value.replace("_", " ").capitalize(),
        status=status or _STATUS.get(failure.reason, _DEFAULT_STATUS),
        detail=failure.detail,
        run_state=failure.run_state.value,
        reason=failure.reason.value,
        step=failure.step,
        peer=failure.peer,
        retry_after_s=failure.retry_after_s,
        alternatives=alternatives or [],
        request_id=request_id,
        faults=faults or [],
        extra=extra or {},
    )


def problem_headers(problem: Problem) -> list[tuple[bytes, bytes]]:
    """
    Return the response headers of a problem document.

    Parameters
    ----------
    problem : Problem
        The document.

    Returns
    -------
    list of tuple
        Content type, and ``retry-after`` rounded up to whole seconds if known.
    """
    headers = [(b"content-type", CONTENT_TYPE)]
    if problem.retry_after_s > 0:
        headers.append((b"retry-after", str(math.ceil(problem.retry_after_s)).encode()))
    return headers


def bad_request_failure(detail: str, *, step: str = "request.parse") -> Failure:
    """
    Return the failure for an invalid request.

    Parameters
    ----------
    detail : str
        What is invalid and what is allowed.
    step : str
        Step that found the fault.

    Returns
    -------
    Failure
        Always ``NOT_RUN``.
    """
    return Failure(reason=Reason.BAD_REQUEST, run_state=RunState.NOT_RUN, step=step, detail=detail)


def problem_to_failure(problem: Problem, peer: str) -> Failure:
    """
    Return the failure that a problem document describes.

    Parameters
    ----------
    problem : Problem
        The document.
    peer : str
        Peer of the failure if the document names none.

    Returns
    -------
    Failure
        The failure; its hint lists the alternatives, separated by commas.
    """
    faults = "; ".join(problem.faults)
    return Failure(
        reason=Reason(problem.reason),
        run_state=RunState(problem.run_state),
        step=problem.step,
        peer=problem.peer or peer,
        detail=faults or problem.detail,
        retry_after_s=problem.retry_after_s,
        hint=",".join(problem.alternatives),
    )

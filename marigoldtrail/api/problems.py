"""RFC 9457 problem documents for refusals."""

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
    Reason.UNREACHABLE: 502,
    Reason.DEADLINE: 504,
    Reason.TIMEOUT: 504,
    Reason.DISK_FULL: 507,
    Reason.UNKNOWN_OUTCOME: 500,
    Reason.RECORD_NOT_DURABLE: 500,
    Reason.DISK_ERROR: 500,
    Reason.CORRUPT: 500,
    Reason.INTERNAL: 500,
}
# All other reasons are states of the fleet that pass.
_DEFAULT_STATUS = 503


class Problem(msgspec.Struct, kw_only=True, frozen=True):
    """
    Problem document.

    Parameters
    ----------
    type, title : str
        What kind of problem it is.
    status : int
        HTTP status.
    detail : str
        Text for a person.
    run_state : str
        ``not_run`` only when it is certain that the request had no effect.
    reason, step, peer : str
        Why, and where it arose.
    retry_after_s : float
        Seconds after which another try makes sense; 0 if unknown.
    alternatives : list of str
        Addresses of other entries.
    request_id : str
        Id of the request; empty if it got none.
    faults : list of str
        Faults of a document.
    extra : dict
        Further facts, for example the winner of a conflict.
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
        Id of the request.
    status : int
        HTTP status; 0 for the one of the reason.
    alternatives : list of str or None
        Addresses of other entries.
    faults : list of str or None
        Faults of a document.
    extra : dict or None
        Further facts.

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
        Content type, and ``retry-after`` in whole seconds if it is known.
    """
    headers = [(b"content-type", CONTENT_TYPE)]
    if problem.retry_after_s > 0:
        headers.append((b"retry-after", str(math.ceil(problem.retry_after_s)).encode()))
    return headers


def bad_request(detail: str, *, step: str = "request.parse") -> Failure:
    """
    Return the failure for a request that is not valid.

    Parameters
    ----------
    detail : str
        What is wrong and what is allowed.
    step : str
        Where it was found.

    Returns
    -------
    Failure
        Always ``NOT_RUN``.
    """
    return Failure(reason=Reason.BAD_REQUEST, run_state=RunState.NOT_RUN, step=step, detail=detail)


def failure_of(problem: Problem, peer: str) -> Failure:
    """
    Return the failure that a problem document states.

    Parameters
    ----------
    problem : Problem
        The document.
    peer : str
        Named if the document names no peer.

    Returns
    -------
    Failure
        With the alternatives as its hint, separated by commas.
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

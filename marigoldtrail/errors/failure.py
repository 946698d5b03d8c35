"""Failure value that a call returns instead of its result."""

from __future__ import annotations

import enum
from typing import TypeGuard

import msgspec


class RunState(enum.StrEnum):
    """Whether refused or failed work may have had an effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(enum.StrEnum):
    """Why a call failed."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_PIPELINE = "unknown_pipeline"
    UNKNOWN_ACCOUNT = "unknown_account"
    NOT_FOUND = "not_found"
    KEY_MISMATCH = "key_mismatch"
    VIEW_NOT_CURRENT = "view_not_current"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out_of_service"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    NO_SLOT = "no_slot"
    NO_MEMORY = "no_memory"
    UPSTREAM_ERROR = "upstream_error"
    BAD_ANSWER = "bad_answer"
    UNREACHABLE = "unreachable"
    DISCONNECTED = "disconnected"
    TIMEOUT = "timeout"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN_OUTCOME = "unknown_outcome"
    CLAIM_PENDING = "claim_pending"
    CLAIM_MAY_HAVE_RUN = "claim_may_have_run"
    RECORD_NOT_DURABLE = "record_not_durable"
    DISK_FULL = "disk_full"
    DISK_ERROR = "disk_error"
    CORRUPT = "corrupt"
    STALE_EPOCH = "stale_epoch"
    STOPPING = "stopping"
    INTERNAL = "internal"


class Failure(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """
    Failure of a call, with its reason and the step and peer at which it occurred.

    Parameters
    ----------
    reason : Reason
        Why the call failed.
    run_state : RunState
        ``NOT_RUN`` only if the work certainly had no effect.
    step : str
        Step at which the failure occurred, for example ``"claim.open"``.
    peer : str
        Host, upstream or address involved; empty if none.
    detail : str
        Human-readable description.
    retry_after_s : float
        Recommended delay before a retry, in seconds; 0 if unknown.
    hint : str
        Where to retry, for example the host of the leader.

    Examples
    --------
    >>> exc = Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="claim.open")
    >>> is_failure(exc)
    True
    >>> str(exc)
    'claim.open: timeout (may_have_run)'
    """

    reason: Reason
    run_state: RunState
    step: str
    peer: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    hint: str = ""

    def __str__(self) -> str:
        where = f" at {self.peer}" if self.peer else ""
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.step}{where}: {self.reason.value} ({self.run_state.value}){detail}"


def is_failure(value: object) -> TypeGuard[Failure]:
    """
    Tell whether a call returned a failure.

    Parameters
    ----------
    value : object
        Return value of a call.

    Returns
    -------
    bool
        True for a `Failure`.
    """
    return isinstance(value, Failure)

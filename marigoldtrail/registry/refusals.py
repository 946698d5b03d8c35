"""Failures with which a control host refuses the calls of other hosts."""

from __future__ import annotations

from marigoldtrail.consensus import Group
from marigoldtrail.errors import Failure, Reason, RunState


class Refusals:
    """
    Makes the failures of one control host.

    Parameters
    ----------
    host : str
        Name of this host within the group.
    group : Group
        The log group.
    """

    __slots__ = ("_host", "_group")

    def __init__(self, *, host: str, group: Group) -> None:
        self._host = host
        self._group = group

    def not_leader(self, step: str) -> Failure:
        """Return the failure of a call that only the leader handles, with the leader if known."""
        return self.refuse(Reason.NOT_LEADER, step, hint=self._group.leader or "")

    def refuse(self, reason: Reason, step: str, *, detail: str = "", hint: str = "") -> Failure:
        """
        Return the failure of a call that had no effect.

        Parameters
        ----------
        reason : Reason
            Why it is refused.
        step : str
            The call.
        detail : str
            Description for people.
        hint : str
            Host that may answer.

        Returns
        -------
        Failure
            ``NOT_RUN``.
        """
        return Failure(
            reason=reason,
            run_state=RunState.NOT_RUN,
            step=step,
            peer=self._host,
            detail=detail,
            hint="" if hint == self._host else hint,
        )

"""Log of automatic decisions with their reasons and inputs."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from marigoldtrail.schema.generated.control import Decision
from marigoldtrail.timers import Timers

MAX_DECISIONS = 2000

_log = logging.getLogger(__name__)


class DecisionLog:
    """
    Keeps the most recent decisions of one node in memory.

    Parameters
    ----------
    host : str
        Name of this host.
    timers : Timers
        Clock for the timestamps of decisions.
    """

    __slots__ = ("_host", "_timers", "_decisions", "_listeners")

    def __init__(self, *, host: str, timers: Timers) -> None:
        self._host = host
        self._timers = timers
        self._decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self._listeners: list[Callable[[Decision], None]] = []

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """
        Register a function to call with each new decision.

        Parameters
        ----------
        listener : callable
            Function that receives the decision; it must not block.
        """
        self._listeners.append(listener)

    def add(
        self, kind: str, subject: str, reason: str, *, request_id: str = "", **inputs: object
    ) -> None:
        """
        Record a decision.

        Parameters
        ----------
        kind : str
            Kind of decision, for example ``"refuse"`` or ``"eject"``.
        subject : str
            Upstream, host or pipeline that the decision concerns.
        reason : str
            Reason for the decision.
        request_id : str
            Id of the request that the decision belongs to; empty if none.
        **inputs
            Values that the decision was based on.
        """
        decision = Decision(
            wall_ms=self._timers.wall_ms(),
            host=self._host,
            kind=kind,
            subject=subject,
            reason=reason,
            request_id=request_id,
            inputs={key: str(value) for key, value in inputs.items()},
        )
        self._decisions.append(decision)
        _log.info("decision: %s %s: %s", kind, subject, reason, extra={"inputs": decision.inputs})
        for listener in self._listeners:
            listener(decision)

    def find(self, *, request_id: str = "", subject: str = "", limit: int = 100) -> list[Decision]:
        """
        Return recent decisions, newest last.

        Parameters
        ----------
        request_id, subject : str
            Return only decisions with this value; empty for all.
        limit : int
            Maximum number of decisions.

        Returns
        -------
        list of Decision
            The newest matching decisions.
        """
        found = [
            decision
            for decision in self._decisions
            if request_id in ("", decision.request_id) and subject in ("", decision.subject)
        ]
        return found[-limit:] if limit > 0 else []

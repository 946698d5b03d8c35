"""Decides whether a call may be sent on a connection: instances, cold starts, evidence."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.slots import SlotGrant
from marigoldtrail.timers import Timers
from marigoldtrail.upstream.connections import (
    Connection,
    ConnectionPool,
    RawAnswer,
    parse_number,
)
from marigoldtrail.upstream.messages import LoadReport
from marigoldtrail.upstream.types import StageCall

# Evidence that is still not reflected in the view is reported again after this time.
EVIDENCE_INTERVAL_S = 1.0

COLD_STATES = ("cold", "warming")
UNAVAILABLE_STATES = ("leaving", "down")

EvidenceHandler = Callable[[str, str, str, str], None]


class StatusView(Protocol):
    """The part of `marigoldtrail.fleet.FleetView` that describes upstreams."""

    def upstream_status(self, upstream: str) -> UpstreamStatus | None:
        """Return the state of an upstream; None if it is unknown."""
        ...


class Gate:
    """
    Refuses calls without a slot to upstreams that are not known to be warm.

    Parameters
    ----------
    view : StatusView
        States of the upstreams.
    timers : Timers
        Clock.
    on_evidence : callable
        Called with upstream, instance, state and reason; must not block.
    """

    __slots__ = ("_view", "_timers", "_on_evidence")

    def __init__(self, *, view: StatusView, timers: Timers, on_evidence: EvidenceHandler) -> None:
        self._view = view
        self._timers = timers
        self._on_evidence = on_evidence

    def needs_slot(self, upstream: Upstream, pool: ConnectionPool) -> bool:
        """Tell whether a call needs a slot, by the view or by evidence that contradicts it."""
        status = self._view.upstream_status(upstream.name)
        if status is None or status.state != "warm":
            return True
        if pool.contradicted_status is None:
            return False
        # The view has changed since the evidence: the slot owner has evaluated it.
        if pool.contradicted_status != _status_key(status):
            pool.contradicted_status = None
            pool.has_abnormal_close = False
            return False
        return True

    def check_state(
        self, upstream: Upstream, pool: ConnectionPool, step: str, slot: SlotGrant | None
    ) -> Failure | None:
        """Refuse a call that the view or earlier evidence rules out."""
        status = self._view.upstream_status(upstream.name)
        if status is not None and status.state in UNAVAILABLE_STATES:
            return _refusal(upstream, step, Reason.NO_UPSTREAM, f"upstream is {status.state}")
        if slot is not None or not self.needs_slot(upstream, pool):
            return None
        if pool.contradicted_status is not None:
            self._repeat_evidence(upstream, pool)
        return _refusal(upstream, step, Reason.NO_SLOT, "upstream is not known to be warm")

    def check_report(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        report: LoadReport,
        step: str,
        slot: SlotGrant | None,
    ) -> Failure | None:
        """Compare the load report of a new connection with the view and the slot."""
        if report.state in UNAVAILABLE_STATES:
            self.add_evidence(upstream, pool, report.instance, report.state, "load report")
            return _refusal(upstream, step, Reason.NO_UPSTREAM, f"upstream is {report.state}")
        expected = self.expected_instance(upstream, slot)
        if expected and report.instance != expected:
            state = report.state if report.state in COLD_STATES else "cold"
            reason = f"instance is {report.instance}; expected {expected}"
            self.add_evidence(upstream, pool, report.instance, state, reason)
            return _refusal(upstream, step, Reason.NO_SLOT, reason, hint=report.instance)
        if slot is None and report.state in COLD_STATES:
            self.add_evidence(upstream, pool, report.instance, report.state, "load report")
            detail = f"upstream is {report.state}"
            return _refusal(upstream, step, Reason.NO_SLOT, detail, hint=report.instance)
        return None

    def check_without_report(
        self, upstream: Upstream, pool: ConnectionPool, step: str, slot: SlotGrant | None
    ) -> Failure | None:
        """Treat a new connection after an abnormal close as evidence of a cold start."""
        if slot is not None or not pool.has_abnormal_close:
            return None
        reason = "new connection after an abnormal close"
        self.add_evidence(upstream, pool, "", "cold", reason)
        return _refusal(upstream, step, Reason.NO_SLOT, reason)

    def check_answer(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        instance: str,
        state: str,
        slot: SlotGrant | None,
    ) -> None:
        """Record evidence in the headers of an answer; the answer stays valid."""
        expected = conn.instance or self.expected_instance(upstream, slot)
        if not expected and slot is None:
            # An upstream without load reports may have restarted while no connection was open.
            expected = pool.last_instance
        if instance:
            conn.instance = conn.instance or instance
            pool.last_instance = instance
        if state in UNAVAILABLE_STATES:
            self.add_evidence(upstream, pool, instance, state, "answer header")
        elif instance and expected and instance != expected:
            reason = f"answer header: instance is {instance}; expected {expected}"
            self.add_evidence(upstream, pool, instance, "cold", reason)
        elif slot is None and state in COLD_STATES:
            self.add_evidence(upstream, pool, instance, state, "answer header")

    def expected_instance(self, upstream: Upstream, slot: SlotGrant | None) -> str:
        """Return the instance that a call is meant for; empty if it is not known."""
        if slot is not None:
            return slot.instance
        status = self._view.upstream_status(upstream.name)
        return status.instance if status is not None else ""

    def add_evidence(
        self, upstream: Upstream, pool: ConnectionPool, instance: str, state: str, reason: str
    ) -> None:
        """Stop calls of this node without a slot immediately, and report the evidence."""
        status = self._view.upstream_status(upstream.name)
        pool.contradicted_status = _status_key(status) if status is not None else ("", 0)
        pool.evidence = (instance, state, reason)
        pool.evidence_reported_at = self._timers.now()
        self._on_evidence(upstream.name, instance, state, reason)

    def _repeat_evidence(self, upstream: Upstream, pool: ConnectionPool) -> None:
        if self._timers.now() - pool.evidence_reported_at >= EVIDENCE_INTERVAL_S:
            pool.evidence_reported_at = self._timers.now()
            self._on_evidence(upstream.name, *pool.evidence)


def _status_key(status: UpstreamStatus) -> tuple[str, int]:
    return (status.instance, status.changed_ms)


def _refusal(
    upstream: Upstream, step: str, reason: Reason, detail: str, *, hint: str = ""
) -> Failure:
    return Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step=step,
        peer=upstream.name,
        detail=detail,
        hint=hint,
    )


def resolve_slot(upstream: Upstream, call: StageCall, slot: SlotGrant | None) -> SlotGrant | None:
    """
    Return the slot that a call holds.

    Parameters
    ----------
    upstream : Upstream
        Upstream that is called.
    call : StageCall
        The call; its `slot_id` without `slot` means a slot on any instance.
    slot : SlotGrant or None
        The granted slot, if the caller passes it.

    Returns
    -------
    SlotGrant or None
        None for a call without a slot.
    """
    if slot is not None or not call.slot_id:
        return slot
    return SlotGrant(
        slot_id=call.slot_id, upstream=upstream.name, epoch=0, expires_in_s=0.0, instance=""
    )


def parse_answer_headers(answer: RawAnswer) -> tuple[str, str, int]:
    """
    Return instance, state and load from the headers of an answer.

    Parameters
    ----------
    answer : RawAnswer
        The answer.

    Returns
    -------
    tuple of str, str, int
        Empty texts and -1 where a header is missing or malformed.
    """
    instance = answer.headers.get(b"x-instance", b"").decode("latin-1")
    state = answer.headers.get(b"x-state", b"").decode("latin-1")
    load = parse_number(answer.headers.get(b"x-load", b""))
    return instance, state, min(255, load) if load is not None else -1

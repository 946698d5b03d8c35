"""Settle claims that their entry left open; runs on the leader of a record group.

A claim is settled 15 s after its deadline. The deadline is measured on the monotonic clock from the
time at which this host, as leader, first saw the claim pending. Neither a wall-clock jump nor clock
skew between hosts can therefore settle a claim too early.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Literal, Protocol

import msgspec
import trio

from marigoldtrail.errors import Failure
from marigoldtrail.records.claim import Claim, ClaimState, PendingClaim, SettledBy
from marigoldtrail.records.machine import RecordMachine, SettleCommand, encode_command
from marigoldtrail.schema.generated.records import SettleClaim
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers, run_guarded

SWEEP_INTERVAL_S = 1.0
SETTLE_GRACE_S = 15.0
# Outcome queries for claims that may have run: the first delay is short, so that a lost answer is
# recovered soon, and it doubles up to a maximum while the outcome stays unknown.
FIRST_QUERY_DELAY_S = 2.0
MAX_QUERY_DELAY_S = 300.0
MAX_DEADLINE_S = 11.0
QUERY_TIMEOUT_S = 5.0
PROPOSE_TIMEOUT_S = 5.0
MAX_CONCURRENT_QUERIES = 16


class Outcome(msgspec.Struct, frozen=True):
    """
    Outcome of an attempt as reported by its upstream.

    Parameters
    ----------
    state : str
        ``"done"`` or ``"not_found"``.
    output : object
        Output of a completed attempt; a JSON value.
    """

    state: Literal["done", "not_found"]
    output: Any = None


class OutcomeLike(Protocol):
    """Protocol of `Outcome`, also satisfied by the reply type of the upstream client."""

    @property
    def state(self) -> str:
        """Return ``"done"`` or ``"not_found"``."""
        ...

    @property
    def output(self) -> Any:
        """Return the output of a completed attempt."""
        ...


OutcomeQuery = Callable[[str, str, str], Awaitable[OutcomeLike | Failure]]


class LogGroup(Protocol):
    """Protocol of the `marigoldtrail.consensus.Group` members that records use."""

    @property
    def leader(self) -> str | None:
        """Return the host of the leader, if known."""
        ...

    @property
    def is_leader(self) -> bool:
        """Tell whether this host leads the group."""
        ...

    async def propose(self, command: bytes, *, timeout_s: float) -> object:
        """Commit and apply a command; return the result of the state machine or a `Failure`."""
        ...

    async def read_barrier(self, *, timeout_s: float) -> None | Failure:
        """Confirm leadership and wait until all earlier commits are applied on this host."""
        ...


class QuerySchedule(msgspec.Struct):
    """Monotonic time of the next outcome query for a claim, and the delay before it."""

    next_query_at: float
    backoff_s: float


class Sweeper:
    """
    Settles overdue claims of one record group and queries uncertain outcomes.

    Parameters
    ----------
    log : LogGroup
        The replicated log.
    machine : RecordMachine
        The state machine of the group.
    query_outcome : callable
        Asynchronous function that takes an upstream, an outcome path and an attempt id.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Records a decision for each settle command that is proposed.
    """

    __slots__ = (
        "_log",
        "_machine",
        "_query_outcome",
        "_timers",
        "_telemetry",
        "_due_at",
        "_query_schedules",
        "_settling_attempts",
    )

    def __init__(
        self,
        *,
        log: LogGroup,
        machine: RecordMachine,
        query_outcome: OutcomeQuery,
        timers: Timers,
        telemetry: Telemetry,
    ) -> None:
        self._log = log
        self._machine = machine
        self._query_outcome = query_outcome
        self._timers = timers
        self._telemetry = telemetry
        self._due_at: dict[str, float] = {}
        self._query_schedules: dict[str, QuerySchedule] = {}
        self._settling_attempts: set[str] = set()

    async def run(self) -> None:
        """Sweep once a second while this host leads the group, until cancelled."""
        limit = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
        async with trio.open_nursery() as nursery:
            async for now in self._timers.subscribe("records.sweeper", SWEEP_INTERVAL_S):
                if not self._log.is_leader:
                    self._due_at.clear()
                    self._query_schedules.clear()
                    continue
                for pending in self._find_overdue_claims(now):
                    self._settling_attempts.add(pending.claim.attempt_id)
                    nursery.start_soon(run_guarded, self._settle, pending, limit)
                for queryable in self._find_due_queries(now):
                    self._settling_attempts.add(queryable.claim.attempt_id)
                    nursery.start_soon(run_guarded, self._settle, queryable, limit)

    def _find_overdue_claims(self, now: float) -> list[PendingClaim]:
        pending = self._machine.claims.pending()
        known = self._due_at
        self._due_at = {}
        due = []
        for item in pending:
            attempt = item.claim.attempt_id
            at = known.get(attempt, now + _get_time_limit_s(item.claim) + SETTLE_GRACE_S)
            self._due_at[attempt] = at
            if now >= at and attempt not in self._settling_attempts:
                due.append(item)
        return due

    def _find_due_queries(self, now: float) -> list[PendingClaim]:
        """Return claims that may have run and whose next outcome query is due."""
        known = self._query_schedules
        self._query_schedules = {}
        due = []
        for item in self._machine.claims.find_queryable():
            attempt = item.claim.attempt_id
            schedule = known.get(attempt) or QuerySchedule(
                now + FIRST_QUERY_DELAY_S, FIRST_QUERY_DELAY_S
            )
            self._query_schedules[attempt] = schedule
            if now >= schedule.next_query_at and attempt not in self._settling_attempts:
                schedule.backoff_s = min(MAX_QUERY_DELAY_S, 2 * schedule.backoff_s)
                schedule.next_query_at = now + schedule.backoff_s
                due.append(item)
        return due

    async def _settle(self, pending: PendingClaim, limit: trio.CapacityLimiter) -> None:
        # The claim may be granted to another attempt while the upstreams are queried, so that the
        # fields of the current attempt are copied first.
        was_pending = pending.claim.state is ClaimState.PENDING
        attempt, stage, request_id, entry = (
            pending.claim.attempt_id,
            pending.claim.stage,
            pending.claim.request_id,
            pending.claim.entry,
        )
        try:
            async with limit:
                state, answer = await self._query_targets(pending.claim, attempt)
                if not was_pending and state != "done":
                    # The call may still reach the upstream; only ``done`` is conclusive.
                    return
                req = SettleClaim(
                    client_account=pending.client_account,
                    idempotency_key=pending.idempotency_key,
                    stage=stage,
                    request_id=request_id,
                    attempt_id=attempt,
                    state=state,
                    answer=answer,
                )
                command = SettleCommand(req, SettledBy.SWEEPER, self._timers.wall_ms())
                result = await self._log.propose(
                    encode_command(command), timeout_s=PROPOSE_TIMEOUT_S
                )
        finally:
            self._settling_attempts.discard(attempt)
        outcome = str(result) if isinstance(result, Failure) else state
        self._telemetry.decisions.add(
            "claim.sweep", stage, outcome, request_id=request_id, entry=entry, attempt=attempt
        )

    async def _query_targets(
        self, claim: Claim, attempt: str
    ) -> tuple[Literal["done", "not_run", "may_have_run"], bytes]:
        # A claim without targets has not sent any call.
        excluded = True
        for target in claim.targets:
            outcome: OutcomeLike | Failure | None = None
            if target.outcome_path:
                with trio.move_on_after(QUERY_TIMEOUT_S):
                    outcome = await self._query_outcome(
                        target.upstream, target.outcome_path, attempt
                    )
            if outcome is None or isinstance(outcome, Failure):
                excluded = False
            elif outcome.state == "done":
                return "done", msgspec.json.encode(outcome.output)
            elif outcome.state != "not_found" or not target.outcome_final:
                excluded = False
        return ("not_run" if excluded else "may_have_run"), b""


def _get_time_limit_s(claim: Claim) -> float:
    stated_s = (claim.deadline_ms - claim.opened_ms) / 1000
    return min(max(stated_s, 0.0), MAX_DEADLINE_S)

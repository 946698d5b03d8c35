"""Settles claims whose entry did not: the sweeper on the leader of a record group.

A claim is due 15 s after its deadline. The deadline is counted on the monotonic clock from the
moment at which this host first saw the claim pending while it led the group, so that neither a
clock jump nor a difference between the clocks of two hosts settles a claim too early.
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
from marigoldtrail.timers import Timers

SWEEP_INTERVAL_S = 1.0
GRACE_S = 15.0
# A claim whose answer was lost is settled soon if its upstream can tell; one that cannot be settled
# is asked about less and less often.
FIRST_ASK_S = 2.0
LONGEST_ASK_S = 300.0
MAX_DEADLINE_S = 11.0
ASK_TIMEOUT_S = 5.0
PROPOSE_TIMEOUT_S = 5.0
MAX_CONCURRENT_QUESTIONS = 16


class Outcome(msgspec.Struct, frozen=True):
    """
    What an upstream says about an attempt.

    Parameters
    ----------
    state : str
        ``"done"`` or ``"not_found"``.
    output : object
        Output of an attempt that is done; a JSON value.
    """

    state: Literal["done", "not_found"]
    output: Any = None


class OutcomeLike(Protocol):
    """An `Outcome`, or the upstream client's own type with the same fields."""

    @property
    def state(self) -> str:
        """Return ``"done"`` or ``"not_found"``."""
        ...

    @property
    def output(self) -> Any:
        """Return the output of an attempt that is done."""
        ...


AskOutcome = Callable[[str, str, str], Awaitable[OutcomeLike | Failure]]


class LogGroup(Protocol):
    """The part of `marigoldtrail.consensus.Group` that records use."""

    @property
    def leader(self) -> str | None:
        """Return the host of the leader, if known."""
        ...

    @property
    def is_leader(self) -> bool:
        """Tell whether this host leads the group."""
        ...

    async def propose(self, command: bytes, *, timeout_s: float) -> object:
        """Commit and apply a command; return the machine's result or a `Failure`."""
        ...

    async def read_barrier(self, *, timeout_s: float) -> None | Failure:
        """Confirm leadership and wait until all earlier commits are applied here."""
        ...


class Doubt(msgspec.Struct):
    """When the upstream of a claim that may have run is asked again, and the pause after that."""

    ask_at: float
    pause_s: float


class Sweeper:
    """
    Watches the pending claims of one group.

    Parameters
    ----------
    log : LogGroup
        The replicated log.
    machine : RecordMachine
        The state machine of the group.
    ask_outcome : callable
        Asynchronous function of upstream, outcome path and attempt id.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Receives a decision for each claim settled.
    """

    __slots__ = ("_log", "_machine", "_ask", "_timers", "_telemetry", "_due", "_doubts", "_busy")

    def __init__(
        self,
        *,
        log: LogGroup,
        machine: RecordMachine,
        ask_outcome: AskOutcome,
        timers: Timers,
        telemetry: Telemetry,
    ) -> None:
        self._log = log
        self._machine = machine
        self._ask = ask_outcome
        self._timers = timers
        self._telemetry = telemetry
        self._due: dict[str, float] = {}
        self._doubts: dict[str, Doubt] = {}
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Sweep once a second while this host leads the group, until cancelled."""
        limit = trio.CapacityLimiter(MAX_CONCURRENT_QUESTIONS)
        async with trio.open_nursery() as nursery:
            async for now in self._timers.subscribe("records.sweeper", SWEEP_INTERVAL_S):
                if not self._log.is_leader:
                    self._due.clear()
                    self._doubts.clear()
                    continue
                for pending in self._find_due(now):
                    self._busy.add(pending.claim.attempt_id)
                    nursery.start_soon(self._settle, pending, limit)
                for doubtful in self._find_doubtful(now):
                    self._busy.add(doubtful.claim.attempt_id)
                    nursery.start_soon(self._settle, doubtful, limit)

    def _find_due(self, now: float) -> list[PendingClaim]:
        pending = self._machine.claims.pending()
        known = self._due
        self._due = {}
        due = []
        for item in pending:
            attempt = item.claim.attempt_id
            at = known.get(attempt, now + _remaining_s(item.claim) + GRACE_S)
            self._due[attempt] = at
            if now >= at and attempt not in self._busy:
                due.append(item)
        return due

    def _find_doubtful(self, now: float) -> list[PendingClaim]:
        """Return claims that may have run and are due for another question to their upstream."""
        known = self._doubts
        self._doubts = {}
        due = []
        for item in self._machine.claims.doubtful():
            attempt = item.claim.attempt_id
            doubt = known.get(attempt) or Doubt(now + FIRST_ASK_S, FIRST_ASK_S)
            self._doubts[attempt] = doubt
            if now >= doubt.ask_at and attempt not in self._busy:
                doubt.pause_s = min(LONGEST_ASK_S, 2 * doubt.pause_s)
                doubt.ask_at = now + doubt.pause_s
                due.append(item)
        return due

    async def _settle(self, pending: PendingClaim, limit: trio.CapacityLimiter) -> None:
        # The claim object may be granted to another attempt while the upstreams are asked.
        was_pending = pending.claim.state is ClaimState.PENDING
        attempt, stage, request_id, entry = (
            pending.claim.attempt_id,
            pending.claim.stage,
            pending.claim.request_id,
            pending.claim.entry,
        )
        try:
            async with limit:
                state, answer = await self._ask_targets(pending.claim, attempt)
                if not was_pending and state != "done":
                    # The call may still arrive; only its run is final.
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
            self._busy.discard(attempt)
        outcome = str(result) if isinstance(result, Failure) else state
        self._telemetry.decisions.add(
            "claim.sweep", stage, outcome, request_id=request_id, entry=entry, attempt=attempt
        )

    async def _ask_targets(
        self, claim: Claim, attempt: str
    ) -> tuple[Literal["done", "not_run", "may_have_run"], bytes]:
        # Without any target nothing can have been sent.
        excluded = True
        for target in claim.targets:
            outcome: OutcomeLike | Failure | None = None
            if target.outcome_path:
                with trio.move_on_after(ASK_TIMEOUT_S):
                    outcome = await self._ask(target.upstream, target.outcome_path, attempt)
            if outcome is None or isinstance(outcome, Failure):
                excluded = False
            elif outcome.state == "done":
                return "done", msgspec.json.encode(outcome.output)
            elif outcome.state != "not_found" or not target.outcome_final:
                excluded = False
        return ("not_run" if excluded else "may_have_run"), b""


def _remaining_s(claim: Claim) -> float:
    stated_s = (claim.deadline_ms - claim.opened_ms) / 1000
    return min(max(stated_s, 0.0), MAX_DEADLINE_S)

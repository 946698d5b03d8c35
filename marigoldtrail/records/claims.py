"""State machine of claims, which let each non-idempotent stage run at most once.

A claim is identified by client account, idempotency key and stage. Rules:

* A free claim is granted to the first attempt that requests it. A repeated request of that attempt
  is granted again, so that resends are idempotent; other attempts get the state of the claim.
* Only the attempt that holds the claim, the sweeper or an operator settles it.
* ``done`` is final. ``may_have_run`` changes only if more reliable information arrives.
* ``not_run`` frees the claim. The id of the freed attempt is kept, so that a delayed copy of its
  OpenClaim cannot acquire the claim again.
* A key whose claims are all done is archived once `MAX_RECENT_DONE` newer claims are done. Commands
  for an archived key return the locations of the stored answers, which the service reads and
  compares. If they belong to another stage of the same request, the service repeats the OpenClaim
  with the number of locations it has checked.
"""

from __future__ import annotations

import itertools
import sys
from collections import deque
from collections.abc import Iterator
from typing import Literal

import msgspec

from marigoldtrail.records.archive import Archive, ArchiveState
from marigoldtrail.records.claim import (
    ArchivedClaims,
    Claim,
    ClaimResult,
    ClaimState,
    KeyClaims,
    Location,
    PendingClaim,
    SettledBy,
    Target,
    pack_location,
    unpack_location,
)
from marigoldtrail.schema.generated.records import (
    ClaimReply,
    ClaimStatus,
    OpenClaim,
    SettleClaim,
)

# Freed attempt ids kept for each claim. OpenClaims of several freed attempts can be in flight only
# if an entry gives up and another one claims the key within the lifetime of a network packet.
MAX_FREED_ATTEMPTS = 8
# Number of done claims kept in memory. Repeated requests usually arrive soon after the first one.
MAX_RECENT_DONE = 8_192
# A freed claim is dropped after this time, when no copy of its OpenClaim can still be in flight.
FREED_RETENTION_MS = 3_600_000


_STATE_NAMES: dict[ClaimState, Literal["not_run", "pending", "done", "may_have_run"]] = {
    ClaimState.FREE: "not_run",
    ClaimState.PENDING: "pending",
    ClaimState.DONE: "done",
    ClaimState.MAY_HAVE_RUN: "may_have_run",
}


class ClaimTableState(msgspec.Struct, array_like=True, kw_only=True):
    """
    Snapshot of a claim table.

    Parameters
    ----------
    accounts : dict
        Claims by client account and idempotency key.
    done : list of tuple
        Account and key of each claim that is done but not archived, oldest first.
    archive : ArchiveState
        The archived claims.
    """

    accounts: dict[str, dict[str, KeyClaims]]
    done: list[tuple[str, str]]
    archive: ArchiveState


class ClaimTable:
    """
    All claims of a record group.

    Parameters
    ----------
    state : ClaimTableState or None
        From `dump`; None for an empty table.

    Examples
    --------
    >>> table = ClaimTable()
    >>> req = OpenClaim(client_account="acme", idempotency_key="k", stage="book", digest="d",
    ...     request_id="00r", attempt_id="a1", entry="e", upstream="u", deadline_wall_ms=9)
    >>> table.open(req, at_ms=1).reply.state
    'granted'
    >>> table.open(msgspec.structs.replace(req, attempt_id="a2"), at_ms=2).reply.state
    'pending'
    """

    __slots__ = ("archive", "_accounts", "_recent_done", "_unresolved", "_targets")

    def __init__(self, *, state: ClaimTableState | None = None) -> None:
        self.archive = Archive(state=state.archive if state is not None else None)
        self._accounts = state.accounts if state is not None else {}
        self._recent_done = deque(state.done if state is not None else ())
        self._unresolved: dict[ClaimState, set[tuple[str, str, str]]] = {
            ClaimState.PENDING: set(),
            ClaimState.MAY_HAVE_RUN: set(),
        }
        # Target tuples and names are shared between claims; separate copies would take a third of
        # the memory.
        self._targets: dict[tuple[Target, ...], tuple[Target, ...]] = {}
        for account, key, claim in self._iterate_claims():
            claim.stage = sys.intern(claim.stage)
            claim.entry = sys.intern(claim.entry)
            claim.targets = self._targets.setdefault(claim.targets, claim.targets)
            if claim.state in self._unresolved:
                self._unresolved[claim.state].add((account, key, claim.stage))

    def dump(self) -> ClaimTableState:
        """Return the state for a snapshot."""
        return ClaimTableState(
            accounts=self._accounts, done=list(self._recent_done), archive=self.archive.dump()
        )

    def _iterate_claims(self) -> Iterator[tuple[str, str, Claim]]:
        for account, by_key in self._accounts.items():
            for key, key_claims in by_key.items():
                for claim in key_claims.claims:
                    yield account, key, claim

    def _find(self, account: str, key: str, stage: str) -> Claim | None:
        key_claims = self._accounts.get(account, {}).get(key)
        return key_claims.find(stage) if key_claims else None

    def _get_or_create(self, account: str, key: str, stage: str, digest: str) -> Claim:
        by_key = self._accounts.setdefault(account, {})
        key_claims = by_key.get(key)
        if key_claims is None:
            key_claims = by_key[key] = KeyClaims(digest=digest, claims=())
        claim = key_claims.find(stage)
        if claim is None:
            claim = Claim(stage=sys.intern(stage))
            key_claims.claims = (*key_claims.claims, claim)
        return claim

    def open(self, req: OpenClaim, *, at_ms: int, checked: int = 0) -> ClaimResult | ArchivedClaims:
        """
        Apply an OpenClaim.

        Parameters
        ----------
        req : OpenClaim
            The request.
        at_ms : int
            Wall time of the leader in milliseconds.
        checked : int
            Number of archived claims that the service has found not to answer the request.

        Returns
        -------
        ClaimResult or ArchivedClaims
            ``granted`` if the attempt holds the claim; ``not_run`` if the attempt was freed before;
            ``mismatch`` if the key was used by another request; otherwise the state of the claim.
            Archived claims if their number differs from `checked`.
        """
        if self._find(req.client_account, req.idempotency_key, req.stage) is None:
            archived = self.archive.find(req.client_account, req.idempotency_key)
            if len(archived) != checked:
                return ArchivedClaims(archived)
        key_claims = self._accounts.get(req.client_account, {}).get(req.idempotency_key)
        if key_claims is not None and key_claims.digest != req.digest:
            if not key_claims.is_free():
                return _make_mismatch_result(
                    key_claims, "the idempotency key was used with another request"
                )
            key_claims.digest = req.digest
        claim = self._get_or_create(req.client_account, req.idempotency_key, req.stage, req.digest)
        if req.attempt_id in claim.freed:
            reply = ClaimReply(
                state="not_run",
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                detail="the attempt was settled as not run before",
            )
            return ClaimResult(reply)
        if claim.state is ClaimState.FREE:
            self._grant(claim, req, at_ms)
        if claim.state is ClaimState.PENDING and claim.attempt_id == req.attempt_id:
            self._add_target(claim, req)
            reply = ClaimReply(
                state="granted", request_id=claim.request_id, attempt_id=claim.attempt_id
            )
            return ClaimResult(reply)
        return _make_result(claim)

    def _add_target(self, claim: Claim, req: OpenClaim) -> None:
        # Targets are never removed: copies of an attempt's commands may arrive in any order, and
        # the sweeper must query every upstream that the attempt may have reached. An entry may open
        # a claim before it has chosen an upstream; it opens the claim again with the name of the
        # upstream before it sends the call.
        if not req.upstream:
            return
        target = Target(req.upstream, req.outcome_path, req.outcome_final)
        if target not in claim.targets:
            targets = (*claim.targets, target)
            claim.targets = self._targets.setdefault(targets, targets)

    def _grant(self, claim: Claim, req: OpenClaim, at_ms: int) -> None:
        claim.state = ClaimState.PENDING
        claim.request_id = req.request_id
        claim.attempt_id = req.attempt_id
        claim.entry = sys.intern(req.entry)
        claim.targets = ()
        claim.opened_ms = at_ms
        claim.deadline_ms = req.deadline_wall_ms
        claim.settled_ms = 0
        claim.settled_by = SettledBy.ATTEMPT
        self._unresolved[ClaimState.PENDING].add(
            (req.client_account, req.idempotency_key, req.stage)
        )

    def is_in_use(self, client_account: str, idempotency_key: str) -> bool:
        """
        Tell whether a request with an idempotency key has run, may have run or is pending.

        Parameters
        ----------
        client_account, idempotency_key : str
            The key.

        Returns
        -------
        bool
            Rarely also True for an unused key whose hash collides with that of an archived key.
        """
        key_claims = self._accounts.get(client_account, {}).get(idempotency_key)
        if key_claims is not None and not key_claims.is_free():
            return True
        return bool(self.archive.find(client_account, idempotency_key))

    def settle(
        self, req: SettleClaim, *, by: SettledBy, at_ms: int, answer: Location | None = None
    ) -> ClaimResult | ArchivedClaims:
        """
        Apply a SettleClaim.

        Parameters
        ----------
        req : SettleClaim
            The request.
        by : SettledBy
            Who settles the claim.
        at_ms : int
            Wall time of the leader in milliseconds.
        answer : Location or None
            Location of the stored answer; only used if `accepts_answer` returns True.

        Returns
        -------
        ClaimResult or ArchivedClaims
            State of the claim after the command; archived claims if the key has no others.
        """
        claim = self._find(req.client_account, req.idempotency_key, req.stage)
        if claim is None:
            archived = self.archive.find(req.client_account, req.idempotency_key)
            if archived:
                return ArchivedClaims(archived)
        if claim is None or (
            req.attempt_id != claim.attempt_id and req.attempt_id not in claim.freed
        ):
            return self._settle_as_non_holder(claim, req, by, at_ms)
        if req.attempt_id == claim.attempt_id and _may_settle(claim, req.state, by):
            self._apply_settlement(claim, req, by, at_ms, answer)
        elif req.attempt_id != claim.attempt_id:
            return _make_freed_result(req)
        return _make_result(claim)

    def accepts_answer(self, req: SettleClaim, *, by: SettledBy) -> bool:
        """
        Tell whether a SettleClaim will make its claim done.

        Parameters
        ----------
        req : SettleClaim
            The request.
        by : SettledBy
            Who settles the claim.

        Returns
        -------
        bool
            True if the answer must be stored before the command is applied.
        """
        claim = self._find(req.client_account, req.idempotency_key, req.stage)
        return (
            req.state == "done"
            and claim is not None
            and claim.attempt_id == req.attempt_id
            and _may_settle(claim, req.state, by)
        )

    def _settle_as_non_holder(
        self, claim: Claim | None, req: SettleClaim, by: SettledBy, at_ms: int
    ) -> ClaimResult:
        if req.state == "not_run" and by is SettledBy.ATTEMPT:
            # The OpenClaim of this attempt may still be in flight and must not be granted later.
            # The digest is unknown here; a free key gets the digest of the next OpenClaim.
            claim = self._get_or_create(req.client_account, req.idempotency_key, req.stage, "")
            _add_freed(claim, req.attempt_id)
            if claim.state is ClaimState.FREE:
                claim.settled_ms = at_ms
            return _make_freed_result(req)
        if claim is None or claim.state is ClaimState.FREE:
            reply = ClaimReply(
                state="mismatch",
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                detail="no such claim is open",
            )
            return ClaimResult(reply)
        result = _make_result(claim)
        result.reply.detail = f"the claim is held by attempt {claim.attempt_id}"
        return result

    def _apply_settlement(
        self, claim: Claim, req: SettleClaim, by: SettledBy, at_ms: int, answer: Location | None
    ) -> None:
        key = (req.client_account, req.idempotency_key, req.stage)
        for unresolved in self._unresolved.values():
            unresolved.discard(key)
        claim.settled_ms = at_ms
        claim.settled_by = by
        if req.state == "done":
            claim.state = ClaimState.DONE
            claim.answer = pack_location(answer)
            self._recent_done.append((req.client_account, req.idempotency_key))
            self._archive_oldest()
        elif req.state == "may_have_run":
            claim.state = ClaimState.MAY_HAVE_RUN
            self._unresolved[ClaimState.MAY_HAVE_RUN].add(key)
        else:
            claim.state = ClaimState.FREE
            _add_freed(claim, claim.attempt_id)

    def _archive_oldest(self) -> None:
        for _ in range(len(self._recent_done) - MAX_RECENT_DONE):
            account, key = self._recent_done.popleft()
            by_key = self._accounts.get(account, {})
            key_claims = by_key.get(key)
            if key_claims is None:
                continue
            if any(claim.state is not ClaimState.DONE for claim in key_claims.claims):
                # Another stage of the request is not done; requeue the key.
                self._recent_done.append((account, key))
                continue
            for claim in key_claims.claims:
                location = unpack_location(claim.answer)
                if location is not None:
                    self.archive.add(account, key, location)
            del by_key[key]
            if not by_key:
                del self._accounts[account]

    def get_digest(self, client_account: str, idempotency_key: str) -> str:
        """
        Return the digest of the request that uses a key.

        Parameters
        ----------
        client_account, idempotency_key : str
            The key.

        Returns
        -------
        str
            Empty if the key is unknown or archived.
        """
        key_claims = self._accounts.get(client_account, {}).get(idempotency_key)
        return key_claims.digest if key_claims is not None else ""

    def pending(self) -> list[PendingClaim]:
        """
        Return the pending claims.

        Returns
        -------
        list of PendingClaim
            Sorted by account, key and stage.
        """
        return list(self._iterate_unresolved(ClaimState.PENDING))

    def find_queryable(self) -> list[PendingClaim]:
        """
        Return the claims that may have run and whose outcome can be queried from an upstream.

        Returns
        -------
        list of PendingClaim
            Sorted by account, key and stage.
        """
        return [
            item
            for item in self._iterate_unresolved(ClaimState.MAY_HAVE_RUN)
            if any(target.outcome_path for target in item.claim.targets)
        ]

    def _iterate_unresolved(self, state: ClaimState) -> Iterator[PendingClaim]:
        for account, key, stage in sorted(self._unresolved[state]):
            claim = self._find(account, key, stage)
            if claim is not None:
                yield PendingClaim(account, key, claim)

    def list_claims(
        self, state: ClaimState, *, client_account: str = "", limit: int = 100
    ) -> list[ClaimStatus]:
        """
        Return claims in a state.

        Parameters
        ----------
        state : ClaimState
            The state.
        client_account : str
            Client account of the claims; empty for all accounts.
        limit : int
            Maximum number of claims.

        Returns
        -------
        list of ClaimStatus
            At most `limit` claims.
        """
        # Pending and uncertain claims are few and indexed; the others require a full scan.
        source = (
            self._iterate_unresolved(state) if state in self._unresolved else self._iterate_claims()
        )
        matching = (
            self._status(account, key, claim)
            for account, key, claim in source
            if claim.state is state and client_account in ("", account)
        )
        return list(itertools.islice(matching, max(limit, 0)))

    def _status(self, account: str, key: str, claim: Claim) -> ClaimStatus:
        return msgspec.convert(
            {
                "client_account": account,
                "idempotency_key": key,
                "stage": claim.stage,
                "request_id": claim.request_id,
                "attempt_id": claim.attempt_id,
                "digest": self._accounts[account][key].digest,
                "entry": claim.entry,
                "upstream": claim.targets[-1].upstream if claim.targets else "",
                "state": _STATE_NAMES[claim.state],
                "opened_ms": claim.opened_ms,
                "settled_ms": claim.settled_ms,
            },
            ClaimStatus,
        )

    def drop_expired(self, *, first_segment: int, before_ms: int, at_ms: int) -> int:
        """
        Drop claims whose retention period has expired.

        Parameters
        ----------
        first_segment : int
            Oldest segment that is kept; claims whose answer is in an older segment are dropped.
        before_ms : int
            Wall time in milliseconds; claims settled before it without an answer are dropped.
        at_ms : int
            Wall time of the leader in milliseconds; freed claims are dropped after one hour.

        Returns
        -------
        int
            Number of claims dropped. Pending claims are never dropped.
        """
        dropped = 0
        self.archive.drop_before(first_segment=first_segment)
        for account in list(self._accounts):
            by_key = self._accounts[account]
            for key in list(by_key):
                key_claims = by_key[key]
                kept = tuple(
                    claim
                    for claim in key_claims.claims
                    if _is_kept(claim, first_segment, before_ms, at_ms - FREED_RETENTION_MS)
                )
                for claim in key_claims.claims:
                    if claim not in kept:
                        dropped += 1
                        for unresolved in self._unresolved.values():
                            unresolved.discard((account, key, claim.stage))
                key_claims.claims = kept
                if not kept:
                    del by_key[key]
            if not by_key:
                del self._accounts[account]
        return dropped


def _is_kept(claim: Claim, first_segment: int, before_ms: int, freed_before_ms: int) -> bool:
    if claim.state is ClaimState.PENDING:
        return True
    if claim.state is ClaimState.FREE:
        return claim.settled_ms >= freed_before_ms
    answer = unpack_location(claim.answer)
    if answer is not None:
        return answer.segment >= first_segment
    return claim.settled_ms >= before_ms


def _may_settle(claim: Claim, state: str, by: SettledBy) -> bool:
    if claim.state is ClaimState.PENDING:
        # Operators may only settle calls that have ended; a pending call may still run.
        return by is not SettledBy.OPERATOR
    if claim.state is ClaimState.MAY_HAVE_RUN:
        if by is SettledBy.OPERATOR or state == "done":
            return state != "may_have_run"
        # The holder may correct the sweeper, but not its own earlier settlement.
        return state == "not_run" and _holder_corrects_sweeper(claim, by)
    if claim.state is ClaimState.FREE:
        # The sweeper freed the claim after the upstream reported "not found"; an answer received by
        # the holder takes precedence.
        return state == "done" and _holder_corrects_sweeper(claim, by)
    return False


def _holder_corrects_sweeper(claim: Claim, by: SettledBy) -> bool:
    return by is SettledBy.ATTEMPT and claim.settled_by is SettledBy.SWEEPER


def _add_freed(claim: Claim, attempt_id: str) -> None:
    if attempt_id not in claim.freed:
        claim.freed = (*claim.freed, attempt_id)[-MAX_FREED_ATTEMPTS:]


def _make_result(claim: Claim) -> ClaimResult:
    reply = ClaimReply(
        state=_STATE_NAMES[claim.state], request_id=claim.request_id, attempt_id=claim.attempt_id
    )
    return ClaimResult(reply, unpack_location(claim.answer))


def _make_freed_result(req: SettleClaim) -> ClaimResult:
    reply = ClaimReply(state="not_run", request_id=req.request_id, attempt_id=req.attempt_id)
    return ClaimResult(reply)


def _make_mismatch_result(key_claims: KeyClaims, detail: str) -> ClaimResult:
    holder = next(claim for claim in key_claims.claims if claim.state is not ClaimState.FREE)
    reply = ClaimReply(
        state="mismatch",
        request_id=holder.request_id,
        attempt_id=holder.attempt_id,
        detail=detail,
    )
    return ClaimResult(reply)

"""State machine of claims: the one run of each non-idempotent stage.

A claim belongs to a client account, an idempotency key and a stage. Its rules:

* A free claim is granted to the first attempt that asks. The same attempt is granted it again, so
  that a resent command has one effect; every other attempt gets the state of the claim.
* Only the attempt that holds the claim, the sweeper or an operator settles it.
* ``done`` never changes. ``may_have_run`` changes only with better knowledge.
* ``not_run`` frees the claim. The freed attempt is remembered, so that a late copy of its OpenClaim
  cannot take the claim again.
* A key whose claims are all done moves to the archive after `MAX_RECENT_DONE` others. Commands for
  it return the locations of the stored answers, and the service reads and compares those. If they
  concern another stage of the same request, the service repeats the OpenClaim and says how many
  locations it has checked.
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

# Attempts that a claim remembers as freed. More than one is in flight only if an entry gives up
# and another takes the key within the life of a network packet.
MAX_FREED_ATTEMPTS = 8
# Keys that are done stay in memory until as many others are done: repeats come soon or never.
MAX_RECENT_DONE = 8_192
# A freed claim is forgotten after this time: no copy of its OpenClaim is under way any more.
FREED_MEMORY_MS = 3_600_000


_STATE_NAMES: dict[ClaimState, Literal["not_run", "pending", "done", "may_have_run"]] = {
    ClaimState.FREE: "not_run",
    ClaimState.PENDING: "pending",
    ClaimState.DONE: "done",
    ClaimState.MAY_HAVE_RUN: "may_have_run",
}


class ClaimTableState(msgspec.Struct, array_like=True, kw_only=True):
    """
    All claims in a snapshot.

    Parameters
    ----------
    accounts : dict
        Claims by client account and idempotency key.
    done : list of tuple
        Account and key of each claim that was settled as done and is not archived, oldest first.
    archive : ArchiveState
        The other claims that are done.
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

    __slots__ = ("archive", "_accounts", "_done", "_open", "_targets")

    def __init__(self, *, state: ClaimTableState | None = None) -> None:
        self.archive = Archive(state=state.archive if state is not None else None)
        self._accounts = state.accounts if state is not None else {}
        self._done = deque(state.done if state is not None else ())
        self._open: dict[ClaimState, set[tuple[str, str, str]]] = {
            ClaimState.PENDING: set(),
            ClaimState.MAY_HAVE_RUN: set(),
        }
        # Targets and names are shared between claims: they take a third of the memory otherwise.
        self._targets: dict[tuple[Target, ...], tuple[Target, ...]] = {}
        for account, key, claim in self._all():
            claim.stage = sys.intern(claim.stage)
            claim.entry = sys.intern(claim.entry)
            claim.targets = self._targets.setdefault(claim.targets, claim.targets)
            if claim.state in self._open:
                self._open[claim.state].add((account, key, claim.stage))

    def dump(self) -> ClaimTableState:
        """Return the content for a snapshot."""
        return ClaimTableState(
            accounts=self._accounts, done=list(self._done), archive=self.archive.dump()
        )

    def _all(self) -> Iterator[tuple[str, str, Claim]]:
        for account, keys in self._accounts.items():
            for key, entry in keys.items():
                for claim in entry.claims:
                    yield account, key, claim

    def _find(self, account: str, key: str, stage: str) -> Claim | None:
        entry = self._accounts.get(account, {}).get(key)
        return entry.find(stage) if entry else None

    def _create(self, account: str, key: str, stage: str, digest: str) -> Claim:
        keys = self._accounts.setdefault(account, {})
        entry = keys.get(key)
        if entry is None:
            entry = keys[key] = KeyClaims(digest=digest, claims=())
        claim = entry.find(stage)
        if claim is None:
            claim = Claim(stage=sys.intern(stage))
            entry.claims = (*entry.claims, claim)
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
            Number of archived claims that were found to be of the same request and another stage.

        Returns
        -------
        ClaimResult or ArchivedClaims
            ``granted`` if the attempt holds the claim; else its state, ``not_run`` if the attempt
            was freed before, or ``mismatch`` if the key belongs to another request. Archived claims
            if there are others than those checked.
        """
        if self._find(req.client_account, req.idempotency_key, req.stage) is None:
            archived = self.archive.find(req.client_account, req.idempotency_key)
            if len(archived) != checked:
                return ArchivedClaims(archived)
        entry = self._accounts.get(req.client_account, {}).get(req.idempotency_key)
        if entry is not None and entry.digest != req.digest:
            if not entry.is_free():
                return _mismatch(entry, "the idempotency key was used with another request")
            entry.digest = req.digest
        claim = self._create(req.client_account, req.idempotency_key, req.stage, req.digest)
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
        return _describe(claim)

    def _add_target(self, claim: Claim, req: OpenClaim) -> None:
        # Targets only accumulate: copies of an attempt's commands may arrive in any order, and the
        # sweeper must ask every upstream that the attempt may have reached. An entry may hold a
        # claim before it has chosen an upstream; it opens it again with the upstream's name before
        # it sends anything.
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
        self._open[ClaimState.PENDING].add((req.client_account, req.idempotency_key, req.stage))

    def is_in_use(self, client_account: str, idempotency_key: str) -> bool:
        """
        Tell whether a request under a key has run, may have run, or is running.

        Parameters
        ----------
        client_account, idempotency_key : str
            The key.

        Returns
        -------
        bool
            Also true, very rarely, for an unused key with the hash of an archived one.
        """
        entry = self._accounts.get(client_account, {}).get(idempotency_key)
        if entry is not None and not entry.is_free():
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
            Who settles.
        at_ms : int
            Wall time of the leader in milliseconds.
        answer : Location or None
            Where the answer is stored; only used if `accepts_answer` holds.

        Returns
        -------
        ClaimResult or ArchivedClaims
            State of the claim after the command; archived claims if only such are known.
        """
        claim = self._find(req.client_account, req.idempotency_key, req.stage)
        if claim is None:
            archived = self.archive.find(req.client_account, req.idempotency_key)
            if archived:
                return ArchivedClaims(archived)
        if claim is None or (
            req.attempt_id != claim.attempt_id and req.attempt_id not in claim.freed
        ):
            return self._settle_stranger(claim, req, by, at_ms)
        if req.attempt_id == claim.attempt_id and _may_change(claim, req.state, by):
            self._change(claim, req, by, at_ms, answer)
        elif req.attempt_id != claim.attempt_id:
            return _freed_reply(req)
        return _describe(claim)

    def accepts_answer(self, req: SettleClaim, *, by: SettledBy) -> bool:
        """
        Tell whether a SettleClaim will make its claim done.

        Parameters
        ----------
        req : SettleClaim
            The request.
        by : SettledBy
            Who settles.

        Returns
        -------
        bool
            Whether the answer must be stored before the command is applied.
        """
        claim = self._find(req.client_account, req.idempotency_key, req.stage)
        return (
            req.state == "done"
            and claim is not None
            and claim.attempt_id == req.attempt_id
            and _may_change(claim, req.state, by)
        )

    def _settle_stranger(
        self, claim: Claim | None, req: SettleClaim, by: SettledBy, at_ms: int
    ) -> ClaimResult:
        if req.state == "not_run" and by is SettledBy.ATTEMPT:
            # The OpenClaim of this attempt may still be under way; it must not be granted later.
            # The digest is unknown here; a free key takes that of the next OpenClaim.
            claim = self._create(req.client_account, req.idempotency_key, req.stage, "")
            _remember_freed(claim, req.attempt_id)
            if claim.state is ClaimState.FREE:
                claim.settled_ms = at_ms
            return _freed_reply(req)
        if claim is None or claim.state is ClaimState.FREE:
            reply = ClaimReply(
                state="mismatch",
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                detail="no such claim is open",
            )
            return ClaimResult(reply)
        result = _describe(claim)
        result.reply.detail = f"the claim is held by attempt {claim.attempt_id}"
        return result

    def _change(
        self, claim: Claim, req: SettleClaim, by: SettledBy, at_ms: int, answer: Location | None
    ) -> None:
        key = (req.client_account, req.idempotency_key, req.stage)
        for keys in self._open.values():
            keys.discard(key)
        claim.settled_ms = at_ms
        claim.settled_by = by
        if req.state == "done":
            claim.state = ClaimState.DONE
            claim.answer = pack_location(answer)
            self._done.append((req.client_account, req.idempotency_key))
            self._archive_oldest()
        elif req.state == "may_have_run":
            claim.state = ClaimState.MAY_HAVE_RUN
            self._open[ClaimState.MAY_HAVE_RUN].add(key)
        else:
            claim.state = ClaimState.FREE
            _remember_freed(claim, claim.attempt_id)

    def _archive_oldest(self) -> None:
        for _ in range(len(self._done) - MAX_RECENT_DONE):
            account, key = self._done.popleft()
            keys = self._accounts.get(account, {})
            entry = keys.get(key)
            if entry is None:
                continue
            if any(claim.state is not ClaimState.DONE for claim in entry.claims):
                # Another stage of the request still needs its claim; try again after the others.
                self._done.append((account, key))
                continue
            for claim in entry.claims:
                location = unpack_location(claim.answer)
                if location is not None:
                    self.archive.add(account, key, location)
            del keys[key]
            if not keys:
                del self._accounts[account]

    def digest_of(self, client_account: str, idempotency_key: str) -> str:
        """
        Return the digest of the request that uses a key.

        Parameters
        ----------
        client_account, idempotency_key : str
            The key.

        Returns
        -------
        str
            Empty if the key is not in use or archived.
        """
        entry = self._accounts.get(client_account, {}).get(idempotency_key)
        return entry.digest if entry is not None else ""

    def pending(self) -> list[PendingClaim]:
        """
        Return the claims that are pending.

        Returns
        -------
        list of PendingClaim
            In the order of their keys.
        """
        return list(self._find_open(ClaimState.PENDING))

    def doubtful(self) -> list[PendingClaim]:
        """
        Return the claims that may have run and whose upstream can be asked for the outcome.

        Returns
        -------
        list of PendingClaim
            In the order of their keys.
        """
        return [
            item
            for item in self._find_open(ClaimState.MAY_HAVE_RUN)
            if any(target.outcome_path for target in item.claim.targets)
        ]

    def _find_open(self, state: ClaimState) -> Iterator[PendingClaim]:
        for account, key, stage in sorted(self._open[state]):
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
            Restricts the result; empty for all.
        limit : int
            Largest number of claims.

        Returns
        -------
        list of ClaimStatus
            At most `limit` claims.
        """
        # Unsettled claims are few and have an index; the others are found by a scan.
        source = self._find_open(state) if state in self._open else self._all()
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

    def forget(self, *, first_segment: int, before_ms: int, at_ms: int) -> int:
        """
        Drop claims whose retention is over.

        Parameters
        ----------
        first_segment : int
            Oldest segment that is kept; claims whose answer is in an older one are dropped.
        before_ms : int
            Claims without an answer that were settled before this wall time are dropped.
        at_ms : int
            Wall time of the leader; freed claims are dropped an hour after they were freed.

        Returns
        -------
        int
            Number of claims dropped. Pending claims are never dropped.
        """
        dropped = 0
        self.archive.forget(first_segment=first_segment)
        for account in list(self._accounts):
            keys = self._accounts[account]
            for key in list(keys):
                entry = keys[key]
                kept = tuple(
                    claim
                    for claim in entry.claims
                    if _is_kept(claim, first_segment, before_ms, at_ms - FREED_MEMORY_MS)
                )
                for claim in entry.claims:
                    if claim not in kept:
                        dropped += 1
                        for open_keys in self._open.values():
                            open_keys.discard((account, key, claim.stage))
                entry.claims = kept
                if not kept:
                    del keys[key]
            if not keys:
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


def _may_change(claim: Claim, state: str, by: SettledBy) -> bool:
    if claim.state is ClaimState.PENDING:
        # An operator judges a call that is over; one that may still run is not theirs to free.
        return by is not SettledBy.OPERATOR
    if claim.state is ClaimState.MAY_HAVE_RUN:
        if by is SettledBy.OPERATOR or state == "done":
            return state != "may_have_run"
        # The holder may know better than the sweeper, but not better than its own earlier word.
        return state == "not_run" and _holder_corrects_sweeper(claim, by)
    if claim.state is ClaimState.FREE:
        # The sweeper freed it on the upstream's word; the holder's own answer outweighs that.
        return state == "done" and _holder_corrects_sweeper(claim, by)
    return False


def _holder_corrects_sweeper(claim: Claim, by: SettledBy) -> bool:
    return by is SettledBy.ATTEMPT and claim.settled_by is SettledBy.SWEEPER


def _remember_freed(claim: Claim, attempt_id: str) -> None:
    if attempt_id not in claim.freed:
        claim.freed = (*claim.freed, attempt_id)[-MAX_FREED_ATTEMPTS:]


def _describe(claim: Claim) -> ClaimResult:
    reply = ClaimReply(
        state=_STATE_NAMES[claim.state], request_id=claim.request_id, attempt_id=claim.attempt_id
    )
    return ClaimResult(reply, unpack_location(claim.answer))


def _freed_reply(req: SettleClaim) -> ClaimResult:
    reply = ClaimReply(state="not_run", request_id=req.request_id, attempt_id=req.attempt_id)
    return ClaimResult(reply)


def _mismatch(entry: KeyClaims, detail: str) -> ClaimResult:
    holder = next(claim for claim in entry.claims if claim.state is not ClaimState.FREE)
    reply = ClaimReply(
        state="mismatch",
        request_id=holder.request_id,
        attempt_id=holder.attempt_id,
        detail=detail,
    )
    return ClaimResult(reply)

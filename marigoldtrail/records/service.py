"""Service of the record groups on one control host: peer request handlers and background tasks."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Handlers
from marigoldtrail.records.claim import ArchivedClaims, ClaimState, Location, SettledBy
from marigoldtrail.records.fetch import FetchChunk
from marigoldtrail.records.group import RecordGroup
from marigoldtrail.records.machine import (
    Command,
    OpenCommand,
    PutCommand,
    SettleCommand,
    StoredAnswer,
    decode_answer,
    encode_command,
)
from marigoldtrail.records.maintenance import apply_retention, fetch_segments, write_segments
from marigoldtrail.records.search import search_records
from marigoldtrail.records.segments import MAX_UNFLUSHED_BYTES
from marigoldtrail.records.sweeper import OutcomeQuery, Sweeper
from marigoldtrail.schema.generated.records import (
    ClaimReply,
    ClaimsReply,
    FetchSegment,
    FindKey,
    FindRecords,
    FindRecordsReply,
    KeyReply,
    ListClaims,
    OpenClaim,
    PutRecord,
    PutRecordReply,
    SegmentChunk,
    SettleClaim,
)
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 3.0
# Larger answers and records are refused; a command is limited to 4 MB.
MAX_PAYLOAD_BYTES = 2 * 1024 * 1024
MAX_LISTED_CLAIMS = 1000

_CLAIM_STATES = {
    "pending": ClaimState.PENDING,
    "done": ClaimState.DONE,
    "may_have_run": ClaimState.MAY_HAVE_RUN,
}


class RecordService:
    """
    Serves the record groups that have a member on this host.

    Parameters
    ----------
    host : str
        Name of this host.
    groups : sequence of RecordGroup
        The record groups that have a member on this host.
    get_group_name : callable
        Returns the name of the record group that serves a client account.
    query_outcome : callable
        Asynchronous function that takes an upstream, an outcome path and an attempt id; returns an
        `Outcome` or a `Failure`.
    fetch_chunk : callable
        Asynchronous function that takes a host and a `FetchSegment`; returns a `SegmentChunk` or a
        `Failure`.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Records the decisions of the sweeper and of segment fetching.
    retention_days : int
        Retention period of records and settled claims, in days.

    Examples
    --------
    On a control host::

        store = SegmentStore(disk=disk, folder="segments/records-0")
        machine = RecordMachine(store=store)
        log = Group(..., machine=machine)
        group = RecordGroup(name="records-0", log=log, machine=machine, members=hosts)
        service = RecordService(host="c1", groups=[group], ...)
        nursery.start_soon(service.run)
        handlers.update(service.get_handlers())
    """

    __slots__ = (
        "_host",
        "_groups",
        "_get_group_name",
        "_query_outcome",
        "_fetch_chunk",
        "_timers",
        "_telemetry",
        "_retention_days",
    )

    def __init__(
        self,
        *,
        host: str,
        groups: Sequence[RecordGroup],
        get_group_name: Callable[[str], str],
        query_outcome: OutcomeQuery,
        fetch_chunk: FetchChunk,
        timers: Timers,
        telemetry: Telemetry,
        retention_days: int = 3650,
    ) -> None:
        self._host = host
        self._groups: Mapping[str, RecordGroup] = {group.name: group for group in groups}
        self._get_group_name = get_group_name
        self._query_outcome = query_outcome
        self._fetch_chunk = fetch_chunk
        self._timers = timers
        self._telemetry = telemetry
        self._retention_days = retention_days

    def get_handlers(self) -> Handlers:
        """
        Return the handlers for `marigoldtrail.net.serve_peers`.

        Returns
        -------
        dict
            Handler for each request type.
        """
        return {
            OpenClaim: self.open_claim,
            SettleClaim: self.settle_claim,
            PutRecord: self.put_record,
            FindKey: self.find_key,
            FindRecords: self.find_records,
            ListClaims: self.list_claims,
            FetchSegment: self.fetch_segment,
        }

    # Commands, committed through the log.

    async def open_claim(self, req: OpenClaim, sender: str) -> ClaimReply | Failure:
        """
        Handle an OpenClaim.

        Parameters
        ----------
        req : OpenClaim
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        ClaimReply or Failure
            State of the claim; includes the recorded answer if the claim is done.
        """
        command = OpenCommand(req, self._timers.wall_ms())
        return await self._apply_claim_command(req.client_account, command, "claim.open")

    async def settle_claim(self, req: SettleClaim, sender: str) -> ClaimReply | Failure:
        """
        Handle a SettleClaim.

        Parameters
        ----------
        req : SettleClaim
            The request; with `operator` set it must name the attempt that holds the claim.
        sender : str
            Host that sent it.

        Returns
        -------
        ClaimReply or Failure
            State of the claim after the command.
        """
        if len(req.answer) > MAX_PAYLOAD_BYTES:
            return self._refuse("claim.settle", Reason.BAD_REQUEST, "the answer is too large")
        by = SettledBy.OPERATOR if req.operator else SettledBy.ATTEMPT
        command = SettleCommand(req, by, self._timers.wall_ms())
        return await self._apply_claim_command(req.client_account, command, "claim.settle")

    async def _apply_claim_command(
        self, account: str, command: OpenCommand | SettleCommand, step: str
    ) -> ClaimReply | Failure:
        group = self._groups.get(self._get_group_name(account))
        if group is None:
            return self._refuse_non_member(step)
        result = await self._propose(group, command, step)
        if isinstance(result, ArchivedClaims):
            return await self._reply_from_archive(group, command, result.locations, step)
        if isinstance(result, Failure) or result.answer is None:
            return result if isinstance(result, Failure) else result.reply
        stored = await self._read_answer(group, result.answer, step)
        if isinstance(stored, Failure):
            return stored
        return msgspec.structs.replace(result.reply, answer=stored.answer)

    async def _read_answer(
        self, group: RecordGroup, location: Location, step: str
    ) -> StoredAnswer | Failure:
        entry = await group.machine.store.read(location)
        if isinstance(entry, Failure):
            # The stage ran, but its stored answer cannot be read.
            return msgspec.structs.replace(
                entry, step=step, peer=self._host, run_state=RunState.MAY_HAVE_RUN
            )
        return decode_answer(entry.payload)

    async def _reply_from_archive(
        self,
        group: RecordGroup,
        command: OpenCommand | SettleCommand,
        locations: Sequence[Location],
        step: str,
    ) -> ClaimReply | Failure:
        req = command.req
        for location in locations:
            stored = await self._read_answer(group, location, step)
            if isinstance(stored, Failure):
                return stored
            reply = compare_archived(stored, req)
            if reply is not None:
                return reply
        if isinstance(command, SettleCommand):
            return ClaimReply(
                state="mismatch",
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                detail="no such claim is open",
            )
        if command.checked:
            # The archived claims of the key changed between the two OpenCommands.
            return self._refuse(step, Reason.OVERLOADED, "the key is being archived")
        checked = OpenCommand(command.req, command.at_ms, len(locations))
        return await self._apply_claim_command(req.client_account, checked, step)

    async def put_record(self, req: PutRecord, sender: str) -> PutRecordReply | Failure:
        """
        Handle a PutRecord.

        Parameters
        ----------
        req : PutRecord
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        PutRecordReply or Failure
            Log index at which the record was committed; the original index for a repeated record.
        """
        step = "record.put"
        group = self._groups.get(self._get_group_name(req.record.client_account))
        if group is None:
            return self._refuse_non_member(step)
        payload = msgspec.msgpack.encode(req.record)
        if len(payload) > MAX_PAYLOAD_BYTES:
            return self._refuse(step, Reason.BAD_REQUEST, "the record is too large")
        store = group.machine.store
        if store.count_unflushed_bytes() > MAX_UNFLUSHED_BYTES:
            reason = store.failure.reason if store.failure else Reason.OVERLOADED
            return self._refuse(step, reason, "segment files cannot be written")
        command = PutCommand(msgspec.Raw(payload), self._timers.wall_ms())
        result: PutRecordReply | Failure = await self._propose(group, command, step)
        return result

    async def _propose(self, group: RecordGroup, command: Command, step: str) -> Any:
        result = await group.log.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)
        if isinstance(result, Failure):
            return msgspec.structs.replace(result, step=step, peer=self._host)
        return result

    # Reads, confirmed by a read barrier except for segment chunks.

    async def find_records(self, req: FindRecords, sender: str) -> FindRecordsReply | Failure:
        """
        Handle a FindRecords.

        Parameters
        ----------
        req : FindRecords
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        FindRecordsReply or Failure
            Matching records, newest first; ``CORRUPT`` if a candidate record cannot be read.
        """
        group = await self._confirm_leader(req.group, "record.find")
        if isinstance(group, Failure):
            return group
        found = await search_records(group.machine.store, req)
        if isinstance(found, Failure):
            return msgspec.structs.replace(found, step="record.find", peer=self._host)
        return FindRecordsReply(records=found)

    async def find_key(self, req: FindKey, sender: str) -> KeyReply | Failure:
        """
        Handle a FindKey.

        Parameters
        ----------
        req : FindKey
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        KeyReply or Failure
            Whether the key is in use.
        """
        group = await self._confirm_leader(self._get_group_name(req.client_account), "claim.find")
        if isinstance(group, Failure):
            return group
        claims = group.machine.claims
        return KeyReply(in_use=claims.is_in_use(req.client_account, req.idempotency_key))

    async def list_claims(self, req: ListClaims, sender: str) -> ClaimsReply | Failure:
        """
        Handle a ListClaims.

        Parameters
        ----------
        req : ListClaims
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        ClaimsReply or Failure
            At most 1,000 claims.
        """
        group = await self._confirm_leader(req.group, "claim.list")
        if isinstance(group, Failure):
            return group
        claims = group.machine.claims.list_claims(
            _CLAIM_STATES[req.state],
            client_account=req.client_account,
            limit=min(req.limit, MAX_LISTED_CLAIMS),
        )
        return ClaimsReply(claims=claims)

    async def _confirm_leader(self, name: str, step: str) -> RecordGroup | Failure:
        group = self._groups.get(name)
        if group is None:
            return self._refuse_non_member(step)
        barrier = await group.log.read_barrier(timeout_s=READ_TIMEOUT_S)
        if isinstance(barrier, Failure):
            return msgspec.structs.replace(barrier, step=step, peer=self._host)
        return group

    async def fetch_segment(self, req: FetchSegment, sender: str) -> SegmentChunk | Failure:
        """
        Handle a FetchSegment, on leaders and followers alike.

        Parameters
        ----------
        req : FetchSegment
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        SegmentChunk or Failure
            ``NOT_FOUND`` if this host has not verified the segment.
        """
        group = self._groups.get(req.group)
        if group is None:
            return self._refuse_non_member("segment.fetch")
        store = group.machine.store
        data = await store.read_durable(req.segment, req.offset, min(req.length, MAX_PAYLOAD_BYTES))
        if isinstance(data, Failure):
            return msgspec.structs.replace(data, step="segment.fetch", peer=self._host)
        return SegmentChunk(size=store.get_durable_size(req.segment), data=data)

    def _refuse_non_member(self, step: str) -> Failure:
        return self._refuse(step, Reason.NOT_LEADER, "this host is not a member of the group")

    def _refuse(self, step: str, reason: Reason, detail: str) -> Failure:
        return Failure(
            reason=reason, run_state=RunState.NOT_RUN, step=step, peer=self._host, detail=detail
        )

    # Background tasks.

    async def run(self) -> None:
        """Run the sweeper and the segment tasks of each group until cancelled."""
        async with trio.open_nursery() as nursery:
            for group in self._groups.values():
                sweeper = Sweeper(
                    log=group.log,
                    machine=group.machine,
                    query_outcome=self._query_outcome,
                    timers=self._timers,
                    telemetry=self._telemetry,
                )
                nursery.start_soon(sweeper.run)
                nursery.start_soon(write_segments, group, self._timers)
                nursery.start_soon(
                    fetch_segments,
                    group,
                    self._host,
                    self._fetch_chunk,
                    self._timers,
                    self._telemetry,
                )
                nursery.start_soon(
                    apply_retention,
                    group,
                    self._retention_days,
                    partial(self._propose, group, step="records.retain"),
                    self._timers,
                )


def compare_archived(stored: StoredAnswer, req: OpenClaim | SettleClaim) -> ClaimReply | None:
    """
    Compare a request with an archived claim found under the same key hash.

    Parameters
    ----------
    stored : StoredAnswer
        The archived claim.
    req : OpenClaim or SettleClaim
        The request.

    Returns
    -------
    ClaimReply or None
        ``done`` with the answer, or ``mismatch`` if the key was used by another request; None if
        the archived claim belongs to another key or stage.
    """
    key = (stored.client_account, stored.idempotency_key)
    if key != (req.client_account, req.idempotency_key):
        return None
    if isinstance(req, OpenClaim) and stored.digest != req.digest:
        return ClaimReply(
            state="mismatch",
            request_id=stored.request_id,
            attempt_id=stored.attempt_id,
            detail="the idempotency key was used with another request",
        )
    if stored.stage != req.stage:
        return None
    return ClaimReply(
        state="done",
        request_id=stored.request_id,
        attempt_id=stored.attempt_id,
        answer=stored.answer,
    )

"""State machine of a record group: claims and the locations of records.

Commands are idempotent through the ids they contain, and results depend on the commands only: the
leader adds its wall time to each command that it proposes, and repeated records are detected by the
request ids in the replicated state, not by segment files that a member may still be fetching.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeAlias

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.records.claim import ArchivedClaims, ClaimResult, Location, SettledBy
from marigoldtrail.records.claims import ClaimTable, ClaimTableState
from marigoldtrail.records.entries import ANSWER, RECORD
from marigoldtrail.records.segment import IndexedFields, SegmentState
from marigoldtrail.records.segments import SegmentStore
from marigoldtrail.schema.generated.records import OpenClaim, PutRecordReply, SettleClaim

SNAPSHOT_VERSION = 1
# A record is resent only within the 11 s deadline of its request. One group handles at most about
# 900 records/s (7,000 requests/s over 8 groups), which is 9,900 records in 11 s.
MAX_RECENT_RECORDS = 16_384


class OpenCommand(msgspec.Struct, array_like=True, tag="open"):
    """
    Applies an OpenClaim.

    Parameters
    ----------
    req : OpenClaim
        The request.
    at_ms : int
        Wall time of the leader in milliseconds.
    checked : int
        Number of archived claims of the key that the leader has compared with the request.
    """

    req: OpenClaim
    at_ms: int
    checked: int = 0


class SettleCommand(msgspec.Struct, array_like=True, tag="settle"):
    """
    Applies a SettleClaim.

    Parameters
    ----------
    req : SettleClaim
        The request.
    by : SettledBy
        Who settles the claim.
    at_ms : int
        Wall time of the leader in milliseconds.
    """

    req: SettleClaim
    by: SettledBy
    at_ms: int


class PutCommand(msgspec.Struct, array_like=True, tag="put"):
    """
    Stores a result record.

    Parameters
    ----------
    record : msgspec.Raw
        The encoded record.
    at_ms : int
        Wall time of the leader in milliseconds.
    """

    record: msgspec.Raw
    at_ms: int


class RetainCommand(msgspec.Struct, array_like=True, tag="retain"):
    """
    Drops segments and claims whose retention period has expired.

    Parameters
    ----------
    before_ms : int
        Wall time in milliseconds before which records and claims are dropped.
    at_ms : int
        Wall time of the leader in milliseconds.
    """

    before_ms: int
    at_ms: int


Command: TypeAlias = OpenCommand | SettleCommand | PutCommand | RetainCommand


class RetainResult(msgspec.Struct):
    """
    Result of a `RetainCommand`.

    Parameters
    ----------
    first_segment : int
        Oldest segment that is kept.
    dropped_claims : int
        Number of claims dropped.
    """

    first_segment: int
    dropped_claims: int


class StoredAnswer(msgspec.Struct, array_like=True):
    """
    Answer of a claim as stored in a segment.

    Parameters
    ----------
    client_account, idempotency_key, stage, digest, request_id, attempt_id : str
        Identity of the claim.
    answer : bytes
        Answer as JSON.
    """

    client_account: str
    idempotency_key: str
    stage: str
    digest: str
    request_id: str
    attempt_id: str
    answer: bytes


class MachineState(msgspec.Struct, kw_only=True):
    """
    State of a record group in a snapshot.

    Parameters
    ----------
    version : int
        Version of the snapshot format.
    claims : ClaimTableState
        The claims.
    recent : dict
        Log index by request id of the newest records, oldest first.
    segments : list of SegmentState
        The segments.
    retained_ms : int
        Wall time in milliseconds before which records were dropped.
    """

    version: int
    claims: ClaimTableState
    recent: dict[str, int]
    segments: list[SegmentState]
    retained_ms: int


CommandResult: TypeAlias = ClaimResult | ArchivedClaims | PutRecordReply | RetainResult | Failure

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)
_fields_decoder = msgspec.msgpack.Decoder(IndexedFields)
_state_decoder = msgspec.msgpack.Decoder(MachineState)
_answer_decoder = msgspec.msgpack.Decoder(StoredAnswer)


def encode_command(command: Command) -> bytes:
    """
    Encode a command for the log.

    Parameters
    ----------
    command : OpenCommand, SettleCommand, PutCommand or RetainCommand
        The command.

    Returns
    -------
    bytes
        The encoded command.
    """
    return _encoder.encode(command)


def decode_answer(payload: bytes) -> StoredAnswer:
    """
    Decode an entry of kind ``ANSWER``.

    Parameters
    ----------
    payload : bytes
        Payload of the entry.

    Returns
    -------
    StoredAnswer
        The claim and its answer.
    """
    return _answer_decoder.decode(payload)


class RecordMachine:
    """
    State machine of one record group; implements the `StateMachine` protocol of `consensus`.

    Parameters
    ----------
    store : SegmentStore
        Stores the records and the answers of claims.

    See Also
    --------
    marigoldtrail.records.SegmentStore : relation between snapshots and segment files.
    """

    __slots__ = ("claims", "store", "retained_ms", "_recent_records")

    def __init__(self, *, store: SegmentStore) -> None:
        self.claims = ClaimTable()
        self.store = store
        self.retained_ms = 0
        self._recent_records: OrderedDict[str, int] = OrderedDict()

    def apply(self, index: int, command: bytes) -> CommandResult:
        """
        Apply a committed command.

        Parameters
        ----------
        index : int
            Log index of the command.
        command : bytes
            From `encode_command`.

        Returns
        -------
        ClaimResult, PutRecordReply, RetainResult or Failure
            The result; a failure only for a command that this version cannot decode.
        """
        try:
            decoded = _decoder.decode(command)
        except msgspec.MsgspecError as exc:
            return Failure(
                reason=Reason.BAD_REQUEST,
                run_state=RunState.NOT_RUN,
                step="records.apply",
                detail=str(exc),
            )
        match decoded:
            case OpenCommand():
                return self.claims.open(decoded.req, at_ms=decoded.at_ms, checked=decoded.checked)
            case SettleCommand():
                return self._settle(decoded)
            case PutCommand():
                return self._put(index, decoded)
            case RetainCommand():
                return self._retain(decoded)

    def _settle(self, command: SettleCommand) -> ClaimResult | ArchivedClaims:
        req = command.req
        location: Location | None = None
        if self.claims.accepts_answer(req, by=command.by):
            answer = StoredAnswer(
                client_account=req.client_account,
                idempotency_key=req.idempotency_key,
                stage=req.stage,
                digest=self.claims.get_digest(req.client_account, req.idempotency_key),
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                answer=req.answer,
            )
            location = self.store.append(ANSWER, _encoder.encode(answer), at_ms=command.at_ms)
        return self.claims.settle(req, by=command.by, at_ms=command.at_ms, answer=location)

    def _put(self, index: int, command: PutCommand) -> PutRecordReply:
        payload = bytes(command.record)
        request_id = _fields_decoder.decode(payload).request_id
        stored_index = self._recent_records.get(request_id)
        if stored_index is not None:
            return PutRecordReply(index=stored_index)
        self.store.append(RECORD, payload, at_ms=command.at_ms)
        self._recent_records[request_id] = index
        if len(self._recent_records) > MAX_RECENT_RECORDS:
            self._recent_records.popitem(last=False)
        return PutRecordReply(index=index)

    def _retain(self, command: RetainCommand) -> RetainResult:
        self.retained_ms = max(self.retained_ms, command.before_ms)
        first_segment = self.store.drop_before(command.before_ms)
        dropped = self.claims.drop_expired(
            first_segment=first_segment, before_ms=command.before_ms, at_ms=command.at_ms
        )
        return RetainResult(first_segment, dropped)

    def snapshot(self) -> bytes:
        """
        Encode the state.

        Returns
        -------
        bytes
            Claims, recent request ids, and the numbers, checksums and unflushed tails of the
            segments. Flushed records are only in the segment files.
        """
        state = MachineState(
            version=SNAPSHOT_VERSION,
            claims=self.claims.dump(),
            recent=dict(self._recent_records),
            segments=self.store.dump(),
            retained_ms=self.retained_ms,
        )
        return _encoder.encode(state)

    def restore(self, data: bytes) -> None:
        """
        Replace the state with that of a snapshot.

        Parameters
        ----------
        data : bytes
            Result of `snapshot` on any member.

        Raises
        ------
        ValueError
            If the snapshot has an unsupported version.
        """
        state = _state_decoder.decode(data)
        if state.version != SNAPSHOT_VERSION:
            raise ValueError(
                f"unsupported snapshot version {state.version}; expected {SNAPSHOT_VERSION}"
            )
        self.claims = ClaimTable(state=state.claims)
        self._recent_records = OrderedDict(state.recent)
        self.retained_ms = state.retained_ms
        self.store.restore(state.segments)

    def is_complete(self) -> bool:
        """
        Tell whether this host has all segment files listed in the state.

        Returns
        -------
        bool
            A learner must not become a voter while it is False, because the durability of a record
            relies on the copies held by a majority of voters.
        """
        return self.store.is_complete()

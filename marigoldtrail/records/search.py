"""Search and export result records."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from marigoldtrail.errors import Failure
from marigoldtrail.records.entries import RECORD
from marigoldtrail.records.index import Field
from marigoldtrail.records.segments import SegmentStore
from marigoldtrail.schema.generated.records import FindRecords, ResultRecord

MAX_FOUND_RECORDS = 1000
# The reply must fit in one frame of 8 MB.
MAX_REPLY_BYTES = 4 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(ResultRecord)


async def search_records(store: SegmentStore, req: FindRecords) -> list[ResultRecord] | Failure:
    """
    Search for records that match a request.

    Parameters
    ----------
    store : SegmentStore
        The segments of the group.
    req : FindRecords
        The request; an empty field matches every record.

    Returns
    -------
    list of ResultRecord or Failure
        Newest first; at most `req.limit` records, `MAX_FOUND_RECORDS` records and about 4 MB. A
        failure if a candidate record cannot be read.
    """
    field, value = _choose_index_field(req)
    locations = store.find(field, value)
    if isinstance(locations, Failure):
        return locations
    found: list[ResultRecord] = []
    size = 0
    # A record resent after its id left the list of recent ids is stored twice; the older copy is
    # returned, so that all candidates must be read.
    limit = len(locations) if req.request_id else min(req.limit, MAX_FOUND_RECORDS)
    for location in locations:
        if len(found) >= limit:
            break
        entry = await store.read(location)
        if isinstance(entry, Failure):
            return entry
        record = _decoder.decode(entry.payload)
        if not _matches(record, req):
            continue
        size += len(entry.payload)
        if found and size > MAX_REPLY_BYTES:
            break
        found.append(record)
    return found[-1:] if req.request_id else found


def _choose_index_field(req: FindRecords) -> tuple[Field, str]:
    # In decreasing order of selectivity.
    if req.request_id:
        return Field.REQUEST_ID, req.request_id
    if req.idempotency_key:
        return Field.IDEMPOTENCY_KEY, req.idempotency_key
    if req.result_digest:
        return Field.RESULT_DIGEST, req.result_digest
    return Field.CLIENT_ACCOUNT, req.client_account


def _matches(record: ResultRecord, req: FindRecords) -> bool:
    return (
        req.request_id in ("", record.request_id)
        and req.result_digest in ("", record.result_digest)
        and req.client_account in ("", record.client_account)
        and req.idempotency_key in ("", record.idempotency_key)
    )


async def export_records(
    store: SegmentStore, write_line: Callable[[bytes], Awaitable[None]]
) -> list[Failure]:
    """
    Export all records as JSON lines, oldest first.

    Parameters
    ----------
    store : SegmentStore
        The segments; must be flushed and verified.
    write_line : callable
        Asynchronous function that takes one line without the newline.

    Returns
    -------
    list of Failure
        One for each corrupt segment; its records after the corruption are not exported.
    """
    failures: list[Failure] = []
    for number in store.list_numbers():
        offset = 0
        end = store.get_durable_size(number)
        while offset < end:
            entries = await store.read_entries(number, offset, end)
            if isinstance(entries, Failure):
                failures.append(entries)
                break
            for entry in entries:
                if entry.kind == RECORD:
                    await write_line(record_to_json(_decoder.decode(entry.payload)))
            offset = entries[-1].end
    return failures


def record_to_json(record: ResultRecord) -> bytes:
    """
    Encode a record as JSON for export.

    Parameters
    ----------
    record : ResultRecord
        The record.

    Returns
    -------
    bytes
        A JSON object; its `output` is the JSON text of the output as a string.
    """
    fields = msgspec.to_builtins(record, builtin_types=(bytes,))
    fields["output"] = record.output.decode("utf-8", "replace")
    return msgspec.json.encode(fields)

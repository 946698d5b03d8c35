"""Fetch missing segment files from the other members of a record group."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Sequence

from marigoldtrail.errors import Failure
from marigoldtrail.records.segment import Segment
from marigoldtrail.records.segments import SegmentStore
from marigoldtrail.schema.generated.records import FetchSegment, SegmentChunk

CHUNK_BYTES = 256 * 1024

FetchChunk = Callable[[str, FetchSegment], Awaitable[SegmentChunk | Failure]]

_log = logging.getLogger(__name__)


async def fetch_missing(
    store: SegmentStore, group: str, hosts: Sequence[str], fetch_chunk: FetchChunk
) -> int:
    """
    Try once to fetch each missing segment.

    Parameters
    ----------
    store : SegmentStore
        The segments of this host.
    group : str
        Name of the record group.
    hosts : sequence of str
        The other members.
    fetch_chunk : callable
        Asynchronous function that takes a host and a `FetchSegment`.

    Returns
    -------
    int
        Number of segments installed.
    """
    installed = 0
    for segment in store.list_missing():
        for host in hosts:
            data = await _fetch_segment(segment, group, host, fetch_chunk)
            if data is not None and await store.install(segment, data):
                _log.info(
                    "segment %d of group %s fetched from host %s", segment.number, group, host
                )
                installed += 1
                break
    return installed


async def _fetch_segment(
    segment: Segment, group: str, host: str, fetch_chunk: FetchChunk
) -> bytes | None:
    data = bytearray()
    while len(data) < segment.flushed:
        length = min(CHUNK_BYTES, segment.flushed - len(data))
        request = FetchSegment(group=group, segment=segment.number, offset=len(data), length=length)
        reply = await fetch_chunk(host, request)
        if isinstance(reply, Failure) or not reply.data:
            _log.info(
                "segment %d of group %s could not be fetched from host %s",
                segment.number,
                group,
                host,
            )
            return None
        data += reply.data
    return bytes(data)

"""Background tasks for the segment files of a record group: flushing, fetching and retention."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from marigoldtrail.records.fetch import FetchChunk, fetch_missing
from marigoldtrail.records.group import RecordGroup
from marigoldtrail.records.machine import RetainCommand
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

FLUSH_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 1.0
FETCH_INTERVAL_S = 1.0
RETENTION_INTERVAL_S = 3600.0
# Maximum advance of the retention limit per round, so that a wall clock set far ahead cannot drop
# years of records at once. Twice the interval lets retention catch up.
MAX_RETENTION_STEP_MS = 7_200_000
DAY_MS = 86_400_000


async def write_segments(group: RecordGroup, timers: Timers) -> None:
    """
    Flush applied entries to the segment files until cancelled.

    Parameters
    ----------
    group : RecordGroup
        The group.
    timers : Timers
        Clock.
    """
    store = group.machine.store
    while True:
        changed = store.changed
        await store.maintain()
        # Batch entries into one fsync; they are already durable in the log.
        await timers.sleep(FLUSH_INTERVAL_S)
        if store.failure is None:
            await changed.wait()
        else:
            await timers.sleep(RETRY_INTERVAL_S)


async def fetch_segments(
    group: RecordGroup, host: str, fetch_chunk: FetchChunk, timers: Timers, telemetry: Telemetry
) -> None:
    """
    Fetch missing and corrupt segments from the other members until cancelled.

    Parameters
    ----------
    group : RecordGroup
        The group.
    host : str
        Name of this host.
    fetch_chunk : callable
        Asynchronous function that takes a host and a `FetchSegment`.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Records a decision for each round in which segments were missing.
    """
    async for _ in timers.subscribe("records.fetch", FETCH_INTERVAL_S):
        store = group.machine.store
        missing = store.list_missing()
        if not missing:
            continue
        hosts = [member for member in group.members if member != host]
        installed = await fetch_missing(store, group.name, hosts, fetch_chunk)
        telemetry.decisions.add(
            "segment.fetch",
            group.name,
            "segments were missing or damaged",
            missing=len(missing),
            installed=installed,
        )


async def apply_retention(
    group: RecordGroup,
    retention_days: int,
    propose: Callable[[RetainCommand], Awaitable[Any]],
    timers: Timers,
) -> None:
    """
    Propose the removal of expired records and claims while this host leads, until cancelled.

    Parameters
    ----------
    group : RecordGroup
        The group.
    retention_days : int
        Retention period of records and settled claims, in days.
    propose : callable
        Asynchronous function that proposes a command to the group.
    timers : Timers
        Clock.
    """
    async for _ in timers.subscribe("records.retention", RETENTION_INTERVAL_S):
        machine = group.machine
        oldest_ms = machine.store.get_oldest_ms()
        if not group.log.is_leader or not oldest_ms:
            continue
        now_ms = timers.wall_ms()
        progress_ms = max(machine.retained_ms, oldest_ms)
        before_ms = min(now_ms - retention_days * DAY_MS, progress_ms + MAX_RETENTION_STEP_MS)
        if before_ms > machine.retained_ms:
            await propose(RetainCommand(before_ms, now_ms))

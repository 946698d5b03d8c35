"""Tasks that keep the segment files of a record group: writing, fetching, retention."""

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
RETAIN_INTERVAL_S = 3600.0
# Retention moves on by at most this much per round, so that a wall clock set far ahead cannot drop
# the records of years at once; twice the interval lets it catch up.
RETAIN_STEP_MS = 7_200_000
DAY_MS = 86_400_000


async def write_segments(group: RecordGroup, timers: Timers) -> None:
    """
    Write what was applied to segment files, until cancelled.

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
        # Entries that arrive together share one fsync; they are durable in the log already.
        await timers.sleep(FLUSH_INTERVAL_S)
        if store.failure is None:
            await changed.wait()
        else:
            await timers.sleep(RETRY_INTERVAL_S)


async def fetch_segments(
    group: RecordGroup, host: str, fetch_chunk: FetchChunk, timers: Timers, telemetry: Telemetry
) -> None:
    """
    Fetch missing and damaged segments from the other members, until cancelled.

    Parameters
    ----------
    group : RecordGroup
        The group.
    host : str
        Name of this host.
    fetch_chunk : callable
        Asynchronous function of a host and a `FetchSegment`.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Receives a decision for each round that fetched something.
    """
    async for _ in timers.subscribe("records.fetch", FETCH_INTERVAL_S):
        store = group.machine.store
        missing = store.missing()
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
    Drop what is older than the retention while this host leads the group, until cancelled.

    Parameters
    ----------
    group : RecordGroup
        The group.
    retention_days : int
        Days that records and settled claims are kept.
    propose : callable
        Proposes a command to the group.
    timers : Timers
        Clock.
    """
    async for _ in timers.subscribe("records.retention", RETAIN_INTERVAL_S):
        machine = group.machine
        oldest = machine.store.oldest_ms()
        if not group.log.is_leader or not oldest:
            continue
        now_ms = timers.wall_ms()
        reached = max(machine.retained_ms, oldest)
        before_ms = min(now_ms - retention_days * DAY_MS, reached + RETAIN_STEP_MS)
        if before_ms > machine.retained_ms:
            await propose(RetainCommand(before_ms, now_ms))

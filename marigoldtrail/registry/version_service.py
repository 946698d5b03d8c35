"""Keeps the software versions of services and streams in the log, on control hosts."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

import msgspec

from marigoldtrail.consensus import Group
from marigoldtrail.control.commands import (
    AddVersions,
    Command,
    PutStreams,
    RemoveVersion,
    encode_command,
)
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.control.version_ledger import VersionLedger
from marigoldtrail.errors import Failure
from marigoldtrail.net import Handlers
from marigoldtrail.schema.generated.registry import (
    FindStreamVersion,
    RecordStreams,
    ServiceVersions,
    StreamsRecorded,
    StreamVersionReply,
    UpstreamEntry,
)
from marigoldtrail.timers import Timers

BARRIER_TIMEOUT_S = 0.8
PROPOSE_TIMEOUT_S = 2.0
# Callers may resume a stream for at least this long after it began.
RETENTION_S = 60.0
# Records are dropped together if they were made within this time.
BATCH_S = 1.0
DROP_INTERVAL_S = 5.0

_log = logging.getLogger(__name__)


class RecordBatch(msgspec.Struct, kw_only=True):
    """
    Records that are dropped together.

    Parameters
    ----------
    through_index : int
        Log index of the last one.
    started_at : float
        Monotonic time in seconds of the first one, or later.
    """

    through_index: int
    started_at: float


class VersionService:
    """
    Versions of services and streams on one control host.

    All times are counted by the present leader, so that a new leader keeps records longer but never
    shorter, and the wall clock plays no part.

    Parameters
    ----------
    group : Group
        The log group.
    machine : ConfigMachine
        The group's state machine on this host.
    timers : Timers
        Clock.
    """

    __slots__ = ("_group", "_machine", "_timers", "_term", "_listed_at", "_batches", "_dropped_at")

    def __init__(self, *, group: Group, machine: ConfigMachine, timers: Timers) -> None:
        self._group = group
        self._machine = machine
        self._timers = timers
        self._term = 0
        # Last time at which the platform listed an upstream of the version, by service and version.
        self._listed_at: dict[tuple[str, str], float] = {}
        self._batches: deque[RecordBatch] = deque()
        self._dropped_at = 0.0

    @property
    def ledger(self) -> VersionLedger:
        """The durable versions."""
        return self._machine.state.versions

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of this service.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        return {
            RecordStreams: self._record_streams,
            FindStreamVersion: self._find_stream_version,
        }

    def list_versions(self) -> list[ServiceVersions]:
        """Return the versions of all services."""
        return [
            ServiceVersions(service=service, versions=versions)
            for service, versions in self.ledger.services.items()
        ]

    def select_known(self, entries: list[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the upstreams whose version is durably known; only these may get streams."""
        services = self.ledger.services
        return [entry for entry in entries if entry.version in services.get(entry.service, [])]

    async def add_missing(self, entries: list[UpstreamEntry]) -> Failure | None:
        """
        Make the versions of listed upstreams durable.

        Parameters
        ----------
        entries : list of UpstreamEntry
            The platform's list.

        Returns
        -------
        Failure or None
            Why the log did not take them.
        """
        missing: dict[str, list[str]] = {}
        for entry in sorted(entries, key=lambda entry: (entry.service, entry.version)):
            versions = missing.setdefault(entry.service, [])
            if entry.version not in [*versions, *self.ledger.services.get(entry.service, [])]:
                versions.append(entry.version)
        missing = {service: versions for service, versions in missing.items() if versions}
        if not missing:
            return None
        failure = await self._propose(AddVersions(versions=missing))
        if failure is None:
            _log.info("versions in service", extra={"versions": missing})
        return failure

    async def remove_expired(self, entries: list[UpstreamEntry]) -> None:
        """Remove the versions and records that no stream in progress can hold any more."""
        self._start_term()
        now = self._timers.now()
        for entry in entries:
            self._listed_at[entry.service, entry.version] = now
        for service, version in self._list_expired(now):
            if await self._propose(RemoveVersion(service=service, version=version)) is None:
                _log.info("version out of service", extra={"subject": service, "version": version})
        through = self._find_expired_index(now)
        is_due = now >= self._dropped_at + DROP_INTERVAL_S
        if is_due and 0 < self.ledger.oldest_index() <= through:
            self._dropped_at = now
            await self._propose(PutStreams(streams={}, drop_through=through))

    def _list_expired(self, now: float) -> list[tuple[str, str]]:
        expired = []
        for service, versions in self.ledger.services.items():
            gone = [
                version
                for version in versions
                if now - self._listed_at.setdefault((service, version), now) > RETENTION_S
            ]
            # With all of them gone, the last one goes when another has taken its place.
            expired += [(service, version) for version in gone if len(gone) < len(versions)]
        return expired

    async def _record_streams(
        self, request: RecordStreams, sender: str
    ) -> StreamsRecorded | Failure:
        self._start_term()
        command = PutStreams(
            streams={stream.key: stream.version for stream in request.streams},
            drop_through=self._find_expired_index(self._timers.now()),
        )
        failure = await self._propose(command)
        if failure is not None:
            return failure
        self._note_records()
        return StreamsRecorded()

    async def _find_stream_version(
        self, request: FindStreamVersion, sender: str
    ) -> StreamVersionReply | Failure:
        # Without the barrier, a deposed leader would not know streams that began since.
        failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if failure is not None:
            return failure
        version = self.ledger.find_version(request.service, request.key)
        return StreamVersionReply(is_known=version is not None, version=version or "")

    def _start_term(self) -> None:
        """Count all times anew in the first call of a term."""
        if self._term == self._group.term:
            return
        self._term = self._group.term
        now = self._timers.now()
        self._listed_at = {}
        self._batches = deque(
            [RecordBatch(through_index=self._group.applied_index, started_at=now)]
        )

    def _note_records(self) -> None:
        now, index = self._timers.now(), self._group.applied_index
        last = self._batches[-1] if self._batches else None
        if last is not None and now < last.started_at + BATCH_S:
            last.through_index = index
        else:
            self._batches.append(RecordBatch(through_index=index, started_at=now))

    def _find_expired_index(self, now: float) -> int:
        """Return the log index up to which records may be dropped; 0 for none."""
        through = 0
        while self._batches and self._batches[0].started_at + BATCH_S + RETENTION_S <= now:
            through = self._batches[0].through_index
            if len(self._batches) == 1:
                break
            self._batches.popleft()
        return through

    async def _propose(self, command: Command) -> Failure | None:
        reply: Any = await self._group.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)
        return reply if isinstance(reply, Failure) else None

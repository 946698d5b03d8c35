"""Keeps the software versions of services and streams in the log, on control hosts."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

import msgspec

from marigoldtrail.consensus import Group
from marigoldtrail.control.commands import (
    VERSIONS_LEVEL,
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

VersionCommand = AddVersions | RemoveVersion | PutStreams

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

    While a member of the group may be of a release that can't apply the commands of versions, the
    log gets none, and an interim ledger in the leader's memory takes their place.

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

    __slots__ = (
        "_group",
        "_machine",
        "_timers",
        "_term",
        "_listed_at",
        "_batches",
        "_dropped_at",
        "_interim",
        "_interim_index",
        "_is_beginning",
        "_complete_at",
    )

    def __init__(self, *, group: Group, machine: ConfigMachine, timers: Timers) -> None:
        self._group = group
        self._machine = machine
        self._timers = timers
        self._term = 0
        # Last time at which the platform listed an upstream of the version, by service and version.
        self._listed_at: dict[tuple[str, str], float] = {}
        self._batches: deque[RecordBatch] = deque()
        self._dropped_at = 0.0
        self._interim = VersionLedger()
        self._interim_index = 0
        self._is_beginning = False
        # Time from which on all streams in progress began under this leader; None: not known yet.
        self._complete_at: float | None = None

    @property
    def ledger(self) -> VersionLedger:
        """The durable versions, or those in memory until the log has any."""
        self._start_term()
        durable = self._machine.state.versions
        return durable if durable.services else self._interim

    def _is_durable(self) -> bool:
        """Return whether the log gets the commands of versions."""
        return bool(self._machine.state.versions.services) or self._is_beginning

    def may_begin(self) -> bool:
        """Return whether the log has no versions yet and all members can apply their commands."""
        return not self._machine.state.versions.services and self._group.has_level(VERSIONS_LEVEL)

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
        """Return the upstreams whose version the ledger has; only these may get streams."""
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
        self._start_term()
        self._find_complete_at()
        if self.may_begin() and (failure := await self._begin()) is not None:
            return failure
        known = self._machine.state.versions if self._is_durable() else self._interim
        missing = {} if known is self._interim else self._list_interim_versions(known)
        for entry in sorted(entries, key=lambda entry: (entry.service, entry.version)):
            versions = missing.setdefault(entry.service, [])
            if entry.version not in [*versions, *known.services.get(entry.service, [])]:
                versions.append(entry.version)
        missing = {service: versions for service, versions in missing.items() if versions}
        if not missing:
            return None
        failure = await self._write(AddVersions(versions=missing))
        if failure is None:
            _log.info("versions in service", extra={"versions": missing})
        return failure

    async def _begin(self) -> Failure | None:
        """Put the records in memory into the log, which gets all later ones at once."""
        if not self._is_beginning:
            _log.info("all control hosts can apply the commands of versions")
            self._is_beginning = True
            # From here on records are dropped by their index in the log.
            self._batches.clear()
        streams = {key: record.version for key, record in self._interim.streams.items()}
        failure = await self._propose(PutStreams(streams=streams)) if streams else None
        if failure is None:
            self._note_records()
        return failure

    def _list_interim_versions(self, known: VersionLedger) -> dict[str, list[str]]:
        if known.services:
            return {}
        return {service: list(versions) for service, versions in self._interim.services.items()}

    def _find_complete_at(self) -> float:
        """Return when this leader knows all streams; call it after a barrier of its term."""
        if self._complete_at is None:
            has_all = bool(self._machine.state.versions.services) or self._is_first_leader()
            self._complete_at = 0.0 if has_all else self._timers.now() + RETENTION_S
        return self._complete_at

    def _is_first_leader(self) -> bool:
        """Return whether no stream was served before this term: there was no configuration."""
        state = self._machine.state
        is_only_one = len(state.manifests_accepted) <= 1
        return is_only_one and (
            state.manifest is None or state.manifest_index > self._group.term_start_index
        )

    async def remove_expired(self, entries: list[UpstreamEntry]) -> None:
        """Remove the versions and records that no stream in progress can hold any more."""
        self._start_term()
        now = self._timers.now()
        for entry in entries:
            self._listed_at[entry.service, entry.version] = now
        for service, version in self._list_expired(now):
            if await self._write(RemoveVersion(service=service, version=version)) is None:
                _log.info("version out of service", extra={"subject": service, "version": version})
        through = self._find_expired_index(now)
        is_due = now >= self._dropped_at + DROP_INTERVAL_S
        if is_due and 0 < self.ledger.oldest_index() <= through:
            self._dropped_at = now
            await self._write(PutStreams(streams={}, drop_through=through))

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
        if not self._machine.state.versions.services:
            # The log may only not have been read yet.
            failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
            if failure is not None:
                return failure
        command = PutStreams(
            streams={stream.key: stream.version for stream in request.streams},
            drop_through=self._find_expired_index(self._timers.now()),
        )
        failure = await self._write(command)
        if failure is not None:
            return failure
        if self._is_beginning and not self._machine.state.versions.services:
            # The interim ledger is read until the log has the versions, too.
            self._write_interim(command)
        self._note_records()
        return StreamsRecorded()

    async def _find_stream_version(
        self, request: FindStreamVersion, sender: str
    ) -> StreamVersionReply | Failure:
        # Without the barrier, a deposed leader would not know streams that began since.
        failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if failure is not None:
            return failure
        version = self._find_version(request.service, request.key)
        return StreamVersionReply(is_known=version is not None, version=version or "")

    def _find_version(self, service: str, key: bytes) -> str | None:
        ledger, durable = self.ledger, self._machine.state.versions
        if key not in ledger.streams and key in durable.streams:
            return durable.streams[key].version
        is_unrecorded = key not in ledger.streams and len(ledger.services.get(service, [])) > 1
        if is_unrecorded and self._timers.now() < self._find_complete_at():
            return None
        return ledger.find_version(service, key)

    def _start_term(self) -> None:
        """Count all times anew in the first call of a term."""
        if self._term == self._group.term:
            return
        self._term = self._group.term
        now = self._timers.now()
        self._listed_at = {}
        self._interim = VersionLedger()
        self._interim_index = 0
        self._is_beginning = False
        self._complete_at = None
        self._batches = deque([RecordBatch(through_index=self._get_index(), started_at=now)])

    def _note_records(self) -> None:
        now, index = self._timers.now(), self._get_index()
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

    def _get_index(self) -> int:
        """Return the index of the last record, in the log or in the interim ledger."""
        return self._group.applied_index if self._is_durable() else self._interim_index

    async def _write(self, command: VersionCommand) -> Failure | None:
        if self._is_durable():
            return await self._propose(command)
        self._write_interim(command)
        return None

    def _write_interim(self, command: VersionCommand) -> None:
        self._interim_index += 1
        index = self._interim_index
        match command:
            case AddVersions():
                # Negative, so that hosts tell it from the index of the log that comes later.
                self._interim.add_versions(-index, command.versions)
            case RemoveVersion():
                self._interim.remove_version(-index, command.service, command.version)
            case PutStreams():
                through = 0 if self._is_beginning else command.drop_through
                self._interim.put_streams(index, command.streams, drop_through=through)

    async def _propose(self, command: Command) -> Failure | None:
        reply: Any = await self._group.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)
        return reply if isinstance(reply, Failure) else None

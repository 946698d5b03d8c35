"""Versions that began streams: record them for other hosts, and find those of resumed streams."""

from __future__ import annotations

import hashlib
import logging
from collections import OrderedDict
from typing import Protocol, TypeVar

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.registry import FleetState
from marigoldtrail.schema.generated.registry import (
    FindStreamVersion,
    RecordStreams,
    StreamsRecorded,
    StreamVersion,
    StreamVersionReply,
)
from marigoldtrail.timers import Timers

KEY_BYTES = 16
# Begins the name of a service in a record; no version begins with a space.
SERVICE_MARK = " service:"
# Keys of streams that this host remembers by itself, beyond those in the log.
MAX_REMEMBERED = 8192
MAX_BATCH = 256
# Without a leader that has answered so recently, new streams prefer versions without records, and
# no records are sent: those on their way can't be withdrawn.
MAX_LEADER_AGE_S = 1.0
RECORD_TIMEOUT_S = 2.0
# A call that found no leader ends when the last answer of one is so old.
MAX_CALL_AGE_S = 1.25
RECORD_RETRY_S = 0.1
FIND_TIMEOUT_S = 1.0
# A caller may come back when a leader has had time to be elected.
RETRY_AFTER_S = 1.0

Reply = TypeVar("Reply", bound=msgspec.Struct)

_log = logging.getLogger(__name__)


class CallLeader(Protocol):
    """Call of the leader."""

    async def __call__(
        self, request: msgspec.Struct, reply_type: type[Reply], timeout_s: float, /
    ) -> Reply | Failure:
        """Return the reply, or the failure after a timeout in seconds."""
        ...


class Recording:
    """
    Record of the version that begins one stream, while it is made durable.

    Parameters
    ----------
    keys : tuple of bytes
        Keys of the stream.
    version : str
        The version.

    Attributes
    ----------
    is_wanted : bool
        Whether it still has to be made durable.
    may_be_durable : bool
        Whether a call with the record may have reached a leader. If not, the record can be
        withdrawn, and its stream can begin at another version.
    """

    __slots__ = ("keys", "version", "is_wanted", "may_be_durable", "_done")

    def __init__(self, *, keys: tuple[bytes, ...], version: str) -> None:
        self.keys = keys
        self.version = version
        self.is_wanted = True
        self.may_be_durable = False
        self._done = trio.Event()

    def finish(self) -> None:
        """Note that the record is durable."""
        self._done.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait for at most some seconds; return whether the record is durable."""
        with trio.move_on_after(timeout_s):
            await self._done.wait()
        return self._done.is_set()


class StreamVersions:
    """
    Versions that began streams, on one entry.

    Parameters
    ----------
    fleet_state : FleetState
        Versions of the services.
    call_leader : callable
        Calls the leader.
    timers : Timers
        Delays between attempts.
    """

    __slots__ = ("_fleet_state", "_call_leader", "_timers", "_remembered", "_queue", "_queued")

    def __init__(self, *, fleet_state: FleetState, call_leader: CallLeader, timers: Timers) -> None:
        self._fleet_state = fleet_state
        self._call_leader = call_leader
        self._timers = timers
        self._remembered: OrderedDict[bytes, str] = OrderedDict()
        self._queue: list[Recording] = []
        self._queued = trio.Event()

    def get_default(self, service: str) -> str | None:
        """Return the version whose streams need no record; None if it is not known."""
        versions = self._fleet_state.versions.get(service)
        return versions[0] if versions else None

    def start_recording(self, keys: tuple[bytes, ...], version: str) -> Recording:
        """Begin to make the version of a stream durable under all its keys; `run` does it."""
        recording = Recording(keys=keys, version=version)
        self._queue.append(recording)
        self._queued.set()
        return recording

    def start_recording_service(self, keys: tuple[bytes, ...], service: str) -> Recording:
        """Begin to make the service of a stream durable, under keys of `make_service_keys`."""
        return self.start_recording(keys, SERVICE_MARK + service)

    def remember(self, keys: tuple[bytes, ...], version: str) -> None:
        """Remember the version of a stream whose first event is forwarded by this host."""
        for key in keys:
            self._remembered[key] = version
            self._remembered.move_to_end(key)
        while len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    async def find(self, service: str, keys: tuple[bytes, ...]) -> str | Failure:
        """
        Find the version that began a stream.

        Parameters
        ----------
        service : str
            Service of the stream.
        keys : tuple of bytes
            Keys of the stream, the surest first; empty if its caller did not name it.

        Returns
        -------
        str or Failure
            The version; ``VIEW_NOT_CURRENT`` if it is unknown or no leader answered.
        """
        for key in keys:
            if (remembered := self._remembered.get(key)) is not None:
                return remembered
        if not self._fleet_state.leader_records_streams:
            return self._find_only_version(service)
        default = self.get_default(service)
        unrecorded = set()
        for key in keys or (b"",):
            request = FindStreamVersion(service=service, key=key)
            reply = await self._call_leader(request, StreamVersionReply, FIND_TIMEOUT_S)
            if isinstance(reply, Failure):
                return make_unknown_failure(service, f"no leader answered: {reply}", RETRY_AFTER_S)
            if reply.is_known and default is not None and reply.version != default:
                return reply.version
            if reply.is_known:
                unrecorded.add(reply.version)
        if len(unrecorded) != 1:
            return make_unknown_failure(service, "it may have any of several versions")
        return unrecorded.pop()

    async def find_service(self, service: str, keys: tuple[bytes, ...]) -> str | None:
        """
        Find the service that began a stream.

        Parameters
        ----------
        service : str
            Service by the configuration in force.
        keys : tuple of bytes
            Keys of `make_service_keys`.

        Returns
        -------
        str or None
            None if no other service is recorded, or no leader answered.
        """
        if not self._fleet_state.leader_records_streams:
            return None
        for key in keys:
            request = FindStreamVersion(service=service, key=key)
            reply = await self._call_leader(request, StreamVersionReply, FIND_TIMEOUT_S)
            if isinstance(reply, Failure):
                return None
            if reply.is_known and reply.version.startswith(SERVICE_MARK):
                return reply.version.removeprefix(SERVICE_MARK)
        return None

    def _find_only_version(self, service: str) -> str | Failure:
        """Return the version of all upstreams of a service, beside a leader without records."""
        versions = self._fleet_state.list_versions(service)
        if len(versions) == 1:
            return versions.pop()
        return make_unknown_failure(
            service, "the leader's release keeps no records, and several versions are in service"
        )

    async def run(self) -> None:
        """Make queued records durable until cancelled."""
        while True:
            self._queue = [recording for recording in self._queue if recording.is_wanted]
            if not self._queue:
                self._queued = trio.Event()
                await self._queued.wait()
                continue
            is_recorded = False
            try:
                is_recorded = await self._record(self._queue[:MAX_BATCH])
            except Exception:
                # An error here must not end the host, and with it all its streams.
                _log.exception("versions of streams could not be recorded")
            if not is_recorded:
                await self._timers.sleep(RECORD_RETRY_S)

    async def _record(self, batch: list[Recording]) -> bool:
        """Make the first records of the queue durable; return False if the leader did not."""
        if not self._fleet_state.leader_records_streams:
            # A stream must not wait for a record that nobody can make.
            self._finish(batch)
            return True
        age_s = self._fleet_state.age_s()
        if age_s > MAX_LEADER_AGE_S:
            return False
        streams = [
            StreamVersion(key=key, version=recording.version)
            for recording in batch
            for key in recording.keys
        ]
        request = RecordStreams(streams=streams)
        unsent = [recording for recording in batch if not recording.may_be_durable]
        for recording in batch:
            recording.may_be_durable = True
        timeout_s = min(RECORD_TIMEOUT_S, MAX_CALL_AGE_S - age_s)
        reply = await self._call_leader(request, StreamsRecorded, timeout_s)
        if isinstance(reply, Failure):
            if reply.run_state is RunState.NOT_RUN:
                for recording in unsent:
                    recording.may_be_durable = False
            _log.warning("versions of %d streams not recorded: %s", len(batch), reply)
            return False
        self._finish(batch)
        return True

    def _finish(self, batch: list[Recording]) -> None:
        del self._queue[: len(batch)]
        for recording in batch:
            recording.finish()


def make_stream_keys(account: str, request_id: str) -> tuple[bytes, ...]:
    """
    Return the keys under which a stream is recorded.

    The configuration may give a caller another client account while its stream is in progress, so
    that only the id of the attempt, which the caller draws at random for each one, names it for
    certain. The key with the account comes first: a caller of another account that begins a
    stream under the same id does not change the record that is found by it. It is also the only
    key of earlier releases.

    Parameters
    ----------
    account : str
        Client account of the attempt at hand; empty if there is none.
    request_id : str
        Id of the attempt that brought the first event; empty if it is not named.

    Returns
    -------
    tuple of bytes
        Each `KEY_BYTES` long, whatever the length of the id; none without an id.

    Examples
    --------
    >>> one, other = make_stream_keys("a", "1"), make_stream_keys("b", "1")
    >>> one[0] == other[0], one[1] == other[1]
    (False, True)
    """
    if not request_id:
        return ()
    names = dict.fromkeys((account, ""))
    return tuple(hash_stream_name(f"{name}\0{request_id}") for name in names)


def make_service_keys(account: str, request_id: str) -> tuple[bytes, ...]:
    """
    Return the keys under which the service of a stream is recorded.

    Parameters
    ----------
    account, request_id : str
        As for `make_stream_keys`.

    Returns
    -------
    tuple of bytes
        Others than those of its version.
    """
    if not request_id:
        return ()
    names = dict.fromkeys((account, ""))
    return tuple(hash_stream_name(f"{name}\0{request_id}\0service") for name in names)


def hash_stream_name(name: str) -> bytes:
    """Return a digest of `KEY_BYTES` bytes."""
    data = name.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()


def make_unknown_failure(service: str, detail: str, retry_after_s: float = 0.0) -> Failure:
    """Return the failure of a resumed stream whose version is not known."""
    return Failure(
        reason=Reason.VIEW_NOT_CURRENT,
        run_state=RunState.NOT_RUN,
        step="stream.version",
        peer=service,
        detail=f"the version that began the stream is not known; {detail}",
        retry_after_s=retry_after_s,
    )

"""Admit streams to upstreams: which version may serve them, and when events may be forwarded."""

from __future__ import annotations

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.stream_services import StreamServices
from marigoldtrail.relay.stream_versions import (
    MAX_LEADER_AGE_S,
    RETRY_AFTER_S,
    Recording,
    StreamVersions,
)
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

# A host in step with the leader has a confirmation at least this often.
MAX_CONFIRMATION_AGE_S = 0.5
# Longest wait of a resumed stream for the first reply of the leader after an interruption.
MAX_LIST_WAIT_S = 0.6
LIST_POLL_INTERVAL_S = 0.02
# Most elections are over by then; a caller that waits longer is better off at another entry.
MAX_RECORD_WAIT_S = 1.5
# Elections are over by then, unless the control hosts have no majority or can't be reached.
MAX_ELECTION_S = 2.0
RECORD_POLL_INTERVAL_S = 0.02
# A caller that may come back gets its answer so long before the end of the time that it waits.
MIN_LEFT_S = 0.2
# After this time a caller finds upstreams of the version that needs no record.
SOON_S = 0.1
# Bytes that an earlier process wrote have been read this long after its successor was listed.
OLD_BYTES_S = 0.3
# Recorded for a stream whose version is not known; no version begins with a space.
UNKNOWN_VERSION = " unknown"


class StreamAdmission:
    """
    Binds each stream of one entry to the software version that begins it.

    Parameters
    ----------
    fleet_state : FleetState
        Upstreams of the fleet.
    versions : StreamVersions
        Records and finds the versions that began streams.
    services : StreamServices
        Keeps streams at the service that began them.
    timers : Timers
        Clock and delays.
    """

    __slots__ = ("_fleet_state", "_versions", "_services", "_timers")

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        versions: StreamVersions,
        services: StreamServices,
        timers: Timers,
    ) -> None:
        self._fleet_state = fleet_state
        self._versions = versions
        self._services = services
        self._timers = timers

    async def find_version(self, exchange: Exchange) -> Failure | None:
        """Bind a resumed stream to the version that began it; return why that is not known."""
        version = await self._versions.find(exchange.service.name, exchange.stream_keys)
        if isinstance(version, Failure):
            return version
        exchange.stream_version = version
        await self._wait_for_list(exchange.service.name, version)
        return None

    async def _wait_for_list(self, service: str, version: str) -> None:
        """Wait for the next list of upstreams if that of this host may lack those of a version."""
        until = self._timers.now() + MAX_LIST_WAIT_S
        while (
            self._timers.now() < until
            and self._fleet_state.age_s() > MAX_CONFIRMATION_AGE_S
            and not self._fleet_state.usable_upstreams(service, version=version)
        ):
            await self._timers.sleep(LIST_POLL_INTERVAL_S)

    def start_recording(self, exchange: Exchange, upstream: Upstream) -> None:
        """Begin to record the version of a new stream, while the upstream reads its prompt."""
        keys = exchange.stream_keys
        if not keys or exchange.stream_version is not None:
            return
        recording = exchange.recording
        if recording is None:
            # Streams of the default version are known without a record.
            if upstream.version == self._versions.get_default(exchange.service.name):
                return
        elif recording.version == upstream.version:
            return
        else:
            recording.is_wanted = False
        exchange.recording = self._versions.start_recording(keys, upstream.version)

    async def admit(self, exchange: Exchange, upstream: Upstream) -> Failure | None:
        """
        Wait until events of an upstream may be forwarded; return why they may not.

        Other hosts must be able to find the version of the stream when its caller has an event.
        """
        if exchange.recording is not None and exchange.needs_durable_version:
            failure = await self._wait_for_record(exchange, exchange.recording)
            if failure is not None:
                return failure
        current = self._fleet_state.upstreams.get(upstream.name, upstream)
        if (current.version, current.born_ms) != (upstream.version, upstream.born_ms):
            return Failure(
                reason=Reason.BAD_ANSWER,
                run_state=RunState.MAY_HAVE_RUN,
                step="upstream",
                peer=upstream.name,
                detail="it started again, maybe at another version",
            )
        return None

    def check_arrival(self, exchange: Exchange) -> Failure | None:
        """Return why a new stream is not sent: all versions need records that nobody can make."""
        has_leader = self._fleet_state.age_s() <= MAX_ELECTION_S
        if has_leader or not exchange.needs_durable_version or exchange.is_resumed:
            return None
        if self._has_default(exchange) or not self._fleet_state.usable_upstreams(
            exchange.service.name
        ):
            return None
        return make_unrecorded_failure(exchange, RunState.NOT_RUN, RETRY_AFTER_S)

    async def _wait_for_record(self, exchange: Exchange, recording: Recording) -> Failure | None:
        """Wait until a record is durable; return why the stream does not begin without it."""
        until = min(self._timers.now() + MAX_RECORD_WAIT_S, exchange.start_deadline - MIN_LEFT_S)
        while not await recording.wait(RECORD_POLL_INTERVAL_S):
            has_default = self._has_default(exchange)
            age_s = self._fleet_state.age_s()
            may_move = has_default and not recording.may_be_durable and age_s > MAX_LEADER_AGE_S
            if may_move or age_s > MAX_RECORD_WAIT_S or self._timers.now() >= until:
                retry_after_s = SOON_S if has_default else RETRY_AFTER_S
                return make_unrecorded_failure(exchange, RunState.MAY_HAVE_RUN, retry_after_s)
        return None

    def _has_default(self, exchange: Exchange) -> bool:
        """Return whether upstreams of the version that needs no record are usable."""
        service = exchange.service.name
        default = self._versions.get_default(service)
        return default is not None and bool(
            self._fleet_state.usable_upstreams(service, version=default)
        )

    def withdraw_record(self, exchange: Exchange) -> bool:
        """
        Withdraw a record, so that the stream can begin at the version that needs none.

        Parameters
        ----------
        exchange : Exchange
            The request; no event of its stream was forwarded.

        Returns
        -------
        bool
            False if the record may have become durable: other hosts would then resume the stream
            at its version.
        """
        recording = exchange.recording
        if recording is None or recording.may_be_durable:
            return False
        recording.is_wanted = False
        exchange.recording = None
        return self._has_default(exchange)

    def note_events(self, exchange: Exchange, upstream: Upstream) -> None:
        """
        Bind a stream to the version of the upstream that has written its events.

        Until the list shows that an upstream has started again at another version, its streams
        count as those of its earlier version. What it writes after that is of the later one.
        """
        if exchange.stream_version is None:
            self._bind(exchange, upstream)
        elif exchange.source is None or exchange.source.name != upstream.name:
            exchange.source, exchange.relisted_at = upstream, None
        later = self._fleet_state.find_other_version(exchange.source or upstream)
        if later is None or not exchange.stream_keys:
            return
        now = self._timers.now()
        if exchange.relisted_at is None:
            exchange.relisted_at = now
        elif now >= exchange.relisted_at + OLD_BYTES_S:
            self._bind(exchange, later)
            self._versions.start_recording(exchange.stream_keys, later.version)

    def _bind(self, exchange: Exchange, upstream: Upstream) -> None:
        exchange.stream_version = upstream.version
        exchange.source, exchange.relisted_at = upstream, None
        if keys := exchange.stream_keys:
            self._versions.remember(keys, upstream.version)
            self._services.note(exchange)

    def finish(self, exchange: Exchange) -> None:
        """Withdraw the record of a stream that has ended without an event."""
        self._services.note_end(exchange)
        if exchange.recording is not None and exchange.stream_version is None:
            exchange.recording.is_wanted = False
        keys = exchange.stream_keys
        if keys and is_version_unknown(exchange, self._fleet_state):
            self._versions.remember(keys, UNKNOWN_VERSION)
            self._versions.start_recording(keys, UNKNOWN_VERSION)


def make_unrecorded_failure(
    exchange: Exchange, run_state: RunState, retry_after_s: float
) -> Failure:
    """
    Return the failure of a new stream whose version could not be recorded.

    Parameters
    ----------
    exchange : Exchange
        The request.
    run_state : RunState
        Whether an upstream has begun to run it.
    retry_after_s : float
        Seconds after which its caller may come back.

    Returns
    -------
    Failure
        ``VIEW_NOT_CURRENT``.
    """
    return Failure(
        reason=Reason.VIEW_NOT_CURRENT,
        run_state=run_state,
        step="stream.record",
        peer=exchange.service.name,
        detail="no leader recorded the version of the stream in time",
        retry_after_s=retry_after_s,
    )


def is_version_unknown(exchange: Exchange, fleet_state: FleetState) -> bool:
    """
    Return whether the latest events of a stream may be of either of two versions.

    Parameters
    ----------
    exchange : Exchange
        The request.
    fleet_state : FleetState
        Upstreams of the fleet.

    Returns
    -------
    bool
        True if the list has come to show its upstream at another version, and it is not known
        which of the two wrote them.
    """
    source = exchange.source
    return source is not None and fleet_state.find_other_version(source) is not None

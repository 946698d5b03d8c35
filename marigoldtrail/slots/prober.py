"""Periodic probes of the load reports of the upstreams that this host owns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.schema.generated.control import UpstreamObservation
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.slots.owner import SlotOwner
from marigoldtrail.slots.tracker import LoadSample, UpstreamTracker
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers, run_guarded

PROBE_INTERVAL_S = 1.0
PROBE_JITTER = 0.1
# Shorter than the interval, so that probes of one upstream never overlap.
PROBE_TIMEOUT_S = 0.8
MAX_CONCURRENT_PROBES = 64
REFUSED_DETAIL = "refused"

ReadLoad = Callable[[Upstream], Awaitable[LoadSample | Failure]]


class UpstreamProber:
    """
    Keeps the states of owned upstreams up to date.

    Parameters
    ----------
    owner : SlotOwner
        Slot owner on this host.
    read_load : callable
        Asynchronous function of an `Upstream`; returns its load report or a `Failure`, whose detail
        is ``"refused"`` if no process listens.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Receives a decision for each change of state.
    """

    __slots__ = ("_owner", "_read_load", "_timers", "_telemetry")

    def __init__(
        self, *, owner: SlotOwner, read_load: ReadLoad, timers: Timers, telemetry: Telemetry
    ) -> None:
        self._owner = owner
        self._read_load = read_load
        self._timers = timers
        self._telemetry = telemetry

    async def run(self) -> None:
        """Probe every owned upstream once a second until cancelled."""
        limit = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        ticks = self._timers.subscribe("slots.watch", PROBE_INTERVAL_S, jitter=PROBE_JITTER)
        async for _ in ticks:
            self._owner.refresh()
            async with trio.open_nursery() as nursery:
                for tracker in self._owner.trackers():
                    if tracker.upstream.reports_load:
                        nursery.start_soon(run_guarded, self._probe, tracker, limit)

    async def _probe(self, tracker: UpstreamTracker, limit: trio.CapacityLimiter) -> None:
        async with limit:
            result: LoadSample | Failure | None = None
            with trio.move_on_after(PROBE_TIMEOUT_S):
                result = await self._read_load(tracker.upstream)
        now = self._timers.now()
        before = tracker.state
        if result is None or isinstance(result, Failure):
            refused = result is not None and result.detail == REFUSED_DETAIL
            tracker.add_failed_probe(refused=refused, now=now)
        else:
            tracker.add_sample(result, now=now)
        if tracker.state != before:
            self._telemetry.decisions.add(
                "upstream.state",
                tracker.upstream.name,
                tracker.reason,
                before=before,
                after=tracker.state,
                instance=tracker.instance,
                source="probe",
            )

    def observations(self) -> list[UpstreamObservation]:
        """
        Return the states of the owned upstreams for this node's Sync.

        Returns
        -------
        list of UpstreamObservation
            One for each owned upstream.
        """
        return [
            UpstreamObservation(
                upstream=tracker.upstream.name,
                instance=tracker.instance,
                state=tracker.state,
                load=tracker.load,
                sampled_ms=tracker.sampled_ms,
                cold_slots=tracker.allowed(),
                models=tracker.models,
                reason=tracker.reason,
            )
            for tracker in self._owner.trackers()
        ]

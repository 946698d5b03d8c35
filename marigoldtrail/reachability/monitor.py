"""Detect that this host reaches no upstream at all, and that it does again."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from marigoldtrail.reachability.contact import UpstreamContact
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers, run_guarded

# Time between checks while there are signs.
CHECK_INTERVAL_S = 0.1
# Silence of waiting requests after which the upstreams are probed.
MIN_SILENCE_S = 0.4
MAX_SILENCE_S = 3.2
PROBE_TIMEOUT_S = 0.4
# Time between the starts of the probes of one round, most of which end with the first.
PROBE_STAGGER_S = 0.1
# Upstreams that must fail in one round, and that must answer at the end of a cut.
LOSS_PROBES = 3
RECOVERY_PROBES = 2
RECOVERY_INTERVAL_S = 0.5
# Sound upstreams are silent for less. Requests that were sent stay there for as long.
MAX_SOUND_SILENCE_S = 2.0

# Tries to connect to an upstream within a number of seconds.
ProbeUpstream = Callable[[Upstream, float], Awaitable[bool]]

_log = logging.getLogger(__name__)


class ReachabilityMonitor:
    """
    Decides whether this host is cut off from the upstreams of all services.

    Signs of a cut (a failed connection, or silence) are followed by probes of upstreams in several
    services and data centres. If all of them fail, the upstreams are not down, but this host is
    cut off; should they all be down, no host can serve anyway.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    fleet_state : FleetState
        The upstreams.
    contact : UpstreamContact
        Signs of life from them.
    probe : callable
        Tries to connect to an upstream.
    on_change : callable
        Called when `is_cut_off` has changed.
    timers : Timers
        Clock and ticks.
    rng : random.Random
        Chooses the upstreams to probe.

    Attributes
    ----------
    is_cut_off : bool
        Whether this host reaches no upstream.
    """

    __slots__ = (
        "is_cut_off",
        "_data_centre",
        "_fleet_state",
        "_contact",
        "_probe",
        "_on_change",
        "_timers",
        "_rng",
        "_silence_limit_s",
        "_probed_at",
        "_listeners",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        fleet_state: FleetState,
        contact: UpstreamContact,
        probe: ProbeUpstream,
        on_change: Callable[[], None],
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self.is_cut_off = False
        self._data_centre = data_centre
        self._fleet_state = fleet_state
        self._contact = contact
        self._probe = probe
        self._on_change = on_change
        self._timers = timers
        self._rng = rng
        self._silence_limit_s = MIN_SILENCE_S
        self._probed_at = 0.0
        self._listeners: set[Callable[[], None]] = set()

    async def run(self) -> None:
        """Check the contact while there are signs of a cut, until cancelled."""
        due_at = self._timers.now()
        while True:
            due_at = max(due_at + CHECK_INTERVAL_S, self._timers.now())
            await self._timers.sleep_until(due_at)
            while not self._has_signs():
                await self._wait_for_signs()
                # Not at once: the probes that follow 0.4 s of silence fail 0.6 s later, so that a
                # sound silence of a second would always be taken for a cut.
                missed = math.ceil((self._timers.now() - due_at) / CHECK_INTERVAL_S)
                due_at += max(1, missed) * CHECK_INTERVAL_S
                await self._timers.sleep_until(due_at)
            await run_guarded(self._check)

    def _has_signs(self) -> bool:
        """Return whether a check may find something."""
        if self.is_cut_off or self._contact.unreached:
            return True
        return self._timers.now() >= self._find_silence_end()

    async def _wait_for_signs(self) -> None:
        """
        Wait until there may be a sign of a cut.

        Ten checks a second took more processor time of an idle entry than its reports to the leader
        (2.4 of 3.9 ms a second).
        """
        contact = self._contact
        while not self._has_signs():
            if contact.quiet_since is None:
                await contact.questioned.wait()
                continue
            # What is heard meanwhile starts another silence, whose limit may be the shortest one.
            with trio.move_on_at(min(self._find_silence_end(), self._timers.now() + MIN_SILENCE_S)):
                await contact.questioned.wait()

    def _find_silence_end(self) -> float:
        """Return when the silence is long enough for probes; never while no request waits."""
        quiet_since = self._contact.quiet_since
        return float("inf") if quiet_since is None else quiet_since + self._find_silence_limit_s()

    def _find_silence_limit_s(self) -> float:
        """Return the silence in seconds after which the upstreams are probed."""
        has_heard = self._contact.heard_at > self._probed_at
        return MIN_SILENCE_S if has_heard else self._silence_limit_s

    @contextmanager
    def call_when_cut_off(self, listener: Callable[[], None]) -> Iterator[None]:
        """
        Call a function if the host is cut off and its connections stay silent.

        New requests are kept from the upstreams as soon as a cut is found. Those that were sent are
        worth keeping for `MAX_SOUND_SILENCE_S`, since all upstreams may just be silent and go on.

        Parameters
        ----------
        listener : callable
            The function; it may be called repeatedly until the context ends.
        """
        self._listeners.add(listener)
        try:
            yield
        finally:
            self._listeners.discard(listener)

    async def _check(self) -> None:
        if self.is_cut_off:
            await self._timers.sleep(RECOVERY_INTERVAL_S - CHECK_INTERVAL_S)
            self._tell_listeners()
            if await self._reaches_all(self._choose_targets(RECOVERY_PROBES)):
                self._change(False)
            return
        self._silence_limit_s = self._find_silence_limit_s()
        if not self._has_signs():
            return
        self._probed_at = self._timers.now()
        targets = self._choose_targets(LOSS_PROBES)
        if not targets or await self._reaches_any(targets):
            # An engine may write nothing for long; the next probe waits longer.
            self._silence_limit_s = min(MAX_SILENCE_S, 2 * self._silence_limit_s)
            return
        self._change(True)

    def _change(self, is_cut_off: bool) -> None:
        self.is_cut_off = is_cut_off
        if is_cut_off:
            _log.warning(
                "no upstream can be reached",
                extra={
                    "silence_ms": round(self._contact.silence_s * 1000),
                    "unreached": sorted(self._contact.unreached),
                    "attempts": len(self._listeners),
                },
            )
        else:
            _log.info("upstreams can be reached again")
        self._on_change()

    def _tell_listeners(self) -> None:
        """Call the listeners if the connections have been silent for long."""
        # In a cut that refuses new connections, the open ones may still serve.
        if self._contact.silence_s >= MAX_SOUND_SILENCE_S:
            for listener in list(self._listeners):
                listener()

    def _choose_targets(self, count: int) -> list[Upstream]:
        """
        Choose upstreams, as far as possible of different services and data centres.

        The first is of the own data centre, which may be all that is reached if that is cut off.
        """
        upstreams = [u for u in self._fleet_state.upstreams.values() if not u.is_leaving]
        self._rng.shuffle(upstreams)
        upstreams.sort(
            key=lambda upstream: (
                upstream.name in self._contact.unreached,
                upstream.data_centre != self._data_centre,
            )
        )
        chosen: list[Upstream] = []
        rest: list[Upstream] = []
        for upstream in upstreams:
            is_similar = any(
                upstream.service == other.service or upstream.data_centre == other.data_centre
                for other in chosen
            )
            (rest if is_similar else chosen).append(upstream)
        return [*chosen, *rest][:count]

    async def _reaches_any(self, targets: list[Upstream]) -> bool:
        """Probe upstreams one shortly after the other until one answers."""
        has_reached = False

        async def probe(upstream: Upstream) -> None:
            nonlocal has_reached
            if await self._probe(upstream, PROBE_TIMEOUT_S):
                has_reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for upstream in targets:
                nursery.start_soon(probe, upstream)
                await self._timers.sleep(PROBE_STAGGER_S)
        return has_reached

    async def _reaches_all(self, targets: list[Upstream]) -> bool:
        results: list[bool] = []

        async def probe(upstream: Upstream) -> None:
            results.append(await self._probe(upstream, PROBE_TIMEOUT_S))

        async with trio.open_nursery() as nursery:
            for upstream in targets:
                nursery.start_soon(probe, upstream)
        return all(results)

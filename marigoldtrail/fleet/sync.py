"""Periodic Syncs to the leader of group config, which keep the view of a node current."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import trio

from marigoldtrail.errors import Failure
from marigoldtrail.fleet.client import ControlClient
from marigoldtrail.fleet.view import FleetView
from marigoldtrail.schema.generated.control import Sync, UpstreamObservation
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.timers import Timers

SYNC_INTERVAL_S = 1.0
# Longer than the loss of a leader lasts (2 to 3 s for detection and election).
SYNC_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.1
# Spreads the Syncs of nodes that started at the same time.
SYNC_JITTER = 0.05

_log = logging.getLogger(__name__)


class SyncLoop:
    """
    Sends Syncs of one node.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    incarnation : int
        Number of this process start; higher than that of any earlier start.
    view : FleetView
        Updated by each confirmed Sync.
    client : ControlClient
        Sends the Syncs.
    timers : Timers
        Clock and periodic timers.
    observations : callable
        Returns this host's observations of the upstreams that it owns.

    Examples
    --------
    Typical use in a node::

        loop = SyncLoop(settings=settings, incarnation=timers.wall_ms(), view=view,
                        client=client, timers=timers, observations=prober.observations)
        await nursery.start(loop.run)
    """

    __slots__ = ("_identity", "_view", "_client", "_timers", "_observations", "_wakeup", "_sent_at")

    def __init__(
        self,
        *,
        settings: Settings,
        incarnation: int,
        view: FleetView,
        client: ControlClient,
        timers: Timers,
        observations: Callable[[], list[UpstreamObservation]] = list,
    ) -> None:
        self._identity = Sync(
            host=settings.host,
            data_centre=settings.data_centre,
            incarnation=incarnation,
            roles=list(settings.roles),
            peer_address=settings.peer_address,
            api_address=settings.api_address,
        )
        self._view = view
        self._client = client
        self._timers = timers
        self._observations = observations
        self._wakeup = trio.Event()
        self._sent_at = 0.0

    def announce_draining(self) -> None:
        """Report this node as draining from now on, and send the next Sync at once."""
        self._identity.draining = True
        self.sync_now()

    def sync_now(self) -> None:
        """Send the next Sync at once, for example to report that an upstream became cold."""
        self._wakeup.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Send Syncs until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started at once; the view becomes current with the first confirmed Sync.
        """
        task_status.started()
        ticks = self._timers.subscribe("sync", SYNC_INTERVAL_S, jitter=SYNC_JITTER)
        while True:
            if self._wakeup.is_set():
                self._wakeup = trio.Event()
                ticks = self._timers.subscribe("sync", SYNC_INTERVAL_S, jitter=SYNC_JITTER)
            while not await self.sync_once():
                await self._timers.sleep(RETRY_PAUSE_S)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_after, self._wakeup, scope)
                    await anext(ticks)
                    scope.cancel()

    async def sync_once(self) -> bool:
        """
        Send one Sync.

        Returns
        -------
        bool
            Whether it was confirmed and its reply was applied.
        """
        self._identity.sequence += 1
        request = msgspec.structs.replace(
            self._identity,
            revisions=self._view.revisions,
            term=self._view.term,
            observations=self._observations(),
        )
        reply = await self._client.sync(
            request, timeout_s=SYNC_TIMEOUT_S, on_attempt=self._record_send_time
        )
        if isinstance(reply, Failure):
            _log.warning("Sync to group config failed: %s", reply)
            return False
        return self._view.apply(reply, sent_at=self._sent_at)

    def _record_send_time(self) -> None:
        self._sent_at = self._timers.now()


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()

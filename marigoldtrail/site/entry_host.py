"""An entry host: takes the requests of callers."""

from __future__ import annotations

import logging
from functools import partial

import trio

from marigoldtrail.net import Address
from marigoldtrail.pieces import PieceClient
from marigoldtrail.relay import Dispatcher, Relay, UpstreamBoard
from marigoldtrail.routing import Limits
from marigoldtrail.site.parts import SiteParts

# Callers keep the addresses that they were told for up to three times the stated time.
LEAVE_S = 3.5
# The process must have ended when the platform stops waiting.
EXIT_MARGIN_S = 0.8
POLL_S = 0.05

_log = logging.getLogger(__name__)


class EntryHost:
    """
    Services of an entry host.

    Parameters
    ----------
    parts : SiteParts
        Parts of the host.
    """

    __slots__ = ("parts", "board", "pieces", "relay", "_draining")

    def __init__(self, *, parts: SiteParts) -> None:
        self.parts = parts
        self.board = UpstreamBoard(
            picture=parts.picture,
            data_centre=parts.cfg.data_centre,
            timers=parts.timers,
        )
        self.pieces = PieceClient(
            picture=parts.picture,
            peers=parts.peers,
            timers=parts.timers,
            nursery=parts.nursery,
            seeds=parts.seed_names(),
        )
        dispatcher = Dispatcher(
            data_centre=parts.cfg.data_centre,
            picture=parts.picture,
            board=self.board,
            pool=parts.pool,
            pieces=self.pieces,
            dialect=parts.adapter.dialect,
            bounds=parts.cfg.bounds,
            timers=parts.timers,
            rng=parts.rng,
            metrics=parts.metrics,
        )
        self.relay = Relay(
            host=parts.cfg.host,
            picture=parts.picture,
            board=self.board,
            pool=parts.pool,
            dispatcher=dispatcher,
            dialect=parts.adapter.dialect,
            timers=parts.timers,
            rng=parts.rng,
            metrics=parts.metrics,
        )
        parts.metrics.add_gauge(
            "requests_in_progress", "Requests in progress.", lambda: self.relay.requests
        )
        parts.metrics.add_gauge(
            "caller_connections", "Open connections of callers.", lambda: self.relay.connections
        )
        parts.reporter.set_load_source(self.board.report)
        self._draining = False

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        picture = self.parts.picture
        return not self._draining and picture.routes is not None and bool(picture.upstreams)

    async def run(self) -> None:
        """Serve until cancelled."""
        parts = self.parts
        cfg = parts.cfg
        handler = parts.adapter.make_ready_handler(self.is_ready)
        async with trio.open_nursery() as nursery:
            await nursery.start(partial(parts.serve_http, cfg.ready_address, handler, Limits()))
            await nursery.start(
                parts.network.listen, Address.parse(cfg.request_address), self.relay.serve
            )
            await nursery.start(parts.serve_metrics)
            nursery.start_soon(parts.reporter.run)
            nursery.start_soon(self.relay.run)
            nursery.start_soon(self._announce_ready)

    async def _announce_ready(self) -> None:
        while not self.is_ready():
            await self.parts.picture.changed.wait()
        self.parts.reporter.identity.ready = True
        _log.info("ready")

    async def drain(self) -> None:
        """Finish the requests in progress and let callers go elsewhere."""
        parts = self.parts
        started = parts.timers.now()
        last = started + parts.cfg.bounds.grace_s - EXIT_MARGIN_S
        self._draining = True
        self.relay.start_draining()
        parts.reporter.identity.ready = False
        parts.nursery.start_soon(partial(parts.reporter.report_once, wait_s=0.0))
        await parts.timers.sleep(LEAVE_S)
        self.relay.close_idle()
        while self.relay.busy and parts.timers.now() < last:
            await parts.timers.sleep(POLL_S)
            self.relay.close_idle()
        _log.info("drained", extra={"requests_left": self.relay.busy})

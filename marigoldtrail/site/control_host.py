"""A control host: configuration, list of upstreams, schedulers of pieces, look-ups."""

from __future__ import annotations

import logging
from functools import partial

import trio

from marigoldtrail.consensus import GroupSet
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.net import Address, serve_peers
from marigoldtrail.pieces import PieceService
from marigoldtrail.registry import PeerNames, RegistryService, bootstrap_group
from marigoldtrail.routing import Limits
from marigoldtrail.site.lookup import make_entry_finder
from marigoldtrail.site.operations import Operations
from marigoldtrail.site.parts import SiteParts
from marigoldtrail.storage import Disk

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# A machine that is gone for good must not count towards the quorum for long.
SILENT_REMOVAL_S = 5.0
TRANSFER_TIMEOUT_S = 1.5
FINISH_S = 0.5

_log = logging.getLogger(__name__)


class ControlHost:
    """
    Services of a control host.

    Parameters
    ----------
    parts : SiteParts
        Parts of the host.
    disk : Disk
        Its data folder.
    """

    __slots__ = ("parts", "groups", "registry", "pieces", "operations")

    def __init__(self, *, parts: SiteParts, disk: Disk) -> None:
        self.parts = parts
        cfg = parts.cfg
        machine = ConfigMachine()
        seeds = parts.seed_names()
        is_founder = cfg.first_start and parts.own_name in seeds
        self.groups = GroupSet(
            host=parts.own_name,
            hosts={CONFIG_GROUP: seeds if is_founder else []},
            addresses=PeerNames(),
            client=parts.peers,
            disk=disk,
            machines={CONFIG_GROUP: machine},
            timers=parts.timers,
            rng=parts.rng,
            silent_removal_s=SILENT_REMOVAL_S,
        )
        self.registry = RegistryService(
            host=parts.own_name,
            group=self.groups[CONFIG_GROUP],
            machine=machine,
            parse_document=parts.adapter.parse_document,
            read_upstreams=parts.adapter.make_list_reader(parts.pool, cfg.upstream_list.address),
            timers=parts.timers,
        )
        self.pieces = PieceService(
            host=parts.own_name,
            picture=parts.picture,
            call=parts.adapter.make_piece_call(parts.pool),
            timers=parts.timers,
            rng=parts.rng,
            metrics=parts.metrics,
        )
        group = self.groups[CONFIG_GROUP]
        parts.metrics.add_gauge("leads", "Whether this host leads.", lambda: group.is_leader)
        parts.metrics.add_gauge("term", "Term of the log group.", lambda: group.term)
        parts.metrics.add_gauge(
            "applied_index", "Last applied entry of the log.", lambda: group.applied_index
        )
        self.operations = Operations(
            finder=parts.reporter.finder,
            picture=parts.picture,
            data_centres=lambda: {parts.cfg.data_centre},
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        parts = self.parts
        cfg = parts.cfg
        handlers = {
            **self.groups.handlers(),
            **self.registry.handlers(),
            **self.pieces.handlers(),
        }
        limits = Limits(max_body_bytes=MAX_DOCUMENT_BYTES)
        operators = parts.adapter.make_operator_handler(self.operations)
        finder = make_entry_finder(parts.picture, parts.rng, ttl_max_s=cfg.bounds.ttl_max_s)
        lookups = parts.adapter.make_lookup_handler(finder)
        async with trio.open_nursery() as nursery:

            async def serve(task_status: trio.TaskStatus[Address]) -> None:
                await serve_peers(
                    parts.network,
                    Address.parse(parts.own_name),
                    handlers,
                    host=parts.own_name,
                    task_status=task_status,
                )

            await nursery.start(serve)
            await nursery.start(self.groups.run)
            await nursery.start(parts.serve_metrics)
            nursery.start_soon(self.registry.run)
            nursery.start_soon(self.pieces.run)
            nursery.start_soon(parts.reporter.run)
            await nursery.start(partial(parts.serve_http, cfg.operator_address, operators, limits))
            await nursery.start(partial(parts.serve_http, cfg.lookup_address, lookups, Limits()))
            if cfg.first_start and parts.own_name in parts.seed_names():
                group = self.groups[CONFIG_GROUP]
                seeds = parts.seed_names()
                await bootstrap_group(group, parts.peers, seeds, timers=parts.timers)

    async def drain(self) -> None:
        """Hand over the leadership before the process ends."""
        await self.groups.transfer_leadership(timeout_s=TRANSFER_TIMEOUT_S)
        await self.parts.timers.sleep(FINISH_S)
        _log.info("drained")

"""Control host: configuration, list of upstreams, piece schedulers, address look-ups."""

from __future__ import annotations

import logging
from functools import partial

import trio

from marigoldtrail.consensus import MIN_VOTERS, GroupSet
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.net import Address, serve_peers
from marigoldtrail.pieces import PieceService
from marigoldtrail.registry import PeerAddresses, RegistryService, bootstrap_group
from marigoldtrail.routing import Limits
from marigoldtrail.site.components import HostComponents
from marigoldtrail.site.continuity import ContinuityMonitor
from marigoldtrail.site.lookup import make_entry_finder
from marigoldtrail.site.operations import Operations
from marigoldtrail.storage import Disk

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# A host that is lost permanently must not count towards the quorum when the next one is lost, which
# may be `catch_up_s` after its successor has started; an election may come between.
UNREACHABLE_REMOVAL_S = 2.0
TRANSFER_TIMEOUT_S = 1.5
RELEASE_TIMEOUT_S = 1.5
DRAIN_DELAY_S = 0.5
# Longer than an order or a query of an operator takes.
LAST_REQUESTS_S = 1.2

_log = logging.getLogger(__name__)


class ControlHost:
    """
    Services of a control host.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    disk : Disk
        Data folder of the host.
    """

    __slots__ = ("components", "groups", "registry", "pieces", "continuity", "operations")

    def __init__(self, *, components: HostComponents, disk: Disk) -> None:
        self.components = components
        cfg = components.cfg
        machine = ConfigMachine()
        seeds = components.seed_names()
        may_bootstrap = cfg.first_start and components.own_name in seeds
        self.groups = GroupSet(
            host=components.own_name,
            hosts={CONFIG_GROUP: seeds if may_bootstrap else []},
            addresses=PeerAddresses(),
            client=components.peers,
            disk=disk,
            machines={CONFIG_GROUP: machine},
            timers=components.timers,
            rng=components.rng,
            unreachable_removal_s=UNREACHABLE_REMOVAL_S,
            min_voters=count_min_voters(cfg.tolerated_host_losses),
        )
        self.registry = RegistryService(
            host=components.own_name,
            group=self.groups[CONFIG_GROUP],
            machine=machine,
            parse_document=components.adapter.parse_document,
            read_upstreams=components.adapter.make_list_reader(
                components.pool,
                cfg.upstream_list.address,
                components.metrics.count_left_out_entry,
            ),
            timers=components.timers,
        )
        self.pieces = PieceService(
            host=components.own_name,
            fleet_state=components.fleet_state,
            call=components.adapter.make_piece_call(components.pool),
            timers=components.timers,
            rng=components.rng,
            metrics=components.metrics,
        )
        group = self.groups[CONFIG_GROUP]
        components.metrics.add_gauge("leads", "Whether this host leads.", lambda: group.is_leader)
        components.metrics.add_gauge("term", "Term of the log group.", lambda: group.term)
        components.metrics.add_gauge(
            "applied_index", "Last applied entry of the log.", lambda: group.applied_index
        )
        components.metrics.add_gauge(
            "log_stopped",
            "Whether a failed disk keeps this host out of the log group.",
            lambda: group.stop_failure is not None,
        )
        components.metrics.add_gauge(
            "log_disk_full",
            "Whether a full disk refused the last entry of the log.",
            lambda: not group.has_room,
        )
        components.metrics.add_gauge(
            "log_voters", "Voters on the newest member list.", lambda: group.voter_count
        )
        components.metrics.add_gauge(
            "log_voters_missing",
            "Voters that this host does not reach as leader; 0 if it does not lead.",
            lambda: group.missing_voter_count,
        )
        self.continuity = ContinuityMonitor(
            get_contact_time=lambda: group.contact_time, timers=components.timers
        )
        self.operations = Operations(
            finder=components.reporter.finder,
            fleet_state=components.fleet_state,
            continuity=self.continuity,
            timers=components.timers,
            data_centres=lambda: {components.cfg.data_centre},
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        components = self.components
        cfg = components.cfg
        handlers = {
            **self.groups.get_handlers(),
            **self.registry.get_handlers(),
            **self.pieces.get_handlers(),
        }
        limits = Limits(max_body_bytes=MAX_DOCUMENT_BYTES)
        operators = components.adapter.make_operator_handler(self.operations)
        finder = make_entry_finder(
            components.fleet_state, components.rng, ttl_max_s=cfg.bounds.ttl_max_s
        )
        lookups = components.adapter.make_lookup_handler(finder)
        async with trio.open_nursery() as nursery:

            async def serve(task_status: trio.TaskStatus[Address]) -> None:
                await serve_peers(
                    components.network,
                    Address.parse(components.own_name),
                    handlers,
                    host=components.own_name,
                    memory=components.frame_memory,
                    faulty=components.faulty_frames,
                    task_status=task_status,
                )

            await nursery.start(serve)
            await nursery.start(self.groups.run)
            # A host that was removed while it was down may know no other control host that runs.
            components.reporter.add_seeds(self.groups[CONFIG_GROUP].describe().members)
            await nursery.start(components.serve_metrics)
            nursery.start_soon(self.registry.run)
            nursery.start_soon(self.continuity.run)
            nursery.start_soon(self.pieces.run)
            nursery.start_soon(components.reporter.run)
            nursery.start_soon(components.report_crashes)
            await nursery.start(
                partial(components.serve_http, cfg.operator_address, operators, limits)
            )
            await nursery.start(
                partial(components.serve_http, cfg.lookup_address, lookups, Limits())
            )
            if cfg.first_start and components.own_name in components.seed_names():
                group = self.groups[CONFIG_GROUP]
                seeds = components.seed_names()
                await bootstrap_group(group, components.peers, seeds, timers=components.timers)

    async def drain(self) -> None:
        """Leave the log group and answer the operators before the process ends."""
        components = self.components
        components.endpoint_stop.start()
        components.reporter.announce_stop()
        await self.groups.transfer_leadership(timeout_s=TRANSFER_TIMEOUT_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(components.timers.sleep, DRAIN_DELAY_S)
            group = self.groups[CONFIG_GROUP]
            is_released = await group.wait_for_release(timeout_s=RELEASE_TIMEOUT_S)
        connections_left = await components.close_endpoints(LAST_REQUESTS_S)
        _log.info(
            "drained",
            extra={
                "is_released": is_released,
                "connections_left": connections_left,
                "accepted_at_close": components.endpoints_accepted_at_close,
            },
        )


def count_min_voters(tolerated_losses: int) -> int:
    """
    Return the number of voters that a group keeps in any case.

    Parameters
    ----------
    tolerated_losses : int
        Number of voters that may be lost at the same time.

    Returns
    -------
    int
        So many that a majority is left after these losses.

    Examples
    --------
    >>> count_min_voters(1), count_min_voters(2)
    (3, 5)
    """
    return max(MIN_VOTERS, 2 * tolerated_losses + 1)

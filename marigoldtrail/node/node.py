"""Lifecycle of one node: start, drain, stop."""

from __future__ import annotations

import logging
import random

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.fleet import SyncLoop
from marigoldtrail.net import Address, Handlers, Network, serve_peers
from marigoldtrail.node.components import NodeParts
from marigoldtrail.node.control_role import ControlRole, build_control_role
from marigoldtrail.node.entry_role import EntryRole, build_entry_role
from marigoldtrail.schema.generated.control import DecisionsReply, GetDecisions
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.storage import Disk
from marigoldtrail.telemetry import Telemetry, publish_decisions
from marigoldtrail.timers import Timers

# Sum of: lifetime of addresses that callers hold (5 s), network delay of their last requests (1 s),
# longest deadline of a request (11 s), and 3 s for slots, telemetry and leadership transfer.
DRAIN_TIMEOUT_S = 20.0
TELEMETRY_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class Node:
    """
    A running node.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.
    sync_loop : SyncLoop
        Keeps the view current.
    control : ControlRole or None
        The control role; None if the settings do not include it.
    entry : EntryRole or None
        The entry role; None if the settings do not include it.
    scope : trio.CancelScope
        Scope of all tasks of the node; cancelled to stop it.
    """

    __slots__ = ("parts", "sync_loop", "control", "entry", "_scope")

    def __init__(
        self,
        *,
        parts: NodeParts,
        sync_loop: SyncLoop,
        control: ControlRole | None,
        entry: EntryRole | None,
        scope: trio.CancelScope,
    ) -> None:
        self.parts = parts
        self.sync_loop = sync_loop
        self.control = control
        self.entry = entry
        self._scope = scope

    def kill(self) -> None:
        """Stop the node at once, without draining, as after a crash of its process."""
        self._scope.cancel()

    async def drain(self) -> None:
        """
        Shut down gracefully within `DRAIN_TIMEOUT_S`; `run_node` returns afterwards.

        The node remains in the fleet while requests are in progress, since their claims, slots and
        records depend on it.
        """
        _log.info("draining")
        with trio.move_on_after(DRAIN_TIMEOUT_S) as timeout_scope:
            self.sync_loop.announce_draining()
            if self.entry is not None:
                await self.entry.drain()
                self.entry.close()
            if self.control is not None:
                await self.control.stop()
            if self.entry is not None:
                # Requests that were refused meanwhile are answered after a lookup of their keys.
                await self.entry.server.wait_for_requests()
        if timeout_scope.cancelled_caught:
            _log.error("node did not drain within %.0f s; stopping it", DRAIN_TIMEOUT_S)
        self._scope.cancel()


async def run_node(
    cfg: Settings,
    *,
    network: Network,
    timers: Timers,
    telemetry: Telemetry,
    disk: Disk | None = None,
    rng: random.Random | None = None,
    serve_http: bool = True,
    task_status: trio.TaskStatus[Node] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Run a node until it is drained or killed.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    network : Network
        Opens and accepts connections.
    timers : Timers
        Timer service.
    telemetry : Telemetry
        Spans, metrics and decisions; shut down when the node stops.
    disk : Disk or None
        Data folder; required for the control role.
    rng : random.Random or None
        Source of randomness; None for a random seed.
    serve_http : bool
        Whether an entry listens on its API address.
    task_status : trio.TaskStatus
        Started with the `Node` once it accepts connections.
    """
    rng = rng or random.Random()
    try:
        async with trio.open_nursery() as nursery:
            parts = NodeParts(
                cfg=cfg,
                network=network,
                timers=timers,
                telemetry=telemetry,
                rng=rng,
                nursery=nursery,
            )
            node = build_node(parts, disk, nursery.cancel_scope)
            await _start_parts(node, nursery, serve_http=serve_http)
            task_status.started(node)
    finally:
        telemetry.shutdown()


def build_node(parts: NodeParts, disk: Disk | None, scope: trio.CancelScope) -> Node:
    """
    Build a node that is not running yet.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.
    disk : Disk or None
        Data folder; required for the control role.
    scope : trio.CancelScope
        Scope of all tasks of the node; cancelled to stop it.

    Returns
    -------
    Node
        The node.

    Raises
    ------
    ValueError
        If the settings include the control role and `disk` is None.
    """
    control = None
    if "control" in parts.cfg.roles:
        if disk is None:
            raise ValueError("role 'control' requires a disk")
        control = build_control_role(parts, disk)
    sync_loop = SyncLoop(
        settings=parts.cfg,
        incarnation=parts.incarnation,
        view=parts.view,
        client=parts.control,
        timers=parts.timers,
        observations=control.prober.observations if control is not None else list,
    )
    entry = build_entry_role(parts) if "entry" in parts.cfg.roles else None
    return Node(parts=parts, sync_loop=sync_loop, control=control, entry=entry, scope=scope)


async def _start_parts(node: Node, nursery: trio.Nursery, *, serve_http: bool) -> None:
    parts = node.parts

    async def serve(task_status: trio.TaskStatus[Address]) -> None:
        await serve_peers(
            parts.network,
            Address.parse(parts.cfg.peer_address),
            collect_handlers(node),
            host=parts.cfg.host,
            task_status=task_status,
        )

    await nursery.start(serve)
    if node.control is not None:
        await nursery.start(node.control.run)
    await nursery.start(node.sync_loop.run)
    nursery.start_soon(flush_telemetry, parts)
    if parts.cfg.events_address:
        decisions = parts.telemetry.decisions
        await nursery.start(publish_decisions, decisions, parts.cfg.events_address)
    if node.entry is not None:
        entry = node.entry

        async def run_entry(task_status: trio.TaskStatus[None]) -> None:
            await entry.run(serve_http=serve_http, task_status=task_status)

        await nursery.start(run_entry)


def collect_handlers(node: Node) -> Handlers:
    """
    Return the handlers of all roles.

    Parameters
    ----------
    node : Node
        The node.

    Returns
    -------
    dict
        For `marigoldtrail.net.serve_peers`.
    """

    async def get_decisions(request: GetDecisions, sender: str) -> DecisionsReply | Failure:
        found = node.parts.telemetry.decisions.find(
            request_id=request.request_id, subject=request.subject, limit=request.limit
        )
        return DecisionsReply(decisions=found)

    handlers: Handlers = {GetDecisions: get_decisions}
    return handlers if node.control is None else {**handlers, **node.control.get_handlers()}


async def flush_telemetry(parts: NodeParts) -> None:
    """
    Write buffered spans every second, so that a crash loses few of them.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.
    """
    async for _ in parts.timers.subscribe("telemetry", TELEMETRY_INTERVAL_S):
        parts.telemetry.flush()

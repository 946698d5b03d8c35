"""Start of nodes and initialisation of fleets from settings."""

from __future__ import annotations

import trio

from marigoldtrail.consensus import init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import groups_of
from marigoldtrail.net import Address, PeerClient, TcpNetwork
from marigoldtrail.node.node import Node, run_node
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.storage import wait_for_folder
from marigoldtrail.telemetry import Metrics, Telemetry, build_tracer_provider
from marigoldtrail.timers import Timers

INIT_TIMEOUT_S = 5.0


async def launch_node(
    cfg: Settings, *, task_status: trio.TaskStatus[Node] = trio.TASK_STATUS_IGNORED
) -> Failure | None:
    """
    Run a node with TCP networking and its data folder, according to its settings.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    task_status : trio.TaskStatus
        Started with the `Node` once it accepts connections.

    Returns
    -------
    Failure or None
        Why the node could not start; None after it was drained or killed.
    """
    timers = Timers()
    disk = None
    if "control" in cfg.roles:
        opened = await wait_for_folder(cfg.data_folder, timers=timers)
        if isinstance(opened, Failure):
            return opened
        disk = opened
    await run_node(
        cfg,
        network=TcpNetwork(),
        timers=timers,
        telemetry=build_telemetry(cfg, timers),
        disk=disk,
        task_status=task_status,
    )
    return None


def build_telemetry(cfg: Settings, timers: Timers) -> Telemetry:
    """
    Build the telemetry configured in the settings.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    timers : Timers
        Timer service.

    Returns
    -------
    Telemetry
        Telemetry that exports spans and metrics.
    """
    provider = None
    if cfg.telemetry.trace_file or cfg.telemetry.otlp_endpoint:
        provider = build_tracer_provider(
            host=cfg.host,
            trace_file=cfg.telemetry.trace_file,
            otlp_endpoint=cfg.telemetry.otlp_endpoint,
        )
    metrics = Metrics(address=cfg.telemetry.statsd_address)
    return Telemetry(host=cfg.host, timers=timers, metrics=metrics, provider=provider)


async def init_groups(cfg: Settings) -> Failure | None:
    """
    Initialise the log groups of a new fleet with their first members.

    Parameters
    ----------
    cfg : Settings
        Settings of any node of the fleet.

    Returns
    -------
    Failure or None
        Why initialisation failed; None on success.
    """
    async with trio.open_nursery() as nursery:
        client = PeerClient(network=TcpNetwork(), host=f"init-{cfg.host}", nursery=nursery)
        result = await init_fleet(
            client,
            hosts={group.name: list(group.members) for group in groups_of(cfg)},
            addresses={peer.host: Address.parse(peer.peer_address) for peer in cfg.control_hosts},
            timeout_s=INIT_TIMEOUT_S,
        )
        nursery.cancel_scope.cancel()
    return result

"""Subcommands that run or initialise nodes."""

from __future__ import annotations

import logging
import signal
from functools import partial

import trio
import typer

from marigoldtrail.cli.context import SettingsOption, load_settings
from marigoldtrail.cli.exits import ExitCode, fail
from marigoldtrail.consensus import init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import groups_of
from marigoldtrail.net import Address, PeerClient, TcpNetwork
from marigoldtrail.node import Node, run_node
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.storage import open_folder
from marigoldtrail.telemetry import Metrics, Telemetry, build_tracer_provider, configure_logging
from marigoldtrail.timers import Timers

INIT_TIMEOUT_S = 5.0

control_app = typer.Typer(no_args_is_help=True, help="Initialise the control hosts of a fleet.")

_log = logging.getLogger(__name__)


def serve(settings: SettingsOption) -> None:
    """Run a node until SIGTERM or SIGINT; then finish its requests and exit 0.

    Example: marigoldtrail serve --settings node.json
    """
    cfg = load_settings(settings)
    configure_logging(cfg.telemetry.log_level, host=cfg.host)
    failure = trio.run(serve_node, cfg)
    if isinstance(failure, Failure):
        fail(failure)


async def serve_node(cfg: Settings) -> Failure | None:
    """
    Run a node in this process.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.

    Returns
    -------
    Failure or None
        Why the node could not start or had to stop.
    """
    timers = Timers()
    disk = None
    if "control" in cfg.roles:
        opened = open_folder(cfg.data_folder, timers=timers)
        if isinstance(opened, Failure):
            return opened
        disk = opened
    node_task = partial(
        run_node,
        cfg,
        network=TcpNetwork(),
        timers=timers,
        telemetry=build_telemetry(cfg, timers),
        disk=disk,
    )
    async with trio.open_nursery() as nursery:
        stopped = trio.Event()

        async def run(task_status: trio.TaskStatus[Node]) -> None:
            await node_task(task_status=task_status)
            stopped.set()
            nursery.cancel_scope.cancel()

        node: Node = await nursery.start(run)
        _log.info("serving on %s, peers on %s", cfg.api_address, cfg.peer_address)
        nursery.start_soon(drain_on_signal, node)
    return None


def build_telemetry(cfg: Settings, timers: Timers) -> Telemetry:
    """
    Build the telemetry that the settings ask for.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    timers : Timers
        Timer service.

    Returns
    -------
    Telemetry
        Exports spans and metrics.
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


async def drain_on_signal(node: Node) -> None:
    """
    Drain a node at the first SIGTERM or SIGINT.

    Parameters
    ----------
    node : Node
        The running node.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            _log.info("received %s", signal.Signals(number).name)
            await node.drain()
            return


@control_app.command("init")
def init_control(settings: SettingsOption) -> None:
    """Initialise the log groups of a new fleet, once all its control hosts run.

    It changes nothing in a fleet that is in use, so it can be repeated after an interruption. Never
    run it for a control host that was replaced: that one joins by itself.

    Example: marigoldtrail control init --settings node.json
    """
    cfg = load_settings(settings)
    failure = trio.run(init_groups, cfg)
    if failure is not None:
        fail(failure)
    names = ", ".join(group.name for group in groups_of(cfg))
    typer.echo(f"initialised {names}")
    raise typer.Exit(ExitCode.OK)


async def init_groups(cfg: Settings) -> Failure | None:
    """
    Give the log groups of a fresh fleet their first members.

    Parameters
    ----------
    cfg : Settings
        Settings of any node of the fleet.

    Returns
    -------
    Failure or None
        Why it was not done.
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

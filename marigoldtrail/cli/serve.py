"""Subcommands that run nodes and stand-ins or initialise control hosts."""

from __future__ import annotations

import logging
import signal
from pathlib import Path
from typing import Annotated

import trio
import typer

from marigoldtrail.cli.context import SettingsOption, load_settings, read_input
from marigoldtrail.cli.exits import ExitCode, fail, fail_with_faults
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import groups_of
from marigoldtrail.net import TcpNetwork
from marigoldtrail.node import Node, init_groups, launch_node
from marigoldtrail.schema import parse_manifest
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.telemetry import configure_logging
from marigoldtrail.timers import Timers

control_app = typer.Typer(no_args_is_help=True, help="Initialise the control hosts of a fleet.")

_log = logging.getLogger(__name__)


def serve(settings: SettingsOption) -> None:
    """Run a node until SIGTERM or SIGINT, then finish its requests and exit with code 0.

    Example: marigoldtrail serve --settings node.json
    """
    cfg = load_settings(settings)
    configure_logging(cfg.telemetry.log_level, host=cfg.host)
    failure = trio.run(serve_node, cfg)
    if isinstance(failure, Failure):
        fail(failure)


async def serve_node(cfg: Settings) -> Failure | None:
    """
    Run a node in this process until it is drained.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.

    Returns
    -------
    Failure or None
        Why the node could not start; None once it is drained.
    """
    result: Failure | None = None
    async with trio.open_nursery() as nursery:

        async def run(task_status: trio.TaskStatus[Node | None]) -> None:
            nonlocal result
            result = await launch_node(cfg, task_status=task_status)
            if result is not None:
                task_status.started(None)
            nursery.cancel_scope.cancel()

        node: Node | None = await nursery.start(run)
        if node is not None:
            _log.info("serving callers on %s and peers on %s", cfg.api_address, cfg.peer_address)
            nursery.start_soon(drain_on_signal, node)
    return result


async def drain_on_signal(node: Node) -> None:
    """
    Drain a node at the first SIGTERM or SIGINT; run until cancelled.

    Parameters
    ----------
    node : Node
        The running node.
    """
    # The handlers stay after the drain: a signal that comes again would otherwise end the process
    # before its last tasks have.
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            is_draining = False
            async for number in signals:
                _log.info("received %s, draining the node", signal.Signals(number).name)
                if not is_draining:
                    is_draining = True
                    nursery.start_soon(node.drain)


def run_standins(
    manifest: Annotated[
        Path, typer.Option("--manifest", help="Manifest that lists the upstreams.")
    ],
) -> None:
    """Run a stand-in for every upstream of a manifest until SIGTERM or SIGINT.

    For trials on one machine: the stand-ins respond like engines, pools and services, and keep
    their state in memory only.

    Example: marigoldtrail standins --manifest manifest.json
    """
    parsed = parse_manifest(read_input(manifest), str(manifest))
    if isinstance(parsed, list):
        fail_with_faults(parsed)
    try:
        trio.run(serve_standins, parsed)
    except* OSError as group:
        # The groups are nested: the fleet and each of its stand-ins have nurseries of their own.
        exc: BaseException = group
        while isinstance(exc, BaseExceptionGroup):
            exc = exc.exceptions[0]
        typer.echo(f"error: {exc}", err=True)
        raise typer.Exit(ExitCode.FAILED) from None


async def serve_standins(manifest: Manifest) -> None:
    """
    Run the stand-ins of a manifest until the first SIGTERM or SIGINT.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    """
    standin_fleet = StandinFleet(manifest=manifest, network=TcpNetwork(), timers=Timers())
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(standin_fleet.run)
            typer.echo(f"{len(standin_fleet.standins)} stand-ins listen")
            async for _ in signals:
                break
            nursery.cancel_scope.cancel()


@control_app.command("init")
def init_control(settings: SettingsOption) -> None:
    """Initialise the log groups of a new fleet; all its control hosts must be running.

    This changes nothing in a fleet that is in use, so that it can be repeated after an
    interruption. Never run it for a control host that was replaced: that host joins by itself.

    Example: marigoldtrail control init --settings node.json
    """
    cfg = load_settings(settings)
    failure = trio.run(init_groups, cfg)
    if failure is not None:
        fail(failure)
    names = ", ".join(group.name for group in groups_of(cfg))
    typer.echo(f"initialised {names}")
    raise typer.Exit(ExitCode.OK)

"""Run the demo on all deployments concurrently."""

from __future__ import annotations

import json
import os
import signal
from functools import partial
from pathlib import Path

import trio
import typer

from marigoldtrail.demo.deployments import (
    DEPLOYMENTS,
    Deployment,
    build_manifest,
    build_settings,
)
from marigoldtrail.demo.scenario import Scenario
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.node import Node, init_groups, launch_node
from marigoldtrail.schema import parse_manifest, parse_settings
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.timers import Timers

TIME_LIMIT_S = 58.0
POLL_INTERVAL_S = 0.2
INIT_TIMEOUT_S = 20.0


async def run_demo(folder: Path, *, external: bool) -> list[str]:
    """
    Run the demo on all deployments concurrently.

    Parameters
    ----------
    folder : Path
        Folder of settings, data and traces.
    external : bool
        Whether the nodes already run as processes of their own.

    Returns
    -------
    list of str
        Broken promises; empty if all held.
    """
    broken: list[str] = []
    with trio.move_on_after(TIME_LIMIT_S) as limit:
        async with trio.open_nursery() as nursery:
            for deployment in DEPLOYMENTS:
                nursery.start_soon(run_deployment, deployment, folder, external, broken)
    if limit.cancelled_caught:
        broken.append(f"the demo did not end within {TIME_LIMIT_S:.0f} s")
    return broken


async def run_deployment(
    deployment: Deployment, folder: Path, external: bool, broken: list[str]
) -> None:
    """
    Run the demo on one deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    folder : Path
        Folder of settings, data and traces.
    external : bool
        Whether the nodes already run as processes of their own.
    broken : list of str
        List that the broken promises are appended to.
    """
    timers = Timers()
    nodes: dict[str, Node] = {}
    fleet = [parse_node_settings(document) for document in build_settings(deployment, folder)]
    standin_fleet = StandinFleet(
        manifest=load_manifest(deployment), network=TcpNetwork(), timers=timers
    )
    scenario = Scenario(
        deployment=deployment,
        entries=[Address.parse(cfg.api_address) for cfg in fleet],
        standin_fleet=standin_fleet,
        timers=timers,
        print_line=lambda text: typer.echo(f"{timers.now() - started:5.1f} s {text}"),
        drain_node=partial(drain_node, folder, nodes, fleet[-1].host),
        kill_leader=partial(kill_node, folder, nodes),
    )
    started = timers.now()
    async with trio.open_nursery() as nursery:
        await nursery.start(standin_fleet.run)
        if not external:
            for cfg in fleet:
                nodes[cfg.host] = await nursery.start(run_node_in_process, cfg)
        await init_groups_when_ready(fleet[0])
        try:
            await scenario.run()
        finally:
            broken += scenario.broken
        nursery.cancel_scope.cancel()


def load_manifest(deployment: Deployment) -> Manifest:
    """Return the parsed manifest of a deployment."""
    manifest = parse_manifest(json.dumps(build_manifest(deployment)).encode())
    assert not isinstance(manifest, list), manifest
    return manifest


def parse_node_settings(document: dict[str, object]) -> Settings:
    """Return the parsed settings of a node."""
    cfg = parse_settings(json.dumps(document).encode())
    assert not isinstance(cfg, list), cfg
    return cfg


async def run_node_in_process(
    cfg: Settings, *, task_status: trio.TaskStatus[Node] = trio.TASK_STATUS_IGNORED
) -> None:
    """
    Run a node in this process.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    task_status : trio.TaskStatus
        Started with the node.

    Raises
    ------
    RuntimeError
        If the node cannot start.
    """
    failure = await launch_node(cfg, task_status=task_status)
    if failure is not None:
        raise RuntimeError(str(failure))


async def init_groups_when_ready(cfg: Settings) -> None:
    """
    Initialise the log groups as soon as all control hosts are reachable.

    Parameters
    ----------
    cfg : Settings
        Settings of any node.
    """
    with trio.fail_after(INIT_TIMEOUT_S):
        async for _ in Timers().subscribe("demo.init", POLL_INTERVAL_S):
            if await init_groups(cfg) is None:
                return


async def drain_node(folder: Path, nodes: dict[str, Node], host: str) -> bool:
    """
    Shut down a node gracefully and wait until it has ended.

    Parameters
    ----------
    folder : Path
        Folder with the files ``HOST.pid`` and ``HOST.exit`` of node processes.
    nodes : dict
        Nodes in this process, by host.
    host : str
        Host of the node.

    Returns
    -------
    bool
        Whether the node has ended, with exit code 0 if it is a process of its own.
    """
    if host in nodes:
        await nodes[host].drain()
        return True
    os.kill(int((folder / f"{host}.pid").read_text()), signal.SIGTERM)
    async for _ in Timers().subscribe("demo.exit", POLL_INTERVAL_S):
        exit_file = folder / f"{host}.exit"
        if exit_file.exists():
            return exit_file.read_text().strip() == "0"
    return False


async def kill_node(folder: Path, nodes: dict[str, Node], host: str) -> bool:
    """
    Kill a node.

    Parameters
    ----------
    folder, nodes, host
        See `drain_node`.

    Returns
    -------
    bool
        Always True.
    """
    if host in nodes:
        nodes[host].kill()
    else:
        os.kill(int((folder / f"{host}.pid").read_text()), signal.SIGKILL)
    return True

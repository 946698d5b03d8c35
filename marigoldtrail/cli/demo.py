"""Subcommand ``demo``."""

from __future__ import annotations

import tempfile
from functools import partial
from pathlib import Path
from typing import Annotated

import trio
import typer

from marigoldtrail.cli.exits import ExitCode
from marigoldtrail.demo.deployments import DEPLOYMENTS, write_deployment
from marigoldtrail.demo.runner import run_demo


def run_demo_command(
    folder: Annotated[
        Path | None,
        typer.Option(help="Folder for settings, data and traces; a temporary folder by default."),
    ] = None,
    prepare: Annotated[
        bool, typer.Option("--prepare", help="Only write settings and manifests, then exit.")
    ] = False,
    external: Annotated[
        bool, typer.Option("--external", help="Use nodes that already run as separate processes.")
    ] = False,
) -> None:
    """Run both deployments on this machine and check the promises.

    Without --external all nodes run inside this process. Finishes within 60 s; the exit code is
    non-zero if a promise was broken.

    Example: marigoldtrail demo
    """
    folder = folder or Path(tempfile.mkdtemp(prefix="marigoldtrail-demo-"))
    for deployment in DEPLOYMENTS:
        write_deployment(deployment, folder)
    if prepare:
        return
    broken = trio.run(partial(run_demo, folder, external=external))
    for promise in broken:
        typer.echo(f"broken: {promise}")
    typer.echo("all promises held" if not broken else f"{len(broken)} promises broken")
    raise typer.Exit(ExitCode.FAILED if broken else ExitCode.OK)

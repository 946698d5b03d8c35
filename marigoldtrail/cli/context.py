"""Options that all subcommands share, and the way that they call an entry."""

from __future__ import annotations

import getpass
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import trio
import typer

from marigoldtrail.api import ApiClient
from marigoldtrail.cli.exits import ExitCode, fail, fail_with_faults
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address
from marigoldtrail.schema import read_settings
from marigoldtrail.schema.generated.settings import Settings

Result = TypeVar("Result")

ApiOption = Annotated[
    str,
    typer.Option(
        "--api",
        envvar="MARIGOLDTRAIL_API",
        metavar="IP:PORT",
        help="API address of any entry.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
OperatorOption = Annotated[
    str, typer.Option("--operator", help="Your name; recorded with the change.")
]
SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file of a node.", show_default=False)
]


def default_operator() -> str:
    """
    Return the name that changes are recorded under by default.

    Returns
    -------
    str
        The login name.
    """
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"


def load_settings(path: Path) -> Settings:
    """
    Read the settings of a node, or exit with their faults.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    typer.Exit
        With `ExitCode.INVALID_INPUT`.
    """
    settings = read_settings(path)
    if isinstance(settings, list):
        fail_with_faults(settings)
    return settings


def read_input(path: Path) -> bytes:
    """
    Read a file named on the command line, or exit with a clear error.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    bytes
        Its content.

    Raises
    ------
    typer.Exit
        With `ExitCode.INVALID_INPUT`.
    """
    try:
        return path.read_bytes()
    except OSError as exc:
        typer.echo(f"error: {path}: {exc.strerror}", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT) from exc


def call_api(api: str, function: Callable[[ApiClient], Awaitable[Result | Failure]]) -> Result:
    """
    Call an entry, or exit with its failure.

    Parameters
    ----------
    api : str
        API address of the entry.
    function : callable
        Asynchronous function of the client.

    Returns
    -------
    object
        What the function returned.

    Raises
    ------
    typer.Exit
        If the address is invalid or the call failed.
    """
    try:
        address = Address.parse(api)
    except ValueError as exc:
        typer.echo(f"error: --api: {exc}", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT) from exc

    async def run() -> Any:
        async with ApiClient(address=address) as client:
            return await function(client)

    result = trio.run(run)
    if isinstance(result, Failure):
        fail(result)
    return result

"""Options and helpers shared by the subcommands, including calls of an entry."""

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
    str, typer.Option("--operator", help="Name of the operator to record with the change.")
]
SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file of a node.", show_default=False)
]


def get_default_operator() -> str:
    """
    Return the default operator name to record with changes.

    Returns
    -------
    str
        The login name; ``"unnamed"`` if it cannot be determined.
    """
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"


def load_settings(path: Path) -> Settings:
    """
    Read the settings of a node; print their faults and exit if they are invalid.

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
    Read a file given on the command line; print an error and exit if that fails.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    bytes
        Content of the file.

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
    Call an entry; print the failure and exit if the call fails.

    Parameters
    ----------
    api : str
        API address of the entry.
    function : callable
        Asynchronous function that receives the client.

    Returns
    -------
    object
        Return value of the function.

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

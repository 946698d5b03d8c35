"""Exit codes of the command line."""

from __future__ import annotations

import enum
import json
import sys
from typing import Any, NoReturn

import msgspec
import typer

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema import Fault


class ExitCode(enum.IntEnum):
    """Exit codes, the same for every subcommand."""

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    UNREACHABLE = 5
    CONFLICT = 6


# Repeating the same command cannot help.
_INVALID = (
    Reason.BAD_REQUEST,
    Reason.NOT_FOUND,
    Reason.UNKNOWN_ACCOUNT,
    Reason.UNKNOWN_PIPELINE,
)


def exit_code_of(failure: Failure) -> ExitCode:
    """
    Return the exit code for a failure.

    Parameters
    ----------
    failure : Failure
        What went wrong.

    Returns
    -------
    ExitCode
        ``MAY_HAVE_RUN`` before all others, since it asks for an operator's attention.

    Examples
    --------
    >>> exit_code_of(Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="admit"))
    <ExitCode.NOT_RUN: 3>
    """
    if failure.run_state is RunState.MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    if failure.reason in (Reason.UNREACHABLE, Reason.TIMEOUT):
        return ExitCode.UNREACHABLE
    if failure.reason is Reason.KEY_MISMATCH:
        return ExitCode.CONFLICT
    if failure.reason in _INVALID:
        return ExitCode.INVALID_INPUT
    return ExitCode.NOT_RUN


def print_result(value: Any, *, as_json: bool, text: str = "") -> None:
    """
    Print a result for a script or for a person.

    Parameters
    ----------
    value : object
        The result; any value that msgspec can encode.
    as_json : bool
        Whether to print JSON.
    text : str
        What a person sees; indented JSON if empty.
    """
    encoded = msgspec.json.encode(value)
    if as_json:
        typer.echo(encoded.decode())
    else:
        typer.echo(text or json.dumps(json.loads(encoded), indent=2, ensure_ascii=False))


def fail(failure: Failure) -> NoReturn:
    """
    Print a failure to standard error and exit.

    Parameters
    ----------
    failure : Failure
        What went wrong.

    Raises
    ------
    typer.Exit
        With the code of the failure.
    """
    typer.echo(f"error: {failure}", err=True)
    if failure.retry_after_s:
        typer.echo(f"try again in {failure.retry_after_s:.1f} s", err=True)
    raise typer.Exit(exit_code_of(failure))


def fail_with_faults(faults: list[Fault] | list[str]) -> NoReturn:
    """
    Print the faults of a document to standard error and exit.

    Parameters
    ----------
    faults : list
        The faults, one line each.

    Raises
    ------
    typer.Exit
        With `ExitCode.INVALID_INPUT`.
    """
    for fault in faults:
        print(f"error: {fault}", file=sys.stderr)
    raise typer.Exit(ExitCode.INVALID_INPUT)

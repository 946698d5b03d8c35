"""Exit codes of the command line, and functions that print results and failures."""

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
    """Exit codes shared by all subcommands."""

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    UNREACHABLE = 5
    CONFLICT = 6


# Reasons for which repeating the same command cannot succeed.
_INVALID_INPUT_REASONS = (
    Reason.BAD_REQUEST,
    Reason.NOT_FOUND,
    Reason.UNKNOWN_ACCOUNT,
    Reason.UNKNOWN_PIPELINE,
)


def find_exit_code(failure: Failure) -> ExitCode:
    """
    Return the exit code for a failure.

    Parameters
    ----------
    failure : Failure
        The failure.

    Returns
    -------
    ExitCode
        ``MAY_HAVE_RUN`` takes precedence, since it requires an operator's attention.

    Examples
    --------
    >>> find_exit_code(Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="admit"))
    <ExitCode.NOT_RUN: 3>
    """
    if failure.run_state is RunState.MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    if failure.reason in (Reason.UNREACHABLE, Reason.TIMEOUT):
        return ExitCode.UNREACHABLE
    if failure.reason is Reason.KEY_MISMATCH:
        return ExitCode.CONFLICT
    if failure.reason in _INVALID_INPUT_REASONS:
        return ExitCode.INVALID_INPUT
    return ExitCode.NOT_RUN


def print_result(value: Any, *, as_json: bool, text: str = "") -> None:
    """
    Print a result as JSON or as human-readable text.

    Parameters
    ----------
    value : object
        The result; any value that msgspec can encode.
    as_json : bool
        Whether to print JSON.
    text : str
        Human-readable text; indented JSON is printed if empty.
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
        The failure.

    Raises
    ------
    typer.Exit
        With the exit code of the failure.
    """
    typer.echo(f"error: {failure}", err=True)
    if failure.retry_after_s:
        typer.echo(f"try again in {failure.retry_after_s:.1f} s", err=True)
    raise typer.Exit(find_exit_code(failure))


def fail_with_faults(faults: list[Fault] | list[str]) -> NoReturn:
    """
    Print the faults of an input document to standard error and exit.

    Parameters
    ----------
    faults : list
        The faults; each is printed on a line of its own.

    Raises
    ------
    typer.Exit
        With `ExitCode.INVALID_INPUT`.
    """
    for fault in faults:
        print(f"error: {fault}", file=sys.stderr)
    raise typer.Exit(ExitCode.INVALID_INPUT)

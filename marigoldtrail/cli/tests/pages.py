"""Extraction and execution of the commands on documentation pages."""

from __future__ import annotations

import re
import shlex
import subprocess
from pathlib import Path
from typing import Any

import msgspec
import trio
from typer.testing import CliRunner

from marigoldtrail.cli import app
from marigoldtrail.cli.exits import ExitCode
from marigoldtrail.timers import Timers

ROOT = Path(__file__).parents[3]
CONSOLE_BLOCK_PATTERN = re.compile(r"^```console\n(.*?)^```$", re.M | re.S)
EXIT_CODE_PATTERN = re.compile(r"  # exit code (\d)(?P<later>.*)$")
# Request ids, digests and attempt ids; those on a page are replaced by those of the run.
ID_PATTERN = re.compile(r"\b[0-9a-f]{24,64}\b")
MAX_ATTEMPTS = 30
RETRY_DELAY_S = 1.0
# Shell lines that start or signal processes or handle files; the tests in node/tests cover them.
SHELL_PREFIXES = (
    "marigoldtrail()",
    "export ",
    "for ",
    ".venv/bin/python",
    "kill ",
    "ls ",
    "rm ",
    "tail ",
)


class Command(msgspec.Struct, kw_only=True):
    """
    A command on a page.

    Parameters
    ----------
    line : str
        Command line without the comment that states the exit code.
    code : int
        Exit code stated on the page.
    is_delayed : bool
        Whether the page states that the code is returned only after some seconds.
    shown : str
        Output shown on the page.
    """

    line: str
    code: int = 0
    is_delayed: bool = False
    shown: str = ""


def find_commands(page: Path) -> list[Command]:
    """Return the commands of a page in order."""
    commands: list[Command] = []
    for block in CONSOLE_BLOCK_PATTERN.findall(page.read_text()):
        for line in block.splitlines():
            if line.startswith("$ "):
                text = line[2:]
                found = EXIT_CODE_PATTERN.search(text)
                if found is None:
                    commands.append(Command(line=text))
                    continue
                code, is_delayed = int(found[1]), bool(found["later"])
                commands.append(
                    Command(line=text[: found.start()], code=code, is_delayed=is_delayed)
                )
            elif not line.startswith("> "):
                commands[-1].shown += line + "\n"
    return commands


def run_program(arguments: list[str], api: str = "") -> Any:
    """Run the command line inside this process; the result has `exit_code` and `output`."""
    return CliRunner().invoke(app, arguments, env={"MARIGOLDTRAIL_API": api} if api else None)


def run_page(commands: list[Command], *, api: str, known_ids: dict[str, str]) -> list[str]:
    """Run the commands of a page in the working folder; return the faults."""
    faults = []
    for command in commands:
        line = command.line
        for shown, actual in known_ids.items():
            line = line.replace(shown, actual)
        if line.startswith("sed "):
            subprocess.run(["bash", "-c", line], check=True)
            continue
        if not line.startswith("marigoldtrail "):
            if not line.startswith(SHELL_PREFIXES):
                faults.append(f"{line}: unknown command")
            continue
        if " demo " in line:
            continue
        result = run_with_retries(command, shlex.split(line.partition(" | ")[0])[1:], api)
        if result.exit_code != command.code:
            faults.append(f"{line}: {result.exit_code}, not {command.code}: {result.output}")
        pairs = zip(
            ID_PATTERN.findall(command.shown), ID_PATTERN.findall(result.output), strict=False
        )
        known_ids.update((shown, actual) for shown, actual in pairs if shown != actual)
        faults += compare_output(command, result.output)
    return faults


def run_with_retries(command: Command, arguments: list[str], api: str) -> Any:
    """
    Run a command; repeat it while its outcome may be transient.

    A command that succeeds on the page may be refused as not run: a busy machine can delay a node
    until its view expires. A command whose exit code applies after some seconds may succeed before.
    """
    retryable_code = ExitCode.OK if command.is_delayed else ExitCode.NOT_RUN
    for _ in range(MAX_ATTEMPTS):
        result = run_program(arguments, api)
        if result.exit_code == command.code or result.exit_code != retryable_code:
            break
        # Pages run in a worker thread of the test's event loop.
        trio.from_thread.run(Timers().sleep, RETRY_DELAY_S)
    return result


def compare_output(command: Command, output: str) -> list[str]:
    """Compare the first line of an output with the page, ignoring numbers, ids and names."""
    shown = normalise_output(command.shown)
    if command.line.startswith("marigoldtrail manifest submit first/tsvetanov"):
        # This manifest is already in force when the test's fleet starts.
        shown = shown.replace("accepted", "repeated")
    if not shown or " | " in command.line or command.line.startswith("marigoldtrail explain"):
        return []
    return (
        []
        if normalise_output(output) == shown
        else [f"{command.line}: {output!r} is not {shown!r}"]
    )


def normalise_output(output: str) -> str:
    """Return the first words of an output without digits and ids."""
    line = output.partition("\n")[0]
    return re.sub(r"\(.*|[0-9][0-9a-f]*|, (submitted|leader).*", "", line).split(",")[0][:40]

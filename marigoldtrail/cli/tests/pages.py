"""Commands of the pages: how they are found and run."""

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
BLOCK = re.compile(r"^```console\n(.*?)^```$", re.M | re.S)
EXIT_CODE = re.compile(r"  # exit code (\d)(?P<later>.*)$")
# Request ids, digests and attempt ids; those of a page stand for those of the run.
ID = re.compile(r"\b[0-9a-f]{24,64}\b")
MAX_REPEATS = 30
REPEAT_PAUSE_S = 1.0
# Lines of the shell that start, signal or copy; node/tests does the same with its processes.
SHELL = ("marigoldtrail()", "export ", "for ", ".venv/bin/python", "kill ", "ls ", "rm ", "tail ")


class Command(msgspec.Struct, kw_only=True):
    """
    A command of a page.

    Parameters
    ----------
    line : str
        As typed, without the exit code that the page notes.
    code : int
        Exit code that the page promises.
    later : bool
        Whether the page promises the code only after some seconds.
    shown : str
        Output on the page.
    """

    line: str
    code: int = 0
    later: bool = False
    shown: str = ""


def find_commands(page: Path) -> list[Command]:
    """Return the commands of a page in their order."""
    commands: list[Command] = []
    for block in BLOCK.findall(page.read_text()):
        for line in block.splitlines():
            if line.startswith("$ "):
                text = line[2:]
                found = EXIT_CODE.search(text)
                if found is None:
                    commands.append(Command(line=text))
                    continue
                code, later = int(found[1]), bool(found["later"])
                commands.append(Command(line=text[: found.start()], code=code, later=later))
            elif not line.startswith("> "):
                commands[-1].shown += line + "\n"
    return commands


def run_program(arguments: list[str], api: str = "") -> Any:
    """Run the command line inside this process; `exit_code` and `output` tell the outcome."""
    return CliRunner().invoke(app, arguments, env={"MARIGOLDTRAIL_API": api} if api else None)


def run_page(commands: list[Command], *, api: str, known_ids: dict[str, str]) -> list[str]:
    """Run the commands of a page in the working folder; return what went wrong."""
    faults = []
    for command in commands:
        line = command.line
        for shown, actual in known_ids.items():
            line = line.replace(shown, actual)
        if line.startswith("sed "):
            subprocess.run(["bash", "-c", line], check=True)
            continue
        if not line.startswith("marigoldtrail "):
            if not line.startswith(SHELL):
                faults.append(f"{line}: unknown command")
            continue
        if " demo " in line:
            continue
        result = run_until_settled(command, shlex.split(line.partition(" | ")[0])[1:], api)
        if result.exit_code != command.code:
            faults.append(f"{line}: {result.exit_code}, not {command.code}: {result.output}")
        pairs = zip(ID.findall(command.shown), ID.findall(result.output), strict=False)
        known_ids.update((shown, actual) for shown, actual in pairs if shown != actual)
        faults += compare_output(command, result.output)
    return faults


def run_until_settled(command: Command, arguments: list[str], api: str) -> Any:
    """
    Run a command; repeat it while its outcome may be that of a moment only.

    A command that the page shows as served may be refused as not run: a busy machine can delay a
    node until its view lapses. One with an exit code after some seconds may be served before.
    """
    passing = ExitCode.OK if command.later else ExitCode.NOT_RUN
    for _ in range(MAX_REPEATS):
        result = run_program(arguments, api)
        if result.exit_code == command.code or result.exit_code != passing:
            break
        # Pages run in a thread of the test's event loop.
        trio.from_thread.run(Timers().sleep, REPEAT_PAUSE_S)
    return result


def compare_output(command: Command, output: str) -> list[str]:
    """Compare the first line of an output with the page, apart from numbers, ids and names."""
    shown = shape_of(command.shown)
    if command.line.startswith("marigoldtrail manifest submit first/tsvetanov"):
        # The fleet of the test starts with this manifest in force.
        shown = shown.replace("accepted", "repeated")
    if not shown or " | " in command.line or command.line.startswith("marigoldtrail explain"):
        return []
    return [] if shape_of(output) == shown else [f"{command.line}: {output!r} is not {shown!r}"]


def shape_of(output: str) -> str:
    """Return the first words of an output without digits and ids."""
    line = output.partition("\n")[0]
    return re.sub(r"\(.*|[0-9][0-9a-f]*|, (submitted|leader).*", "", line).split(",")[0][:40]

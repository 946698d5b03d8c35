"""
Runs seeds of the soak test: ``python -m bench.soak --first 1 --count 50``.

Exits with 1 if a promise was broken. Settings, data and logs of such a seed are kept in the folder.
"""

from __future__ import annotations

import shutil
from functools import partial
from pathlib import Path
from typing import Annotated

import trio
import typer

from bench.soak.run import ALL, PARTS, Outcome, run_seed

DEFAULT_SECONDS = 12.0
SEEDS_FILE = Path(__file__).parent / "seeds.txt"


def print_outcome(outcome: Outcome) -> None:
    """Print a summary line for a seed and a line for each broken promise."""
    verdict = "broken" if outcome.violations else "kept"
    injected = ", ".join(f"{kind} {count}" for kind, count in sorted(outcome.injected.items()))
    served = sum(count for key, count in outcome.answers.items() if key.endswith(" 200"))
    typer.echo(
        f"seed {outcome.seed}: {verdict}; {served} of {outcome.answers.total()} requests served,"
        f" {outcome.accepted} configurations accepted; {injected}"
    )
    for violation in outcome.violations:
        typer.echo(f"    {violation}")
    for line in outcome.planned:
        typer.echo(f"    without an answer: {line}")
    for line in outcome.notes:
        typer.echo(f"    {line}")


def read_regression_seeds() -> list[tuple[int, float]]:
    """Read the seeds of regressions, with the time of their faults in seconds."""
    lines = SEEDS_FILE.read_text().splitlines()
    fields = [line.split() for line in lines if line and not line.startswith("#")]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in fields]


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Seconds during which faults begin.")
    ] = DEFAULT_SECONDS,
    network: Annotated[
        str, typer.Option(help="First two octets of the loopback addresses.")
    ] = "127.20",
    folder: Annotated[Path, typer.Option(help="Folder for settings, data and logs.")] = Path(
        "build/soak"
    ),
    regressions: Annotated[
        bool, typer.Option(help="Run the seeds in seeds.txt, which failed before.")
    ] = False,
    part: Annotated[
        str, typer.Option(help=f"Part of the seeds to play: {', '.join(PARTS)}.")
    ] = ALL,
) -> None:
    """Run seeds in sequence."""
    if part not in PARTS:
        raise typer.BadParameter(f"the parts are {', '.join(PARTS)}")
    broken = 0
    seeds = [(seed, seconds) for seed in range(first, first + count)]
    if regressions:
        seeds = read_regression_seeds()
    for seed, length in seeds:
        seed_folder = folder.absolute() / str(seed)
        shutil.rmtree(seed_folder, ignore_errors=True)
        seed_folder.mkdir(parents=True)
        run = partial(run_seed, network=network, folder=seed_folder, part=part)
        outcome = trio.run(run, seed, length)
        print_outcome(outcome)
        if outcome.violations:
            broken += 1
        else:
            shutil.rmtree(seed_folder)
    typer.echo(f"{len(seeds)} seeds, {broken} with a broken promise")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)

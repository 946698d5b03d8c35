"""
Runs seeds of the soak: ``python -m bench.soak --first 1 --count 50``.

Exits with 1 if a promise was broken. Settings, data and logs of such a seed stay in the folder.
"""

from __future__ import annotations

import shutil
from functools import partial
from pathlib import Path
from typing import Annotated

import trio
import typer

from bench.soak.run import Outcome, run_seed

DEFAULT_SECONDS = 12.0
SEEDS_FILE = Path(__file__).parent / "seeds.txt"


def print_outcome(outcome: Outcome) -> None:
    """Print one line for a seed, and one for each broken promise."""
    verdict = "broken" if outcome.faults else "kept"
    injected = ", ".join(f"{kind} {count}" for kind, count in sorted(outcome.injected.items()))
    served = sum(count for key, count in outcome.answers.items() if key.endswith(" 200"))
    typer.echo(
        f"seed {outcome.seed}: {verdict}; {served} of {outcome.answers.total()} requests served,"
        f" {outcome.accepted} configurations accepted; {injected}"
    )
    for fault in outcome.faults:
        typer.echo(f"    {fault}")


def read_seeds() -> list[tuple[int, float]]:
    """Return the seeds that have failed once, with the seconds of their faults."""
    lines = SEEDS_FILE.read_text().splitlines()
    fields = [line.split() for line in lines if line and not line.startswith("#")]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in fields]


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time of faults in a seed.")] = DEFAULT_SECONDS,
    network: Annotated[str, typer.Option(help="First two octets of the addresses.")] = "127.20",
    folder: Annotated[Path, typer.Option(help="Settings, data and logs.")] = Path("build/soak"),
    regressions: Annotated[bool, typer.Option(help="Run the seeds that once failed.")] = False,
) -> None:
    """Run seeds one after the other."""
    broken = 0
    seeds = [(seed, seconds) for seed in range(first, first + count)]
    if regressions:
        seeds = read_seeds()
    for seed, length in seeds:
        place = folder.absolute() / str(seed)
        shutil.rmtree(place, ignore_errors=True)
        place.mkdir(parents=True)
        outcome = trio.run(partial(run_seed, seed, length, network=network, folder=place))
        print_outcome(outcome)
        if outcome.faults:
            broken += 1
        else:
            shutil.rmtree(place)
    typer.echo(f"{len(seeds)} seeds, {broken} with a broken promise")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)

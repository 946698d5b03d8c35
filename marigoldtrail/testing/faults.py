"""Runs the fault matrix and writes its page: ``python -m marigoldtrail.testing faults``."""

from __future__ import annotations

from multiprocessing import Pool
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from marigoldtrail.testing.fault_kinds import FAULTS
from marigoldtrail.testing.fault_matrix import BROKEN, SEED, CellResult, run_matrix
from marigoldtrail.testing.fault_report import render_page
from marigoldtrail.testing.fault_steps import STEPS

app = typer.Typer(pretty_exceptions_enable=False)


def main(argv: list[str]) -> int:
    """
    Run the command line.

    Parameters
    ----------
    argv : list of str
        Arguments after the name of the command.

    Returns
    -------
    int
        Exit code: 1 if a cell is broken.
    """
    return int(app(argv, prog_name="faults", standalone_mode=False) or 0)


@app.command()
def run_faults(
    step: Annotated[list[str] | None, typer.Option(help="Only this step; repeatable.")] = None,
    fault: Annotated[list[str] | None, typer.Option(help="Only this fault; repeatable.")] = None,
    seed: Annotated[int, typer.Option(help="Seed of everything random.")] = SEED,
    jobs: Annotated[int, typer.Option(help="Processes that run steps.")] = 4,
    page: Annotated[Path, typer.Option(help="Page to write.")] = Path("docs/FAULTS.md"),
    results: Annotated[
        Path | None, typer.Option(help="Keep results here and run only cells that it lacks.")
    ] = None,
) -> int:
    """Run every fault at every step and write the page of the fault matrix."""
    known = read_results(results)
    done = {(cell.step, cell.fault) for cell in known}
    cells = [
        (name, kind, seed)
        for name in step or list(STEPS)
        for kind in fault or list(FAULTS)
        if (name, kind) not in done
    ]
    with Pool(jobs) as pool:
        for cell in pool.imap_unordered(run_one_cell, cells):
            known.append(cell)
            typer.echo(f"{cell.verdict}: {cell.step} / {cell.fault} {'; '.join(cell.broken)}")
            if results is not None:
                with results.open("ab") as file:
                    file.write(msgspec.json.encode(cell) + b"\n")
    page.write_text(render_page(known, seed=seed))
    return int(any(cell.verdict == BROKEN for cell in known))


def run_one_cell(cell: tuple[str, str, int]) -> CellResult:
    """
    Run one cell in a process of the pool.

    Parameters
    ----------
    cell : tuple of str, str, int
        Step, fault and seed.

    Returns
    -------
    CellResult
        Its verdict.
    """
    step, fault, seed = cell
    return next(run_matrix([step], [fault], seed=seed))


def read_results(path: Path | None) -> list[CellResult]:
    """
    Read the results of earlier runs.

    Parameters
    ----------
    path : Path or None
        One JSON object a line; may be missing.

    Returns
    -------
    list of CellResult
        The results.
    """
    if path is None or not path.exists():
        return []
    return [msgspec.json.decode(line, type=CellResult) for line in path.read_bytes().splitlines()]

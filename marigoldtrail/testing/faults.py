"""Runs the fault matrix and writes its report: ``python -m marigoldtrail.testing faults``."""

from __future__ import annotations

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
        Arguments after the subcommand.

    Returns
    -------
    int
        Exit code: 1 if the verdict of a cell is ``broken``.
    """
    return int(app(argv, prog_name="faults", standalone_mode=False) or 0)


@app.command()
def run_faults(
    step: Annotated[list[str] | None, typer.Option(help="Run only this step; repeatable.")] = None,
    fault: Annotated[
        list[str] | None, typer.Option(help="Run only this fault; repeatable.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = SEED,
    part: Annotated[
        str,
        typer.Option(help="K/N: run only the K-th of N parts, to split the matrix over processes."),
    ] = "1/1",
    page: Annotated[Path, typer.Option(help="Markdown page to write.")] = Path("docs/FAULTS.md"),
    results: Annotated[
        Path | None,
        typer.Option(help="Folder with results; cells that have a result there are not run again."),
    ] = None,
) -> int:
    """Inject every fault at every step and write the page of the fault matrix."""
    known = read_results(results)
    done = {(cell.step, cell.fault) for cell in known}
    cells = [
        (name, kind, seed)
        for name in step or list(STEPS)
        for kind in fault or list(FAULTS)
        if (name, kind) not in done
    ]
    number, _, parts = part.partition("/")
    for name, kind, cell_seed in cells[int(number) - 1 :: int(parts)]:
        cell = next(run_matrix([name], [kind], seed=cell_seed))
        known.append(cell)
        typer.echo(f"{cell.verdict}: {cell.step} / {cell.fault} {'; '.join(cell.broken)}")
        if results is not None:
            append_result(results / f"part-{number}.jsonl", cell)
    page.write_text(render_page(known, seed=seed))
    return int(any(cell.verdict == BROKEN for cell in known))


def append_result(path: Path, cell: CellResult) -> None:
    """
    Append the result of a cell to a file.

    Parameters
    ----------
    path : Path
        File with one JSON object per line; created if missing.
    cell : CellResult
        The result.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        file.write(msgspec.json.encode(cell) + b"\n")


def read_results(folder: Path | None) -> list[CellResult]:
    """
    Read the results of earlier runs.

    Parameters
    ----------
    folder : Path or None
        Folder of files with one JSON object per line; may be missing.

    Returns
    -------
    list of CellResult
        The results.
    """
    if folder is None:
        return []
    return [
        msgspec.json.decode(line, type=CellResult)
        for path in sorted(folder.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]

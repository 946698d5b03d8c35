"""Renders the results of the fault matrix as a Markdown page."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from marigoldtrail.testing.fault_kinds import FAULTS
from marigoldtrail.testing.fault_matrix import BROKEN, IMPOSSIBLE, UNTRIED, CellResult
from marigoldtrail.testing.fault_steps import STEPS

INTRODUCTION = """# Fault matrix

Written by `python -m marigoldtrail.testing faults` (`make faults`), seed {seed}. Each cell starts a
fleet of four nodes in memory (three of them control hosts), brings it to the step, injects the
fault there, heals it after at most 9 s of virtual time, lets the fleet settle and checks:

* an order takes effect at most once (P6);
* `not_run` is true at the refusal and after settling (P5);
* an answer has run and has a record, and a repeat hears the recorded outcome (P1);
* the cold limit is kept (P2);
* takeouts and manifests are in force everywhere and do not revert (P3, P9);
* a drain cuts off no request (P8);
* every entry serves orders and streams again, and streams the complete text (P4).

A cell is `held` or `broken` only if it ran. `cannot happen` and `untried` cells name the reason
below. "Receiver" is the control host or upstream that the message of the step reaches, else the
leader of the log group concerned. A stalled control host is one whose links and disk stand still;
its timers go on. Not in the matrix: a stalled entry process, hosts and upstreams that leave (P7),
answers given to another account (P1), and faults in the middle of writing a snapshot.

{counts}
"""


def render_page(results: Sequence[CellResult], *, seed: int) -> str:
    """
    Render the matrix as Markdown.

    Parameters
    ----------
    results : sequence of CellResult
        Results of cells; cells without a result count as untried.
    seed : int
        Seed of the run, as stated on the page.

    Returns
    -------
    str
        The page.
    """
    by_cell = {(result.step, result.fault): result for result in results}
    verdicts = Counter(
        by_cell[step, fault].verdict if (step, fault) in by_cell else UNTRIED
        for step in STEPS
        for fault in FAULTS
    )
    counts = ", ".join(f"{verdict}: {count}" for verdict, count in sorted(verdicts.items()))
    parts = [INTRODUCTION.format(seed=seed, counts=f"Cells: {counts}.")]
    parts.append(render_table(by_cell))
    parts += [render_step(step, by_cell) for step in STEPS]
    return "\n".join(parts)


def render_table(by_cell: dict[tuple[str, str], CellResult]) -> str:
    """Render the table, with a row for each fault and a numbered column for each step."""
    steps = list(STEPS)
    lines = ["Columns:", ""]
    lines += [f"{number}. {step}" for number, step in enumerate(steps, 1)]
    lines += ["", "| fault | " + " | ".join(str(n) for n in range(1, len(steps) + 1)) + " |"]
    lines.append("| --- |" + " --- |" * len(steps))
    for fault in FAULTS:
        cells = [by_cell.get((step, fault)) for step in steps]
        verdicts = [cell.verdict if cell is not None else UNTRIED for cell in cells]
        lines.append(f"| {fault} | " + " | ".join(verdicts) + " |")
    return "\n".join(lines) + "\n"


def render_step(step: str, by_cell: dict[tuple[str, str], CellResult]) -> str:
    """Render the observations of each cell of a step."""
    lines = [f"## {step}", ""]
    for fault in FAULTS:
        cell = by_cell.get((step, fault))
        if cell is None:
            lines.append(f"* {fault}: {UNTRIED} (not run in this sitting)")
        elif cell.verdict in (IMPOSSIBLE, UNTRIED):
            lines.append(f"* {fault}: {cell.verdict} ({'; '.join(cell.seen)})")
        else:
            lines.append(f"* {fault}: {cell.verdict}. Seen: {'; '.join(cell.seen)}.")
        if cell is not None and cell.verdict == BROKEN:
            lines += [f"  * broken: {text}" for text in cell.broken]
    return "\n".join(lines) + "\n"

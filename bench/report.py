"""Writes the report of a benchmark run: tables, plots and ratios to an earlier run."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

MB_LIMIT, CORE_PERCENT_LIMIT, BYTES_LIMIT = 128, 2.2, 4000
FIGURE_INCHES = (7, 4)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """
    Yield the numbers of a nested result by path.

    Examples
    --------
    >>> list(flatten({"a": [{"b": 1}, 2.5], "c": "text"}))
    [('a.0.b', 1.0), ('a.1', 2.5)]
    """
    if isinstance(value, dict):
        items: Any = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        if isinstance(value, int | float) and not isinstance(value, bool):
            yield path, float(value)
        return
    for key, item in items:
        yield from flatten(item, f"{path}.{key}" if path else str(key))


def find_earlier_figures(
    name: str, earlier: Sequence[dict[str, Any]]
) -> tuple[dict[str, float], dict[str, Any] | None]:
    """Return the newest earlier figures of a benchmark, and the run that measured them."""
    for result in reversed(earlier):
        outcome = result["benchmarks"].get(name, {})
        if "figures" in outcome:
            return dict(flatten(outcome["figures"])), result["run"]
    return {}, None


def plot_lines(
    path: Path, lines: dict[str, dict[float, float]], x: str, y: str, limit: float | None = None
) -> str:
    """Plot lines and an optional limit to a file; return the Markdown that embeds the image."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for label, points in lines.items():
        axes.plot(list(points), list(points.values()), marker="o", label=label)
    if limit is not None:
        axes.axhline(limit, color="red", linestyle="--", label="limit")
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return f"![{y} by {x}]({path.name})"


def plot_nodes(folder: Path, figures: dict[str, Any]) -> list[str]:
    """Plot the resource usage of node processes."""
    roles = ("entry", "control_leader", "control_follower")
    charts = (
        ("nodes", "entries", "core_percent", "% of a core", CORE_PERCENT_LIMIT),
        ("nodes", "entries", "sent_bytes_per_s", "bytes sent/s", BYTES_LIMIT),
        ("manifests", "accounts", "resident_mb", "resident MB", MB_LIMIT),
    )
    images = []
    for runs, size, name, label, limit in charts:
        lines = {role: {run[size]: run[role][name] for run in figures[runs]} for role in roles}
        images.append(plot_lines(folder / f"{name}.svg", lines, size, label, limit))
    return images


def plot_changes(folder: Path, figures: dict[str, Any]) -> list[str]:
    """Plot the time until a change is in force."""
    lines = {
        name: {run["entries"]: run[f"{name}_max_s"] for run in figures["nodes"]}
        for name in ("manifest", "takeout")
    }
    return [plot_lines(folder / "changes.svg", lines, "entries", "slowest change in s", 11)]


def plot_propagation(folder: Path, figures: dict[str, Any]) -> list[str]:
    """Plot the CPU usage of control hosts for Syncs."""
    runs = figures["sync_cost"]
    lines = {
        "all control hosts": {run["nodes"]: 100 * run["control_process_core_share"] for run in runs}
    }
    return [plot_lines(folder / "sync.svg", lines, "nodes", "% of a core")]


def plot_dataline(folder: Path, figures: dict[str, Any]) -> list[str]:
    """Plot the CPU time of one entry and of the control hosts."""
    images = []
    for kind, count in (("requests", "requests"), ("streams", "tokens")):
        runs = figures[kind]["runs"]
        lines = {
            role: {run[count]: run[f"{role}_cpu_s"] for run in runs}
            for role in ("entry", "control")
        }
        images.append(plot_lines(folder / f"{kind}.svg", lines, count, "processor s"))
    return images


PLOTS = {
    "nodes": lambda folder, figures: [*plot_nodes(folder, figures), *plot_changes(folder, figures)],
    "propagation": plot_propagation,
    "dataline": plot_dataline,
}


def write_report(
    folder: Path, result: dict[str, Any], earlier: Sequence[dict[str, Any]] = ()
) -> None:
    """
    Write ``report.md`` and its plots.

    Parameters
    ----------
    folder : Path
        Folder for the report and the plots.
    result : dict
        Result of this run.
    earlier : sequence of dict
        Results of earlier runs, oldest first.
    """
    run = result["run"]
    outcomes = {name: (run, outcome, earlier) for name, outcome in result["benchmarks"].items()}
    # Benchmarks that were not part of this run are shown from the newest earlier run.
    for position in reversed(range(len(earlier))):
        for name, outcome in earlier[position]["benchmarks"].items():
            if "figures" in outcome:
                outcomes.setdefault(name, (earlier[position]["run"], outcome, earlier[:position]))
    lines = [
        "# Benchmarks",
        "",
        f"Revision {run['revision']}, {run['started']}, {run['cores']} cores, "
        f"load {run['load'][0]} at the start.",
    ]
    for name, (source, outcome, before_it) in outcomes.items():
        lines += ["", f"## {name}", "", f"`python -m bench {name}`, {outcome['seconds']} s, "]
        lines[-1] += f"load {outcome['load_before']} to {outcome['load_after']}."
        before, other = find_earlier_figures(name, before_it)
        if source is not run:
            lines[-1] += f" Measured at revision {source['revision']}, {source['started']}."
        if other:
            lines[-1] += f" Ratios are to revision {other['revision']} of {other['started']}."
        if "error" in outcome:
            lines += ["", "Failed:", "", "```", outcome["error"], "```"]
            continue
        if name in PLOTS:
            lines += ["", *PLOTS[name](folder, outcome["figures"])]
        lines += ["", "| figure | value | ratio to the earlier run |", "| --- | --- | --- |"]
        for path, value in flatten(outcome["figures"]):
            old = before.get(path)
            ratio = f"{value / old:.2f}" if old else ""
            lines.append(f"| {path} | {value:.6g} | {ratio} |")
    (folder / "report.md").write_text("\n".join(lines) + "\n")

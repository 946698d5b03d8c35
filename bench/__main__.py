"""
Runs the benchmarks and stores their figures.

``python -m bench`` runs all of them in sequence; ``python -m bench NAME ...`` runs some. Each runs
in a process of its own with a time limit. The figures are written to one JSON file per run under
``bench/results``; ``report.md`` there compares them with the newest earlier run of the benchmark.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from bench.report import write_report

RESULTS = Path(__file__).parent / "results"
# Time limit of each benchmark, in the order in which they run.
TIME_LIMITS_S = {
    "slots": 30,
    "duties": 100,
    "records": 400,
    "hop": 120,
    "commits": 150,
    "propagation": 300,
    "nodes": 360,
    "dataline": 200,
    "policy": 400,
    "stages": 60,
}
MAX_ERROR_CHARS = 2000


def run_benchmark(name: str) -> dict[str, Any]:
    """
    Run one benchmark in a separate process.

    Parameters
    ----------
    name : str
        Name of a module under ``bench``.

    Returns
    -------
    dict
        ``figures`` or ``error``, the duration, and the load average before and after.
    """
    started, load = time.monotonic(), os.getloadavg()[0]
    outcome: dict[str, Any] = {}
    try:
        done = subprocess.run(
            [sys.executable, "-m", f"bench.{name}"],
            capture_output=True,
            text=True,
            timeout=TIME_LIMITS_S[name],
            check=False,
        )
    except subprocess.TimeoutExpired:
        outcome["error"] = f"did not end within {TIME_LIMITS_S[name]} s"
    else:
        if done.returncode:
            outcome["error"] = find_last_error(done.stderr)
        else:
            outcome["figures"] = json.loads(done.stdout)
    outcome["seconds"] = round(time.monotonic() - started, 1)
    outcome["load_before"], outcome["load_after"] = round(load, 2), round(os.getloadavg()[0], 2)
    return outcome


def run_git(*arguments: str) -> str:
    """Return the output of a git command; empty outside a repository."""
    done = subprocess.run(
        ["git", *arguments], capture_output=True, text=True, cwd=RESULTS.parent, check=False
    )
    return done.stdout.strip()


def describe_run(started: datetime) -> dict[str, Any]:
    """Return the time, revision and environment of the run."""
    return {
        "started": started.isoformat(timespec="seconds"),
        "revision": run_git("rev-parse", "--short", "HEAD") or "unknown",
        "uncommitted_changes": bool(run_git("status", "--porcelain", "--untracked-files=no")),
        "cores": os.cpu_count(),
        "load": [round(value, 2) for value in os.getloadavg()],
        "python": sys.version.split()[0],
    }


def find_last_error(output: str) -> str:
    """
    Return the error line of a traceback, which contains no local paths.

    Parameters
    ----------
    output : str
        Standard error of a benchmark.

    Returns
    -------
    str
        One line.

    Examples
    --------
    >>> find_last_error("  | File 'x'\\n  | RuntimeError: no\\n  +-----\\n")
    'RuntimeError: no'
    """
    lines = [line.strip(" |+-") for line in output.splitlines()]
    return next((line for line in reversed(lines) if line), "")[:MAX_ERROR_CHARS]


def main() -> None:
    """Run benchmarks; exit with code 1 if one of them fails."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(TIME_LIMITS_S))
    names = parser.parse_args().names or list(TIME_LIMITS_S)
    for name in names:
        if name not in TIME_LIMITS_S:
            parser.error(f"{name}: unknown; known are {', '.join(TIME_LIMITS_S)}")
    started = datetime.now(UTC)
    RESULTS.mkdir(exist_ok=True)
    earlier = sorted(RESULTS.glob("*.json"))
    result: dict[str, Any] = {"run": describe_run(started), "benchmarks": {}}
    revision = result["run"]["revision"]
    path = RESULTS / f"{started:%Y-%m-%dT%H%M%SZ}-{revision}.json"
    for name in names:
        print(f"{name} ...", end=" ", flush=True)
        outcome = run_benchmark(name)
        result["benchmarks"][name] = outcome
        print(outcome.get("error", f"{outcome['seconds']} s"))
        # Written after each benchmark, so that an interrupted run keeps its completed measurements.
        path.write_text(json.dumps(result, indent=1) + "\n")
    write_report(RESULTS, result, [json.loads(file.read_text()) for file in earlier])
    print(f"{path.name} and report.md are in bench/results")
    sys.exit(any("error" in outcome for outcome in result["benchmarks"].values()))


if __name__ == "__main__":
    main()

"""Tests of the report of a benchmark run."""

from pathlib import Path
from typing import Any

from bench.fit import fit_line
from bench.report import write_report


def make_run(revision: str, **outcomes: dict[str, Any]) -> dict[str, Any]:
    timing = {"seconds": 1.0, "load_before": 0.5, "load_after": 0.5}
    return {
        "run": {"revision": revision, "started": revision, "cores": 10, "load": [0.5, 0.5, 0.5]},
        "benchmarks": {name: {**timing, **outcome} for name, outcome in outcomes.items()},
    }


def test_ratio_is_to_the_newest_run_that_measured_the_benchmark(tmp_path: Path) -> None:
    # Guards against a ratio to an older run, and against a missing one after another benchmark.
    earlier = [
        make_run("oldest", slots={"figures": {"grants": 1}}),
        make_run("older", slots={"figures": {"grants": 40}}),
        make_run("newer", hop={"figures": {"calls": 5}}, slots={"error": "timed out"}),
    ]
    write_report(tmp_path, make_run("now", slots={"figures": {"grants": 50}}), earlier)
    text = (tmp_path / "report.md").read_text()
    assert "| grants | 50 | 1.25 |" in text
    assert "Ratios are to revision older" in text


def test_failed_benchmark_is_reported_beside_the_others(tmp_path: Path) -> None:
    # Guards against a missing report, or one that hides the failure, when one benchmark fails.
    run = make_run("now", slots={"error": "did not end within 30 s"}, hop={"figures": {"calls": 5}})
    write_report(tmp_path, run)
    text = (tmp_path / "report.md").read_text()
    assert "did not end within 30 s" in text
    assert "| calls | 5 |  |" in text


def test_residual_is_the_largest_distance_from_the_line() -> None:
    # Guards against a fit that hides a point far from the line.
    line = fit_line({0: 0.0, 1: 3.0, 2: 0.0})
    assert line == {"slope": 0.0, "intercept": 1.0, "residual": 2.0}


def test_benchmark_that_did_not_run_is_shown_from_an_earlier_run(tmp_path: Path) -> None:
    # Guards against a report that omits the other benchmarks after a run of one.
    earlier = [make_run("older", hop={"figures": {"calls": 5}})]
    write_report(tmp_path, make_run("now", slots={"figures": {"grants": 50}}), earlier)
    text = (tmp_path / "report.md").read_text()
    assert "| calls | 5 |  |" in text
    assert "Measured at revision older" in text

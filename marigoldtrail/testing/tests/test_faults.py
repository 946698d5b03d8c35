"""Tests of selected cells of the fault matrix, and that the matrix detects a broken promise."""

import msgspec
import pytest

from marigoldtrail.serving import claims
from marigoldtrail.testing.fault_kinds import FAULTS
from marigoldtrail.testing.fault_matrix import HELD, UNTRIED, CellResult, run_cell
from marigoldtrail.testing.fault_report import render_page
from marigoldtrail.testing.fault_steps import STEPS

# Cells for the most important promises: at most once, cold limit, manifests, drains. The whole
# matrix takes half an hour on one core, these cells at most a minute.
CELLS = [
    ("claim: open", "message delayed"),
    ("claim: call", "entry dies"),
    ("claim: call", "answer lost, entry dies"),
    ("claim: answer on its way", "upstreams restarted cold"),
    ("claim: settle", "message lost, leader dies"),
    ("commit", "receiver cut off outbound"),
    ("commit", "second host lost after a repair"),
    ("slot grant", "message delayed"),
    ("manifest: submit", "operators race"),
    ("drain", "message lost"),
    ("stage: generate", "receiver dies"),
]


@pytest.mark.parametrize(("step", "fault"), CELLS)
def test_promises_hold(step, fault):
    """Guards against a promise that is broken by the fault at the step."""
    result = run_cell(step, fault)
    assert (result.verdict, result.broken) == (HELD, [])


def test_verdict_is_the_same_on_every_run():
    """Guards against results of cells that depend on the scheduling order of tasks."""
    assert run_cell("claim: settle", "receiver dies") == run_cell("claim: settle", "receiver dies")


def test_matrix_detects_a_second_call(monkeypatch):
    """Guards against a matrix that reports ``held`` although each claim is granted again."""
    monkeypatch.setattr(claims, "_is_granted", lambda state, reply: True)
    result = run_cell("claim: settle", "message doubled")
    assert "P6: booking yard-7/order took effect 2 times" in result.broken


def test_page_counts_only_cells_that_ran():
    """Guards against a page that shows a cell that was not run as held."""
    cell = CellResult(step="drain", fault="disk full", verdict=HELD, seen=["answered"])
    page = render_page([cell], seed=1)
    assert f"{HELD}: 1, {UNTRIED}: {len(STEPS) * len(FAULTS) - 1}" in page
    assert "* disk full: held. Seen: answered." in page
    unreached = msgspec.structs.replace(cell, verdict=UNTRIED, seen=["the step was not reached"])
    assert f"{UNTRIED}: {len(STEPS) * len(FAULTS)}" in render_page([unreached], seed=1)

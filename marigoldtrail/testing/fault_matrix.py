"""Runs the fault matrix: every fault at every step of a small in-memory fleet."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterable, Iterator
from typing import Any
from unittest import mock

import msgspec
import trio
import trio.testing

from marigoldtrail.consensus import applying, log
from marigoldtrail.control.host_list import HostList, PlatformHost
from marigoldtrail.node import control_role
from marigoldtrail.testing.fault_cell import Cell, start_cell
from marigoldtrail.testing.fault_kinds import FAULTS
from marigoldtrail.testing.fault_steps import STEPS
from marigoldtrail.testing.taps import Forward, Point, Tap, install_tap

HELD = "held"
BROKEN = "broken"
IMPOSSIBLE = "cannot happen"
UNTRIED = "untried"

# Faults of a message before it arrives, and of an answer before it is sent.
BEFORE_ARRIVAL_FAULTS = (
    "message lost",
    "message delayed",
    "message reordered",
    "message lost, leader dies",
)
ANSWER_LOSS_FAULTS = (
    "answer lost after the effect",
    "answer lost, entry dies",
    "answer lost, leader dies",
)

SEED = 1
# Duration of a fault, unless the workload of the step ends earlier.
FAULT_S = 8.0
WORK_TIMEOUT_S = 60.0
# Limit on the virtual time of a cell.
CELL_VIRTUAL_S = 900.0


class CellResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    Verdict of one cell.

    Parameters
    ----------
    step, fault : str
        The cell.
    verdict : str
        ``held``, ``broken``, ``cannot happen`` or ``untried``.
    seen : list of str
        What callers and operators observed, or the reason why the cell did not run.
    broken : list of str
        Promises that were broken.
    """

    step: str
    fault: str
    verdict: str
    seen: list[str] = []
    broken: list[str] = []


def explain_impossible(step: str, fault: str) -> str:
    """
    Return why a fault cannot occur at a step; empty if it can.

    Parameters
    ----------
    step, fault : str
        The cell.

    Returns
    -------
    str
        The reason.
    """
    if not STEPS[step].after:
        return ""
    if fault in BEFORE_ARRIVAL_FAULTS:
        return "the message has already arrived"
    if fault == "message doubled":
        return "same cell as before the effect: the copy comes after it either way"
    if step == "claim: answer on its way" and fault in ANSWER_LOSS_FAULTS:
        return "same cell as at claim: call, where the upstream loses the answer after the effect"
    return ""


def run_cell(step: str, fault: str, *, seed: int = SEED) -> CellResult:
    """
    Run one cell under a virtual clock.

    Parameters
    ----------
    step, fault : str
        Names in `STEPS` and `FAULTS`.
    seed : int
        Seed of all random choices.

    Returns
    -------
    CellResult
        The verdict; ``untried`` if the step was not reached.
    """
    reason = explain_impossible(step, fault)
    if reason:
        return CellResult(step=step, fault=fault, verdict=IMPOSSIBLE, seen=[reason])
    with use_fixed_schedule(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run_in_fleet, step, fault, seed, clock=clock)


@contextlib.contextmanager
def use_fixed_schedule(seed: int) -> Iterator[None]:
    """Make trio run tasks in the same order on every run."""
    core = trio._core._run
    before = core._r.getstate()
    with mock.patch.object(core, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        core._r.seed(seed)
        try:
            yield
        finally:
            core._r.setstate(before)


async def run_in_fleet(step: str, fault: str, seed: int) -> CellResult:
    """Start a fleet, inject the fault at the step, end the fault and check the promises."""
    result = CellResult(step=step, fault=fault, verdict=UNTRIED)
    async with trio.open_nursery() as nursery:
        cells: list[Cell] = []

        async def act(point: Point, forward: Forward) -> Any:
            return await inject(cells[0], step, fault, point, forward)

        tap = Tap(matches=STEPS[step].matches, act=act)
        with (
            install_tap(tap),
            patch_platform_list(cells),
            patch_snapshot_limits(STEPS[step].snapshot_entries),
        ):
            cell = await start_cell(nursery, seed)
            cells.append(cell)
            with trio.move_on_after(CELL_VIRTUAL_S) as scope:
                await run_step(cell, step, tap)
            cell.check(not scope.cancelled_caught, f"the cell runs longer than {CELL_VIRTUAL_S} s")
            result = build_cell_result(cell, tap, step, fault)
            nursery.cancel_scope.cancel()
    return result


async def inject(cell: Cell, step: str, fault: str, point: Point, forward: Forward) -> Any:
    """Inject the fault before or after the effect of the message, as the step requires."""
    apply, group = FAULTS[fault], STEPS[step].group
    if not STEPS[step].after:
        return await apply(cell, point, forward, group)
    result = await forward()

    async def return_result() -> Any:
        return result

    return await apply(cell, point, return_result, group)


async def run_step(cell: Cell, step: str, tap: Tap) -> None:
    """Run the workload of the step with the fault, then end the fault and check the promises."""
    spec = STEPS[step]
    if spec.prepare is not None:
        await spec.prepare(cell)
    done = trio.Event()

    async def work() -> None:
        await spec.work(cell)
        done.set()

    tap.is_armed = True
    cell.nursery.start_soon(work)
    with trio.move_on_after(FAULT_S):
        await done.wait()
    # Some workloads end at once; the fault remains active for another second.
    await cell.fleet.timers.sleep(1)
    tap.is_armed = False
    await cell.heal()
    with trio.move_on_after(WORK_TIMEOUT_S):
        await done.wait()
    cell.check(done.is_set(), "the workload of the step does not end")
    await cell.heal()
    await cell.settle()
    await cell.check_promises()


def build_cell_result(cell: Cell, tap: Tap, step: str, fault: str) -> CellResult:
    """Return the verdict of a cell that ran."""
    if not tap.has_fired:
        seen = [f"the step was not reached; seen: {sorted(tap.seen)}"]
        return CellResult(step=step, fault=fault, verdict=UNTRIED, seen=seen)
    return CellResult(
        step=step,
        fault=fault,
        verdict=BROKEN if cell.broken else HELD,
        seen=list(cell.seen),
        broken=list(cell.broken),
    )


@contextlib.contextmanager
def patch_platform_list(cells: list[Cell]) -> Iterator[None]:
    """Make every control host read a platform list on which every host is always live."""

    async def read_hosts() -> HostList:
        await trio.lowlevel.checkpoint()
        hosts = list(cells[0].fleet.settings) if cells else []
        return HostList(version=1, hosts=[PlatformHost(host=host, state="live") for host in hosts])

    with mock.patch.object(control_role, "make_host_reader", lambda url: read_hosts):
        yield


@contextlib.contextmanager
def patch_snapshot_limits(entries: int) -> Iterator[None]:
    """Make logs take a snapshot after a number of entries and retain none before it; 0 to skip."""
    if not entries:
        yield
        return
    with (
        mock.patch.object(applying, "SNAPSHOT_ENTRIES", entries),
        mock.patch.object(log, "RETAINED_ENTRIES", 0),
    ):
        yield


def run_matrix(
    steps: Iterable[str], faults: Iterable[str], *, seed: int = SEED
) -> Iterator[CellResult]:
    """
    Run a part of the matrix.

    Parameters
    ----------
    steps, faults : iterable of str
        Steps and faults of the cells to run.
    seed : int
        Seed of all random choices.

    Yields
    ------
    CellResult
        Results of the cells, in order.
    """
    logging.disable(logging.CRITICAL)
    faults = list(faults)
    try:
        for step in steps:
            for fault in faults:
                try:
                    yield run_cell(step, fault, seed=seed)
                except Exception as exc:
                    # An exception in the fleet makes the cell broken and does not end the run.
                    broken = [f"raised {exc!r}: {getattr(exc, 'exceptions', ())!r}"]
                    yield CellResult(step=step, fault=fault, verdict=BROKEN, broken=broken)
    finally:
        logging.disable(logging.NOTSET)

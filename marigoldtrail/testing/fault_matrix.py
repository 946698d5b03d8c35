"""The fault matrix: every fault at every step of a small fleet in memory."""

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

# Faults of a message that has not arrived yet, and of an answer that has not been sent yet.
ARRIVING = ("message lost", "message delayed", "message reordered", "message lost, leader dies")
ANSWER_LOST = (
    "answer lost after the effect",
    "answer lost, entry dies",
    "answer lost, leader dies",
)

SEED = 1
# A fault lasts this long, unless the work of the step ends earlier.
FAULT_S = 8.0
WORK_TIMEOUT_S = 60.0
# Longest run of a cell in virtual seconds.
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
        What callers and operators saw, or the reason why the cell did not run.
    broken : list of str
        Promises that did not hold.
    """

    step: str
    fault: str
    verdict: str
    seen: list[str] = []
    broken: list[str] = []


def impossible(step: str, fault: str) -> str:
    """
    Return why a fault cannot act at a step; empty if it can.

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
    if fault in ARRIVING:
        return "the message has already arrived"
    if fault == "message doubled":
        return "same cell as before the effect: the copy comes after it either way"
    if step == "claim: answer on its way" and fault in ANSWER_LOST:
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
        Seed of everything random.

    Returns
    -------
    CellResult
        The verdict; ``untried`` if the step was not reached.
    """
    reason = impossible(step, fault)
    if reason:
        return CellResult(step=step, fault=fault, verdict=IMPOSSIBLE, seen=[reason])
    with fixed_schedule(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run_in_fleet, step, fault, seed, clock=clock)


@contextlib.contextmanager
def fixed_schedule(seed: int) -> Iterator[None]:
    """Run the tasks of trio in the same order on every run."""
    core = trio._core._run
    before = core._r.getstate()
    with mock.patch.object(core, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        core._r.seed(seed)
        try:
            yield
        finally:
            core._r.setstate(before)


async def run_in_fleet(step: str, fault: str, seed: int) -> CellResult:
    """Start a fleet, inject the fault at the step, heal, settle and judge."""
    result = CellResult(step=step, fault=fault, verdict=UNTRIED)
    async with trio.open_nursery() as nursery:
        box: list[Cell] = []

        async def act(point: Point, forward: Forward) -> Any:
            return await inject(box[0], step, fault, point, forward)

        tap = Tap(matches=STEPS[step].matches, act=act)
        with install_tap(tap), install_platform(box), shorten_log(STEPS[step].snapshot_entries):
            cell = await start_cell(nursery, seed)
            box.append(cell)
            with trio.move_on_after(CELL_VIRTUAL_S) as scope:
                await run_step(cell, step, tap)
            cell.check(not scope.cancelled_caught, f"the cell runs longer than {CELL_VIRTUAL_S} s")
            result = judge_cell(cell, tap, step, fault)
            nursery.cancel_scope.cancel()
    return result


async def inject(cell: Cell, step: str, fault: str, point: Point, forward: Forward) -> Any:
    """Apply the fault before the point's effect, or after it."""
    apply, group = FAULTS[fault], STEPS[step].group
    if not STEPS[step].after:
        return await apply(cell, point, forward, group)
    result = await forward()

    async def give() -> Any:
        return result

    return await apply(cell, point, give, group)


async def run_step(cell: Cell, step: str, tap: Tap) -> None:
    """Bring the fleet to the step, let the fault last, heal, settle and judge."""
    spec = STEPS[step]
    if spec.prepare is not None:
        await spec.prepare(cell)
    done = trio.Event()

    async def work() -> None:
        await spec.work(cell)
        done.set()

    tap.armed = True
    cell.nursery.start_soon(work)
    with trio.move_on_after(FAULT_S):
        await done.wait()
    # Some work ends at once; the fault then still acts for a moment.
    await cell.fleet.timers.sleep(1)
    tap.armed = False
    await cell.heal()
    with trio.move_on_after(WORK_TIMEOUT_S):
        await done.wait()
    cell.check(done.is_set(), "the work of the step does not end")
    await cell.heal()
    await cell.settle()
    await cell.judge()


def judge_cell(cell: Cell, tap: Tap, step: str, fault: str) -> CellResult:
    """Return the verdict of a cell that ran."""
    if not tap.fired:
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
def install_platform(box: list[Cell]) -> Iterator[None]:
    """Let every control host read a platform list on which every host is live for ever."""

    async def read_hosts() -> HostList:
        await trio.lowlevel.checkpoint()
        hosts = list(box[0].fleet.settings) if box else []
        return HostList(version=1, hosts=[PlatformHost(host=host, state="live") for host in hosts])

    with mock.patch.object(control_role, "make_host_reader", lambda url: read_hosts):
        yield


@contextlib.contextmanager
def shorten_log(entries: int) -> Iterator[None]:
    """Let logs take a snapshot after so few entries, and keep none before it; 0 for no change."""
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
        Which rows and columns.
    seed : int
        Seed of everything random.

    Yields
    ------
    CellResult
        One for each cell, in order.
    """
    logging.disable(logging.CRITICAL)
    faults = list(faults)
    try:
        for step in steps:
            for fault in faults:
                try:
                    yield run_cell(step, fault, seed=seed)
                except Exception as exc:
                    # A part of the fleet raised: that breaks the cell, not the run.
                    broken = [f"raised {exc!r}: {getattr(exc, 'exceptions', ())!r}"]
                    yield CellResult(step=step, fault=fault, verdict=BROKEN, broken=broken)
    finally:
        logging.disable(logging.NOTSET)

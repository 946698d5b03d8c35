"""Let one call of a disk fail in a run of steps, then end the process or the power."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from marigoldtrail.errors import Failure, Reason, is_failure
from marigoldtrail.testing.faulty_files import FaultyDisk

# One failed call, and enough for the step that repairs it to fail too.
FAIL_COUNTS = (1, 4)

Step = Callable[..., Awaitable[Failure | None]]


class DiskRun(Protocol):
    """Steps of files on a disk, with checks of what the steps have acknowledged."""

    disk: FaultyDisk

    async def run(self) -> None:
        """Run all steps."""

    async def open(self) -> Failure | None:
        """Open the files as a process does, and check them."""


async def list_fault_indexes(run: DiskRun, kind: str, **options: Any) -> list[int]:
    """Return the calls of a run without faults that shall fail."""
    await run.run()
    return run.disk.files.list_indexes(kind, **options)


def set_fault(run: DiskRun, index: int, kind: str, fail_count: int) -> None:
    """Let some calls of a disk fail, from a call of the given index on."""
    files = run.disk.files
    files.fail_at, files.fail_kind, files.fail_count = index, kind, fail_count


async def repeat_step(
    step: Step,
    *arguments: Any,
    max_attempts: int,
    handle_failure: Callable[[Failure], Awaitable[None]],
) -> None:
    """
    Run a step again until it succeeds; the disk fails for a few calls only.

    Parameters
    ----------
    step : callable
        The step.
    *arguments
        Its arguments.
    max_attempts : int
        Attempts after which the step counts as failing for good.
    handle_failure : callable
        Called with each failure before the next attempt.

    Raises
    ------
    AssertionError
        If the step fails for another reason than the disk, or again and again.
    """
    result: Failure | None = None
    for _ in range(max_attempts):
        result = await step(*arguments)
        if result is None or not is_failure(result):
            return
        assert result.reason in (Reason.DISK_FULL, Reason.DISK_ERROR), result
        await handle_failure(result)
    raise AssertionError(f"{step} fails again and again: {result}")


async def check_power_losses(run: DiskRun) -> None:
    """End the fault, then lose the power twice; check what is left each time."""
    run.disk.files.fail_at = None
    for torn in (True, False):
        run.disk.crash(torn=torn)
        assert await run.open() is None


async def check_end_of_process(run: DiskRun, *, torn: bool, fail_count: int) -> None:
    """End the fault and the process, then lose the power; check what is left."""
    run.disk.files.fail_at = None
    if fail_count == 1:
        # A start makes durable what it finds, so that the power must also go without one.
        run.disk.kill()
        assert await run.open() is None
    run.disk.crash(torn=torn)
    assert await run.open() is None

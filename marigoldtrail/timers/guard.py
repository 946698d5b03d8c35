"""Runs tasks whose failure must not end the process."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple, Unpack

Args = TypeVarTuple("Args")

_log = logging.getLogger(__name__)


async def run_guarded(fn: Callable[[Unpack[Args]], Awaitable[None]], *args: *Args) -> None:
    """
    Run a function as a task of its own; an unexpected error is logged and ends only that task.

    Parameters
    ----------
    fn : callable
        Asynchronous function.
    *args
        Its arguments.
    """
    try:
        await fn(*args)
    except Exception:
        _log.exception("a task failed", extra={"subject": getattr(fn, "__qualname__", str(fn))})

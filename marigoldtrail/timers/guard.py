"""Run tasks whose failure must not end the process."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple, Unpack

Args = TypeVarTuple("Args")

_log = logging.getLogger(__name__)


async def run_guarded(fn: Callable[[Unpack[Args]], Awaitable[None]], *args: *Args) -> None:
    """
    Run an asynchronous function; log an unexpected exception instead of propagating it.

    Parameters
    ----------
    fn : callable
        Asynchronous function to run.
    *args
        Arguments of the function.
    """
    try:
        await fn(*args)
    except Exception:
        _log.exception(
            "task failed with an unexpected exception",
            extra={"subject": getattr(fn, "__qualname__", str(fn))},
        )

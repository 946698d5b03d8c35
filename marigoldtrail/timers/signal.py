"""Wakes tasks that wait for a change."""

from __future__ import annotations

import trio


class Signal:
    """Wakes all tasks that wait for a change."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake the waiting tasks."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        await self._event.wait()

    async def wait_for(self, seconds: float) -> None:
        """Wait for the next `notify`, at most some seconds."""
        with trio.move_on_after(seconds):
            await self._event.wait()

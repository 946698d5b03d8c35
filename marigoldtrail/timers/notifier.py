"""Broadcast notification of changes to waiting tasks."""

from __future__ import annotations

import trio


class Notifier:
    """Broadcast notification; each `notify` wakes all tasks that are waiting."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        await self._event.wait()

    async def wait_with_timeout(self, timeout_s: float) -> None:
        """Wait for the next `notify`, for at most the given number of seconds."""
        with trio.move_on_after(timeout_s):
            await self._event.wait()

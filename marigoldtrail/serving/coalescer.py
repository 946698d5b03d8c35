"""Joins tokens that come close together into one event."""

from __future__ import annotations

import trio

from marigoldtrail.serving.types import Sink
from marigoldtrail.timers import Timers

INTERVAL_S = 0.02
# A caller that reads slowly holds up its engine instead of filling this node's memory.
MAX_BUFFERED_CHARS = 65536


class Coalescer:
    """
    Passes tokens on to a sink, at most one event in 20 ms.

    A token that comes after a longer pause is passed on at once; a later one waits until the rest
    of the 20 ms is over. `run` must be running for that.

    Parameters
    ----------
    timers : Timers
        Clock.
    sink : Sink
        Receiver.
    """

    __slots__ = (
        "_timers",
        "_sink",
        "_first",
        "_parts",
        "_size",
        "_sent_at",
        "_sending",
        "_idle",
        "_wake",
    )

    def __init__(self, *, timers: Timers, sink: Sink) -> None:
        self._timers = timers
        self._sink = sink
        self._first = 0
        self._parts: list[str] = []
        self._size = 0
        self._sent_at = float("-inf")
        self._sending = False
        self._idle = trio.Event()
        self._wake = trio.Event()

    async def add(self, first: int, text: str) -> None:
        """
        Pass on consecutive tokens.

        Parameters
        ----------
        first : int
            Number of the first of them.
        text : str
            Their text.
        """
        if self._size >= MAX_BUFFERED_CHARS:
            await self._make_room()
        if not self._parts:
            self._first = first
        self._parts.append(text)
        self._size += len(text)
        if self._sending:
            return
        if self._timers.now() - self._sent_at >= INTERVAL_S:
            await self._send()
        else:
            self._wake.set()

    async def run(self) -> None:
        """Pass on what waits for the end of its 20 ms."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._parts:
                await self._timers.sleep_until(self._sent_at + INTERVAL_S)
                if self._sending:
                    await self._wait_idle()
                elif self._parts:
                    await self._send()

    async def finish(self) -> None:
        """Pass on everything that is left."""
        while self._sending or self._parts:
            if self._sending:
                await self._wait_idle()
            else:
                await self._send()

    async def _make_room(self) -> None:
        await self._wait_idle()
        if self._parts:
            await self._send()

    async def _send(self) -> None:
        text = "".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._sending = True
        self._idle = trio.Event()
        try:
            await self._sink.token(self._first, text)
        finally:
            self._sending = False
            self._sent_at = self._timers.now()
            self._idle.set()

    async def _wait_idle(self) -> None:
        while self._sending:
            await self._idle.wait()

"""Coalesces the tokens of a stream into at most one event per 20 ms."""

from __future__ import annotations

import trio

from marigoldtrail.serving.types import Sink
from marigoldtrail.timers import Timers

INTERVAL_S = 0.02
# Above this size `add` waits for the sink: a slow caller slows its engine down instead of filling
# this node's memory.
MAX_BUFFERED_CHARS = 65536


class Coalescer:
    """
    Forwards tokens to a sink, at most one event per 20 ms.

    A token that arrives 20 ms or more after the last event is forwarded immediately; others are
    buffered until the 20 ms have passed. `run` must be running to forward buffered tokens.

    Parameters
    ----------
    timers : Timers
        Clock.
    sink : Sink
        Receives the events.
    """

    __slots__ = (
        "_timers",
        "_sink",
        "_first",
        "_parts",
        "_size",
        "_sent_at",
        "_is_sending",
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
        self._is_sending = False
        self._idle = trio.Event()
        self._wake = trio.Event()

    async def add(self, first: int, text: str) -> None:
        """
        Forward consecutive tokens.

        Parameters
        ----------
        first : int
            Number of the first token.
        text : str
            Text of the tokens.
        """
        if self._size >= MAX_BUFFERED_CHARS:
            await self._flush_when_idle()
        if not self._parts:
            self._first = first
        self._parts.append(text)
        self._size += len(text)
        if self._is_sending:
            return
        if self._timers.now() - self._sent_at >= INTERVAL_S:
            await self._send()
        else:
            self._wake.set()

    async def run(self) -> None:
        """Forward buffered tokens when their 20 ms have passed."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._parts:
                await self._timers.sleep_until(self._sent_at + INTERVAL_S)
                if self._is_sending:
                    await self._wait_idle()
                elif self._parts:
                    await self._send()

    async def finish(self) -> None:
        """Forward all buffered tokens."""
        while self._is_sending or self._parts:
            if self._is_sending:
                await self._wait_idle()
            else:
                await self._send()

    async def _flush_when_idle(self) -> None:
        await self._wait_idle()
        if self._parts:
            await self._send()

    async def _send(self) -> None:
        text = "".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._is_sending = True
        self._idle = trio.Event()
        try:
            await self._sink.token(self._first, text)
        finally:
            self._is_sending = False
            self._sent_at = self._timers.now()
            self._idle.set()

    async def _wait_idle(self) -> None:
        while self._is_sending:
            await self._idle.wait()

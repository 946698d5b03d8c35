"""
Callers that reach an entry without the proxy, whatever the directory says.

What ends one of their connections is the process of the entry and nothing else.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import trio

from bench.soak.callers import CONNECT_TIMEOUT_S, REQUEST_WEIGHTS, Callers
from bench.soak.fleet import Fleet
from marigoldtrail.net import Address
from marigoldtrail.standins.client import HttpConnection

# Pause after a connection that was refused.
RETRY_S = 0.03
CLOSE_SHARE = 0.5


class DirectCallers:
    """
    Callers of one entry.

    Parameters
    ----------
    callers : Callers
        Sends and checks the requests.
    fleet : Fleet
        Processes of the hosts.
    rng : random.Random
        Draws kinds of requests and pauses.
    weights : mapping of str to int
        Weights of the kinds of request.
    is_judged : bool
        Whether a request without an answer is judged around planned work. That reads the kernel's
        table of connections for each request, which takes long with many callers.
    """

    __slots__ = ("_callers", "_fleet", "_rng", "_weights", "_is_judged")

    def __init__(
        self,
        *,
        callers: Callers,
        fleet: Fleet,
        rng: random.Random,
        weights: Mapping[str, int] = REQUEST_WEIGHTS,
        is_judged: bool = True,
    ) -> None:
        self._is_judged = is_judged
        self._weights = weights
        self._callers = callers
        self._fleet = fleet
        self._rng = rng

    async def call_once_each(self, entry: str, max_pause_s: float) -> None:
        """Open a connection for each request until cancelled."""
        while True:
            stream = await self._connect(entry)
            if stream is not None:
                closes = self._rng.random() < CLOSE_SHARE
                await self._use(stream, entry, [("connection", "close")] if closes else [])
                await trio.aclose_forcefully(stream)
            await trio.sleep(self._rng.uniform(0, max_pause_s))

    async def call_on_kept(self, entry: str, max_pause_s: float) -> None:
        """Use each connection until it ends, also while the entry is being stopped."""
        while True:
            stream = await self._connect(entry)
            if stream is None:
                continue
            conn = HttpConnection(stream=stream)
            is_reusable = True
            while is_reusable:
                is_reusable = await self._use(stream, entry, [], conn)
                await trio.sleep(self._rng.uniform(0, max_pause_s))
            await trio.aclose_forcefully(stream)

    async def _connect(self, entry: str) -> trio.SocketStream | None:
        address = self._fleet.bound_request_address(entry)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return await trio.open_tcp_stream(address.ip, address.port)
            except OSError:
                self._fleet.count_refused_connection(entry)
                await trio.sleep(RETRY_S)
        return None

    async def _use(
        self,
        stream: trio.SocketStream,
        entry: str,
        headers: list[tuple[str, str]],
        conn: HttpConnection | None = None,
    ) -> bool:
        kind = self._rng.choices(list(self._weights), list(self._weights.values()))[0]
        ip, port = stream.socket.getsockname()
        return await self._callers.send_request(
            conn or HttpConnection(stream=stream),
            entry,
            kind,
            headers=headers,
            direct_from=Address(ip, port) if self._is_judged else None,
        )


def start_direct_callers(
    nursery: trio.Nursery,
    callers: DirectCallers,
    entries: list[str],
    *,
    count: int,
    max_pause_s: float,
) -> None:
    """Start a number of callers of each sort for each entry."""
    for entry in entries:
        for _ in range(count):
            nursery.start_soon(callers.call_once_each, entry, max_pause_s)
            nursery.start_soon(callers.call_on_kept, entry, max_pause_s)

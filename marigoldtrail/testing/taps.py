"""Hooks around the messages and calls of a fleet in memory, set from the test side."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from marigoldtrail.net import Handlers
from marigoldtrail.node import node as node_module
from marigoldtrail.serving.server import Server
from marigoldtrail.standins.engine import Engine
from marigoldtrail.standins.services import EffectService, PoolService

Forward = Callable[[], Awaitable[Any]]
Act = Callable[["Point", Forward], Awaitable[Any]]

UPSTREAM_CLASSES = (EffectService, PoolService, Engine)


class Point(msgspec.Struct, kw_only=True, frozen=True):
    """
    A message or call at the moment at which it reaches its receiver.

    Parameters
    ----------
    kind : str
        ``"peer"`` between nodes, ``"upstream"`` to a stand-in, ``"caller"`` to an entry.
    name : str
        Type of the request, or path of the call.
    sender, receiver : str
        Hosts, or the name of the upstream; the sender of a call to an upstream is not known.
    request : object
        The request.
    """

    kind: str
    name: str
    sender: str
    receiver: str
    request: Any


class Tap:
    """
    Passes everything on, but for the one point at which an act takes over.

    Parameters
    ----------
    matches : callable
        Tells whether a `Point` is the one.
    act : callable
        Asynchronous function of the point and of the function that carries it out.

    Attributes
    ----------
    armed : bool
        Whether the act may start.
    fired : bool
        Whether it has started; it starts once.
    seen : Counter
        Points by kind and name, for the report of a step that was not reached.
    """

    __slots__ = ("matches", "act", "armed", "fired", "seen")

    def __init__(self, *, matches: Callable[[Point], bool], act: Act) -> None:
        self.matches = matches
        self.act = act
        self.armed = False
        self.fired = False
        self.seen: Counter[tuple[str, str]] = Counter()

    async def pass_on(self, point: Point, forward: Forward) -> Any:
        """Carry out a message or call, or let the act do it."""
        if not self.armed:
            return await forward()
        self.seen[point.kind, point.name] += 1
        if self.fired or not self.matches(point):
            return await forward()
        self.fired = True
        return await self.act(point, forward)


@contextlib.contextmanager
def install_tap(tap: Tap) -> Iterator[None]:
    """
    Let every message and call of nodes started from here on pass through a tap.

    Parameters
    ----------
    tap : Tap
        The tap.

    Yields
    ------
    None
        Until the hooks are removed.
    """
    with contextlib.ExitStack() as stack:
        collect = node_module.collect_handlers

        def collect_tapped(node: Any) -> Handlers:
            host = node.parts.cfg.host
            return {
                kind: tap_handler(tap, kind.__name__, host, handler)
                for kind, handler in collect(node).items()
            }

        stack.enter_context(mock.patch.object(node_module, "collect_handlers", collect_tapped))
        for standin in UPSTREAM_CLASSES:
            stack.enter_context(mock.patch.object(standin, "handle", tap_upstream(tap, standin)))
        stack.enter_context(mock.patch.object(Server, "run_request", tap_server(tap)))
        yield


def tap_handler(tap: Tap, name: str, host: str, handler: Any) -> Any:
    """Return the handler of a peer message that passes through the tap."""

    async def handle(request: Any, sender: str) -> Any:
        point = Point(kind="peer", name=name, sender=sender, receiver=host, request=request)
        return await tap.pass_on(point, lambda: handler(request, sender))

    return handle


def tap_upstream(tap: Tap, standin: Any) -> Any:
    """Return the `handle` of a stand-in that passes through the tap."""
    original = standin.handle

    async def handle(self: Any, request: Any, reply: Any) -> None:
        point = Point(
            kind="upstream",
            name=request.path,
            sender="",
            receiver=self.process.name,
            request=request,
        )
        await tap.pass_on(point, lambda: original(self, request, reply))

    return handle


def tap_server(tap: Tap) -> Any:
    """Return the `run_request` of an entry that passes through the tap."""
    original = Server.run_request

    async def run_request(self: Server, req: Any, sink: Any) -> Any:
        point = Point(
            kind="caller",
            name=req.pipeline,
            sender="",
            receiver=self._shared.cfg.host,
            request=req,
        )
        return await tap.pass_on(point, lambda: original(self, req, sink))

    return run_request

"""Intercepts the messages and calls of an in-memory fleet by patching its handlers."""

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
    A message or call at the time when it reaches its receiver.

    Parameters
    ----------
    kind : str
        ``"peer"`` between nodes, ``"upstream"`` to a stand-in, ``"caller"`` to an entry.
    name : str
        Type of the request, or path of the call.
    sender, receiver : str
        Hosts, or the name of the upstream; the sender of a call to an upstream is unknown.
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
    Forwards every message and call except the first that matches, which an action handles.

    Parameters
    ----------
    matches : callable
        Predicate that selects the `Point`.
    act : callable
        Asynchronous action; takes the point and the function that forwards it.

    Attributes
    ----------
    is_armed : bool
        Whether the action may run.
    has_fired : bool
        Whether the action has started; it runs at most once.
    seen : Counter
        Number of points by kind and name, to report a step that was not reached.
    """

    __slots__ = ("matches", "act", "is_armed", "has_fired", "seen")

    def __init__(self, *, matches: Callable[[Point], bool], act: Act) -> None:
        self.matches = matches
        self.act = act
        self.is_armed = False
        self.has_fired = False
        self.seen: Counter[tuple[str, str]] = Counter()

    async def dispatch(self, point: Point, forward: Forward) -> Any:
        """Forward a message or call, or run the action on it."""
        if not self.is_armed:
            return await forward()
        self.seen[point.kind, point.name] += 1
        if self.has_fired or not self.matches(point):
            return await forward()
        self.has_fired = True
        return await self.act(point, forward)


@contextlib.contextmanager
def install_tap(tap: Tap) -> Iterator[None]:
    """
    Route every message and call of nodes started from here on through a tap.

    Parameters
    ----------
    tap : Tap
        The tap.

    Yields
    ------
    None
        The patches are removed on exit.
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
    """Wrap the handler of a peer message so that it passes through the tap."""

    async def handle(request: Any, sender: str) -> Any:
        point = Point(kind="peer", name=name, sender=sender, receiver=host, request=request)
        return await tap.dispatch(point, lambda: handler(request, sender))

    return handle


def tap_upstream(tap: Tap, standin: Any) -> Any:
    """Wrap the `handle` of a stand-in so that it passes through the tap."""
    original = standin.handle

    async def handle(self: Any, request: Any, reply: Any) -> None:
        point = Point(
            kind="upstream",
            name=request.path,
            sender="",
            receiver=self.process.name,
            request=request,
        )
        await tap.dispatch(point, lambda: original(self, request, reply))

    return handle


def tap_server(tap: Tap) -> Any:
    """Wrap the `run_request` of an entry so that it passes through the tap."""
    original = Server.run_request

    async def run_request(self: Server, req: Any, sink: Any) -> Any:
        point = Point(
            kind="caller",
            name=req.pipeline,
            sender="",
            receiver=self._shared.cfg.host,
            request=req,
        )
        return await tap.dispatch(point, lambda: original(self, req, sink))

    return run_request

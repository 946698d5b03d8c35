"""Stand-ins for the upstream list of the platform and for upstreams that record their runs."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import msgspec
import trio

from bench.soak.endless_answers import REFUSAL, send_endless
from bench.soak.ledger import Ledger, Run, compute_seal
from bench.soak.limits import NamedLimit
from bench.soak.proxy import Proxy
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.platform.standin import (
    HEALTH_PATH,
    INTERNAL_PREFIX,
    NOT_RUN,
    PIECES_PATH,
    STATUS_MISSING_INPUTS,
    STATUS_OTHER_UPSTREAM,
    ReceivedPiece,
    ReceivedRequest,
    build_page,
    build_results,
    is_addressed_to,
    make_answer_headers,
    make_identity_headers,
    make_limit_headers,
    make_list_entry,
    read_pieces,
    read_received,
)
from marigoldtrail.standins.http import HttpRequest, ResponseWriter, serve_http

PORT = 8080
LIST_PORT = 8624
LIST_DELAY_S = 0.3
LEAVE_S = 1.5
STREAM_EVENTS = 6
EVENT_PAUSE_S = 0.03
# Streams that last long enough to meet a silence of their upstream: 1.8 s on average without one.
LONG_PREFIX = "/long_"
LONG_STREAM_EVENTS = 30
LONG_EVENT_PAUSE_S = 0.06
WORK_S = 0.02
LONG_WORK_S = 0.8
# Time from a crash by a request to the next start.
CRASH_DOWN_S = 1.0
LONG_WORK_SHARE = 0.05
MAX_PADDING_BYTES = 20_000
# Stage 1 reads the results of stage 0; the engine reads those of stage 1.
PIECES = (2, 1)
SERVICES = ("desk", "desk", "desk", "llm", "llm", "board", "board")
# The data centre of all upstreams but one, and the one that is taken out of service and back in.
DATA_CENTRE = "z"
OTHER_DATA_CENTRE = "y"
OTHER_UPSTREAM = "desk-2"


class Upstream:
    """An upstream, which has a new id after each start."""

    __slots__ = (
        "name",
        "service",
        "advertised",
        "real",
        "starts",
        "state",
        "scope",
        "handles",
        "limit",
        "endless",
    )

    def __init__(self, *, name: str, service: str, advertised: Address, real: Address) -> None:
        self.name = name
        self.service = service
        self.advertised = advertised
        self.real = real
        self.starts = 1
        self.state = "ready"
        self.scope = trio.CancelScope()
        # Request id, stage and piece index of each result.
        self.handles: dict[str, tuple[str, int, int]] = {}
        self.limit: NamedLimit | None = None
        # Kind of the endless answers that it sends; empty for sound answers.
        self.endless = ""

    @property
    def id(self) -> str:
        """Id of the current start on the list of the platform."""
        return f"{self.name}-{self.starts}"

    def limit_headers(self) -> dict[str, str]:
        """Return the headers that name its limit; none if it has no limit."""
        return make_limit_headers(f"{self.limit.requests_per_s:.2f}") if self.limit else {}


class Platform:
    """
    The list of upstreams and the upstreams themselves.

    Parameters
    ----------
    ledger : Ledger
        Records the runs.
    proxy : Proxy
        Proxy in front of each upstream.
    network : str
        First two octets of the loopback addresses to use, such as ``"127.20"``.
    nursery : trio.Nursery
        Runs the upstreams.
    rng : random.Random
        Draws the duration and size of work.

    Attributes
    ----------
    crashing_body : bytes
        Body of the orders that crash the upstream that runs them; empty for none.
    crashing_arrivals : list of float
        Monotonic times in seconds at which such orders reached upstreams.
    other_runs : int
        Requests that ran in the other data centre.
    """

    __slots__ = (
        "list_address",
        "upstreams",
        "crashing_body",
        "crashing_arrivals",
        "other_runs",
        "_ledger",
        "_nursery",
        "_rng",
        "_entries",
        "_proxy",
    )

    def __init__(
        self,
        *,
        ledger: Ledger,
        proxy: Proxy,
        network: str,
        nursery: trio.Nursery,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._proxy = proxy
        self._nursery = nursery
        self._rng = rng
        self.list_address = Address(f"{network}.5.1", LIST_PORT)
        self.upstreams = {
            f"{service}-{n}": Upstream(
                name=f"{service}-{n}",
                service=service,
                advertised=Address(f"{network}.3.{n + 1}", PORT),
                real=Address(f"{network}.4.{n + 1}", PORT),
            )
            for n, service in enumerate(SERVICES)
        }
        self.crashing_body = b""
        self.crashing_arrivals: list[float] = []
        self.other_runs = 0
        self._entries: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Serve the list and all upstreams."""
        await self._nursery.start(serve_http, TcpNetwork(), self.list_address, self._answer_list)
        for upstream in self.upstreams.values():
            await self._proxy.forward(upstream.advertised, upstream.real)
            await self._nursery.start(self._run, upstream)
        self._publish()

    async def _run(self, upstream: Upstream, *, task_status: trio.TaskStatus[Address]) -> None:
        with trio.CancelScope() as upstream.scope:
            await serve_http(
                TcpNetwork(),
                upstream.real,
                partial(self._answer, upstream),
                cancel_on_disconnect=True,
                task_status=task_status,
            )

    async def restart(self, upstream: Upstream, down_s: float) -> None:
        """Stop an upstream immediately and start it again under a new id."""
        upstream.scope.cancel()
        upstream.handles.clear()
        await trio.sleep(down_s)
        upstream.starts += 1
        upstream.state = "ready"
        await self._nursery.start(self._run, upstream)
        await trio.sleep(LIST_DELAY_S)
        self._publish()

    def _crash(self, upstream: Upstream) -> None:
        if upstream.state == "ready":
            upstream.state = "down"
            self._nursery.start_soon(self.restart, upstream, CRASH_DOWN_S)

    async def limit(self, upstream: Upstream, requests_per_s: float, seconds: float) -> None:
        """Let an upstream limit its requests for some seconds, unless it does so already."""
        if upstream.limit is None:
            upstream.limit = NamedLimit(requests_per_s=requests_per_s)
            await trio.sleep(seconds)
            upstream.limit = None

    def _check_limit(self, upstream: Upstream) -> None:
        """Count a request against the limit of an upstream, if it has one."""
        limit = upstream.limit
        if limit is None:
            return
        count = limit.record_request(trio.current_time())
        if count > limit.max_requests:
            self._ledger.report_violation(
                f"{upstream.id}: {count} requests at a limit of {limit.requests_per_s} a second"
            )

    async def leave(self, upstream: Upstream, down_s: float) -> None:
        """Announce that an upstream is leaving, then restart it."""
        upstream.state = "draining"
        self._publish()
        await trio.sleep(LEAVE_S)
        await self.restart(upstream, down_s)

    def _publish(self) -> None:
        self._entries = [
            make_list_entry(
                item.id,
                item.service,
                str(item.advertised),
                OTHER_DATA_CENTRE if item.name == OTHER_UPSTREAM else DATA_CENTRE,
                state=item.state,
            )
            for item in self.upstreams.values()
        ]

    async def _answer_list(self, request: HttpRequest, reply: ResponseWriter) -> None:
        await reply.send_json(200, build_page(self._entries), {})

    async def _answer(
        self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        identity = make_identity_headers(upstream.id)
        if not is_addressed_to(request.headers, upstream.id):
            await reply.send_json(STATUS_OTHER_UPSTREAM, {}, {**identity, **NOT_RUN})
        elif request.path == HEALTH_PATH:
            await reply.send_json(200, {}, identity)
        else:
            self._check_limit(upstream)
            if upstream.endless:
                await self._send_endless(upstream, request, reply)
                return
            await self._serve(upstream, request, reply)

    async def _send_endless(
        self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        received = read_received(request.headers)
        request_id = received.request_id
        headers = make_answer_headers(request_id, compute_seal(request_id, b""))
        if upstream.endless == REFUSAL:
            headers.update(NOT_RUN)
        elif not request.path.startswith(INTERNAL_PREFIX):
            self._record_run(upstream, request, received)
        await send_endless(upstream.endless, reply.stream, headers)

    async def _serve(self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter) -> None:
        if request.path == PIECES_PATH:
            await self._run_pieces(upstream, request, reply)
        elif request.path.startswith(INTERNAL_PREFIX):
            await reply.send_json(200, {}, upstream.limit_headers())
        elif upstream.service == "llm":
            await self._generate(upstream, request, reply)
        else:
            await self._work(upstream, request, reply)

    async def _pause(self) -> None:
        is_long = self._rng.random() < LONG_WORK_SHARE
        await trio.sleep(self._rng.uniform(0, LONG_WORK_S if is_long else WORK_S))

    def _record_run(
        self, upstream: Upstream, request: HttpRequest, received: ReceivedRequest
    ) -> None:
        self._ledger.touched[received.request_id].add(upstream.name)
        run = Run(
            request_id=received.request_id,
            path=request.path,
            account=received.account,
            body=request.body,
        )
        self._ledger.record_run(run, request.headers)

    async def _work(self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter) -> None:
        received = read_received(request.headers)
        request_id = received.request_id
        self._record_run(upstream, request, received)
        self.other_runs += upstream.name == OTHER_UPSTREAM
        if self.crashing_body and request.body == self.crashing_body:
            self.crashing_arrivals.append(trio.current_time())
            self._crash(upstream)
            await trio.sleep_forever()
        await self._pause()
        padding = "x" * self._rng.randrange(MAX_PADDING_BYTES)
        body = msgspec.json.encode({"id": request_id, "by": upstream.id, "padding": padding})
        headers = make_answer_headers(request_id, compute_seal(request_id, body))
        headers.update(upstream.limit_headers())
        await reply.send_bytes(200, body, headers, "application/json")

    async def _generate(
        self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        received = read_received(request.headers)
        request_id = received.request_id
        found = [self._find_result(handle) for handle in received.inputs]
        if None in found:
            headers = {**NOT_RUN, **upstream.limit_headers()}
            await reply.send_json(STATUS_MISSING_INPUTS, {}, headers)
            return
        if found != [(request_id, 1, piece) for piece in range(PIECES[1])]:
            self._ledger.report_violation(f"{request_id}: the engine received the results {found}")
        self._record_run(upstream, request, received)
        first = int(received.resume_after) + 1 if received.resume_after else 0
        await self._pause()
        headers = {**make_answer_headers(request_id, request_id), **upstream.limit_headers()}
        await reply.start_stream(headers)
        pause_s = LONG_EVENT_PAUSE_S if is_long(request.path) else EVENT_PAUSE_S
        for number in range(first, count_events(request.path)):
            await reply.send_event(f"{request_id}\nid: {number}".encode())
            await trio.sleep(self._rng.uniform(0, 2 * pause_s))
        await reply.end_stream()

    def _find_result(self, handle: str) -> tuple[str, int, int] | None:
        for upstream in self.upstreams.values():
            if handle in upstream.handles:
                return upstream.handles[handle]
        return None

    async def _run_pieces(
        self, upstream: Upstream, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        pieces = read_pieces(request.body)
        await trio.sleep(WORK_S)
        results = [self._make_result(upstream, piece) for piece in pieces]
        await reply.send_json(200, build_results(results), upstream.limit_headers())

    def _make_result(self, upstream: Upstream, piece: ReceivedPiece) -> str | None:
        """Check a piece and return the handle of its result; None if an input is missing."""
        inputs = [self._find_result(handle) for handle in piece.inputs]
        if None in inputs:
            return None
        request_id, stage, index = piece.request_id, piece.stage, piece.index
        self._ledger.touched[request_id].add(upstream.name)
        expected = [(request_id, 0, n) for n in range(PIECES[0])] if stage else []
        if inputs != expected or index >= PIECES[stage] or (not stage and piece.key is None):
            self._ledger.report_violation(
                f"{request_id}: stage {stage} received an invalid piece {piece}"
            )
        if request_id not in self._ledger.attempts:
            self._ledger.report_violation(f"{request_id}: has pieces, but no caller sent it")
        handle = f"{upstream.advertised}/{request_id}-{stage}-{index}-{len(upstream.handles)}"
        upstream.handles[handle] = (request_id, stage, index)
        return handle


def is_long(path: str) -> bool:
    """Tell whether the stream of a path is a long one."""
    return path.startswith(LONG_PREFIX)


def count_events(path: str) -> int:
    """Return the number of events of the stream of a path."""
    return LONG_STREAM_EVENTS if is_long(path) else STREAM_EVENTS

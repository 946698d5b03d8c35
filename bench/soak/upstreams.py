"""Stand-ins of the platform's list and of upstreams, which record what they run."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import msgspec
import trio

from bench.soak.ledger import Ledger, Run, seal_of
from bench.soak.proxy import Proxy
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.standins.http import HttpReply, HttpRequest, serve_http

PORT = 8080
LIST_PORT = 8624
LIST_LAG_S = 0.3
LEAVE_S = 1.5
STREAM_EVENTS = 6
EVENT_PAUSE_S = 0.03
WORK_S = 0.02
LONG_WORK_S = 0.8
LONG_WORK_SHARE = 0.05
MOST_PADDING = 20_000
# Stage 1 reads the results of stage 0; the engine reads those of stage 1.
PIECES = (2, 1)
SERVICES = ("desk", "desk", "desk", "llm", "llm", "board", "board")
_NOT_RUN = {"x-not-executed": "1"}


class Upstream:
    """One upstream, which gets a new id with each start."""

    __slots__ = ("name", "service", "advertised", "real", "starts", "state", "scope", "handles")

    def __init__(self, *, name: str, service: str, advertised: Address, real: Address) -> None:
        self.name = name
        self.service = service
        self.advertised = advertised
        self.real = real
        self.starts = 1
        self.state = "ready"
        self.scope = trio.CancelScope()
        # Request, stage and piece of each result.
        self.handles: dict[str, tuple[str, int, int]] = {}

    @property
    def id(self) -> str:
        """Name of this start on the platform's list."""
        return f"{self.name}-{self.starts}"


class Platform:
    """
    The list of upstreams and the upstreams themselves.

    Parameters
    ----------
    ledger : Ledger
        Records what runs.
    proxy : Proxy
        Stands before each upstream.
    network : str
        First two octets of the loopback addresses to use, such as ``"127.20"``.
    nursery : trio.Nursery
        Runs the upstreams.
    rng : random.Random
        Draws the work of requests.
    """

    __slots__ = ("list_address", "upstreams", "_ledger", "_nursery", "_rng", "_entries", "_proxy")

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
        """End an upstream at once and start it again under a new id."""
        upstream.scope.cancel()
        upstream.handles.clear()
        await trio.sleep(down_s)
        upstream.starts += 1
        upstream.state = "ready"
        await self._nursery.start(self._run, upstream)
        await trio.sleep(LIST_LAG_S)
        self._publish()

    async def leave(self, upstream: Upstream, down_s: float) -> None:
        """Announce that an upstream leaves, then restart it."""
        upstream.state = "draining"
        self._publish()
        await trio.sleep(LEAVE_S)
        await self.restart(upstream, down_s)

    def _publish(self) -> None:
        self._entries = [
            {
                "id": upstream.id,
                "service": upstream.service,
                "address": str(upstream.advertised),
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": upstream.state,
                "cold_remaining_ms": 0,
            }
            for upstream in self.upstreams.values()
        ]

    async def _answer_list(self, request: HttpRequest, reply: HttpReply) -> None:
        await reply.send_json(200, {"instances": self._entries, "next": None}, {})

    async def _answer(self, upstream: Upstream, request: HttpRequest, reply: HttpReply) -> None:
        instance = {"x-instance-id": upstream.id}
        if request.headers.get("x-expect-instance", upstream.id) != upstream.id:
            await reply.send_json(421, {}, {**instance, **_NOT_RUN})
        elif request.path == "/health":
            await reply.send_json(200, {}, instance)
        elif request.path == "/-/stage-run":
            await self._run_pieces(upstream, request, reply)
        elif request.path.startswith("/-/"):
            await reply.send_json(200, {}, {})
        elif upstream.service == "llm":
            await self._generate(upstream, request, reply)
        else:
            await self._work(upstream, request, reply)

    async def _pause(self) -> None:
        is_long = self._rng.random() < LONG_WORK_SHARE
        await trio.sleep(self._rng.uniform(0, LONG_WORK_S if is_long else WORK_S))

    def _note_run(self, upstream: Upstream, request: HttpRequest, first_event: int = 0) -> str:
        request_id = request.headers.get("x-request-id", "")
        run = Run(
            request_id=request_id,
            upstream=upstream.id,
            path=request.path,
            account=request.headers.get("x-tenant", ""),
            body=request.body,
            first_event=first_event,
        )
        self._ledger.note_run(run, request.headers)
        return request_id

    async def _work(self, upstream: Upstream, request: HttpRequest, reply: HttpReply) -> None:
        request_id = self._note_run(upstream, request)
        await self._pause()
        padding = "x" * self._rng.randrange(MOST_PADDING)
        body = msgspec.json.encode({"id": request_id, "by": upstream.id, "padding": padding})
        headers = {"x-request-id": request_id, "x-response-seal": seal_of(request_id, body)}
        await reply.send_bytes(200, body, headers, "application/json")

    async def _generate(self, upstream: Upstream, request: HttpRequest, reply: HttpReply) -> None:
        request_id = request.headers.get("x-request-id", "")
        handles = [h for h in request.headers.get("x-inputs", "").split(",") if h]
        found = [self._find_result(handle) for handle in handles]
        if None in found:
            await reply.send_json(409, {}, _NOT_RUN)
            return
        if found != [(request_id, 1, piece) for piece in range(PIECES[1])]:
            self._ledger.fail(f"{request_id}: the engine is given the results {found}")
        last = request.headers.get("last-event-id", "")
        first = int(last) + 1 if last else 0
        self._note_run(upstream, request, first)
        await self._pause()
        await reply.start_stream({"x-request-id": request_id, "x-response-seal": request_id})
        for number in range(first, STREAM_EVENTS):
            await reply.send_event(f"{request_id}\nid: {number}".encode())
            await trio.sleep(self._rng.uniform(0, 2 * EVENT_PAUSE_S))
        await reply.end_stream()

    def _find_result(self, handle: str) -> tuple[str, int, int] | None:
        for upstream in self.upstreams.values():
            if handle in upstream.handles:
                return upstream.handles[handle]
        return None

    async def _run_pieces(self, upstream: Upstream, request: HttpRequest, reply: HttpReply) -> None:
        items = msgspec.json.decode(request.body)["items"]
        await trio.sleep(WORK_S)
        results = []
        for item in items:
            request_id, stage, piece = item["id"], item["stage"], item["piece"]
            inputs = [self._find_result(handle) for handle in item.get("inputs", ())]
            if None in inputs:
                results.append({"reason": "gone"})
                continue
            expected = [(request_id, 0, n) for n in range(PIECES[0])] if stage else []
            if inputs != expected or piece >= PIECES[stage] or (not stage and "key" not in item):
                self._ledger.fail(f"{request_id}: stage {stage} is given {item}")
            if request_id not in self._ledger.attempts:
                self._ledger.fail(f"{request_id}: has pieces, but no caller has sent it")
            handle = f"{upstream.advertised}/{request_id}-{stage}-{piece}-{len(upstream.handles)}"
            upstream.handles[handle] = (request_id, stage, piece)
            results.append({"handle": handle})
        await reply.send_json(200, {"items": results}, {})

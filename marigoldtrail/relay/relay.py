"""Serves the connections of callers: each request goes through its stages to an upstream."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.pieces.client import PieceClient, StageWork
from marigoldtrail.policy.placement import (
    PREFILL_TOKENS_PER_S,
    EngineOption,
    Option,
    choose_engine,
    choose_service_upstream,
    find_home,
)
from marigoldtrail.policy.window_budget import WindowBudget
from marigoldtrail.registry import FleetPicture
from marigoldtrail.relay.attempt import Sender, StreamPassedOn, WholeAnswer
from marigoldtrail.relay.board import UpstreamBoard
from marigoldtrail.relay.caller import CallerConnection, CallerRequest, Closed, Refusal
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.types import Dialect, RequestFacts
from marigoldtrail.routing import Limits, RouteKind, Upstream
from marigoldtrail.routing.table import choose_target
from marigoldtrail.schema.generated.pieces import PromptPart, RunStages, StageRequest
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.telemetry.exposition import Exposition
from marigoldtrail.timers import Timers

# A picture that is older says little about routes and keys that it does not have.
CURRENT_S = 1.5
DEFAULT_DEADLINE_S = 30.0
# The answer must still reach the caller.
ANSWER_MARGIN_S = 0.01
# A repeated run needs at least this much time to be of use.
LEAST_RETRY_S = 0.02
RETRY_AFTER_S = 0.5
WORK_S = 0.03
FIRST_EVENT_S = 0.06
PLACEMENT_TIMEOUT_S = 0.3
# How many times longer than usual a repeatable request may take before another one is asked.
PATIENCE = 5.0
LEAST_PATIENCE_S = 0.1
MAX_STAGE_RUNS = 2
TRIM_INTERVAL_S = 2.0

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode


class Relay:
    """
    Passes the requests of callers on to upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centre : str
        Where it is.
    picture : FleetPicture
        Configuration and upstreams.
    board : UpstreamBoard
        Work in progress at the upstreams.
    pool : ConnectionPool
        Connections to the upstreams.
    pieces : PieceClient
        Runs the stages.
    dialect : Dialect
        Reads and writes heads.
    bounds : Bounds
        Limits for the whole fleet.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties between upstreams.
    metrics : Exposition
        Counts requests.
    """

    __slots__ = (
        "_host",
        "_data_centre",
        "_picture",
        "_board",
        "_pool",
        "_pieces",
        "_dialect",
        "_bounds",
        "_timers",
        "_rng",
        "_metrics",
        "_sender",
        "_budgets",
        "_idle",
        "_draining",
        "connections",
        "requests",
    )

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        picture: FleetPicture,
        board: UpstreamBoard,
        pool: ConnectionPool,
        pieces: PieceClient,
        dialect: Dialect,
        bounds: Bounds,
        timers: Timers,
        rng: random.Random,
        metrics: Exposition,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._picture = picture
        self._board = board
        self._pool = pool
        self._pieces = pieces
        self._dialect = dialect
        self._bounds = bounds
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._sender = Sender(
            pool=pool,
            board=board,
            dialect=dialect,
            timers=timers,
            on_first_event=self._note_first_event,
            may_leave=self._may_leave,
        )
        self._budgets: dict[str, WindowBudget] = {}
        self._idle: set[trio.CancelScope] = set()
        self._draining = False
        self.connections = 0
        self.requests = 0

    def limits(self) -> Limits:
        """Return the limits of callers in force."""
        routes = self._picture.routes
        return routes.table.limits if routes is not None else Limits()

    async def run(self) -> None:
        """Keep connections and knowledge in step with the list of upstreams, until cancelled."""
        async for _ in self._timers.subscribe("trim", TRIM_INTERVAL_S):
            names = set(self._picture.upstreams)
            if self._picture.age_s() < CURRENT_S:
                await self._pool.drop_except(names)
                self._board.forget_except(names)
            await self._pool.drop_expired()

    def start_draining(self) -> None:
        """Close connections after their next answer."""
        self._draining = True

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self._idle):
            scope.cancel()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """
        Serve one connection of a caller until it ends.

        Parameters
        ----------
        stream : trio.abc.Stream
            The accepted stream.
        """
        conn = CallerConnection(stream=stream, limits=self.limits)
        self.connections += 1
        at_once = True
        try:
            while await self._serve_next(conn):
                pass
            at_once = False
        except* STREAM_ERRORS as group:
            _log.debug("connection of a caller broke: %s", group.exceptions[0])
        except* Exception as group:
            # One request must not end the process and with it all others.
            _log.error("a request failed", exc_info=group)
        finally:
            self.connections -= 1
            await conn.aclose(at_once=at_once)

    async def _serve_next(self, conn: CallerConnection) -> bool:
        request: CallerRequest | Refusal | Closed = Closed.CLOSED
        with trio.CancelScope() as scope:
            self._idle.add(scope)
            try:
                request = await conn.read_request()
            finally:
                self._idle.discard(scope)
        if isinstance(request, Closed):
            return False
        if isinstance(request, Refusal):
            await self._send_error(conn, request.status, request.detail, closes=True)
            return False
        self.requests += 1
        try:
            is_whole = await self._serve_request(conn, request)
        finally:
            self.requests -= 1
        return is_whole and not self._draining and conn.prepare_next()

    async def _serve_request(self, conn: CallerConnection, request: CallerRequest) -> bool:
        """Answer a request; False if the connection must be closed."""
        started = self._timers.now()
        facts = self._dialect.read_request(request.headers)
        routed = self._route(conn, request, facts, started)
        if isinstance(routed, Refusal):
            _log.info(
                "request refused",
                extra={
                    "request_id": facts.request_id,
                    "status": routed.status,
                    "reason": routed.detail,
                    "picture_age_ms": round(min(self._picture.age_s(), 1e6) * 1000),
                },
            )
            await self._send_error(conn, routed.status, routed.detail)
            return True
        result: WholeAnswer | StreamPassedOn | Failure | None = None
        has_left = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal has_left
                await conn.wait_closed()
                has_left = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            with routed.scope:
                result = await self._run(routed)
            nursery.cancel_scope.cancel()
        if routed.work is not None:
            self._pieces.note_end(routed.work)
        if result is None and not has_left:
            result = deadline_failure(routed)
        self._note_end(routed, result, has_left=has_left)
        if result is None:
            conn.is_broken = True
            return False
        return await self._answer(routed, result)

    def _route(
        self, conn: CallerConnection, request: CallerRequest, facts: RequestFacts, started: float
    ) -> Exchange | Refusal:
        index = self._picture.routes
        if index is None:
            return Refusal(status=503, detail="no configuration is known yet")
        if not facts.request_id:
            return Refusal(status=400, detail="the request has no id")
        route = index.find_route(request.header(b"host"), request.path)
        if route is None:
            return self._deny(404, "no route matches")
        account = index.account_of(facts.key) if facts.key else None
        if index.needs_keys and account is None and not route.is_public:
            return self._deny(401, "the key is not known")
        left_s = facts.deadline_s if facts.deadline_s is not None else DEFAULT_DEADLINE_S
        service = index.services[choose_target(route, facts.request_id)]
        return Exchange(
            conn=conn,
            request=request,
            facts=facts,
            route=route,
            service=service,
            account=account,
            hides_key=index.needs_keys,
            started=started,
            deadline=started + min(left_s - ANSWER_MARGIN_S, route.timeout_s),
        )

    def _deny(self, status: int, detail: str) -> Refusal:
        # A host that may have missed a change can't tell that a route or key does not exist.
        if self._picture.age_s() > CURRENT_S:
            return Refusal(status=503, detail=f"{detail}, as far as this host knows")
        return Refusal(status=status, detail=detail)

    async def _run(self, exchange: Exchange) -> WholeAnswer | StreamPassedOn | Failure:
        self._budget(exchange.service.name).add_request(self._timers.now())
        for _ in range(MAX_STAGE_RUNS):
            failure = await self._run_stages(exchange)
            if failure is not None:
                return failure
            result = await self._try_upstreams(exchange)
            if not isinstance(result, Failure) or result.reason is not Reason.NOT_FOUND:
                return result
            if exchange.work is not None:
                self._pieces.note_end(exchange.work)
        return result

    async def _run_stages(self, exchange: Exchange) -> Failure | None:
        """Have the stages done and an engine chosen by the fleet's scheduler."""
        has_pieces = bool(exchange.route.stages) and any(exchange.facts.piece_counts)
        if not has_pieces and exchange.service.engine is None:
            return None
        exchange.work = StageWork(
            request=self._stage_request(exchange),
            deadline=exchange.begin_by - self._reading_s(exchange),
            due_at=exchange.started + exchange.route.target_latency_s - self._reading_s(exchange),
        )
        if has_pieces:
            failure = await self._pieces.run(exchange.work)
            exchange.stages_done_at = self._timers.now()
            return failure
        # Without the scheduler this entry chooses by itself.
        with trio.move_on_after(PLACEMENT_TIMEOUT_S):
            await self._pieces.run(exchange.work)
        return None

    def _stage_request(self, exchange: Exchange) -> RunStages:
        facts = exchange.facts
        stages = exchange.route.stages
        counts = [*facts.piece_counts, *([0] * len(stages))]
        return RunStages(
            request_id=facts.request_id,
            stages=[
                StageRequest(
                    service=stage.service,
                    count=count,
                    after=list(stage.after),
                    result_bytes=stage.result_bytes,
                )
                for stage, count in zip(stages, counts, strict=False)
            ],
            key=facts.piece_key,
            left_ms=0,
            priority=exchange.priority,
            wait_share=exchange.wait_share,
            yield_ms=round(exchange.yield_s * 1000),
            engine_service=exchange.service.name if exchange.service.engine is not None else "",
            prompt=[PromptPart(part=part, tokens=tokens) for part, tokens in facts.prefix],
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            excluded=sorted(exchange.tried),
            suspects=sorted(self._board.ejected()),
            data_centre=self._data_centre,
            keeps_results=exchange.may_run_again(),
        )

    def _reading_s(self, exchange: Exchange) -> float:
        """Return the seconds from the last stage to the first event, as far as can be said."""
        return FIRST_EVENT_S + exchange.facts.prompt_tokens / PREFILL_TOKENS_PER_S

    async def _try_upstreams(self, exchange: Exchange) -> WholeAnswer | StreamPassedOn | Failure:
        spare: WholeAnswer | None = None
        failure = self._no_upstream(exchange)
        while True:
            upstream = self._choose(exchange)
            if upstream is None:
                break
            if exchange.sends > 0 and not (
                exchange.has_grant or self._may_send_again(exchange.service.name)
            ):
                break
            exchange.has_grant = False
            self._board.note_sent(upstream, exchange.service)
            result = await self._send(exchange, upstream)
            self._metrics.count_send(
                result.reason.value if isinstance(result, Failure) else "answered"
            )
            if isinstance(result, StreamPassedOn):
                return result
            if isinstance(result, WholeAnswer):
                if not result.is_error or not exchange.may_run_again():
                    return result
                spare = result
            else:
                failure = result
                self._note_failed_send(exchange, upstream, failure)
                if result.reason is Reason.NOT_FOUND:
                    return result
            exchange.tried.add(upstream.name)
            if exchange.may_have_run and not exchange.may_run_again():
                break
            if exchange.deadline - self._timers.now() < LEAST_RETRY_S:
                break
        if spare is not None:
            return spare
        if exchange.may_have_run and failure.run_state is RunState.NOT_RUN:
            failure = msgspec.structs.replace(failure, run_state=RunState.MAY_HAVE_RUN)
        return failure

    def _note_failed_send(self, exchange: Exchange, upstream: Upstream, failure: Failure) -> None:
        _log.info(
            "send failed",
            extra={
                "request_id": exchange.facts.request_id,
                "subject": upstream.name,
                "address": upstream.address,
                "failure": str(failure),
                "sends": exchange.sends,
                "runs": exchange.runs,
                "max_attempts": exchange.route.max_attempts,
                "idempotent": exchange.route.is_idempotent,
                "last_event": exchange.cutter.last_id,
                "left_ms": round((exchange.deadline - self._timers.now()) * 1000),
                "picture_age_ms": round(self._picture.age_s() * 1000),
            },
        )

    async def _send(
        self, exchange: Exchange, upstream: Upstream
    ) -> WholeAnswer | StreamPassedOn | Failure:
        prefill = 0
        if exchange.service.engine is not None:
            _, shared = exchange.shared_prefix()
            prefill = max(0, exchange.facts.prompt_tokens - shared)
        with trio.move_on_after(self._patience(exchange, upstream)):
            return await self._sender.send(exchange, upstream, prefill_tokens=prefill)
        self._board.fail(upstream.name, is_dead=True)
        return Failure(
            reason=Reason.TIMEOUT,
            run_state=RunState.MAY_HAVE_RUN,
            step="upstream",
            peer=upstream.name,
            detail="no answer in the usual time",
        )

    def _patience(self, exchange: Exchange, upstream: Upstream) -> float:
        """Return the seconds after which another upstream is asked instead."""
        route = exchange.route
        if route.kind is not RouteKind.SAFE or exchange.runs + 1 >= route.max_attempts:
            return float("inf")
        usual_s = self._board.record(upstream.name).duration_s or WORK_S
        return max(LEAST_PATIENCE_S, PATIENCE * usual_s)

    def _choose(self, exchange: Exchange) -> Upstream | None:
        upstreams = self._picture.usable_upstreams(exchange.service.name)
        untried = [u for u in upstreams if u.name not in exchange.tried]
        options = self._board.options(untried, exchange.service)
        if exchange.service.engine is None:
            name = choose_service_upstream(options, work_s=WORK_S, rng=self._rng)
        elif exchange.work is not None and exchange.work.upstream in {o.name for o in options}:
            name = exchange.work.upstream
        else:
            name = self._choose_engine(exchange, options)
        return self._picture.upstreams.get(name) if name is not None else None

    def _choose_engine(self, exchange: Exchange, options: list[Option]) -> str | None:
        """Choose an engine without the scheduler: all entries prefer the same one for a prompt."""
        prefix_key, shared = exchange.shared_prefix()
        home = find_home(prefix_key, [option.name for option in options]) if prefix_key else None
        engines = [
            EngineOption(
                name=option.name,
                slots=option.slots,
                requests=option.requests,
                unread_tokens=option.prefill_tokens,
                cached_tokens=shared if option.name == home else 0,
                failure_rate=option.failure_rate,
                slowness=option.slowness,
            )
            for option in options
        ]
        return choose_engine(engines, prompt_tokens=exchange.facts.prompt_tokens, rng=self._rng)

    def _may_send_again(self, service: str) -> bool:
        return self._budget(service).take(self._timers.now(), entries=self._picture.entry_count())

    def _may_leave(self, exchange: Exchange) -> bool:
        """Tell whether a silent stream may go on elsewhere; the repeated send is then granted."""
        upstreams = self._picture.usable_upstreams(exchange.service.name)
        others = [u for u in upstreams if u.name not in exchange.tried | {exchange.last_upstream}]
        exchange.has_grant = bool(others) and self._may_send_again(exchange.service.name)
        return exchange.has_grant

    def _budget(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowBudget(
                ratio=self._bounds.retry_budget_ratio,
                slack=self._bounds.retry_budget_slack,
                window_s=self._bounds.budget_window_s,
            )
        return budget

    def _note_first_event(self, exchange: Exchange) -> None:
        # The engine has read its inputs once it generates; a resumed stream needs them again.
        if exchange.work is not None:
            self._pieces.note_begin(exchange.work, frees_results=not exchange.may_run_again())

    def _no_upstream(self, exchange: Exchange) -> Failure:
        return Failure(
            reason=Reason.NO_UPSTREAM,
            run_state=RunState.NOT_RUN,
            step="upstream.choose",
            peer=exchange.service.name,
            detail="no upstream of the service is in service",
        )

    async def _answer(
        self, exchange: Exchange, result: WholeAnswer | StreamPassedOn | Failure
    ) -> bool:
        conn = exchange.conn
        if isinstance(result, StreamPassedOn):
            return True
        if conn.has_started:
            # The caller must see that the stream is not complete.
            conn.is_broken = True
            return False
        if isinstance(result, WholeAnswer):
            headers = [*result.headers, *self._closing()]
            await conn.send_answer(result.status, headers, result.body)
            return True
        status = 503 if result.run_state is RunState.NOT_RUN else 502
        if status == 502 and result.reason is Reason.DEADLINE:
            status = 504
        await self._send_error(conn, status, str(result), retry_after_s=result.retry_after_s)
        return True

    async def _send_error(
        self,
        conn: CallerConnection,
        status: int,
        detail: str,
        *,
        closes: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        headers = [(b"content-type", b"application/json"), *self._closing(closes)]
        if status in (429, 503):
            pause_s = retry_after_s or RETRY_AFTER_S * self._rng.uniform(0.5, 1.5)
            headers.append((b"retry-after", f"{pause_s:.2f}".encode()))
        await conn.send_answer(status, headers, _encode({"error": detail, "host": self._host}))

    def _closing(self, closes: bool = False) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if closes or self._draining else []

    def _note_end(
        self,
        exchange: Exchange,
        result: WholeAnswer | StreamPassedOn | Failure | None,
        *,
        has_left: bool,
    ) -> None:
        now = self._timers.now()
        outcome = "served"
        if has_left:
            outcome = "caller left"
        elif isinstance(result, Failure):
            outcome = str(result)
        elif isinstance(result, WholeAnswer):
            outcome = f"status {result.status}"
        self._count_end(exchange, result, has_left=has_left)
        first_s = exchange.first_event_at
        stages_s = exchange.stages_done_at
        _log.info(
            "request ended",
            extra={
                "request_id": exchange.facts.request_id,
                "route": exchange.route.name,
                "account": exchange.account_name,
                "rank": exchange.priority,
                "outcome": outcome,
                "upstream": exchange.last_upstream,
                "sends": exchange.sends,
                "stages_ms": (
                    None if stages_s is None else round((stages_s - exchange.started) * 1e3)
                ),
                "first_ms": None if first_s is None else round((first_s - exchange.started) * 1e3),
                "events": exchange.cutter.count,
                "took_ms": round((now - exchange.started) * 1000),
                "left_ms": round((exchange.deadline - now) * 1000),
                "version": self._picture.version(),
            },
        )

    def _count_end(
        self,
        exchange: Exchange,
        result: WholeAnswer | StreamPassedOn | Failure | None,
        *,
        has_left: bool,
    ) -> None:
        reason = "served"
        if has_left:
            reason = "caller_left"
        elif isinstance(result, Failure):
            reason = result.reason.value
        elif isinstance(result, WholeAnswer) and result.is_error:
            reason = "upstream_status"
        latency_s = None
        if exchange.first_event_at is not None:
            latency_s = exchange.first_event_at - exchange.started
        elif isinstance(result, WholeAnswer):
            latency_s = self._timers.now() - exchange.started
        self._metrics.count_request(exchange.route.name, reason, latency_s)


def deadline_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request whose time is up."""
    state = RunState.MAY_HAVE_RUN if exchange.may_have_run else RunState.NOT_RUN
    return Failure(
        reason=Reason.DEADLINE,
        run_state=state,
        step="relay",
        peer=exchange.last_upstream,
        detail="the time of the request is up",
    )

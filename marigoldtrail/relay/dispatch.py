"""Has the stages of a request done, chooses its upstream and sends it there."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
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
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.types import Dialect
from marigoldtrail.routing import RouteKind, Upstream
from marigoldtrail.schema.generated.pieces import PromptPart, RunStages, StageRequest
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.telemetry.exposition import Exposition
from marigoldtrail.timers import Timers

# A repeated run needs at least this much time to be of use.
LEAST_RETRY_S = 0.02
# Usual time of a plain request before any was answered.
WORK_S = 0.03
# From the choice of an engine to the first event, without any prompt.
FIRST_EVENT_S = 0.06
PLACEMENT_TIMEOUT_S = 0.3
# How many times longer than usual a repeatable request may take before another one is asked.
PATIENCE = 5.0
LEAST_PATIENCE_S = 0.1
MAX_STAGE_RUNS = 2

_log = logging.getLogger(__name__)


class Dispatcher:
    """
    Brings requests to upstreams.

    Parameters
    ----------
    data_centre : str
        Where this host is.
    picture : FleetPicture
        Configuration and upstreams.
    board : UpstreamBoard
        Work in progress at the upstreams.
    pool : ConnectionPool
        Connections to the upstreams.
    pieces : PieceClient
        Runs the stages.
    dialect : Dialect
        Writes heads.
    bounds : Bounds
        Limits for the whole fleet.
    timers : Timers
        Clock.
    rng : random.Random
        Breaks ties between upstreams.
    metrics : Exposition
        Counts sends.
    """

    __slots__ = (
        "_data_centre",
        "_picture",
        "_board",
        "_pieces",
        "_bounds",
        "_timers",
        "_rng",
        "_metrics",
        "_sender",
        "_budgets",
    )

    def __init__(
        self,
        *,
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
        self._data_centre = data_centre
        self._picture = picture
        self._board = board
        self._pieces = pieces
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

    def end(self, exchange: Exchange) -> None:
        """Free what a request that has ended still holds."""
        if exchange.work is not None:
            self._pieces.note_end(exchange.work)

    async def run(self, exchange: Exchange) -> WholeAnswer | StreamPassedOn | Failure:
        """
        Have the stages of a request done and an upstream run it.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Returns
        -------
        WholeAnswer, StreamPassedOn or Failure
            The answer; that a stream was passed on; or why there is none.
        """
        self._budget(exchange.service.name).add_request(self._timers.now())
        for _ in range(MAX_STAGE_RUNS):
            failure = await self._run_stages(exchange)
            if failure is not None:
                return failure
            result = await self._try_upstreams(exchange)
            if not isinstance(result, Failure) or result.reason is not Reason.NOT_FOUND:
                return result
        return result

    async def _run_stages(self, exchange: Exchange) -> Failure | None:
        """Have the stages done and an engine chosen by the fleet's scheduler."""
        has_pieces = bool(exchange.route.stages) and any(exchange.facts.piece_counts)
        if not has_pieces and exchange.service.engine is None:
            return None
        work = StageWork(
            request=self._stage_request(exchange),
            deadline=exchange.begin_by - self._reading_s(exchange),
            due_at=exchange.due_at - self._reading_s(exchange),
        )
        if exchange.work is not None:
            # The schedulers of an earlier run are told of the end with all others. Told now, they
            # could take it for the end of the run that begins.
            work.askers |= exchange.work.askers
        exchange.work = work
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
            priority=exchange.backlog_rank,
            wait_share=exchange.wait_share,
            yield_ms=round(exchange.yield_s * 1000),
            engine_service=exchange.service.name if exchange.service.engine is not None else "",
            prompt=[PromptPart(part=part, tokens=tokens) for part, tokens in facts.prefix],
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            excluded=sorted(exchange.tried | self._board.closed()),
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
        upstreams = self._picture.usable_upstreams(exchange.service.name)
        opens_in_s = self._board.opens_in_s(upstreams)
        return msgspec.structs.replace(failure, retry_after_s=opens_in_s)

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
        # The engine has read its inputs once it generates. Few streams are resumed elsewhere: their
        # stages are run again if the results had to make room for others.
        if exchange.work is not None:
            self._pieces.note_begin(exchange.work)

    def _no_upstream(self, exchange: Exchange) -> Failure:
        return Failure(
            reason=Reason.NO_UPSTREAM,
            run_state=RunState.NOT_RUN,
            step="upstream.choose",
            peer=exchange.service.name,
            detail="no upstream of the service is in service",
        )

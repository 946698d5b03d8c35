"""Simulates a load of requests with stages on the scheduler and counts the outcomes."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import trio

from marigoldtrail.errors import Failure
from marigoldtrail.pieces import PieceCall, PieceResult, PieceService
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.exchange import (
    ABANDON_PAUSE_TARGETS,
    MIN_ABANDON_PAUSE_S,
    WAIT_SHARES,
    YIELD_TIMES_S,
)
from marigoldtrail.routing import (
    EngineSpec,
    Limits,
    PieceSpec,
    RouteTable,
    Service,
    Upstream,
    build_index,
)
from marigoldtrail.schema.generated.pieces import NoteProgress, RunStages, StageRequest
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

# Time from the last stage to the first event of an answer.
ENGINE_S = 0.2
# Callers retry after at most this share of their remaining time.
RETURN_SHARE = 1 / 3


class Pool(msgspec.Struct, kw_only=True):
    """Upstreams of one service of stages."""

    name: str
    count: int
    spec: PieceSpec


class Part(msgspec.Struct, kw_only=True):
    """One stage of a kind of request; a `share` of requests has it, with `pieces` as the mean."""

    service: str
    pieces: float = 1.0
    spread: float = 0.0
    share: float = 1.0
    after: list[int] = []
    result_bytes: int = 8000
    work: float = 1.0


class Kind(msgspec.Struct, kw_only=True):
    """A kind of request with its rate in requests per second."""

    name: str
    rate: float
    rank: int
    target_s: float
    deadline_s: float
    parts: list[Part]


class Burst(msgspec.Struct, kw_only=True):
    """A period with a higher rate of requests of one kind, or of all kinds."""

    at: float
    for_s: float
    factor: float
    kind: str = ""


class Tally(msgspec.Struct, kw_only=True):
    """Outcomes of the requests of one kind."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0

    @property
    def on_time_share(self) -> float:
        """Share of the callers that were answered on time."""
        return self.on_time / max(1, self.asked)

    @property
    def refused_share(self) -> float:
        """Share of the callers that were refused twice: at first and on their retry."""
        return self.refused / max(1, self.asked)


class StageLoad:
    """Simulated upstreams and callers with a scheduler."""

    def __init__(
        self, nursery, *, pools, kinds, seed=1, data_centres=4, accounts=None, patient=True
    ):
        self.rng = random.Random(seed)
        self.timers = Timers(seed=seed)
        self.pools = {pool.name: pool for pool in pools}
        self.kinds = {kind.name: kind for kind in kinds}
        self.tallies = {kind.name: Tally() for kind in kinds}
        # Weights of the client accounts; none by default.
        self.accounts = accounts or {}
        self.account_tallies = {account: Tally() for account in self.accounts}
        self._account_rng = random.Random(seed + 2)
        # Whether callers wait for the time after which to retry.
        self.patient = patient
        self.slow: dict[str, float] = {}
        self.dead: set[str] = set()
        self.busy_s: Counter[str] = Counter()
        self.made: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.without_room = 0
        self._kept: dict[str, dict[str, tuple[int, float]]] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._handles = 0
        self._works = {
            (kind.name, number): part.work
            for kind in kinds
            for number, part in enumerate(kind.parts)
        }
        self._data_centres = [f"dc-{number}" for number in range(data_centres)]
        self.service = PieceService(
            host="c",
            fleet_state=self._make_fleet_state(pools),
            call=PieceCall(run=self._run, free=self._free),
            timers=self.timers,
            rng=random.Random(seed + 1),
            metrics=PrometheusMetrics(),
        )
        self._nursery = nursery
        nursery.start_soon(self.service.run)

    def _make_fleet_state(self, pools):
        fleet_state = FleetState(parse_document=lambda data: "", timers=self.timers)
        engine = Service(
            name="llm", max_connections=9, engine=EngineSpec(slots=64, kv_cache_tokens=10**6)
        )
        services = [Service(name=p.name, max_connections=9, pieces=p.spec) for p in pools]
        table = RouteTable(
            version=1, routes=(), services=(engine, *services), limits=Limits(), accounts=None
        )
        fleet_state.routes = build_index(table)
        names = [(p.name, n) for p in pools for n in range(p.count)]
        names += [("llm", n) for n in range(8)]
        for service, number in names:
            name = f"{service}-{number}"
            fleet_state.upstreams[name] = Upstream(
                name=name,
                service=service,
                address="10.0.0.1:1",
                data_centre=self._data_centres[number % len(self._data_centres)],
                slots=1,
            )
        return fleet_state

    async def _run(self, upstream, pieces, remaining_s):
        name, spec = upstream.name, self.pools[upstream.service].spec
        if name in self.dead:
            await trio.sleep_forever()
        async with self._locks.setdefault(name, trio.Lock()):
            now = trio.current_time()
            kept = self._kept.setdefault(name, {})
            for handle in [h for h, (_, until) in kept.items() if until <= now]:
                del kept[handle]
            room = spec.result_capacity_bytes - sum(size for size, _ in kept.values())
            results, work = [], 0.0
            for piece in pieces:
                size = round(piece.job.result_bytes * self.rng.uniform(1.03, 1.06))
                if size > room:
                    self.without_room += 1
                    results.append(PieceResult(reason="room"))
                    continue
                room -= size
                self._handles += 1
                handle = f"h{self._handles}"
                kept[handle] = (size, now + 60)
                kind = piece.job.request_id.partition("/")[0]
                work += self._works[kind, piece.job.stage]
                results.append(PieceResult(handle=handle))
            took_s = (spec.call_overhead_s + work * spec.item_s) * self.slow.get(name, 1.0)
            await trio.sleep(took_s)
            self.busy_s[upstream.service] += took_s
            self.made[upstream.service] += len(results)
            self.calls[upstream.service] += 1
            for result in results:
                if result.handle in kept:
                    kept[result.handle] = (
                        kept[result.handle][0],
                        trio.current_time() + spec.result_retention_s,
                    )
        return results

    async def _free(self, upstream, handles):
        await trio.sleep(0.004)
        for handle in handles:
            self._kept.get(upstream.name, {}).pop(handle, None)

    def _count(self, part):
        if self.rng.random() >= part.share:
            return 0
        if not part.spread:
            return round(part.pieces)
        factor = self.rng.lognormvariate(-part.spread**2 / 2, part.spread)
        return max(1, min(round(4 * part.pieces), round(part.pieces * factor)))

    async def _ask(self, kind, request_id, counts, waited_s, account):
        """Send a request once; return True if on time, False if late, a Failure otherwise."""
        started = trio.current_time()
        deadline_s = kind.deadline_s - waited_s
        patience_s = max(MIN_ABANDON_PAUSE_S, ABANDON_PAUSE_TARGETS * kind.target_s)
        request = RunStages(
            request_id=request_id,
            account=account,
            stages=[
                StageRequest(
                    service=part.service,
                    count=count,
                    after=part.after,
                    result_bytes=part.result_bytes,
                )
                for part, count in zip(kind.parts, counts, strict=True)
            ],
            key="k",
            left_ms=round(1000 * (min(deadline_s, patience_s) - ENGINE_S)),
            slack_ms=round(1000 * (kind.target_s - waited_s - ENGINE_S)),
            priority=kind.rank + (kind.rank == 0),
            wait_share=WAIT_SHARES[kind.rank],
            yield_ms=round(1000 * YIELD_TIMES_S[kind.rank]),
            engine_service="llm",
            prompt_tokens=1000,
            output_tokens=100,
            data_centre=self.rng.choice(self._data_centres),
        )
        reply = await self.service.get_handlers()[RunStages](request, "e")
        if not isinstance(reply, Failure):
            await trio.sleep(ENGINE_S)
        await self.service.get_handlers()[NoteProgress](
            NoteProgress(request_id=request_id, has_ended=True), "e"
        )
        if isinstance(reply, Failure):
            return reply
        return trio.current_time() - started + waited_s <= kind.target_s

    async def _call(self, kind, number):
        names, weights = list(self.accounts), list(self.accounts.values())
        account = self._account_rng.choices(names, weights)[0] if names else ""
        tallies = [self.tallies[kind.name]]
        tallies += [self.account_tallies[account]] if names else []
        counts = [self._count(part) for part in kind.parts]
        first_at = trio.current_time()
        for tally in tallies:
            tally.asked += 1
        result = await self._ask(kind, f"{kind.name}/{number}", counts, 0.0, account)
        if isinstance(result, Failure):
            for tally in tallies:
                tally.refusals += 1
            left_s = kind.deadline_s - (trio.current_time() - first_at)
            pause_s = max(result.retry_after_s, 0.25) if self.patient else 0.0
            await trio.sleep(min(pause_s, left_s * RETURN_SHARE))
            waited_s = trio.current_time() - first_at
            result = await self._ask(kind, f"{kind.name}/{number}b", counts, waited_s, account)
        for tally in tallies:
            self._record(tally, result)

    @staticmethod
    def _record(tally, result):
        if isinstance(result, Failure):
            if result.reason.value == "overloaded":
                tally.refused += 1
            else:
                tally.failed += 1
        elif result:
            tally.on_time += 1
        else:
            tally.late += 1

    async def play(self, seconds, bursts=()):
        """Generate requests for some seconds and wait until all have ended."""
        end = trio.current_time() + seconds
        started = trio.current_time()
        number = 0
        async with trio.open_nursery() as callers:
            while trio.current_time() < end:
                at = trio.current_time() - started
                rates = {
                    kind.name: kind.rate * self._factor(kind.name, at, bursts)
                    for kind in self.kinds.values()
                }
                await trio.sleep(self.rng.expovariate(sum(rates.values())))
                number += 1
                name = self.rng.choices(list(rates), list(rates.values()))[0]
                callers.start_soon(self._call, self.kinds[name], number)
        return self.tallies

    @staticmethod
    def _factor(kind, at, bursts):
        factor = 1.0
        for burst in bursts:
            if burst.kind in ("", kind) and burst.at <= at < burst.at + burst.for_s:
                factor *= burst.factor
        return factor


def make_spec(batch, call_overhead_s, item_s, room_mb):
    """Return the capacity of one upstream of a service of stages."""
    return PieceSpec(
        slots=1,
        queue=2,
        batch=batch,
        call_overhead_s=call_overhead_s,
        item_s=item_s,
        result_capacity_bytes=round(room_mb * 1e6),
        result_retention_s=4.0,
    )


def chain(first, second, third, *, after=0, middle=8.0, last=16.0):
    """Return three stages, each of which reads the results of the one before."""
    return [
        Part(service=first, work=0.3),
        Part(service=second, pieces=middle, after=[after], result_bytes=60_000),
        Part(service=third, pieces=last, spread=0.4, after=[after + 1], result_bytes=6000),
    ]

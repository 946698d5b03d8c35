"""
Compares attainment, goodput and fairness of the policies with simpler variants.

``python -m bench.policy`` prints JSON. Each figure is measured with the real `Server` on four
entries over the same simulated upstreams under a virtual clock, with one rule replaced per variant.
Only the cost of a refusal is measured in real time, as a ratio within the run.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import contextlib
import itertools
import json
import math
import random
import sys
import time
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import trio
import trio.testing

from marigoldtrail.policy import PrefixIndex, share_of
from marigoldtrail.serving import Answer
from marigoldtrail.serving.tests.fakes import (
    CONNECT_REFUSED,
    FakeStream,
    FakeUpstreams,
    ServerHarness,
    answer_to,
    make_schedule_deterministic,
    manifest,
    stage,
    tokens,
)

ENTRIES = 4
# Callers select their entries themselves: the busiest has almost twice the load of the idlest.
ENTRY_WEIGHTS = [1.3, 1.1, 0.9, 0.7]
CAPACITY = 4
REPLICAS = 6
RANK_MS, STOCK_MS = 40.0, 100.0
DURATION_SIGMA = 0.5
DEADLINE_S = 2.0
WARM_UP_S = 3.0
MEASURED_S = 10.0
REPORT_S = 1.0
# The second pool is the bottleneck: 6 upstreams with 4 concurrent calls of 100 ms each.
CAPACITY_PER_S = REPLICAS * CAPACITY / (STOCK_MS / 1000)
SHARES = {"large-1": 0.45, "large-2": 0.45, "small-1": 0.04, "small-2": 0.04, "small-3": 0.02}
# The upstream that becomes slow, fails or is occupied by external calls in some of the loads.
STRAGGLER = "stock-0"
EXTERNAL_CALLS = 3
CONNECT_S = 0.002
# Sessions with a common prompt prefix each; an engine caches the prefixes of some of them.
SESSIONS, CACHED_SESSIONS = 60, 15
CACHED_S, UNCACHED_S = 0.05, 0.3
SLOWDOWN_FACTORS = {"slow": 10.0, "stuck": 100.0}

Rate = Callable[[float], float]


class SimulatedUpstreams(FakeUpstreams):
    """Upstreams that run `CAPACITY` calls concurrently and queue the others."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(None)
        self.rng = rng
        self.call_limits: dict[str, trio.Semaphore] = defaultdict(lambda: trio.Semaphore(CAPACITY))
        self.accepted: Counter[str] = Counter()
        self.slowdown = 1.0
        self.dead_from: dict[str, float] = {}

    async def call(self, upstream, request, *, timeout_s, may_repeat, slot=None):  # type: ignore
        name = upstream.name
        if trio.current_time() >= WARM_UP_S:
            self.accepted[name] += 1
        if trio.current_time() >= self.dead_from.get(name, math.inf):
            await trio.sleep(CONNECT_S)
            return CONNECT_REFUSED
        self.running[name] += 1
        try:
            async with self.call_limits[name]:
                await trio.sleep(self.duration_s(name, request.stage))
        finally:
            self.running[name] -= 1
        load = min(255, round(255 * self.running[name] / CAPACITY))
        reported = load if upstream.reports_load else -1
        return answer_to(request, name, instance=f"{name}#1", load=reported)

    async def occupy(self, name: str) -> None:
        """Occupy most of the capacity of an upstream with calls from outside the fleet."""
        await trio.sleep(WARM_UP_S + 2.0)
        for _ in range(EXTERNAL_CALLS):
            self.running[name] += 1
            await self.call_limits[name].acquire()

    def duration_s(self, name: str, stage_name: str) -> float:
        """Draw the duration of a call; the mean is that of the stage."""
        mean_ms = RANK_MS if stage_name == "rank" else STOCK_MS
        factor = self.rng.lognormvariate(-DURATION_SIGMA * DURATION_SIGMA / 2, DURATION_SIGMA)
        if name == STRAGGLER and trio.current_time() >= WARM_UP_S + 2.0:
            factor *= self.slowdown
        return mean_ms * factor / 1000


class Fleet:
    """Entries that share the same upstreams."""

    def __init__(self, seed: int) -> None:
        document = manifest(
            {
                "p": [
                    stage("rank", "rerank", expected_ms=RANK_MS),
                    stage("stock", "service", expected_ms=STOCK_MS),
                ]
            },
            replicas=REPLICAS,
            capacity=CAPACITY,
            accounts=[(name, 1.0) for name in SHARES],
        )
        # A third of the stock upstreams report no load.
        for upstream in document.upstreams:
            upstream.reports_load = not upstream.name.endswith(("1", "4"))
        self.rng = random.Random(seed)
        self.upstreams = SimulatedUpstreams(self.rng)
        self.harnesses = [
            ServerHarness(document, seed=seed + n, entries=ENTRIES) for n in range(ENTRIES)
        ]
        for harness in self.harnesses:
            harness.server._shared.upstreams = self.upstreams

    async def run(self, nursery: trio.Nursery) -> None:
        """Start the entries and the load reports, which are delayed by one interval."""
        for harness in self.harnesses:
            await nursery.start(harness.server.run)
        nursery.start_soon(self._report)

    async def _report(self) -> None:
        sampled: dict[str, int] = {}
        while True:
            for harness in self.harnesses:
                harness.view.loads.update(sampled)
            sampled = {
                upstream.name: min(255, round(255 * running / CAPACITY))
                for upstream in self.harnesses[0].view.manifest.upstreams
                if upstream.reports_load
                for running in [self.upstreams.running[upstream.name]]
            }
            await trio.sleep(REPORT_S)


def constant_rate(load: float) -> Rate:
    """Return a constant rate, given as a multiple of the capacity."""
    return lambda at: load * CAPACITY_PER_S


def burst_rate(at: float) -> float:
    """Return 0.7 times the capacity, and four times the capacity for two seconds in the middle."""
    middle = WARM_UP_S + MEASURED_S / 2
    return CAPACITY_PER_S * (4.0 if middle <= at < middle + 2.0 else 0.7)


async def offer_load(rate: Rate, fault: str, *, seed: int) -> dict[str, Any]:
    """Send requests with Poisson arrivals to a new fleet and count their outcomes."""
    fleet = Fleet(seed)
    if fault in SLOWDOWN_FACTORS:
        fleet.upstreams.slowdown = SLOWDOWN_FACTORS[fault]
    if fault == "dead":
        fleet.upstreams.dead_from[STRAGGLER] = WARM_UP_S + 2.0
    outcomes: dict[str, Counter[str]] = defaultdict(Counter)
    durations: list[float] = []
    refusal_delays: list[float] = []

    async def run_one(harness: ServerHarness, account: str, is_measured: bool) -> None:
        started = trio.current_time()
        outcome = await harness.run(client_account=account, deadline_s=DEADLINE_S)
        if not is_measured:
            return
        elapsed_s = trio.current_time() - started
        if isinstance(outcome, Answer):
            outcomes[account]["answered"] += 1
            durations.append(elapsed_s)
        else:
            outcomes[account][outcome.reason.value] += 1
            refusal_delays.append(elapsed_s)

    async with trio.open_nursery() as background:
        await fleet.run(background)
        if fault == "occupied":
            background.start_soon(fleet.upstreams.occupy, STRAGGLER)
        async with trio.open_nursery() as requests:
            while (now := trio.current_time()) < WARM_UP_S + MEASURED_S:
                harness = fleet.rng.choices(fleet.harnesses, ENTRY_WEIGHTS)[0]
                account = fleet.rng.choices(list(SHARES), list(SHARES.values()))[0]
                requests.start_soon(run_one, harness, account, now >= WARM_UP_S)
                await trio.sleep(fleet.rng.expovariate(rate(now)))
        background.cancel_scope.cancel()
    return summarise(outcomes, durations, refusal_delays, fleet)


def summarise(
    outcomes: dict[str, Counter[str]],
    durations: list[float],
    refusal_delays: list[float],
    fleet: Fleet,
) -> dict[str, Any]:
    """Return the figures of one run."""
    offered = sum(sum(counts.values()) for counts in outcomes.values())
    answered = len(durations)
    fair_share = CAPACITY_PER_S * MEASURED_S / len(SHARES)
    small = [
        counts["answered"] / min(fair_share, sum(counts.values()))
        for name, counts in outcomes.items()
        if name.startswith("small")
    ]
    failed = Counter[str]()
    for counts in outcomes.values():
        failed.update({key: value for key, value in counts.items() if key != "answered"})
    calls = sum(fleet.upstreams.accepted.values())
    return {
        "attainment": round(answered / offered, 4),
        "goodput_of_capacity": round(answered / MEASURED_S / CAPACITY_PER_S, 4),
        "small_account_share": round(min(small), 4),
        "p50_ms": percentile_ms(durations, 0.5),
        "p99_ms": percentile_ms(durations, 0.99),
        "refusal_p90_ms": percentile_ms(refusal_delays, 0.9),
        "failed": dict(sorted(failed.items())),
        "calls_per_answer": round(calls / max(1, answered), 3),
    }


def percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds; 0 without values."""
    if not values:
        return 0.0
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))] * 1000, 1)


@contextlib.contextmanager
def product() -> Iterator[None]:
    """Change nothing: the baseline variant."""
    yield


@contextlib.contextmanager
def round_robin() -> Iterator[None]:
    """Select upstreams by round robin."""
    turn = itertools.count()

    def choose(candidates, **_):  # type: ignore[no-untyped-def]
        return candidates[next(turn) % len(candidates)] if candidates else None

    with mock.patch("marigoldtrail.serving.targets.choose", choose):
        yield


@contextlib.contextmanager
def least_outstanding() -> Iterator[None]:
    """Select the upstream with the fewest outstanding calls of the entry."""
    from marigoldtrail.policy.load import UpstreamLoad

    def choose(candidates, **_):  # type: ignore[no-untyped-def]
        return min(candidates, key=lambda item: item.load) if candidates else None

    def estimate(self, now, **_):  # type: ignore[no-untyped-def]
        return float(self.outstanding)

    with (
        mock.patch("marigoldtrail.serving.targets.choose", choose),
        mock.patch.object(UpstreamLoad, "estimate", estimate),
    ):
        yield


@contextlib.contextmanager
def no_admission() -> Iterator[None]:
    """Disable admission control: start every request immediately."""
    from marigoldtrail.policy import Admission

    async def enter(self, *_, **__):  # type: ignore[no-untyped-def]
        return None

    with (
        mock.patch.object(Admission, "enter", enter),
        mock.patch.object(Admission, "leave", lambda *_: None),
    ):
        yield


@contextlib.contextmanager
def no_hedging() -> Iterator[None]:
    """Disable hedging: send no second attempt when the first is slow."""
    with mock.patch("marigoldtrail.serving.idempotent.hedge_delay", lambda *_: None):
        yield


@contextlib.contextmanager
def no_ejection() -> Iterator[None]:
    """Disable ejection: keep using failing and slow upstreams."""
    with mock.patch("marigoldtrail.serving.calls.find_ejection", lambda *_: ""):
        yield


def with_overcommit(factor: float) -> Callable[[], contextlib.AbstractContextManager[None]]:
    """Return a variant with another bound on the outstanding calls of an entry."""

    @contextlib.contextmanager
    def variant() -> Iterator[None]:
        def share(capacity: int, entries: int) -> int:
            return share_of(capacity, entries, factor)

        with mock.patch("marigoldtrail.serving.shared.share_of", share):
            yield

    return variant


VARIANTS = {
    "product": product,
    "round_robin": round_robin,
    "least_outstanding": least_outstanding,
    "no_admission": no_admission,
    "no_hedging": no_hedging,
    "no_ejection": no_ejection,
}
LOADS: dict[str, tuple[Rate, str]] = {
    "0.5x": (constant_rate(0.5), ""),
    "0.9x": (constant_rate(0.9), ""),
    "1x": (constant_rate(1.0), ""),
    "2x": (constant_rate(2.0), ""),
    "3x": (constant_rate(3.0), ""),
    "burst": (burst_rate, ""),
    "straggler": (constant_rate(0.7), "slow"),
    "occupied": (constant_rate(0.7), "occupied"),
    "dead": (constant_rate(0.7), "dead"),
    "stuck": (constant_rate(0.7), "stuck"),
}
COMPARED = ("product", "round_robin", "least_outstanding", "no_admission", "no_hedging")
OVERCOMMITS = {f"overcommit_{factor}": factor for factor in (1.0, 1.25, 1.5, 2.0, 3.0)}
VARIANTS.update({name: with_overcommit(factor) for name, factor in OVERCOMMITS.items()})
WORKERS = 4


def simulate(load: str, variant: str, seed: int) -> dict[str, Any]:
    """Run one load with one variant under the virtual clock."""
    rate, fault = LOADS[load]

    async def run() -> dict[str, Any]:
        return await offer_load(rate, fault, seed=seed)

    make_schedule_deterministic(seed)
    with VARIANTS[variant]():
        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def measure_refusal_cost(requests: int = 2000) -> dict[str, float]:
    """Compare the CPU time of refused and served requests in one process."""

    async def run() -> dict[str, float]:
        document = manifest(
            {"p": [stage("rank", "rerank"), stage("stock")]}, replicas=REPLICAS, capacity=CAPACITY
        )
        harness = ServerHarness(document, entries=ENTRIES)
        costs = {}
        async with trio.open_nursery() as nursery:
            await nursery.start(harness.server.run)
            started = time.process_time()
            for _ in range(requests):
                assert isinstance(await harness.run(deadline_s=5.0), Answer)
            costs["served_us"] = (time.process_time() - started) / requests * 1e6
            # Fill the pools and their queues, as under sustained overload.
            for _ in range(400):
                nursery.start_soon(
                    harness.server.run_request, harness.request(deadline_s=5.0), None
                )
            harness.upstreams.service_s = 1000.0
            await trio.sleep(0.5)
            started = time.process_time()
            for _ in range(requests):
                assert not isinstance(await harness.run(deadline_s=0.05), Answer)
            costs["refused_us"] = (time.process_time() - started) / requests * 1e6
            nursery.cancel_scope.cancel()
        costs["ratio"] = costs["served_us"] / costs["refused_us"]
        return {key: round(value, 1) for key, value in costs.items()}

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class SimulatedEngines(FakeUpstreams):
    """Engines that cache the prefixes of `CACHED_SESSIONS` sessions each."""

    def __init__(self) -> None:
        super().__init__(None)
        self.caches: dict[str, OrderedDict[int, None]] = defaultdict(OrderedDict)
        self.call_limits: dict[str, trio.Semaphore] = defaultdict(lambda: trio.Semaphore(CAPACITY))
        self.hits = 0

    @contextlib.asynccontextmanager
    async def stream(self, upstream, request, *, timeout_s, slot=None):  # type: ignore
        cache = self.caches[upstream.name]
        session = request.input["input"]["a_session"]
        is_hit = session in cache
        cache[session] = None
        cache.move_to_end(session)
        if len(cache) > CACHED_SESSIONS:
            cache.popitem(last=False)
        self.hits += is_hit
        async with self.call_limits[upstream.name]:
            await trio.sleep(CACHED_S if is_hit else UNCACHED_S)
            yield FakeStream(self, upstream, request, tokens(until=1))


def measure_affinity(*, seed: int, uses_affinity: bool, load: float) -> dict[str, Any]:
    """Measure requests of many sessions, each with a common prompt prefix."""
    rng = random.Random(seed)
    durations: list[float] = []
    offered = 0
    rate = load * REPLICAS * CAPACITY / UNCACHED_S

    async def run_one(harness: ServerHarness, session: int) -> None:
        started = trio.current_time()
        prompt = {"a_session": session, "text": f"{session} " * 400, "turn": rng.random()}
        if isinstance(await harness.run(input=prompt, deadline_s=DEADLINE_S), Answer):
            durations.append(trio.current_time() - started)

    async def run() -> int:
        nonlocal offered
        document = manifest(
            {"p": [stage("write", "generate", expected_ms=UNCACHED_S * 1000)]},
            replicas=REPLICAS,
            capacity=CAPACITY,
        )
        harness = ServerHarness(document, seed=seed)
        engines = harness.server._shared.upstreams = SimulatedEngines()
        async with trio.open_nursery() as background:
            await background.start(harness.server.run)
            async with trio.open_nursery() as requests:
                while trio.current_time() < MEASURED_S:
                    offered += 1
                    requests.start_soon(run_one, harness, rng.randrange(SESSIONS))
                    await trio.sleep(rng.expovariate(rate))
            background.cancel_scope.cancel()
        return engines.hits

    make_schedule_deterministic(seed)
    find = PrefixIndex.find if uses_affinity else (lambda *_: "")
    with mock.patch.object(PrefixIndex, "find", find):
        hits = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return {
        "attainment": round(len(durations) / offered, 4),
        "hit_share": round(hits / offered, 4),
        "p50_ms": percentile_ms(durations, 0.5),
        "p99_ms": percentile_ms(durations, 0.99),
    }


def list_cases() -> list[tuple[str, str]]:
    """Return the pairs of load and variant to run."""
    return [
        *((load, name) for load in LOADS for name in COMPARED),
        *((load, "no_ejection") for load in ("straggler", "stuck", "dead")),
        *((load, name) for load in ("1x", "3x") for name in OVERCOMMITS),
    ]


def run_bench(*, seed: int = 1) -> dict[str, Any]:
    """
    Run all variants under all loads.

    Parameters
    ----------
    seed : int
        Seed of arrivals and durations.

    Returns
    -------
    dict
        Figures by load and variant, for prefix affinity, and for the cost of a refusal.
    """
    result: dict[str, Any] = {"seed": seed, "capacity_per_s": CAPACITY_PER_S, "loads": {}}
    # With virtual clock, seed and fixed schedule, a case has the same figures in any process.
    with concurrent.futures.ProcessPoolExecutor(max_workers=WORKERS) as pool:
        cases = {case: pool.submit(simulate, *case, seed) for case in list_cases()}
        for (load, variant), future in cases.items():
            result["loads"].setdefault(load, {})[variant] = future.result()
    result["prefix_affinity"] = {
        f"{load}x": {
            name: measure_affinity(seed=seed, uses_affinity=uses_affinity, load=load)
            for name, uses_affinity in (("product", True), ("no_affinity", False))
        }
        for load in (0.7, 1.2)
    }
    result["refusal"] = measure_refusal_cost()
    return result


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.stdout.write(json.dumps(run_bench(seed=options.seed), indent=1) + "\n")


if __name__ == "__main__":
    main()

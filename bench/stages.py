"""
Measures the processor time of a control host per request and per report; prints JSON.

Run ``python -m bench.stages``. The scheduler of stages runs the load of its tests at the size of a
large site, in bursts within and beyond its capacity; the leader records reports of 191 hosts. Both
are in memory without messages. Compare two commits beside each other: run this file of one of them
in both, and take the lowest figures of several runs.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import trio
import trio.testing

from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.pieces.tests import test_load
from marigoldtrail.pieces.tests.load import Burst, StageLoad
from marigoldtrail.registry.state import RegistryState
from marigoldtrail.schema.generated.pieces import RunStages
from marigoldtrail.schema.generated.registry import HostReport, UpstreamLoad
from marigoldtrail.serving.tests.fakes import make_schedule_deterministic
from marigoldtrail.timers import Timers

# Services of stages of the large site, as multiples of those of the tests.
SCALE = 8
SECONDS = 12
BURST_AT_S, BURST_S = 3, 6
# Rates in the burst as multiples of the normal one, which is 0.55 of the capacity.
FACTORS = (1.6, 3.0)
HOSTS, UPSTREAMS, LOADS_PER_HOST = 191, 110, 3
REPORTS = 40 * HOSTS
COUNTED = ("plan", "_take_pieces", "_drop_finished")


def count_steps(counts: Counter[str]) -> None:
    """Count the steps of all schedulers from now on."""

    def replace(name: str, method: Callable[..., Any]) -> None:
        def count(*args: Any) -> Any:
            counts[name] += 1
            return method(*args)

        setattr(PieceScheduler, name, count)

    for name in COUNTED:
        replace(name, getattr(PieceScheduler, name))


def add_fingerprints(load: StageLoad) -> None:
    """Give each request a fingerprint, if requests have one, as entries do."""
    handlers = load.service.get_handlers()
    run_stages = handlers[RunStages]

    async def run(request: Any, sender: str) -> Any:
        if "fingerprint" in RunStages.__struct_fields__:
            request = msgspec.structs.replace(request, fingerprint=f"r:{request.request_id}")
        return await run_stages(request, sender)

    load.service = SimpleNamespace(get_handlers=lambda: {**handlers, RunStages: run})


async def measure_scheduler(factor: float, counts: Counter[str]) -> dict[str, float]:
    """Measure the scheduler in one burst."""
    async with trio.open_nursery() as nursery:
        load = StageLoad(
            nursery, pools=test_load.make_pools(SCALE), kinds=test_load.make_kinds(SCALE)
        )
        add_fingerprints(load)
        counts.clear()
        started = time.process_time()
        burst = Burst(at=BURST_AT_S, for_s=BURST_S, factor=factor)
        tallies = (await load.play(SECONDS, [burst])).values()
        took_s = time.process_time() - started
        nursery.cancel_scope.cancel()
    asked = sum(tally.asked for tally in tallies)
    figures = {
        "ms_per_request": round(1000 * took_s / asked, 3),
        "on_time_share": round(sum(tally.on_time for tally in tallies) / asked, 3),
        "calls_per_request": round(sum(load.calls.values()) / asked, 2),
    }
    return figures | {
        f"{name.strip('_')}_per_request": round(counts[name] / asked, 2) for name in COUNTED
    }


async def measure_leader() -> dict[str, float]:
    """Measure what the leader does with a report apart from the message."""
    registry = RegistryState(term=1, timers=Timers(seed=1))
    reports = [
        HostReport(
            host=f"entry-{number % HOSTS}",
            incarnation=1,
            role="entry",
            data_centre="a",
            region="r",
            ready=True,
            loads=[
                UpstreamLoad(upstream=f"llm-{(number + offset) % UPSTREAMS}", requests=1)
                for offset in range(LOADS_PER_HOST)
            ],
        )
        for number in range(REPORTS)
    ]
    started = time.process_time()
    for report in reports:
        registry.record_report(report)
    return {"us_per_report": round(1e6 * (time.process_time() - started) / REPORTS, 1)}


def main() -> None:
    """Print the figures as JSON."""
    make_schedule_deterministic(1)
    counts: Counter[str] = Counter()
    count_steps(counts)
    figures: dict[str, Any] = {}
    for factor in FACTORS:
        figures[f"scheduler at {factor:g}"] = trio.run(
            measure_scheduler,
            factor,
            counts,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    figures["leader"] = trio.run(measure_leader)
    json.dump(figures, sys.stdout)


if __name__ == "__main__":
    main()

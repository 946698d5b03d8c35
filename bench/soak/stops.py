"""Planned stops and reloads in series under load, after the faults of a plan."""

from __future__ import annotations

import random

import trio

from bench.soak.callers import Operators
from bench.soak.direct import DirectCallers, start_direct_callers
from bench.soak.faults import Injector
from bench.soak.fleet import CONTROL, ENTRIES
from bench.soak.plan import Fault

# Share of the seeds that play this.
SEED_SHARE = 0.6
KINDS = {"term": 5, "term_twice": 2, "reload": 3}
ENTRY_SHARE = 0.75
MIN_COUNT, MAX_COUNT = 3, 6
MEAN_GAP_S = 1.2
# Callers of each sort for each entry, and their pause between requests.
CALLER_COUNT = 6
MAX_PAUSE_S = 0.02
# Requests are on their way when the first signal comes.
LEAD_S = 0.3


def draw_stops(seed: int, control: list[str], entries: list[str]) -> list[Fault]:
    """
    Draw planned stops and reloads; they have a random number generator of their own.

    Parameters
    ----------
    seed : int
        Seed of the run.
    control, entries : list of str
        Possible targets.

    Returns
    -------
    list of Fault
        Signals in the order of their times, the first one a stop of an entry; empty if the seed
        plays none.
    """
    rng = random.Random(f"stops {seed}")
    if rng.random() >= SEED_SHARE:
        return []
    at = LEAD_S
    plan = [Fault(at=at, kind="term", target=rng.choice(entries), duration_s=0.0)]
    for _ in range(rng.randint(MIN_COUNT, MAX_COUNT) - 1):
        at += rng.expovariate(1 / MEAN_GAP_S)
        kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
        target = rng.choice(entries if rng.random() < ENTRY_SHARE else control)
        plan.append(Fault(at=at, kind=kind, target=target, duration_s=0.0))
    return plan


async def play_stops(
    seed: int, injector: Injector, operators: Operators, callers: DirectCallers
) -> None:
    """Stop and reload hosts beside callers and changes, without other faults."""
    plan = draw_stops(seed, CONTROL, ENTRIES)
    if not plan:
        return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.run)
        start_direct_callers(nursery, callers, ENTRIES, count=CALLER_COUNT, max_pause_s=MAX_PAUSE_S)
        await injector.run(plan)
        nursery.cancel_scope.cancel()

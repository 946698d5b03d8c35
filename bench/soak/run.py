"""Runs one seed: starts a site, injects faults, and checks the promises and the recovery."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from bench.soak.callers import (
    MAX_THINK_S,
    REQUEST_WEIGHTS,
    Callers,
    Operators,
    call,
    open_connection,
)
from bench.soak.crashing import check_crashing_order
from bench.soak.direct import DirectCallers, start_direct_callers
from bench.soak.end_counts import describe_ends, judge_given_up
from bench.soak.endless import draw_endless, judge_endless, play_endless
from bench.soak.fleet import CONTROL, ENTRIES, HOSTS, Fleet, find_role
from bench.soak.full_disks import check_full_disks, play_restarts
from bench.soak.ledger import Ledger
from bench.soak.plan import make_plan
from bench.soak.planned import judge_planned_work
from bench.soak.silences import WEIGHTS, judge_silences, play_silences
from bench.soak.site import Site
from bench.soak.stops import play_stops
from bench.soak.takeouts import check_takeout
from marigoldtrail.platform.standin import CONFIG_PATH, read_version
from marigoldtrail.timers import Timers

CALLER_COUNT = 8
OPERATOR_COUNT = 2
# Callers of each sort that reach each entry without the proxy.
DIRECT_COUNT = 1
# A site that has not recovered by then is considered hung; no promise states a shorter time.
RECOVERY_S = 40.0
WATCH_INTERVAL_S = 0.1
# The kernel keeps the peak of a process, so that reading it seldom misses its last moment only.
MEMORY_INTERVAL_S = 0.1
# All parts of a seed, and those that can be played alone.
ALL, SILENCES, ENDLESS = "all", "silences", "endless"
PARTS = (ALL, SILENCES, ENDLESS)


class Outcome(msgspec.Struct, kw_only=True):
    """
    Result of one seed.

    Parameters
    ----------
    seed : int
        Seed of the run.
    violations : list of str
        Broken promises.
    injected, answers : Counter
        Number of faults by kind, and of responses by kind of request and outcome.
    accepted : int
        Configurations that were acknowledged.
    planned : list of str
        Requests without an answer around planned work.
    notes : list of str
        What else was measured.
    """

    seed: int
    violations: list[str]
    injected: Counter[str]
    answers: Counter[str]
    accepted: int
    planned: list[str]
    notes: list[str]


async def run_seed(
    seed: int, seconds: float, *, network: str, folder: Path, part: str = ALL
) -> Outcome:
    """
    Run one seed.

    Parameters
    ----------
    seed : int
        Seed of the faults and the traffic.
    seconds : float
        Time during which faults begin, in seconds.
    network : str
        First two octets of the loopback addresses to use.
    folder : Path
        An empty folder for settings, data and logs.
    part : str
        The only part of the seed to play; `ALL` for all of them.

    Returns
    -------
    Outcome
        Result of the run.
    """
    async with trio.open_nursery() as nursery:
        site = Site(seed=seed, network=network, folder=folder, nursery=nursery)
        try:
            await site.platform.start()
            await site.fleet.start()
            if await site.operators.send_next(RECOVERY_S):
                await play_parts(site, seconds, part)
            else:
                site.ledger.report_violation("the first configuration was not accepted")
        finally:
            record_memory(site)
            site.fleet.stop()
            nursery.cancel_scope.cancel()
    planned = judge_planned_work(site.fleet.planned, site.injector.disruptions, site.ledger)
    return Outcome(
        seed=seed,
        violations=site.ledger.violations,
        injected=site.injector.counts,
        answers=site.counts,
        accepted=len(site.ledger.accepted),
        planned=planned,
        notes=[*site.notes, site.memory.describe()],
    )


async def play_parts(site: Site, seconds: float, part: str) -> None:
    """Play the faults of the plan and all that follows them, or one part alone."""
    async with trio.open_nursery() as watch:
        watch.start_soon(watch_processes, site.fleet, site.ledger)
        watch.start_soon(watch_memory, site)
        watch.start_soon(site.end_counts.watch)
        if part == ALL:
            direct = site.make_direct_callers("direct")
            await count_ends(site, "faults", partial(play_plan, site, seconds, direct))
            await count_ends(site, "recovery", partial(check_after_plan, site))
            await count_ends(site, "planned work", partial(play_work, site, direct))
        if part in (ALL, SILENCES):
            judge_given_up(
                await count_ends(site, SILENCES, partial(check_silences, site)), site.ledger
            )
        if part in (ALL, ENDLESS):
            await count_ends(site, ENDLESS, partial(check_endless, site))
        watch.cancel_scope.cancel()


async def count_ends(
    site: Site, part: str, play: Callable[[], Awaitable[None]]
) -> Counter[tuple[str, str]]:
    """Play a part; return how requests ended meanwhile, as the entries count it."""
    before = await site.end_counts.read()
    await play()
    counts = await site.end_counts.read() - before
    site.notes.append(describe_ends(part, counts))
    return counts


async def check_silences(site: Site) -> None:
    """Let sound upstreams fall silent, judge the requests and check the recovery."""
    played = await play_silences(
        site.seed,
        injector=site.injector,
        upstreams=site.platform.upstreams,
        proxy=site.proxy,
        operators=site.operators,
        callers=site.make_direct_callers("silent", WEIGHTS),
    )
    if played is not None:
        works, disruptions = site.fleet.planned, site.injector.disruptions
        site.notes.append(judge_silences(played, works, disruptions, site.ledger))
        await check_recovery(site.fleet, site.operators, site.callers, site.ledger)


async def play_plan(site: Site, seconds: float, direct: DirectCallers) -> None:
    """Inject the faults of the plan beside callers and operators."""
    upstreams = list(site.platform.upstreams)
    plan = make_plan(site.seed, seconds, control=CONTROL, entries=ENTRIES, upstreams=upstreams)
    async with trio.open_nursery() as traffic:
        for _ in range(OPERATOR_COUNT):
            traffic.start_soon(site.operators.run)
        for _ in range(CALLER_COUNT):
            traffic.start_soon(site.callers.run)
        start_direct_callers(traffic, direct, ENTRIES, count=DIRECT_COUNT, max_pause_s=MAX_THINK_S)
        traffic.start_soon(site.callers.follow_directory)
        traffic.start_soon(site.takeouts.run)
        await site.injector.run(plan)
        traffic.cancel_scope.cancel()


async def check_after_plan(site: Site) -> None:
    """Check the recovery, the last order on a data centre, and an order that crashes upstreams."""
    await check_recovery(site.fleet, site.operators, site.callers, site.ledger)
    send = partial(site.callers.send_plain, ENTRIES)
    await check_takeout(site.takeouts, send, site.ledger)
    crashes = await check_crashing_order(site.seed, site.fleet, site.platform, site.ledger)
    site.injector.counts["crash by an order"] += len(crashes)


async def play_work(site: Site, direct: DirectCallers) -> None:
    """Let disks fail and stop hosts in series, and check the recovery."""
    injector, operators = site.injector, site.operators
    injector.counts += await check_full_disks(site.seed, injector, operators, site.ledger)
    await play_restarts(site.seed, injector, operators)
    await play_stops(site.seed, injector, operators, direct)
    await check_recovery(site.fleet, operators, site.callers, site.ledger)


async def check_endless(site: Site) -> None:
    """Let upstreams send without end, judge other requests and check the recovery."""
    services = {name: item.service for name, item in site.platform.upstreams.items()}
    plan = draw_endless(site.seed, services)
    for number, played in enumerate(plan):
        prefix = f"sound{number}"
        lateness = await play_endless(
            played,
            upstreams=site.platform.upstreams,
            operators=site.operators,
            load=site.make_direct_callers(f"load{number}", played.weights, is_judged=False),
            sound=site.make_direct_callers(prefix, played.sound_weights, is_judged=False),
        )
        site.injector.counts[f"endless {played.kind}"] += 1
        site.notes.append(judge_endless(played, prefix, lateness, site.ledger))
    if plan:
        await check_recovery(site.fleet, site.operators, site.callers, site.ledger)


async def watch_processes(fleet: Fleet, ledger: Ledger) -> None:
    """Report processes that exit unexpectedly and restart them as the platform would."""
    while True:
        for name in HOSTS:
            fleet.is_running(name)
        while fleet.unexpected_exits:
            text = fleet.unexpected_exits.pop()
            ledger.report_violation(text)
            fleet.start_host(text.partition(":")[0])
        await trio.sleep(WATCH_INTERVAL_S)


async def watch_memory(site: Site) -> None:
    """Compare the memory of all processes with their limits until cancelled."""
    async for _ in Timers().subscribe("soak", MEMORY_INTERVAL_S):
        record_memory(site)


def record_memory(site: Site) -> None:
    """Compare the memory of all processes that run with their limits."""
    for name in HOSTS:
        pid = site.fleet.pid(name)
        if pid is not None:
            site.memory.record(name, find_role(name), pid)


async def check_recovery(
    fleet: Fleet, operators: Operators, callers: Callers, ledger: Ledger
) -> None:
    """Check after the faults that all requests are served and no accepted change is lost."""
    with trio.move_on_after(RECOVERY_S):
        if not await operators.send_next(RECOVERY_S):
            ledger.report_violation("no configuration is accepted after the faults")
        for name in ENTRIES:
            for kind in REQUEST_WEIGHTS:
                await wait_until(partial(check_served, fleet, callers, name, kind))
        for name in CONTROL:
            await wait_until(partial(check_read_back, fleet, ledger, name))
        return
    ledger.report_violation("the site has not recovered after the faults")


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it holds."""
    async for _ in Timers().subscribe("soak", WATCH_INTERVAL_S):
        if await condition():
            return


async def check_read_back(fleet: Fleet, ledger: Ledger, name: str) -> bool:
    """Check the configuration returned by a control host; return False if there is none."""
    reply = await call(fleet.operator_address(name), "GET", CONFIG_PATH)
    if reply is None or reply[0] != 200:
        return False
    ledger.check_configuration(read_version(reply[1]), reply[1])
    return True


async def check_served(fleet: Fleet, callers: Callers, name: str, kind: str) -> bool:
    """Send a request of a kind to an entry; return whether it is served."""
    conn = await open_connection(fleet.request_address(name))
    if conn is None:
        return False
    served = callers.counts[f"{kind} 200"]
    try:
        await callers.send_request(conn, name, kind)
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
    return callers.counts[f"{kind} 200"] > served

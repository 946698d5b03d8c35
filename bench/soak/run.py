"""Runs one seed: starts a site, injects faults, and checks the promises and the recovery."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from bench.soak.callers import (
    ACCOUNT,
    KEY,
    MAX_THINK_S,
    REQUEST_WEIGHTS,
    Callers,
    Operators,
    call,
    open_connection,
)
from bench.soak.crashing import check_crashing_order
from bench.soak.direct import DirectCallers, start_direct_callers
from bench.soak.faults import Injector
from bench.soak.fleet import CONTROL, ENTRIES, HOSTS, Fleet
from bench.soak.full_disks import check_full_disks, play_restarts
from bench.soak.ledger import Ledger
from bench.soak.plan import draw_small_files, make_plan
from bench.soak.planned import judge_planned_work
from bench.soak.proxy import Proxy
from bench.soak.stops import play_stops
from bench.soak.takeouts import TakeoutOperator, check_takeout
from bench.soak.upstreams import Platform
from marigoldtrail.platform.standin import CONFIG_PATH, read_version
from marigoldtrail.timers import Timers

CALLER_COUNT = 8
OPERATOR_COUNT = 2
# Callers of each sort that reach each entry without the proxy.
DIRECT_COUNT = 1
# A site that has not recovered by then is considered hung; no promise states a shorter time.
RECOVERY_S = 40.0
WATCH_INTERVAL_S = 0.1


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
    """

    seed: int
    violations: list[str]
    injected: Counter[str]
    answers: Counter[str]
    accepted: int
    planned: list[str]


async def run_seed(seed: int, seconds: float, *, network: str, folder: Path) -> Outcome:
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

    Returns
    -------
    Outcome
        Result of the run.
    """
    ledger = Ledger(account=ACCOUNT, key=KEY)
    async with trio.open_nursery() as nursery:
        proxy = Proxy(nursery=nursery)
        platform = Platform(
            ledger=ledger,
            proxy=proxy,
            network=network,
            nursery=nursery,
            rng=random.Random(seed + 1),
        )
        fleet = Fleet(
            network=network,
            folder=folder,
            list_address=platform.list_address,
            proxy=proxy,
            has_small_files=draw_small_files(seed),
        )
        injector = Injector(fleet=fleet, platform=platform, proxy=proxy)
        operators = Operators(ledger=ledger, fleet=fleet, rng=random.Random(seed + 2))
        callers = Callers(
            ledger=ledger, fleet=fleet, operators=operators, rng=random.Random(seed + 3)
        )
        direct = Callers(
            ledger=ledger,
            fleet=fleet,
            operators=operators,
            rng=random.Random(f"direct {seed}"),
            prefix="direct",
        )
        direct_callers = DirectCallers(
            callers=direct, fleet=fleet, rng=random.Random(f"direct callers {seed}")
        )
        takeouts = TakeoutOperator(
            fleet=fleet, count_runs=lambda: platform.other_runs, rng=random.Random(seed + 4)
        )
        try:
            await platform.start()
            await fleet.start()
            plan = make_plan(
                seed,
                seconds,
                control=CONTROL,
                entries=ENTRIES,
                upstreams=list(platform.upstreams),
            )
            if await operators.send_next(RECOVERY_S):
                async with trio.open_nursery() as traffic:
                    traffic.start_soon(watch_processes, fleet, ledger)
                    for _ in range(OPERATOR_COUNT):
                        traffic.start_soon(operators.run)
                    for _ in range(CALLER_COUNT):
                        traffic.start_soon(callers.run)
                    start_direct_callers(
                        traffic,
                        direct_callers,
                        ENTRIES,
                        count=DIRECT_COUNT,
                        max_pause_s=MAX_THINK_S,
                    )
                    traffic.start_soon(callers.follow_directory)
                    traffic.start_soon(takeouts.run)
                    await injector.run(plan)
                    traffic.cancel_scope.cancel()
                await check_recovery(fleet, operators, callers, ledger)
                await check_takeout(takeouts, partial(callers.send_plain, ENTRIES), ledger)
                crashes = await check_crashing_order(seed, fleet, platform, ledger)
                injector.counts["crash by an order"] += len(crashes)
                async with trio.open_nursery() as watch:
                    watch.start_soon(watch_processes, fleet, ledger)
                    injector.counts += await check_full_disks(seed, injector, operators, ledger)
                    await play_restarts(seed, injector, operators)
                    await play_stops(seed, injector, operators, direct_callers)
                    watch.cancel_scope.cancel()
                await check_recovery(fleet, operators, callers, ledger)
            else:
                ledger.report_violation("the first configuration was not accepted")
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    planned = judge_planned_work(fleet.planned, injector.disruptions, ledger)
    return Outcome(
        seed=seed,
        violations=ledger.violations,
        injected=injector.counts,
        answers=callers.counts + direct.counts,
        accepted=len(ledger.accepted),
        planned=planned,
    )


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

"""Runs one seed: starts a site, injects faults, checks promises, and reads back at the end."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from bench.soak.callers import ACCOUNT, KEY, MIX, Callers, Operators, call, open_connection
from bench.soak.faults import Injector
from bench.soak.fleet import CONTROL, ENTRIES, HOSTS, Fleet
from bench.soak.ledger import Ledger
from bench.soak.plan import make_plan
from bench.soak.proxy import Proxy
from bench.soak.upstreams import Platform
from marigoldtrail.platform.standin import CONFIG_PATH, version_of
from marigoldtrail.timers import Timers

CALLERS = 8
OPERATORS = 2
# A site that has not recovered by then hangs: no promise names a shorter time for this soak.
RECOVERY_S = 40.0
WATCH_S = 0.1


class Outcome(msgspec.Struct, kw_only=True):
    """
    Result of one seed.

    Parameters
    ----------
    seed : int
        The seed.
    faults : list of str
        Broken promises.
    injected, answers : Counter
        Faults by kind; answers by kind of request and outcome.
    accepted : int
        Configurations that were acknowledged.
    """

    seed: int
    faults: list[str]
    injected: Counter[str]
    answers: Counter[str]
    accepted: int


async def run_seed(seed: int, seconds: float, *, network: str, folder: Path) -> Outcome:
    """
    Run one seed.

    Parameters
    ----------
    seed : int
        Draws the faults and the traffic.
    seconds : float
        Time during which faults begin.
    network : str
        First two octets of the loopback addresses to use.
    folder : Path
        An empty folder for settings, data and logs.

    Returns
    -------
    Outcome
        What was seen.
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
            network=network, folder=folder, list_address=platform.list_address, proxy=proxy
        )
        injector = Injector(fleet=fleet, platform=platform, proxy=proxy)
        operators = Operators(ledger=ledger, fleet=fleet, rng=random.Random(seed + 2))
        callers = Callers(
            ledger=ledger, fleet=fleet, operators=operators, rng=random.Random(seed + 3)
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
                    for _ in range(OPERATORS):
                        traffic.start_soon(operators.run)
                    for _ in range(CALLERS):
                        traffic.start_soon(callers.run)
                    traffic.start_soon(callers.follow_directory)
                    await injector.run(plan)
                    traffic.cancel_scope.cancel()
                await check_recovery(fleet, operators, callers, ledger)
            else:
                ledger.fail("the first configuration was not accepted")
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    return Outcome(
        seed=seed,
        faults=ledger.faults,
        injected=injector.counts,
        answers=callers.counts,
        accepted=len(ledger.accepted),
    )


async def watch_processes(fleet: Fleet, ledger: Ledger) -> None:
    """Note processes that end by themselves, and start them again as the platform would."""
    while True:
        for name in HOSTS:
            fleet.is_running(name)
        while fleet.ended_by_itself:
            text = fleet.ended_by_itself.pop()
            ledger.fail(text)
            fleet.start_host(text.partition(":")[0])
        await trio.sleep(WATCH_S)


async def check_recovery(
    fleet: Fleet, operators: Operators, callers: Callers, ledger: Ledger
) -> None:
    """Check after all faults that each kind of request is served and nothing accepted is lost."""
    with trio.move_on_after(RECOVERY_S):
        if not await operators.send_next(RECOVERY_S):
            ledger.fail("no configuration is accepted after the faults")
        for name in ENTRIES:
            for kind in MIX:
                await wait_until(partial(is_served, fleet, callers, name, kind))
        for name in CONTROL:
            await wait_until(partial(is_read_back, fleet, ledger, name))
        return
    ledger.fail("the site has not recovered after the faults")


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Ask for a condition until it holds."""
    async for _ in Timers().subscribe("soak", WATCH_S):
        if await condition():
            return


async def is_read_back(fleet: Fleet, ledger: Ledger, name: str) -> bool:
    """Check the configuration that a control host tells; False if it tells none."""
    reply = await call(fleet.operator_address(name), "GET", CONFIG_PATH)
    if reply is None or reply[0] != 200:
        return False
    ledger.check_configuration(version_of(reply[1]), reply[1])
    return True


async def is_served(fleet: Fleet, callers: Callers, name: str, kind: str) -> bool:
    """Tell whether an entry serves a request of a kind."""
    conn = await open_connection(fleet.request_address(name))
    if conn is None:
        return False
    served = callers.counts[f"{kind} 200"]
    try:
        await callers.ask(conn, name, kind)
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
    return callers.counts[f"{kind} 200"] > served

"""Runs random sequences of requests and faults on an in-memory fleet and checks the promises."""

from __future__ import annotations

import argparse
import hashlib
import logging
import random
from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio
import trio.testing

from marigoldtrail.testing.driver import ACCOUNTS, PIPELINES, RESTART_DELAY_S, Driver
from marigoldtrail.testing.operations import OPERATIONS, Step, build_steps
from marigoldtrail.testing.oracle import check

SETTLE_S = 20.0
MAX_SERVE_ATTEMPTS = 40
RETRY_PAUSE_S = 1.0
MAX_RECORD_ATTEMPTS = 10
VIEW_TIMEOUT_S = 60.0


class Verdict(msgspec.Struct, kw_only=True, frozen=True):
    """
    Result of a sequence.

    Parameters
    ----------
    broken : list of str
        One line for each broken promise.
    digest : str
        Digest of all requests, calls and replies; equal for all runs of the sequence.
    outcomes : dict of str to int
        Number of requests by outcome.
    """

    broken: list[str]
    digest: str
    outcomes: dict[str, int]


def run_steps(seed: int, steps: Sequence[Step], *, settle_s: float = SETTLE_S) -> Verdict:
    """
    Run a sequence on a new fleet, end the faults, and check the promises.

    Parameters
    ----------
    seed : int
        Seed of the fleet.
    steps : sequence of Step
        Operations to run.
    settle_s : float
        Time between the end of the faults and the check, in seconds.

    Returns
    -------
    Verdict
        Equal for all runs with the same arguments.
    """
    fix_schedule(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run_in_fleet, seed, list(steps), settle_s, clock=clock)


def fix_schedule(seed: int) -> None:
    """Make the order in which trio runs tasks depend on a seed only, as hypothesis-trio does."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc,attr-defined]
    trio._core._run._r.seed(seed)  # type: ignore[attr-defined]
    random.seed(seed)


async def run_in_fleet(seed: int, steps: list[Step], settle_s: float) -> Verdict:
    """Run a sequence in the running trio loop; see `run_steps`."""
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        driver = Driver(seed=seed, nursery=nursery)
        await driver.start()
        for step in steps:
            await OPERATIONS[step.name](driver, step)
            await driver.fleet.timers.sleep(step.pause_s)
        broken += await heal(driver, settle_s)
        broken += await check_serving(driver)
        for _ in range(MAX_RECORD_ATTEMPTS):
            await driver.collect_records()
            if not any(line.startswith("P1") for line in check(driver.history)):
                break
            await driver.fleet.timers.sleep(RETRY_PAUSE_S)
        broken += check(driver.history)
        nursery.cancel_scope.cancel()
    return build_verdict(driver, broken)


def build_verdict(driver: Driver, broken: list[str]) -> Verdict:
    """Return the verdict of a completed run."""
    outcomes: dict[str, int] = {}
    for req in driver.history.requests:
        name = f"{req.outcome} {req.run_state} {req.reason}".strip()
        outcomes[name] = outcomes.get(name, 0) + 1
    digest = hashlib.sha256(repr(driver.history).encode()).hexdigest()
    return Verdict(broken=broken, digest=digest, outcomes=outcomes)


async def heal(driver: Driver, settle_s: float) -> list[str]:
    """Wait for the faults to end, restore links, upstreams and hosts, and let the fleet settle."""
    fleet = driver.fleet
    with trio.move_on_after(240.0) as scope:
        while driver.active_count:
            await fleet.timers.sleep(0.25)
    if scope.cancelled_caught:
        return [f"fleet: {driver.active_count} requests or faults had not ended after 240 s"]
    for link in fleet.network._links.values():
        link.delay_s, link.jitter_s = (0.002 if link.delay_s else 0.0), 0.0
    for upstream in driver.upstreams:
        fault_switches = fleet.standin_fleet.standins[upstream.name].fault_switches
        for field in msgspec.structs.fields(fault_switches):
            setattr(fault_switches, field.name, field.default)
        driver.end_leaving(upstream.name)
    for host in driver.hosts:
        await driver.start_node(host)
    for kind, name in list(driver.service_numbers):
        await put_in_service(driver, kind, name)
    await fleet.timers.sleep(settle_s)
    if not await driver.wait_until_repaired():
        return ["fleet: a group had not all its members 60 s after the end of the faults"]
    return await wait_for_views(driver)


async def put_in_service(driver: Driver, kind: str, name: str) -> None:
    """Put a target back into service."""
    number = driver.service_numbers[kind, name] + 1
    for attempt in range(MAX_SERVE_ATTEMPTS):
        host = driver.hosts[attempt % len(driver.hosts)]
        sent = await driver.set_service(host, kind, name, "in", number)
        if sent is not None and sent.outcome in ("accepted", "repeated"):
            return
        await driver.fleet.timers.sleep(RETRY_PAUSE_S)


async def wait_for_views(driver: Driver) -> list[str]:
    """Wait until every node has a current view of the highest accepted manifest."""
    accepted = [
        item.number
        for item in driver.history.submissions
        if item.kind == "manifest" and item.outcome == "accepted"
    ]
    with trio.move_on_after(VIEW_TIMEOUT_S):
        while True:
            views = [node.parts.view for node in driver.fleet.nodes.values()]
            if all(view.is_current() and view.number >= max(accepted) for view in views):
                return []
            await driver.fleet.timers.sleep(RESTART_DELAY_S)
    return [f"fleet: a view was not current {VIEW_TIMEOUT_S:.0f} s after the end of the faults"]


async def check_serving(driver: Driver) -> list[str]:
    """Check that each entry answers a request of each pipeline again."""
    broken = []
    for host in driver.hosts:
        for pipeline in PIPELINES:
            for attempt in range(MAX_SERVE_ATTEMPTS):
                key = f"end-{host}-{pipeline}-{attempt}"
                req = await driver.request(host, pipeline, ACCOUNTS[0], key, key)
                if req is not None and req.outcome == "answer":
                    break
                await driver.fleet.timers.sleep(RETRY_PAUSE_S)
            else:
                reason = req.reason if req is not None else "no process"
                broken.append(f"fleet: {host} does not serve {pipeline} again: {reason}")
    return broken


def reduce_steps(seed: int, steps: list[Step], *, max_runs: int) -> list[Step]:
    """
    Remove steps from a failing sequence while a promise remains broken.

    Parameters
    ----------
    seed : int
        Seed of the fleet.
    steps : list of Step
        A failing sequence.
    max_runs : int
        Limit on the number of runs.

    Returns
    -------
    list of Step
        A failing sequence of at most the same length.
    """
    size = max(1, len(steps) // 2)
    while max_runs > 0:
        start = 0
        while start < len(steps) and max_runs > 0:
            shorter = steps[:start] + steps[start + size :]
            max_runs -= 1
            if run_steps(seed, shorter).broken:
                steps = shorter
            else:
                start += size
        if size == 1:
            break
        size //= 2
    return steps


def main(argv: Sequence[str]) -> int:
    """
    Run the command line of the fuzzer.

    Parameters
    ----------
    argv : sequence of str
        Arguments after ``fuzz``.

    Returns
    -------
    int
        Exit code: 0 if no promise was broken.
    """
    parser = argparse.ArgumentParser(prog="python -m marigoldtrail.testing fuzz")
    parser.add_argument("--seed", type=int, default=1, help="seed of the fleet and the sequence")
    parser.add_argument(
        "--steps", type=int, default=40, help="number of operations in the sequence"
    )
    parser.add_argument("--replay", type=Path, help="JSON file with a sequence to replay")
    parser.add_argument(
        "--reduce",
        type=int,
        default=0,
        help="maximum number of runs for reducing a failing sequence",
    )
    args = parser.parse_args(argv)
    logging.disable(logging.CRITICAL)
    steps = build_steps(random.Random(args.seed), args.steps)
    if args.replay is not None:
        steps = msgspec.json.decode(args.replay.read_bytes(), type=list[Step])
    verdict = run_steps(args.seed, steps)
    print(f"seed {args.seed}, {len(steps)} steps, digest {verdict.digest[:16]}")
    for name, count in sorted(verdict.outcomes.items()):
        print(f"  {count:5d} {name}")
    if not verdict.broken:
        print("no promise was broken")
        return 0
    print("\n".join(verdict.broken))
    if args.reduce:
        steps = reduce_steps(args.seed, steps, max_runs=args.reduce)
    print(f"sequence for --seed {args.seed} --replay FILE:")
    print(msgspec.json.encode(steps).decode())
    return 1

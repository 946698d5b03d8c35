"""Disks of control hosts that fail in turn beside changes, after the faults of a plan."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import trio

from bench.soak.callers import Operators
from bench.soak.faults import Injector
from bench.soak.faulty_host import DISK_FAULTS
from bench.soak.fleet import CONTROL
from bench.soak.ledger import Ledger
from bench.soak.plan import Fault

# Share of the seeds that play this, and of these in which two disks fail at once afterwards.
SEED_SHARE = 0.6
TWO_AT_ONCE_SHARE = 0.5
ALL_KILLED_SHARE = 0.5
RESTART_S = 0.2
KINDS = ("disk_full", "sync_full", "sync_error", "short_write", "failing_disk")
MIN_HOSTS, MAX_HOSTS = 3, 6
MIN_FAULT_S, MAX_FAULT_S = 0.5, 2.5
# Upper end of the time within which the platform wants a proper order to be acknowledged.
ACK_BOUND_S = 6.0


class TurnPlan(msgspec.Struct, kw_only=True, frozen=True):
    """
    Disks that fail one after the other, and then perhaps at once.

    Parameters
    ----------
    in_turn : list of Fault
        Faults that begin one when the other ends; ``at`` is not used.
    at_once : list of Fault
        Faults of two hosts that begin together; empty for none.
    """

    in_turn: list[Fault]
    at_once: list[Fault]


def draw_turns(seed: int, control: list[str]) -> TurnPlan:
    """
    Draw which disks fail in turn; they have a random number generator of their own.

    Parameters
    ----------
    seed : int
        Seed of the run.
    control : list of str
        The control hosts.

    Returns
    -------
    TurnPlan
        Empty if the seed plays none.
    """
    rng = random.Random(f"full disks {seed}")
    if rng.random() >= SEED_SHARE:
        return TurnPlan(in_turn=[], at_once=[])
    kind = rng.choice(KINDS)

    def draw(target: str) -> Fault:
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        return Fault(at=0.0, kind=kind, target=target, duration_s=duration_s)

    order = rng.sample(control, len(control))
    count = rng.randint(MIN_HOSTS, MAX_HOSTS)
    in_turn = [draw(order[number % len(order)]) for number in range(count)]
    has_two = rng.random() < TWO_AT_ONCE_SHARE
    return TurnPlan(
        in_turn=in_turn, at_once=[draw(name) for name in rng.sample(control, 2)] if has_two else []
    )


async def check_full_disks(
    seed: int, injector: Injector, operators: Operators, ledger: Ledger
) -> Counter[str]:
    """
    Let disks fail in turn and check that changes are acknowledged soon after the last.

    After two disks have failed at once, the caller checks that service returns and that nothing
    acknowledged is lost; no shorter bound holds for them.

    Parameters
    ----------
    seed : int
        Seed of the run.
    injector : Injector
        Injects the faults.
    operators : Operators
        Send changes all the time.
    ledger : Ledger
        Takes broken promises.

    Returns
    -------
    Counter
        Number of faults by kind.
    """
    turns = draw_turns(seed, CONTROL)
    counts: Counter[str] = Counter()
    if not turns.in_turn:
        return counts
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.run)
        for fault in turns.in_turn:
            counts[f"{fault.kind} in turn"] += 1
            await injector.inject(fault)
        nursery.cancel_scope.cancel()
    started = trio.current_time()
    if not await operators.send_next(ACK_BOUND_S):
        ledger.report_violation(
            f"no configuration is accepted within {ACK_BOUND_S:.0f} s after the last of"
            f" {len(turns.in_turn)} faults of kind {turns.in_turn[-1].kind} in turn"
        )
    counts["longest ms to accept after disks"] = round(1000 * (trio.current_time() - started))
    async with trio.open_nursery() as nursery:
        for fault in turns.at_once:
            counts[f"{fault.kind} at once"] += 1
            nursery.start_soon(injector.inject, fault)
        nursery.start_soon(send_during, operators, turns.at_once)
    return counts


def draw_restarts(seed: int, control: list[str]) -> list[Fault]:
    """
    Draw kills of control hosts whose disks fail; they have a random number generator of their own.

    Parameters
    ----------
    seed : int
        Seed of the run.
    control : list of str
        The control hosts.

    Returns
    -------
    list of Fault
        For each host a fault of its disk and a kill in the middle of it, which may overlap, then
        perhaps a kill of all hosts; empty if the seed plays none.
    """
    rng = random.Random(f"restarts {seed}")
    if rng.random() >= SEED_SHARE:
        return []
    plan = []
    at = 0.0
    for name in rng.sample(control, len(control)):
        fields = {"target": name, "duration_s": rng.uniform(MIN_FAULT_S, MAX_FAULT_S)}
        plan.append(Fault(at=at, kind=rng.choice(list(DISK_FAULTS)), **fields))
        kill_at = at + rng.uniform(0, plan[-1].duration_s)
        plan.append(Fault(at=kill_at, kind="kill", target=name, duration_s=RESTART_S))
        at += rng.uniform(0, MAX_FAULT_S)
    if rng.random() < ALL_KILLED_SHARE:
        end = max(fault.at + fault.duration_s for fault in plan)
        plan.append(Fault(at=end, kind="kill", target="hosts", duration_s=RESTART_S))
    return sorted(plan, key=lambda fault: fault.at)


async def play_restarts(seed: int, injector: Injector, operators: Operators) -> None:
    """Kill control hosts while their disks fail, and start them with these, beside changes."""
    plan = draw_restarts(seed, CONTROL)
    if not plan:
        return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.run)
        await injector.run(plan)
        nursery.cancel_scope.cancel()


async def send_during(operators: Operators, faults: list[Fault]) -> None:
    """Send changes until the last of some faults that begin now ends."""
    with trio.move_on_after(max((fault.duration_s for fault in faults), default=0.0)):
        await operators.run()

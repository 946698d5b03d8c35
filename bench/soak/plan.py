"""Draws a plan of faults from a seed."""

from __future__ import annotations

import random

import msgspec

from bench.soak.faulty_host import DISK_FAULTS

# Weights of the kinds; faults of one process or link, and series of them, are the most frequent.
HOST_KINDS = {
    "kill": 4,
    "term": 3,
    "pause": 4,
    "reload": 2,
    "reset": 3,
    "cut": 3,
    "delay": 2,
    "silence": 2,
    "hold_requests": 2,
    "hold_answers": 2,
}
CONTROL_KINDS = {"torn_write": 2, "disk_full": 2, "wipe": 1}
UPSTREAM_KINDS = {"restart": 4, "leave": 2, "reset": 3, "cut": 2, "delay": 2, "silence": 2}
SERIES_SHARE = 0.25
POWER_LOSS_SHARE = 0.4
MEAN_GAP_S = 0.9
MAX_FAULT_S = 3.0
MIN_FAULT_S = 0.2
# A site tolerates the loss of one disk at a time, and the host needs time to catch up.
MAX_WIPES = 1
# Limits of upstreams last long enough that the count begins while they hold.
MAX_LIMITS = 3
MIN_LIMIT_S = 4.0
MAX_LIMIT_S = 9.0
LIMITS_PER_S = (0.5, 1.0, 2.0, 5.0)
# Failing calls on the disks of control hosts.
MAX_DISK_FAULTS = 5
# Signals to hosts in series; a stop lasts longer than the gap, so that stops overlap.
SIGNAL_KINDS = {"term": 3, "term_twice": 2, "reload": 3, "kill": 2}
SIGNALS_SHARE = 0.5
MIN_SIGNALS, MAX_SIGNALS = 3, 8
SIGNAL_GAP_S = 0.6
SMALL_FILES_SHARE = 0.5


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """
    One fault.

    Parameters
    ----------
    at : float
        Seconds from the start of the plan.
    kind : str
        Kind of the fault.
    target : str
        Host or upstream; ``"hosts"`` for all hosts.
    duration_s : float
        Seconds until it ends, or until a process is started again.
    requests_per_s : float
        Requests a second that a limited upstream takes.
    """

    at: float
    kind: str
    target: str
    duration_s: float
    requests_per_s: float = 0.0


def make_plan(
    seed: int, seconds: float, *, control: list[str], entries: list[str], upstreams: list[str]
) -> list[Fault]:
    """
    Draw a plan of faults.

    Parameters
    ----------
    seed : int
        Seed of the plan; equal seeds give equal plans.
    seconds : float
        Time during which faults begin, in seconds.
    control, entries, upstreams : list of str
        Possible targets of faults.

    Returns
    -------
    list of Fault
        Faults in the order of their times; they may overlap.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    wipes = 0
    at = rng.uniform(0.2, 1.0)
    while at < seconds:
        kinds = dict(HOST_KINDS) if rng.random() < 0.65 else dict(UPSTREAM_KINDS)
        targets = upstreams
        if "kill" in kinds:
            is_control = rng.random() < 0.6
            targets = control if is_control else entries
            kinds.update(CONTROL_KINDS if is_control else {})
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        if kind == "wipe":
            wipes += 1
            kind = "wipe" if wipes <= MAX_WIPES else "kill"
        count = rng.randint(2, 4) if rng.random() < SERIES_SHARE and kind != "wipe" else 1
        for _ in range(count):
            duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            plan.append(Fault(at=at, kind=kind, target=rng.choice(targets), duration_s=duration_s))
            at += rng.expovariate(4 / MEAN_GAP_S) if count > 1 else 0.0
        at += rng.expovariate(1 / MEAN_GAP_S)
    if rng.random() < POWER_LOSS_SHARE:
        plan.append(
            Fault(at=seconds, kind="kill", target="hosts", duration_s=rng.uniform(0.2, 1.0))
        )
    plan += draw_limits(seed, seconds, upstreams)
    plan += draw_disk_faults(seed, seconds, control)
    plan += draw_signals(seed, seconds, control + entries)
    return sorted(plan, key=lambda fault: fault.at)


def draw_limits(seed: int, seconds: float, upstreams: list[str]) -> list[Fault]:
    """
    Draw the times at which upstreams limit their requests.

    They have a random number generator of their own, so that the other faults of a seed that has
    failed once stay as they were.
    """
    rng = random.Random(f"limits {seed}")
    return [
        Fault(
            at=rng.uniform(0, seconds / 2),
            kind="limit",
            target=rng.choice(upstreams),
            duration_s=rng.uniform(MIN_LIMIT_S, MAX_LIMIT_S),
            requests_per_s=rng.choice(LIMITS_PER_S),
        )
        for _ in range(rng.randint(0, MAX_LIMITS))
    ]


def draw_disk_faults(seed: int, seconds: float, control: list[str]) -> list[Fault]:
    """Draw failing calls on disks, with a random number generator of their own."""
    rng = random.Random(f"disks {seed}")
    return [
        Fault(
            at=rng.uniform(0, seconds),
            kind=rng.choice(list(DISK_FAULTS)),
            target=rng.choice(control),
            duration_s=rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
        )
        for _ in range(rng.randint(0, MAX_DISK_FAULTS))
    ]


def draw_signals(seed: int, seconds: float, hosts: list[str]) -> list[Fault]:
    """Draw a series of signals to hosts, with a random number generator of their own."""
    rng = random.Random(f"signals {seed}")
    plan: list[Fault] = []
    if rng.random() >= SIGNALS_SHARE:
        return plan
    at = rng.uniform(0, seconds / 2)
    for _ in range(rng.randint(MIN_SIGNALS, MAX_SIGNALS)):
        kind = rng.choices(list(SIGNAL_KINDS), list(SIGNAL_KINDS.values()))[0]
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        plan.append(Fault(at=at, kind=kind, target=rng.choice(hosts), duration_s=duration_s))
        at += rng.expovariate(1 / SIGNAL_GAP_S)
    return plan


def draw_small_files(seed: int) -> bool:
    """Draw whether logs consist of small files, with a random number generator of its own."""
    return random.Random(f"files {seed}").random() < SMALL_FILES_SHARE

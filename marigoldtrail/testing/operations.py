"""Operations of a fuzzing sequence: requests, faults and changes by operators."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from marigoldtrail.testing.driver import ACCOUNTS, PIPELINES, Driver

MAX_VALUE = 999
MAX_PAUSE_S = 1.5
MAX_BURST = 12
SHARED_KEY_COUNT = 40
# Shorter than the longest grant of 12 s, so that a claim or slot outlives a stall.
MAX_STALL_S = 5.0
WALL_JUMPS_S = (-3600.0, -60.0, -5.0, 5.0, 60.0, 3600.0)


class Step(msgspec.Struct, frozen=True):
    """
    One operation of a sequence.

    Parameters
    ----------
    name : str
        Name of the operation.
    a, b, c : int
        Parameters of the operation, from 0 to `MAX_VALUE`.
    pause_s : float
        Time before the next operation in seconds.
    """

    name: str
    a: int
    b: int
    c: int
    pause_s: float


Operation = Callable[[Driver, Step], Awaitable[None]]


def pick(items: Any, value: int) -> Any:
    """Map a parameter to an item."""
    return items[value % len(items)]


def scale_seconds(value: int, least: float, most: float) -> float:
    """Map a parameter to a duration in a range."""
    return least + (most - least) * value / MAX_VALUE


async def send_burst(driver: Driver, step: Step) -> None:
    """Send requests with new keys through several entries."""
    for index in range(1 + step.c % MAX_BURST):
        account = pick(ACCOUNTS, step.b + index)
        pipeline = pick(PIPELINES, step.a + index)
        number = len(driver.history.requests)
        # Several accounts share keys, so that results returned to the wrong account are detected.
        key = f"k{number}" if (step.b + index) % 4 else f"shared-{number % SHARED_KEY_COUNT}"
        body = f"{account} asks {number} " + "word " * (step.c % 40)
        host = pick(driver.hosts, step.a + 7 * index)
        stream = pipeline == "design_brief" and (step.b + index) % 2 == 0
        driver.start_soon(send_one, driver, host, pipeline, account, key, body, stream)


async def send_one(
    driver: Driver, host: str, pipeline: str, account: str, key: str, body: str, stream: bool
) -> None:
    """Send one request."""
    await driver.request(host, pipeline, account, key, body, stream=stream)


async def send_orders(driver: Driver, step: Step) -> None:
    """Send several orders at once."""
    for index in range(1 + step.c % MAX_BURST):
        account = pick(ACCOUNTS, step.b + index)
        number = len(driver.history.requests)
        host = pick(driver.hosts, step.a + index)
        body = f"order {number}"
        driver.start_soon(send_one, driver, host, PIPELINES[0], account, f"o{number}", body, False)


async def repeat_key(driver: Driver, step: Step) -> None:
    """Repeat a recent order concurrently through other entries, sometimes with another body."""
    orders = [item for item in driver.history.requests if item.pipeline == PIPELINES[0]]
    if not orders:
        return
    old = pick(orders[-8:], step.a)
    for index in range(1 + step.c % 3):
        host = pick(driver.hosts, step.b + index)
        body = old.body if (step.b + index) % 5 else f"{old.body} changed"
        driver.start_soon(send_one, driver, host, old.pipeline, old.account, old.key, body, False)


async def kill_node(driver: Driver, step: Step) -> None:
    """Kill a process and start it again."""
    driver.start_soon(restart, driver, pick(driver.hosts, step.a), step, step.b % 2 == 0)


async def restart(driver: Driver, host: str, step: Step, torn: bool) -> None:
    """Kill a process and start it again after a delay."""
    if host in driver.down_hosts:
        return
    driver.down_hosts.add(host)
    await driver.kill(host, torn=torn)
    await driver.fleet.timers.sleep(scale_seconds(step.c, 0.0, 12.0))
    await driver.start_node(host)
    driver.down_hosts.discard(host)


async def replace_disk(driver: Driver, step: Step) -> None:
    """Replace the disk of a control host, and sometimes that of a second one after the repair."""
    if not driver.is_repaired() or driver.down_hosts & set(driver.fleet.disks):
        return
    driver.start_soon(replace_disks, driver, step)


async def replace_disks(driver: Driver, step: Step) -> None:
    """Replace disks one after the other, each after the previous one is repaired."""
    hosts = list(driver.fleet.disks)
    # Excludes other faults of control hosts: the log does not tolerate two lost disks at once.
    driver.down_hosts.update(hosts)
    for index in range(1 + step.b % 2):
        host = pick(hosts, step.a + index)
        await driver.kill(host, torn=False)
        driver.fleet.replace_disk(host)
        await driver.start_node(host)
        if not await driver.wait_until_repaired():
            break
    driver.down_hosts.difference_update(hosts)


async def isolate(driver: Driver, step: Step) -> None:
    """Partition a host in one or both directions, or from the other hosts only."""
    driver.start_soon(isolate_host, driver, step)


async def isolate_host(driver: Driver, step: Step) -> None:
    """Partition a host for some time."""
    host = pick(driver.hosts, step.a)
    mode = step.b % 4
    driver.fleet.isolate(host, inbound=mode != 1, outbound=mode != 2)
    if mode == 3:
        for other in driver.upstream_ips():
            driver.fleet.network.restore(driver.fleet.ip_of(host), other)
    await driver.fleet.timers.sleep(scale_seconds(step.c, 0.5, 20.0))
    driver.restore_links(host)


async def stall_host(driver: Driver, step: Step) -> None:
    """Partition a host in both directions for at most a few seconds."""
    driver.start_soon(isolate_host, driver, msgspec.structs.replace(step, b=0, c=step.c // 4))


async def delay_links(driver: Driver, step: Step) -> None:
    """Set the delay and jitter of the links of a host."""
    ip = driver.fleet.ip_of(pick(driver.hosts, step.a))
    for other in [*map(driver.fleet.ip_of, driver.hosts), *driver.upstream_ips()]:
        if other != ip:
            for link in (
                driver.fleet.network.link(ip, other),
                driver.fleet.network.link(other, ip),
            ):
                link.delay_s = scale_seconds(step.b, 0.002, 0.1)
                link.jitter_s = scale_seconds(step.c, 0.0, 0.1)


async def kill_upstream(driver: Driver, step: Step) -> None:
    """Kill an upstream and start a cold instance."""
    driver.start_soon(kill_and_revive, driver, pick(driver.upstreams, step.a).name, step)


async def kill_and_revive(driver: Driver, name: str, step: Step) -> None:
    """Kill an upstream and start its next instance after a delay."""
    driver.fleet.standin_fleet.get_process(name).kill()
    await driver.fleet.timers.sleep(scale_seconds(step.c, 0.0, 6.0) if step.b % 3 else 0.0)
    driver.fleet.standin_fleet.get_process(name).start_next_instance()


async def stall_upstream(driver: Driver, step: Step) -> None:
    """Let an upstream accept calls without answering until it is restarted."""
    driver.start_soon(restart_stalled, driver, pick(driver.upstreams, step.a).name, step)


async def restart_stalled(driver: Driver, name: str, step: Step) -> None:
    """Stall an upstream for some time, then restart it."""
    fault_switches = driver.fleet.standin_fleet.standins[name].fault_switches
    fault_switches.stalled = True
    await driver.fleet.timers.sleep(scale_seconds(step.c, 0.5, MAX_STALL_S))
    fault_switches.stalled = False
    driver.fleet.standin_fleet.get_process(name).restart()


async def slow_upstream(driver: Driver, step: Step) -> None:
    """Slow an upstream down."""
    driver.start_soon(slow_temporarily, driver, pick(driver.upstreams, step.a).name, step)


async def slow_temporarily(driver: Driver, name: str, step: Step) -> None:
    """Delay the answers of an upstream for some time."""
    fault_switches = driver.fleet.standin_fleet.standins[name].fault_switches
    fault_switches.delay_s = scale_seconds(step.b, 0.1, 4.0)
    await driver.fleet.timers.sleep(scale_seconds(step.c, 1.0, 10.0))
    fault_switches.delay_s = 0.0


async def turn_cold(driver: Driver, step: Step) -> None:
    """Turn an upstream cold, with or without a new instance."""
    name = pick(driver.upstreams, step.a).name
    if step.b % 2:
        driver.turn_cold(name)
    else:
        driver.fleet.standin_fleet.get_process(name).restart()


async def spoil_answers(driver: Driver, step: Step) -> None:
    """Let an upstream lose, swap, duplicate or repeat answers."""
    fault_switches = driver.fleet.standin_fleet.standins[
        pick(driver.upstreams, step.a).name
    ].fault_switches
    name = pick(("lose_answers", "swap_answers", "double_answers", "repeat_answers"), step.b)
    setattr(fault_switches, name, 1 + step.c % 4)


async def break_streams(driver: Driver, step: Step) -> None:
    """Let an engine break its streams after some tokens."""
    engines = [item for item in driver.upstreams if item.kind == "engine"]
    fault_switches = driver.fleet.standin_fleet.standins[pick(engines, step.a).name].fault_switches
    fault_switches.break_after_tokens = step.b % 10


async def leave_upstream(driver: Driver, step: Step) -> None:
    """Let an upstream that reports its load announce that it is leaving."""
    reporting = [item.name for item in driver.upstreams if item.reports_load]
    driver.start_soon(leave_temporarily, driver, pick(reporting, step.a), step)


async def leave_temporarily(driver: Driver, name: str, step: Step) -> None:
    """Let an upstream announce that it is leaving, and replace it after a delay."""
    driver.begin_leaving(name)
    await driver.fleet.timers.sleep(scale_seconds(step.c, 5.0, 15.0))
    driver.end_leaving(name)


async def take_out(driver: Driver, step: Step) -> None:
    """Take a data centre or an upstream out of service or back in."""
    centres = [("data_centre", name) for name in ("nbo-1", "nbo-2", "nbo-3")]
    kind, name = pick(centres, step.a)
    if step.b % 3 == 0:
        kind, name = "upstream", pick(driver.upstreams, step.a).name
    number = driver.service_numbers[kind, name] + 1
    state = "in" if step.b % 4 == 3 else "out"
    host = pick(driver.hosts, step.c)
    driver.start_soon(driver.set_service, host, kind, name, state, number)
    if step.c % 5 == 0:
        # Another operator submits the same number concurrently, and the first one retries.
        other = pick(driver.hosts, step.c + 1)
        driver.start_soon(driver.set_service, other, kind, name, "in", number)
        driver.start_soon(driver.set_service, other, kind, name, state, number)


async def submit(driver: Driver, step: Step) -> None:
    """Submit a new manifest, sometimes with a conflicting one, a copy or an older one."""
    number = driver.manifest_number + 1
    host = pick(driver.hosts, step.a)
    driver.start_soon(driver.submit_manifest, host, number, step.b % 5)
    if step.c % 3 == 0:
        other = pick(driver.hosts, step.a + 1)
        driver.start_soon(driver.submit_manifest, other, number, 5 + step.b % 5)
        driver.start_soon(driver.submit_manifest, other, number, step.b % 5)
    if step.c % 3 == 1:
        driver.start_soon(driver.submit_manifest, host, max(1, number - 2), 9)


async def drain_node(driver: Driver, step: Step) -> None:
    """Shut a node down gracefully under load and start it again."""
    driver.start_soon(drain_and_start, driver, pick(driver.hosts, step.a))


async def drain_and_start(driver: Driver, host: str) -> None:
    """Shut a node down gracefully and start it again."""
    if host in driver.down_hosts or host not in driver.fleet.nodes:
        return
    driver.down_hosts.add(host)
    await driver.drain(host)
    await driver.start_node(host)
    driver.down_hosts.discard(host)


async def spoil_disk(driver: Driver, step: Step) -> None:
    """Let a disk be full or fail to sync, then restart the host with a working disk."""
    driver.start_soon(fail_disk_temporarily, driver, pick(list(driver.fleet.disks), step.a), step)


async def fail_disk_temporarily(driver: Driver, host: str, step: Step) -> None:
    """Let a disk fail for some time, then restart its host."""
    if host in driver.down_hosts:
        return
    driver.down_hosts.add(host)
    disk = driver.fleet.disks[host]
    if step.b % 2:
        disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) + step.b
    else:
        disk.fail_syncs = True
    await driver.fleet.timers.sleep(scale_seconds(step.c, 0.5, 8.0))
    await driver.kill(host, torn=step.c % 2 == 0)
    disk.capacity_bytes, disk.fail_syncs = None, False
    await driver.start_node(host)
    driver.down_hosts.discard(host)


async def jump_wall(driver: Driver, step: Step) -> None:
    """Set the wall clock of a host to a wrong time."""
    driver.fleet.wall_offsets[pick(driver.hosts, step.a)] = pick(WALL_JUMPS_S, step.b)


OPERATIONS: dict[str, Operation] = {
    "send_burst": send_burst,
    "send_orders": send_orders,
    "repeat_key": repeat_key,
    "kill_node": kill_node,
    "replace_disk": replace_disk,
    "isolate": isolate,
    "stall_host": stall_host,
    "delay_links": delay_links,
    "kill_upstream": kill_upstream,
    "stall_upstream": stall_upstream,
    "slow_upstream": slow_upstream,
    "turn_cold": turn_cold,
    "spoil_answers": spoil_answers,
    "break_streams": break_streams,
    "leave_upstream": leave_upstream,
    "take_out": take_out,
    "submit": submit,
    "drain_node": drain_node,
    "spoil_disk": spoil_disk,
    "jump_wall": jump_wall,
}
# Requests are frequent, so that requests are in progress during every fault.
WEIGHTS = {"send_burst": 10, "send_orders": 8, "repeat_key": 6}


def build_steps(rng: random.Random, count: int) -> list[Step]:
    """
    Draw a random sequence of operations.

    Parameters
    ----------
    rng : random.Random
        Source of randomness; hypothesis may provide it.
    count : int
        Number of steps.

    Returns
    -------
    list of Step
        The operations in order.
    """
    names = [name for name in OPERATIONS for _ in range(WEIGHTS.get(name, 1))]
    return [
        Step(
            rng.choice(names),
            rng.randint(0, MAX_VALUE),
            rng.randint(0, MAX_VALUE),
            rng.randint(0, MAX_VALUE),
            rng.randint(0, 15) / 15 * MAX_PAUSE_S,
        )
        for _ in range(count)
    ]

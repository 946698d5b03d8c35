"""Faults of the matrix, each injected when a step is reached."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.standins.process import Process
from marigoldtrail.testing.fault_cell import (
    ENTRY,
    Cell,
    links_between,
    other_ips,
    upstream_ips,
    used_bytes,
)
from marigoldtrail.testing.taps import Forward, Point

# Longer than every timeout of a call between nodes and than the deadline of a request.
LATE_DELAY_S = 6.0
DUPLICATE_DELAY_S = 1.0
# Long enough that later messages of the same sender arrive first.
REORDER_DELAY_S = 0.4
UPSTREAM_DELAY_S = 3.0
RESTART_DELAY_S = 0.5
WALL_JUMP_S = 3600.0
REPAIR_TIMEOUT_S = 30.0
# A node without Sync is considered dead after 10 s.
DEAD_AFTER_S = 11.0
STALLED_SYNC_DELAY_S = 6.0

Fault = Callable[[Cell, Point, Forward, str], Awaitable[Any]]
Disturbance = Callable[[Cell, Point, str], None]


async def lose_message(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Drop the message."""
    return None if point.kind == "caller" else await trio.sleep_forever()


async def delay_message(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Deliver the message after its sender has timed out, so that its answer is discarded."""
    if point.kind != "peer":
        await cell.fleet.timers.sleep(LATE_DELAY_S)
        return await forward()
    cell.nursery.start_soon(forward_later, cell, forward, LATE_DELAY_S)
    return await trio.sleep_forever()


async def duplicate_message(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Deliver the message twice; let an upstream answer twice."""
    if point.kind == "upstream":
        cell.fleet.standin_fleet.standins[point.receiver].fault_switches.double_answers += 1
        return await forward()
    cell.nursery.start_soon(forward_later, cell, forward, DUPLICATE_DELAY_S)
    return await forward()


async def reorder_message(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Deliver later messages first; let an upstream return the answer to another request."""
    if point.kind == "upstream":
        cell.fleet.standin_fleet.standins[point.receiver].fault_switches.swap_answers += 1
    else:
        await cell.fleet.timers.sleep(REORDER_DELAY_S)
    return await forward()


async def lose_answer(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Let the message take effect and drop its answer."""
    if point.kind == "upstream":
        cell.fleet.standin_fleet.standins[point.receiver].fault_switches.lose_answers += 1
        return await forward()
    await forward()
    return None if point.kind == "caller" else await trio.sleep_forever()


async def lose_answer_and_entry(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Let the message take effect, drop its answer and kill the entry."""
    result = await forward_without_answer(cell, point, forward)
    cell.kill(ENTRY)
    return result


async def lose_message_and_leader(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Drop the message and kill the leader of the group at the same time."""
    cell.kill(cell.leader_of(group))
    return await lose_message(cell, point, forward, group)


async def lose_answer_and_leader(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Let the message take effect, drop its answer and kill the leader of the group."""
    result = await forward_without_answer(cell, point, forward)
    cell.kill(cell.leader_of(group))
    return result


async def cut_entry_and_kill_leader(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
    """Partition the entry silently and kill the leader of the group."""
    cell.fleet.isolate(ENTRY)
    cell.kill(cell.leader_of(group))
    return await forward()


async def forward_without_answer(cell: Cell, point: Point, forward: Forward) -> Any:
    """Forward the call and drop its answer, without waiting for its caller to time out."""
    if point.kind == "upstream":
        cell.fleet.standin_fleet.standins[point.receiver].fault_switches.lose_answers += 1
    result = await forward()
    return None if point.kind != "peer" else result


async def forward_later(cell: Cell, forward: Forward, delay_s: float) -> None:
    """Forward a message after a delay; its receiver may have been killed meanwhile."""
    await cell.fleet.timers.sleep(delay_s)
    try:
        await forward()
    except RuntimeError as exc:
        cell.note(f"a late message found a stopped receiver ({exc})")


def control_of(cell: Cell, point: Point, group: str) -> str:
    """Return the control host affected by a fault: the receiver, else the leader of the group."""
    return point.receiver if point.receiver in cell.fleet.disks else cell.leader_of(group)


def process_of(cell: Cell, point: Point) -> Process | None:
    """Return the process of the upstream that the step calls; None for other steps."""
    return (
        cell.fleet.standin_fleet.get_process(point.receiver) if point.kind == "upstream" else None
    )


def kill_entry(cell: Cell, point: Point, group: str) -> None:
    """Kill the process of the entry."""
    cell.kill(ENTRY)


def kill_receiver(cell: Cell, point: Point, group: str) -> None:
    """Kill the receiver, or the leader of the group if the receiver is no control host."""
    process = process_of(cell, point)
    if process is not None:
        process.kill(warm_next=True)
    else:
        cell.kill(control_of(cell, point, group))


def cut_receiver(cell: Cell, point: Point, *, inbound: bool, outbound: bool, group: str) -> None:
    """Partition the receiver; upstreams are cut off from the entry only."""
    if point.kind != "upstream":
        host = control_of(cell, point, group)
        cell.fleet.isolate(host, inbound=inbound, outbound=outbound)
        return
    entry = cell.fleet.ip_of(ENTRY)
    for ip in upstream_ips(cell.fleet):
        if inbound:
            cell.fleet.network.cut(entry, ip, both_ways=False)
        if outbound:
            cell.fleet.network.cut(ip, entry, both_ways=False)


def cut_both_ways(cell: Cell, point: Point, group: str) -> None:
    """Partition the receiver silently in both directions."""
    cut_receiver(cell, point, inbound=True, outbound=True, group=group)


def cut_inbound(cell: Cell, point: Point, group: str) -> None:
    """Partition the receiver silently, for incoming messages only."""
    cut_receiver(cell, point, inbound=True, outbound=False, group=group)


def cut_outbound(cell: Cell, point: Point, group: str) -> None:
    """Partition the receiver silently, for outgoing messages only."""
    cut_receiver(cell, point, inbound=False, outbound=True, group=group)


def cut_entry(cell: Cell, point: Point, group: str) -> None:
    """Partition the entry silently in both directions."""
    cell.fleet.isolate(ENTRY)


def stall_receiver(cell: Cell, point: Point, group: str) -> None:
    """Let the receiver neither answer nor write for some seconds."""
    if point.kind == "upstream":
        cell.fleet.standin_fleet.standins[point.receiver].fault_switches.stalled = True
        return
    host = control_of(cell, point, group)
    cell.fleet.isolate(host)
    cell.fleet.disks[host].sync_delay_s = STALLED_SYNC_DELAY_S


def slow_upstreams(cell: Cell, point: Point, group: str) -> None:
    """Delay the answers of every upstream by `UPSTREAM_DELAY_S`."""
    for standin in cell.fleet.standin_fleet.standins.values():
        standin.fault_switches.delay_s = UPSTREAM_DELAY_S


def slow_links(cell: Cell, point: Point, group: str) -> None:
    """Add delay and jitter to the links of the entry."""
    entry = cell.fleet.ip_of(ENTRY)
    for other in other_ips(cell.fleet, ENTRY):
        for link in links_between(cell.fleet, entry, other):
            link.delay_s, link.jitter_s = 0.3, 0.5


def restart_upstreams(cell: Cell, point: Point, group: str) -> None:
    """Restart every service cold, which breaks its connections."""
    for name in cell.booking_upstreams():
        cell.fleet.standin_fleet.get_process(name).restart()


def turn_upstreams_cold(cell: Cell, point: Point, group: str) -> None:
    """Turn every service cold without ending its process or connections."""
    for name in cell.booking_upstreams():
        cell.fleet.standin_fleet.get_process(name).turn_cold()


def fill_disk(cell: Cell, point: Point, group: str) -> None:
    """Fill the disk of the control host."""
    disk = cell.fleet.disks[control_of(cell, point, group)]
    disk.capacity_bytes = used_bytes(disk)


def fail_fsync(cell: Cell, point: Point, group: str) -> None:
    """Let every fsync of the control host fail."""
    cell.fleet.disks[control_of(cell, point, group)].fail_syncs = True


def tear_write(cell: Cell, point: Point, group: str) -> None:
    """Let the control host lose power while a part of its unsynced bytes reaches the disk."""
    host = control_of(cell, point, group)
    cell.kill(host, torn=True)
    cell.nursery.start_soon(restart_host, cell, host)


def corrupt_record(cell: Cell, point: Point, group: str) -> None:
    """Restart the control host with one bit inverted in the middle of its log."""
    host = control_of(cell, point, group)
    cell.kill(host)
    disk = cell.fleet.disks[host]
    name = max(name for name in disk.files if name.startswith(f"{group}/log/"))
    disk.flip_bit(name, len(disk.files[name].data) // 2)
    cell.nursery.start_soon(restart_host, cell, host)


def replace_host(cell: Cell, point: Point, group: str) -> None:
    """Replace the control host by one with an empty disk."""
    host = control_of(cell, point, group)
    cell.kill(host)
    cell.fleet.replace_disk(host)
    cell.nursery.start_soon(restart_host, cell, host)


def lose_second_host(cell: Cell, point: Point, group: str) -> None:
    """Replace the control host by an empty one and, once it is repaired, a second one as well."""
    first = control_of(cell, point, group)
    second = next(host for host in sorted(cell.fleet.disks) if host != first)
    replace_host(cell, point, group)
    cell.nursery.start_soon(replace_after_repair, cell, first, second)


async def replace_after_repair(cell: Cell, first: str, second: str) -> None:
    """Replace a second host as soon as the first one is a voter of every group again."""
    with trio.move_on_after(REPAIR_TIMEOUT_S) as scope:
        async for _ in cell.fleet.timers.subscribe("testing.repair", 0.1):
            if is_voter(cell, first):
                break
    cell.check(not scope.cancelled_caught, f"{first} is not repaired after {REPAIR_TIMEOUT_S} s")
    cell.note(f"{first} was repaired; {second} lost its disk right after")
    cell.kill(second)
    cell.fleet.replace_disk(second)
    await restart_host(cell, second)


def is_voter(cell: Cell, host: str) -> bool:
    """Return whether every group lists the present storage id of a host as a voter."""
    node = cell.fleet.nodes.get(host)
    if node is None or node.control is None:
        return False
    for group in node.control.groups.values():
        identity = group.identify()
        if isinstance(identity, Failure):
            return False
        if not any(voter.storage_id == identity.storage_id for voter in identity.voters):
            return False
    return True


async def restart_host(cell: Cell, host: str) -> None:
    """Start a host again after `RESTART_DELAY_S`."""
    await cell.fleet.timers.sleep(RESTART_DELAY_S)
    await cell.start_host(host)


def keep_stale_list(cell: Cell, point: Point, group: str) -> None:
    """Kill a control host that the platform continues to list as live."""
    host = control_of(cell, point, group)
    cell.kill(host)
    cell.nursery.start_soon(expect_not_live, cell, host)


async def expect_not_live(cell: Cell, host: str) -> None:
    """Check that the leader's own evidence takes precedence over the platform's list."""
    await cell.fleet.timers.sleep(DEAD_AFTER_S / 2)
    for name, node in cell.fleet.nodes.items():
        status = node.parts.view.node_status(host)
        # Without a quorum no view changes; views expire instead, and their nodes admit nothing.
        lapsed = not node.parts.view.is_current()
        cell.check(
            host in cell.fleet.nodes or lapsed or status is None or status.state != "live",
            f"{name} follows the stale platform list, on which {host} is live",
        )


def race_operators(cell: Cell, point: Point, group: str) -> None:
    """Submit different manifests with the same number from two operators at the same time."""
    cell.nursery.start_soon(cell.submit, 5, "h1", 2.0, "operator-a")
    cell.nursery.start_soon(cell.submit, 5, "h2", 3.0, "operator-b")


def resend_orders(cell: Cell, point: Point, group: str) -> None:
    """Submit the same manifest twice, through two entries."""
    cell.nursery.start_soon(cell.submit, 6, "h1", 2.0, "operator-a")
    cell.nursery.start_soon(cell.submit, 6, "h2", 2.0, "operator-a")


def jump_clocks(cell: Cell, point: Point, group: str) -> None:
    """Move the wall clock of the control host ahead and that of the entry back."""
    for host, jump_s in ((control_of(cell, point, group), WALL_JUMP_S), (ENTRY, -WALL_JUMP_S)):
        cell.fleet.wall_offsets[host] = jump_s


def take_data_centre_out(cell: Cell, point: Point, group: str) -> None:
    """Take the data centre of the entry out of service."""
    data_centre = cell.fleet.settings[ENTRY].data_centre
    cell.nursery.start_soon(cell.take_out, "data_centre", data_centre, "out", 1, "h2")


def make_fault(disturb: Disturbance) -> Fault:
    """Return the fault that applies a disturbance and then forwards the message of the step."""

    async def fault(cell: Cell, point: Point, forward: Forward, group: str) -> Any:
        disturb(cell, point, group)
        # A process killed by the disturbance is cancelled here and forwards nothing.
        await trio.lowlevel.checkpoint()
        return await forward()

    fault.__doc__ = disturb.__doc__
    return fault


def combine(first: Disturbance, second: Disturbance) -> Fault:
    """Return the fault that applies two disturbances at the same time."""

    def disturb(cell: Cell, point: Point, group: str) -> None:
        first(cell, point, group)
        second(cell, point, group)

    return make_fault(disturb)


def fill_other_disk(cell: Cell, point: Point, group: str) -> None:
    """Fill the disk of a second control host."""
    first = control_of(cell, point, group)
    disk = next(cell.fleet.disks[host] for host in sorted(cell.fleet.disks) if host != first)
    disk.capacity_bytes = used_bytes(disk)


MESSAGE_FAULTS: dict[str, Fault] = {
    "message lost": lose_message,
    "message delayed": delay_message,
    "message doubled": duplicate_message,
    "message reordered": reorder_message,
    "answer lost after the effect": lose_answer,
}
STATE_FAULTS: dict[str, Disturbance] = {
    "entry dies": kill_entry,
    "receiver dies": kill_receiver,
    "receiver cut off both ways": cut_both_ways,
    "receiver cut off inbound": cut_inbound,
    "receiver cut off outbound": cut_outbound,
    "entry cut off": cut_entry,
    "receiver stalled": stall_receiver,
    "upstreams slow": slow_upstreams,
    "links of the entry straggle": slow_links,
    "upstreams restarted cold": restart_upstreams,
    "upstreams turned cold": turn_upstreams_cold,
    "disk full": fill_disk,
    "fsync fails": fail_fsync,
    "torn write": tear_write,
    "corrupt record": corrupt_record,
    "host replaced empty": replace_host,
    "second host lost after a repair": lose_second_host,
    "stale platform list": keep_stale_list,
    "operators race": race_operators,
    "orders resent": resend_orders,
    "wall clocks jump": jump_clocks,
    "data centre out": take_data_centre_out,
}
PAIRS: dict[str, Fault] = {
    "answer lost, entry dies": lose_answer_and_entry,
    "message lost, leader dies": lose_message_and_leader,
    "answer lost, leader dies": lose_answer_and_leader,
    "entry cut off, leader dies": cut_entry_and_kill_leader,
    "entry dies, receiver dies": combine(kill_entry, kill_receiver),
    "entry dies, upstreams restarted cold": combine(restart_upstreams, kill_entry),
    "operators race, receiver dies": combine(race_operators, kill_receiver),
    "data centre out, receiver dies": combine(take_data_centre_out, kill_receiver),
    "host replaced empty, second disk full": combine(replace_host, fill_other_disk),
}
FAULTS: dict[str, Fault] = {
    **MESSAGE_FAULTS,
    **{name: make_fault(disturb) for name, disturb in STATE_FAULTS.items()},
    **PAIRS,
}

"""Steps of the fault matrix: the workload that reaches a step, and the message that marks it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio

from marigoldtrail.slots import MAX_GRANT_S
from marigoldtrail.testing.fault_cell import ENTRY, TAKEOUT_BOUND_S, Cell
from marigoldtrail.testing.taps import Point

RECORDS = "records-0"
CONFIG = "config"
# Low enough that the fleet has taken snapshots before the step, so that a joining host needs one.
SNAPSHOT_ENTRIES = 4

Work = Callable[[Cell], Awaitable[None]]
Matches = Callable[[Point], bool]


class Step(msgspec.Struct, kw_only=True, frozen=True):
    """
    A step of the matrix.

    Parameters
    ----------
    work : callable
        Asynchronous workload that takes the fleet through the step.
    matches : callable
        Predicate that is true for the `Point` that marks the step.
    group : str
        Log group whose leader is involved.
    after : bool
        Whether the fault is injected after the effect of the message, before its answer arrives.
    prepare : callable or None
        Asynchronous setup that runs before the step can match.
    snapshot_entries : int
        Number of log entries after which a snapshot is taken; 0 for the default.
    """

    work: Work
    matches: Matches
    group: str = RECORDS
    after: bool = False
    prepare: Work | None = None
    snapshot_entries: int = 0


def match_peer(name: str) -> Matches:
    """Return the predicate that matches a message between nodes."""
    return lambda point: point.kind == "peer" and point.name == name


def match_upstream(path: str) -> Matches:
    """Return the predicate that matches a call to an upstream."""
    return lambda point: point.kind == "upstream" and point.name == path


def match_caller(pipeline: str) -> Matches:
    """Return the predicate that matches a request of a caller to the entry."""
    return lambda point: (point.kind, point.name, point.receiver) == ("caller", pipeline, ENTRY)


def match_appends_to(group: str) -> Matches:
    """Return the predicate that matches log entries sent to a follower of a group."""
    return lambda point: (
        point.kind == "peer"
        and point.name == "AppendEntries"
        and point.request.group == group
        and bool(point.request.entries)
    )


def is_first_append_to_empty_host(point: Point) -> bool:
    """Return whether a joining host is sent the first entries of the config log."""
    return match_appends_to(CONFIG)(point) and point.request.prev_index == 0


def is_drain_sync(point: Point) -> bool:
    """Return whether the point is a Sync in which the entry reports that it is draining."""
    return point.name == "Sync" and point.sender == ENTRY and point.request.draining


async def send_order(cell: Cell) -> None:
    """Send an order."""
    await cell.send("order")


async def send_generate_request(cell: Cell) -> None:
    """Send a request whose pipeline has every kind of stage and streams its answer."""
    await cell.send("brief", pipeline="assistant")


async def restart_services_cold(cell: Cell) -> None:
    """Restart the services cold and wait until their slot owner has noticed."""
    for name in cell.booking_upstreams():
        cell.fleet.standin_fleet.get_process(name).restart()
    await cell.fleet.timers.sleep(MAX_GRANT_S)


async def send_cold_orders(cell: Cell) -> None:
    """Send orders through all entries while the services are in cold start."""
    async with trio.open_nursery() as callers:
        for host in list(cell.fleet.nodes):
            for number in range(4):
                send = partial(cell.send, f"cold-{host}-{number}", host=host)
                callers.start_soon(send)


async def submit_manifest(cell: Cell) -> None:
    """Submit a manifest, and retry while its outcome is unknown."""
    for _ in range(3):
        await cell.submit(2, ENTRY if ENTRY in cell.fleet.nodes else "h2", 2.0, "operator")
        if 2 in cell.accepted:
            return
        await cell.fleet.timers.sleep(2)


async def take_upstream_out(cell: Cell) -> None:
    """Take an upstream out of service and check that it receives no calls after the bound."""
    name = cell.booking_upstreams()[0]
    await cell.take_out("upstream", name, "out", 1, ENTRY)
    if cell.takeouts.get(("upstream", name)) != (1, "out"):
        return
    await cell.fleet.timers.sleep(TAKEOUT_BOUND_S)
    calls = cell.fleet.standin_fleet.count_calls(name)
    for host in list(cell.fleet.nodes):
        await cell.send(f"taken-{host}", host=host)
    sent = cell.fleet.standin_fleet.count_calls(name) - calls
    still_out = cell.takeouts["upstream", name][1] == "out"
    cell.check(sent == 0 or not still_out, f"P3: {name} got {sent} calls when out of service")


async def drain_entry(cell: Cell) -> None:
    """Drain the entry while it processes an order that takes two seconds."""
    for name in cell.booking_upstreams():
        cell.fleet.standin_fleet.standins[name].fault_switches.delay_s = 2.0
    node = cell.fleet.nodes[ENTRY]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cell.send, "order")
        await cell.fleet.timers.sleep(0.5)
        await node.drain()
        was_killed = cell.fleet.nodes.get(ENTRY) is not node
        ended = was_killed or any(sent.key == "order" for sent in cell.sent)
        cell.check(ended, "P8: the entry left before the order in progress had ended")
        cell.note("the entry has drained")
        if not was_killed:
            cell.kill(ENTRY)


async def force_election(cell: Cell) -> None:
    """Kill the leader of the record group, then send an order."""
    cell.kill(cell.leader_of(RECORDS))
    await cell.fleet.timers.sleep(1)
    await cell.send("order")
    await cell.fleet.timers.sleep(5)


async def replace_control_host(cell: Cell) -> None:
    """Replace a control host that leads no log group, and send an order while it joins."""
    leaders = {cell.leader_of(RECORDS), cell.leader_of(CONFIG)}
    host = next(name for name in sorted(cell.fleet.disks, reverse=True) if name not in leaders)
    cell.kill(host)
    cell.fleet.replace_disk(host)
    await cell.start_host(host)
    await cell.send("order")
    await cell.fleet.timers.sleep(8)


async def unload_model(cell: Cell) -> None:
    """Unload the model of an engine, so that the scheduler orders the engine to load it."""
    name = next(
        up.name for up in cell.fleet.standin_fleet.manifest.upstreams if up.kind == "engine"
    )
    cell.fleet.standin_fleet.get_process(name).models = []
    await cell.fleet.timers.sleep(8)


STEPS: dict[str, Step] = {
    "claim: open": Step(work=send_order, matches=match_peer("OpenClaim")),
    "claim: call": Step(work=send_order, matches=match_upstream("/bookings")),
    "claim: answer on its way": Step(
        work=send_order, matches=match_upstream("/bookings"), after=True
    ),
    "claim: settle": Step(work=send_order, matches=match_peer("SettleClaim")),
    "claim: settled": Step(work=send_order, matches=match_peer("SettleClaim"), after=True),
    "commit": Step(work=send_order, matches=match_appends_to(RECORDS)),
    "slot grant": Step(
        work=send_cold_orders, matches=match_peer("AcquireSlot"), prepare=restart_services_cold
    ),
    "slot release": Step(
        work=send_cold_orders, matches=match_peer("ReleaseSlots"), prepare=restart_services_cold
    ),
    "manifest: submit": Step(
        work=submit_manifest, matches=match_peer("SubmitManifest"), group=CONFIG
    ),
    "manifest: commit": Step(work=submit_manifest, matches=match_appends_to(CONFIG), group=CONFIG),
    "takeout": Step(work=take_upstream_out, matches=match_peer("SetService"), group=CONFIG),
    "drain": Step(work=drain_entry, matches=is_drain_sync, group=CONFIG),
    "admission": Step(work=send_order, matches=match_caller("book")),
    "record": Step(work=send_order, matches=match_peer("PutRecord")),
    "end marker": Step(work=send_order, matches=match_caller("book"), after=True),
    "election": Step(work=force_election, matches=match_peer("RequestVote")),
    "join": Step(work=replace_control_host, matches=is_first_append_to_empty_host, group=CONFIG),
    "snapshot": Step(
        work=replace_control_host,
        matches=match_peer("InstallSnapshot"),
        group=CONFIG,
        snapshot_entries=SNAPSHOT_ENTRIES,
    ),
    "stage: encode": Step(work=send_generate_request, matches=match_upstream("/encode")),
    "stage: retrieve": Step(work=send_generate_request, matches=match_upstream("/retrieve")),
    "stage: rerank": Step(work=send_generate_request, matches=match_upstream("/rerank")),
    "stage: generate": Step(work=send_generate_request, matches=match_upstream("/v1/completions")),
    "engine order": Step(work=unload_model, matches=match_upstream("/orders"), group=CONFIG),
}

"""The steps of the matrix: what brings a fleet to a step, and how the step is recognised."""

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
# So few that a fleet has taken snapshots before the step; a host that joins then needs one.
SNAPSHOT_ENTRIES = 4

Work = Callable[[Cell], Awaitable[None]]
Matches = Callable[[Point], bool]


class Step(msgspec.Struct, kw_only=True, frozen=True):
    """
    A step of the matrix.

    Parameters
    ----------
    work : callable
        Asynchronous; brings the fleet to the step and beyond.
    matches : callable
        Tells whether a `Point` is the step.
    group : str
        Log group whose leader takes part.
    after : bool
        Whether the fault comes after the point's effect, while its answer is on its way.
    prepare : callable or None
        Asynchronous; runs before the step is looked for.
    snapshot_entries : int
        Entries of a log after which it takes a snapshot; 0 for the product's own number.
    """

    work: Work
    matches: Matches
    group: str = RECORDS
    after: bool = False
    prepare: Work | None = None
    snapshot_entries: int = 0


def peer(name: str) -> Matches:
    """Return the test for a message between nodes."""
    return lambda point: point.kind == "peer" and point.name == name


def upstream(path: str) -> Matches:
    """Return the test for a call to an upstream."""
    return lambda point: point.kind == "upstream" and point.name == path


def caller(pipeline: str) -> Matches:
    """Return the test for a request at the entry."""
    return lambda point: (point.kind, point.name, point.receiver) == ("caller", pipeline, ENTRY)


def appends_to(group: str) -> Matches:
    """Return the test for entries of a log group on their way to a follower."""
    return lambda point: (
        point.kind == "peer"
        and point.name == "AppendEntries"
        and point.request.group == group
        and bool(point.request.entries)
    )


def appends_to_empty_host(point: Point) -> bool:
    """Tell whether a host that joins receives the first entries of a log."""
    return appends_to(CONFIG)(point) and point.request.prev_index == 0


def announces_drain(point: Point) -> bool:
    """Tell whether a Sync of the entry says that it is draining."""
    return point.name == "Sync" and point.sender == ENTRY and point.request.draining


async def book(cell: Cell) -> None:
    """Send an order."""
    await cell.send("order")


async def generate(cell: Cell) -> None:
    """Send a request with all kinds of stages and a streamed answer."""
    await cell.send("brief", pipeline="assistant")


async def cool_down(cell: Cell) -> None:
    """Restart the services cold and wait until their owner knows."""
    for name in cell.bookings():
        cell.fleet.world.process(name).restart()
    await cell.fleet.timers.sleep(MAX_GRANT_S)


async def use_slots(cell: Cell) -> None:
    """Send orders through all entries while the services are in cold start."""
    async with trio.open_nursery() as callers:
        for host in list(cell.fleet.nodes):
            for number in range(4):
                send = partial(cell.send, f"cold-{host}-{number}", host=host)
                callers.start_soon(send)


async def submit_manifest(cell: Cell) -> None:
    """Submit a manifest; send it again if its outcome is not known."""
    for _ in range(3):
        await cell.submit(2, ENTRY if ENTRY in cell.fleet.nodes else "h2", 2.0, "operator")
        if 2 in cell.accepted:
            return
        await cell.fleet.timers.sleep(2)


async def take_upstream_out(cell: Cell) -> None:
    """Take an upstream out of service; it receives nothing new after a few seconds."""
    name = cell.bookings()[0]
    await cell.take_out("upstream", name, "out", 1, ENTRY)
    if cell.takeouts.get(("upstream", name)) != (1, "out"):
        return
    await cell.fleet.timers.sleep(TAKEOUT_BOUND_S)
    calls = cell.fleet.world.calls_of(name)
    for host in list(cell.fleet.nodes):
        await cell.send(f"taken-{host}", host=host)
    sent = cell.fleet.world.calls_of(name) - calls
    still_out = cell.takeouts["upstream", name][1] == "out"
    cell.check(sent == 0 or not still_out, f"P3: {name} got {sent} calls when out of service")


async def drain_entry(cell: Cell) -> None:
    """Drain the entry while it works on an order that takes two seconds."""
    for name in cell.bookings():
        cell.fleet.world.standins[name].knobs.delay_s = 2.0
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


async def elect(cell: Cell) -> None:
    """Kill the leader of the record group, then send an order."""
    cell.kill(cell.leader_of(RECORDS))
    await cell.fleet.timers.sleep(1)
    await cell.send("order")
    await cell.fleet.timers.sleep(5)


async def join(cell: Cell) -> None:
    """Replace a control host that leads nothing, and send an order while it joins."""
    leaders = {cell.leader_of(RECORDS), cell.leader_of(CONFIG)}
    host = next(name for name in sorted(cell.fleet.disks, reverse=True) if name not in leaders)
    cell.kill(host)
    cell.fleet.replace_disk(host)
    await cell.start_host(host)
    await cell.send("order")
    await cell.fleet.timers.sleep(8)


async def lose_model(cell: Cell) -> None:
    """Let an engine lose its model, so that it is ordered to load it."""
    name = next(up.name for up in cell.fleet.world.manifest.upstreams if up.kind == "engine")
    cell.fleet.world.process(name).models = []
    await cell.fleet.timers.sleep(8)


STEPS: dict[str, Step] = {
    "claim: open": Step(work=book, matches=peer("OpenClaim")),
    "claim: call": Step(work=book, matches=upstream("/bookings")),
    "claim: answer on its way": Step(work=book, matches=upstream("/bookings"), after=True),
    "claim: settle": Step(work=book, matches=peer("SettleClaim")),
    "claim: settled": Step(work=book, matches=peer("SettleClaim"), after=True),
    "commit": Step(work=book, matches=appends_to(RECORDS)),
    "slot grant": Step(work=use_slots, matches=peer("AcquireSlot"), prepare=cool_down),
    "slot release": Step(work=use_slots, matches=peer("ReleaseSlots"), prepare=cool_down),
    "manifest: submit": Step(work=submit_manifest, matches=peer("SubmitManifest"), group=CONFIG),
    "manifest: commit": Step(work=submit_manifest, matches=appends_to(CONFIG), group=CONFIG),
    "takeout": Step(work=take_upstream_out, matches=peer("SetService"), group=CONFIG),
    "drain": Step(work=drain_entry, matches=announces_drain, group=CONFIG),
    "admission": Step(work=book, matches=caller("book")),
    "record": Step(work=book, matches=peer("PutRecord")),
    "end marker": Step(work=book, matches=caller("book"), after=True),
    "election": Step(work=elect, matches=peer("RequestVote")),
    "join": Step(work=join, matches=appends_to_empty_host, group=CONFIG),
    "snapshot": Step(
        work=join, matches=peer("InstallSnapshot"), group=CONFIG, snapshot_entries=SNAPSHOT_ENTRIES
    ),
    "stage: encode": Step(work=generate, matches=upstream("/encode")),
    "stage: retrieve": Step(work=generate, matches=upstream("/retrieve")),
    "stage: rerank": Step(work=generate, matches=upstream("/rerank")),
    "stage: generate": Step(work=generate, matches=upstream("/v1/completions")),
    "engine order": Step(work=lose_model, matches=upstream("/orders"), group=CONFIG),
}

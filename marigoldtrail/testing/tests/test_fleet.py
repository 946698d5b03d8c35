"""Tests of the in-memory fleet: it serves requests, and partitions and delays have an effect."""

import json

import trio

from marigoldtrail.demo.deployments import TSVETANOV, Deployment, build_manifest
from marigoldtrail.errors import Failure, Reason, RunState, is_failure
from marigoldtrail.schema import parse_manifest
from marigoldtrail.serving import Answer
from marigoldtrail.serving.shared import SharedState
from marigoldtrail.slots import MAX_GRANT_S, SlotClient
from marigoldtrail.testing.fleet import CollectedTokens, MemoryFleet

SMALL = Deployment(
    name="tsvetanov",
    data_centres=TSVETANOV.data_centres,
    hosts=4,
    control_hosts=3,
    engines=2,
    services={"booking": True},
    replicas=2,
    first_port=22000,
)


async def start_fleet(nursery, seed: int = 1) -> MemoryFleet:
    document = json.dumps({**build_manifest(SMALL), "client_accounts": []}).encode()
    manifest = parse_manifest(document)
    data_centres = [*SMALL.data_centres, SMALL.data_centres[0]]
    fleet = MemoryFleet(
        manifest=manifest,
        data_centres=data_centres,
        control_hosts=SMALL.control_hosts,
        seed=seed,
        nursery=nursery,
    )
    await fleet.start()
    reply = await fleet.submit_manifest("h4", document)
    assert not is_failure(reply) and reply.outcome == "accepted"
    await fleet.wait_ready()
    return fleet


async def test_fleet_in_memory_serves(autojump_clock, nursery):
    """Guards against an in-memory network or disk on which the real nodes do not work."""
    fleet = await start_fleet(nursery)
    value = {"idempotency_key": "k1", "quantity": 1}
    first = await fleet.send("h4", "book", "yard-7", value, key="k1")
    again = await fleet.send("h2", "book", "yard-7", value, key="k1")
    assert isinstance(first, Answer) and isinstance(again, Answer)
    assert first.output == again.output
    assert fleet.standin_fleet.count_effects() == {("booking", "yard-7/k1"): 1}
    sink = CollectedTokens()
    streamed = await fleet.send("h1", "assistant", "yard-7", {"query": "q"}, sink=sink)
    assert isinstance(streamed, Answer) and sink.text == streamed.output
    nursery.cancel_scope.cancel()


async def test_isolated_entry_refuses_within_its_lease(autojump_clock, nursery):
    """Guards against an entry that serves on an outdated view during a silent partition."""
    fleet = await start_fleet(nursery)
    fleet.isolate("h4")
    await fleet.timers.sleep(6)
    refused = await fleet.send("h4", "slot_list", "yard-7", {"day": 1})
    assert is_failure(refused) and refused.reason == "view_not_current"
    assert refused.run_state == "not_run"
    fleet.rejoin("h4")
    await fleet.timers.sleep(4)
    assert isinstance(await fleet.send("h4", "slot_list", "yard-7", {"day": 1}), Answer)
    nursery.cancel_scope.cancel()


async def test_abandoned_calls_keep_their_slots(autojump_clock, nursery):
    """Guards against slots that are granted again while the service still runs the old call."""
    fleet = await start_fleet(nursery)
    for name in ("booking-1", "booking-2"):
        fleet.standin_fleet.standins[name].fault_switches.delay_s = 4.0
        fleet.standin_fleet.get_process(name).restart()
    # A new owner waits until all grants of its predecessor have expired.
    await fleet.timers.sleep(MAX_GRANT_S)

    async def send_requests(host: str) -> None:
        for number in range(15):
            await fleet.send(host, "slot_list", "yard-7", {"day": number}, deadline_s=1.5)

    async with trio.open_nursery() as callers:
        for host in ("h1", "h2", "h3", "h4"):
            for _ in range(4):
                callers.start_soon(send_requests, host)
    assert max(fleet.standin_fleet.get_process(f"booking-{n}").max_cold_running for n in (1, 2)) > 0
    assert fleet.standin_fleet.count_cold_limit_violations() == 0
    nursery.cancel_scope.cancel()


async def test_isolated_entry_reaches_no_upstream(autojump_clock, nursery):
    """Guards against an in-memory partition that leaves the links to the upstreams open."""
    fleet = await start_fleet(nursery)
    calls = fleet.standin_fleet.count_calls("booking-1") + fleet.standin_fleet.count_calls(
        "booking-2"
    )
    fleet.isolate("h4")
    refused = await fleet.send("h4", "slot_list", "yard-7", {"day": 1}, deadline_s=1.5)
    assert is_failure(refused)
    assert (
        fleet.standin_fleet.count_calls("booking-1") + fleet.standin_fleet.count_calls("booking-2")
        == calls
    )
    nursery.cancel_scope.cancel()


async def test_request_that_waits_for_a_slot_notices_warm_upstreams(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a wait of 4 s for a slot that a warm upstream no longer requires."""
    fleet = await start_fleet(nursery)
    started = fleet.timers.now()

    async def refuse_slot(slots: SlotClient, *args: object) -> Failure:
        return Failure(
            reason=Reason.NO_SLOT, run_state=RunState.NOT_RUN, step="slot", retry_after_s=4.0
        )

    monkeypatch.setattr(SharedState, "is_warm", lambda *args: fleet.timers.now() > started + 0.5)
    monkeypatch.setattr(SlotClient, "acquire", refuse_slot)
    answer = await fleet.send("h4", "slot_list", "yard-7", {"day": 1}, deadline_s=5.0)
    assert isinstance(answer, Answer)
    assert fleet.timers.now() - started < 1.0
    nursery.cancel_scope.cancel()

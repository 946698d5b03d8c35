"""Large configurations that hosts put in force beside their requests."""

import threading
import zlib

import trio

from marigoldtrail.net import Address, PeerClient, serve_peers
from marigoldtrail.registry import FleetState, HostReporter
from marigoldtrail.registry.fleet_state import MAX_INLINE_DECODE_BYTES
from marigoldtrail.routing import RouteTable
from marigoldtrail.schema.generated.registry import HostReport, HostReportReply
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

# Bounds of waiting for an outcome.
TURNS_S = 10
OUTCOME_S = 60
TURNS = 100
ADDRESS = Address("10.0.0.1", 7740)


def make_reply(version):
    # Not compressed, so that its size is known.
    routes = zlib.compress(bytes(2 * MAX_INLINE_DECODE_BYTES), 0)
    return HostReportReply(
        term=1, revisions={}, routes=routes, routes_version=version, takeouts=["b"]
    )


def make_table(version):
    return RouteTable(version=version, routes=(), services=())


async def test_requests_go_on_while_a_large_configuration_is_decoded(nursery):
    """Guards against requests that wait for seconds on a slow host while it decodes."""
    has_had_turns = threading.Event()
    outcomes = []

    def parse(document):
        outcomes.append(has_had_turns.wait(TURNS_S))
        # A host that was cut off must not serve by its old configuration meanwhile.
        outcomes.append(fleet_state.confirmed_at < 0)
        return make_table(5)

    async def take_turns():
        while not has_had_turns.is_set():
            for _ in range(TURNS):
                await trio.lowlevel.checkpoint()
            if fleet_state._takeouts == {"b"}:
                has_had_turns.set()

    async def answer(request, sender):
        return make_reply(5)

    network = MemoryNetwork(seed=1)
    handlers = {HostReport: answer}

    async def serve(task_status):
        endpoint = network.endpoint(ADDRESS.ip)
        await serve_peers(endpoint, ADDRESS, handlers, host="c", task_status=task_status)

    await nursery.start(serve)
    fleet_state = FleetState(parse_document=parse, timers=Timers(seed=1))
    reporter = HostReporter(
        identity=HostReport(host="e", incarnation=1, role="entry", data_centre="a", region="r"),
        fleet_state=fleet_state,
        peers=PeerClient(network=network.endpoint("10.0.0.2"), host="e", nursery=nursery),
        timers=Timers(seed=1),
        seeds=[str(ADDRESS)],
    )
    with trio.fail_after(OUTCOME_S):
        nursery.start_soon(take_turns)
        await reporter.report_once()
    assert outcomes == [True, True]
    assert fleet_state.confirmed_at > 0
    assert fleet_state.version() == 5


async def test_large_configuration_that_is_decoded_late_is_not_put_in_force():
    """Guards against an older configuration that replaces one applied while it was decoded."""
    has_begun, is_newer_applied = threading.Event(), threading.Event()
    versions = iter([5, 6])

    def parse(document):
        version = next(versions)
        if version == 5:
            has_begun.set()
            is_newer_applied.wait(TURNS_S)
        return make_table(version)

    fleet_state = FleetState(parse_document=parse, timers=Timers(seed=1))
    with trio.fail_after(OUTCOME_S):
        async with trio.open_nursery() as nursery:

            async def apply_older():
                await fleet_state.apply_beside_requests(make_reply(5), sent_at=0.0)

            nursery.start_soon(apply_older)
            await trio.to_thread.run_sync(has_begun.wait, TURNS_S)
            fleet_state.apply(make_reply(6), sent_at=0.0)
            is_newer_applied.set()
    assert fleet_state.version() == 6


async def test_large_configuration_that_cannot_be_decoded_leaves_the_last_one_in_force():
    """Guards against a document that ends a host or keeps the rest of a reply from it."""

    def parse(document):
        raise RuntimeError("not readable")

    fleet_state = FleetState(parse_document=parse, timers=Timers(seed=1))
    await fleet_state.apply_beside_requests(make_reply(5), sent_at=0.0)
    assert fleet_state.version() == 0
    assert fleet_state._takeouts == {"b"}

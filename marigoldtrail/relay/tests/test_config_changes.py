"""Requests in progress while the configuration changes."""

import msgspec
import pytest
import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_accounts,
    make_request,
    make_response,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.relay.tests.test_silent_upstreams import silence_upstreams
from marigoldtrail.routing import Limits, RouteKind, Target, build_index

KEYED = {"headers": ("Authorization: Token k1",)}


def remove_route(table):
    return msgspec.structs.replace(table, routes=())


def remove_service(table):
    return msgspec.structs.replace(table, routes=(), services=())


def remove_account(table):
    return msgspec.structs.replace(table, accounts=())


def change_route(**fields):
    def change(table):
        routes = tuple(msgspec.structs.replace(route, **fields) for route in table.routes)
        return msgspec.structs.replace(table, routes=routes)

    return change


def change_limits(table):
    limits = Limits(
        max_header_bytes=1, max_body_bytes=0, header_timeout_s=0.01, idle_timeout_s=0.01
    )
    return msgspec.structs.replace(table, limits=limits)


def change_key(table):
    accounts = (msgspec.structs.replace(table.accounts[0], keys=("k2",)),)
    return msgspec.structs.replace(table, accounts=accounts)


CHANGES = {
    "route": remove_route,
    "service": remove_service,
    "account": remove_account,
    "time-out": change_route(timeout_s=0.1),
    "kind": change_route(kind=RouteKind.UNSAFE, max_attempts=1),
    "resume": change_route(is_resumable=False),
    "attempts": change_route(max_attempts=1),
    "weights": change_route(targets=(Target(service="t", weight=1.0),)),
    "target latency": change_route(target_latency_s=0.01, max_gap_s=0.01),
    "limits": change_limits,
    "key": change_key,
}


async def change_config(harness, change, *, at):
    await trio.sleep(at)
    harness.fleet_state.routes = build_index(change(harness.fleet_state.routes.table))
    harness.fleet_state.changed.notify()


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
async def test_change_leaves_requests_in_progress_alone(autojump_clock, nursery, kind, change):
    """Guards against a change of the configuration that ends a request without an answer."""

    async def work(stream):
        await read_request(stream)
        await trio.sleep(3.0)
        await stream.send_all(make_response())

    harness = RelayHarness(nursery, kind, accounts=make_accounts(), is_public=False)
    nursery.start_soon(harness.relay.run)
    await harness.start(work)
    nursery.start_soon(lambda: change_config(harness, change, at=0.2))
    data = await harness.fetch(make_request(method="POST", body=b"b", **KEYED))
    assert data.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
async def test_change_leaves_streams_in_progress_alone(autojump_clock, nursery, change):
    """Guards against a change of the configuration that breaks a stream off."""

    async def work(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        for event in EVENTS:
            await trio.sleep(0.5)
            await stream.send_all(chunk(event))
        await stream.send_all(b"0\r\n\r\n")

    harness = RelayHarness(
        nursery,
        RouteKind.STREAMING,
        accounts=make_accounts(),
        is_public=False,
        is_resumable=True,
        max_attempts=2,
    )
    nursery.start_soon(harness.relay.run)
    await harness.start(work)
    nursery.start_soon(lambda: change_config(harness, change, at=0.7))
    data = await harness.fetch(make_request(method="POST", body=b"b", **KEYED))
    assert all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("at", [0.1, 0.9, 1.2])
async def test_change_in_a_silence_leaves_streams_alone(
    autojump_clock, nursery, change, is_resumable, at
):
    """Guards against a change that breaks off a stream whose upstreams are all silent."""

    async def work(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        for event in EVENTS:
            await stream.send_all(chunk(event))
            await trio.sleep(0.1)
        await stream.send_all(b"0\r\n\r\n")

    harness = RelayHarness(
        nursery,
        RouteKind.STREAMING,
        accounts=make_accounts(),
        is_public=False,
        is_resumable=is_resumable,
        max_attempts=2 if is_resumable else 1,
        max_gap_s=0.2,
    )
    for run in (harness.relay.run, harness.reachability.run):
        nursery.start_soon(run)
    await harness.start(work, work)
    nursery.start_soon(silence_upstreams, harness, 2, 1.3)
    nursery.start_soon(lambda: change_config(harness, change, at=at))
    data = await harness.fetch(make_request(method="POST", body=b"b", **KEYED))
    assert all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")


async def test_request_under_way_gets_an_answer_when_its_service_goes(autojump_clock, nursery):
    """Guards against silence when a failed attempt finds its service removed."""

    async def fail(stream):
        await read_request(stream)
        await trio.sleep(0.5)

    harness = RelayHarness(nursery, max_attempts=3)
    nursery.start_soon(harness.relay.run)
    await harness.start(fail, reply_with(make_response()))

    async def remove():
        await change_config(harness, remove_service, at=0.05)
        harness.fleet_state.upstreams.clear()
        harness.fleet_state.changed.notify()

    harness.monitor.start_pause("i-1", 0.3)
    nursery.start_soon(remove)
    assert (await harness.fetch(make_request())).startswith(b"HTTP/1.1 50")

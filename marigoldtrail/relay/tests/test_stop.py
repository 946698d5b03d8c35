"""Requests around the stop of an entry."""

import socket
from types import SimpleNamespace

import trio

from marigoldtrail.net import ListenerControl
from marigoldtrail.relay.endpoints import EndpointStop
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
    reply_with,
)
from marigoldtrail.routing import RouteKind
from marigoldtrail.site.entry_host import ADDRESS_EXPIRY_S, EntryHost

GRACE_S = 8.0
STREAM = make_response("id: 1\ndata: a\n\n")
TWO_EVENTS = make_response("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")


def make_kept_request(**fields):
    return make_request(**fields).replace(b"Connection: close\r\n", b"")


def make_short_request():
    """Return a request that ends before the process does, so that it is still taken."""
    return make_kept_request().replace(b"Ms: 4000", b"Ms: 1000")


async def report_nothing(**fields):
    pass


async def close_nothing(timeout_s):
    return 0


async def fail_to_report(**fields):
    raise RuntimeError("unexpected")


async def stop(harness, stream, *, after_expiry=lambda: None, report=report_nothing):
    """
    Serve a connection while the entry stops, and end it as the end of the process does.

    `after_expiry` is called just before the first idle connections are closed.
    """

    async def sleep(seconds):
        await trio.sleep(seconds)
        if seconds == ADDRESS_EXPIRY_S:
            after_expiry()

    components = SimpleNamespace(
        timers=SimpleNamespace(now=trio.current_time, sleep=sleep),
        cfg=SimpleNamespace(bounds=SimpleNamespace(grace_s=GRACE_S)),
        reporter=SimpleNamespace(identity=SimpleNamespace()),
        send_report=report,
        endpoint_stop=EndpointStop(),
        close_endpoints=close_nothing,
    )
    async with trio.open_nursery() as nursery:
        components.nursery = nursery
        host = SimpleNamespace(
            components=components, relay=harness.relay, listener=ListenerControl()
        )
        if stream is not None:
            nursery.start_soon(harness.relay.serve, stream)
        await EntryHost.drain(host)
        nursery.cancel_scope.cancel()


def make_socket_pair():
    """Return the caller's end and the accepted end of a connection."""
    caller, accepted = socket.socketpair()
    return caller, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))


async def test_request_that_has_arrived_is_served_at_the_end_of_a_drain(autojump_clock, nursery):
    """Guards against a stop that ends before it serves what is in an accepted socket."""
    harness = RelayHarness(nursery)
    await harness.start(reply_with(make_response()))
    caller, accepted = make_socket_pair()

    def send_late():
        caller.send(make_short_request())

    await stop(harness, accepted, after_expiry=send_late)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    assert (await read_all(stream)).startswith(b"HTTP/1.1 200 ")


async def test_connection_that_is_accepted_late_in_a_drain_is_served(autojump_clock, nursery):
    """Guards against a stop that closes a new connection before its request can arrive."""
    harness = RelayHarness(nursery)
    await harness.start(reply_with(make_response()))
    caller, accepted = make_socket_pair()

    async def connect_late():
        # A request that is still being read keeps the drain going.
        await trio.sleep(ADDRESS_EXPIRY_S - 0.2)
        other = await harness.connect()
        await other.send_all(make_kept_request()[:20])
        await trio.sleep(0.4)
        nursery.start_soon(harness.relay.serve, accepted)
        await trio.sleep(0.15)
        caller.send(make_short_request())

    nursery.start_soon(connect_late)
    await stop(harness, None)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    data = await read_all(stream)
    assert data.startswith(b"HTTP/1.1 200 ") and b"connection: close" in data.lower()


async def test_request_still_served_at_the_end_of_a_drain_is_answered(autojump_clock, nursery):
    """Guards against silence for requests that take longer than a stop may."""

    async def hang(stream):
        await read_request(stream)
        await trio.sleep(60)

    harness = RelayHarness(nursery, RouteKind.UNSAFE, timeout_s=30.0)
    await harness.start(hang)
    caller, accepted = make_socket_pair()
    caller.send(make_kept_request().replace(b"4000", b"30000"))
    await stop(harness, accepted)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    data = await read_all(stream)
    assert data.startswith(b"HTTP/1.1 502 ") and b"the host stops" in data


async def test_error_in_the_last_report_does_not_end_a_stop(autojump_clock, nursery):
    """Guards against a stop that cuts all requests because its report to the leader raises."""
    harness = RelayHarness(nursery)
    await harness.start(reply_with(make_response()))
    caller, accepted = make_socket_pair()
    caller.send(make_kept_request())
    await stop(harness, accepted, report=fail_to_report)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    assert (await read_all(stream)).startswith(b"HTTP/1.1 200 ")


async def test_request_after_a_stream_that_did_not_announce_its_close_is_served(
    autojump_clock, nursery
):
    """Guards against requests that are dropped after the last stream before a stop."""
    may_end = trio.Event()

    async def send_stream(stream):
        await read_request(stream)
        second = TWO_EVENTS.index(b"id: 2")
        await stream.send_all(TWO_EVENTS[:second])
        await may_end.wait()
        await stream.send_all(TWO_EVENTS[second:])
        await reply_with(make_response("id: 3\ndata: c\n\n"))(stream)

    harness = RelayHarness(nursery, RouteKind.STREAMING)
    await harness.start(send_stream)
    stream = await harness.connect()
    await stream.send_all(make_kept_request())
    await trio.sleep(0.1)
    harness.relay.start_draining()
    may_end.set()
    data = b""
    while b"data: b" not in data:
        data += await stream.receive_some()
    assert b"connection: close" not in data.lower()
    await stream.send_all(make_request(request_id="id-2", headers=("x: y",)))
    assert (await read_all(stream)).count(b"HTTP/1.1 ") == 1


async def test_stream_that_begins_during_a_stop_announces_the_close(autojump_clock, nursery):
    """Guards against callers that send a request while their connection closes after a stream."""

    async def send_stream(stream):
        await read_request(stream)
        await trio.sleep(0.2)
        await stream.send_all(STREAM)
        await trio.sleep(1)

    for pause_s in (0.1, 0.0):
        harness = RelayHarness(nursery, RouteKind.STREAMING)
        await harness.start(send_stream)
        stream = await harness.connect()
        if pause_s:
            await stream.send_all(make_kept_request())
            await trio.sleep(pause_s)
            harness.relay.start_draining()
        else:
            harness.relay.start_draining()
            await stream.send_all(make_kept_request())
        data = await read_all(stream)
        assert data.startswith(b"HTTP/1.1 200 ") and b"connection: close" in data.lower()

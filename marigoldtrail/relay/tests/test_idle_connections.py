"""Requests that arrive while an idle connection is closed."""

import socket

import msgspec
import trio

from marigoldtrail.relay.connection_end import receive_or_end
from marigoldtrail.relay.idle_wait import LOWERED_LIMIT_GRACE_S
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    reply_with,
)
from marigoldtrail.relay.tests.test_connection_end import count
from marigoldtrail.routing import Limits, build_index


def set_idle_limit(harness, limit_s):
    table = harness.fleet_state.routes.table
    limits = msgspec.structs.replace(table.limits, idle_timeout_s=limit_s)
    harness.fleet_state.routes = build_index(msgspec.structs.replace(table, limits=limits))
    harness.fleet_state.changed.notify()


async def start_harness(nursery, limit_s):
    harness = RelayHarness(nursery)
    set_idle_limit(harness, limit_s)
    nursery.start_soon(harness.relay.run)
    await harness.start(reply_with(make_response()))
    # The limit that the harness began with no longer counts for new connections.
    await trio.sleep(LOWERED_LIMIT_GRACE_S + 0.1)
    return harness


async def test_raised_idle_limit_holds_for_idle_connections(autojump_clock, nursery):
    """Guards against requests without an answer after the idle limit was raised."""
    harness = await start_harness(nursery, 0.3)
    stream = await harness.connect()
    await trio.sleep(0.05)
    set_idle_limit(harness, 5.0)
    await trio.sleep(0.4)
    await stream.send_all(make_request())
    assert (await read_all(stream)).startswith(b"HTTP/1.1 200")


async def test_lowered_idle_limit_leaves_earlier_waits_alone(autojump_clock, nursery):
    """Guards against closing connections that callers may still use by the earlier limit."""
    harness = await start_harness(nursery, 0.3)
    stream = await harness.connect()
    await trio.sleep(0.1)
    set_idle_limit(harness, 5.0)
    await trio.sleep(0.1)
    set_idle_limit(harness, 0.3)
    late = await harness.connect()
    await trio.sleep(1.0)
    for used in (stream, late):
        await used.send_all(make_request())
        assert (await read_all(used)).startswith(b"HTTP/1.1 200")


async def test_idle_connections_are_closed_once_no_limit_covers_them(autojump_clock, nursery):
    """Guards against connections that stay open for ever after a lowered limit."""
    harness = await start_harness(nursery, 5.0)
    await harness.connect()
    set_idle_limit(harness, 0.3)
    await trio.sleep(5.1)
    await harness.connect()
    await trio.sleep(0.4)
    assert harness.relay.connections == 0


async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_read(
    autojump_clock, nursery
):
    """Guards against requests that are read from an idle connection and dropped."""
    harness = await start_harness(nursery, 0.3)
    harness.network.link("10.0.0.1", "10.0.9.9").delay_s = 0.3
    stream = await harness.connect()
    await trio.sleep(0.35)
    await stream.send_all(make_request())
    assert await read_all(stream) == b""
    await trio.sleep(1.0)
    assert count(harness, 'caller_connection_ends_total{reason="idle"}') == 1
    assert count(harness, "caller_bytes_dropped_total") == 0


async def test_request_that_has_arrived_is_served_at_a_stop(autojump_clock, nursery):
    """Guards against a stop that closes connections whose request is already in the socket."""
    harness = await start_harness(nursery, 15.0)
    caller, accepted = socket.socketpair()
    nursery.start_soon(
        harness.relay.serve, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    )
    await trio.sleep(0.1)
    harness.relay.start_draining()
    caller.send(make_request())
    harness.relay.close_idle()
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    assert (await read_all(stream)).startswith(b"HTTP/1.1 200")


class BeforeStep(trio.abc.Instrument):
    """Call a function before a step of a task, after all steps that come before it."""

    def __init__(self, name, countdown, function):
        self.name = name
        self.countdown = countdown
        self.function = function

    def before_task_step(self, task):
        if task.name.endswith(self.name):
            self.countdown -= 1
            if self.countdown == 0:
                self.function()


async def test_request_that_arrives_before_the_last_step_of_a_stop_is_served(
    autojump_clock, nursery
):
    """Guards against a reset while the task that closes a connection waits for its turn."""
    harness = await start_harness(nursery, 15.0)
    caller, accepted = socket.socketpair()
    nursery.start_soon(
        harness.relay.serve, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    )
    await trio.sleep(1.0)
    harness.relay.start_draining()
    # The first step begins the last read, the second one ends it.
    instrument = BeforeStep("Relay.serve", 2, lambda: caller.send(make_request()))
    trio.lowlevel.add_instrument(instrument)
    harness.relay.close_idle()
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    with trio.fail_after(5):
        answer = await read_all(stream)
    trio.lowlevel.remove_instrument(instrument)
    assert instrument.countdown <= 0
    assert answer.startswith(b"HTTP/1.1 200")


async def test_request_that_crosses_the_close_of_a_connection_sees_a_regular_end():
    """Guards against a reset for a caller whose request crosses the close; it can't be answered."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    with caller:
        caller.settimeout(5)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        assert receive_or_end(stream) is None
        caller.sendall(make_request())
        await trio.aclose_forcefully(stream)
        assert caller.recv(1) == b""


async def test_idle_connection_takes_over_raised_sizes(autojump_clock, nursery):
    """Guards against refusals by limits that were in force before a connection was idle."""
    harness = await start_harness(nursery, 5.0)
    stream = await harness.connect()
    await trio.sleep(0.1)
    table = harness.fleet_state.routes.table
    limits = Limits(max_header_bytes=9000, max_body_bytes=90000)
    harness.fleet_state.routes = build_index(msgspec.structs.replace(table, limits=limits))
    head = ("X-Long: " + "a" * 4000,)
    await stream.send_all(make_request(method="POST", headers=head, body=b"b" * 6000))
    assert (await read_all(stream)).startswith(b"HTTP/1.1 200 ")


async def test_idle_connection_takes_over_lowered_sizes(autojump_clock, nursery):
    """Guards against requests of a size that is no longer allowed."""
    harness = await start_harness(nursery, 5.0)
    stream = await harness.connect()
    await trio.sleep(0.1)
    table = harness.fleet_state.routes.table
    limits = Limits(max_header_bytes=1000)
    harness.fleet_state.routes = build_index(msgspec.structs.replace(table, limits=limits))
    await stream.send_all(make_request(headers=("X-Long: " + "a" * 1200,)))
    assert (await read_all(stream)).startswith(b"HTTP/1.1 431 ")

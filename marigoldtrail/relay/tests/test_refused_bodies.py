"""Callers that still send the body of a request that was refused."""

import socket

import pytest
import trio

from marigoldtrail.relay.connection_end import GRACEFUL_CLOSE_TIMEOUT_S, MAX_CLOSE_S
from marigoldtrail.relay.tests.helpers import RelayHarness, make_response, read_all, reply_with
from marigoldtrail.relay.tests.test_relay import chunk

PART = b"b" * 9000
HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 90000\r\n\r\n"
CHUNKED_HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"


def connect_tcp(harness, nursery):
    """Return the caller's end of a TCP connection that the relay serves."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    nursery.start_soon(harness.relay.serve, stream)
    return trio.SocketStream(trio.socket.from_stdlib_socket(caller))


async def start_refusal(nursery, head=HEAD):
    harness = RelayHarness(nursery)
    await harness.start(reply_with(make_response()))
    caller = connect_tcp(harness, nursery)
    await caller.send_all(head)
    return harness, caller


@pytest.mark.parametrize(
    ("head", "part"), [(HEAD, PART), (CHUNKED_HEAD, chunk(PART))], ids=["length", "chunks"]
)
async def test_refusal_reaches_a_caller_that_sends_its_body_first(
    autojump_clock, nursery, head, part
):
    """Guards against a reset in the middle of a body whose request was refused."""
    _, caller = await start_refusal(nursery, head)
    for _ in range(10):
        await trio.sleep(0.8 * GRACEFUL_CLOSE_TIMEOUT_S)
        await caller.send_all(part)
    assert (await read_all(caller)).startswith(b"HTTP/1.1 413 ")


async def test_body_without_end_does_not_keep_a_refused_connection(autojump_clock, nursery):
    """Guards against refused callers that keep their connections by sending slowly."""
    harness, caller = await start_refusal(nursery)
    ends_at = trio.current_time() + MAX_CLOSE_S + 1.0
    with pytest.raises(trio.BrokenResourceError):
        while trio.current_time() < ends_at:
            await trio.sleep(0.1)
            await caller.send_all(b"b")
    assert harness.relay.connections == 0


async def test_nothing_is_read_beyond_a_refused_body(autojump_clock, nursery):
    """Guards against refused callers that are read for long at full speed."""
    harness, caller = await start_refusal(nursery)
    await caller.send_all(11 * PART)
    with pytest.raises(trio.BrokenResourceError):
        for _ in range(10):
            await trio.sleep(0.8 * GRACEFUL_CLOSE_TIMEOUT_S)
            await caller.send_all(b"b")
    assert harness.relay.connections == 0


async def test_refused_body_does_not_hold_up_the_end_of_the_process(autojump_clock):
    """Guards against a process that ends late because a refused caller sends on."""
    async with trio.open_nursery() as nursery:
        harness, caller = await start_refusal(nursery)
        for _ in range(10):
            await trio.sleep(0.1)
            await caller.send_all(PART)
        assert harness.relay.connections == 1
        nursery.cancel_scope.cancel()
        cancelled_at = trio.current_time()
    assert trio.current_time() - cancelled_at < 0.1
    assert harness.relay.connections == 0
    await caller.aclose()

"""Connections whose peer loses all packets for a while, or for good, over real sockets."""

import socket
from functools import partial

import pytest
import trio

from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.net.listener import drop_new_connections, stop_dropping
from marigoldtrail.net.network import TCP_RTO_MAX_MS
from marigoldtrail.timers import Timers

# Bounds of waiting, far beyond the limits of the kernel that are tested.
OUTCOME_S = 60
POLL_S = 0.01
PAUSE_S = 0.3
# Probes without an answer in a silence of 1 to 2 s. The second count is for both silences.
PROBES = 2
# Transmissions of the same data without an answer in a silence of 1.4 to 2 s; likewise.
RETRANSMISSIONS = 3
MANY = 100
# Linux: number of the state of a connection that has ended.
TCP_CLOSE = 7


def read_info(sock):
    """Return the state, the retransmissions and the probes that got no answer so far."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)
    return info[0], info[2], info[3]


async def wait_for_unanswered(sock, low, high):
    """Wait until a number of packets got no answer, or the kernel has ended the connection."""
    async for _ in Timers().subscribe("test", POLL_S):
        state, *unanswered = read_info(sock)
        if state == TCP_CLOSE or low <= max(unanswered) <= high:
            return


class Pair:
    """The two ends of a connection: ours, opened or accepted by the network, and the peer's."""

    def __init__(self, ours, theirs):
        self.ours, self.theirs = ours, theirs

    def begin_silence(self):
        """Drop all packets in both directions."""
        for stream in (self.ours, self.theirs):
            drop_new_connections(stream.socket)

    def end_silence(self):
        """Let packets through again; those that were dropped are lost."""
        for stream in (self.ours, self.theirs):
            stop_dropping(stream.socket)

    async def be_silent(self, count, *, times):
        """Be silent until so many packets of ours were sent in vain, once or twice."""
        for number in range(times):
            self.begin_silence()
            await wait_for_unanswered(self.ours.socket, count + number, MANY)
            self.end_silence()
            if number + 1 < times:
                await trio.sleep(PAUSE_S)


async def open_pair():
    """Connect to a peer."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with listener:
        port = listener.socket.getsockname()[1]
        ours = await TcpNetwork().connect(Address("127.0.0.1", port))
        return Pair(ours, await listener.accept())


async def accept_pair(nursery):
    """Accept a connection of a peer."""
    accepted = trio.Event()
    streams = []

    async def handle(stream):
        streams.append(stream)
        accepted.set()
        await trio.sleep_forever()

    address = await nursery.start(TcpNetwork().listen, Address("127.0.0.1", 0), handle)
    theirs = await trio.open_tcp_stream(address.ip, address.port)
    await accepted.wait()
    return Pair(streams[0], theirs)


async def exchange(pair):
    """Send a byte each way, so that the kernel has measured the time of an exchange."""
    for source, sink in ((pair.ours, pair.theirs), (pair.theirs, pair.ours)):
        await source.send_all(b"w")
        assert await sink.receive_some(1) == b"w"


async def open_both(nursery):
    """Return a connection that was opened and one that was accepted."""
    return {"opened": await open_pair(), "accepted": await accept_pair(nursery)}


async def wait_beside_silence(pair, times):
    """Be silent while one end waits for the other, which then sends; return what arrived."""
    await exchange(pair)
    await pair.be_silent(PROBES, times=times)
    # The kernel ends a connection, or sees that it is sound, at the time of the next probe.
    await wait_for_unanswered(pair.ours.socket, 0, 0)
    await pair.theirs.send_all(b"answer")
    return await pair.ours.receive_some(10)


async def send_into_silence(pair, times):
    """Send into a silence; return what arrived at the other end."""
    await exchange(pair)
    pair.begin_silence()
    await pair.ours.send_all(b"request")
    await pair.be_silent(RETRANSMISSIONS, times=times)
    return await pair.theirs.receive_some(10)


async def lose_while_waiting(pair):
    """Lose the peer while waiting for it."""
    await exchange(pair)
    pair.begin_silence()
    with pytest.raises(trio.BrokenResourceError):
        await pair.ours.receive_some(1)


async def lose_while_sending(pair):
    """Lose the peer with data on the way to it."""
    await exchange(pair)
    pair.begin_silence()
    await pair.ours.send_all(b"request")
    with pytest.raises(trio.BrokenResourceError):
        await pair.ours.receive_some(1)


def has_retransmission_limit():
    """Tell whether the kernel can limit the time between two transmissions of the same data."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, 1000)
        except OSError:
            return False
    return True


async def run_all(runs):
    """Run functions beside each other; return their results by name."""
    results = {}

    async def run(name, function):
        try:
            results[name] = await function()
        except trio.BrokenResourceError as exc:
            results[name] = repr(exc.__cause__)

    with trio.fail_after(OUTCOME_S):
        async with trio.open_nursery() as nursery:
            for name, function in runs.items():
                nursery.start_soon(run, name, function)
    return results


async def test_connection_outlasts_silences_while_it_waits(nursery):
    """Guards against connections that the kernel ends since two probes in a row were lost."""
    runs = {}
    for times in (1, 2):
        for side, pair in (await open_both(nursery)).items():
            runs[f"{side}, {times}"] = partial(wait_beside_silence, pair, times)
    results = await run_all(runs)
    assert results == dict.fromkeys(runs, b"answer")


async def test_data_that_is_sent_into_silences_arrives(nursery):
    """Guards against connections that the kernel ends before it has sent lost data again."""
    runs = {}
    for times in (1, 2) if has_retransmission_limit() else (1,):
        for side, pair in (await open_both(nursery)).items():
            runs[f"{side}, {times}"] = partial(send_into_silence, pair, times)
    results = await run_all(runs)
    assert results == dict.fromkeys(runs, b"request")


async def test_lost_peers_are_detected(nursery):
    """Guards against connections to lost peers that stay open for good."""
    runs = {}
    for function in (lose_while_waiting, lose_while_sending):
        for side, pair in (await open_both(nursery)).items():
            runs[f"{side}, {function.__name__}"] = partial(function, pair)
    assert await run_all(runs) == dict.fromkeys(runs)


async def test_connection_that_is_begun_in_a_silence_is_established_after_it():
    """Guards against attempts to connect that fail by themselves while a host is silent."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = Address("127.0.0.1", listener.socket.getsockname()[1])
    drop_new_connections(listener.socket)
    with trio.fail_after(OUTCOME_S):
        async with listener, trio.open_nursery() as nursery:

            async def end_silence():
                await trio.sleep(PAUSE_S)
                stop_dropping(listener.socket)

            nursery.start_soon(end_silence)
            ours = await TcpNetwork().connect(address)
            theirs = await listener.accept()
            await ours.send_all(b"request")
            assert await theirs.receive_some(10) == b"request"

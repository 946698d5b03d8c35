"""Test calls between nodes over the in-memory network and over TCP."""

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState, is_failure
from marigoldtrail.net import Address, PeerClient, TcpNetwork, serve_peers
from marigoldtrail.net.frames import MAX_FRAME_BYTES
from marigoldtrail.testing import MemoryNetwork

SERVER = Address("10.0.0.2", 7000)


class Echo(msgspec.Struct):
    text: str


class Echoed(msgspec.Struct):
    text: str
    sender: str


async def echo(request: Echo, sender: str) -> Echoed | Failure:
    if request.text == "fail":
        return Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="echo")
    if request.text == "crash":
        raise RuntimeError("crash")
    if request.text == "slow":
        await trio.sleep(10)
    return Echoed(request.text, sender)


async def start_pair(nursery, network):
    await nursery.start(
        lambda task_status: serve_peers(
            network.endpoint(SERVER.ip), SERVER, {Echo: echo}, host="b", task_status=task_status
        )
    )
    return PeerClient(network=network.endpoint("10.0.0.1"), host="a", nursery=nursery)


class Tally(msgspec.Struct):
    count: int
    text: str = ""


async def tally(request: Tally, sender: str) -> Tally:
    """Return a reply that can't be encoded if the request asks for it."""
    odd = {1: Tally(2**64), 2: Tally(0, "\ud800"), 3: Tally(0, object())}
    return odd.get(request.count, request)


async def test_message_that_cannot_be_encoded_fails_alone(autojump_clock, nursery):
    """Guards against one value that ends the process, or leaves the other side waiting."""
    network = MemoryNetwork()
    handlers = {Echo: echo, Tally: tally}
    await nursery.start(
        lambda task_status: serve_peers(
            network.endpoint(SERVER.ip), SERVER, handlers, host="b", task_status=task_status
        )
    )
    client = PeerClient(network=network.endpoint("10.0.0.1"), host="a", nursery=nursery)
    for request in (Tally(-(2**63) - 1), Tally(10**400), Tally(4, "\udfff"), Tally(4, object())):
        failure = await client.call(SERVER, request, Tally, timeout_s=5)
        assert is_failure(failure) and failure.run_state is RunState.NOT_RUN
        assert failure.reason is Reason.BAD_REQUEST
    for number in (1, 2, 3):
        failure = await client.call(SERVER, Tally(number), Tally, timeout_s=5)
        assert is_failure(failure) and failure.run_state is RunState.MAY_HAVE_RUN
        assert failure.reason is Reason.INTERNAL
    assert await client.call(SERVER, Tally(2**64 - 1), Tally, timeout_s=1) == Tally(2**64 - 1)


def make_frame(kind, body):
    """Return a frame with an encoded body."""
    payload = b"\x94\x01" + msgspec.msgpack.encode(kind) + b"\xa1b" + body
    return len(payload).to_bytes(4, "big") + payload


ODD_BODIES = [
    b"\x81\xa1x" + b"\x91" * 200_000 + b"\x01",
    b"\x81\xa1x" + b"\x91" * 950 + b"\x01",
    b"\x81\xa4text\xa1\xff",
    b"\x81\xa4text\xcf" + b"\xff" * 8,
    b"\x81\xa4text",
    b"\xc1",
    b"",
]


async def test_odd_message_ends_no_process(autojump_clock, nursery):
    """Guards against a deeply nested or malformed message that ends its reader."""
    network = MemoryNetwork()
    client = await start_pair(nursery, network)
    for body in ODD_BODIES:
        stream = await network.endpoint("10.0.0.3").connect(SERVER)
        await stream.send_all(make_frame("Echo", body) + make_frame("None", body))
        with trio.move_on_after(1):
            await stream.receive_some(100_000)
    assert await client.call(SERVER, Echo("y"), Echoed, timeout_s=1) == Echoed("y", "a")


async def test_odd_reply_ends_no_process(autojump_clock, nursery):
    """Guards against a deeply nested or malformed reply that ends the process of the caller."""
    network = MemoryNetwork()
    bodies = list(ODD_BODIES)

    async def answer(stream):
        await stream.receive_some(1000)
        await stream.send_all(make_frame("Echoed", bodies.pop(0)))
        await trio.sleep(1)
        await stream.aclose()

    await nursery.start(network.endpoint(SERVER.ip).listen, SERVER, answer)
    while bodies:
        # Call numbers begin at 1, that of the frame.
        client = PeerClient(network=network.endpoint("10.0.0.1"), host="a", nursery=nursery)
        failure = await client.call(SERVER, Echo("x"), Echoed, timeout_s=5)
        assert is_failure(failure) and failure.run_state is RunState.MAY_HAVE_RUN


async def test_call_returns_reply_or_failure_of_the_peer(autojump_clock, nursery):
    """Guards against handler failures that are lost or break the connection."""
    client = await start_pair(nursery, MemoryNetwork())
    assert await client.call(SERVER, Echo("x"), Echoed, timeout_s=1) == Echoed("x", "a")
    failure = await client.call(SERVER, Echo("fail"), Echoed, timeout_s=1)
    assert is_failure(failure) and failure.reason is Reason.OVERLOADED
    crash = await client.call(SERVER, Echo("crash"), Echoed, timeout_s=1)
    assert is_failure(crash) and crash.run_state is RunState.MAY_HAVE_RUN
    assert await client.call(SERVER, Echo("y"), Echoed, timeout_s=1) == Echoed("y", "a")


async def test_refused_connection_is_not_run(autojump_clock, nursery):
    """Guards against `may_have_run` for a request that cannot have been sent."""
    client = PeerClient(network=MemoryNetwork().endpoint("10.0.0.1"), host="a", nursery=nursery)
    failure = await client.call(SERVER, Echo("x"), Echoed, timeout_s=1)
    assert is_failure(failure) and failure.run_state is RunState.NOT_RUN
    assert failure.reason is Reason.UNREACHABLE


async def test_silent_partition_times_out_and_heals(autojump_clock, nursery):
    """Guards against a connection that stays unusable after a silent partition."""
    network = MemoryNetwork()
    client = await start_pair(nursery, network)
    await client.call(SERVER, Echo("x"), Echoed, timeout_s=1)
    network.cut("10.0.0.1", SERVER.ip)
    failure = await client.call(SERVER, Echo("x"), Echoed, timeout_s=1)
    assert is_failure(failure) and failure.reason is Reason.TIMEOUT
    assert failure.run_state is RunState.MAY_HAVE_RUN
    network.restore("10.0.0.1", SERVER.ip)
    assert await client.call(SERVER, Echo("z"), Echoed, timeout_s=1) == Echoed("z", "a")


async def test_slow_call_does_not_delay_others(autojump_clock, nursery):
    """Guards against head-of-line blocking between calls on one connection."""
    client = await start_pair(nursery, MemoryNetwork())
    results = []

    async def call(text: str) -> None:
        results.append((await client.call(SERVER, Echo(text), Echoed, timeout_s=20)).text)

    async with trio.open_nursery() as calls:
        calls.start_soon(call, "slow")
        await trio.sleep(1)
        calls.start_soon(call, "fast")
    assert results == ["fast", "slow"]


async def test_reset_host_releases_waiting_calls(autojump_clock, nursery):
    """Guards against calls that hang when the peer's process terminates."""
    network = MemoryNetwork()
    client = await start_pair(nursery, network)

    async def kill() -> None:
        await trio.sleep(1)
        network.reset_host(SERVER.ip)

    nursery.start_soon(kill)
    failure = await client.call(SERVER, Echo("slow"), Echoed, timeout_s=5)
    assert is_failure(failure) and failure.reason is Reason.UNREACHABLE


async def test_calls_over_tcp(nursery):
    """Guards against a difference between the in-memory network and TCP."""
    network = TcpNetwork()
    address = await nursery.start(
        lambda task_status: serve_peers(
            network, Address("127.0.0.1", 0), {Echo: echo}, host="b", task_status=task_status
        )
    )
    client = PeerClient(network=network, host="a", nursery=nursery)
    assert await client.call(address, Echo("x"), Echoed, timeout_s=5) == Echoed("x", "a")
    stream = await network.connect(address)
    await stream.send_all(b"\xff\xff\xff\xffgarbage")
    assert await stream.receive_some() == b""
    assert await client.call(address, Echo("y"), Echoed, timeout_s=5) == Echoed("y", "a")


async def test_host_behind_a_forwarder_listens_on_another_address():
    """Guards against a host that is unreachable at an advertised address that it does not own."""
    network = TcpNetwork(bind_ip="127.0.0.2")
    async with trio.open_nursery() as nursery:

        async def answer(stream):
            await stream.send_all(b"here")

        address = await nursery.start(network.listen, Address("127.0.0.3", 0), answer)
        assert address.ip == "127.0.0.3"
        stream = await network.connect(Address("127.0.0.2", address.port))
        assert await stream.receive_some(10) == b"here"
        nursery.cancel_scope.cancel()


async def test_message_over_the_frame_limit_fails_at_once(autojump_clock, nursery):
    """Guards against a caller that waits for a reply too large to send, and a false run state."""
    large = "x" * (MAX_FRAME_BYTES - 20)
    client = await start_pair(nursery, MemoryNetwork())
    failure = await client.call(SERVER, Echo("x" * MAX_FRAME_BYTES), Echoed, timeout_s=5)
    assert is_failure(failure) and failure.run_state is RunState.NOT_RUN
    assert failure.reason is Reason.BAD_REQUEST
    started = trio.current_time()
    # The reply repeats the text and names the sender too.
    failure = await client.call(SERVER, Echo(large), Echoed, timeout_s=60)
    assert is_failure(failure) and failure.run_state is RunState.MAY_HAVE_RUN
    assert failure.reason is Reason.INTERNAL and trio.current_time() - started < 10
    assert await client.call(SERVER, Echo("y"), Echoed, timeout_s=1) == Echoed("y", "a")


class AskNumber(msgspec.Struct):
    bits: int


class Number(msgspec.Struct):
    value: int | str


async def make_number(request: AskNumber, sender: str) -> Number:
    return Number(2**request.bits if request.bits else "\udc80")


async def test_reply_that_cannot_be_encoded_is_answered_with_failure(autojump_clock, nursery):
    """Guards against a reply that ends the process, or leaves the caller without an answer."""
    network = MemoryNetwork()
    handlers = {AskNumber: make_number}
    await nursery.start(
        lambda task_status: serve_peers(
            network.endpoint(SERVER.ip), SERVER, handlers, host="b", task_status=task_status
        )
    )
    client = PeerClient(network=network.endpoint("10.0.0.1"), host="a", nursery=nursery)
    for bits in (0, 70):
        failure = await client.call(SERVER, AskNumber(bits), Number, timeout_s=1)
        assert is_failure(failure) and failure.reason is Reason.INTERNAL
        assert failure.run_state is RunState.MAY_HAVE_RUN
    assert await client.call(SERVER, AskNumber(3), Number, timeout_s=1) == Number(8)


async def test_request_that_cannot_be_encoded_is_not_sent(autojump_clock, nursery):
    """Guards against an exception in the caller for a request with a value out of range."""
    client = await start_pair(nursery, MemoryNetwork())
    for request in (Echo("\udc80"), AskNumber(2**70)):
        failure = await client.call(SERVER, request, Echoed, timeout_s=1)
        assert is_failure(failure) and failure.reason is Reason.BAD_REQUEST
        assert failure.run_state is RunState.NOT_RUN
    assert await client.call(SERVER, Echo("y"), Echoed, timeout_s=1) == Echoed("y", "a")


async def test_error_in_one_connection_does_not_end_the_listener(nursery):
    """Guards against a process that ends because of one connection."""
    network = TcpNetwork()

    async def handle(stream):
        data = await stream.receive_some(1)
        if data == b"r":
            raise RecursionError("nested too deeply")
        await stream.send_all(data)

    address = await nursery.start(network.listen, Address("127.0.0.1", 0), handle)
    with trio.fail_after(5):
        for data, expected in ((b"r", b""), (b"x", b"x")):
            stream = await network.connect(address)
            await stream.send_all(data)
            assert await stream.receive_some(1) == expected
            await stream.aclose()


async def test_request_of_a_later_release_is_refused_and_the_connection_goes_on(
    autojump_clock, nursery
):
    """Guards against a peer of an earlier release that hangs, or ends the calls of others."""

    class Later(msgspec.Struct):
        text: str

    client = await start_pair(nursery, MemoryNetwork())
    failure = await client.call(SERVER, Later("x"), Echoed, timeout_s=1)
    assert is_failure(failure) and failure.run_state is RunState.NOT_RUN
    assert failure.reason is Reason.BAD_REQUEST
    assert await client.call(SERVER, Echo("y"), Echoed, timeout_s=1) == Echoed("y", "a")


class LossyDials:
    """Network whose connections do not open while it is cut off, nor at all if begun meanwhile."""

    def __init__(self, network):
        self.network = network
        self.is_cut = False

    async def connect(self, address):
        if self.is_cut:
            await trio.sleep_forever()
        return await self.network.connect(address)


async def test_connection_begun_in_a_cut_does_not_delay_calls_after_it(autojump_clock, nursery):
    """Guards against calls that wait until the kernel repeats the packet of a lost attempt."""
    network = MemoryNetwork()
    await start_pair(nursery, network)
    dials = LossyDials(network.endpoint("10.0.0.1"))
    client = PeerClient(network=dials, host="a", nursery=nursery)
    dials.is_cut = True

    async def call(timeout_s):
        return await client.call(SERVER, Echo("hi"), Echoed, timeout_s=timeout_s)

    nursery.start_soon(call, 3.0)
    await trio.sleep(1.1)
    dials.is_cut = False
    reply = await call(0.45)
    assert not is_failure(reply), reply

"""Connections over real sockets."""

import trio

from marigoldtrail.net import Address, TcpNetwork


async def test_accepted_connection_is_closed_once(nursery, monkeypatch):
    """Guards against connections whose closed streams are closed again, with all that costs."""
    closes = []
    aclose_forcefully = trio.aclose_forcefully

    async def count(stream):
        closes.append(stream)
        await aclose_forcefully(stream)

    async def serve(stream):
        await stream.send_all(b"hello")

    network = TcpNetwork()
    address = await nursery.start(network.listen, Address("127.0.0.1", 0), serve)
    monkeypatch.setattr(trio, "aclose_forcefully", count)
    stream = await network.connect(address)
    with trio.fail_after(5):
        assert await stream.receive_some(100) == b"hello"
        assert await stream.receive_some(100) == b""
    assert len(closes) == 1
    await stream.aclose()

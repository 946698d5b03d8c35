"""The live feed of decisions."""

from __future__ import annotations

import socket

import pynng
import pytest
import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.net import Address
from marigoldtrail.telemetry.decisions import DecisionLog
from marigoldtrail.telemetry.feed import follow_feed, start_feed
from marigoldtrail.timers import Timers

PATIENCE_S = 30.0
PAUSE_S = 0.05


def find_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def test_followers_receive_decisions():
    """Guards against a feed without content, and a bad message that ends it."""
    decisions = DecisionLog(host="a", timers=Timers())
    address = find_address()
    close = start_feed(decisions, address)
    received = []

    async def follow() -> None:
        async for decision in follow_feed(Address.parse(address)):
            received.append(decision)
            nursery.cancel_scope.cancel()

    with trio.fail_after(PATIENCE_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow)
            while True:
                decisions.add("eject", "engines-1", "slow", duration_s=2)
                await trio.sleep(PAUSE_S)
    close()
    assert (received[0].kind, received[0].subject) == ("eject", "engines-1")
    assert received[0].inputs == {"duration_s": "2"}


async def test_unreachable_feed_is_a_failure():
    """Guards against a follower that waits for ever at a wrong address."""
    (failure,) = [item async for item in follow_feed(Address.parse(find_address()))]
    assert isinstance(failure, Failure) and failure.reason is Reason.UNREACHABLE


@pytest.mark.parametrize("address", ["nowhere", "taken"])
def test_feed_that_cannot_listen_leaves_the_node_alone(address, caplog):
    """Guards against a wrong or taken address that keeps a node from starting."""
    decisions = DecisionLog(host="a", timers=Timers())
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        if address == "taken":
            address = f"127.0.0.1:{taken.getsockname()[1]}"
        close = start_feed(decisions, address)
    decisions.add("refuse", "book", "overloaded")
    close()
    assert "no feed of decisions" in caplog.text and len(decisions.find()) == 1


def test_error_of_the_socket_leaves_decisions_alone(monkeypatch):
    """Guards against a failed send that reaches the request which took the decision."""
    decisions = DecisionLog(host="a", timers=Timers())
    close = start_feed(decisions, find_address())
    sent = []

    def fail(self, data, block=True):
        sent.append(data)
        raise pynng.TryAgain("full", 8)

    monkeypatch.setattr(pynng.Pub0, "send", fail)
    decisions.add("refuse", "book", "overloaded")
    monkeypatch.undo()
    close()
    decisions.add("refuse", "book", "overloaded")
    assert len(sent) == 1 and len(decisions.find()) == 2

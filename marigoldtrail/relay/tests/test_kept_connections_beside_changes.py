"""Requests on kept connections while the configuration changes."""

import pytest
import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_accounts,
    make_response,
    read_all,
    read_request,
)
from marigoldtrail.relay.tests.test_config_changes import CHANGES, KEYED, change_config
from marigoldtrail.relay.tests.test_connection_end import count
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.relay.tests.test_stop import make_kept_request
from marigoldtrail.routing import RouteKind

REFUSALS = (401, 404, 413, 431, 503)


def find_id(head):
    return "id-2" if b"id-2" in head else "id-1"


async def work(stream):
    while True:
        head = await read_request(stream)
        await trio.sleep(0.4)
        await stream.send_all(make_response("done", request_id=find_id(head)))


async def stream_events(stream):
    while True:
        head = await read_request(stream)
        await stream.send_all(STREAM_HEAD.replace(b"id-1", find_id(head).encode()))
        for event in EVENTS:
            await trio.sleep(0.2)
            await stream.send_all(chunk(event))
        await stream.send_all(b"0\r\n\r\n")


def make_kept(request_id):
    return make_kept_request(method="POST", request_id=request_id, body=b"b" * 40, **KEYED)


def split_responses(data):
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


# Parts of the two requests, and the time after which each is sent.
SECOND = len(make_kept("id-2"))
PARTS = {
    "read ahead": ((0.0, 0, None),),
    "second in parts": ((0.0, 0, -SECOND + 30), (0.2, -SECOND + 30, -20), (0.6, -20, None)),
    "second after the first": ((0.0, 0, -SECOND), (1.5, -SECOND, None)),
    "second in parts after the first": ((0.0, 0, -SECOND), (1.5, -SECOND, -20), (0.2, -20, None)),
}


@pytest.mark.parametrize("change", CHANGES, ids=list(CHANGES))
@pytest.mark.parametrize("parts", PARTS.values(), ids=PARTS)
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAMING])
@pytest.mark.parametrize("at", [0.3, 1.6])
async def test_each_request_of_a_kept_connection_is_answered_beside_a_change(
    autojump_clock, nursery, change, parts, kind, at
):
    """Guards against a change that closes a connection whose request was read or passed on."""
    harness = RelayHarness(nursery, kind, accounts=make_accounts(), is_public=False)
    nursery.start_soon(harness.relay.run)
    await harness.start(stream_events if kind is RouteKind.STREAMING else work)
    nursery.start_soon(lambda: change_config(harness, CHANGES[change], at=at))
    stream = await harness.connect()
    data = make_kept("id-1") + make_kept("id-2")

    async def send():
        for delay_s, start, end in parts:
            await trio.sleep(delay_s)
            await stream.send_all(data[len(data) + start if start < 0 else start : end])

    nursery.start_soon(send)
    statuses = split_responses(await read_all(stream, timeout_s=60))
    # A request that was read under the new time limit ends at it.
    late = (504,) if change == "time-out" else ()
    assert len(statuses) == 2 and statuses[0] == 200
    assert statuses[1] in (200, *REFUSALS, *late)
    assert count(harness, "requests_unanswered_total") == 0
    assert count(harness, "caller_bytes_dropped_total") == 0

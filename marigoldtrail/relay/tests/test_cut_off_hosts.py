"""Requests in progress at silent upstreams whose host therefore takes itself for cut off."""

import pytest
import trio

from marigoldtrail.net import Address
from marigoldtrail.reachability.monitor import MAX_SOUND_SILENCE_S
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.relay.tests.test_silent_upstreams import silence_upstreams
from marigoldtrail.routing import RouteKind

STREAM = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
ANSWERS = {RouteKind.SAFE: make_response("late"), RouteKind.STREAMING: STREAM}
ROUTES = {
    RouteKind.SAFE: {"max_attempts": 2},
    RouteKind.STREAMING: {"max_attempts": 2, "is_resumable": True, "target_latency_s": 1.0},
}
KINDS = pytest.mark.parametrize("kind", ROUTES)
REFUSAL = make_response("", status="503 No", headers="retry-after: 0.05\r\n")


async def close(stream):
    await read_request(stream)


async def close_late(stream):
    await read_request(stream)
    await trio.sleep(0.4)


async def refuse_late(stream):
    await read_request(stream)
    await trio.sleep(0.4)
    await stream.send_all(REFUSAL)


async def refuse_connections(stream):
    raise AssertionError("nobody can connect")


async def fetch_in_silence(nursery, kind, *entries, silence_s=1.6, listed_at=0.0):
    """Return the response to a request that was sent just before a silence, and its seconds."""

    async def answer_late(stream):
        while True:
            await read_request(stream)
            await trio.sleep(0.1)
            await stream.send_all(ANSWERS[kind])

    harness = RelayHarness(nursery, kind, **ROUTES[kind])
    await harness.start(answer_late)

    async def list_entry(address):
        await trio.sleep(listed_at)
        harness.other_entries.append(str(address))

    for number, script in enumerate(entries):
        address = Address(f"10.0.2.{number}", 80)
        nursery.start_soon(list_entry, address)
        if script is not refuse_connections:
            await harness.serve_script(address, script)
    nursery.start_soon(harness.reachability.run)
    nursery.start_soon(silence_upstreams, harness, 1, silence_s)
    started = trio.current_time()
    data = await harness.fetch(make_request())
    return data, trio.current_time() - started


def is_answer(data, kind):
    end = b"0\r\n\r\n" if kind is RouteKind.STREAMING else b"\r\n\r\nlate"
    return data.startswith(b"HTTP/1.1 200 ") and data.endswith(end)


@KINDS
@pytest.mark.parametrize(
    "entry", [None, refuse_connections, reply_with(REFUSAL), close, close_late, refuse_late]
)
async def test_request_is_kept_while_no_other_entry_serves_it(autojump_clock, nursery, kind, entry):
    """Guards against a failure in place of the answer of an upstream that was only silent."""
    entries = [entry] if entry is not None else []
    data, took_s = await fetch_in_silence(nursery, kind, *entries)
    assert is_answer(data, kind)
    assert took_s < 2.3


@KINDS
async def test_request_leaves_for_an_entry_that_serves_it(autojump_clock, nursery, kind):
    """Guards against a request that waits for silent upstreams though another entry serves it."""
    serve = reply_with(ANSWERS[kind])
    data, took_s = await fetch_in_silence(nursery, kind, serve, silence_s=60.0)
    assert is_answer(data, kind) and took_s < MAX_SOUND_SILENCE_S + 1.0


def read_pause_s(data):
    return float(data.lower().partition(b"retry-after: ")[2].split(b"\r")[0])


async def test_callers_that_come_back_a_few_times_outlast_a_silence(autojump_clock, nursery):
    """Guards against callers that use up their attempts while no entry reaches an upstream."""
    harness = RelayHarness(nursery, RouteKind.UNSAFE)
    await harness.start(reply_with(make_response("ok"), make_response("ok", request_id="id-2")))
    nursery.start_soon(harness.reachability.run)
    nursery.start_soon(silence_upstreams, harness, 1, 1.6)
    # The first request is sent in the silence, which is found then.
    nursery.start_soon(harness.fetch, make_request(request_id="id-0"))
    await trio.sleep(1.1)
    assert harness.reachability.is_cut_off
    for _ in range(4):
        data = await harness.fetch(make_request(request_id="id-2"))
        if data.startswith(b"HTTP/1.1 200 "):
            break
        assert data.startswith(b"HTTP/1.1 503 ")
        await trio.sleep(read_pause_s(data))
    assert data.endswith(b"\r\n\r\nok")


async def test_refusal_tells_when_to_come_back(autojump_clock, nursery):
    """Guards against callers that wait though another entry may serve them."""
    harness = RelayHarness(nursery, RouteKind.SAFE)
    await harness.start()
    harness.reachability.is_cut_off = True
    assert read_pause_s(await harness.fetch(make_request())) == 0.5
    # The other one may have ended, or reaches no upstream either.
    headers = ("X-Marigoldtrail-Entry: other",)
    assert read_pause_s(await harness.fetch(make_request(headers=headers))) == 0.5
    harness.other_entries.append("10.0.2.0:80")
    await trio.sleep(1.1)
    assert read_pause_s(await harness.fetch(make_request())) < 0.1


async def test_refusal_without_a_leader_sends_callers_on_at_once(autojump_clock, nursery):
    """Guards against callers that wait at a host which is partitioned from all others."""
    harness = RelayHarness(nursery, RouteKind.SAFE)
    await harness.start()
    harness.reachability.is_cut_off = True
    harness.other_entries = None
    assert read_pause_s(await harness.fetch(make_request())) < 0.1

"""Silences of upstreams beside responses that wait for the memory of the host."""

import random

import pytest
import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_config_changes import CHANGES, change_config
from marigoldtrail.relay.tests.test_endless_answers import CHUNKED, HEAD, STREAM, fetch_all
from marigoldtrail.relay.tests.test_silent_upstreams import silence_upstreams
from marigoldtrail.routing import RouteKind

BODY = "x" * 300_000
KIB = 1024
PART_BYTES = 64 * KIB
HOST_MB = 160
# Parts of an answer follow each other in this time, in seconds.
PART_INTERVAL_S = 0.005
# When all upstreams fall silent, in seconds: before their answers, and within them.
SILENT_AT_S = (0.0, 0.06)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("silence_s", [0.0, 1.0])
async def test_response_that_waits_for_memory_does_not_count_as_silent(
    autojump_clock, nursery, silence_s, framing
):
    """Guards against a host that leaves upstreams from which it did not read, as if cut off."""
    sends = []

    async def answer(stream):
        sends.append(await read_request(stream))
        data = make_response(BODY)
        if framing == "chunks":
            data = data.replace(b"content-length: 300000", b"transfer-encoding: chunked")
            data = data.replace(BODY.encode(), b"%x\r\n%s\r\n0\r\n\r\n" % (300_000, BODY.encode()))
        await stream.send_all(data)
        await trio.sleep(9)

    harness = RelayHarness(nursery, memory_mb=8, max_attempts=2)
    await harness.start(answer)
    nursery.start_soon(harness.reachability.run)

    async def fill_memory(task_status):
        with harness.memory.open("response", "other", has_known_size=True) as account:
            assert await account.take(harness.memory.total_bytes)
            account.complete()
            task_status.started()
            await trio.sleep(2.8)

    await nursery.start(lambda task_status: fill_memory(task_status))

    async def be_silent():
        await trio.sleep(1.4)
        await silence_upstreams(harness, 1, silence_s)

    nursery.start_soon(be_silent)
    data = await harness.fetch(make_request())
    assert data.startswith(b"HTTP/1.1 200"), data[:300]
    assert len(data) > 300_000 and len(sends) == 1


async def test_upstream_whose_answer_waits_for_memory_is_not_slow(autojump_clock, nursery):
    """Guards against upstreams ejected, and requests run twice, for want of memory on the host."""
    sends = []
    harness = RelayHarness(nursery, memory_mb=8, max_attempts=2)
    scripts = [reply_with(make_response(BODY), seen=sends) for _ in range(2)]
    await harness.start(*scripts)
    account = harness.memory.open("response", "other", has_known_size=True)
    assert await account.take(harness.memory.total_bytes)
    account.complete()

    async def make_room():
        await trio.sleep(1.5)
        account.close()

    nursery.start_soon(make_room)
    assert (await harness.fetch(make_request())).endswith(BODY.encode())
    records = [harness.monitor.get_record(f"i-{number}") for number in range(2)]
    assert len(sends) == 1 and not any(record.ejected_until for record in records)


def make_upstream(rng, kind, wait_until_heard):
    """Return a script whose answers of several lengths stop while its upstream is silent."""

    async def script(stream):
        while True:
            await read_request(stream)
            if kind == "stream":
                size = rng.choice([2, 50, 200]) * KIB
                events = (b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n in range(1, 9))
                body, head = b"".join(events), STREAM
            else:
                body, head = b"x" * (rng.choice([100, 300, 1024, 2048]) * KIB), HEAD + CHUNKED
            if kind == "length":
                head = HEAD + b"content-length: %d\r\n\r\n" % len(body)
            parts = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
            if kind != "length":
                parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
                parts.append(b"0\r\n\r\n")
            for part in [head, *parts]:
                await wait_until_heard()
                await stream.send_all(part)
                await trio.sleep(PART_INTERVAL_S)

    return script


def is_complete(data):
    """Return whether a response has its announced length, or the end of its chunks."""
    head, _, body = data.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    if lengths:
        return len(body) == int(lengths[0].split(b":")[1])
    return body.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("kind", ["length", "chunks", "stream"])
@pytest.mark.parametrize("at", SILENT_AT_S)
@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5, 2.0])
async def test_all_that_a_silence_held_back_gets_complete_responses_beside_a_change(
    autojump_clock, nursery, kind, at, silence_s
):
    """Guards against connections closed, and upstreams blamed, when all answers come at once."""
    rng = random.Random(1)
    silent_from = trio.current_time() + at

    async def wait_until_heard():
        if trio.current_time() >= silent_from:
            await trio.sleep_until(silent_from + silence_s)

    harness = RelayHarness(
        nursery,
        RouteKind.STREAMING if kind == "stream" else RouteKind.SAFE,
        memory_mb=HOST_MB,
    )
    await harness.start(*(make_upstream(rng, kind, wait_until_heard) for _ in range(4)))
    nursery.start_soon(harness.reachability.run)

    async def change():
        await change_config(harness, CHANGES["weights"], at=at + silence_s / 2)

    nursery.start_soon(change)
    received = await fetch_all(harness, make_request())
    assert all(is_complete(data) for data in received), {data[:12] for data in received}
    failures = [harness.monitor.get_record(f"i-{number}").ejected_until for number in range(4)]
    assert not any(failures), failures

"""Requests that an entry without upstreams forwards to another entry."""

import pytest
import trio

from marigoldtrail.net import Address
from marigoldtrail.reachability.monitor import MAX_SOUND_SILENCE_S
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
    reply_with,
)
from marigoldtrail.routing import RouteKind

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: 1\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def start(nursery, script, kind=RouteKind.SAFE, *, others=1, **route):
    """Return the harness of an entry that is cut off, and the addresses of other entries."""
    harness = RelayHarness(nursery, kind, **route)
    harness.reachability.is_cut_off = True
    await harness.start()
    for number in range(others):
        address = Address(f"10.0.2.{number}", 80)
        harness.other_entries.append(str(address))
        await harness.serve_script(address, script)
    return harness


async def test_forwarded_request_keeps_its_headers_and_the_time_that_is_left(
    autojump_clock, nursery
):
    """Guards against an entry that can't tell whose request it is, or has too much time."""
    seen = []
    harness = await start(nursery, reply_with(make_response("ok"), seen=seen))
    headers = ["Authorization: Token k1", "X-Deadline-Ms: 1000", "X-Hold: h"]
    data = await harness.fetch(make_request(headers=headers))
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    sent = seen[0].lower()
    assert b"authorization: token k1" in sent and b"x-request-id: id-1" in sent
    assert b"x-marigoldtrail-entry: entry" in sent and b"x-expect-instance" not in sent
    left_ms = int(sent.partition(b"x-deadline-ms: ")[2].split(b"\r")[0])
    assert sent.count(b"x-deadline-ms") == 1 and left_ms <= 4000


async def test_forwarded_request_is_not_forwarded_again(autojump_clock, nursery):
    """Guards against requests that go round between entries which are cut off."""
    seen = []
    harness = await start(nursery, reply_with(make_response("ok"), seen=seen))
    data = await harness.fetch(make_request(headers=["X-Marigoldtrail-Entry: other"]))
    assert data.startswith(b"HTTP/1.1 503") and b"reaches no upstream" in data and not seen


async def test_unsafe_request_is_given_to_one_entry_only(autojump_clock, nursery):
    """Guards against an order that two entries run, and a promise that it did not run."""
    seen = []

    async def close(stream):
        seen.append(await read_request(stream))

    harness = await start(nursery, close, RouteKind.UNSAFE, others=3, max_attempts=3)
    data = await harness.fetch(make_request(method="POST", body=b"b"))
    assert data.startswith(b"HTTP/1.1 502") and len(seen) == 1


async def test_refusal_of_the_other_entry_reaches_the_caller(autojump_clock, nursery):
    """Guards against a refusal that hides that the request did not run, or when to return."""
    refusal = make_response("no", status="503 No", headers="retry-after: 1.5\r\n")
    harness = await start(nursery, reply_with(refusal), RouteKind.UNSAFE)
    data = await harness.fetch(make_request(method="POST", body=b"b"))
    assert data.startswith(b"HTTP/1.1 503") and b"retry-after: 1.5" in data.lower()


@pytest.mark.parametrize("status", [400, 401, 403, 404, 413, 431])
@pytest.mark.parametrize("kind", RouteKind)
async def test_request_that_was_accepted_is_not_denied_by_the_other_entry(
    autojump_clock, nursery, status, kind
):
    """Guards against a denial of a request by a configuration that is not that of its arrival."""
    denial = make_response("no", status=f"{status} No", headers="")
    harness = await start(nursery, reply_with(denial), kind, max_attempts=2)
    data = await harness.fetch(make_request(method="POST", body=b"b"))
    assert data.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.5" in data.lower()


@pytest.mark.parametrize("status", [400, 404, 413])
async def test_error_of_an_upstream_is_passed_on_by_the_other_entry(
    autojump_clock, nursery, status
):
    """Guards against a promise that a request did not run, in place of an upstream's answer."""
    answer = make_response("no such thing", status=f"{status} No")
    harness = await start(nursery, reply_with(answer), RouteKind.UNSAFE)
    data = await harness.fetch(make_request(method="POST", body=b"b"))
    assert data.startswith(b"HTTP/1.1 %d " % status) and data.endswith(b"no such thing")


async def test_entry_that_refuses_connections_is_passed_over(autojump_clock, nursery):
    """Guards against a refusal because one of the listed entries has stopped."""
    harness = await start(nursery, reply_with(make_response("ok")), RouteKind.UNSAFE)
    harness.other_entries.insert(0, "10.0.3.1:80")
    for number in range(6):
        data = await harness.fetch(make_request(request_id=f"id-{number}"))
        assert data.startswith(b"HTTP/1.1 200")


async def test_forwarded_stream_that_breaks_off_does_not_look_complete(autojump_clock, nursery):
    """Guards against a broken stream that the caller takes for whole."""
    for rest, is_closed in ((b"", True), (chunk(b"id: 2\nda") + b"0\r\n\r\n", False)):

        async def script(stream, rest=rest):
            await read_request(stream)
            await stream.send_all(STREAM_HEAD + chunk(EVENT) + rest)

        harness = await start(nursery, script, RouteKind.STREAMING)
        data = await harness.fetch(make_request(method="POST", body=b"b"))
        assert EVENT in data and b"id: 2" not in data, is_closed
        assert not data.endswith(b"0\r\n\r\n")


async def test_other_entry_learns_that_the_caller_has_left(autojump_clock, nursery):
    """Guards against work at upstreams for callers that left the forwarding entry."""
    closed_at = []

    async def wait(stream):
        await read_request(stream)
        await read_all(stream, timeout_s=3.0)
        closed_at.append(trio.current_time())

    harness = await start(nursery, wait)
    stream = await harness.connect()
    await stream.send_all(make_request())
    await trio.sleep(0.3)
    left_at = trio.current_time()
    await stream.aclose()
    await trio.sleep(0.3)
    assert closed_at and closed_at[0] - left_at < 0.2


async def test_request_is_refused_at_once_without_another_entry(autojump_clock, nursery):
    """Guards against a caller that waits in vain."""
    harness = await start(nursery, reply_with(make_response("ok")), others=0)
    started = trio.current_time()
    data = await harness.fetch(make_request())
    assert data.startswith(b"HTTP/1.1 503") and trio.current_time() - started < 0.1


@pytest.mark.parametrize("filler", [b"", b":", b"\n", b": wait\n\n"])
@pytest.mark.parametrize("leaves", [True, False])
async def test_forwarded_stream_without_events_ends_with_its_caller(
    autojump_clock, nursery, filler, leaves
):
    """Guards against a silent stream that is kept after its caller has left, or its deadline."""
    ends = []

    async def stall(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENT))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(note_end, stream, nursery.cancel_scope)
            while True:
                if filler:
                    await stream.send_all(chunk(filler))
                await trio.sleep(0.3)

    async def note_end(stream, scope):
        while await stream.receive_some(1):
            pass
        ends.append(trio.current_time())
        scope.cancel()

    harness = await start(nursery, stall, RouteKind.STREAMING, timeout_s=60.0, max_gap_s=0.2)
    # The deadline of the request is 4 s after its start.
    started = trio.current_time()
    stream = await harness.connect()
    await stream.send_all(make_request(method="POST", body=b"b"))
    data = await read_all(stream, timeout_s=3.0 if leaves else 10.0)
    await stream.aclose()
    assert EVENT in data and not data.endswith(b"0\r\n\r\n")
    await trio.sleep(0.2)
    took_s = ends[0] - started
    assert (3.0 if leaves else 3.9) <= took_s < (3.1 if leaves else 4.1)
    assert harness.relay.requests == 0


async def test_part_of_an_event_is_not_joined_to_the_events_of_another_entry(
    autojump_clock, nursery
):
    """Guards against an answer whose first event holds bytes of two runs."""

    async def stop_within_event(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(b"id: 1\ndata: part of"))
        await trio.sleep(100)

    async def run_again(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENT) + b"0\r\n\r\n")

    harness = await start(
        nursery,
        run_again,
        RouteKind.STREAMING,
        is_resumable=True,
        max_attempts=2,
        target_latency_s=1.0,
    )
    harness.reachability.is_cut_off = False
    await harness.add_upstream(0, stop_within_event)
    stream = await harness.connect()
    await stream.send_all(make_request(method="POST", body=b"b"))
    await trio.sleep(0.6)
    harness.reachability._change(True)
    await trio.sleep(MAX_SOUND_SILENCE_S)
    harness.reachability._tell_listeners()
    data = await read_all(stream)
    assert data.endswith(chunk(EVENT) + b"0\r\n\r\n") and b"part of" not in data


async def test_refusal_of_another_entry_does_not_hide_an_earlier_attempt(autojump_clock, nursery):
    """Guards against a promise that a request has not run which an upstream had before."""
    refusal = make_response("no", status="404 No", headers="")
    harness = await start(nursery, reply_with(refusal), max_attempts=3)
    harness.reachability.is_cut_off = False

    async def fail(stream):
        await read_request(stream)
        harness.reachability.is_cut_off = True

    await harness.add_upstream(0, fail)
    data = await harness.fetch(make_request())
    assert data.startswith(b"HTTP/1.1 502 ") and b"of another configuration" in data

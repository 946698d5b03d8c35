"""Streams that break off, and what other upstreams answer when they are to go on there."""

import pytest
import trio

from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_all,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind

SEAL = "x-response-seal: s\r\n"
TEXT = "some text\n\nof an error\n\n"
ANSWERS = {
    "no content": make_response("", status="204 No Content"),
    "plain text": make_response(TEXT, headers=f"{SEAL}content-type: text/plain\r\n"),
    "created": make_response(TEXT, status="201 Created"),
    "partial": make_response(TEXT, status="206 Partial Content"),
    "redirect": make_response(TEXT, status="301 Moved"),
    "bad request": make_response(TEXT, status="400 Bad Request"),
    "not found": make_response(TEXT, status="404 Not Found"),
    "too many": make_response(TEXT, status="429 Too Many"),
    "error": make_response(TEXT, status="500 Error"),
    "full": make_response(TEXT, status="503 Full"),
    "refusal": make_response(TEXT, status="503 Full", headers="x-not-executed: 1\r\n"),
    "unsigned": make_response(TEXT, headers="content-type: text/event-stream\r\n"),
    "head only": make_response(TEXT)[:-30],
}


async def break_off(stream):
    await read_request(stream)
    await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
    await trio.sleep(0.1)


async def fetch_broken_stream(nursery, *others, version="1.1"):
    """Return the response to a stream that breaks off after its first event."""
    harness = RelayHarness(nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=4)
    await harness.start(break_off)
    stream = await harness.connect()
    request = make_request(method="POST", body=b"b").replace(
        b"HTTP/1.1", f"HTTP/{version}".encode()
    )
    await stream.send_all(request)
    await trio.sleep(0.05)
    for number, script in enumerate(others, start=1):
        await harness.add_upstream(number, script)
    return await read_all(stream)


@pytest.mark.parametrize("kind", list(ANSWERS))
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_other_answer_does_not_go_on_in_a_stream(
    autojump_clock, nursery, kind, version, monkeypatch
):
    """Guards against an error's text in a stream, and a stream that ends as if complete."""
    resets = []
    monkeypatch.setattr(
        "marigoldtrail.relay.caller_connection.reset_on_close", lambda stream: resets.append(stream)
    )
    data = await fetch_broken_stream(nursery, reply_with(ANSWERS[kind]), version=version)
    assert data.count(EVENTS[0]) == 1
    rest = data.partition(EVENTS[0])[2]
    assert rest in (b"", b"\r\n")
    # A response without chunks ends with its connection, which must be reset therefore.
    assert version == "1.1" or len(resets) == 1


async def test_stream_goes_on_behind_an_upstream_with_another_answer(autojump_clock, nursery):
    """Guards against a stream that ends because one upstream could not continue it."""

    async def resume(stream):
        assert b"last-event-id: 1" in (await read_request(stream)).lower()
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")

    answer = reply_with(ANSWERS["no content"])
    data = await fetch_broken_stream(nursery, answer, answer, resume)
    assert [data.count(event) for event in EVENTS] == [1, 1, 1] and data.endswith(b"0\r\n\r\n")


async def test_answer_without_events_is_returned_if_no_stream_has_begun(autojump_clock, nursery):
    """Guards against an upstream's own answer to a stream's request that is changed or withheld."""
    for kind, status in (("no content", b"204"), ("plain text", b"200"), ("not found", b"404")):
        harness = RelayHarness(nursery, RouteKind.STREAMING)
        await harness.start(reply_with(ANSWERS[kind]))
        data = await harness.fetch(make_request(method="POST", body=b"b"))
        assert data.startswith(b"HTTP/1.1 " + status) and b"x-response-seal: s" in data.lower()
        assert data.partition(b"\r\n\r\n")[2] == (b"" if kind == "no content" else TEXT.encode())


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING])
async def test_head_that_ends_early_gives_no_success(autojump_clock, nursery, kind):
    """Guards against a 200 with an empty or short body for an upstream that closed in its head."""
    stream_head = STREAM_HEAD + chunk(EVENTS[0])
    for answer in (make_response("whole"), make_response(""), stream_head):
        head_bytes = answer.index(b"\r\n\r\n") + 4
        for length in range(head_bytes):

            async def script(stream, part=answer[:length]):
                await read_request(stream)
                await stream.send_all(part)

            harness = RelayHarness(nursery, kind)
            await harness.start(script)
            data = await harness.fetch(make_request(method="POST", body=b"b"))
            assert data.startswith(b"HTTP/1.1 502"), (length, data)

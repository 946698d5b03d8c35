"""Tests of the application behind hypercorn over real sockets, by outcome only."""

from functools import partial

import msgspec
import pytest
import trio

from marigoldtrail.api import ApiClient, serve_api
from marigoldtrail.api.tests.helpers import NOT_RUN, Rig, answer_to
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, TcpNetwork
from marigoldtrail.serving import compute_digest

LOOPBACK = Address("127.0.0.1", 0)
HEAD = b"POST /v1/pipelines/quotes/requests HTTP/1.1\r\nhost: a\r\nclient-account: acme\r\n"


async def start(nursery, rig, **options):
    return await nursery.start(partial(serve_api, rig.app, LOOPBACK, **options))


async def test_answers_and_refusals_reach_the_client(nursery):
    """Guards against an output or run state that is altered between server and client."""
    rig = Rig()
    async with ApiClient(address=await start(nursery, rig)) as client:
        answer = await client.submit("quotes", "acme", {"item": 7}, idempotency_key="k1")
        assert answer["output"] == {"price": 7}
        assert rig.server.requests[0].idempotency_key == "k1"

        async def refuse(req, sink):
            return NOT_RUN

        rig.server.request_handler = refuse
        failure = await client.submit("quotes", "acme", 1)
        assert (failure.reason, failure.run_state) == (Reason.OVERLOADED, RunState.NOT_RUN)
        assert (await client.submit("nope", "acme", 1)).reason is Reason.UNKNOWN_PIPELINE
        assert (await client.list_addresses()) == []
        assert (await client.get_request_record("00r")).reason is Reason.NOT_FOUND

        async def altered(req, sink):
            return msgspec.structs.replace(answer_to(req, "a"), digest=compute_digest("b"))

        rig.server.request_handler = altered
        assert (await client.submit("quotes", "acme", 1)).reason is Reason.BAD_ANSWER


async def test_stream_is_verified_by_the_client(nursery):
    """Guards against accepting a truncated, altered or refused stream as complete."""
    rig = Rig()
    text = "a b "

    async def generate(req, sink, *, output=text, failure=None, crash=False):
        await sink.token(0, "a ")
        await trio.sleep(0.01)
        await sink.token(1, "b ")
        if crash:
            await trio.sleep(0.01)
            raise RuntimeError("crash")
        return failure or answer_to(req, output, count=2)

    cases = {
        "complete": ({}, None),
        "altered": ({"output": "a c "}, Reason.BAD_ANSWER),
        "refused": ({"failure": NOT_RUN}, Reason.OVERLOADED),
        "truncated": ({"crash": True}, Reason.UNREACHABLE),
    }
    async with ApiClient(address=await start(nursery, rig)) as client:
        for name, (options, reason) in cases.items():
            rig.server.request_handler = partial(generate, **options)
            async with client.stream("quotes", "acme", 1) as stream:
                tokens = [token async for token in stream]
            assert tokens[0][0] == 0 and stream.text == text, name
            assert (stream.failure.reason if stream.failure else None) is reason, name
            assert (stream.end is not None) == (reason is None), name


async def test_disconnect_cancels_the_request(nursery):
    """Guards against a request that keeps running after its caller closed the connection."""
    rig = Rig()
    started, cancelled = trio.Event(), trio.Event()

    async def wait(req, sink):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    rig.server.request_handler = wait
    stream = await TcpNetwork().connect(await start(nursery, rig))
    await stream.send_all(HEAD + b'content-length: 12\r\n\r\n{"input": 1}')
    await started.wait()
    await stream.aclose()
    await cancelled.wait()
    assert rig.server.finished == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"garbage\r\n\r\n", b"400"),
        (HEAD + b"content-length: 12\r\ncontent-length: 13\r\n\r\n", b"400"),
        (HEAD + b"content-length: 99999\r\n\r\n", b"413"),
        (HEAD + b"x: " + b"y" * 20_000 + b"\r\n\r\n", b"431"),
        (HEAD + b"x: " + b"y" * 100_000, b"431"),
        (HEAD + b"bad header\r\n\r\n", b"400"),
    ],
)
async def test_malformed_requests_leave_the_server_running(nursery, data, status):
    """Guards against malformed requests that stop the server or are executed."""
    rig = Rig()
    address = await start(nursery, rig)
    stream = await TcpNetwork().connect(address)
    await stream.send_all(data)
    answer = b""
    while chunk := await stream.receive_some():
        answer += chunk
        if b"\r\n\r\n" in answer:
            break
    assert answer.startswith(b"HTTP/1.1 " + status)
    await stream.aclose()
    assert rig.server.requests == []
    async with ApiClient(address=address) as client:
        assert not isinstance(await client.submit("quotes", "acme", 1), Failure)


async def wait_refused(address):
    """Wait until connections to an address are refused."""
    with trio.fail_after(10):
        while True:
            try:
                await (await TcpNetwork().connect(address)).aclose()
            except OSError:
                return
            await trio.sleep(0.01)


async def test_shutdown_finishes_requests_in_progress(nursery):
    """Guards against a shutdown that aborts a request in progress or never ends."""
    rig = Rig()
    started, shutdown, go_on, ended = (trio.Event() for _ in range(4))

    async def wait(req, sink):
        started.set()
        await go_on.wait()
        return answer_to(req, "done")

    async def serve(task_status):
        await serve_api(rig.app, LOOPBACK, shutdown=shutdown, task_status=task_status)
        ended.set()

    rig.server.request_handler = wait
    address = await nursery.start(serve)
    answers = []

    async def submit():
        async with ApiClient(address=address) as client:
            answers.append(await client.submit("quotes", "acme", 1))

    async with trio.open_nursery() as callers:
        callers.start_soon(submit)
        await started.wait()
        shutdown.set()
        await wait_refused(address)
        async with ApiClient(address=address) as late:
            refusal = await late.submit("quotes", "acme", 1)
        assert (refusal.reason, refusal.run_state) == (Reason.UNREACHABLE, RunState.NOT_RUN)
        go_on.set()
    assert answers[0]["output"] == "done"
    await ended.wait()

"""Tests of pipeline requests: validation, responses, streams and disconnects."""

import hashlib
import json

import msgspec
import pytest
import trio

from marigoldtrail.api.tests.helpers import NOT_RUN, Rig, answer_to, check_problem, make_node
from marigoldtrail.errors import Failure, Reason, RunState

KEY = (b"idempotency-key", b"k1")


async def test_answer_names_request_key_and_trace(autojump_clock):
    """Guards against a response without its request id, key or trace context."""
    rig = Rig()
    trace_id = b"0af7651916cd43dd8448eb211c80319c"
    parent = b"00-" + trace_id + b"-b7ad6b7169203331-01"
    status, headers, body = await rig.submit(headers=[KEY, (b"traceparent", parent)])
    (req,) = rig.server.requests
    answer = json.loads(body)
    assert status == 200 and answer["output"] == {"price": 7}
    assert answer["request_id"] == req.request_id == headers[b"request-id"].decode()
    digest = hashlib.sha256(b'{"price":7}').hexdigest()
    assert answer["end"] == {"count": 1, "digest": digest}
    assert (req.idempotency_key, headers[b"idempotency-key"]) == ("k1", b"k1")
    assert trace_id in headers[b"traceparent"] and headers[b"traceparent"] != parent
    assert (req.priority, req.deadline) == (4, trio.current_time() + 3)


async def test_request_id_is_the_key_without_one_and_digest_ignores_key_order(autojump_clock):
    """Guards against failing to recognise a repeated request."""
    rig = Rig()
    _, headers, _ = await rig.submit(b'{"input": {"a": 1, "b": 2}}')
    await rig.submit(b'{"input": {"b": 2, "a": 1}, "deadline_ms": 9}')
    await rig.submit(b'{"input": {"b": 2, "a": 2}}')
    first, second, third = rig.server.requests
    assert headers[b"idempotency-key"].decode() == first.idempotency_key == first.request_id
    assert first.digest == second.digest != third.digest


@pytest.mark.parametrize(
    ("body", "status", "text"),
    [
        (b"", 400, "body"),
        (b'{"input": 1', 400, "body"),
        (b'{"input": 1, "input": 2}', 400, "given twice"),
        (b'{"input": ' + b"[" * 100 + b"]" * 100 + b"}", 400, "levels deep"),
        (b'{"input": ' + b"[" * 2000, 400, "body"),
        (b'{"input": "' + b"x" * 5000 + b'"}', 413, "4096 bytes"),
        (b'{"input": NaN}', 400, "NaN"),
        (b'{"input": 1e999}', 400, "$.input"),
        (b'{"input": "\\ud800"}', 400, "$.input"),
        (b'{"input": "\xff"}', 400, "body"),
        (b"[1]", 400, "JSON object"),
        (b"{}", 400, "$.input: missing"),
        (b'{"input": 1, "colour": 2}', 400, "$.colour"),
        (b'{"input": 1, "stream": 1}', 400, "$.stream"),
        (b'{"input": 1, "deadline_ms": true}', 400, "$.deadline_ms"),
        (b'{"input": 1, "deadline_ms": 0}', 400, "$.deadline_ms"),
        (b'{"input": 1, "deadline_ms": 11001}', 400, "1 to 11000"),
    ],
)
async def test_bad_bodies_are_refused_with_their_place(autojump_clock, body, status, text):
    """Guards against invalid input that crashes the handler or reaches a pipeline."""
    rig = Rig()
    check_problem(await rig.submit(body), status, text=text)
    assert rig.server.requests == []


@pytest.mark.parametrize(
    ("headers", "status", "text"),
    [
        ([(b"client-account", b"acme")], 400, "client-account is given twice"),
        ([KEY, KEY], 400, "idempotency-key is given twice"),
        ([(b"idempotency-key", b"")], 400, "must not be empty"),
        ([(b"idempotency-key", b"x" * 129)], 400, "at most 128"),
        ([(b"idempotency-key", b"\xe9")], 400, "ASCII"),
        ([(b"request-priority", b"10")], 400, "0 to 9"),
        ([(b"request-priority", b"-1")], 400, "0 to 9"),
        ([(b"content-length", b"99999")], 413, "4096 bytes"),
        ([(b"x", b"y" * 20000)], 431, "16384 bytes"),
        ([(b"x-%d" % number, b"y") for number in range(70)], 431, "at most 64"),
    ],
)
async def test_bad_headers_are_refused(autojump_clock, headers, status, text):
    """Guards against ambiguous or oversized headers."""
    rig = Rig()
    check_problem(await rig.submit(headers=headers), status, text=text)
    assert rig.server.requests == []


async def test_unknown_names_are_refused(autojump_clock):
    """Guards against running requests of accounts or pipelines that are not in the manifest."""
    rig = Rig()
    known = {"reason": "unknown_pipeline", "text": "quotes"}
    check_problem(await rig.submit(name="nope"), 404, **known)
    path = "/v1/pipelines/quotes/requests"
    check_problem(await rig.send_request("POST", path), 400, text="client-account: missing")
    headers = [(b"client-account", b"other")]
    response = await rig.send_request("POST", path, headers=headers)
    check_problem(response, 403, reason="unknown_account")
    check_problem(await rig.send_request("GET", path), 405, text="POST")
    check_problem(await rig.send_request("GET", "/v1/nothing"), 404, reason="not_found")
    check_problem(await rig.send_request("GET", "/v1/requests/%ff"), 404, reason="not_found")
    check_problem(
        await rig.send_request("GET", "/v1/requests/" + "x" * 200), 400, text="at most 128"
    )
    for query in ("state=x", "limit=0", "limit=x", "a=1", "state=done&state=done", "state"):
        check_problem(await rig.send_request("GET", f"/v1/claims?{query}"), 400, text="query")


async def test_slow_and_endless_bodies_are_cut_off(autojump_clock):
    """Guards against callers that keep a request open without completing its body."""
    rig = Rig()
    check_problem(await rig.submit(parts=[b'{"input"']), 408, text="not complete")
    assert trio.current_time() < 6
    check_problem(await rig.submit(parts=[b"x" * 1000] * 50), 413, text="4096 bytes")
    assert await rig.submit(parts=[b"{"], disconnect_after=1.0) == (0, {}, b"")
    assert rig.server.requests == []


async def test_refusals_name_other_entries_and_the_time_to_retry(autojump_clock):
    """Guards against a refusal without alternative addresses or a retry delay."""
    rig = Rig(nodes=[make_node("a", "nbo-1"), make_node("b", "nbo-2")])

    async def refuse(req, sink):
        return msgspec.structs.replace(NOT_RUN, retry_after_s=1.2)

    rig.server.request_handler = refuse
    response = await rig.submit()
    problem = check_problem(response, 503, reason="overloaded")
    assert problem.alternatives == ["10.0.0.98:8000"] and problem.request_id
    assert (problem.retry_after_s, response[1][b"retry-after"]) == (1.2, b"2")


async def test_every_reason_gives_a_valid_problem(autojump_clock):
    """Guards against a reason without a status, and alternatives for requests that may have run."""
    rig = Rig(nodes=[make_node("b", "nbo-1")])
    for reason in Reason:
        for run_state in RunState:
            failure = Failure(reason=reason, run_state=run_state, step="s", peer="p")

            async def fail(req, sink, failure=failure):
                return failure

            rig.server.request_handler = fail
            status, headers, body = await rig.submit()
            problem = check_problem(
                (status, headers, body), status, reason=reason.value, run_state=run_state.value
            )
            assert 400 <= status < 600
            assert not (problem.alternatives and run_state is RunState.MAY_HAVE_RUN)


async def test_crash_of_a_handler_may_have_run(autojump_clock):
    """Guards against reporting `not_run` after an exception in the server."""
    rig = Rig()

    async def crash(req, sink):
        raise RuntimeError("crash")

    rig.server.request_handler = crash
    check_problem(await rig.submit(), 500, reason="internal", run_state="may_have_run")


def read_events(body):
    events = []
    for event in body.decode().split("\n\n")[:-1]:
        name, data = event.split("\n")
        events.append((name.removeprefix("event: "), json.loads(data.removeprefix("data: "))))
    return events


STREAM = b'{"input": "x", "stream": true}'


async def test_stream_ends_with_its_marker(autojump_clock):
    """Guards against lost or reordered tokens and a missing end marker."""
    rig = Rig()

    async def generate(req, sink):
        for number in range(5):
            await sink.token(number, f"t{number} ")
            await trio.sleep(0.01 if number != 2 else 0)
        return answer_to(req, "t0 t1 t2 t3 t4 ", count=5)

    rig.server.request_handler = generate
    status, headers, body = await rig.submit(STREAM)
    *tokens, (name, end) = read_events(body)
    assert status == 200 and headers[b"content-type"] == b"text/event-stream"
    assert "".join(data["text"] for _, data in tokens) == "t0 t1 t2 t3 t4 "
    assert tokens[0][1]["n"] == 0 and name == "end"
    digest = hashlib.sha256(b"t0 t1 t2 t3 t4 ").hexdigest()
    assert end == {"count": 5, "digest": digest, "request_id": headers[b"request-id"].decode()}


async def test_stream_refused_before_and_after_its_first_token(autojump_clock):
    """Guards against a refusal that can be mistaken for a complete response."""
    rig = Rig()

    async def refuse(req, sink):
        return NOT_RUN

    async def break_off(req, sink):
        await sink.token(0, "t")
        return msgspec.structs.replace(NOT_RUN, run_state=RunState.MAY_HAVE_RUN)

    rig.server.request_handler = refuse
    check_problem(await rig.submit(STREAM), 503, reason="overloaded")
    rig.server.request_handler = break_off
    _, _, body = await rig.submit(STREAM)
    (token, _), (name, problem) = read_events(body)
    assert (token, name, problem["run_state"]) == ("token", "refusal", "may_have_run")


async def test_disconnect_cancels_the_request_once(autojump_clock):
    """Guards against running a request after its caller disconnected, and running it twice."""
    rig = Rig()
    cancelled = []

    async def wait(req, sink):
        try:
            await trio.sleep(60)
        except trio.Cancelled:
            cancelled.append(req.request_id)
            raise

    rig.server.request_handler = wait
    for body in (b'{"input": 1}', STREAM):
        assert await rig.submit(body, disconnect_after=1.0) == (0, {}, b"")
    assert trio.current_time() < 3 and rig.server.finished == 0
    assert cancelled == [req.request_id for req in rig.server.requests] and len(cancelled) == 2


async def test_repeat_on_a_node_without_a_manifest_may_have_run(autojump_clock):
    """Guards against a restarted node reporting "not run" for a repeated request."""
    rig = Rig()
    rig.view.manifest = None
    repeat = await rig.submit(headers=[KEY])
    check_problem(repeat, 503, reason="view_not_current", run_state="may_have_run")
    first = await rig.submit()
    check_problem(first, 503, reason="view_not_current", run_state="not_run")

"""Generations at engines: numbering, ends, resumption, cancellation, orders, caches."""

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address
from marigoldtrail.standins import generate_text
from marigoldtrail.upstream import EngineOrder, TokenChunk
from marigoldtrail.upstream.tests.helpers import engine_rig, make_call, pool_rig

PROMPT = "a long design brief " * 20


def generate_call(attempt_id="a1", **changes):
    fields = {"stage": "generate", "kind": "generate", "model": "m", "input": PROMPT, **changes}
    return make_call(attempt_id, **fields)


async def collect(rig, call, *, timeout_s=20.0, slot=None):
    items = []
    async with rig.client.stream(rig.upstream, call, timeout_s=timeout_s, slot=slot) as stream:
        if isinstance(stream, Failure):
            return [stream]
        async for item in stream:
            items.append(item)
    return items


def text_of(items):
    return "".join(item.text for item in items if isinstance(item, TokenChunk))


async def test_stream_and_resumption_give_the_complete_text(autojump_clock, nursery):
    """Guards against a repeated or missing token where a stream is resumed."""
    rig = await engine_rig().start(nursery)
    items = await collect(rig, generate_call("a1"))
    assert [item.first for item in items] == list(range(len(items)))
    assert text_of(items) == generate_text(PROMPT, "m", 512)
    rest = await collect(rig, generate_call("a2", resume_from=5))
    assert rest[0].first == 5 and text_of(items[:5]) + text_of(rest) == text_of(items)


async def test_broken_stream_ends_with_a_failure(autojump_clock, nursery):
    """Guards against a truncated stream that is taken for a complete one."""
    rig = await engine_rig().start(nursery)
    rig.standin.fault_switches.break_after_tokens = 4
    items = await collect(rig, generate_call())
    assert [item.first for item in items[:-1]] == [0, 1, 2]
    assert items[-1].reason is Reason.UNREACHABLE
    assert items[-1].run_state is RunState.MAY_HAVE_RUN


async def test_chunk_of_another_attempt_is_refused(autojump_clock, nursery):
    """Guards against tokens of another request in a stream."""
    rig = await engine_rig().start(nursery)
    rig.standin.fault_switches.swap_answers = 1
    (failure,) = await collect(rig, generate_call())
    assert failure.reason is Reason.BAD_ANSWER and "attempt_id" in failure.detail


async def test_stalled_stream_times_out_and_is_cancelled(autojump_clock, nursery):
    """Guards against a stream that waits for a stalled engine beyond its deadline."""
    rig = await engine_rig(token_s=1.0).start(nursery)
    started = trio.current_time()
    items = await collect(rig, generate_call(), timeout_s=3.5)
    assert items[-1].reason is Reason.TIMEOUT and len(items) == 4
    assert trio.current_time() - started < 4.5
    await trio.sleep(0.1)
    assert rig.process.running == 0


async def test_leaving_the_block_frees_the_engine(autojump_clock, nursery):
    """Guards against an engine that keeps generating for a caller that has disconnected."""
    rig = await engine_rig(token_s=1.0).start(nursery)
    async with rig.client.stream(rig.upstream, generate_call(), timeout_s=20) as stream:
        assert (await anext(stream)).first == 0
        assert rig.process.running == 1
    await trio.sleep(0.1)
    assert rig.process.running == 0
    assert text_of(await collect(rig, generate_call("a2"), timeout_s=200))


async def test_cancelled_by_attempt_id(autojump_clock, nursery):
    """Guards against a cancel that does not reach the attempt or ends another one."""
    rig = await engine_rig(token_s=0.1).start(nursery)
    results = {}

    async def run(attempt_id):
        results[attempt_id] = await collect(rig, generate_call(attempt_id))

    async with trio.open_nursery() as streams:
        streams.start_soon(run, "a1")
        streams.start_soon(run, "a2")
        await trio.sleep(0.55)
        await rig.client.cancel(rig.upstream, "a1")
    assert rig.standin.cancelled == ["a1"]
    assert isinstance(results["a1"][-1], Failure)
    assert text_of(results["a2"]) == generate_text(PROMPT, "m", 512)


async def test_cold_engine_takes_one_call_with_a_slot(autojump_clock, nursery):
    """Guards against work without a slot on an engine that the view wrongly calls warm."""
    rig = await engine_rig(warm=False).start(nursery)
    (failure,) = await collect(rig, generate_call("a1"))
    assert (failure.reason, failure.run_state) == (Reason.NO_SLOT, RunState.NOT_RUN)
    assert rig.evidence == [("engine-1", rig.process.instance, "cold", "load report")]
    items = await collect(rig, generate_call("a2"), slot=rig.grant(rig.process.instance))
    assert text_of(items) and rig.standin.runs == {"a2": 1}


async def test_engine_fails_when_overloaded_in_cold_start(autojump_clock, nursery):
    """Guards against a stand-in that hides an exceeded cold limit."""
    rig = await engine_rig(warm=False, cold_slots=2).start(nursery)
    slot = rig.grant(rig.process.instance)
    async with trio.open_nursery() as streams:
        for number in range(3):
            streams.start_soon(lambda n=number: collect(rig, generate_call(f"a{n}"), slot=slot))
    assert (rig.process.cold_exceeded, rig.process.deaths) == (1, 1)


async def serve_raw(rig, nursery, body, *, length=None):
    """Answer every request with a fixed body; return what each client sent after its answer."""
    ends = []

    async def answer(stream):
        size = len(body) if length is None else length
        await stream.receive_some(65536)
        await stream.send_all(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode() + body)
        ends.append(await stream.receive_some(65536))

    endpoint = rig.memory.endpoint("10.0.0.9")
    address = Address.parse(rig.upstream.address)
    await nursery.start(
        lambda task_status: endpoint.listen(address, answer, task_status=task_status)
    )
    return ends


async def test_malformed_streams_end_with_a_failure(autojump_clock):
    """Guards against gaps, repetitions, endless text and malformed data being forwarded."""
    token = b'data: {"n": 0, "text": "a"}\n\n'
    bodies = {
        b'data: {"n": 1, "text": "a"}\n\ndata: [DONE]\n\n': "expected 0",
        token + token + b"data: [DONE]\n\n": "expected 1",
        token: "without its end marker",
        b"data: {]\n\n": "malformed",
        b"data: " + b"[" * 5000 + b"\n\n": "",
        b"data: " + b"x" * 70_000: "exceeds",
        b'data: {"n": 0, "text": "a", "count": 9}\n\n': "more than 8 tokens",
    }
    for body, detail in bodies.items():
        async with trio.open_nursery() as nursery:
            rig = engine_rig()
            rig.upstream.reports_load = False
            await serve_raw(rig, nursery, body)
            items = await collect(rig, generate_call(max_tokens=8))
            assert isinstance(items[-1], Failure) and detail in items[-1].detail, items
            assert items[-1].reason is Reason.BAD_ANSWER
            nursery.cancel_scope.cancel()


async def test_order_with_old_fencing_number(autojump_clock, nursery):
    """Guards against an old leader's order being taken for a success."""
    for checks_fencing, state in ((True, "refused"), (False, "done")):
        async with trio.open_nursery() as inner:
            rig = await engine_rig(checks_fencing=checks_fencing).start(inner)
            for fencing, expected in ((7, "done"), (7, "done"), (6, state)):
                order = EngineOrder(fencing=fencing, action="load_model", model="m")
                assert (await rig.client.send_order(rig.upstream, order)).state == expected
            assert rig.standin.stale_orders == (0 if checks_fencing else 1)
            report = await rig.client.read_load(rig.upstream)
            assert report.models == ["m"] and report.instance == rig.process.instance
            inner.cancel_scope.cancel()


async def test_cache_moves_between_engines_and_events_have_gaps(autojump_clock, nursery):
    """Guards against cache events and exports that no later call can use."""
    rig = await engine_rig(lose_every=2, event_lag_s=1.0).start(nursery)
    await collect(rig, generate_call())
    data = await rig.client.export_kv(rig.upstream, PROMPT, "m")
    assert (await rig.client.read_cache_events(rig.upstream, 0)).events == []
    await trio.sleep(2)
    events = await rig.client.read_cache_events(rig.upstream, 0)
    assert [event.number for event in events.events] == [1, 3, 5] and events.next == 5
    rig.process.restart(warm_next=True)
    await trio.sleep(0.1)
    assert await rig.client.import_kv(rig.upstream, data) is None
    rig.view.set(rig.process)
    hits = rig.standin.cache.hits
    await collect(rig, generate_call("a2"))
    assert rig.standin.cache.hits - hits == 5


async def test_oversized_answer_is_refused(autojump_clock, nursery):
    """Guards against an upstream that fills this process's memory."""
    rig = pool_rig()
    rig.upstream.reports_load = False
    await serve_raw(rig, nursery, b"x" * (9 * 1024 * 1024))
    failure = await rig.call()
    assert (failure.reason, failure.run_state) == (Reason.BAD_ANSWER, RunState.MAY_HAVE_RUN)


async def test_connection_of_an_incomplete_answer_is_closed(autojump_clock, nursery):
    """Guards against connections left open by calls that end in the middle of an answer."""
    rig = pool_rig()
    rig.upstream.reports_load = False
    ends = await serve_raw(rig, nursery, b"{", length=10)
    failure = await rig.call(timeout_s=1)
    assert (failure.reason, failure.run_state) == (Reason.TIMEOUT, RunState.MAY_HAVE_RUN)
    with trio.move_on_after(1):
        await rig.call("a2", slot=rig.grant(""))
    await trio.sleep(1)
    assert ends == [b"", b""]

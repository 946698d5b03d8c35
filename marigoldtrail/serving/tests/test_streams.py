"""Generation: no token repeated or missing, whatever happens to the engine (P1, P4)."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer, compute_digest
from marigoldtrail.serving.coalescer import Coalescer
from marigoldtrail.serving.tests.fakes import (
    CONNECT_REFUSED,
    ListSink,
    failure,
    manifest,
    open_harness,
    stage,
    tokens,
)
from marigoldtrail.timers import Timers

WRITE = {"p": [stage("write", "generate")]}
BROKEN = failure(Reason.UNREACHABLE, RunState.MAY_HAVE_RUN)
TEXT = "".join(f"{number} " for number in range(10))


@pytest.mark.parametrize(
    "plan",
    [
        CONNECT_REFUSED,
        tokens(until=0, then=BROKEN),
        tokens(until=4, then=BROKEN),
        tokens(until=9, then=BROKEN),
        tokens(until=10, then=BROKEN),
        tokens(until=4, hang=True),
        tokens(skip={3}),
    ],
)
async def test_a_stream_resumes_without_repeat_or_gap(autojump_clock, plan):
    # Guards against lost and repeated tokens when an engine dies, hangs, skips or repeats.
    async with open_harness(manifest(WRITE)) as harness:
        harness.upstreams.streams["*"] = [plan]
        sink = ListSink()
        answer = await harness.run(stream=True, sink=sink, deadline_s=10.0)
        assert isinstance(answer, Answer)
        assert sink.text == answer.output == TEXT
        assert (answer.count, answer.digest) == (10, compute_digest(TEXT))
        numbers = [first for _, first, _ in sink.events]
        assert numbers == sorted(set(numbers)) and numbers[0] == 0


async def test_a_resumed_attempt_names_the_tokens_forwarded(autojump_clock):
    # Guards against an engine that regenerates tokens which the caller already has.
    async with open_harness(manifest(WRITE)) as harness:
        harness.upstreams.streams["*"] = [
            tokens(until=4, then=BROKEN),
            tokens(until=7, then=BROKEN),
        ]
        await harness.run(stream=True, sink=ListSink())
        calls = [call for _, call in harness.upstreams.calls]
        assert [call.resume_from for call in calls] == [0, 4, 7]
        assert len({call.attempt_id for call in calls}) == 3


async def test_repeated_tokens_are_left_out(autojump_clock):
    # Guards against text that is forwarded twice when an engine starts before `resume_from`.
    async with open_harness(manifest(WRITE)) as harness:
        harness.upstreams.streams["*"] = [tokens(until=4, then=BROKEN), tokens(repeat=2)]
        sink = ListSink()
        answer = await harness.run(stream=True, sink=sink)
        assert sink.text == answer.output == TEXT
        assert len(harness.upstreams.calls) == 2


async def test_a_stream_for_another_request_is_dropped(autojump_clock):
    # Guards against tokens of another account's request (P1).
    async with open_harness(manifest(WRITE)) as harness:
        stream = harness.upstreams.stream

        def open_swapped_stream(upstream, request, **fields):
            context = stream(upstream, request, **fields)
            enter = context.__aenter__

            async def enter_swapped_stream():
                found = await enter()
                found.client_account = "somebody"
                return found

            context.__aenter__ = enter_swapped_stream
            return _Wrapped(enter_swapped_stream, context)

        harness.upstreams.stream = open_swapped_stream
        sink = ListSink()
        refusal = await harness.run(stream=True, sink=sink)
        assert refusal.reason is Reason.BAD_ANSWER
        assert sink.events == []


class _Wrapped:
    def __init__(self, enter, context):
        self._enter, self._context = enter, context

    async def __aenter__(self):
        return await self._enter()

    async def __aexit__(self, *exc_info):
        return await self._context.__aexit__(*exc_info)


async def test_a_stream_that_cannot_go_on_is_may_have_run(autojump_clock):
    # Guards against a `not_run` failure after the caller has received text (P5).
    async with open_harness(manifest(WRITE)) as harness:
        for index in range(3):
            harness.upstreams.streams[f"write-{index}"] = [tokens(until=4, then=BROKEN)] * 9
        refusal = await harness.run(stream=True, sink=ListSink())
        assert isinstance(refusal, Failure) and refusal.run_state is RunState.MAY_HAVE_RUN


@pytest.mark.parametrize("price, moves", [(0.0, True), (50.0, False)])
async def test_a_stream_moves_from_a_leaving_engine_where_the_price_allows(
    autojump_clock, price, moves
):
    # Guards against a stream cut off with its data centre, and against a move at any price.
    links = [
        {"source": "dc1", "target": "dc2", "price_per_mb": price},
        {"source": "dc2", "target": "dc1", "price_per_mb": price},
    ]
    async with open_harness(manifest(WRITE, replicas=2, links=links)) as harness:
        sink = ListSink()
        harness.upstreams.default_tokens = 50

        async def take_out():
            await trio.sleep(0.5)
            ((name, _),) = harness.upstreams.calls
            harness.view.leaving.add(f"host-{name}")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_out)
            answer = await harness.run(stream=True, sink=sink)
        assert sink.text == answer.output == "".join(f"{number} " for number in range(50))
        assert bool(harness.upstreams.moves) is moves
        assert len(harness.upstreams.calls) == 1 + moves


async def test_events_are_coalesced_for_at_most_20_ms(autojump_clock):
    # Guards against one event per token of a fast engine, and against longer delays.
    async with open_harness(manifest(WRITE)) as harness:
        harness.upstreams.token_s = 0.002
        harness.upstreams.default_tokens = 200
        sink = ListSink()
        answer = await harness.run(stream=True, sink=sink)
        assert sink.text == answer.output and answer.count == 200
        times = [moment for moment, _, _ in sink.events]
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        assert len(sink.events) <= 22
        assert max(gaps) <= 0.0221


async def test_single_tokens_are_forwarded_at_once(autojump_clock):
    # Guards against 20 ms of delay added to every token of an engine at the usual speed.
    async with open_harness(manifest(WRITE)) as harness:
        harness.upstreams.token_s = 0.042
        sink = ListSink()
        await harness.run(stream=True, sink=sink)
        assert [first for _, first, _ in sink.events] == list(range(10))
        times = [moment for moment, _, _ in sink.events]
        expected = [0.042 * (index + 1) for index in range(10)]
        assert all(abs(a - b) < 1e-6 for a, b in zip(times, expected, strict=True))


async def test_a_slow_caller_slows_the_engine_and_loses_nothing(autojump_clock):
    # Guards against memory that grows with a caller that does not read, and against reordering.
    sink = ListSink(pause_s=1.0)
    coalescer = Coalescer(timers=Timers(), sink=sink)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(coalescer.run)
        for number in range(100):
            await coalescer.add(number, "x" * 4096)
            await trio.sleep(0.005)
        await coalescer.finish()
        nursery.cancel_scope.cancel()
    assert len(sink.text) == 100 * 4096
    assert max(len(text) for _, _, text in sink.events) <= 65536 + 4096

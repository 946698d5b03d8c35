"""Requests whose stages must be run again."""

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    read_request,
    reply_with,
)
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind, StageSpec

GONE = make_response("", status="409 Conflict", headers="x-not-executed: 1\r\n")


class Schedulers:
    """Fake piece client with another scheduler for each run; records its calls."""

    def __init__(self):
        self.calls = []

    async def run(self, stage_run):
        host = f"c{len(self.calls)}"
        self.calls.append(("run", host))
        stage_run.schedulers_used.add(host)
        stage_run.handles = (f"{host}/h",)

    def report_prompt_read(self, stage_run):
        self.calls.append(("read", *sorted(stage_run.schedulers_used)))

    def report_end(self, stage_run):
        self.calls.append(("end", *sorted(stage_run.schedulers_used)))


def make_staged_harness(nursery, **route):
    """Return a relay whose route is a resumable stream with one stage."""
    return RelayHarness(
        nursery,
        RouteKind.STREAMING,
        is_resumable=True,
        max_gap_s=0.2,
        stages=(StageSpec(service="p", result_bytes=1),),
        **route,
    )


async def test_schedulers_are_notified_after_the_last_run_only(autojump_clock, nursery):
    """Guards against a second run of the stages that is dropped by the end of the first run."""
    harness = RelayHarness(
        nursery, RouteKind.UNSAFE, stages=(StageSpec(service="p", result_bytes=1),)
    )
    schedulers = harness.dispatcher._pieces = Schedulers()
    seen = []
    await harness.start(reply_with(GONE, make_response("ok"), seen=seen))
    data = await harness.fetch(make_request(method="POST", body=b"b", headers=("X-Pieces: 1",)))
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert [b"c0/h" in seen[0], b"c1/h" in seen[1]] == [True, True]
    assert schedulers.calls == [("run", "c0"), ("run", "c1"), ("end", "c0", "c1")]


class FailingSchedulers(Schedulers):
    """Fake piece client whose second run fails."""

    async def run(self, stage_run):
        if self.calls:
            return Failure(reason=Reason.NO_UPSTREAM, run_state=RunState.NOT_RUN, step="pieces")
        return await super().run(stage_run)


async def test_failed_second_run_of_stages_does_not_hide_an_earlier_attempt(
    autojump_clock, nursery
):
    """Guards against the statement that a request has not run though an upstream broke off."""
    harness = RelayHarness(
        nursery, RouteKind.SAFE, max_attempts=3, stages=(StageSpec(service="p", result_bytes=1),)
    )
    harness.dispatcher._pieces = FailingSchedulers()
    sends = []

    async def break_off_then_refuse(stream):
        await read_request(stream)
        sends.append(1)
        if len(sends) > 1:
            await stream.send_all(GONE)
            await trio.sleep(1)

    await harness.start(break_off_then_refuse, break_off_then_refuse)
    data = await harness.fetch(make_request(headers=("X-Pieces: 1",)))
    assert len(sends) == 2 and data.startswith(b"HTTP/1.1 502 ")


async def fetch_from_first(harness, first, second):
    """Return the response to a request that one upstream gets before there is another one."""
    await harness.start(first)
    replies = []

    async def fetch():
        replies.append(await harness.fetch(make_request(headers=("X-Pieces: 1",))))

    async with trio.open_nursery() as callers:
        callers.start_soon(fetch)
        await trio.sleep(0.05)
        await harness.add_upstream(1, second)
    return replies[0]


async def test_staged_stream_is_not_broken_off_after_a_silence_of_all_upstreams(
    autojump_clock, nursery
):
    """Guards against a stream that leaves for an upstream without the freed results it needs."""
    harness = make_staged_harness(nursery, max_attempts=3)
    schedulers = harness.dispatcher._pieces = FailingSchedulers()
    silent_until = trio.current_time() + 1.2

    async def pause(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await trio.sleep_until(silent_until)
        await stream.send_all(chunk(EVENTS[1]) + chunk(EVENTS[2]) + b"0\r\n\r\n")

    async def refuse_after_the_silence(stream):
        await read_request(stream)
        await trio.sleep_until(silent_until)
        await stream.send_all(GONE)

    data = await fetch_from_first(harness, pause, refuse_after_the_silence)
    assert all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")
    assert [call[0] for call in schedulers.calls] == ["run", "read", "end"]


async def test_staged_stream_goes_on_after_a_new_run_of_its_stages_if_its_engine_breaks_off(
    autojump_clock, nursery
):
    """Guards against a stream that ends with its engine since its results were freed."""
    harness = make_staged_harness(nursery, max_attempts=3)
    schedulers = harness.dispatcher._pieces = Schedulers()

    async def break_off(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + chunk(EVENTS[0]))
        await trio.sleep(0.1)

    async def go_on_with_new_results(stream):
        while b"c0/h" in await read_request(stream):
            await stream.send_all(GONE)
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")

    data = await fetch_from_first(harness, break_off, go_on_with_new_results)
    assert [data.count(event) for event in EVENTS] == [1, 1, 1]
    assert data.endswith(b"0\r\n\r\n")
    assert [call[0] for call in schedulers.calls] == ["run", "read", "run", "end"]

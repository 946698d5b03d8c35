"""Prompts that crash upstreams, at the relay of one entry."""

import trio

from marigoldtrail.quarantine import make_fingerprint
from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, read_request
from marigoldtrail.relay.tests.test_relay import EVENTS, STREAM_HEAD, chunk
from marigoldtrail.routing import RouteKind
from marigoldtrail.schema.generated.registry import PromptQuarantine

# Of all requests in this file.
FINGERPRINT = make_fingerprint(b"POST", b"/x/1", "", b"b")
BAD = PromptQuarantine(part="bad", parts=["bad"], trial_after_ms=5000)


def make_prompt_request(prompt, request_id="id-1"):
    headers = (f"X-Prompt-Prefix: {prompt}",)
    return make_request(method="POST", body=b"b", headers=headers, request_id=request_id)


def send_events(count, *, then):
    """Return a script that sends the head of a stream and some events, then calls a function."""

    async def script(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD + b"".join(map(chunk, EVENTS[:count])))
        await trio.sleep(0.1)
        await then(stream)

    return script


async def crash(stream):
    """Close the connection, as the end of the script does."""


async def end_stream(stream):
    await stream.send_all(b"0\r\n\r\n")


async def test_only_requests_without_an_answer_are_blamed(autojump_clock, nursery):
    """Guards against blaming streams that were well under way when their upstream crashed."""
    for count, is_blamed in ((0, True), (1, True), (2, False), (3, False)):
        harness = RelayHarness(nursery, RouteKind.STREAMING)
        await harness.start(send_events(count, then=crash))
        await harness.fetch(make_prompt_request("start:5,s:7,own:3"))
        crashes = harness.fleet_state.prompts.build_report().crashes
        assert [(c.upstream, c.request, c.parts) for c in crashes] == (
            [("i-0", "own", [FINGERPRINT, "s", "start"])] if is_blamed else []
        )


async def test_refusals_and_invalid_answers_are_no_crashes(autojump_clock, nursery):
    """Guards against blaming prompts for upstreams that are full or send garbage."""

    async def refuse(stream):
        await read_request(stream)
        await stream.send_all(
            b"HTTP/1.1 503 No\r\nx-request-id: id-1\r\nx-not-executed: 1\r\n"
            b"content-length: 0\r\n\r\n"
        )

    async def send_garbage(stream):
        await read_request(stream)
        await stream.send_all(b"no answer at all\r\n\r\n")
        await trio.sleep(1)

    for script in (refuse, send_garbage):
        harness = RelayHarness(nursery, RouteKind.STREAMING)
        await harness.start(script)
        await harness.fetch(make_prompt_request("start:5,s:7,own:3"))
        assert harness.fleet_state.prompts.build_report().crashes == []


async def test_last_part_alone_is_never_blamed(autojump_clock, nursery):
    """Guards against evidence that names what no other request has, nor the same one again."""
    harness = RelayHarness(nursery, RouteKind.STREAMING)
    await harness.start(send_events(0, then=crash))
    await harness.fetch(make_prompt_request("own:3"))
    await harness.fetch(make_request(method="POST", body=b"b"))
    crashes = harness.fleet_state.prompts.build_report().crashes
    assert [crash.parts for crash in crashes] == [[FINGERPRINT], [FINGERPRINT]]


async def test_quarantine_prevents_the_second_send(autojump_clock, nursery):
    """Guards against a resumable stream that crashes one upstream after the other."""
    arrivals = []

    def quarantine_and_crash(harness):
        async def script(stream):
            arrivals.append(await read_request(stream))
            harness.fleet_state.prompts.apply([], [BAD])
            await trio.sleep(0.1)

        return script

    harness = RelayHarness(nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=2)
    await harness.start(quarantine_and_crash(harness), quarantine_and_crash(harness))
    data = await harness.fetch(make_prompt_request("start:5,bad:7,own:3"))
    assert data.startswith(b"HTTP/1.1 502") and len(arrivals) == 1


async def test_request_that_waits_at_an_upstream_is_withdrawn(autojump_clock, nursery):
    """Guards against a crash by a request that was sent before its prompt was quarantined."""
    closed = []

    async def wait(stream):
        await read_request(stream)
        await stream.send_all(STREAM_HEAD)
        closed.append(await stream.receive_some(100) == b"")

    for quarantine, is_withdrawn in (
        (BAD, True),
        (PromptQuarantine(part="other", parts=["other"]), False),
        (PromptQuarantine(part="bad", parts=["bad"], is_answered_before=True), False),
    ):
        closed.clear()
        harness = RelayHarness(nursery, RouteKind.STREAMING, timeout_s=60.0)
        await harness.start(wait)
        async with trio.open_nursery() as callers:
            callers.start_soon(harness.fetch, make_prompt_request("start:5,bad:7,own:3"))
            await trio.sleep(0.5)
            harness.fleet_state.prompts.apply([], [quarantine])
            await trio.sleep(0.5)
            assert closed == [True] * is_withdrawn
            callers.cancel_scope.cancel()
        assert harness.monitor.get_ejected() == set()


async def fetch_beside_quarantine(nursery, sent):
    """Return a stream whose prompt is quarantined after some events; the others follow later."""

    async def go_on(stream):
        await trio.sleep(1)
        await stream.send_all(b"".join(map(chunk, EVENTS[sent:])) + b"0\r\n\r\n")

    harness = RelayHarness(nursery, RouteKind.STREAMING)
    await harness.start(send_events(sent, then=go_on))
    replies = []

    async def fetch():
        replies.append(await harness.fetch(make_prompt_request("start:5,bad:7,own:3")))

    async with trio.open_nursery() as callers:
        callers.start_soon(fetch)
        await trio.sleep(0.5)
        harness.fleet_state.prompts.apply([], [BAD])
    return replies[0]


async def test_answer_that_is_under_way_is_not_withdrawn(autojump_clock, nursery):
    """Guards against sound streams that are cut by a quarantine."""
    data = await fetch_beside_quarantine(nursery, 2)
    assert all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")


async def test_stream_with_its_first_event_sent_is_not_broken_off_by_a_quarantine(
    autojump_clock, nursery
):
    """Guards against a sound stream that is cut because another request crashed an upstream."""
    data = await fetch_beside_quarantine(nursery, 1)
    assert all(event in data for event in EVENTS) and data.endswith(b"0\r\n\r\n")


async def test_trial_is_sent_once(autojump_clock, nursery):
    """Guards against a trial that is repeated at a second upstream."""
    arrivals, asked = [], []

    async def count_and_crash(stream):
        arrivals.append(await read_request(stream))

    async def grant(part):
        asked.append(part)
        return True

    harness = RelayHarness(nursery, RouteKind.STREAMING, is_resumable=True, max_attempts=2)
    harness.gate._request_trial = grant
    await harness.start(count_and_crash, count_and_crash)
    harness.fleet_state.prompts.apply([], [PromptQuarantine(part="bad", parts=["bad"])])
    await harness.fetch(make_prompt_request("start:5,bad:7,own:3"))
    assert asked == ["bad"] and len(arrivals) == 1
    harness.fleet_state.prompts.apply([], [BAD])
    data = await harness.fetch(make_prompt_request("start:5,bad:7,own:4"))
    assert data.startswith(b"HTTP/1.1 503") and asked == ["bad"] and len(arrivals) == 1


async def test_new_leader_is_told_everything_again(autojump_clock, nursery):
    """Guards against evidence that only the former leader had."""
    harness = RelayHarness(nursery, RouteKind.STREAMING)
    await harness.start(send_events(0, then=crash))
    await harness.fetch(make_prompt_request("start:5,s:7,own:3"))
    guard = harness.fleet_state.prompts
    for term, reported in ((1, 1), (1, 1), (1, 0), (2, 0), (2, 1)):
        report = guard.build_report()
        assert len(report.crashes) == reported
        guard.confirm(report, term)
    guard.apply([], [BAD])
    assert guard.build_report().quarantines[0].parts == ["bad"]


async def test_caller_does_not_wait_for_a_trial_without_a_leader(autojump_clock, nursery):
    """Guards against slow refusals of quarantined prompts while there is no leader."""

    async def wait(part):
        await trio.sleep(0.5)
        return False

    harness = RelayHarness(nursery, RouteKind.STREAMING)
    harness.gate._request_trial = wait
    await harness.start(send_events(3, then=end_stream))
    harness.fleet_state.prompts.apply([], [PromptQuarantine(part="bad", parts=["bad"])])
    harness.fleet_state.confirmed_at = trio.current_time()
    await trio.sleep(5)
    started = trio.current_time()
    data = await harness.fetch(make_prompt_request("start:5,bad:7,own:3"))
    assert data.startswith(b"HTTP/1.1 503") and trio.current_time() - started < 0.1

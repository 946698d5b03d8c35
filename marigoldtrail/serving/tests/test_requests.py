"""Requests without failures, refusals before the start, draining and takeouts."""

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer, compute_digest
from marigoldtrail.serving.tests.fakes import ListSink, manifest, open_harness, stage

PIPELINE = {
    "p": [
        stage("rank", "rerank"),
        stage("order", idempotent=False),
        stage("write", "generate"),
    ]
}


async def test_answer_has_output_digest_and_a_committed_record(autojump_clock):
    # Guards against an answer without its record, or with a digest that covers other text.
    async with open_harness(manifest(PIPELINE)) as harness:
        sink = ListSink()
        answer = await harness.run(stream=True, sink=sink)
        assert isinstance(answer, Answer)
        expected = "".join(f"{number} " for number in range(10))
        assert (answer.output, sink.text, answer.count) == (expected, expected, 10)
        assert answer.digest == compute_digest(expected)
        assert harness.control.records == [answer.record]
        assert [item.stage for item in answer.record.stages] == ["rank", "order", "write"]


async def test_each_stage_sees_the_request_and_the_outputs_before_it(autojump_clock):
    # Guards against a stage that works on the input of another stage or request.
    async with open_harness(manifest(PIPELINE)) as harness:
        await harness.run(input="hello")
        (call,) = harness.upstreams.executed("write")
        assert call.input == {
            "input": "hello",
            "stages": {"rank": {"by": "rank"}, "order": {"by": "order"}},
        }


async def test_records_are_found_by_request_and_by_digest(autojump_clock):
    # Guards against look-ups that miss the record of an answered request.
    async with open_harness(manifest(PIPELINE)) as harness:
        answer = await harness.run()
        assert await harness.server.find_request(answer.request_id) == answer.record
        assert await harness.server.find_result(answer.digest) == [answer.record]
        missing = await harness.server.find_request("00" + "f" * 32)
        assert missing.reason is Reason.NOT_FOUND


async def test_refusals_before_the_start_are_not_run_and_at_once(autojump_clock):
    # Guards against work that starts without a current view, pipeline or account.
    document = manifest(PIPELINE, accounts=[("acme", 1.0)])
    async with open_harness(document) as harness:
        started = harness.timers.now()
        results = [
            await harness.run("unknown"),
            await harness.run(client_account="nobody", idempotency_key="r8", request_id="r8"),
        ]
        harness.view.current = False
        results.append(await harness.run(idempotency_key="r9", request_id="r9"))
        assert [item.reason for item in results] == [
            Reason.UNKNOWN_PIPELINE,
            Reason.UNKNOWN_ACCOUNT,
            Reason.VIEW_NOT_CURRENT,
        ]
        assert all(item.run_state is RunState.NOT_RUN for item in results)
        assert harness.timers.now() == started
        assert not harness.upstreams.calls


async def test_refused_repeat_of_an_order_is_not_called_not_run(autojump_clock):
    # Guards against a caller that places an order again because its repeat was refused (P5, P6).
    async with open_harness(manifest(PIPELINE)) as harness:
        assert isinstance(await harness.run(idempotency_key="k1"), Answer)
        harness.server.start_draining()
        await harness.timers.sleep(6.1)
        repeat = await harness.run(idempotency_key="k1")
        assert (repeat.reason, repeat.run_state) == (Reason.DRAINING, RunState.MAY_HAVE_RUN)
        unused = await harness.run(idempotency_key="k2")
        assert (unused.reason, unused.run_state) == (Reason.DRAINING, RunState.NOT_RUN)
        harness.view.current = False
        unknown = await harness.run(idempotency_key="k2")
        assert unknown.reason is Reason.VIEW_NOT_CURRENT
        assert unknown.run_state is RunState.MAY_HAVE_RUN


async def test_draining_serves_for_the_grace_time_then_names_other_entries(autojump_clock):
    # Guards against refusing callers whose address response is still valid (P8).
    async with open_harness(manifest(PIPELINE), entries=3) as harness:
        harness.server.start_draining()
        await harness.timers.sleep(5.9)
        assert isinstance(await harness.run(), Answer)
        await harness.timers.sleep(0.2)
        refusal = await harness.run()
        assert (refusal.reason, refusal.run_state) == (Reason.DRAINING, RunState.NOT_RUN)
        assert refusal.hint == "127.0.0.1:8002,127.0.0.1:8001"
        await harness.server.wait_idle()


async def test_an_entry_out_of_service_serves_for_the_grace_time(autojump_clock):
    # Guards against a grace time that starts with the first request after the takeout (P3).
    async with open_harness(manifest(PIPELINE)) as harness:
        await harness.timers.sleep(1.0)
        harness.view.out.add(("data_centre", "dc1"))
        await harness.timers.sleep(5.0)
        assert isinstance(await harness.run(), Answer)
        await harness.timers.sleep(2.0)
        refusal = await harness.run()
        assert isinstance(refusal, Failure) and refusal.reason is Reason.OUT_OF_SERVICE


async def test_wait_idle_waits_for_requests_in_progress(autojump_clock):
    # Guards against a shutdown that cuts off a request (P8).
    async with open_harness(manifest(PIPELINE), service_s=3.0) as harness:
        results = []

        async def run_one():
            results.append(await harness.run(deadline_s=10.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_one)
            await harness.timers.sleep(0.1)
            harness.server.start_draining()
            await harness.server.wait_idle()
            assert [type(item) for item in results] == [Answer]


async def test_a_request_keeps_the_manifest_it_started_with(autojump_clock):
    # Guards against two model versions in one request.
    async with open_harness(manifest(PIPELINE)) as harness:
        newer = msgspec.structs.replace(harness.view.manifest, number=2)

        def change(name, request):
            if name == "open":
                harness.view.manifest = newer

        harness.control.on_call = change
        answer = await harness.run()
        assert answer.record.manifest_number == 1
        assert (await harness.run()).record.manifest_number == 2

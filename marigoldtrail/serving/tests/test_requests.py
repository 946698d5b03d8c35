"""Requests without failures, refusals before the start, draining and takeouts."""

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer, compute_digest
from marigoldtrail.serving.tests.fakes import ListSink, manifest, open_world, stage

PIPELINE = {
    "p": [
        stage("rank", "rerank"),
        stage("order", idempotent=False),
        stage("write", "generate"),
    ]
}


async def test_answer_has_output_digest_and_a_committed_record(autojump_clock):
    # Guards against an answer without its record, or with a digest that covers other text.
    async with open_world(manifest(PIPELINE)) as world:
        sink = ListSink()
        answer = await world.run(stream=True, sink=sink)
        assert isinstance(answer, Answer)
        expected = "".join(f"{number} " for number in range(10))
        assert (answer.output, sink.text, answer.count) == (expected, expected, 10)
        assert answer.digest == compute_digest(expected)
        assert world.control.records == [answer.record]
        assert [item.stage for item in answer.record.stages] == ["rank", "order", "write"]


async def test_each_stage_sees_the_request_and_the_outputs_before_it(autojump_clock):
    # Guards against a stage that works on the input of another stage or request.
    async with open_world(manifest(PIPELINE)) as world:
        await world.run(input="hello")
        (call,) = world.upstreams.executed("write")
        assert call.input == {
            "input": "hello",
            "stages": {"rank": {"by": "rank"}, "order": {"by": "order"}},
        }


async def test_records_are_found_by_request_and_by_digest(autojump_clock):
    # Guards against look-ups that miss the record of an answered request.
    async with open_world(manifest(PIPELINE)) as world:
        answer = await world.run()
        assert await world.server.find_request(answer.request_id) == answer.record
        assert await world.server.find_result(answer.digest) == [answer.record]
        missing = await world.server.find_request("00" + "f" * 32)
        assert missing.reason is Reason.NOT_FOUND


async def test_refusals_before_the_start_are_not_run_and_at_once(autojump_clock):
    # Guards against work that starts without a current view, pipeline or account.
    document = manifest(PIPELINE, accounts=[("acme", 1.0)])
    async with open_world(document) as world:
        started = world.timers.now()
        results = [
            await world.run("unknown"),
            await world.run(client_account="nobody", idempotency_key="r8", request_id="r8"),
        ]
        world.view.current = False
        results.append(await world.run(idempotency_key="r9", request_id="r9"))
        assert [item.reason for item in results] == [
            Reason.UNKNOWN_PIPELINE,
            Reason.UNKNOWN_ACCOUNT,
            Reason.VIEW_NOT_CURRENT,
        ]
        assert all(item.run_state is RunState.NOT_RUN for item in results)
        assert world.timers.now() == started
        assert not world.upstreams.calls


async def test_refused_repeat_of_an_order_is_not_called_not_run(autojump_clock):
    # Guards against a caller that places an order again because its repeat was refused (P5, P6).
    async with open_world(manifest(PIPELINE)) as world:
        assert isinstance(await world.run(idempotency_key="k1"), Answer)
        world.server.start_draining()
        await world.timers.sleep(6.1)
        repeat = await world.run(idempotency_key="k1")
        assert (repeat.reason, repeat.run_state) == (Reason.DRAINING, RunState.MAY_HAVE_RUN)
        unused = await world.run(idempotency_key="k2")
        assert (unused.reason, unused.run_state) == (Reason.DRAINING, RunState.NOT_RUN)
        world.view.current = False
        unknown = await world.run(idempotency_key="k2")
        assert unknown.reason is Reason.VIEW_NOT_CURRENT
        assert unknown.run_state is RunState.MAY_HAVE_RUN


async def test_draining_serves_for_the_grace_time_then_names_other_entries(autojump_clock):
    # Guards against refusing callers whose address response is still valid (P8).
    async with open_world(manifest(PIPELINE), entries=3) as world:
        world.server.start_draining()
        await world.timers.sleep(5.9)
        assert isinstance(await world.run(), Answer)
        await world.timers.sleep(0.2)
        refusal = await world.run()
        assert (refusal.reason, refusal.run_state) == (Reason.DRAINING, RunState.NOT_RUN)
        assert refusal.hint == "127.0.0.1:8002,127.0.0.1:8001"
        await world.server.wait_idle()


async def test_an_entry_out_of_service_serves_for_the_grace_time(autojump_clock):
    # Guards against a grace time that starts with the first request after the takeout (P3).
    async with open_world(manifest(PIPELINE)) as world:
        await world.timers.sleep(1.0)
        world.view.out.add(("data_centre", "dc1"))
        await world.timers.sleep(5.0)
        assert isinstance(await world.run(), Answer)
        await world.timers.sleep(2.0)
        refusal = await world.run()
        assert isinstance(refusal, Failure) and refusal.reason is Reason.OUT_OF_SERVICE


async def test_wait_idle_waits_for_requests_in_progress(autojump_clock):
    # Guards against a shutdown that cuts off a request (P8).
    async with open_world(manifest(PIPELINE), service_s=3.0) as world:
        results = []

        async def run_one():
            results.append(await world.run(deadline_s=10.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_one)
            await world.timers.sleep(0.1)
            world.server.start_draining()
            await world.server.wait_idle()
            assert [type(item) for item in results] == [Answer]


async def test_a_request_keeps_the_manifest_it_started_with(autojump_clock):
    # Guards against two model versions in one request.
    async with open_world(manifest(PIPELINE)) as world:
        newer = msgspec.structs.replace(world.view.manifest, number=2)

        def change(name, request):
            if name == "open":
                world.view.manifest = newer

        world.control.on_call = change
        answer = await world.run()
        assert answer.record.manifest_number == 1
        assert (await world.run()).record.manifest_number == 2

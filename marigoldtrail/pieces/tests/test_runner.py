"""Tests of the calls to upstreams of stages and of the results that these keep."""

from functools import partial

import trio
import trio.testing

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.job import PieceJob, PieceResult
from marigoldtrail.pieces.runner import PieceCall, PieceRunner
from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Limits, PieceSpec, RouteTable, Service, Upstream, build_index
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

SPEC = PieceSpec(
    slots=1,
    queue=2,
    batch=4,
    call_overhead_s=0.15,
    item_s=0.03,
    result_capacity_bytes=1_000_000,
    result_retention_s=4.0,
)
WORK_S = 0.2


def make_job(name, count=1, *, expires_s=10.0, size=1000, **fields):
    """Return a job of one stage."""
    now = trio.current_time()
    return PieceJob(
        request_id=name,
        stage=0,
        key="k",
        inputs=[],
        count=count,
        expires_at=now + expires_s,
        start_by=now + 1.0,
        may_yield=True,
        is_deferred=False,
        yield_s=0.0,
        data_centre="",
        result_bytes=size,
        moved_bytes=0,
        queued_at=now,
        **fields,
    )


class Upstreams:
    """Scripted upstreams: each call returns the next answer, or results after `WORK_S`."""

    def __init__(self, nursery, *, count=1):
        self.answers = []
        self.calls = []
        self.freed = []
        self.free_s = 0.0
        # Seconds until a scripted answer.
        self.answer_s = 0.0
        # Number of scripted answers on their way at the start of each call with such an answer.
        self.in_progress = []
        self._answering = 0
        timers = Timers(seed=1)
        fleet_state = FleetState(parse_document=lambda data: "", timers=timers)
        self.prompts = fleet_state.prompts
        service = Service(name="s", max_connections=9, pieces=SPEC)
        table = RouteTable(
            version=1, routes=(), services=(service,), limits=Limits(), accounts=None
        )
        fleet_state.routes = build_index(table)
        fleet_state.upstreams = {
            f"w{n}": Upstream(
                name=f"w{n}", service="s", address="10.0.0.1:1", data_centre="a", slots=1
            )
            for n in range(count)
        }
        self.runner = PieceRunner(
            fleet_state=fleet_state,
            call=PieceCall(run=self.run, free=self.free),
            timers=timers,
            metrics=PrometheusMetrics(),
        )
        nursery.start_soon(self.runner.run)

    async def run(self, upstream, pieces, remaining_s):
        self.calls.append((upstream.name, len(pieces)))
        if self.answers:
            answer = self.answers.pop(0)
            self.in_progress.append(self._answering)
            self._answering += 1
            await trio.sleep(self.answer_s)
            self._answering -= 1
            return answer(pieces) if callable(answer) else answer
        await trio.sleep(WORK_S)
        return self.results(pieces)

    def results(self, pieces):
        call = len(self.calls)
        return [PieceResult(handle=f"{call}/{p.job.request_id}-{p.index}") for p in pieces]

    async def free(self, upstream, handles):
        await trio.sleep(self.free_s)
        self.freed += handles

    async def work(self, name, count=1, **fields):
        """Run a job to its end and return it."""
        ended = trio.Event()
        job = make_job(name, count, on_end=lambda _: ended.set(), **fields)
        self.runner.scheduler("s").add(job)
        self.runner.wake()
        await ended.wait()
        return job

    def worker(self, name="w0"):
        return self.runner.scheduler("s").workers[name]


async def test_pieces_of_a_failed_call_run_at_another_upstream(autojump_clock, nursery):
    """Guards against a request that fails with the upstream of a stage."""
    upstreams = Upstreams(nursery, count=2)
    upstreams.answers = [
        Failure(reason=Reason.UNREACHABLE, run_state=RunState.MAY_HAVE_RUN, step="test")
    ]
    job = await upstreams.work("one", 2)
    assert all(job.handles) and not job.failure
    assert len({name for name, _ in upstreams.calls}) == 2


async def test_silent_upstream_does_not_delay_a_request(autojump_clock, nursery):
    """Guards against a stage that waits for an upstream until its caller has left."""
    upstreams = Upstreams(nursery, count=2)
    started = trio.current_time()

    async def be_silent(upstream, pieces, remaining_s):
        if not upstreams.calls:
            upstreams.calls.append((upstream.name, len(pieces)))
            await trio.sleep_forever()
        return await upstreams.run(upstream, pieces, remaining_s)

    upstreams.runner._call = PieceCall(run=be_silent, free=upstreams.free)
    job = await upstreams.work("one")
    assert all(job.handles) and trio.current_time() - started < 2.0


async def test_pause_of_this_process_does_not_make_an_upstream_slow(autojump_clock, nursery):
    """Guards against upstreams rated as slow because the process of the scheduler was paused."""
    upstreams = Upstreams(nursery)

    def stand_still(pieces):
        autojump_clock.jump(7.0)
        return upstreams.results(pieces)

    upstreams.answers = [stand_still]
    await upstreams.work("one", expires_s=20.0)
    assert upstreams.worker().slowness_at(trio.current_time()) == 1.0


async def test_pieces_without_room_run_once_there_is_room(autojump_clock, nursery):
    """Guards against pieces counted as failed and upstreams left idle for lack of room."""
    upstreams = Upstreams(nursery)
    upstreams.answers = [
        lambda pieces: [PieceResult(handle="h"), *[PieceResult(reason="room")] * (len(pieces) - 1)]
    ]
    job = await upstreams.work("one", 3)
    assert all(job.handles)
    assert upstreams.calls[0] == ("w0", 3) and sum(count for _, count in upstreams.calls) == 5


async def test_lost_inputs_fail_the_job_at_once(autojump_clock, nursery):
    """Guards against retries of pieces whose inputs are lost."""
    upstreams = Upstreams(nursery)
    upstreams.answers = [lambda pieces: [PieceResult(reason="gone")] * len(pieces)]
    job = await upstreams.work("one", 2)
    assert job.failure == "gone" and len(upstreams.calls) == 1


async def test_results_of_ended_jobs_are_freed(autojump_clock, nursery):
    """Guards against room taken by the results of a caller that has left."""
    upstreams = Upstreams(nursery)

    async def run(upstream, pieces, remaining_s):
        await trio.sleep(WORK_S)
        pieces[0].job.fail("dropped")
        return [PieceResult(handle="unwanted")]

    upstreams.runner._call = PieceCall(run=run, free=upstreams.free)
    await upstreams.work("one", size=SPEC.result_capacity_bytes * 6 // 10)
    await trio.sleep(0.1)
    assert upstreams.freed == ["unwanted"] and not upstreams.worker().own_bytes()


async def test_results_that_block_others_are_freed(autojump_clock, nursery):
    """Guards against a job that waits until unneeded results expire."""
    upstreams = Upstreams(nursery)
    size = SPEC.result_capacity_bytes * 4 // 10
    first = await upstreams.work("first", size=size)
    upstreams.runner.free(set(first.handles))
    await trio.sleep(0.1)
    assert not upstreams.freed
    started = trio.current_time()
    job = await upstreams.work("second", 2, size=size)
    assert all(job.handles) and upstreams.freed == first.handles
    assert trio.current_time() - started < 2 * WORK_S


async def test_room_is_freed_for_waiting_jobs_during_a_call(autojump_clock, nursery):
    """Guards against half-empty calls because unneeded results are freed too late."""
    upstreams = Upstreams(nursery)
    upstreams.free_s = 0.01
    first = await upstreams.work("first", 3, size=100_000)
    nursery.start_soon(partial(upstreams.work, "second", 3, size=100_000))
    await trio.sleep(WORK_S / 4)
    for name in ("third", "fourth"):
        nursery.start_soon(partial(upstreams.work, name, 2, size=150_000))
    await trio.sleep(WORK_S / 4)
    upstreams.runner.free(set(first.handles))
    await trio.sleep(2 * WORK_S)
    assert upstreams.calls[2] == ("w0", 4)


async def test_results_are_not_freed_one_by_one_while_there_is_room(autojump_clock, nursery):
    """Guards against many small freeing calls that take scheduler time from calls with pieces."""
    upstreams = Upstreams(nursery)
    for number in range(20):
        job = await upstreams.work(f"id-{number}", 2)
        upstreams.runner.free(set(job.handles))
    assert len(upstreams.calls) == 20 and not upstreams.freed


async def test_results_expire(autojump_clock, nursery):
    """Guards against room that is counted as taken forever."""
    upstreams = Upstreams(nursery)
    await upstreams.work("one", 2)
    assert upstreams.worker().own_bytes() >= 2000
    await trio.sleep(SPEC.result_retention_s + 0.3)
    assert upstreams.worker().own_bytes() == 0


async def test_upstream_gets_no_calls_before_its_retry_time(autojump_clock, nursery):
    """Guards against calls, including those that free results, before Retry-After has passed."""
    upstreams = Upstreams(nursery, count=1)
    job = await upstreams.work("first", size=SPEC.result_capacity_bytes * 6 // 10)
    refusal = Failure(
        reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="test", retry_after_s=2.0
    )
    upstreams.answers = [refusal]
    refused_at = trio.current_time()
    calls = len(upstreams.calls)
    nursery.start_soon(upstreams.work, "second")
    await trio.sleep(0.05)
    upstreams.runner.free(set(job.handles))
    await trio.sleep(1.8)
    assert len(upstreams.calls) == calls + 1 and not upstreams.freed
    await trio.sleep(0.3 + WORK_S)
    assert len(upstreams.calls) == calls + 2 and upstreams.freed == job.handles
    assert trio.current_time() - refused_at < 3.0


async def test_late_duplicate_of_an_earlier_answer_is_rejected(autojump_clock, nursery):
    """Guards against a request that receives the results of another one."""
    upstreams = Upstreams(nursery, count=2)
    first = await upstreams.work("first", 2)
    copy = [PieceResult(handle=handle) for handle in first.handles]
    name = next(n for n, w in upstreams.runner.scheduler("s").workers.items() if w.own_bytes())
    for other in upstreams.runner.scheduler("s").workers:
        if other != name:
            upstreams.worker(other).paused_until = trio.current_time() + 0.1
    upstreams.answers = [copy]
    second = await upstreams.work("second", 2)
    assert not set(first.handles) & set(second.handles) and all(second.handles)


async def test_unexpected_error_stops_neither_the_scheduler_nor_a_worker(autojump_clock, nursery):
    """Guards against a malformed answer that stops all stages or leaves an upstream unused."""
    upstreams = Upstreams(nursery, count=1)
    upstreams.answers = [lambda pieces: [None for _ in pieces]]
    job = await upstreams.work("one", 2)
    assert all(job.handles) and len(upstreams.calls) == 2


async def test_pieces_of_a_slow_call_are_repeated_at_another_upstream(autojump_clock, nursery):
    """Guards against a request that waits for an upstream that has just become slow."""
    upstreams = Upstreams(nursery, count=2)
    started = trio.current_time()
    is_first = True

    async def run(upstream, pieces, remaining_s):
        nonlocal is_first
        slow, is_first = is_first, False
        upstreams.calls.append((upstream.name, len(pieces)))
        results = upstreams.results(pieces)
        await trio.sleep(WORK_S * (5 if slow else 1))
        return results

    upstreams.runner._call = PieceCall(run=run, free=upstreams.free)
    job = await upstreams.work("one", 2, size=SPEC.result_capacity_bytes * 3 // 10)
    assert all(job.handles) and trio.current_time() - started < 4 * WORK_S
    (slow, _), (fast, _) = upstreams.calls
    assert slow != fast
    await trio.sleep(3 * WORK_S)
    # The late answer updates the slowness, and its results are freed.
    assert upstreams.worker(slow).slowness_at(trio.current_time()) > 3
    assert len(upstreams.freed) == 2 and not set(upstreams.freed) & set(job.handles)
    assert len(upstreams.calls) == 2


async def test_answer_before_the_repeat_cancels_the_repeat(autojump_clock, nursery):
    """Guards against pieces that run again although their results have arrived."""
    upstreams = Upstreams(nursery, count=1)

    async def run(upstream, pieces, remaining_s):
        upstreams.calls.append((upstream.name, len(pieces)))
        await trio.sleep(WORK_S * 3)
        return upstreams.results(pieces)

    upstreams.runner._call = PieceCall(run=run, free=upstreams.free)
    job = await upstreams.work("one", 2)
    await trio.sleep(1)
    assert all(job.handles) and len(upstreams.calls) == 1


async def test_late_failure_does_not_fail_repeated_pieces(autojump_clock, nursery):
    """Guards against a job failed by the late answer of an upstream whose pieces were repeated."""
    for reason in ("late", "gone"):
        upstreams = Upstreams(nursery, count=2)
        is_first = True

        async def run(upstream, pieces, remaining_s, upstreams=upstreams, reason=reason):
            nonlocal is_first
            slow, is_first = is_first, False
            upstreams.calls.append((upstream.name, len(pieces)))
            results = upstreams.results(pieces)
            await trio.sleep(WORK_S * (2.5 if slow else 1))
            return [PieceResult(reason=reason)] * len(pieces) if slow else results

        upstreams.runner._call = PieceCall(run=run, free=upstreams.free)
        job = await upstreams.work("one", 2)
        assert all(job.handles) and not job.failure


async def test_results_that_are_never_freed_are_removed(autojump_clock, nursery):
    """Guards against memory that grows with each result that expires without being freed."""
    upstreams = Upstreams(nursery)
    for number in range(10):
        job = await upstreams.work(f"id-{number}", 4)
        upstreams.runner.free(set(job.handles))
    assert len(upstreams.worker().unneeded) == 40
    await trio.sleep(SPEC.result_retention_s + 0.3)
    assert not upstreams.worker().unneeded and not len(upstreams.runner._results)


async def test_upstream_that_was_silent_is_not_rated_as_slow(autojump_clock, nursery):
    """Guards against an upstream left idle for seconds after it has recovered."""
    upstreams = Upstreams(nursery, count=2)
    is_dark = True

    async def run(upstream, pieces, remaining_s):
        upstreams.calls.append((upstream.name, len(pieces)))
        if is_dark and upstream.name == upstreams.calls[0][0]:
            await trio.sleep_forever()
        results = upstreams.results(pieces)
        await trio.sleep(WORK_S)
        return results

    upstreams.runner._call = PieceCall(run=run, free=upstreams.free)
    job = await upstreams.work("one", 2)
    assert all(job.handles)
    await trio.sleep(3)
    is_dark = False
    worker = upstreams.worker(upstreams.calls[0][0])
    assert worker.failures == 1 and worker.slowness_at(trio.current_time()) == 1.0


async def test_results_whose_freeing_got_no_answer_are_freed_again(autojump_clock, nursery):
    """Guards against room that stays taken until results expire because one call was lost."""
    upstreams = Upstreams(nursery)
    frees = []

    async def free(upstream, handles):
        frees.append(handles)
        if len(frees) == 1:
            await trio.sleep(1.0)
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="test")
        return await upstreams.free(upstream, handles)

    upstreams.runner._call = PieceCall(run=upstreams.run, free=free)
    size = SPEC.result_capacity_bytes * 6 // 10
    first = await upstreams.work("first", size=size)
    upstreams.runner.free(set(first.handles))
    started = trio.current_time()
    job = await upstreams.work("second", size=size)
    assert all(job.handles) and upstreams.freed == first.handles
    assert trio.current_time() - started < 1.0 + 3 * WORK_S


async def test_news_of_others_cause_no_plan_of_a_busy_service(autojump_clock, nursery, monkeypatch):
    """Guards against plans over a whole queue at each event of the fleet, most often in bursts."""
    plan, planned = PieceScheduler.plan, []

    def count(scheduler, now):
        planned.append(now)
        return plan(scheduler, now)

    monkeypatch.setattr(PieceScheduler, "plan", count)
    upstreams = Upstreams(nursery, count=1)
    for name in ("one", "two"):
        nursery.start_soon(upstreams.work, name, SPEC.batch)
    await trio.sleep(0.01)
    assert len(upstreams.calls) == 1
    planned.clear()
    for _ in range(10):
        upstreams.runner.wake()
        await trio.sleep(0.005)
    assert planned == []
    await trio.sleep(2 * WORK_S)
    assert len(upstreams.calls) == 2


async def test_freed_room_is_used_at_once(autojump_clock, nursery):
    """Guards against jobs that wait for a later event once their upstream has room again."""
    upstreams = Upstreams(nursery, count=1)
    size = SPEC.result_capacity_bytes // 2
    first = await upstreams.work("first", size=size)
    await trio.sleep(0.01)
    second = make_job("second", size=size)
    upstreams.runner.scheduler("s").add(second)
    upstreams.runner.wake()
    await trio.sleep(0.05)
    assert len(upstreams.calls) == 1 and not second.is_started
    upstreams.runner.free(set(first.handles))
    await trio.testing.wait_all_tasks_blocked()
    assert len(upstreams.calls) == 2


async def test_results_of_calls_without_an_answer_take_room(autojump_clock, nursery):
    """Guards against pieces sent to an upstream whose room is taken by results nobody knows."""
    upstreams = Upstreams(nursery)
    upstreams.answers = [
        Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="test")
    ]
    size = SPEC.result_capacity_bytes * 6 // 10
    started = trio.current_time()
    job = await upstreams.work("one", size=size)
    assert all(job.handles)
    assert trio.current_time() - started > SPEC.result_retention_s
    # A call that was not run has left none.
    upstreams.answers = [Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="test")]
    started = trio.current_time()
    assert all((await upstreams.work("two", size=size // 6)).handles)
    assert trio.current_time() - started < SPEC.result_retention_s / 2

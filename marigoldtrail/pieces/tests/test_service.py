"""Tests of a scheduler with incomplete information about the upstreams."""

import math
import random
from collections import Counter
from functools import partial

import pytest
import trio
import trio.testing

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces import PieceCall, PieceResult, PieceService
from marigoldtrail.pieces.joinable_runs import REJOIN_S
from marigoldtrail.registry import FleetState
from marigoldtrail.routing import Limits, PieceSpec, RouteTable, Service, build_index
from marigoldtrail.schema.generated.pieces import (
    NoteProgress,
    RunStages,
    StageRequest,
    StagesReply,
)
from marigoldtrail.schema.generated.registry import HostReportReply, UpstreamEntry
from marigoldtrail.serving.tests.fakes import make_schedule_deterministic
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.timers import Timers

RESULT_BYTES = 1000
# Ends at no time at which the scheduler looks at its upstreams.
WORK_S = 0.19
SPEC = PieceSpec(
    slots=1,
    queue=2,
    batch=4,
    call_overhead_s=0.15,
    item_s=0.03,
    result_capacity_bytes=5 * RESULT_BYTES,
    result_retention_s=4.0,
)
LEFT_S = 6.0


class Scheduler:
    """A scheduler on a control host that has just started and has its configuration."""

    def __init__(self, nursery):
        timers = Timers(seed=1)
        self.calls = []
        self.pieces_run = 0
        self.fleet_state = FleetState(parse_document=lambda data: "", timers=timers)
        service = Service(name="board", max_connections=9, pieces=SPEC)
        table = RouteTable(
            version=1, routes=(), services=(service,), limits=Limits(), accounts=None
        )
        self.fleet_state.routes = build_index(table)
        self.service = PieceService(
            host="c",
            fleet_state=self.fleet_state,
            call=PieceCall(run=self.run, free=self.free),
            timers=timers,
            rng=random.Random(1),
            metrics=PrometheusMetrics(),
        )
        nursery.start_soon(self.service.run)

    async def run(self, upstream, pieces, remaining_s):
        self.calls.append(sorted(piece.job.request_id for piece in pieces))
        self.pieces_run += len(pieces)
        await trio.sleep(WORK_S)
        return [PieceResult(handle=f"{piece.identity}") for piece in pieces]

    async def free(self, upstream, handles):
        pass

    def list_upstreams(self, names):
        """Apply a list of upstreams as if received from the leader."""
        entries = [
            UpstreamEntry(
                upstream=name,
                service="board",
                address="10.0.0.1:1",
                data_centre="a",
                slots=1,
                state="ready",
                cold_ms=0,
                born_ms=1,
            )
            for name in names
        ]
        reply = HostReportReply(term=1, revisions={}, upstreams=entries)
        self.fleet_state.apply(reply, sent_at=trio.current_time())

    async def ask(self, *, request_id="r", count=1, slack_s=1.0, length=1, run=0, sender="entry"):
        stages = [
            StageRequest(
                service="board",
                count=count,
                result_bytes=RESULT_BYTES,
                after=[number - 1] if number else [],
            )
            for number in range(length)
        ]
        request = RunStages(
            request_id=request_id,
            stages=stages,
            key="k",
            left_ms=round(LEFT_S * 1000),
            slack_ms=round(slack_s * 1000),
            engine_service="",
            run=run,
        )
        return await self.service.get_handlers()[RunStages](request, sender)


async def test_request_waits_for_the_list_of_upstreams(autojump_clock, nursery):
    """Guards against refusals by a scheduler that has not received the upstreams yet."""
    scheduler = Scheduler(nursery)

    async def list_later():
        await trio.sleep(0.3)
        scheduler.list_upstreams(["board-0"])

    nursery.start_soon(list_later)
    reply = await scheduler.ask()
    assert isinstance(reply, StagesReply) and len(reply.handles) == 1


async def test_request_of_too_many_pieces_is_refused(autojump_clock, nursery):
    """Guards against a caller whose count of pieces takes all memory of the scheduler."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    for count in (10_001, 10**15):
        reply = await scheduler.ask(count=count)
        assert isinstance(reply, Failure) and reply.reason is Reason.BAD_REQUEST
        assert reply.run_state is RunState.NOT_RUN
    assert isinstance(await scheduler.ask(), StagesReply)


async def test_scheduler_without_list_of_upstreams_reports_it(autojump_clock, nursery):
    """Guards against requests that wait at a control host cut off from the leader."""
    scheduler = Scheduler(nursery)
    started = trio.current_time()
    reply = await scheduler.ask()
    assert isinstance(reply, Failure) and reply.reason is Reason.VIEW_NOT_CURRENT
    assert trio.current_time() - started < LEFT_S / 2


@pytest.mark.parametrize("slack_s", [1.0, -1.0])
async def test_service_without_upstreams_is_refused_with_finite_retry_time(
    autojump_clock, nursery, slack_s
):
    """Guards against a refusal with an infinite retry time."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams([])
    started = trio.current_time()
    reply = await scheduler.ask(slack_s=slack_s)
    assert isinstance(reply, Failure) and reply.reason is Reason.NO_UPSTREAM
    assert trio.current_time() == started
    assert 0 < reply.retry_after_s < math.inf


async def test_results_are_freed_once_the_engine_has_read_them(autojump_clock, nursery):
    """Guards against results of streams in progress that block the room other stages need."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    note = scheduler.service.get_handlers()[NoteProgress]
    for number in range(3):
        started = trio.current_time()
        reply = await scheduler.ask(request_id=f"r{number}", count=SPEC.batch - 1)
        assert isinstance(reply, StagesReply), reply
        assert trio.current_time() - started < 2 * WORK_S
        await note(NoteProgress(request_id=f"r{number}"), "entry")


async def test_rerun_of_stages_replaces_their_first_results(autojump_clock, nursery):
    """Guards against a rerun that waits for the room taken by the results of the first run."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    for _ in range(2):
        started = trio.current_time()
        reply = await scheduler.ask(count=SPEC.batch - 1)
        assert isinstance(reply, StagesReply), reply
        assert trio.current_time() - started < 2 * WORK_S


@pytest.mark.parametrize("away_s", [0.1, 0.5])
async def test_entry_that_lost_its_connection_gets_the_same_run(autojump_clock, nursery, away_s):
    """Guards against stages that start anew because the answer to their entry was lost."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    with trio.move_on_after(WORK_S / 2):
        await scheduler.ask(count=SPEC.batch, run=7)
    await trio.sleep(away_s)
    reply = await scheduler.ask(count=SPEC.batch, run=7)
    assert isinstance(reply, StagesReply), reply
    assert scheduler.pieces_run == SPEC.batch
    # Another run is asked for when an engine has lost the results.
    reply = await scheduler.ask(count=SPEC.batch, run=8)
    assert isinstance(reply, StagesReply) and scheduler.pieces_run == 2 * SPEC.batch


async def test_run_is_done_again_if_its_results_are_gone(autojump_clock, nursery):
    """Guards against the handles of expired results in an answer that is sent again."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    await scheduler.ask(run=7)
    await trio.sleep(SPEC.result_retention_s + 0.3)
    assert isinstance(await scheduler.ask(run=7), StagesReply)
    assert scheduler.pieces_run == 2


async def test_run_of_an_entry_that_is_gone_ends(autojump_clock, nursery):
    """Guards against the work for requests of entries that do not come back."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    with trio.move_on_after(WORK_S / 2):
        await scheduler.ask(count=40 * SPEC.batch, run=7)
    await trio.sleep(REJOIN_S + WORK_S)
    pieces_run = scheduler.pieces_run
    await trio.sleep(4 * WORK_S)
    assert scheduler.pieces_run == pieces_run
    assert not scheduler.service._runner.scheduler("board").waiting_count()


async def test_scheduler_forgets_engines_when_the_list_changes(autojump_clock, nursery):
    """Guards against a scheduler that never forgets the engines it has chosen."""
    scheduler = Scheduler(nursery)
    await trio.sleep(0.1)
    scheduler.service._placer._suspects["gone"] = 1.0
    scheduler.fleet_state.changed.notify()
    await trio.sleep(0.1)
    assert scheduler.service._placer._suspects == {}


class TaskCounter(trio.abc.Instrument):
    """Counts the tasks that are started, by the name of their function."""

    def __init__(self):
        self.started = Counter()

    def task_spawned(self, task):
        self.started[task.name.rpartition(".")[2]] += 1


async def test_stages_take_one_task_for_each_call(autojump_clock, nursery):
    """Guards against tasks for each stage, whose starts and turns a scheduler pays in a burst."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.testing.wait_all_tasks_blocked()
    tasks = TaskCounter()
    trio.lowlevel.add_instrument(tasks)
    try:
        assert isinstance(await scheduler.ask(length=3), StagesReply)
    finally:
        trio.lowlevel.remove_instrument(tasks)
    assert tasks.started.pop("_run_call") == len(scheduler.calls) == 3
    # The run itself; a call that frees results may have begun.
    assert tasks.started.total() <= 2, tasks.started


@pytest.mark.parametrize("seed", range(8))
async def test_stages_that_become_ready_in_one_call_share_the_next(autojump_clock, nursery, seed):
    """Guards against small calls for the first of several requests whose stages end together."""
    make_schedule_deterministic(seed)
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.testing.wait_all_tasks_blocked()
    names = ["r1", "r2"]
    async with trio.open_nursery() as requests:
        for name in names:
            requests.start_soon(partial(scheduler.ask, request_id=name, length=2))
    assert scheduler.calls == [names, names]


async def test_late_copy_of_an_answered_run_starts_no_stages(autojump_clock, nursery):
    """Guards against stages of a request that its entry has reported as ended."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    assert isinstance(await scheduler.ask(run=7), StagesReply)
    note = NoteProgress(request_id="r", has_ended=True)
    await scheduler.service.get_handlers()[NoteProgress](note, "entry")
    assert isinstance(await scheduler.ask(run=7), Failure)
    assert scheduler.pieces_run == 1


async def test_late_copy_of_an_earlier_run_does_not_end_the_latest(autojump_clock, nursery):
    """Guards against a request that fails because a copy of its first run is delivered late."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    assert isinstance(await scheduler.ask(run=7), StagesReply)
    replies = []

    async def ask_for_another():
        replies.append(await scheduler.ask(run=8))

    async with trio.open_nursery() as requests:
        requests.start_soon(ask_for_another)
        await trio.sleep(WORK_S / 2)
        assert isinstance(await scheduler.ask(run=7), Failure)
    assert isinstance(replies[0], StagesReply), replies
    assert scheduler.pieces_run == 2


async def test_time_to_ask_again_begins_anew_with_each_lost_connection(autojump_clock, nursery):
    """Guards against a run that ends too early because its entry was cut off twice."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    for away_s in (0.8 * REJOIN_S, 0.3 * REJOIN_S):
        with trio.move_on_after(0.1):
            await scheduler.ask(length=10, run=7)
        await trio.sleep(away_s)
    assert isinstance(await scheduler.ask(length=10, run=7), StagesReply)
    assert scheduler.pieces_run == 10


async def test_end_at_one_entry_does_not_end_the_run_of_another(autojump_clock, nursery):
    """Guards against a request that fails because the entry that it left reports its end late."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    with trio.move_on_after(WORK_S / 4):
        await scheduler.ask(run=7)
    replies = []

    async def ask_for_another():
        replies.append(await scheduler.ask(run=3, sender="other entry"))

    async with trio.open_nursery() as requests:
        requests.start_soon(ask_for_another)
        await trio.sleep(WORK_S / 4)
        note = NoteProgress(request_id="r", has_ended=True)
        await scheduler.service.get_handlers()[NoteProgress](note, "entry")
    assert isinstance(replies[0], StagesReply), replies


async def test_ended_requests_take_no_memory_for_their_handles(autojump_clock, nursery):
    """Guards against the handles of thousands of ended requests in a scheduler's memory."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    await trio.sleep(0.01)
    await scheduler.ask(run=7)
    note = NoteProgress(request_id="r", has_ended=True)
    await scheduler.service.get_handlers()[NoteProgress](note, "entry")
    runs = scheduler.service._runs.values()
    assert not [run for run in runs if isinstance(run.reply, StagesReply)]


async def test_counts_end_with_their_service(autojump_clock, nursery):
    """Guards against an account that stays over its share because its service left meanwhile."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams(["board-0"])
    nursery.start_soon(scheduler.ask)
    await trio.sleep(WORK_S / 2)
    counts = scheduler.service._runner.scheduler("board")
    assert counts.work_by_account() == {"": 1}
    empty = RouteTable(version=2, routes=(), services=(), limits=Limits(), accounts=None)
    scheduler.fleet_state.routes = build_index(empty)
    await trio.sleep(WORK_S)
    assert not counts.by_account and not any(counts.planned.values())

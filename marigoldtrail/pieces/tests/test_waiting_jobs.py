"""Refusal of waiting jobs that can no longer be done in time."""

import random

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.job import OUT_OF_TIME
from marigoldtrail.pieces.scheduler import REVIEW_INTERVAL_S
from marigoldtrail.pieces.tests.test_scheduler import make_job, make_scheduler
from marigoldtrail.pieces.tests.test_service import LEFT_S, WORK_S, Scheduler
from marigoldtrail.pieces.waiting_jobs import ServiceRate, find_hopeless_jobs
from marigoldtrail.schema.generated.pieces import NoteProgress

RATE = ServiceRate(first_call_s=0.0, call_interval_s=0.4, batch=4)


def test_job_behind_more_work_than_its_time_is_found():
    """Guards against jobs that are held until their deadline without a prospect."""
    jobs = [make_job(f"j{n}", 4, start_by=n, expires_at=1.0) for n in range(5)]
    scheduler = make_scheduler()
    for job in jobs:
        scheduler.add(job)
    found = find_hopeless_jobs(jobs, 0.0, RATE)
    # Those found do not count as work ahead of the next one.
    assert [job.request_id for job, _ in found] == ["j3", "j4"]
    assert [round(wait_s, 3) for _, wait_s in found] == [1.2, 1.2]


def test_started_job_is_kept():
    """Guards against work that is thrown away shortly before it is done."""
    scheduler = make_scheduler()
    first = make_job("first", 20, start_by=0.0)
    started = make_job("started", 4, start_by=1.0, expires_at=0.5)
    for job in (first, started):
        scheduler.add(job)
        job.is_started = True
    assert not find_hopeless_jobs(scheduler.jobs, 0.0, RATE)


def test_order_of_arrival_does_not_matter():
    """Guards against verdicts that depend on the order in which jobs are looked at."""
    for seed in range(50):
        rng = random.Random(seed)
        scheduler = make_scheduler()
        for number in range(30):
            # Jobs within one step of the order are taken by arrival.
            start_by, expires_at = number * 0.1, rng.uniform(1, 6)
            scheduler.add(make_job(f"{number}", 2, start_by=start_by, expires_at=expires_at))
        jobs = list(scheduler.jobs)
        found = {job for job, _ in find_hopeless_jobs(jobs, 0.0, RATE)}
        rng.shuffle(jobs)
        assert {job for job, _ in find_hopeless_jobs(jobs, 0.0, RATE)} == found, seed


def test_loss_of_upstreams_refuses_waiting_jobs_and_drops_their_pieces():
    """Guards against a review that is never made, and one that is made with each plan."""
    scheduler = make_scheduler("a")
    scheduler.plan(0.0)
    for number in range(8):
        scheduler.add(make_job(f"j{number}", 4, start_by=number, expires_at=1.0))
    scheduler.plan(REVIEW_INTERVAL_S / 2)
    assert scheduler.waiting_count() == 28
    jobs = list(scheduler.jobs)
    scheduler.plan(REVIEW_INTERVAL_S)
    refused = [job for job in jobs if job.failure == OUT_OF_TIME]
    assert refused and all(job.retry_after_s > 0 for job in refused)
    assert scheduler.waiting_count() == 28 - 4 * len(refused)


async def test_request_without_prospect_is_refused_before_its_deadline(autojump_clock, nursery):
    """Guards against a refusal at the deadline, when it is too late for another try."""
    scheduler = Scheduler(nursery)
    scheduler.list_upstreams([f"board-{number}" for number in range(8)])
    replies = []

    async def ask(number):
        reply = await scheduler.ask(request_id=f"r{number}", count=4, slack_s=LEFT_S)
        replies.append((trio.current_time(), reply))
        # Results that stay take the room for all further ones.
        ended = NoteProgress(request_id=f"r{number}", has_ended=True)
        await scheduler.service.get_handlers()[NoteProgress](ended, "entry")

    async with trio.open_nursery() as callers:
        for number in range(40):
            callers.start_soon(ask, number)
        await trio.sleep(WORK_S / 2)
        scheduler.list_upstreams(["board-0"])
    refused = [(at, reply) for at, reply in replies if isinstance(reply, Failure)]
    assert refused and len(replies) == 40
    for at, reply in refused:
        assert reply.reason is Reason.OVERLOADED and reply.run_state is RunState.NOT_RUN
        assert at < LEFT_S / 3 and reply.retry_after_s > 0
    counted = f'declined_total{{outcome="refused",reason="out_of_time"}} {len(refused)}.0'
    assert counted.encode() in scheduler.service._metrics.render_text()

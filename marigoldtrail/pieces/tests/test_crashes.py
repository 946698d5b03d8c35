"""Tests of crashes of upstreams under calls with pieces of several requests."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.crashes import MAX_CRASHED_PARTS, PieceCrashes
from marigoldtrail.pieces.job import CRASHES_UPSTREAMS, MAX_CRASHES
from marigoldtrail.pieces.tests.test_runner import Upstreams, make_job
from marigoldtrail.quarantine import PromptGuard
from marigoldtrail.schema.generated.registry import PromptQuarantine
from marigoldtrail.timers import Timers

CRASH = Failure(reason=Reason.DISCONNECTED, run_state=RunState.MAY_HAVE_RUN, step="test")
TIMEOUT = Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="test")


def list_reported(upstreams):
    """Return the upstream and the parts of each crash that the host would report."""
    report = upstreams.prompts.build_report()
    return [(crash.upstream, crash.parts) for crash in report.crashes]


async def test_requests_of_a_crashed_call_run_apart(autojump_clock, nursery):
    """Guards against a sound request that is blamed because it shares calls with another one."""
    upstreams = Upstreams(nursery, count=2)
    upstreams.answers = [CRASH]
    ended = {name: trio.Event() for name in ("one", "two")}
    for name in ended:
        job = make_job(
            name, crash_part=f"s:0:{name}", on_end=lambda job: ended[job.request_id].set()
        )
        upstreams.runner.scheduler("s").add(job)
    upstreams.runner.wake()
    for event in ended.values():
        await event.wait()
    assert [count for _, count in upstreams.calls] == [2, 1, 1]
    crashed = upstreams.calls[0][0]
    assert list_reported(upstreams) == [(crashed, ["s:0:one"]), (crashed, ["s:0:two"])]
    # Their results clear both of them.
    answered = {answer.part for answer in upstreams.prompts.build_report().answers}
    assert answered == {"s:0:one", "s:0:two"}
    assert not any(map(upstreams.runner.crashes.has_crashed, answered))


async def test_request_fails_once_its_pieces_have_crashed_enough_upstreams(autojump_clock, nursery):
    """Guards against one request that crashes all upstreams of a stage."""
    upstreams = Upstreams(nursery, count=6)
    upstreams.answers = [CRASH] * 6
    job = await upstreams.work("one", crash_part="s:0:one")
    assert job.failure == CRASHES_UPSTREAMS
    assert len(upstreams.calls) == len(list_reported(upstreams)) == MAX_CRASHES


async def test_trial_ends_with_its_first_crash(autojump_clock, nursery):
    """Guards against a trial of a quarantined request that crashes several upstreams."""
    upstreams = Upstreams(nursery, count=6)
    upstreams.answers = [CRASH] * 6
    job = await upstreams.work("one", crash_part="s:0:one", is_trial=True)
    assert job.failure == CRASHES_UPSTREAMS and len(upstreams.calls) == 1


@pytest.mark.parametrize("is_told", [True, False], ids=["told", "not_told"])
async def test_result_of_a_trial_is_reported_by_another_scheduler(autojump_clock, nursery, is_told):
    """Guards against a quarantine that no trial ends since the scheduler was replaced."""
    upstreams = Upstreams(nursery)
    part = "s:0:one"
    quarantine = PromptQuarantine(part=part, parts=[part], trial_after_ms=0)
    if is_told:
        upstreams.prompts.apply([], [quarantine])
    await upstreams.work("one", crash_part=part, is_trial=True)
    upstreams.prompts.apply([], [quarantine])
    assert [answer.part for answer in upstreams.prompts.build_report().answers] == [part]


async def test_request_is_not_blamed_for_one_cut_of_all_its_calls(autojump_clock, nursery):
    """Guards against a sound request that fails since a cut has reset all its calls at once."""
    upstreams = Upstreams(nursery, count=4)
    upstreams.answers = [CRASH] * 3
    job = await upstreams.work("one", count=12, crash_part="s:0:one")
    assert not job.failure and len(list_reported(upstreams)) == 1


async def test_resets_by_one_upstream_do_not_count_as_several(autojump_clock, nursery):
    """Guards against a sound request that fails since the link of one upstream resets calls."""
    upstreams = Upstreams(nursery)
    upstreams.answers = [CRASH] * 3
    assert not (await upstreams.work("one", crash_part="s:0:one")).failure


async def test_pieces_of_a_request_that_runs_apart_take_one_call_at_a_time(autojump_clock, nursery):
    """Guards against a request that crashes all upstreams of a stage at the same time."""
    upstreams = Upstreams(nursery, count=4)
    upstreams.answers, upstreams.answer_s = [CRASH] * 12, 0.05
    job = await upstreams.work("one", count=12, crash_part="s:0:one")
    assert job.failure == CRASHES_UPSTREAMS
    # Three calls at once, before anything was known, then one after the other.
    assert upstreams.in_progress[:3] == [0, 1, 2] and not any(upstreams.in_progress[3:])
    assert len(upstreams.in_progress) >= 3 + MAX_CRASHES - 1


async def test_failures_other_than_crashes_blame_no_request(autojump_clock, nursery):
    """Guards against requests that are held off because an upstream was silent."""
    upstreams = Upstreams(nursery, count=2)
    upstreams.answers = [TIMEOUT, TIMEOUT]
    job = await upstreams.work("one", crash_part="s:0:one")
    assert not job.failure and not list_reported(upstreams) and not job.is_apart


def test_parts_that_have_crashed_are_bounded():
    """Guards against memory that grows with the requests beside crashes."""

    async def record():
        crashes = PieceCrashes(prompts=PromptGuard(timers=Timers()))
        for number in range(MAX_CRASHED_PARTS + 5):
            job = make_job("one", crash_part=f"s:0:{number}")
            job.calls_begun = 1
            crashes.record_crash("w0", [job])
        return [crashes.has_crashed(f"s:0:{number}") for number in (4, 5, MAX_CRASHED_PARTS + 4)]

    assert trio.run(record) == [False, True, True]

"""Tests of admission: bounded state, immediate refusals, eviction from the queue, no leaks."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.policy import Admission, Demand, PoolGate
from marigoldtrail.policy.admission import MAX_ACCOUNTS, MAX_QUEUED
from marigoldtrail.timers import Timers

ONE_SECOND = Demand(occupancy={"pool": 1.0}, service_s=1.0, needed_s=1.0)


async def occupy(admission, account="acme", weight=1.0, deadline_s=1e6):
    deadline = trio.current_time() + deadline_s
    return await admission.enter(
        account, weight=weight, priority=5, deadline=deadline, demand=ONE_SECOND
    )


async def test_state_is_bounded_over_fifteen_thousand_accounts(autojump_clock):
    # Guards against memory that grows with the number of accounts.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 10**6)
    for number in range(15_000):
        assert await occupy(admission, f"account-{number}") is None
    assert admission.account_count <= MAX_ACCOUNTS
    for _ in range(15_000):
        admission.leave(ONE_SECOND, 1.0)
    await trio.sleep(120.0)
    assert await occupy(admission, "late") is None
    assert admission.account_count == 1


async def test_wait_beyond_the_deadline_is_refused_at_once_with_a_retry_time(autojump_clock):
    # Guards against refusals that are late or have no retry time.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 1)
    await occupy(admission)
    admission.leave(ONE_SECOND, 1.0)
    await occupy(admission)
    refusal = await occupy(admission, deadline_s=1.5)
    assert refusal.reason is Reason.OVERLOADED and refusal.retry_after_s >= 0.5
    assert trio.current_time() == 0.0


async def test_full_queue_evicts_large_accounts_in_favour_of_small_ones(autojump_clock):
    # Guards against one account that fills the queue and blocks all others.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 1)
    await occupy(admission)
    refused = []

    async def wait(account):
        if isinstance(await occupy(admission, account), Failure):
            refused.append(account)

    async with trio.open_nursery() as nursery:
        for _ in range(MAX_QUEUED):
            nursery.start_soon(wait, "large")
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(wait, "large")
        nursery.start_soon(wait, "small")
        await trio.testing.wait_all_tasks_blocked()
        assert refused == ["large", "large"]
        assert admission.queued == MAX_QUEUED
        nursery.cancel_scope.cancel()
    assert admission.queued == 0


async def test_cancelled_waiters_leave_no_state(autojump_clock):
    # Guards against capacity leaked by callers that disconnect.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 1)
    await occupy(admission)
    for _ in range(10):
        with trio.move_on_after(0.1):
            await occupy(admission, "other")
    admission.leave(ONE_SECOND, 1.0)
    assert (admission.queued, admission.running) == (0, 0)
    assert await occupy(admission) is None


async def test_urgent_requests_of_an_account_go_first(autojump_clock):
    # Guards against priorities that have no effect.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 1)
    await occupy(admission)
    order = []

    async def wait(priority):
        await admission.enter(
            "acme", weight=1.0, priority=priority, deadline=1e6, demand=ONE_SECOND
        )
        order.append(priority)
        admission.leave(ONE_SECOND, 1.0)

    async with trio.open_nursery() as nursery:
        for priority in (7, 0, 3):
            nursery.start_soon(wait, priority)
        await trio.testing.wait_all_tasks_blocked()
        admission.leave(ONE_SECOND, 1.0)
    assert order == [0, 3, 7]


async def test_pools_are_reserved_in_proportion(autojump_clock):
    # Guards against requests in their first stage that block a pool used by a later stage.
    half = Demand(occupancy={"a": 0.5, "b": 0.5}, service_s=1.0, needed_s=1.0)
    admission = Admission(timers=Timers(), limit_of={"a": 2, "b": 1}.__getitem__)
    started = []

    async def run():
        failure = await admission.enter("x", weight=1, priority=5, deadline=1.9, demand=half)
        started.append(failure is None)

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(run)
    assert started.count(True) == 2


@pytest.mark.parametrize("is_released_first", [False, True])
async def test_cancelled_stage_returns_its_permit(autojump_clock, is_released_first):
    # Guards against permits leaked by cancelled stages.
    gate = PoolGate()
    await gate.enter(0.0)
    entered = []

    async def enter():
        await gate.enter(1.0)
        entered.append(True)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(enter)
        await trio.testing.wait_all_tasks_blocked()
        if is_released_first:
            gate.leave()
        nursery.cancel_scope.cancel()
    assert bool(entered) is is_released_first
    assert gate.outstanding == 1
    gate.leave()
    assert gate.is_free


async def test_tasks_cancelled_together_return_all_permits(autojump_clock):
    # Guards against a permit passed from one cancelled task to another, which leaks it or fails.
    gate = PoolGate()
    gate.set_limit(2)

    async def hold():
        await gate.enter(0.0)
        try:
            await trio.sleep_forever()
        finally:
            gate.leave()

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(hold)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert gate.outstanding == 0 and gate.is_free


async def test_requests_cancelled_together_return_all_capacity(autojump_clock):
    # Guards against capacity leaked by admission when many callers disconnect at once.
    admission = Admission(timers=Timers(), limit_of=lambda pool: 2)

    async def run(number):
        assert await occupy(admission, f"account-{number % 3}") is None
        try:
            await trio.sleep_forever()
        finally:
            admission.leave(ONE_SECOND, None)

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(run, number)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert (admission.running, admission.queued) == (0, 0)

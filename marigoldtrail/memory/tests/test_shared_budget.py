"""Messages that share a budget of memory with others that never end, or never close."""

import pytest
import trio

from marigoldtrail.memory import MemoryBudget, compute_budget_bytes
from marigoldtrail.memory.budget import PATIENCE_S
from marigoldtrail.timers import Timers

SMALLEST_HOST_MB = 160


def make_budget(total=1000):
    return MemoryBudget(total_bytes=total, timers=Timers(seed=1))


async def test_stalled_message_of_announced_size_does_not_starve_others(autojump_clock):
    """Guards against messages that all fail because a peer announced a size and sends no more."""
    budget = make_budget()
    evicted = []
    stalled = budget.open(
        "a", "faulty", has_known_size=True, evict=lambda: (evicted.append("faulty"), close())
    )

    def close():
        stalled.close()

    assert await stalled.take(950)
    results = []
    for number in range(3):
        with budget.open("a", f"proper-{number}") as account:
            results.append(await account.take(200))
    assert results == [True, True, True] and evicted == ["faulty"]


async def test_endless_message_of_announced_size_is_given_up_before_small_ones(autojump_clock):
    """Guards against proper messages that fail because a peer announced 900 GB and sends on."""
    budget = make_budget()
    small = []
    for number in range(3):
        small.append(budget.open("a", f"proper-{number}", evict=lambda: close_evicted(small)))
        assert await small[-1].take(20)
    with budget.open("a", "faulty", has_known_size=True) as endless:
        with trio.fail_after(40 * PATIENCE_S):
            while await endless.take(100):
                pass
    assert [account.is_evicted for account in small] == [False, False, False]


def close_evicted(accounts):
    for account in accounts:
        if account.is_evicted:
            account.close()


async def test_message_over_the_whole_budget_costs_no_other_one(autojump_clock):
    """Guards against messages that are given up for one that never finds enough room."""
    budget = make_budget()
    accounts = [budget.open("a", f"proper-{number}") for number in range(3)]
    for account in accounts:
        assert await account.take(100)
    with trio.fail_after(20 * PATIENCE_S):
        with budget.open("a", "faulty", has_known_size=True) as account:
            assert not await account.take(1001)
    assert [account.is_evicted for account in accounts] == [False, False, False]


@pytest.mark.parametrize("count", [40, 60])
async def test_proper_answers_of_many_callers_at_once_are_whole(autojump_clock, nursery, count):
    """Guards against answers that all hold a part of the budget and wait for each other."""
    budget = make_budget(compute_budget_bytes(SMALLEST_HOST_MB))
    results = []

    async def read_answer(number):
        with budget.open("response", f"i-{number}", has_known_size=True) as account:
            is_whole = True
            for _ in range(8):
                await trio.sleep(0.03)
                is_whole = is_whole and await account.take(64 * 1024)
            results.append(is_whole)

    for number in range(count):
        nursery.start_soon(read_answer, number)
    await trio.sleep(20)
    assert results == [True] * count


async def test_message_that_does_not_close_after_it_was_given_up_holds_up_no_others(
    autojump_clock,
):
    """Guards against a wait without end for the memory of an account that nobody closes."""
    budget = make_budget()
    unclosed, other = budget.open("a", "unclosed"), budget.open("a", "other")
    assert await unclosed.take(600) and await other.take(300)
    with trio.move_on_after(20 * PATIENCE_S) as scope:
        await budget.open("a", "late").take(200)
    assert not scope.cancelled_caught


async def test_waiting_message_is_not_overtaken_by_later_ones(autojump_clock, nursery):
    """Guards against proper messages that are given up because later ones take the room."""
    budget = make_budget()

    async def hold(delay_s, size):
        await trio.sleep(delay_s)
        with budget.open("a", "small", has_known_size=True) as account:
            assert await account.take(size)
            await trio.sleep(0.1)

    # Each completes after 0.1 s, so that the room is free at once if later ones wait their turn.
    for number in range(40):
        nursery.start_soon(hold, 0.05 * (number // 2), 200)
    await trio.sleep(0.07)
    with budget.open("a", "waiting", has_known_size=True) as account:
        assert await account.take(500)
    assert not budget.evicted


async def test_take_that_waits_while_its_account_is_closed_takes_nothing(autojump_clock, nursery):
    """Guards against bytes that no account gives back."""
    budget = make_budget()
    first, second = budget.open("a", "first"), budget.open("a", "second")
    assert await first.take(900)
    nursery.start_soon(second.take, 200)
    await trio.sleep(0.05)
    second.close()
    first.close()
    await trio.sleep(0.05)
    assert budget.used_bytes == 0

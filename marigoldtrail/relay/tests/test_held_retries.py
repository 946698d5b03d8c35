"""Retries that are held for the way back of streams to their silent upstreams."""

from types import SimpleNamespace

import pytest
import trio

from marigoldtrail.policy.window_budget import SAFETY_FACTOR, WindowBudget
from marigoldtrail.relay.retry_budgets import RetryBudgets
from marigoldtrail.relay.tests.test_left_upstreams import (
    fetch_moved_stream,
    is_whole,
    refuse_late,
)
from marigoldtrail.timers import Timers

GRANTED = 10
WINDOW_S = 10.0


def make_budget(granted):
    return WindowBudget(ratio=0.0, slack=granted / SAFETY_FACTOR, window_s=WINDOW_S)


@pytest.fixture
def budgets():
    found = RetryBudgets(
        bounds=SimpleNamespace(),
        fleet_state=SimpleNamespace(entry_count=lambda: 1),
        timers=Timers(seed=1),
    )
    found._budgets["s"] = make_budget(GRANTED)
    return found


def make_started_exchange():
    return SimpleNamespace(
        service=SimpleNamespace(name="s"),
        conn=SimpleNamespace(has_started=True),
        holds_retry=False,
    )


async def test_ways_back_count_in_the_window_in_which_they_are_sent(autojump_clock, budgets):
    """Guards against repeats beyond the budget by streams that go back after its window."""
    moved = [make_started_exchange() for _ in range(GRANTED // 2)]
    assert all(budgets.try_move(exchange) for exchange in moved)
    assert not budgets.try_move(make_started_exchange())
    await trio.sleep(WINDOW_S + 0.5)
    sent = sum(budgets.try_take("s") for _ in range(2 * GRANTED))
    back = sum(budgets.try_send_again(exchange) for exchange in moved)
    assert back == len(moved) and sent + back <= GRANTED


async def test_held_retry_that_nobody_needs_is_given_back(autojump_clock, budgets):
    """Guards against a budget that is used up by streams that have ended."""
    exchange = make_started_exchange()
    assert budgets.try_move(exchange)
    assert sum(budgets.try_take("s") for _ in range(2 * GRANTED)) == GRANTED - 2
    await trio.sleep(WINDOW_S + 0.5)
    budgets.release(exchange)
    budgets.release(exchange)
    assert sum(budgets.try_take("s") for _ in range(2 * GRANTED)) == GRANTED


async def test_held_retry_is_not_used_up_by_a_third_upstream(autojump_clock, nursery):
    """Guards against a stream that can't go back since it was refused by another upstream too."""

    def limit_retries(harness):
        harness.dispatcher._budgets._budgets["s"] = make_budget(2)
        nursery.start_soon(harness.add_upstream, 2, refuse_late)

    data, _ = await fetch_moved_stream(nursery, refuse_late, on_start=limit_retries, max_attempts=4)
    assert is_whole(data)

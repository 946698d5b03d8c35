"""Memory of unfinished messages, alone and all together."""

import trio

from marigoldtrail.memory import MemoryBudget, compute_budget_bytes
from marigoldtrail.memory.budget import PATIENCE_S
from marigoldtrail.timers import Timers


def make_budget(total=1000):
    return MemoryBudget(total_bytes=total, timers=Timers(seed=1))


async def test_message_waits_for_one_that_completes(autojump_clock, nursery):
    """Guards against proper messages that fail because many arrive at once."""
    budget = make_budget()
    first, second = budget.open("a", "p"), budget.open("a", "q")
    assert await first.take(800)

    async def complete():
        await trio.sleep(PATIENCE_S / 2)
        first.close()

    nursery.start_soon(complete)
    assert await second.take(500)
    assert budget.used_bytes == 500 and not budget.evicted


async def test_largest_message_of_unknown_size_is_given_up(autojump_clock, nursery):
    """Guards against a message without end that lets others fail, or the whole process."""
    budget = make_budget()
    scopes = {name: trio.CancelScope() for name in ("announced", "endless", "small")}
    accounts = {}

    async def hold(name, size):
        with (
            budget.open(
                "a", name, has_known_size=name == "announced", evict=scopes[name].cancel
            ) as account,
            scopes[name],
        ):
            accounts[name] = account
            assert await account.take(size)
            await trio.sleep_forever()

    for name, size in (("announced", 600), ("endless", 300), ("small", 50)):
        nursery.start_soon(hold, name, size)
    await trio.sleep(0.01)
    started = trio.current_time()
    assert await budget.open("a", "late").take(200)
    assert trio.current_time() - started < 3 * PATIENCE_S
    assert [name for name in accounts if accounts[name].is_evicted] == ["endless"]
    assert budget.used_bytes == 600 + 50 + 200 and budget.evicted == {"a": 1}


async def test_only_as_many_messages_as_needed_are_given_up(autojump_clock, nursery):
    """Guards against more failures than memory is needed, while the first gives its bytes back."""
    budget = make_budget()
    closing = []
    for number in range(4):
        account = budget.open("a", str(number), evict=lambda: closing.append(True))
        assert await account.take(250)
    with trio.move_on_after(4 * PATIENCE_S):
        await budget.open("a", "late").take(200)
    assert len(closing) == 1


async def test_message_that_is_the_largest_itself_is_given_up(autojump_clock):
    """Guards against a message without end that waits for ever for its own memory."""
    budget = make_budget()
    account = budget.open("a", "p")
    while await account.take(300):
        pass
    assert account.size == 900 and account.is_evicted
    account.close()
    assert budget.used_bytes == 0


async def test_message_over_the_whole_budget_is_given_up(autojump_clock):
    """Guards against a wait without end for more than there is."""
    budget = make_budget()
    with trio.fail_after(5 * PATIENCE_S):
        assert not await budget.open("a", "p").take(1001)


async def test_bytes_are_given_back_once(autojump_clock):
    """Guards against a budget that is used up, or has no limit, after many messages."""
    budget = make_budget()
    with budget.open("a", "p") as account:
        assert await account.take(300)
        account.give_back(100)
        assert budget.used_bytes == 200
        account.give_back(500)
        account.close()
    assert budget.used_bytes == 0


def test_budget_is_a_share_of_the_memory_of_the_host():
    """Guards against a budget that the smallest host does not have beside an idle process."""
    assert compute_budget_bytes(160) <= 160e6 / 2 / 3


async def test_messages_without_end_leave_room_for_others(autojump_clock, nursery):
    """Guards against short messages that wait because endless ones have taken all memory."""
    budget = make_budget(100_000)

    async def grow():
        with budget.open("a", "endless") as account:
            while await account.take(100):
                await trio.lowlevel.checkpoint()

    for _ in range(40):
        nursery.start_soon(grow)
    await trio.sleep(PATIENCE_S / 2)
    started = trio.current_time()
    with budget.open("a", "short") as short, budget.open("a", "q", has_known_size=True) as known:
        assert await short.take(500) and await known.take(500)
    assert trio.current_time() == started and not budget.evicted


async def test_few_messages_of_unknown_size_use_more_than_half_of_the_budget(autojump_clock):
    """Guards against proper messages that are given up while most of the memory is free."""
    budget = make_budget()
    with budget.open("a", "p") as first, budget.open("a", "q") as second:
        for _ in range(6):
            assert await first.take(50) and await second.take(50)
    assert not budget.evicted


async def test_messages_a_little_over_their_share_complete_one_by_one(autojump_clock, nursery):
    """Guards against proper messages that wait for each other until some are given up."""
    budget = make_budget(10_000)
    complete = []

    async def receive():
        with budget.open("a", "p") as account:
            for _ in range(30):
                assert await account.take(10)
                await trio.sleep(0.001)
            complete.append(account)

    for _ in range(40):
        nursery.start_soon(receive)
    await trio.sleep(4 * PATIENCE_S)
    assert len(complete) == 40 and not budget.evicted


async def test_complete_message_is_not_given_up(autojump_clock, nursery):
    """Guards against messages in use that fail, or others that fail without making room."""
    budget = make_budget()
    complete, partial = budget.open("a", "p"), budget.open("a", "q")
    assert await complete.take(600) and await partial.take(100)
    complete.complete()
    waiting = budget.open("a", "r")
    with trio.move_on_after(4 * PATIENCE_S):
        await waiting.take(500)
    assert waiting.size == 0 and not budget.evicted
    nursery.start_soon(waiting.take, 400)
    await trio.sleep(2 * PATIENCE_S)
    assert partial.is_evicted and not complete.is_evicted
    partial.close()
    await trio.sleep(0.01)
    assert waiting.size == 400

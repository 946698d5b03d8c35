"""Complete responses that are given up while, or before, they are sent."""

import trio

from marigoldtrail.memory import MemoryBudget, compute_budget_bytes
from marigoldtrail.relay import Dispatcher
from marigoldtrail.relay.tests.helpers import (
    RelayHarness,
    make_request,
    make_response,
    reply_with,
)
from marigoldtrail.timers import Timers

HOST_MB = 160
# The links of the smallest hosts carry 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
PART = 65536


async def test_answers_that_wait_for_the_link_of_the_host_are_not_broken_off(
    autojump_clock, nursery
):
    """Guards against proper answers that are broken off while all of them move on."""
    # Fewer than half of the answers fit.
    budget = MemoryBudget(total_bytes=compute_budget_bytes(HOST_MB) // 3, timers=Timers(seed=1))
    link = trio.Lock()
    results = []

    async def answer(number):
        scope = trio.CancelScope()
        is_sent = False
        with budget.open("response", f"i-{number}", has_known_size=True, evict=scope.cancel) as a:
            with scope:
                for _ in range(4):
                    if not await a.take(PART):
                        break
                    await trio.sleep(0.005)
                else:
                    a.note_sent()
                    for _ in range(4):
                        async with link:
                            await trio.sleep(PART / LINK_BYTES_PER_S)
                        a.note_sent()
                    is_sent = True
        results.append(is_sent)

    for number in range(60):
        nursery.start_soon(answer, number)
    await trio.sleep(60)
    assert results.count(True) == 60, (results.count(True), budget.evicted)


async def test_answer_given_up_before_it_is_sent_is_a_failure(autojump_clock, nursery, monkeypatch):
    """Guards against a connection closed without an answer although nothing had been sent."""
    run = Dispatcher.run

    async def run_and_give_up(self, exchange):
        result = await run(self, exchange)
        exchange.held.send_scope.cancel()
        return result

    monkeypatch.setattr(Dispatcher, "run", run_and_give_up)
    harness = RelayHarness(nursery)
    await harness.start(reply_with(make_response()))
    assert (await harness.fetch(make_request())).startswith(b"HTTP/1.1 502")

"""Fairness and refusals under overload."""

from collections import Counter

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.serving import Answer
from marigoldtrail.serving.tests.fakes import manifest, open_harness, stage

RANK = {"p": [stage("rank", "rerank", expected_ms=100)]}
ACCOUNTS = [("large-1", 1.0), ("large-2", 1.0), ("small-1", 1.0), ("small-2", 1.0)]
# Two upstreams with 4 calls of 100 ms each: 80 requests/s, 160 with the overcommit of 2.
SERVICE_S = 0.1


async def send_load(harness, rates, seconds, deadline_s=1.0):
    """Send requests at a constant rate per account; return outcomes and refusal delays."""
    outcomes, delays = Counter(), []

    async def run_one(account):
        started = harness.timers.now()
        outcome = await harness.run(client_account=account, deadline_s=deadline_s)
        kind = "answered" if isinstance(outcome, Answer) else outcome.reason.value
        outcomes[account, kind] += 1
        if isinstance(outcome, Failure):
            assert outcome.run_state is RunState.NOT_RUN
            assert outcome.reason is not Reason.OVERLOADED or outcome.retry_after_s > 0
            delays.append(harness.timers.now() - started)

    async def send(nursery, account, rate):
        for _ in range(round(rate * seconds)):
            nursery.start_soon(run_one, account)
            await trio.sleep(1 / rate)

    async with trio.open_nursery() as nursery:
        for account, rate in rates.items():
            nursery.start_soon(send, nursery, account, rate)
    return outcomes, delays


async def test_small_accounts_get_their_share_under_overload(autojump_clock):
    # Guards against large accounts that starve small ones.
    async with open_harness(
        manifest(RANK, replicas=2, capacity=4, accounts=ACCOUNTS), service_s=SERVICE_S
    ) as harness:
        rates = {"large-1": 230, "large-2": 230, "small-1": 10, "small-2": 10}
        outcomes, _ = await send_load(harness, rates, 10.0)
        for account in ("small-1", "small-2"):
            assert outcomes[account, "answered"] == 100
        large = [outcomes[name, "answered"] for name in ("large-1", "large-2")]
        assert min(large) / max(large) > 0.9
        # All work that the node's share of the pool allows is done: 16 calls of 100 ms.
        assert sum(large) + 200 >= 0.9 * 160 * 10


async def test_weights_divide_the_capacity(autojump_clock):
    # Guards against shares that ignore the weights in the manifest.
    accounts = [("large-1", 3.0), ("large-2", 1.0)]
    async with open_harness(
        manifest(RANK, replicas=2, capacity=4, accounts=accounts), service_s=SERVICE_S
    ) as harness:
        outcomes, _ = await send_load(harness, {"large-1": 240, "large-2": 240}, 10.0)
        ratio = outcomes["large-1", "answered"] / outcomes["large-2", "answered"]
        assert 2.6 < ratio < 3.4


async def test_refusals_do_not_wait_for_the_deadline(autojump_clock):
    # Guards against refusals that are delayed until the deadline.
    async with open_harness(manifest(RANK, replicas=2, capacity=4), service_s=SERVICE_S) as harness:
        _, delays = await send_load(harness, {"acme": 480}, 5.0)
        delays.sort()
        assert len(delays) > 500
        assert delays[len(delays) * 9 // 10] == 0.0


async def test_own_calls_stay_within_the_share_of_the_pool(autojump_clock):
    # Guards against entries that together overload an upstream.
    async with open_harness(
        manifest(RANK, replicas=2, capacity=8), entries=4, service_s=SERVICE_S
    ) as harness:
        await send_load(harness, {"acme": 300}, 3.0)
        # 16 calls / 4 entries * 2
        assert harness.upstreams.most_total == 8

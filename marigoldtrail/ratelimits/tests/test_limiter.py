"""Many hosts that share the limit of one upstream, on a virtual clock."""

import random

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.ratelimits import LimitBook, UpstreamLimiter
from marigoldtrail.registry.state import RegistryState
from marigoldtrail.timers import Timers

WINDOW_S = 4.0
SECONDS = 40


def count_most(times, since=3.0):
    """Return the largest number of requests in any window."""
    times = sorted(at for at in times if at >= since)
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(limit):
    """Return what the users' rule allows in a window."""
    return 1.5 * limit * WINDOW_S + 5


class Fleet:
    """Entries that ask one leader at a time for permits."""

    def __init__(self, entries, limit):
        self.timers = Timers(seed=1)
        self.leader = RegistryState(term=1, timers=self.timers)
        self.started = trio.current_time()
        self.sent = []
        self.limiters = []
        for _ in range(entries):
            book = LimitBook()
            book.record_answer("u", 0, limit, sent_at=0.0, now=trio.current_time())
            self.limiters.append(
                UpstreamLimiter(
                    book=book,
                    timers=self.timers,
                    request_permit=self.ask,
                    entry_count=lambda: entries,
                )
            )

    async def ask(self, request):
        await trio.sleep(0.007)
        if self.leader is None:
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.NOT_RUN, step="permit")
        return self.leader.reserve_permit(request)

    async def request(self, entry, max_wait_s=0.0):
        permit = await self.limiters[entry].acquire("u", max_wait_s)
        if permit.is_granted:
            await trio.sleep(permit.wait_s)
            self.sent.append(trio.current_time() - self.started)

    async def play(self, choose_entry, rate, max_wait_s=0.0):
        async with trio.open_nursery() as callers:
            for number in range(SECONDS * rate):
                callers.start_soon(self.request, choose_entry(number), max_wait_s)
                await trio.sleep(1 / rate)


def demand(kind, entries):
    rng = random.Random(1)
    return {
        "one": lambda number: 0,
        "all": lambda number: rng.randrange(entries),
        "moving": lambda number: number // 200 % entries,
    }[kind]


@pytest.mark.parametrize("entries", [1, 8, 191])
@pytest.mark.parametrize("limit", [0.5, 2.0, 50.0])
@pytest.mark.parametrize("kind", ["one", "all", "moving"])
async def test_limit_is_kept_and_used(autojump_clock, entries, limit, kind):
    """Guards against more than an upstream takes, and against room that uneven demand leaves."""
    fleet = Fleet(entries, limit)
    await fleet.play(demand(kind, entries), rate=100)
    assert count_most(fleet.sent) <= allowed(limit)
    assert sum(at >= 3 for at in fleet.sent) >= 0.7 * limit * (SECONDS - 3) - 1


@pytest.mark.parametrize("limit", [0.5, 2.0, 50.0])
async def test_requests_that_wait_are_paced(autojump_clock, limit):
    """Guards against requests that are held and then sent together."""
    fleet = Fleet(8, limit)
    await fleet.play(demand("all", 8), rate=100, max_wait_s=1.0)
    assert count_most(fleet.sent) <= allowed(limit)


@pytest.mark.parametrize("entries", [8, 191])
@pytest.mark.parametrize("limit", [0.5, 2.0, 50.0])
async def test_limit_is_kept_while_the_leader_changes(autojump_clock, entries, limit):
    """Guards against entries that send at will, or twice the limit, around a loss of the leader."""
    fleet = Fleet(entries, limit)

    async def change_leader():
        for term in range(2, 6):
            await trio.sleep(4)
            fleet.leader = None
            await trio.sleep(2)
            fleet.leader = RegistryState(term=term, timers=fleet.timers)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_leader)
        await fleet.play(demand("all", entries), rate=200)
    assert count_most(fleet.sent) <= allowed(limit)


@pytest.mark.parametrize("entries", [1, 8, 191])
@pytest.mark.parametrize("low", [0.5, 2.0])
async def test_lowered_limit_is_kept_and_lifted_one_is_used(autojump_clock, entries, low):
    """Guards against permits that were reserved, or are spaced, by an earlier limit."""
    fleet = Fleet(entries, 50.0)
    lowered_at, lifted_at = 10.0, 25.0

    def name_limit(limit):
        for limiter in fleet.limiters:
            now = trio.current_time()
            limiter._book.record_answer("u", 0, limit, sent_at=now, now=now)

    async def change_limit():
        await trio.sleep(lowered_at)
        name_limit(low)
        await trio.sleep(lifted_at - lowered_at)
        name_limit(50.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_limit)
        await fleet.play(demand("all", entries), rate=100, max_wait_s=0.2)
    slow = [at for at in fleet.sent if lowered_at <= at < lifted_at]
    assert count_most(slow, since=lowered_at + 3.0) <= allowed(low)
    assert len(slow) >= 0.7 * low * (lifted_at - lowered_at) - 1
    assert sum(at >= lifted_at for at in fleet.sent) >= 0.7 * 50.0 * (SECONDS - lifted_at) - 3


@pytest.mark.parametrize("entries", [1, 8, 191])
@pytest.mark.parametrize("kind", ["one", "all"])
async def test_limit_is_used_again_once_a_leader_is_there(autojump_clock, entries, kind):
    """Guards against shares that are kept after the leader has been found."""
    fleet = Fleet(entries, 2.0)

    async def lose_leader():
        await trio.sleep(5)
        fleet.leader = None
        await trio.sleep(5)
        fleet.leader = RegistryState(term=2, timers=fleet.timers)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose_leader)
        await fleet.play(demand(kind, entries), rate=100)
    assert count_most(fleet.sent) <= allowed(2.0)
    assert sum(at >= 11 for at in fleet.sent) >= 0.7 * 2.0 * (SECONDS - 11) - 1


async def test_share_without_a_leader_is_small_but_usable(autojump_clock):
    """Guards against a host that may send nothing at all, or the whole limit, on its own."""
    fleet = Fleet(8, 8.0)
    fleet.leader = None
    await fleet.play(demand("one", 8), rate=100)
    assert 0.7 * SECONDS <= len(fleet.sent) <= 1.1 * SECONDS


@pytest.mark.parametrize("max_wait_s", [0.0, 1.0])
async def test_refusal_by_a_small_share_does_not_outlast_the_search_for_a_leader(
    autojump_clock, max_wait_s
):
    """Guards against an upstream that an entry leaves out for minutes after the leader is back."""
    fleet = Fleet(191, 2.0)
    fleet.leader = None
    permit = await fleet.limiters[0].acquire("u", max_wait_s)
    # A request that could wait so long would ask again at once.
    assert not permit.is_granted and max_wait_s < permit.wait_s <= max(0.5, max_wait_s) + 0.1


async def test_upstream_without_limit_needs_no_permit(autojump_clock):
    """Guards against a round trip to the leader for each ordinary request."""
    fleet = Fleet(1, 2.0)
    permit = await fleet.limiters[0].acquire("other", 0.0)
    assert permit.is_granted and trio.current_time() == fleet.started

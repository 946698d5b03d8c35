"""Memory of requests, alone and all together."""

import trio

from marigoldtrail.memory import RequestMemory
from marigoldtrail.memory.requests import (
    FREE_BYTES,
    LARGE_PATIENCE_S,
    MAX_WAIT_S,
    READ_BYTES,
    SMALL_BYTES,
)
from marigoldtrail.timers import Timers

TOTAL_BYTES = 10_000_000


def make_memory():
    return RequestMemory(total_bytes=TOTAL_BYTES, timers=Timers(seed=1))


def open_account(memory, evict=lambda: None):
    return memory.open("10.0.9.9", evict)


async def test_what_waits_is_bounded_too(autojump_clock, nursery):
    """Guards against parts that were read and wait for memory, which take memory themselves."""
    memory = make_memory()
    results = []

    async def read():
        account = open_account(memory)
        results.append(await account.hold(READ_BYTES))

    for _ in range(500):
        nursery.start_soon(read)
    await trio.sleep(0.01)
    waiting = 500 - len(results)
    assert memory.used_bytes + waiting * READ_BYTES <= TOTAL_BYTES
    assert results.count(True) == int(TOTAL_BYTES * 0.4) // (SMALL_BYTES - FREE_BYTES)
    assert memory.refused == results.count(False) > 0


async def test_large_body_that_does_not_arrive_gives_way(autojump_clock):
    """Guards against an announced body that never comes and keeps all others out."""
    memory = make_memory()
    event = trio.Event()
    stalled, later = open_account(memory, event.set), open_account(memory)
    assert await stalled.reserve(4_000_000, has_known_size=True)
    started = trio.current_time()

    async def close_when_evicted():
        await event.wait()
        stalled.close()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(close_when_evicted)
        assert await later.reserve(4_000_000, has_known_size=True)
    assert LARGE_PATIENCE_S <= trio.current_time() - started < MAX_WAIT_S
    assert memory.refused == 1


async def test_complete_request_keeps_only_its_size(autojump_clock):
    """Guards against memory that is kept for bytes that never came."""
    memory = make_memory()
    account = open_account(memory)
    assert await account.hold(SMALL_BYTES)
    assert await account.reserve(4_000_000, has_known_size=False)
    account.complete(100_000)
    assert memory.used_bytes == 100_000 - FREE_BYTES
    account.close()
    assert memory.used_bytes == 0

"""Upstreams of a data centre that comes back into service, and may be cold."""

import collections

import trio

from marigoldtrail.platform.tests.standin import DATA_CENTRES, config
from marigoldtrail.platform.tests.test_site import start_serving_site

COLD_PER_S = 6.6
# Bound of the users' rules for the requests in one second.
MAX_COLD_REQUESTS = COLD_PER_S * 1.5 + 5
SERVICES = [
    {"name": "desk", "max_connections": 50, "cold_start_s": 3.0, "cold_per_s": COLD_PER_S},
    {"name": "llm", "max_connections": 50, "engine": {"slots": 8, "kv_capacity": 100000}},
    {
        "name": "board",
        "max_connections": 50,
        "pieces": {"slots": 1, "batch": 4, "call_ms": 50.0, "item_ms": 5.0, "headroom_mb": 1.0},
    },
]


def find_busiest_second(times):
    return max(sum(start <= at < start + 1 for at in times) for start in times)


async def test_upstream_that_is_cold_before_the_list_shows_it_is_spared(autojump_clock, nursery):
    """Guards against too many requests for an upstream that started during a takeout."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2, services=SERVICES)) == 200
    path = f"/-/evacuations/{DATA_CENTRES[1]}"
    assert (await site.http(f"{site.control[0]}:8628", "POST", path))[0] == 200
    statuses = collections.Counter()

    async def send(number):
        reply = await site.send_request("/plain/1", entry=number % 2, request_id=f"id-{number}")
        statuses[reply[0]] += 1

    async def send_requests():
        for number in range(450):
            nursery.start_soon(send, number)
            await trio.sleep(1 / 90)

    nursery.start_soon(send_requests)
    await trio.sleep(2)
    # The upstream of the data centre was started now; the list shows that later.
    assert (await site.http(f"{site.control[0]}:8628", "DELETE", path))[0] == 200
    returned_at = trio.current_time()
    await trio.sleep(0.8)
    next(e for e in site.list if e["id"] == "desk-1")["cold_remaining_ms"] = 2000
    await trio.sleep(2.2)
    times = [at for at in site.arrivals["desk-1"] if at >= returned_at]
    assert find_busiest_second([at for at in times if at < returned_at + 2.8]) <= MAX_COLD_REQUESTS
    assert statuses[200] == sum(statuses.values())

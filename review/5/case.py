"""Replicas that became cold shortly before their zone is taken back get the full traffic at once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from site_of_review import Site, call, run_case  # noqa: E402

ZONE = "zb"
COLD_S = 3.0
COLD_PER_S = 6.6
LIST_LAG_S = 0.8
# The replicas of the zone become cold this long before the zone is taken back.
COLD_BEFORE_S = 0.2
REQUESTS_PER_S = 90
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "stock", "host": "shop.example", "path_prefix": "/stock/", "kind": "safe",
         "timeout_ms": 600, "target_latency_ms": 120, "priority": 1, "service": "desk",
         "max_attempts": 2, "stages": [], "public": False, "sticky": False, "resumable": False}
    ],
    "services": [
        {"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1",
         "tls": False, "cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "planner", "api_keys": ["key-1"], "priority": 1}],
}


async def send_request(site: Site, number: int) -> None:
    entry = site.entries[number % len(site.entries)]
    headers = [("Host", "shop.example"), ("X-Request-Id", f"r{number:05d}"),
               ("X-Deadline-Ms", "600"), ("Authorization", "Token key-1")]
    reply = await call(entry.listen["front"], "GET", f"/stock/{number}", headers, timeout_s=0.7)
    if reply is None or reply.status != 200:
        site.record.note(f"client: r{number:05d}: {reply.status if reply else None}")


async def send_requests(site: Site) -> None:
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            number += 1
            tasks.create_task(send_request(site, number))
            await asyncio.sleep(1 / REQUESTS_PER_S)


def find_most_in_a_second(times: list[float]) -> int:
    return max((sum(t <= other < t + 1.0 for other in times) for t in times), default=0)


async def case(site: Site, with_trouble: bool) -> bool:
    site.add_hosts(["za", "zb", "zc"], ["za", "zb"])
    replicas = [site.add_replica("desk", zone) for zone in ("za", "zb", "zc")]
    replica = replicas[1]
    cold_until = shown_until = 0.0

    def show(one) -> dict:
        left_s = shown_until - site.record.now() if one is replica else 0.0
        return one.entry | {"cold_remaining_ms": max(0, round(1000 * left_s))}

    site.show = show
    await site.start()
    await site.configure(CONFIG)
    await site.wait_ready()
    clients = asyncio.create_task(send_requests(site))
    await asyncio.sleep(2.0)
    target = f"/-/evacuations/{ZONE}"
    if await site.order("POST", target, site.controls) != 200:
        raise RuntimeError("the evacuation was not acknowledged")
    await asyncio.sleep(6.0)
    if with_trouble:
        cold_until = site.record.now() + COLD_S
        site.record.note(f"{replica.id} is cold for {COLD_S} s")

        async def show_later() -> None:
            nonlocal shown_until
            await asyncio.sleep(LIST_LAG_S)
            shown_until = cold_until
            site.record.note(f"the list shows that {replica.id} is cold")

        showing = asyncio.create_task(show_later())
        await asyncio.sleep(COLD_BEFORE_S)
    else:
        showing = None
    if await site.order("DELETE", target, site.controls) != 200:
        raise RuntimeError("the end of the evacuation was not acknowledged")
    await asyncio.sleep(4.0)
    clients.cancel()
    if showing is not None:
        await showing
    times = [at for at, _ in replica.runs if cold_until - COLD_S <= at < cold_until]
    bounds = site.bounds
    limit = COLD_PER_S * bounds["cold_over"] + bounds["cold_slack"]
    most = find_most_in_a_second(times)
    site.record.note(f"while cold, {replica.id} got up to {most} requests in a second; limit {limit:.1f}")
    return most > limit


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

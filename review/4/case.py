"""An order that a frozen control host has read late undoes a later, acknowledged evacuation."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from site_of_review import Site, call, run_case  # noqa: E402

ZONE = "zb"
FREEZE_S = 4.0
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "stock",
            "host": "shop.example",
            "path_prefix": "/stock/",
            "kind": "safe",
            "timeout_ms": 600,
            "target_latency_ms": 120,
            "priority": 1,
            "service": "desk",
            "max_attempts": 2,
            "stages": [],
            "public": False,
            "sticky": False,
            "resumable": False,
        }
    ],
    "services": [
        {"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1",
         "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "planner", "api_keys": ["key-1"], "priority": 1}],
}


async def send_requests(site: Site) -> None:
    """Send about 20 requests a second to the entries until cancelled."""
    number = 0
    while True:
        number += 1
        entry = site.entries[number % len(site.entries)]
        headers = [("Host", "shop.example"), ("X-Request-Id", f"r{number:05d}"),
                   ("X-Deadline-Ms", "600"), ("Authorization", "Token key-1")]
        reply = await call(entry.listen["front"], "GET", "/stock/2f", headers, timeout_s=0.6)
        site.record.note(
            f"client: r{number:05d} at {entry.name}: {reply.status if reply else None}"
            f" {reply.body.decode() if reply else ''}"
        )
        await asyncio.sleep(0.05)


async def case(site: Site, with_trouble: bool) -> bool:
    site.add_hosts(["za", "zb", "zc"], ["za", "zb"])
    replicas = {zone: site.add_replica("desk", zone) for zone in ("za", "zb", "zc")}
    await site.start()
    await site.configure(CONFIG)
    await site.wait_ready()
    clients = asyncio.create_task(send_requests(site))
    await asyncio.sleep(2.0)
    leader = await site.find_leader()
    first, second = (host for host in site.controls if host is not leader)
    target = f"/-/evacuations/{ZONE}"
    if await site.order("POST", target, [second, leader]) != 200:
        raise RuntimeError("the first evacuation was not acknowledged")
    await asyncio.sleep(6.0)

    # The zone is taken back. The first node that the operator asks has just been frozen.
    if with_trouble:
        site.record.note(f"{first.name} is frozen")
        first.send(signal.SIGSTOP)
    frozen_at = site.record.now()
    if await site.order("DELETE", target, [first, second, leader]) != 200:
        raise RuntimeError("the end of the evacuation was not acknowledged")
    await asyncio.sleep(0.5)
    # The zone is evacuated again.
    if await site.order("POST", target, [second, leader]) != 200:
        raise RuntimeError("the second evacuation was not acknowledged")
    acked_at = site.record.now()
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - site.record.now()))
    first.send(signal.SIGCONT)
    woken_at = site.record.now()
    site.record.note(f"{first.name} goes on")

    # The bound, stretched as for an unstable core; then all hosts have long been in touch.
    bounds = site.bounds
    judged_from = max(
        acked_at + (bounds["evac_ms"] + bounds["outer_ms"]) / 1000,
        woken_at + bounds["stability_window_ms"] / 1000,
    )
    await asyncio.sleep(judged_from + 6.0 - site.record.now())
    clients.cancel()
    late = [run for run in replicas[ZONE].runs if run[0] > judged_from]
    site.record.note(
        f"second evacuation acknowledged at {acked_at:.3f}; judged from {judged_from:.3f}: "
        f"{len(late)} requests ran in {ZONE}"
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

"""When the last client account is taken away, requests run without a valid key."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from site_of_review import Site, call, run_case  # noqa: E402

UNKNOWN_KEY = "never-in-any-configuration"
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "order", "host": "shop.example", "path_prefix": "/order/", "kind": "unsafe",
         "timeout_ms": 600, "target_latency_ms": 120, "priority": 1, "service": "desk",
         "max_attempts": 1, "stages": [], "public": False, "sticky": False, "resumable": False}
    ],
    "services": [
        {"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1",
         "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "planner", "api_keys": ["key-1", "key-2"], "priority": 1}],
}


async def send_orders(site: Site, label: str, key: str) -> int:
    """Send ten orders with a key; return how many were answered 200."""
    served = 0
    for number in range(10):
        entry = site.entries[number % len(site.entries)]
        headers = [("Host", "shop.example"), ("X-Request-Id", f"{label}-{number}"),
                   ("X-Deadline-Ms", "600"), ("Authorization", f"Token {key}")]
        reply = await call(entry.listen["front"], "POST", "/order/1", headers, b"one pinata")
        status = reply.status if reply is not None else None
        site.record.note(f"client: {label}-{number} with {key!r} at {entry.name}: {status}")
        served += status == 200
    return served


async def case(site: Site, with_trouble: bool) -> bool:
    site.add_hosts(["za", "zb", "zc"], ["za", "zb"])
    replicas = [site.add_replica("desk", zone) for zone in ("za", "zb", "zc")]
    shown_keys: list[str] = []

    async def look(replica, request, writer) -> bool:
        key = request.get("authorization")
        if key is not None:
            shown_keys.append(f"{request.get('x-request-id')}: {key}")
        return False

    for replica in replicas:
        replica.answer = look
    await site.start()
    await site.configure(CONFIG)
    await site.wait_ready()
    if await send_orders(site, "before", "key-1") != 10:
        raise RuntimeError("orders with a valid key were not served")
    if await send_orders(site, "unknown-before", UNKNOWN_KEY):
        raise RuntimeError("orders with an unknown key were served")
    # The keys of the only account are taken away; with the disruption, the account goes with them.
    account = {"name": "planner", "api_keys": [], "priority": 1}
    await site.configure(CONFIG | {"version": 7, "tenants": [] if with_trouble else [account]})
    await asyncio.sleep(site.bounds["config_ms"] / 1000 + 1.0)
    dropped = await send_orders(site, "dropped-key", "key-1")
    unknown = await send_orders(site, "unknown-key", UNKNOWN_KEY)
    ran = {request for replica in replicas for _, request in replica.runs}
    site.record.note(f"keys shown to replicas: {shown_keys}")
    site.record.note(
        f"orders run with the dropped key: {sum(r.startswith('dropped') for r in ran)} of 10 "
        f"({dropped} served), with a key of no configuration: "
        f"{sum(r.startswith('unknown') for r in ran)} of 10 ({unknown} served); "
        f"keys shown to replicas: {len(shown_keys)}"
    )
    return any(r.startswith(("dropped", "unknown")) for r in ran) or bool(shown_keys)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

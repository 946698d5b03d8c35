"""All control hosts are replaced one after the other, the new one first, then the old one stops.

MODE=lost loses them in place of that: four times the leader is gone for good, and an empty one comes.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from site_2 import BOUNDS, LIMITS, CannotRun, Hosts, Record, call, play  # noqa: E402

CATCH_UP_S = BOUNDS["catch_up_s"]
IS_LOST = os.environ.get("MODE") == "lost"
IS_SLOW = os.environ.get("SLOW") == "1"
# WIDE=1, with MODE=lost, plays larger sites: two of nine control hosts may be lost at once.
IS_WIDE = os.environ.get("WIDE") == "1"
CONTROLS, AT_ONCE = (9, 2) if IS_WIDE else (5, 1)
# Seconds after which the successor starts.
SUCCESSOR_AFTER_S = 1.0
# Seconds from the loss of one host to that of the next: the successor has had `catch_up_s`.
LATER_GAP_S = 10.0
FIRST_GAP_S = LATER_GAP_S if IS_WIDE or IS_SLOW else SUCCESSOR_AFTER_S + CATCH_UP_S + 0.1
ROUNDS = 4
# Planned work: the old host is stopped once its successor has had `catch_up_s`.
PLANNED_GAP_S = LATER_GAP_S if IS_SLOW else CATCH_UP_S + 0.1
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1", "host": "a.example", "path_prefix": "/stock/", "kind": "safe",
            "timeout_ms": 1500, "target_latency_ms": 250, "priority": 0, "service": "desk",
            "max_attempts": 2, "stages": [], "public": False, "sticky": False,
            "resumable": False, "gap_aim_ms": 0,
        }
    ],
    "services": [
        {
            "name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1",
            "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
        }
    ],
    "limits": LIMITS,
    "tenants": [{"name": "t-1", "api_keys": ["k-1"], "priority": 1}],
}  # fmt: skip


async def read_back(hosts: Hosts, *, within_s: float) -> int:
    """Return the version that some control host reads back; 0 if none does in time."""
    ends_at = time.monotonic() + within_s
    while time.monotonic() < ends_at:
        for name in hosts.controls:
            reply = await call(hosts.control(name), "GET", "/-/config", {}, None, timeout_s=1.0)
            status = reply.status if reply is not None else 0
            hosts.record.write(f"GET /-/config at {name}: {status or 'no response'}")
            if reply is not None and status == 200:
                return int(json.loads(reply.body)["version"])
        await asyncio.sleep(0.5)
    return 0


async def find_leader(hosts: Hosts, *, within_s: float) -> str:
    ends_at = time.monotonic() + within_s
    while time.monotonic() < ends_at:
        if (name := await hosts.find_leader()) is not None:
            return name
        await asyncio.sleep(0.1)
    raise CannotRun("no control host leads")


async def replace(hosts: Hosts, number: int) -> None:
    """End the control host that leads (and another one), for good; empty ones come elsewhere."""
    leader = await find_leader(hosts, within_s=BOUNDS["recover_s"])
    others = [name for name in hosts.controls if name != leader]
    for name in [leader, *others][:AT_ONCE]:
        hosts.kill(name)
        hosts.controls.remove(name)
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    for n in range(AT_ONCE):
        successor = f"core-{CONTROLS + (number - 1) * AT_ONCE + n + 1}"
        hosts.controls.append(successor)
        hosts.start(successor)


async def change(hosts: Hosts, config: dict) -> None:
    """Send the next configuration until it is acknowledged."""
    config["version"] += 2
    await hosts.put_config(config, within_s=BOUNDS["recover_s"])


async def lose_in_turn(hosts: Hosts, config: dict, trouble: bool) -> None:
    for number in range(1, ROUNDS + 1):
        began = time.monotonic()
        if trouble:
            await replace(hosts, number)
        await change(hosts, config)
        if number < ROUNDS:
            gap_s = FIRST_GAP_S if number == 1 else LATER_GAP_S
            await asyncio.sleep(max(0.0, began + gap_s - time.monotonic()))


async def replace_in_turn(hosts: Hosts, config: dict, trouble: bool) -> None:
    """Replace all control hosts, one at a time; each is stopped when its successor has had time."""
    old = list(hosts.controls)
    for number in range(1, CONTROLS + 1):
        successor = f"core-{CONTROLS + number}"
        if trouble:
            hosts.controls.append(successor)
            hosts.start(successor)
        await change(hosts, config)
        await asyncio.sleep(PLANNED_GAP_S)
        if trouble:
            leader = await find_leader(hosts, within_s=BOUNDS["recover_s"])
            name = leader if leader in old else old[0]
            old.remove(name)
            hosts.controls.remove(name)
            await hosts.stop_host(name)
    await change(hosts, config)


async def case(record: Record, trouble: bool) -> str:
    hosts = Hosts(record, zones=["z-a", "z-b", "z-c"], controls=CONTROLS)
    try:
        hosts.list.publish([])
        await hosts.list.serve()
        for name in [*hosts.controls, *hosts.entries]:
            hosts.start(name, bootstrap=True)
        config = dict(CONFIG)
        await hosts.put_config(config, within_s=20.0)
        await asyncio.sleep(3.0)
        play_part = lose_in_turn if IS_LOST else replace_in_turn
        await play_part(hosts, config, trouble)
        found = await read_back(hosts, within_s=BOUNDS["recover_s"])
        if ended := hosts.check():
            raise CannotRun(f"ended by themselves: {ended}")
        return judge(record, found, config["version"])
    except CannotRun as exc:
        if "was not acknowledged" not in str(exc) and "no control host leads" not in str(exc):
            raise
        if hosts.check():
            raise
        acknowledged = config["version"] - 2
        record.write(f"{exc}; {acknowledged} was the last one")
        found = await read_back(hosts, within_s=BOUNDS["recover_s"])
        return judge(record, found, acknowledged)
    finally:
        for name in hosts.controls:
            for line in hosts.log_lines(name, "change_members")[-3:]:
                record.write(f"log of {name}: {json.loads(line)['message']}")
        hosts.stop()


def judge(record: Record, found: int, acknowledged: int) -> str:
    record.write(f"read back: {found or 'nothing'}; acknowledged: {acknowledged}")
    if found >= acknowledged:
        return ""
    return f"CONFIG, version {acknowledged} was acknowledged; read back: {found or 'nothing'}"


if __name__ == "__main__":
    play(case, __file__)

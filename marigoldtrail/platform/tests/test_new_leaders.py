"""Replies of a leader that has not applied the entries of its predecessors yet."""

import trio

from marigoldtrail.platform.tests.standin import config
from marigoldtrail.platform.tests.test_site import start_serving_site

DATA_CENTRE = "dc-b"
SLOW_SYNC_S = 0.2


async def test_evacuation_holds_while_all_control_hosts_start_again(autojump_clock, nursery):
    """Guards against a leader that passes on a state from before it has applied its log."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2)) == 200
    path = f"/-/evacuations/{DATA_CENTRE}"
    assert (await site.http(f"{site.control[0]}:8628", "POST", path))[0] == 200
    await trio.sleep(2)
    for ip in site.control:
        await site.crash(ip)
        site.disks[ip].sync_delay_s = SLOW_SYNC_S
    for ip in site.control:
        await site.start_host(ip)
    del site.seen[:]
    for number in range(300):
        await site.send_request("/plain/1", entry=number % 2, request_id=f"id-{number}")
        await trio.sleep(0.01)
    used = {name for name, _ in site.seen}
    listed = {entry["id"] for entry in site.list if entry["zone"] == DATA_CENTRE}
    assert used and not used & listed

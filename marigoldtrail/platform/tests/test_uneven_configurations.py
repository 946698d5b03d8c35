"""Requests while some hosts handle them by a configuration that others do not have yet."""

import pytest
import trio

from marigoldtrail.platform.standin import make_engine_route, make_route
from marigoldtrail.platform.tests.standin import EVENTS, KEY, config
from marigoldtrail.platform.tests.test_cut_off_entries import cut_off
from marigoldtrail.platform.tests.test_site import start_serving_site
from marigoldtrail.schema.generated.registry import HostReport

OTHER_KEY = "k-other"
PLAIN = make_route("plain", "/plain/", "safe", "desk")
ORDER = make_route("order", "/order/", "unsafe", "desk")
ASK = make_engine_route("ask", "/ask/")
NO_STAGES = [{"name": "desk", "max_connections": 50}]

# What a configuration with more and one with less hold, and a request that only the first allows.
DIFFERENCES = {
    "route": ({"routes": [PLAIN, ORDER]}, {"routes": [PLAIN]}, "/order/1", KEY),
    "stages": (
        {"routes": [PLAIN, ASK]},
        {"routes": [PLAIN], "services": NO_STAGES},
        "/ask/1",
        KEY,
    ),
    "key": (
        {"tenants": [{"name": "acme", "api_keys": [KEY, OTHER_KEY]}]},
        {"tenants": [{"name": "acme", "api_keys": [KEY]}]},
        "/plain/1",
        OTHER_KEY,
    ),
    "length": (
        {"limits": {"max_header_bytes": 4000, "max_body_bytes": 10000}},
        {"limits": {"max_header_bytes": 4000, "max_body_bytes": 10}},
        "/plain/1",
        KEY,
    ),
}
STAGES = [("x-pieces", "2,1"), ("x-piece-key", "k")]
CUT_OFF = 0


class HeldReplies:
    """Calls of the leader; the replies to reports are held back once `is_held`."""

    def __init__(self, finder):
        self._finder = finder
        self.is_held = False

    async def call(self, group, request, reply_type, **options):
        reply = await self._finder.call(group, request, reply_type, **options)
        if isinstance(request, HostReport) and self.is_held:
            await trio.sleep_forever()
        return reply


def get_scheduler(site):
    host = site.hosts[site.entries[1]].pieces.choose_scheduler()
    return host.partition(":")[0]


LATE_HOSTS = {
    "entry that forwards": lambda site: site.entries[CUT_OFF],
    "entry that is asked": lambda site: site.entries[1],
    "scheduler": get_scheduler,
}


def get_version(site, ip):
    return site.hosts[ip].components.fleet_state.version()


async def start(nursery, first, second, *, find_late):
    """
    Return a site where one host still has the first configuration, and all others the second.

    One entry is cut off from the upstreams and forwards its requests to the other one.
    """
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2, **first)) == 200
    cut_off(site, CUT_OFF)
    late = find_late(site)
    reporter = site.hosts[late].components.reporter
    reporter._finder = held = HeldReplies(reporter.finder)
    await trio.sleep(2)
    # The entry reads the list of the others, which it uses for a second.
    assert (await site.send_request("/plain/1", entry=CUT_OFF, request_id="before"))[0] == 200
    held.is_held = True
    assert await site.put_config(config(3, **second)) == 200
    await trio.sleep(0.1)
    assert get_version(site, late) == 2
    assert all(get_version(site, ip) == 3 for ip in site.hosts if ip != late)
    return site


@pytest.mark.parametrize("find_late", LATE_HOSTS.values(), ids=LATE_HOSTS)
@pytest.mark.parametrize("is_dropped", [True, False], ids=["dropped", "added"])
@pytest.mark.parametrize("difference", DIFFERENCES.values(), ids=DIFFERENCES)
async def test_request_between_hosts_a_version_apart_is_served_or_may_come_again(
    autojump_clock, nursery, find_late, is_dropped, difference
):
    """Guards against no answer, or a final refusal, where only the caller's entry allows it."""
    more, less, path, key = difference
    first, second = (more, less) if is_dropped else (less, more)
    site = await start(nursery, first, second, find_late=find_late)
    allowed_by = {2 if is_dropped else 3}
    replies = []

    async def send(number):
        entry = number % 2
        is_allowed = get_version(site, site.entries[entry]) in allowed_by
        request_id = f"id-{number}"
        reply = await site.send_request(
            path, entry=entry, request_id=request_id, key=key, headers=STAGES, body=b"b" * 100
        )
        replies.append((is_allowed, request_id, reply))

    async with trio.open_nursery() as callers:
        for number in range(12):
            callers.start_soon(send, number)
    ran = {request.headers["x-request-id"] for _, request in site.seen if request.path == path}
    for is_allowed, request_id, reply in replies:
        assert reply is not None
        status, _, body = reply
        assert status in ((200, 503) if is_allowed else (401, 404, 413, 503)), (status, body)
        assert (status == 200) == (request_id in ran)
        if path == "/ask/1" and status == 200:
            assert body.count(b"data: ") == EVENTS

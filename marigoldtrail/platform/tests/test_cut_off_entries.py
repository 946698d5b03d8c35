"""Entries that reach no upstream while callers and control hosts still reach them."""

import msgspec
import trio

from marigoldtrail.net import Address
from marigoldtrail.platform.standin import make_lookup_target, make_resume_headers
from marigoldtrail.platform.tests.standin import CALLER_IP, EVENTS
from marigoldtrail.platform.tests.test_site import start_serving_site

# Bound of the users' rules, from the beginning of a cut.
WINDOW_S = 3.0


def upstream_ips(site):
    return [Address.parse(entry["address"]).ip for entry in site.list]


def cut_off(site, entry, *, is_refused=False):
    for ip in upstream_ips(site):
        if is_refused:
            site.network.refuse(site.entries[entry], ip)
            site.network.reset_link(site.entries[entry], ip)
        else:
            site.network.cut(site.entries[entry], ip)


def reconnect(site, entry):
    for ip in upstream_ips(site):
        site.network.restore(site.entries[entry], ip)


async def look_up(site):
    target = make_lookup_target("a.example", "r", "dc-a")
    reply = await site.http(f"{site.control[0]}:8620", "GET", target, source=CALLER_IP)
    addresses = msgspec.json.decode(reply[2])["addresses"]
    return {site.entries.index(address.partition(":")[0]) for address in addresses}


class Callers:
    """Callers of plain requests at each entry."""

    def __init__(self, site, nursery):
        self.site = site
        self.nursery = nursery
        # Time, entry, status or None, and seconds of each request.
        self.ended = []

    async def run(self):
        for number in range(10**6):
            for entry in range(len(self.site.entries)):
                self.nursery.start_soon(self._send, entry, f"id-{entry}-{number}")
            await trio.sleep(0.1)

    async def _send(self, entry, request_id):
        started = trio.current_time()
        reply = await self.site.send_request("/plain/1", entry=entry, request_id=request_id)
        status = reply[0] if reply is not None else None
        self.ended.append((started, entry, status, trio.current_time() - started))

    def since(self, time, entry):
        return [(status, took) for at, e, status, took in self.ended if e == entry and at >= time]


async def start(nursery, *, entries=4):
    site = await start_serving_site(nursery, entries=entries)
    callers = Callers(site, nursery)
    nursery.start_soon(callers.run)
    await trio.sleep(2)
    return site, callers


async def test_look_up_leaves_out_entries_that_reach_no_upstream(autojump_clock, nursery):
    """Guards against callers that are sent to an entry which can't serve them."""
    for is_refused in (False, True):
        site, _ = await start(nursery)
        for entry in (1, 2):
            cut_off(site, entry, is_refused=is_refused)
        await trio.sleep(1.8)
        assert await look_up(site) == {0, 3}
        for entry in (1, 2):
            reconnect(site, entry)
        await trio.sleep(1.8)
        assert await look_up(site) == {0, 1, 2, 3}


async def test_entry_stays_in_the_look_up_while_its_open_connections_serve(autojump_clock, nursery):
    """Guards against an entry that leaves although its callers are served."""
    site, callers = await start(nursery)
    for ip in upstream_ips(site):
        site.network.refuse(site.entries[1], ip)
    refused_at = trio.current_time()
    await trio.sleep(3)
    assert await look_up(site) == {0, 1, 2, 3}
    assert all(status == 200 for status, _ in callers.since(refused_at, 1))


async def test_look_up_names_all_entries_if_none_reaches_an_upstream(autojump_clock, nursery):
    """Guards against a look-up without an address when all upstreams are down."""
    site, _ = await start(nursery)
    for entry in range(4):
        cut_off(site, entry)
    await trio.sleep(3)
    assert await look_up(site) == {0, 1, 2, 3}


async def test_look_up_names_all_entries_while_upstreams_crash(autojump_clock, nursery):
    """Guards against entries that are taken for cut off because a service is down."""
    site, _ = await start(nursery)
    for entry in list(site.list):
        if entry["service"] == "desk":
            site._crash_engine(entry["id"])
    for _ in range(20):
        await trio.sleep(0.1)
        assert await look_up(site) == {0, 1, 2, 3}


async def test_entry_that_reaches_no_upstream_answers_at_once(autojump_clock, nursery):
    """Guards against requests that are held until their deadline at an entry that is cut off."""
    site, callers = await start(nursery)
    cut_off(site, 1)
    cut_at = trio.current_time()
    await trio.sleep(10)
    ended = callers.since(cut_at + WINDOW_S, 1)
    assert len(ended) >= 60
    assert all(took < 0.2 for _, took in ended)
    assert all(status in (200, 503) for status, _ in ended)
    assert all(status == 200 for status, _ in callers.since(cut_at, 0))


async def test_requests_at_a_cut_off_entry_are_served_through_another_one(autojump_clock, nursery):
    """Guards against callers with an old address, or an open connection, that are not served."""
    for is_refused in (False, True):
        site, callers = await start(nursery)
        for entry in (1, 2):
            cut_off(site, entry, is_refused=is_refused)
        cut_at = trio.current_time()
        await trio.sleep(10)
        for entry in (1, 2):
            ended = callers.since(cut_at + WINDOW_S, entry)
            assert len(ended) >= 60
            assert [status for status, _ in ended].count(200) >= 0.95 * len(ended)


async def test_stream_at_a_cut_off_entry_is_served_and_can_be_resumed_elsewhere(
    autojump_clock, nursery
):
    """Guards against streams that another entry records under another name, or joins wrongly."""
    site, _ = await start(nursery)
    cut_off(site, 1)
    await trio.sleep(2)
    reply = await site.send_request("/talk/1", entry=1, request_id="first", body=b"p")
    assert reply[0] == 200 and reply[2].count(b"data: ") == EVENTS
    headers = make_resume_headers("first", "1")
    for entry in (1, 3):
        reply = await site.send_request(
            "/talk/1", entry=entry, request_id=f"again-{entry}", headers=headers, body=b"p"
        )
        assert reply[0] == 200 and reply[2].count(b"data: ") == EVENTS - 1


async def test_requests_are_refused_at_once_if_all_entries_are_cut_off(autojump_clock, nursery):
    """Guards against requests that go round between entries which reach no upstream."""
    site, callers = await start(nursery)
    for entry in range(4):
        cut_off(site, entry)
    cut_at = trio.current_time()
    await trio.sleep(8)
    for entry in range(4):
        ended = callers.since(cut_at + WINDOW_S, entry)
        assert len(ended) >= 30
        assert all(status == 503 and took < 0.2 for status, took in ended)

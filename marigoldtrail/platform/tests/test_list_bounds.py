"""Memory of the platform's list of upstreams."""

import json
import tracemalloc

import pytest

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.platform import calls
from marigoldtrail.platform.calls import make_list_reader
from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.platform.tests.test_stage_calls import ADDRESS
from marigoldtrail.relay import ConnectionPool
from marigoldtrail.relay.tests.helpers import read_request
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

# Half of what a process of the smallest host has besides what an idle one takes.
PEAK_BYTES = 40_000_000
PAGE_BYTES = 512 * 1024


def make_entry(number):
    return {
        "service": "huvo11a",
        "address": f"10.128.{number // 250 % 250}.{number % 250}:8080",
        "zone": "plovdiv-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "id": f"i-{number:08x}",
    }


def make_page(entries, token):
    return json.dumps({"instances": entries, "next": token}, separators=(",", ":")).encode()


async def start(nursery, make_body):
    """Start a platform that returns a body for each page; return the reader of its list."""
    network = MemoryNetwork(seed=1)

    async def serve(stream):
        number = 0
        while True:
            await read_request(stream)
            body = make_body(number)
            number += 1
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            await stream.send_all(head + body)

    async def handle(stream):
        try:
            await serve(stream)
        except OSError:
            pass

    await nursery.start(network.endpoint(ADDRESS.ip).listen, ADDRESS, handle)
    pool = ConnectionPool(
        network=network.endpoint("10.0.0.1"), timers=Timers(seed=1), header_codec=HEADER_CODEC
    )
    return make_list_reader(pool, str(ADDRESS), lambda reason: None)


ENTRY = json.dumps(make_entry(0), separators=(",", ":")).encode()


def repeat(entry):
    """Return a function that returns a page with the same entry repeatedly, and a next page."""
    count = PAGE_BYTES // (len(entry) + 1)
    page = b'{"instances":[' + entry + (b"," + entry) * (count - 1) + b'],"next":"t"}'
    return lambda number: page


PAGES = {"entries": ENTRY, "entries of two bytes": b"{}", "entries of a byte": b"1"}


@pytest.mark.parametrize("kind", list(PAGES))
async def test_list_without_end_is_bounded(autojump_clock, nursery, monkeypatch, kind):
    """Guards against a list of a faulty platform that ends the process of a control host."""
    # A test clock without a deadline keeps the processor busy while another thread parses.
    monkeypatch.setattr(calls, "MAX_INLINE_PARSE_BYTES", 2 * PAGE_BYTES)
    read_list = await start(nursery, repeat(PAGES[kind]))
    tracemalloc.start()
    result = await read_list()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(result, Failure) and result.reason is Reason.BAD_ANSWER
    assert "commas" in result.detail
    assert peak < PEAK_BYTES


async def test_long_list_is_read(autojump_clock, nursery, monkeypatch):
    """Guards against a bound that refuses the list of a large fleet."""
    monkeypatch.setattr(calls, "MAX_INLINE_PARSE_BYTES", 2 * PAGE_BYTES)
    pages = 40

    def make_body(number):
        entries = [make_entry(number * 300 + index) for index in range(300)]
        return make_page(entries, "t" if number < pages - 1 else None)

    read_list = await start(nursery, make_body)
    result = await read_list()
    assert len(result) == pages * 300

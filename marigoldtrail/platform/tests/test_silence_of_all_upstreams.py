"""Requests of a whole site while all sound upstreams are silent for a moment."""

import pytest
import trio

from marigoldtrail.platform.tests import standin
from marigoldtrail.platform.tests.standin import EVENTS
from marigoldtrail.platform.tests.test_cut_off_entries import cut_off, reconnect
from marigoldtrail.platform.tests.test_site import start_serving_site

ENTRIES = range(4)


async def fetch_in_silence(nursery, *, begins_s, silence_s):
    """Return the replies to streams of all entries, beside a silence and a new configuration."""
    site = await start_serving_site(nursery, entries=len(ENTRIES))
    replies = []

    async def fetch(entry):
        reply = await site.send_request("/talk/1", entry=entry, request_id=f"s-{entry}", body=b"p")
        replies.append(reply)

    for entry in ENTRIES:
        nursery.start_soon(fetch, entry)
    await trio.sleep(begins_s)
    for entry in ENTRIES:
        cut_off(site, entry)
    assert await site.put_config(standin.config(9)) == 200
    await trio.sleep(silence_s)
    for entry in ENTRIES:
        reconnect(site, entry)
    await trio.sleep(1.2)
    return replies


def check_whole(replies):
    assert [reply and reply[0] for reply in replies] == [200] * len(ENTRIES)
    assert all(reply[2].count(b"data: ") == EVENTS for reply in replies)


@pytest.mark.parametrize("silence_s", [0.7, 1.0, 1.3, 1.6])
async def test_started_streams_are_whole_after_a_silence_of_all_upstreams(
    autojump_clock, nursery, monkeypatch, silence_s
):
    """Guards against streams that entries break off because all sound upstreams are silent."""
    monkeypatch.setattr(standin, "EVENT_INTERVAL_S", 0.25)
    check_whole(await fetch_in_silence(nursery, begins_s=0.5, silence_s=silence_s))


@pytest.mark.parametrize("silence_s", [0.7, 1.0, 1.3, 1.6])
async def test_streams_that_have_not_begun_are_served_after_a_silence_of_all_upstreams(
    autojump_clock, nursery, silence_s
):
    """Guards against failures of streams that sound upstreams have and go on with in time."""
    # The prompts are being read.
    check_whole(
        await fetch_in_silence(nursery, begins_s=standin.PREFILL_S / 2, silence_s=silence_s)
    )

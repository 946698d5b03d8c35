"""Requests whose pieces crash each upstream of a stage, on a whole site in memory."""

import itertools
from functools import partial

import trio

from marigoldtrail.platform.tests.standin import DATA_CENTRES
from marigoldtrail.platform.tests.test_crashing_requests import (
    CRASHES_BEFORE_BOUND,
    ENTRIES,
    MAX_ARRIVALS,
    WINDOW_S,
    Callers,
    count_late_arrivals,
    quarantine_counts,
)
from marigoldtrail.platform.tests.test_prompt_crashes import restart_leader_and_entry
from marigoldtrail.platform.tests.test_site import start_serving_site

DEADLY_KEY = "crashes"
SOUND = {"interval_s": 0.25, "label": "sound"}
DEADLY = {"interval_s": 1.1, "label": "deadly", "retries": 2}


def make_stage_headers(key):
    return [("x-pieces", "2,1"), ("x-piece-key", key), ("x-token-count", "900,30")]


async def do_nothing(site):
    """Disturb nothing."""


async def play(nursery, seconds, *, disturb=do_nothing):
    """Send sound requests with stages, and one that crashes their upstreams and comes again."""
    site = await start_serving_site(nursery, entries=ENTRIES, engines=9)
    for number in range(6):
        await site.add_upstream(f"board-extra-{number}", "board", DATA_CENTRES[number % 3])
    await trio.sleep(2)
    site.crashing_keys.add(DEADLY_KEY)
    callers = Callers(site)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as inner:
            inner.start_soon(partial(
                callers.repeat, inner, **SOUND, path="/ask/1", body=number_body,
                headers=make_stage_headers("sound"),
            ))  # fmt: skip
            inner.start_soon(partial(
                callers.repeat, inner, **DEADLY, path="/ask/1", body=b"deadly",
                headers=make_stage_headers(DEADLY_KEY),
            ))  # fmt: skip
            inner.start_soon(disturb, site)
    return site, callers


def number_body(number):
    return b"prompt %d" % number


async def test_request_whose_pieces_crash_upstreams_stops_reaching_them(autojump_clock, nursery):
    """Guards against a request that crashes one upstream of its stages after the other."""
    site, callers = await play(nursery, 25)
    assert len(site.engine_crashes) >= CRASHES_BEFORE_BOUND
    assert count_late_arrivals(site) <= MAX_ARRIVALS
    assert quarantine_counts(site) == [1] * ENTRIES
    statuses = callers.statuses("sound", site.engine_crashes[2] + 2 * WINDOW_S)
    assert statuses.count(200) >= 0.95 * len(statuses)
    assert not [answer for _, _, answer in callers.ended["sound"] if b"quarantined" in answer]


async def test_request_whose_pieces_crashed_upstreams_stays_held_off_by_a_new_leader(
    autojump_clock, nursery
):
    """Guards against a new leader, or an entry without memory, that lets the request through."""
    disturb = partial(restart_leader_and_entry, after_s=8)
    site, _ = await play(nursery, 20, disturb=disturb)
    assert count_late_arrivals(site) <= MAX_ARRIVALS


async def test_sound_requests_with_stages_are_not_held_off_beside_crashes(autojump_clock, nursery):
    """Guards against refusals of requests whose pieces were in the calls of crashed upstreams."""

    async def disturb(site):
        site.crashing_keys.clear()
        for number in itertools.count():
            await trio.sleep(0.5)
            boards = [name for name in site.engine_scopes if name.startswith("board")]
            site._crash_engine(boards[-1 - number % 5])

    site, callers = await play(nursery, 20, disturb=disturb)
    assert len(site.engine_crashes) >= 20
    answers = [answer for label in callers.ended for _, _, answer in callers.ended[label]]
    assert not [answer for answer in answers if b"quarantined" in answer]
    assert quarantine_counts(site) == [0] * ENTRIES


async def test_request_whose_pieces_crash_no_more_is_served_again(autojump_clock, nursery):
    """Guards against a request that is refused for ever, for example after a new release."""

    async def disturb(site):
        await trio.sleep(8)
        site.crashing_keys.clear()

    site, callers = await play(nursery, 40, disturb=disturb)
    assert quarantine_counts(site) == [0] * ENTRIES
    assert callers.statuses("deadly")[-5:] == [200] * 5
    assert any(b"quarantined" in answer for _, _, answer in callers.ended["deadly"])

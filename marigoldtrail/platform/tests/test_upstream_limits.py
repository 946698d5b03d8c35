"""Upstreams that limit the requests they get, on a whole site in memory."""

import itertools
from functools import partial

import pytest
import trio

from marigoldtrail.platform.tests.test_prompt_crashes import find_leader
from marigoldtrail.platform.tests.test_site import start_serving_site
from marigoldtrail.ratelimits.tests.test_limiter import allowed, count_most

ENTRIES = 8
SETTLE_S = 3.0


class Callers:
    """Callers of the plain service and of generations, at all entries in turn."""

    def __init__(self, site):
        self.site = site
        self.numbers = itertools.count()
        self.replies = []

    async def send(self, path, fields):
        number = next(self.numbers)
        started = trio.current_time()
        reply = await self.site.send_request(
            path, entry=number % ENTRIES, request_id=f"id-{number}", headers=fields, body=b"p"
        )
        took_s = trio.current_time() - started
        self.replies.append((reply[0], reply[1], took_s) if reply else (None, {}, took_s))

    async def play(self, seconds, rate, path="/plain/1", fields=()):
        async with trio.open_nursery() as nursery:
            for _ in range(round(seconds * rate)):
                nursery.start_soon(self.send, path, fields)
                await trio.sleep(1 / rate)

    def statuses(self):
        return [status for status, _, _ in self.replies]


async def start_limited_site(nursery, limits, *, keep=None):
    """Start a site; keep only some upstreams of the plain service on the list."""
    site = await start_serving_site(nursery, entries=ENTRIES)
    if keep is not None:
        site.list[:] = [e for e in site.list if e["service"] != "desk" or e["id"] in keep]
        await trio.sleep(2)
    site.limits.update(limits)
    site.arrivals.clear()
    return site, Callers(site)


def count_most_at(site, name, since):
    return count_most([at - since for at in site.arrivals[name]], since=SETTLE_S)


@pytest.mark.parametrize("limit", ["0.5", "2.0", "50"])
async def test_others_take_what_a_limited_upstream_does_not(autojump_clock, nursery, limit):
    """Guards against an upstream in need that gets its usual share, and against refusals for it."""
    site, callers = await start_limited_site(nursery, {"desk-0": limit})
    started = trio.current_time()
    await callers.play(15, rate=100)
    assert count_most_at(site, "desk-0", started) <= allowed(float(limit))
    assert callers.statuses() == [200] * len(callers.replies)
    assert site.arrivals["desk-0"]


async def test_room_of_the_only_upstream_is_used_and_others_are_refused_at_once(
    autojump_clock, nursery
):
    """Guards against room left unused, and against callers that wait for what can't come."""
    site, callers = await start_limited_site(nursery, {"desk-0": "2.0"}, keep={"desk-0"})
    started = trio.current_time()
    await callers.play(20, rate=10)
    assert count_most_at(site, "desk-0", started) <= allowed(2.0)
    served = [at for at in site.arrivals["desk-0"] if at >= started + SETTLE_S]
    assert len(served) >= 0.7 * 2.0 * (20 - SETTLE_S)
    refused = [reply for reply in callers.replies if reply[0] == 503]
    assert len(refused) + callers.statuses().count(200) == len(callers.replies)
    assert all(float(headers[b"retry-after"]) > 0 for _, headers, _ in refused)
    assert max(took_s for _, _, took_s in refused) < 0.1


async def test_limit_holds_while_hosts_are_killed(autojump_clock, nursery):
    """Guards against limits that are forgotten with a leader or a restarted entry."""
    site, callers = await start_limited_site(nursery, {"desk-0": "2.0"})
    started = trio.current_time()

    async def kill():
        for _ in range(3):
            await trio.sleep(4)
            leader = find_leader(site)
            await site.crash(leader)
            await site.crash(site.entries[1])
            await trio.sleep(2)
            await site.start_host(leader)
            await site.start_host(site.entries[1])

    nursery.start_soon(kill)
    await callers.play(22, rate=50)
    assert count_most_at(site, "desk-0", started) <= allowed(2.0)


async def test_lifted_and_lowered_limits_are_followed(autojump_clock, nursery):
    """Guards against an upstream that stays limited, and against a limit that can't fall."""
    site, callers = await start_limited_site(nursery, {"desk-0": "20"})
    await callers.play(6, rate=100)
    site.limits["desk-0"] = "1.0"
    lowered = trio.current_time()
    await callers.play(10, rate=100)
    assert count_most_at(site, "desk-0", lowered) <= allowed(1.0)
    site.limits.clear()
    await callers.play(4, rate=100)
    lifted = trio.current_time()
    await callers.play(4, rate=100)
    assert sum(at >= lifted for at in site.arrivals["desk-0"]) >= 60


async def restart_hosts(site, choose, *, times=3, after_s=4):
    """Kill hosts and start them 2 s later, several times."""
    for _ in range(times):
        await trio.sleep(after_s)
        hosts = choose(site)
        for ip in hosts:
            await site.crash(ip)
        await trio.sleep(2)
        for ip in hosts:
            await site.start_host(ip)


@pytest.mark.parametrize("limit", ["0.5", "2.0"])
async def test_room_is_used_again_after_the_leader_was_lost(autojump_clock, nursery, limit):
    """Guards against entries that keep to their small shares although a leader is there again."""
    site, callers = await start_limited_site(nursery, {"desk-0": limit}, keep={"desk-0"})
    started = trio.current_time()
    nursery.start_soon(partial(restart_hosts, site, lambda site: [find_leader(site)], times=1))
    rate = max(10, 2 * float(limit))
    await callers.play(10, rate=rate)
    found = trio.current_time()
    await callers.play(20, rate=rate)
    assert count_most_at(site, "desk-0", started) <= allowed(float(limit))
    assert sum(at >= found for at in site.arrivals["desk-0"]) >= 0.7 * float(limit) * 20 - 1


@pytest.mark.parametrize("limit", ["0.5", "50"])
async def test_small_and_large_limits_of_the_only_upstream_are_used(autojump_clock, nursery, limit):
    """Guards against a limit so small, or so large, that its room is left unused."""
    site, callers = await start_limited_site(nursery, {"desk-0": limit}, keep={"desk-0"})
    started = trio.current_time()
    await callers.play(20, rate=max(10, 2 * float(limit)))
    assert count_most_at(site, "desk-0", started) <= allowed(float(limit))
    served = [at for at in site.arrivals["desk-0"] if at >= started + SETTLE_S]
    assert len(served) >= 0.7 * float(limit) * (20 - SETTLE_S) - 1


@pytest.mark.parametrize("limit", ["0.5", "2.0"])
async def test_limit_holds_when_all_entries_but_one_are_restarted(autojump_clock, nursery, limit):
    """Guards against entries that must be told of a limit by the upstream once more."""
    site, callers = await start_limited_site(nursery, {"desk-0": limit})
    started = trio.current_time()
    nursery.start_soon(partial(restart_hosts, site, lambda site: site.entries[1:], times=2))
    await callers.play(16, rate=40)
    assert count_most_at(site, "desk-0", started) <= allowed(float(limit))


async def test_limit_learned_by_one_entry_holds_for_demand_that_moves_to_others(
    autojump_clock, nursery
):
    """Guards against a limit that each entry learns from the upstream by itself."""
    site, callers = await start_limited_site(nursery, {"desk-0": "2.0"}, keep={"desk-0"})
    started = trio.current_time()
    for entry in range(ENTRIES):
        callers.numbers = itertools.repeat(entry)
        await callers.play(2, rate=50)
    assert count_most_at(site, "desk-0", started) <= allowed(2.0)
    served = [at for at in site.arrivals["desk-0"] if at >= started + SETTLE_S]
    assert len(served) >= 0.7 * 2.0 * (2 * ENTRIES - SETTLE_S)


async def test_limits_of_engines_and_stages_hold_while_schedulers_are_killed(
    autojump_clock, nursery
):
    """Guards against a new scheduler that does not know the limits, or counts from none."""
    site, callers = await start_limited_site(nursery, {"llm-0": "2.0", "board-0": "2.0"})
    started = trio.current_time()
    fields = [("x-pieces", "2,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
    nursery.start_soon(partial(restart_hosts, site, lambda site: [find_leader(site)]))
    await callers.play(20, rate=15, path="/ask/1", fields=fields)
    assert count_most_at(site, "llm-0", started) <= allowed(2.0)
    assert count_most_at(site, "board-0", started) <= allowed(2.0)
    assert callers.statuses().count(200) >= 0.7 * len(callers.replies)


async def test_look_ups_sent_again_because_of_silence_keep_the_limit(autojump_clock, nursery):
    """Guards against second sends, and probes, that bypass the limit of the other upstream."""
    site, callers = await start_limited_site(nursery, {"desk-0": "2.0"}, keep={"desk-0", "desk-1"})
    site.work_s, site.slots = 0.6, 1000
    started = trio.current_time()
    await callers.play(15, rate=50)
    assert count_most_at(site, "desk-0", started) <= allowed(2.0)


async def test_limited_engines_and_stage_upstreams(autojump_clock, nursery):
    """Guards against a limit that holds for requests of entries but not for calls of schedulers."""
    site, callers = await start_limited_site(nursery, {"llm-0": "2.0", "board-0": "2.0"})
    started = trio.current_time()
    fields = [("x-pieces", "2,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
    await callers.play(15, rate=15, path="/ask/1", fields=fields)
    assert count_most_at(site, "llm-0", started) <= allowed(2.0)
    assert count_most_at(site, "board-0", started) <= allowed(2.0)
    assert callers.statuses().count(200) >= 0.95 * len(callers.replies)


async def test_replaced_upstream_at_the_same_address_is_not_limited(autojump_clock, nursery):
    """Guards against the limit of an upstream that is gone."""
    site, callers = await start_limited_site(nursery, {"desk-0": "1.0"})
    await callers.play(4, rate=100)
    for entry in site.list:
        if entry["id"] == "desk-0":
            entry["born"] = 5
    site.limits.clear()
    await callers.play(2, rate=100)
    restarted = trio.current_time()
    await callers.play(4, rate=100)
    assert sum(at >= restarted for at in site.arrivals["desk-0"]) >= 60

"""Prompts that crash the upstreams that answer them, on a whole site in memory."""

import itertools

import trio

from marigoldtrail.platform.tests.test_site import start_serving_site

ENTRIES = 8
# Bounds of the users' rules.
WINDOW_S = 3.0
CRASHES_BEFORE_BOUND = 5
MAX_ARRIVALS = 3


class Traffic:
    """Callers that send generations to all entries in turn."""

    def __init__(self, site):
        self.site = site
        self.numbers = itertools.count()
        # Time, and status or None, of each finished request by the label of its prompt.
        self.ended = {}

    async def send(self, label, *parts):
        number = next(self.numbers)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
        fields = [("x-prompt-prefix", prompt), ("x-token-count", "300,30")]
        sent_at = trio.current_time()
        reply = await self.site.send_request(
            "/ask/1", entry=number % ENTRIES, request_id=f"id-{number}", headers=fields, body=b"p"
        )
        status = reply[0] if reply is not None else None
        self.ended.setdefault(label, []).append((sent_at, status))

    async def repeat(self, nursery, label, interval_s, *parts):
        while True:
            nursery.start_soon(self.send, label, *parts)
            await trio.sleep(interval_s)

    def served_share(self, label, since):
        statuses = [status for at, status in self.ended[label] if at >= since]
        assert len(statuses) >= 20
        return statuses.count(200) / len(statuses)


def count_late_arrivals(site):
    """Count the deadly requests that reach engines although the fleet should know the part."""
    if len(site.engine_crashes) < CRASHES_BEFORE_BOUND:
        return 0
    bound = site.engine_crashes[CRASHES_BEFORE_BOUND - 1] + WINDOW_S
    return sum(at > bound for at in site.deadly_arrivals)


async def play(nursery, seconds, *streams, deadly=("bad",)):
    """Play streams of requests, each (label, interval in seconds, parts)."""
    site = await start_serving_site(nursery, entries=ENTRIES, engines=9)
    site.deadly_parts.update(deadly)
    traffic = Traffic(site)
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as callers:
            for label, interval_s, *parts in streams:
                callers.start_soon(traffic.repeat, callers, label, interval_s, *parts)
    return site, traffic


async def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them(
    autojump_clock, nursery
):
    """Guards against requests that crash one upstream after the other."""
    site, traffic = await play(
        nursery, 25, ("sound", 0.1, "start"), ("subject", 0.4, "start", "s"),
        ("deadly", 0.4, "start", "bad"),
    )  # fmt: skip
    assert len(site.engine_crashes) >= 2
    assert count_late_arrivals(site) <= MAX_ARRIVALS
    since = site.engine_crashes[-1] + 2 * WINDOW_S if len(site.engine_crashes) < 5 else 0.0
    assert traffic.served_share("sound", since) >= 0.8
    assert traffic.served_share("subject", since) >= 0.8

"""
Silence matrix: requests of each kind, in each phase, beside silences and changes.

A silence loses nothing, and the deadline of no stream is reached by it, so that each request that
was read gets a complete answer or a truthful refusal. All or a part of the matrix is run with
``python -m marigoldtrail.platform.tests.silence_matrix --part 1/4``.
"""

import argparse
import collections
import logging
import random
import re
import sys
import time
from functools import partial

import h11
import msgspec
import trio
import trio.testing

from marigoldtrail.net import Address
from marigoldtrail.platform.tests import silence_cells as cells
from marigoldtrail.platform.tests.silence_site import (
    PATHS,
    REPLY,
    Configs,
    MatrixSite,
    be_silent,
    choose_silent,
    halve,
    make_change,
)
from marigoldtrail.platform.tests.standin import CALLER_IP, KEY
from marigoldtrail.standins.http import STREAM_ERRORS
from marigoldtrail.testing.fault_matrix import use_fixed_schedule

SEED = 1
# Entry that is cut off from the upstreams for the whole play, so that it forwards its requests.
FORWARDING_ENTRY = 2
SETTLE_S = 1.0
# Time from the first request of kept connections, by which an entry finds its cut, to the silence.
WARM_UP_S = 2.0
# Time from the last answer to the look for requests that run after their refusal.
LATE_RUN_S = 1.5
ANSWER_MARGIN_S = 0.5
BODY = b"a prompt of some length"
REFUSALS = (408, 421, 429, 503)
FAILURES = (500, 502, 504)
STAGE_HEADERS = [("x-pieces", "1,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
UNREPEATED = ("unsafe", "stream", "stages", "forwarded unsafe")


class Caller:
    """Sends one request of a play and keeps what came back."""

    def __init__(self, site, spec, number, start):
        self.site = site
        self.spec = spec
        self.request_id = f"id-{number}"
        self.start = start
        self.deadline_s = site.figures.find_deadline_s(spec.kind)
        self.entry = FORWARDING_ENTRY if spec.kind.startswith("forwarded") else number % 2
        self.path = PATHS[spec.kind.removeprefix("forwarded ")]
        # Status and body, or why there is no complete response.
        self.result = "not sent"
        self.took_s = 0.0
        # Time of the last byte of the request, relative to the silence.
        self.sent_s = spec.body_s

    async def run(self):
        address = Address.parse(f"{self.site.entries[self.entry]}:8625")
        if self.spec.phase == cells.KEPT:
            await trio.sleep_until(self.start - WARM_UP_S)
        else:
            await trio.sleep_until(self.start + self.spec.head_s - 0.01)
        stream = await self.site.network.endpoint(CALLER_IP).connect(address)
        conn = h11.Connection(h11.CLIENT)
        if self.spec.phase == cells.KEPT:
            self.result = await self._run_exchange(stream, conn, f"{self.request_id}-first", None)
            if not isinstance(self.result, tuple):
                self.result = f"first request on a kept connection: {self.result}"
                await trio.aclose_forcefully(stream)
                return
            conn.start_next_cycle()
        await trio.sleep_until(self.start + self.spec.head_s)
        sent = trio.current_time()
        self.result = await self._run_exchange(stream, conn, self.request_id, self.spec)
        self.took_s = trio.current_time() - sent
        await trio.aclose_forcefully(stream)

    async def _run_exchange(self, stream, conn, request_id, spec):
        """Return the response, or why there is none."""
        with trio.move_on_after(self.deadline_s + ANSWER_MARGIN_S):
            try:
                return await self._exchange(stream, conn, request_id, spec)
            except (*STREAM_ERRORS, h11.RemoteProtocolError) as exc:
                return f"closed within the answer: {exc!r}"
        return "no answer in time"

    async def _exchange(self, stream, conn, request_id, spec):
        fields = [
            ("host", "a.example"),
            ("x-request-id", request_id),
            ("x-deadline-ms", str(round(self.deadline_s * 1000))),
            ("authorization", f"Token {KEY}"),
            ("content-length", str(len(BODY))),
        ]
        if self.spec.kind.startswith("stages"):
            fields += STAGE_HEADERS
        first, rest = halve(BODY)
        head = conn.send(h11.Request(method="POST", target=self.path, headers=fields))
        if spec is None or spec.head_s == spec.body_s:
            data = conn.send(h11.Data(data=BODY)) + conn.send(h11.EndOfMessage())
            await stream.send_all(head + data)
        else:
            await stream.send_all(head)
            if spec.phase == "body in progress":
                await trio.sleep(0.05)
                await stream.send_all(conn.send(h11.Data(data=first)))
            else:
                rest = BODY
            await trio.sleep_until(self.start + spec.body_s)
            await stream.send_all(conn.send(h11.Data(data=rest)) + conn.send(h11.EndOfMessage()))
        self.sent_s = trio.current_time() - self.start
        return await _read_response(stream, conn)


async def _read_response(stream, conn):
    status, parts = None, []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return status, b"".join(parts)
        elif status is None:
            return "closed without an answer"
        else:
            return "closed within the answer"


def find_fault(caller, change, lag_s, runs):
    """Return which promise was broken; empty if none."""
    kind, result = caller.spec.kind, caller.result
    if kind in UNREPEATED and change != "resumability" and len(runs) > 1:
        return f"ran {len(runs)} times"
    if not isinstance(result, tuple):
        return result
    status, body = result
    is_after_change = caller.sent_s >= lag_s
    if status == 200:
        return _find_body_fault(caller, body)
    if status in REFUSALS:
        return f"refused with {status} and ran at {runs}" if runs else ""
    if status == 404 and change == "route removed and added" and is_after_change:
        return ""
    if status == 401 and change == "key replaced" and is_after_change:
        return ""
    if status in FAILURES:
        return ""
    return f"status {status}"


def _find_body_fault(caller, body):
    if caller.path in (PATHS["safe"], PATHS["unsafe"], PATHS["limited"]):
        return "" if body == REPLY else f"body {body!r}"
    ids = re.findall(rb"^id: (\d+)$", body, re.MULTILINE)
    expected = [b"%d" % (number + 1) for number in range(cells.EVENTS)]
    return "" if ids == expected else f"events {ids}"


def list_broken_promises(site):
    """Return counters of the hosts that show requests without an answer."""
    lines = []
    for ip in site.entries:
        text = site.hosts[ip].components.metrics.render_text().decode()
        lines += re.findall(
            r"^(?:responses_given_up|requests_unanswered)_total.* [^0].*$", text, re.M
        )
    return [line for line in lines if "caller_left" not in line and not line.endswith(" 0.0")]


class PlayResult(msgspec.Struct):
    """
    What came out of a play.

    ``broken`` has broken promises, ``failures`` the requests with a failure in place of an answer,
    ``statuses`` the number of requests by kind and result.
    """

    play: cells.Play
    broken: list[str]
    failures: list[str]
    statuses: dict[str, int]


async def _run(play, specs, seed):
    async with trio.open_nursery() as nursery:
        site = MatrixSite(nursery, figures=cells.SITES[play.site], seed=seed, entries=3)
        await site.start()
        configs = Configs(site)
        await configs.send()
        for entry in site.list:
            ip = Address.parse(entry["address"]).ip
            site.network.cut(site.entries[FORWARDING_ENTRY], ip)
        await trio.sleep(SETTLE_S)
        start = trio.current_time() + WARM_UP_S + 0.1
        callers = [Caller(site, spec, number, start) for number, spec in enumerate(specs)]
        broken = await _play_cells(site, configs, play, callers, start)
        await trio.sleep(LATE_RUN_S)
        result = _judge(site, play, callers, broken)
        nursery.cancel_scope.cancel()
    return result


async def _play_cells(site, configs, play, callers, start):
    """Send all requests beside the silence and the change; return what the operator missed."""
    broken = []

    async def change():
        await trio.sleep_until(start + play.lag_s)
        try:
            await make_change(site, configs, play.change)
        except (trio.TooSlowError, AssertionError) as exc:
            broken.append(f"change: {exc!r}")

    async def silence():
        await trio.sleep_until(start)
        if play.room == "full":
            site.full_until = start + cells.FULL_S
        await be_silent(site, choose_silent(site, play.silent), play.length)

    async with trio.open_nursery() as nursery:
        # Only with a request does an entry find that it is cut off.
        warm_up = partial(site.send_request, request_id="warm-up", entry=FORWARDING_ENTRY)
        nursery.start_soon(warm_up, "/plain/1")
        nursery.start_soon(change)
        nursery.start_soon(silence)
        for caller in callers:
            nursery.start_soon(caller.run)
    return broken


def _judge(site, play, callers, broken):
    failures, statuses = [], collections.Counter()
    for caller in callers:
        spec, runs = caller.spec, site.runs[caller.request_id]
        status = caller.result[0] if isinstance(caller.result, tuple) else caller.result
        statuses[f"{spec.kind}: {status}"] += 1
        line = f"{spec.kind} / {spec.phase}: {status} after {caller.took_s:.2f} s, runs {runs}"
        if fault := find_fault(caller, play.change, play.lag_s, runs):
            broken.append(f"{line}: {fault}")
        elif status in FAILURES:
            failures.append(line)
    broken += list_broken_promises(site)
    return PlayResult(play, broken, failures, dict(statuses))


def run_play(play, specs=None, *, seed=SEED):
    """Run a play with some or all requests under a virtual clock."""
    specs = cells.list_specs() if specs is None else specs
    with use_fixed_schedule(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(_run, play, specs, seed, clock=clock)


def _name(play):
    return f"{play.silent} / {play.length} / {play.change} / {play.lag_s} / {play.room}"


def main(argv):
    """Run all plays or a part, print the broken promises; return 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", default="1/1", help="which part of the plays, as in 1/4")
    parser.add_argument("--site", default="long deadlines", choices=[*cells.SITES])
    parser.add_argument("--sample", type=int, default=0, help="only so many plays, by the seed")
    parser.add_argument("--pairs", action="store_true", help="only the selection of the test")
    parser.add_argument("--only", default="", help="text in the play, as in 'all upstreams'")
    parser.add_argument("--kind", default="", help="text in the kind of request")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--log", action="store_true", help="print the log of the hosts")
    args = parser.parse_args(argv)
    logging.disable(logging.NOTSET if args.log else logging.CRITICAL)
    if args.log:
        logging.basicConfig(level=logging.INFO, format="%(name)s %(message)s %(args)s")
    number, count = map(int, args.part.split("/"))
    items = [(play, cells.list_specs()) for play in cells.list_plays(args.site)]
    items = cells.choose_pairwise(args.site) if args.pairs else items
    if args.sample:
        items = random.Random(args.seed).sample(items, args.sample)
    items = [item for item in items if args.only in _name(item[0])][number - 1 :: count]
    statuses, broken_plays, started = collections.Counter(), 0, time.monotonic()
    for play, specs in items:
        specs = [spec for spec in specs if args.kind in spec.kind]
        result = run_play(play, specs, seed=args.seed)
        statuses.update(result.statuses)
        broken_plays += bool(result.broken)
        if result.broken or result.failures:
            print(_name(play))
            for line in result.broken:
                print(f"  BROKEN {line}")
            for line in result.failures:
                print(f"  failure {line}")
            sys.stdout.flush()
    took_s = time.monotonic() - started
    print(f"{len(items)} plays, {broken_plays} with broken promises, {took_s:.0f} s")
    for name, total in sorted(statuses.items()):
        print(f"  {name}: {total}")
    return int(broken_plays > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

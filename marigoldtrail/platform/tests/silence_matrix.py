"""
Silence matrix: requests of each kind, in each phase, beside silences and changes.

A silence loses nothing, and no deadline is reached by it, so that each request that was read gets
a complete answer or a truthful refusal. All or a part of the matrix is run with ``python -m
marigoldtrail.platform.tests.silence_matrix --part 1/4``.
"""

import argparse
import collections
import itertools
import logging
import re
import sys
import time
from functools import partial
from types import SimpleNamespace

import h11
import msgspec
import trio
import trio.testing

from marigoldtrail.net import Address
from marigoldtrail.platform.standin import (
    NOT_RUN,
    STATUS_MISSING_INPUTS,
    STATUS_OTHER_UPSTREAM,
    build_results,
    encode_config,
    is_addressed_to,
    make_answer_headers,
    make_identity_headers,
    make_limit_headers,
    make_route,
    make_takeout_target,
    read_pieces,
    read_received,
)
from marigoldtrail.platform.standin import PIECES_PATH as PIECES
from marigoldtrail.platform.tests import silence_cells as cells
from marigoldtrail.platform.tests.standin import CALLER_IP, DATA_CENTRES, KEY, LIST, Site
from marigoldtrail.site.launch import reload_settings
from marigoldtrail.standins.http import STREAM_ERRORS
from marigoldtrail.testing.fault_matrix import use_fixed_schedule

SEED = 1
PLAIN_SERVICES = ("desk", "shop", "meter")
# Entry that is cut off from the upstreams for the whole play, so that it forwards its requests.
FORWARDING_ENTRY = 2
# Callers leave streams after four times this time without an event.
TARGET_LATENCY_MS = 1500
SETTLE_S = 1.0
# Time from the first request of kept connections, by which an entry finds its cut, to the silence.
WARM_UP_S = 2.0
# An engine that has taken a stream of another one finds only then that it lacks the inputs.
LATE_REFUSAL_S = 0.3
# Time from the last answer to the look for requests that run after their refusal.
LATE_RUN_S = 1.5
ANSWER_MARGIN_S = 0.5
BODY = b"a prompt of some length"
REPLY = b'{"a": "reply in two parts"}'
REFUSALS = (408, 421, 429, 503)
FAILURES = (500, 502, 504)
STAGE_HEADERS = [("x-pieces", "1,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
UNREPEATED = ("unsafe", "stream", "stages", "forwarded unsafe")
PATHS = {
    "safe": "/plain/1",
    "unsafe": "/order/1",
    "limited": "/meter/1",
    "stream": "/line/1",
    "resumable": "/talk/1",
    "stages": "/ask/1",
    "stages again": "/redo/1",
    "stages, moved": "/moved/1",
}


class MatrixSite(Site):
    """A site whose upstreams send answers in parts at fixed times, and record what they run."""

    def __init__(self, nursery, **fields):
        super().__init__(nursery, **fields)
        # Names of the upstreams that ran a request, by its id.
        self.runs = collections.defaultdict(list)
        self.calls_with_several = 0
        self.piece_runs = itertools.count()
        # Engine that read the inputs with these handles, by their header.
        self.readers = {}

    async def start(self):
        for number, dc in enumerate(DATA_CENTRES):
            for service in ("shop", "meter"):
                await self.add_upstream(f"{service}-{number}", service, dc)
                self.limits[f"meter-{number}"] = "40"
        await super().start()

    async def _answer_upstream(self, name, entry, request, reply):
        path = request.path
        if not is_addressed_to(request.headers, name):
            await reply.send_json(STATUS_OTHER_UPSTREAM, {}, make_identity_headers(name))
        elif path == PIECES:
            await self._run_pieces(entry, request, reply)
        elif path not in PATHS.values():
            await super()._answer_upstream(name, entry, request, reply)
        elif self._lacks_inputs(name, request):
            if path == PATHS["stages, moved"]:
                await trio.sleep(LATE_REFUSAL_S)
            headers = make_answer_headers(read_received(request.headers).request_id, "")
            await reply.send_json(STATUS_MISSING_INPUTS, {}, {**headers, **NOT_RUN})
        else:
            received = read_received(request.headers)
            self.runs[received.request_id].append(name)
            headers = make_answer_headers(received.request_id, f"seal-{name}")
            headers |= make_limit_headers(self.limits.get(name, ""))
            if entry["service"] == "llm":
                await _send_stream(reply, headers, int(received.resume_after or 0))
            else:
                await _send_plain(reply, headers)

    def _lacks_inputs(self, name, request):
        """Return whether an engine lacks the inputs of a request; their first reader has them."""
        received = read_received(request.headers)
        if request.path == PATHS["stages again"]:
            return self.readers.setdefault(received.request_id, received.inputs) == received.inputs
        if request.path == PATHS["stages, moved"]:
            return self.readers.setdefault(received.inputs, name) != name
        return False

    async def _run_pieces(self, entry, request, reply):
        pieces = read_pieces(request.body)
        self.calls_with_several += len({piece.request_id for piece in pieces}) > 1
        await trio.sleep(cells.STAGE_CALL_S)
        handles = [f"{entry['address']}/{p.request_id}-{next(self.piece_runs)}" for p in pieces]
        await reply.send_json(200, build_results(handles), {})


async def _send_parts(reply, parts, times_s):
    started = trio.current_time()
    for part, at_s in zip(parts, times_s, strict=True):
        await trio.sleep_until(started + at_s)
        await reply.stream.send_all(part)


def _halve(data):
    return [data[: len(data) // 2], data[len(data) // 2 :]]


async def _send_plain(reply, headers):
    fields = {**headers, "content-length": str(len(REPLY))}
    head = reply._send(h11.Response(status_code=200, headers=list(fields.items())))
    body = reply._send(h11.Data(data=REPLY)) + reply._send_end()
    await _send_parts(reply, _halve(head) + _halve(body), cells.PLAIN_PARTS_S)


async def _send_stream(reply, headers, first):
    fields = {**headers, "content-type": "text/event-stream"}
    parts = _halve(reply._send(h11.Response(status_code=200, headers=list(fields.items()))))
    for number in range(first + 1, cells.EVENTS + 1):
        parts += _halve(reply._send(h11.Data(data=b"id: %d\ndata: event\n\n" % number)))
    parts.append(reply._send_end())
    await _send_parts(reply, parts, cells.STREAM_PARTS_S[: len(parts)])


class Configs:
    """Configurations of a play."""

    def __init__(self, site):
        self.site = site
        self.version = 1
        self.keys = [KEY]
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        stages = [
            {"service": "board", "after": [], "bytes": 1000},
            {"service": "board", "after": [0], "bytes": 1000},
        ]
        once = {"timeout_ms": 8000, "target_latency_ms": TARGET_LATENCY_MS}
        twice = {**once, "max_attempts": 2}
        self.routes = {
            "plain": make_route("plain", "/plain/", "safe", "desk", **twice),
            "order": make_route("order", "/order/", "unsafe", "desk", **once),
            "meter": make_route("meter", "/meter/", "safe", "meter", **twice),
            "line": make_route("line", "/line/", "streaming", "llm", **once),
            "talk": make_route("talk", "/talk/", "streaming", "llm", resumable=True, **twice),
            "ask": make_route("ask", "/ask/", "streaming", "llm", **once),
            "redo": make_route("redo", "/redo/", "streaming", "llm", resumable=True, **twice),
            "moved": make_route("moved", "/moved/", "streaming", "llm", resumable=True, **twice),
        }
        for name in ("ask", "redo", "moved"):
            self.routes[name]["stages"] = stages
        self.removed_routes = set()
        self.services = ["desk", "shop", "meter", "llm", "board"]

    def encode(self):
        """Return the next configuration document."""
        self.version += 1
        routes = [r for name, r in self.routes.items() if name not in self.removed_routes]
        document = msgspec.json.decode(
            encode_config(self.version, routes=routes, accounts={"acme": self.keys})
        )
        known = {service["name"]: service for service in document["services"]}
        known["board"]["pieces"].update(batch=8, queue=4, call_ms=100.0)
        document["services"] = [
            known.get(name, {"name": name, "max_connections": 50}) for name in self.services
        ]
        document["limits"] = self.limits
        return msgspec.json.encode(document)

    async def send(self):
        """Send the next configuration until it is acknowledged."""
        assert await self.site.put_config(self.encode()) == 200


async def make_change(site, configs, change):
    """Make a change of the matrix."""
    routes = configs.routes
    match change:
        case "timeouts, attempts, limits":
            for route in routes.values():
                route["timeout_ms"] = 7000
                route["max_attempts"] = 3 - route["max_attempts"]
            configs.limits.update(header_timeout_ms=1000, idle_timeout_ms=1000, max_body_bytes=64)
        case "resumability":
            for name in ("line", "talk", "redo", "moved"):
                routes[name]["resumable"] = not routes[name].get("resumable", False)
        case "split":
            for name in ("plain", "order"):
                routes[name].pop("service")
                routes[name]["split"] = [
                    {"service": "desk", "weight": 10},
                    {"service": "shop", "weight": 90},
                ]
        case "stages removed":
            for name in ("ask", "redo", "moved"):
                del routes[name]["stages"]
        case "key replaced":
            configs.keys = ["k-new"]
        case "service removed":
            for name in ("plain", "order"):
                routes[name]["service"] = "shop"
            configs.services.remove("desk")
        case "route removed and added":
            configs.removed_routes = {"order", "line", "talk", "ask", "redo", "moved"}
            await configs.send()
            configs.removed_routes = set()
    match change:
        case "none":
            return
        case "race":
            await _race(site, configs)
        case "data centre taken out":
            await _order(site, "POST", DATA_CENTRES[0])
            await _order(site, "DELETE", DATA_CENTRES[0])
        case "reload":
            for host in list(site.hosts.values()):
                file = SimpleNamespace(read=lambda cfg=host.components.cfg: cfg)
                reload_settings(host.components, file)
        case "release":
            await _release(site)
        case _:
            await configs.send()


async def _race(site, configs):
    """Send two configurations to two hosts at once."""
    documents = [configs.encode(), configs.encode()]
    async with trio.open_nursery() as nursery:
        for ip, document in zip(site.control, documents, strict=False):
            address = f"{ip}:8628"
            nursery.start_soon(partial(site.http, address, "PUT", "/-/config", body=document))
    await configs.send()


async def _order(site, method, data_centre):
    """Send an order to each control host in turn until one acknowledges it."""
    with trio.fail_after(20.0):
        while True:
            for ip in site.control:
                reply = await site.http(f"{ip}:8628", method, make_takeout_target(data_centre))
                if reply is not None and 200 <= reply[0] < 300:
                    return
            await trio.sleep(0.1)


async def _release(site):
    """Replace one upstream of each service by one of another version; the old ones drain."""
    for entry in [e for e in site.list if e["id"].endswith("-0")]:
        name = f"{entry['service']}-{len(DATA_CENTRES)}"
        await site.add_upstream(name, entry["service"], entry["zone"], version="v2")
        entry["state"] = "draining"


def find_leader(site):
    """Return the address of the control host that leads the configuration group."""
    return next(ip for ip in site.control if site.hosts[ip].groups["config"].is_leader)


def choose_silent(site, silent):
    """Return the addresses of the hosts that fall silent."""
    by_service = collections.defaultdict(list)
    for entry in site.list:
        by_service[entry["service"]].append(Address.parse(entry["address"]).ip)
    plain = [ip for service in PLAIN_SERVICES for ip in by_service[service]]
    upstreams = [ip for ips in by_service.values() for ip in ips]
    data_centre = [Address.parse(e["address"]).ip for e in site.list if e["zone"] == "dc-a"]
    leader = find_leader(site)
    upstream = [by_service[name][0] for name in (*PLAIN_SERVICES, "llm")]
    return {
        "an upstream": upstream,
        "engines but one, the stages": [*by_service["llm"][:-1], *by_service["board"]],
        "engines but one, the control hosts": [*by_service["llm"][:-1], *site.control],
        "plain services": plain,
        "engines": by_service["llm"],
        "a stage server": by_service["board"][:1],
        "stages": by_service["board"],
        "a data centre": [*data_centre, site.control[0]],
        "all upstreams": upstreams,
        "the leader": [leader],
        "a follower": [ip for ip in site.control if ip != leader][:1],
        "all control hosts": site.control,
        "everything": [*upstreams, *site.control],
    }[silent]


async def be_silent(site, ips, length):
    """Let hosts fall silent without any loss, once or more often."""
    hosts = [*site.control, *site.entries, LIST.ip]
    pairs = [
        (ip, host)
        for ip in ips
        for host in hosts
        if ip != host and not site.network.link(host, ip).is_cut
    ]
    for number, seconds in enumerate(cells.LENGTHS[length]):
        act = site.network.restore if number % 2 else site.network.cut
        for pair in pairs:
            act(*pair)
        await trio.sleep(seconds)
    for pair in pairs:
        site.network.restore(*pair)


class Caller:
    """Sends one request of a play and keeps what came back."""

    def __init__(self, site, spec, number, start):
        self.site = site
        self.spec = spec
        self.request_id = f"id-{number}"
        self.start = start
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
            await self._exchange(stream, conn, f"{self.request_id}-first", None)
            conn.start_next_cycle()
        await trio.sleep_until(self.start + self.spec.head_s)
        with trio.move_on_after(cells.DEADLINE_S + ANSWER_MARGIN_S):
            self.result = "no answer in time"
            sent = trio.current_time()
            try:
                self.result = await self._exchange(stream, conn, self.request_id, self.spec)
            except (*STREAM_ERRORS, h11.RemoteProtocolError) as exc:
                self.result = f"closed within the answer: {exc!r}"
            self.took_s = trio.current_time() - sent
        await trio.aclose_forcefully(stream)

    async def _exchange(self, stream, conn, request_id, spec):
        fields = [
            ("host", "a.example"),
            ("x-request-id", request_id),
            ("x-deadline-ms", str(round(cells.DEADLINE_S * 1000))),
            ("authorization", f"Token {KEY}"),
            ("content-length", str(len(BODY))),
        ]
        if self.spec.kind.startswith("stages"):
            fields += STAGE_HEADERS
        first, rest = _halve(BODY)
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
        site = MatrixSite(nursery, seed=seed, entries=3)
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
    return f"{play.silent} / {play.length} / {play.change} / {play.lag_s}"


def main(argv):
    """Run all plays or a part, print the broken promises; return 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", default="1/1", help="which part of the plays, as in 1/4")
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
    items = [(play, cells.list_specs()) for play in cells.list_plays()]
    items = cells.choose_pairwise() if args.pairs else items
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

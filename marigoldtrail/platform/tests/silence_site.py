"""Site of the silence matrix: its upstreams, the changes of its operators, and its silences."""

import collections
import itertools
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
from marigoldtrail.platform.tests.standin import DATA_CENTRES, KEY, LIST, Site
from marigoldtrail.site.launch import reload_settings

PLAIN_SERVICES = ("desk", "shop", "meter")
# Callers leave streams after four times this time without an event.
TARGET_LATENCY_MS = 1500
# An engine that has taken a stream of another one finds only then that it lacks the inputs.
LATE_REFUSAL_S = 0.3
REPLY = b'{"a": "reply in two parts"}'
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

    def __init__(self, nursery, *, figures, **fields):
        super().__init__(nursery, **fields)
        self.figures = figures
        # Time until which the stage service has no room for results.
        self.full_until = 0.0
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
        if self.figures.data_centre_delay_s:
            self._delay_links(self.figures.data_centre_delay_s)

    def _delay_links(self, delay_s):
        """Delay what hosts and upstreams send to other data centres."""
        data_centres = {Address.parse(e["address"]).ip: e["zone"] for e in self.list}
        for ip in (*self.control, *self.entries):
            data_centres[ip] = self.settings(ip, first_start=False).data_centre
        for source, target in itertools.permutations(data_centres, 2):
            if data_centres[source] != data_centres[target]:
                self.network.link(source, target).delay_s = delay_s

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
        if trio.current_time() < self.full_until:
            await reply.send_json(200, {"items": [{"reason": "room"} for _ in pieces]}, {})
            return
        handles = [f"{entry['address']}/{p.request_id}-{next(self.piece_runs)}" for p in pieces]
        await reply.send_json(200, build_results(handles), {})


async def _send_parts(reply, parts, times_s):
    started = trio.current_time()
    for part, at_s in zip(parts, times_s, strict=True):
        await trio.sleep_until(started + at_s)
        await reply.stream.send_all(part)


def halve(data):
    return [data[: len(data) // 2], data[len(data) // 2 :]]


async def _send_plain(reply, headers):
    fields = {**headers, "content-length": str(len(REPLY))}
    head = reply._send(h11.Response(status_code=200, headers=list(fields.items())))
    body = reply._send(h11.Data(data=REPLY)) + reply._send_end()
    await _send_parts(reply, halve(head) + halve(body), cells.PLAIN_PARTS_S)


async def _send_stream(reply, headers, first):
    fields = {**headers, "content-type": "text/event-stream"}
    parts = halve(reply._send(h11.Response(status_code=200, headers=list(fields.items()))))
    for number in range(first + 1, cells.EVENTS + 1):
        parts += halve(reply._send(h11.Data(data=b"id: %d\ndata: event\n\n" % number)))
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
        for name, fields in site.figures.routes.items():
            self.routes[name] |= fields
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
        case "targets left out":
            for route in routes.values():
                route["target_latency_ms"] = 1
                route.pop("gap_aim_ms", None)
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

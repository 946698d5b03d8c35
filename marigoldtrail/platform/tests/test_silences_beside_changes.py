"""Requests of all kinds beside changes of the configuration and silences of sound hosts."""

import collections
import random

import h11
import pytest
import trio
import trio.testing

from marigoldtrail.net import Address
from marigoldtrail.platform.standin import (
    encode_config,
    make_engine_route,
    make_route,
    make_takeout_target,
)
from marigoldtrail.platform.tests import standin
from marigoldtrail.platform.tests.standin import CALLER_IP, DATA_CENTRES, KEY
from marigoldtrail.platform.tests.test_site import start_serving_site
from marigoldtrail.standins.client import HttpConnection
from marigoldtrail.standins.http import STREAM_ERRORS
from marigoldtrail.testing.fault_matrix import use_fixed_schedule

# Each of them broke streams off while a silence counted as a cut of their host.
SEEDS = (5, 8, 11)
PLAY_S = 8.0
DEADLINE_S = 4.0
ANSWER_MARGIN_S = 0.5
EVENTS = 5
SILENCES_S = (0.5, 1.6)
OTHER_KEY = "k-other"
PATHS = ("/plain/1", "/order/1", "/ask/1", "/talk/1", "/more/1")
STAGE_HEADERS = [("x-pieces", "2,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
# Paths whose requests may run once at most, whatever the configuration.
UNREPEATED_PATHS = ("/order/1", "/ask/1")


class Operator:
    """Changes the configuration at random, and takes data centres out."""

    def __init__(self, site, rng):
        self.site = site
        self.rng = rng
        self.version = 1
        self.keys = [KEY, OTHER_KEY]
        self.idle_timeout_ms = 15000
        self.routes = {
            "plain": make_route("plain", "/plain/", "safe", "desk", max_attempts=2),
            "order": make_route("order", "/order/", "unsafe", "desk"),
            "ask": make_engine_route("ask", "/ask/"),
            "talk": make_route(
                "talk", "/talk/", "streaming", "llm", resumable=True, max_attempts=2
            ),
            "more": make_route("more", "/more/", "safe", "desk", max_attempts=3),
        }
        self.removed = set()
        self.taken_out = []

    async def send(self):
        self.version += self.rng.randrange(1, 4)
        routes = [route for name, route in self.routes.items() if name not in self.removed]
        document = encode_config(
            self.version,
            routes=routes,
            accounts={"acme": self.keys},
            limits={
                "max_header_bytes": 16384,
                "max_body_bytes": 65536,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": self.idle_timeout_ms,
            },
        )
        assert await self.site.put_config(document) == 200

    async def run(self):
        while True:
            await trio.sleep(self.rng.uniform(0.1, 0.8))
            if self.rng.random() < 0.2:
                await self._take_out()
            else:
                self._change()
                await self.send()

    def _change(self):
        routes, rng = self.routes, self.rng
        route = routes[rng.choice(sorted(routes))]
        match rng.randrange(9):
            case 0:
                route["timeout_ms"] = rng.choice([4000, 6000])
            case 1:
                for name in ("plain", "talk", "more"):
                    routes[name]["max_attempts"] = rng.randrange(1, 4)
            case 2:
                routes["talk"]["resumable"] = not routes["talk"]["resumable"]
            case 3:
                routes["plain"]["kind"] = rng.choice(["safe", "unsafe"])
            case 4:
                routes["more"].pop("service", None)
                weight = rng.randrange(1, 100)
                routes["more"]["split"] = [
                    {"service": "desk", "weight": weight},
                    {"service": "board", "weight": 100 - weight},
                ]
            case 5:
                self.removed = {rng.choice(["more", "talk", "ask"])} if not self.removed else set()
            case 6:
                self.keys = [KEY] if len(self.keys) == 2 else [KEY, OTHER_KEY]
            case 7:
                self.idle_timeout_ms = rng.choice([1000, 5000, 15000])
            case 8:
                if routes["ask"].pop("stages", None) is None:
                    routes["ask"] = make_engine_route("ask", "/ask/")

    async def _take_out(self):
        method = "DELETE" if self.taken_out else "POST"
        name = self.taken_out.pop() if self.taken_out else self.rng.choice(DATA_CENTRES)
        if method == "POST":
            self.taken_out.append(name)
        host = f"{self.rng.choice(self.site.control)}:8628"
        await self.site.http(host, method, make_takeout_target(name))


class Silences:
    """Lets upstreams and control hosts fall silent for a while, without any loss."""

    def __init__(self, site, rng):
        self.site = site
        self.rng = rng
        self.log = []

    async def run(self):
        while True:
            await trio.sleep(self.rng.uniform(0.2, 1.2))
            ips = self._choose()
            silence_s = self.rng.uniform(*SILENCES_S)
            self.log.append((round(trio.current_time(), 2), ips, round(silence_s, 2)))
            for ip, other in self._pairs(ips):
                self.site.network.cut(ip, other)
            await trio.sleep(silence_s)
            for ip, other in self._pairs(ips):
                self.site.network.restore(ip, other)

    def _choose(self):
        by_service = collections.defaultdict(list)
        for entry in self.site.list:
            by_service[entry["service"]].append(Address.parse(entry["address"]).ip)
        upstreams = sorted(ip for ips in by_service.values() for ip in ips)
        match self.rng.randrange(6):
            case 0:
                return [self.rng.choice(upstreams)]
            case 1:
                return sorted(by_service[self.rng.choice(sorted(by_service))])
            case 2 | 3:
                return upstreams
            case 4:
                return [self.rng.choice(self.site.control)]
        return self.rng.sample(upstreams, len(upstreams) // 2) + [
            self.rng.choice(self.site.control)
        ]

    def _pairs(self, ips):
        hosts = self.site.control + self.site.entries
        return [(ip, host) for ip in ips for host in hosts if host != ip]


class Callers:
    """Send requests on kept connections, and check what they get."""

    def __init__(self, site, operator, rng):
        self.site = site
        self.operator = operator
        self.rng = rng
        self.number = 0
        self.open = 0
        self.statuses = collections.Counter()
        self.faults = []

    async def run(self, nursery, *, until):
        while trio.current_time() < until:
            nursery.start_soon(self._use_connection, self.rng.randrange(len(self.site.entries)))
            await trio.sleep(self.rng.uniform(0.02, 0.12))

    async def _use_connection(self, entry):
        stream = await self.site.network.endpoint(CALLER_IP).connect(
            Address.parse(f"{self.site.entries[entry]}:8625")
        )
        conn = HttpConnection(stream=stream)
        for _ in range(self.rng.randrange(1, 4)):
            path = self.rng.choice(PATHS)
            key = self.rng.choice([KEY, KEY, OTHER_KEY])
            self.number += 1
            request_id = f"id-{self.number}"
            started = trio.current_time()
            result = await self._send(conn, path, key, request_id)
            took_s = trio.current_time() - started
            self._check(path, key, request_id, result, took_s)
            if not isinstance(result, tuple) or not conn.prepare_next_request():
                break
            # Far below four fifths of the shortest idle limit.
            await trio.sleep(self.rng.uniform(0.0, 0.3))
        await conn.aclose()

    async def _send(self, conn, path, key, request_id):
        """Return status and body, or why there is no complete response."""
        fields = [
            ("host", "a.example"),
            ("x-request-id", request_id),
            ("x-deadline-ms", str(round(DEADLINE_S * 1000))),
            ("authorization", f"Token {key}"),
        ]
        if path == "/ask/1":
            fields += STAGE_HEADERS
        with trio.move_on_after(DEADLINE_S + ANSWER_MARGIN_S):
            try:
                await conn.send("POST", path, fields, b"prompt")
                head = await conn.read_response_head()
                if head is None:
                    return "closed without an answer"
                return head.status_code, await conn.read_body()
            except (*STREAM_ERRORS, h11.RemoteProtocolError) as exc:
                return f"closed within the answer: {exc!r}"
        return "no answer in time"

    def _check(self, path, key, request_id, result, took_s):
        fault = self._find_fault(path, key, request_id, result)
        self.statuses[path, result[0] if isinstance(result, tuple) else result] += 1
        if fault and took_s < DEADLINE_S - 0.1:
            now = round(trio.current_time(), 2)
            self.faults.append((now, path, request_id, fault, result, round(took_s, 2)))

    def _find_fault(self, path, key, request_id, result):
        if not isinstance(result, tuple):
            return result
        status, body = result
        if status == 200 and path in ("/ask/1", "/talk/1"):
            ids = [line for line in body.splitlines() if line.startswith(b"id: ")]
            expected = [b"id: %d" % number for number in range(1, EVENTS + 1)]
            return "" if ids == expected else f"events {ids}"
        if status in (429, 503) and path in UNREPEATED_PATHS:
            ran = [name for name, req in self.site.seen if get_id(req) == request_id]
            return f"refused after it reached {ran}" if ran else ""
        if status == 401:
            return "" if key == OTHER_KEY else "the key is known"
        if status == 404:
            return "" if path in ("/more/1", "/talk/1", "/ask/1") else "the route is known"
        return "" if status in (200, 429, 502, 503, 504) else f"status {status}"


def get_id(request):
    return dict(request.headers).get("x-request-id", "")


def list_repeated(site):
    """Return the ids of requests that may run once and reached several upstreams, or one twice."""
    counts = collections.Counter(
        get_id(request) for _, request in site.seen if request.path in UNREPEATED_PATHS
    )
    return [request_id for request_id, count in counts.items() if count > 1]


async def play(seed):
    """Play changes and silences beside requests; return the site, the callers and the silences."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        site = await start_serving_site(nursery, seed=seed, entries=3)
        # None is full, so that each request which reaches an upstream runs there.
        site.work_s, site.slots = 0.2, 1000
        operator = Operator(site, rng)
        await operator.send()
        await trio.sleep(1.0)
        callers, silences = Callers(site, operator, rng), Silences(site, rng)
        nursery.start_soon(operator.run)
        nursery.start_soon(silences.run)
        async with trio.open_nursery() as caller_nursery:
            await callers.run(caller_nursery, until=trio.current_time() + PLAY_S)
        nursery.cancel_scope.cancel()
    return site, callers, silences


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_gets_an_answer_beside_changes_and_silences(monkeypatch, seed):
    """Guards against requests that a change, or a silence of sound hosts, leaves unanswered."""
    monkeypatch.setattr(standin, "EVENT_INTERVAL_S", 0.15)
    monkeypatch.setattr(standin, "EVENTS", EVENTS)
    with use_fixed_schedule(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        site, callers, silences = trio.run(play, seed, clock=clock)
    assert not callers.faults, (callers.faults, silences.log)
    assert not list_repeated(site)
    served = sum(n for (_, status), n in callers.statuses.items() if status == 200)
    assert served > 0.5 * sum(callers.statuses.values()), callers.statuses

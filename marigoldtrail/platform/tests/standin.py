"""In-memory stand-in for the users' platform: list, upstreams, settings of hosts."""

from __future__ import annotations

import collections
import itertools
import random

import h11
import msgspec
import trio
import trio.testing

from marigoldtrail.net import Address
from marigoldtrail.platform.adapter import build_adapter
from marigoldtrail.platform.standin import (
    FREE_PATH,
    NOT_RUN,
    PIECES_PATH,
    STATUS_OTHER_UPSTREAM,
    build_page,
    build_results,
    encode_config,
    is_addressed_to,
    make_answer_headers,
    make_brittle_headers,
    make_engine_route,
    make_identity_headers,
    make_limit_headers,
    make_list_entry,
    make_route,
    read_pieces,
    read_received,
)
from marigoldtrail.schema.generated.site import Bounds, SiteSettings, UpstreamList
from marigoldtrail.site.components import HostComponents
from marigoldtrail.site.control_host import ControlHost
from marigoldtrail.site.entry_host import EntryHost
from marigoldtrail.standins.client import HttpConnection
from marigoldtrail.standins.http import STREAM_ERRORS, serve_http
from marigoldtrail.testing import MemoryDisk, MemoryNetwork
from marigoldtrail.timers import Timers

LIST = Address("10.9.0.1", 8624)
OPERATOR_IP = "10.9.0.2"
CALLER_IP = "10.9.0.3"
PORT = 7740
KEY = "k-acme"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
PREFILL_S = 0.1
EVENTS = 3
EVENT_INTERVAL_S = 0.02
# Time from the crash of an engine to its next start.
RESTART_S = 3.0


def config(version, **changes):
    """Return a configuration document in the format of the platform's operators."""
    routes = [
        make_route("plain", "/plain/", "safe", "desk"),
        make_engine_route("ask", "/ask/"),
        make_route("talk", "/talk/", "streaming", "llm", resumable=True, max_attempts=2),
    ]
    value = {"routes": routes, **changes}
    return encode_config(version, accounts={"acme": [KEY]}, **value)


class Site:
    """Control hosts, entries and the platform on an in-memory network."""

    def __init__(self, nursery, *, seed=1, control=3, entries=2, engines=3):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=seed)
        self.rng = random.Random(seed)
        self.control = [f"10.0.0.{n + 1}" for n in range(control)]
        self.entries = [f"10.0.1.{n + 1}" for n in range(entries)]
        self.seeds = [f"{ip}:8628" for ip in self.control[:3]]
        self.disks = {ip: MemoryDisk(rng=self.rng) for ip in self.control}
        self.hosts = {}
        self.scopes = {}
        # How often each seed was drawn for a start of a host.
        self.host_seeds = collections.Counter()
        self.engines = engines
        self.list = []
        # Entries of another writer, as JSON text.
        self.odd_entries = []
        self.upstreams = 0
        # Parts of prompts on which an engine crashes when it begins to write an answer.
        self.crashing_parts = set()
        # Bodies of requests under which an upstream crashes when it begins to run them.
        self.crashing_bodies = set()
        # Keys of pieces under which an upstream of a stage crashes.
        self.crashing_keys = set()
        # Seconds from the arrival of such a request to the crash.
        self.begin_s = 0.03
        self.crashing_arrivals = []
        self.engine_crashes = []
        self.engine_scopes = {}
        # Limit that an upstream names in its answers, by its id.
        self.limits = {}
        # Rejections in a second that an upstream of a service bears, while the service is brittle.
        self.max_rejections = {}
        # Rejections crash upstreams from this time on; before, they only say that they are brittle.
        self.crashes_from = 0.0
        # Seconds of work of a plain request, and how many upstreams of plain services hold at once.
        self.work_s = 0.0
        self.slots = 4
        self.running = collections.Counter()
        self.rejections = collections.defaultdict(list)
        # Times at which upstreams crashed because of rejections.
        self.overload_crashes = []
        # Times of the requests and calls that each upstream got.
        self.arrivals = collections.defaultdict(list)
        self.seen = []
        self.used_handles = set()

    async def start(self):
        await self.nursery.start(self._serve, LIST, self._answer_list)
        for number, dc in enumerate(DATA_CENTRES):
            for service in ("desk", "board"):
                await self.add_upstream(f"{service}-{number}", service, dc)
        for number in range(self.engines):
            await self.add_upstream(f"llm-{number}", "llm", DATA_CENTRES[number % 3])
        for ip in self.control + self.entries:
            await self.start_host(ip, first_start=True)

    async def _serve(self, address, handler, *, task_status):
        endpoint = self.network.endpoint(address.ip)
        await serve_http(endpoint, address, handler, task_status=task_status)

    async def add_upstream(self, name, service, data_centre, **fields):
        address = Address(f"10.1.{self.upstreams}.1", 8080)
        self.upstreams += 1
        entry = make_list_entry(name, service, str(address), data_centre, **fields)
        await self.nursery.start(self._run_upstream, entry)

    async def _run_upstream(self, entry, *, task_status):
        """Serve an upstream; after a crash, serve it again under another name."""
        address = Address.parse(entry["address"])
        name = entry["id"]
        for start in itertools.count(1):
            self.list.append(entry)

            async def answer(request, reply, entry=entry):
                self.seen.append((entry["id"], request))
                await self._answer_upstream(entry["id"], entry, request, reply)

            with trio.CancelScope() as scope:
                self.engine_scopes[entry["id"]] = scope
                async with trio.open_nursery() as nursery:
                    await nursery.start(self._serve, address, answer)
                    if start == 1:
                        task_status.started()
            self.network.reset_host(address.ip)
            self.list.remove(entry)
            await trio.sleep(RESTART_S)
            entry = {**entry, "id": f"{name}-{start}"}

    def _crash_engine(self, name):
        scope = self.engine_scopes[name]
        if not scope.cancel_called:
            self.engine_crashes.append(trio.current_time())
            scope.cancel()

    async def _answer_list(self, request, reply):
        await reply.send_json(
            200, build_page([*self.list, *map(msgspec.Raw, self.odd_entries)]), {}
        )

    async def _answer_upstream(self, name, entry, request, reply):
        if not is_addressed_to(request.headers, name):
            await reply.send_json(STATUS_OTHER_UPSTREAM, {}, make_identity_headers(name))
            return
        self.arrivals[name].append(trio.current_time())
        limit = make_limit_headers(self.limits.get(name, ""))
        if request.path == PIECES_PATH:
            pieces = read_pieces(request.body)
            if not self.crashing_keys.isdisjoint(piece.key for piece in pieces):
                self.crashing_arrivals.append(trio.current_time())
                await trio.sleep(self.begin_s)
                self._crash_engine(name)
                await trio.sleep_forever()
            await trio.sleep(0.05)
            self.used_handles.update(handle for piece in pieces for handle in piece.inputs)
            handles = [f"{entry['address']}/{p.request_id}-{p.stage}-{p.index}" for p in pieces]
            await reply.send_json(200, build_results(handles), limit)
        elif request.path == FREE_PATH:
            await reply.send_json(200, {}, limit)
        else:
            received = read_received(request.headers)
            headers = {**make_answer_headers(received.request_id, f"seal-{name}"), **limit}
            if request.body in self.crashing_bodies:
                self.crashing_arrivals.append(trio.current_time())
                if entry["service"] == "llm":
                    await reply.start_stream(headers)
                await trio.sleep(self.begin_s)
                self._crash_engine(name)
                await trio.sleep_forever()
            if entry["service"] != "llm":
                await self._answer_plain(name, entry["service"], reply, headers)
                return
            self.used_handles.update(received.inputs)
            is_crashing = not self.crashing_parts.isdisjoint(received.prompt[:-1])
            if is_crashing:
                self.crashing_arrivals.append(trio.current_time())
            await reply.start_stream(headers)
            await trio.sleep(PREFILL_S)
            if is_crashing:
                self._crash_engine(name)
                await trio.sleep_forever()
            for number in range(int(received.resume_after or 0), EVENTS):
                await trio.sleep(EVENT_INTERVAL_S)
                event_id = b"%d" % (number + 1)
                await reply.send_event(entry["version"].encode(), event_id=event_id)
            await reply.end_stream()

    async def _answer_plain(self, name, service, reply, headers):
        max_rejections = self.max_rejections.get(service)
        headers = {**headers, **make_brittle_headers(max_rejections)}
        if self.running[name] >= self.slots:
            self._note_rejection(name, max_rejections)
            await reply.send_json(503, {}, {**headers, **NOT_RUN})
            return
        self.running[name] += 1
        try:
            await trio.sleep(self.work_s)
            await reply.send_json(200, {"by": name}, headers)
        finally:
            self.running[name] -= 1

    def _note_rejection(self, name, max_rejections):
        """Crash a brittle upstream that rejects too many requests in a second."""
        now = trio.current_time()
        self.rejections[name] = [at for at in self.rejections[name] if at > now - 1.0] + [now]
        if max_rejections is None or now < self.crashes_from:
            return
        if len(self.rejections[name]) > max_rejections:
            self.overload_crashes.append(now)
            self.rejections[name] = []
            self.engine_scopes[name].cancel()

    def settings(self, ip, *, first_start):
        is_control = ip in self.control
        number = (self.control if is_control else self.entries).index(ip)
        return SiteSettings(
            host=f"{'core' if is_control else 'front'}-{number}",
            role="control" if is_control else "entry",
            data_centre=DATA_CENTRES[number % 3],
            region="r",
            ip=ip,
            request_address="" if is_control else f"{ip}:8625",
            ready_address="" if is_control else f"{ip}:8621",
            operator_address=f"{ip}:8628" if is_control else "",
            lookup_address=f"{ip}:8620" if is_control else "",
            internal_ports=[PORT, PORT + 15],
            seeds=list(self.seeds),
            first_start=first_start,
            upstream_list=UpstreamList(address=str(LIST)),
            bounds=Bounds(),
        )

    async def start_host(self, ip, *, first_start=False):
        await self.nursery.start(self._run_host, ip, first_start)

    async def _run_host(self, ip, first_start, *, task_status):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                components = HostComponents(
                    cfg=self.settings(ip, first_start=first_start),
                    adapter=build_adapter(),
                    network=self.network.endpoint(ip),
                    timers=Timers(seed=self.rng.randrange(1000)),
                    rng=self._make_host_rng(),
                    nursery=nursery,
                )
                if ip in self.control:
                    host = ControlHost(components=components, disk=self.disks[ip])
                else:
                    host = EntryHost(components=components)
                self.hosts[ip] = host
                self.scopes[ip] = scope
                nursery.start_soon(host.run)
                task_status.started()

    def _make_host_rng(self):
        """Return randomness unlike that of any other start, since storage ids are drawn from it."""
        seed = self.rng.randrange(1000)
        self.host_seeds[seed] += 1
        return random.Random(seed + 1000 * (self.host_seeds[seed] - 1))

    async def crash(self, ip, *, empty=False):
        """Kill a process; its disk loses unsynced data, or all data if ``empty``."""
        self.scopes[ip].cancel()
        self.network.reset_host(ip)
        del self.hosts[ip]
        await trio.testing.wait_all_tasks_blocked()
        if ip in self.disks:
            self.disks[ip].crash(torn=True)
            if empty:
                self.disks[ip] = MemoryDisk(rng=self.rng)

    async def http(self, address, method, path, *, body=b"", headers=(), source=OPERATOR_IP):
        """Send one request; return status, headers and body, or None for an incomplete answer."""
        fields = [("host", "a.example"), *headers]
        with trio.move_on_after(3):
            try:
                stream = await self.network.endpoint(source).connect(Address.parse(address))
                conn = HttpConnection(stream=stream)
                await conn.send(method, path, fields, body)
                head = await conn.read_response_head()
                if head is not None:
                    return head.status_code, dict(head.headers), await conn.read_body()
            except (*STREAM_ERRORS, h11.RemoteProtocolError):
                return None
        return None

    async def put_config(self, document, *, timeout_s=20.0):
        """Send a configuration to each control host in turn until one answers."""
        with trio.fail_after(timeout_s):
            while True:
                for ip in list(self.control):
                    reply = await self.http(f"{ip}:8628", "PUT", "/-/config", body=document)
                    if reply is not None and reply[0] != 503:
                        return reply[0]
                await trio.sleep(0.1)

    async def send_request(
        self, path, *, entry=0, request_id="id-1", key=KEY, headers=(), body=b""
    ):
        fields = [("x-request-id", request_id), ("x-deadline-ms", "4000"), *headers]
        if key:
            fields.append(("authorization", f"Token {key}"))
        return await self.http(
            f"{self.entries[entry]}:8625", "POST" if body else "GET", path,
            body=body, headers=fields, source=CALLER_IP,
        )  # fmt: skip

    async def wait(self, condition, *, timeout_s=30.0):
        with trio.fail_after(timeout_s):
            async for _ in Timers().subscribe("test", 0.05):
                if await condition():
                    return

"""A small stand-in of the users' platform in memory: list, replicas, settings of hosts."""

from __future__ import annotations

import random

import h11
import msgspec
import trio
import trio.testing

from marigoldtrail.net import Address
from marigoldtrail.platform.adapter import build_adapter
from marigoldtrail.schema.generated.site import Bounds, SiteSettings, UpstreamList
from marigoldtrail.site.control_host import ControlHost
from marigoldtrail.site.entry_host import EntryHost
from marigoldtrail.site.parts import SiteParts
from marigoldtrail.standins.http import serve_http
from marigoldtrail.testing import MemoryDisk, MemoryNetwork
from marigoldtrail.timers import Timers

LIST = Address("10.9.0.1", 8624)
OPERATOR_IP = "10.9.0.2"
CALLER_IP = "10.9.0.3"
PORT = 7740
KEY = "k-acme"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")

encode = msgspec.json.encode


def config(version, **changes):
    """Return a configuration as the platform's operators write it."""
    route = {
        "host": "a.example",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "max_attempts": 1,
        "priority": 0,
    }
    value = {
        "version": version,
        "routes": [
            {**route, "name": "plain", "path_prefix": "/plain/", "kind": "safe", "service": "desk"},
            {**route, "name": "ask", "path_prefix": "/ask/", "kind": "streaming", "service": "llm",
             "stages": [{"service": "board", "after": [], "bytes": 1000},
                        {"service": "board", "after": [0], "bytes": 1000}]},
        ],
        "services": [
            {"name": "desk", "max_connections": 50},
            {"name": "llm", "max_connections": 50,
             "engine": {"slots": 8, "kv_capacity": 100000}},
            {"name": "board", "max_connections": 50,
             "pieces": {"slots": 1, "queue": 2, "batch": 4, "call_ms": 50.0, "item_ms": 5.0,
                        "headroom_mb": 1.0, "handle_s": 4.0}},
        ],
        "tenants": [{"name": "acme", "api_keys": [KEY]}],
    }  # fmt: skip
    return encode({**value, **changes})


class Site:
    """Control hosts and entries on a network in memory, with the platform around them."""

    def __init__(self, nursery, *, seed=1, control=3, entries=2):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=seed)
        self.rng = random.Random(seed)
        self.control = [f"10.0.0.{n + 1}" for n in range(control)]
        self.entries = [f"10.0.1.{n + 1}" for n in range(entries)]
        self.seeds = [f"{ip}:8628" for ip in self.control[:3]]
        self.disks = {ip: MemoryDisk(rng=self.rng) for ip in self.control}
        self.hosts = {}
        self.scopes = {}
        self.list = []
        self.seen = []
        self.used_handles = set()

    async def start(self):
        await self.nursery.start(self._serve, LIST, self._answer_list)
        for number, dc in enumerate(DATA_CENTRES):
            for service in ("desk", "llm", "board"):
                await self.add_upstream(f"{service}-{number}", service, dc)
        for ip in self.control + self.entries:
            await self.start_host(ip, first_start=True)

    async def _serve(self, address, handler, *, task_status):
        endpoint = self.network.endpoint(address.ip)
        await serve_http(endpoint, address, handler, task_status=task_status)

    async def add_upstream(self, name, service, data_centre, *, state="ready"):
        address = Address(f"10.1.{len(self.list)}.1", 8080)
        entry = {"id": name, "service": service, "address": str(address), "zone": data_centre,
                 "slots": 4, "state": state, "cold_remaining_ms": 0}  # fmt: skip
        self.list.append(entry)

        async def answer(request, reply):
            self.seen.append((name, request))
            await self._answer_upstream(name, entry, request, reply)

        await self.nursery.start(self._serve, address, answer)

    async def _answer_list(self, request, reply):
        await reply.send_json(200, {"instances": self.list, "next": None}, {})

    async def _answer_upstream(self, name, entry, request, reply):
        expected = request.headers.get("x-expect-instance")
        if expected != name:
            await reply.send_json(421, {}, {"x-instance-id": name})
            return
        if request.path == "/-/stage-run":
            items = msgspec.json.decode(request.body)["items"]
            await trio.sleep(0.05)
            made = [f"{entry['address']}/{i['id']}-{i['stage']}-{i['piece']}" for i in items]
            self.used_handles.update(h for i in items for h in i.get("inputs", ()))
            await reply.send_json(200, {"items": [{"handle": handle} for handle in made]}, {})
        elif request.path == "/-/stage-free":
            await reply.send_json(200, {}, {})
        else:
            headers = {
                "x-request-id": request.headers["x-request-id"],
                "x-response-seal": f"seal-{name}",
            }
            if entry["service"] != "llm":
                await reply.send_json(200, {"by": name}, headers)
                return
            self.used_handles.update(filter(None, request.headers.get("x-inputs", "").split(",")))
            await reply.start_stream(headers)
            for number in range(3):
                await trio.sleep(0.02)
                await reply.send_event(b"%d" % number)
            await reply.end_stream()

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
                parts = SiteParts(
                    cfg=self.settings(ip, first_start=first_start),
                    adapter=build_adapter(),
                    network=self.network.endpoint(ip),
                    timers=Timers(seed=self.rng.randrange(1000)),
                    rng=random.Random(self.rng.randrange(1000)),
                    nursery=nursery,
                )
                if ip in self.control:
                    host = ControlHost(parts=parts, disk=self.disks[ip])
                else:
                    host = EntryHost(parts=parts)
                self.hosts[ip] = host
                self.scopes[ip] = scope
                nursery.start_soon(host.run)
                task_status.started()

    async def crash(self, ip, *, empty=False):
        """Stop a process at once; its disk loses what is not synced, or everything."""
        self.scopes[ip].cancel()
        self.network.reset_host(ip)
        del self.hosts[ip]
        await trio.testing.wait_all_tasks_blocked()
        if ip in self.disks:
            self.disks[ip].crash(torn=True)
            if empty:
                self.disks[ip] = MemoryDisk(rng=self.rng)

    async def http(self, address, method, path, *, body=b"", headers=(), source=OPERATOR_IP):
        """Send one request; return status, headers and body, or None without a whole answer."""
        conn = h11.Connection(h11.CLIENT)
        fields = [("host", "a.example"), ("content-length", str(len(body))), *headers]
        with trio.move_on_after(3):
            try:
                stream = await self.network.endpoint(source).dial(Address.parse(address))
                data = conn.send(h11.Request(method=method, target=path, headers=fields))
                data += conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())
                await stream.send_all(data)
                head, parts = None, []
                while True:
                    event = conn.next_event()
                    if event is h11.NEED_DATA:
                        conn.receive_data(await stream.receive_some(65536))
                    elif isinstance(event, h11.Response):
                        head = event
                    elif isinstance(event, h11.Data):
                        parts.append(bytes(event.data))
                    elif isinstance(event, h11.EndOfMessage):
                        return head.status_code, dict(head.headers), b"".join(parts)
                    else:
                        return None
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            except h11.RemoteProtocolError:
                return None
        return None

    async def put_config(self, document, *, timeout_s=20.0):
        """Send a configuration to one control host after the other until one gives an answer."""
        with trio.fail_after(timeout_s):
            while True:
                for ip in list(self.control):
                    reply = await self.http(f"{ip}:8628", "PUT", "/-/config", body=document)
                    if reply is not None and reply[0] != 503:
                        return reply[0]
                await trio.sleep(0.1)

    async def ask(self, path, *, entry=0, request_id="id-1", key=KEY, headers=(), body=b""):
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

"""In-memory relay of an entry with scripted upstreams, for the tests of this package."""

from __future__ import annotations

import random

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.memory import MemoryBudget, compute_budget_bytes
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.pieces import PieceClient
from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.ratelimits import PlaceClient, UpstreamLimiter
from marigoldtrail.reachability import ReachabilityMonitor, UpstreamContact
from marigoldtrail.registry import FleetState
from marigoldtrail.relay import (
    ConnectionPool,
    Dispatcher,
    PeerForwarder,
    Relay,
    SendGate,
    StreamVersions,
    UpstreamMonitor,
    make_answer_recorder,
)
from marigoldtrail.routing import (
    ClientAccount,
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Target,
    Upstream,
    build_index,
)
from marigoldtrail.schema.generated.registry import (
    EntryList,
    RecordStreams,
    StreamsRecorded,
    StreamVersionReply,
)
from marigoldtrail.schema.generated.site import Bounds
from marigoldtrail.telemetry.prometheus import PrometheusMetrics
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

ENTRY_ADDRESS = Address("10.0.0.1", 80)
SEAL_HEADER = "x-response-seal: s\r\n"


def make_route(kind, **fields):
    values = {
        "name": "r",
        "hostname": "a.example",
        "prefix": "/x/",
        "kind": kind,
        "timeout_s": 5.0,
        "target_latency_s": 0.5,
        "priority": 0,
        "targets": (Target(service="s", weight=1.0),),
        "max_attempts": 1,
        "is_public": True,
    }
    return Route(**{**values, **fields})


async def deny_trial(part):
    return False


async def fail_to_take_place(request):
    return Failure(reason=Reason.TIMEOUT, run_state=RunState.NOT_RUN, step="place")


def make_leaderless_limiter(fleet_state, timers):
    """Return a limiter that finds no leader and keeps to the share of one entry."""

    async def fail(request):
        return Failure(reason=Reason.TIMEOUT, run_state=RunState.NOT_RUN, step="permit")

    return UpstreamLimiter(
        book=fleet_state.limits,
        timers=timers,
        request_permit=fail,
        entry_count=fleet_state.entry_count,
    )


class VersionLeader:
    """A leader that records versions of streams, and knows those of others."""

    def __init__(self):
        self.recorded = {}
        self.default = ""
        # Seconds until an answer.
        self.delay_s = 0.0

    async def call(self, request, reply_type, timeout_s):
        await trio.sleep(self.delay_s)
        if isinstance(request, RecordStreams):
            self.recorded.update({item.key: item.version for item in request.streams})
            return StreamsRecorded()
        version = self.recorded.get(request.key, self.default)
        return StreamVersionReply(is_known=version is not None, version=version or "")


class RelayHarness:
    """A relay, and upstreams whose connections are served by functions of the tests."""

    def __init__(
        self,
        nursery,
        kind=RouteKind.SAFE,
        *,
        accounts=None,
        memory_mb=0,
        max_body_bytes=5000,
        request_memory=None,
        **route,
    ):
        self.nursery = nursery
        self.network = MemoryNetwork(seed=1)
        self.timers = Timers(seed=1)
        self.fleet_state = FleetState(parse_document=lambda data: "", timers=self.timers)
        table = RouteTable(
            version=1,
            routes=(make_route(kind, **route),),
            services=tuple(Service(name=name, max_connections=9) for name in ("s", "t")),
            limits=Limits(max_header_bytes=2000, max_body_bytes=max_body_bytes),
            accounts=accounts,
        )
        self.fleet_state.routes = build_index(table)
        self.fleet_state.confirmed_at = trio.current_time() + 1e5
        endpoint = self.network.endpoint(ENTRY_ADDRESS.ip)
        self.endpoint = endpoint
        self.contact = UpstreamContact(timers=self.timers)
        self.memory = MemoryBudget(total_bytes=compute_budget_bytes(memory_mb), timers=self.timers)
        self.pool = ConnectionPool(
            network=endpoint,
            timers=self.timers,
            header_codec=HEADER_CODEC,
            on_answer=make_answer_recorder(self.fleet_state),
            contact=self.contact,
        )
        peers = PeerClient(network=endpoint, host="entry", nursery=nursery)
        self.monitor = UpstreamMonitor(
            fleet_state=self.fleet_state, data_centre="a", timers=self.timers
        )
        rng, metrics = random.Random(1), PrometheusMetrics()
        self.metrics = metrics
        self.gate = SendGate(
            fleet_state=self.fleet_state,
            monitor=self.monitor,
            limiter=make_leaderless_limiter(self.fleet_state, self.timers),
            places=PlaceClient(
                host="entry",
                book=self.fleet_state.brittle,
                take_place=fail_to_take_place,
                release_place=lambda request: None,
                get_share=lambda upstream: 1,
                timers=self.timers,
                nursery=nursery,
            ),
            request_trial=deny_trial,
            timers=self.timers,
            metrics=metrics,
        )
        self.reachability = ReachabilityMonitor(
            data_centre="a",
            fleet_state=self.fleet_state,
            contact=self.contact,
            probe=self.pool.probe,
            on_change=lambda: None,
            timers=self.timers,
            rng=rng,
        )
        self.leader = VersionLeader()
        # Addresses of entries that reach upstreams; None if no leader answers.
        self.other_entries = []
        self.versions = StreamVersions(
            fleet_state=self.fleet_state, call_leader=self.leader.call, timers=self.timers
        )
        nursery.start_soon(self.versions.run)
        self.dispatcher = Dispatcher(
            data_centre="a",
            fleet_state=self.fleet_state,
            monitor=self.monitor,
            pool=self.pool,
            contact=self.contact,
            reachability=self.reachability,
            pieces=PieceClient(
                fleet_state=self.fleet_state,
                peers=peers,
                timers=self.timers,
                nursery=nursery,
                seeds=[],
            ),
            nursery=nursery,
            header_codec=HEADER_CODEC,
            bounds=Bounds(retry_budget_slack=50.0),
            timers=self.timers,
            rng=rng,
            metrics=metrics,
            gate=self.gate,
            versions=self.versions,
            forwarder=PeerForwarder(
                host="entry",
                network=endpoint,
                header_codec=HEADER_CODEC,
                list_entries=self._list_entries,
                timers=self.timers,
                rng=rng,
                memory=self.memory,
            ),
            memory=self.memory,
        )
        self.relay = Relay(
            host="entry",
            fleet_state=self.fleet_state,
            monitor=self.monitor,
            pool=self.pool,
            dispatcher=self.dispatcher,
            header_codec=HEADER_CODEC,
            timers=self.timers,
            rng=rng,
            metrics=metrics,
            memory=request_memory,
        )

    async def _list_entries(self):
        if self.other_entries is None:
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.NOT_RUN, step="entries")
        return EntryList(addresses=list(self.other_entries))

    async def start(self, *scripts):
        """Start the relay and one upstream for each script."""
        await self.nursery.start(self.endpoint.listen, ENTRY_ADDRESS, self.relay.serve)
        for number, script in enumerate(scripts):
            await self.add_upstream(number, script)

    async def add_upstream(self, number, script, *, service="s"):
        address = Address(f"10.0.1.{number}", 80)
        name = f"i-{number}"
        self.fleet_state.upstreams[name] = Upstream(
            name=name, service=service, address=str(address), data_centre="a", slots=4
        )
        await self.serve_script(address, script)

    async def serve_script(self, address, script):
        """Serve each connection to an address by a script."""

        async def serve(stream):
            try:
                await script(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                await trio.aclose_forcefully(stream)

        await self.nursery.start(self.network.endpoint(address.ip).listen, address, serve)

    async def connect(self):
        return await self.network.endpoint("10.0.9.9").connect(ENTRY_ADDRESS)

    async def fetch(self, request, *, timeout_s=20.0):
        """Send bytes on a new connection and return all received data."""
        stream = await self.connect()
        await stream.send_all(request)
        return await read_all(stream, timeout_s)


async def read_all(stream, timeout_s=20.0):
    data = b""
    with trio.move_on_after(timeout_s):
        try:
            while chunk := await stream.receive_some(65536):
                data += chunk
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    return data


async def read_request(stream):
    """Read one request whose body, if any, arrives together with its head."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(65536)
        if not chunk:
            raise trio.ClosedResourceError
        data += chunk
    return data


def make_request(*, method="GET", path="/x/1", request_id="id-1", body=b"", headers=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 4000",
        "Connection: close",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_response(body="ok", *, status="200 OK", request_id="id-1", headers=SEAL_HEADER):
    head = f"HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\n{headers}"
    return f"{head}content-length: {len(body)}\r\n\r\n{body}".encode()


def reply_with(*responses, seen=None):
    """Return a script that sends these responses in order; the last one is repeated."""
    rest = list(responses)

    async def script(stream):
        while True:
            data = await read_request(stream)
            if seen is not None:
                seen.append(data)
            await stream.send_all(rest.pop(0) if len(rest) > 1 else rest[0])

    return script


def make_accounts():
    return (ClientAccount(name="acme", keys=("k1",)),)

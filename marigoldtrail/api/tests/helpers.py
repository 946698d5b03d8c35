"""Shared fixtures for the tests of the HTTP API."""

import random
import zlib

import msgspec
import trio

from marigoldtrail.api import ApiContext, build_app
from marigoldtrail.api.problems import Problem
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import FleetView
from marigoldtrail.schema.generated.control import NodeStatus, ServiceState, SyncReply
from marigoldtrail.serving import Answer, compute_digest
from marigoldtrail.telemetry import Telemetry, build_tracer_provider
from marigoldtrail.timers import Timers

MANIFEST = {
    "number": 1,
    "pipelines": [
        {
            "name": "quotes",
            "stages": [{"name": "quote", "kind": "service", "pool": "p"}],
            "deadline_ms": 3000,
            "priority": 4,
        }
    ],
    "upstreams": [],
    "client_accounts": [{"name": "acme"}],
    "links": [
        {"source": "nbo-1", "target": "nbo-2", "delay_ms": 9.0},
        {"source": "nbo-1", "target": "nbo-3", "delay_ms": 2.0},
    ],
}
NOT_RUN = Failure(reason=Reason.OVERLOADED, run_state=RunState.NOT_RUN, step="admission")


def make_node(host, data_centre, *, state="live", roles=("entry",)):
    return NodeStatus(
        host=host,
        data_centre=data_centre,
        incarnation=1,
        roles=list(roles),
        peer_address="10.0.0.1:7000",
        api_address=f"10.0.0.{ord(host)}:8000",
        state=state,
    )


def make_view(nodes=(), *, out=(), leaving=(), timers=None):
    timers = timers or Timers(seed=1)
    view = FleetView(timers=timers)
    services = [
        ServiceState(kind=kind, name=name, state="out", number=1, operator="o", wall_ms=0)
        for kind, name in out
    ]
    reply = SyncReply(
        term=1,
        revisions={},
        manifest_number=1,
        manifest=zlib.compress(msgspec.json.encode(MANIFEST)),
        nodes=list(nodes),
        services=services,
        leaving_hosts=list(leaving),
    )
    assert view.apply(reply, sent_at=timers.now())
    return view


class FakeServer:
    """Runs requests with a function that the test assigns."""

    def __init__(self):
        self.requests = []
        self.finished = 0
        self.request_handler = self.answer

    async def run_request(self, req, sink):
        self.requests.append(req)
        result = await self.request_handler(req, sink)
        self.finished += 1
        return result

    async def answer(self, req, sink):
        return answer_to(req, {"price": 7})

    async def find_request(self, request_id):
        return Failure(reason=Reason.NOT_FOUND, run_state=RunState.NOT_RUN, step="find")

    async def find_result(self, digest):
        return []


def answer_to(req, output, count=1):
    return Answer(
        request_id=req.request_id,
        output=output,
        count=count,
        digest=compute_digest(output),
        record=None,
    )


class FakeControl:
    """Returns prepared replies to calls of the control hosts, and records the calls."""

    def __init__(self):
        self.record_groups = ["records-0", "records-1"]
        self.replies = {}
        self.calls = []

    def __getattr__(self, name):
        async def call(*args, **kwargs):
            self.calls.append((name, args))
            reply = self.replies[name]
            return reply(*args) if callable(reply) else reply

        return call


class Rig:
    """The application on fake components, with methods that call it."""

    def __init__(self, **view_options):
        timers = Timers(seed=1)
        self.server = FakeServer()
        self.control = FakeControl()
        self.view = make_view(timers=timers, **view_options)
        self.telemetry = Telemetry(
            host="a", timers=timers, provider=build_tracer_provider(host="a")
        )
        self.app = build_app(
            ApiContext(
                server=self.server,
                view=self.view,
                control=self.control,
                telemetry=self.telemetry,
                timers=timers,
                host="a",
                data_centre="nbo-1",
                max_body_bytes=4096,
                rng=random.Random(1),
            )
        )

    async def send_request(
        self, method, path, *, headers=(), body=b"", parts=None, disconnect_after=None
    ):
        """Send a request like an ASGI server; return status, headers and body."""
        raw_path, _, query = path.encode().partition(b"?")
        messages = [
            {"type": "http.request", "body": part, "more_body": True}
            for part in (parts if parts is not None else [body])
        ]
        if parts is None:
            messages[-1]["more_body"] = False
        sent = []

        async def receive():
            await trio.lowlevel.checkpoint()
            if messages:
                return messages.pop(0)
            if disconnect_after is None:
                await trio.sleep_forever()
            await trio.sleep(disconnect_after)
            return {"type": "http.disconnect"}

        async def send(message):
            await trio.lowlevel.checkpoint()
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": raw_path,
            "query_string": query,
            "headers": list(headers),
        }
        await self.app(scope, receive, send)
        if not sent:
            return 0, {}, b""
        return (
            sent[0]["status"],
            dict(sent[0]["headers"]),
            b"".join(message["body"] for message in sent[1:]),
        )

    async def submit(self, body=b'{"input": 1}', *, headers=(), name="quotes", **options):
        fields = [(b"client-account", b"acme"), *headers]
        path = f"/v1/pipelines/{name}/requests"
        return await self.send_request("POST", path, headers=fields, body=body, **options)


def check_problem(response, status, *, reason="bad_request", run_state="not_run", text=""):
    """Check that a response is a complete problem document, and return it."""
    assert response[0] == status, response
    assert response[1][b"content-type"] == b"application/problem+json"
    problem = msgspec.json.decode(response[2], type=Problem)
    assert (problem.status, problem.reason, problem.run_state) == (status, reason, run_state)
    assert problem.type == f"urn:marigoldtrail:problem:{reason}" and problem.title
    assert text in problem.detail, problem.detail
    return problem

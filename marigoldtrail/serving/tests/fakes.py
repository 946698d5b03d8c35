"""In-memory fakes of the services that the serving package uses, with injected faults."""

from __future__ import annotations

import random
from collections import defaultdict
from contextlib import asynccontextmanager

import msgspec
import trio
import trio._core._run as trio_run

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.control import NodeStatus, UpstreamStatus
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.records import (
    ClaimReply,
    FindRecordsReply,
    KeyReply,
    PutRecordReply,
)
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.serving import PipelineRequest, Server
from marigoldtrail.slots import HeldSlot
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import StageAnswer, TokenChunk


def failure(reason, run_state=RunState.NOT_RUN, step="fake", **fields):
    return Failure(reason=reason, run_state=run_state, step=step, **fields)


class FakeView:
    def __init__(self, manifest, entries=1):
        self.manifest, self.number, self.digest = manifest, manifest.number, "d"
        self.current = True
        self.out, self.leaving = set(), set()
        self.loads = defaultdict(int)
        self.statuses = {
            item.name: UpstreamStatus(upstream=item.name, instance=item.name + "#1", state="warm")
            for item in manifest.upstreams
        }
        self.nodes = [
            NodeStatus(
                host=f"entry-{index}",
                data_centre="dc1" if index % 2 == 0 else "dc2",
                incarnation=1,
                roles=["entry"],
                peer_address="127.0.0.1:1",
                api_address=f"127.0.0.1:{8000 + index}",
                state="live",
            )
            for index in range(entries)
        ]

    def is_current(self):
        return self.current

    def is_out_of_service(self, kind, name):
        return (kind, name) in self.out

    def is_leaving_host(self, host):
        return host in self.leaving

    def upstream_status(self, upstream):
        return self.statuses.get(upstream)

    def load_of(self, upstream):
        return self.loads[upstream]

    def set_state(self, upstream, state, instance=None, changed_ms=1):
        instance = instance or self.statuses[upstream].instance
        self.statuses[upstream] = UpstreamStatus(
            upstream=upstream, instance=instance, state=state, changed_ms=changed_ms
        )


class FakeControl:
    """Claims by account, key and stage; records in a list; one of `faults` is used up per call."""

    def __init__(self):
        self.claims, self.records = {}, []
        self.faults = defaultdict(list)
        self.lost_replies = defaultdict(int)
        self.delay_s = 0.001
        self.on_call = lambda name, request: None

    async def _reply(self, name, request, handler, timeout_s):
        self.on_call(name, request)
        with trio.move_on_after(timeout_s) as scope:
            await trio.sleep(self.delay_s)
        if scope.cancelled_caught:
            return failure(Reason.TIMEOUT, RunState.MAY_HAVE_RUN, name)
        if self.faults[name]:
            fault = self.faults[name].pop(0)
            if fault is not None:
                return fault
        reply = handler(request)
        if self.lost_replies[name]:
            self.lost_replies[name] -= 1
            return failure(Reason.TIMEOUT, RunState.MAY_HAVE_RUN, name)
        return reply

    async def open_claim(self, request, *, timeout_s):
        return await self._reply("open", request, self._open, timeout_s)

    def _open(self, req):
        key = (req.client_account, req.idempotency_key, req.stage)
        claim = self.claims.setdefault(key, {"state": "free", "freed": set(), "digest": ""})
        if claim["state"] != "free" and claim["digest"] != req.digest:
            return ClaimReply(state="mismatch", request_id=claim["request_id"])
        if req.attempt_id in claim["freed"]:
            return ClaimReply(state="not_run", request_id=req.request_id)
        if claim["state"] == "free":
            claim.update(
                state="pending",
                request_id=req.request_id,
                attempt_id=req.attempt_id,
                digest=req.digest,
                upstreams=[],
            )
        own = claim["state"] == "pending" and claim["attempt_id"] == req.attempt_id
        if own:
            claim["upstreams"].append(req.upstream)
        return ClaimReply(
            state="granted" if own else claim["state"],
            request_id=claim["request_id"],
            attempt_id=claim["attempt_id"],
            answer=claim.get("answer", b""),
        )

    async def find_key(self, request, *, timeout_s):
        return await self._reply("find", request, self._find_key, timeout_s)

    def _find_key(self, req):
        key = (req.client_account, req.idempotency_key)
        in_use = any(
            claim["state"] != "free" for found, claim in self.claims.items() if found[:2] == key
        )
        return KeyReply(in_use=in_use)

    async def settle_claim(self, request, *, timeout_s):
        return await self._reply("settle", request, self._settle, timeout_s)

    def _settle(self, req):
        claim = self.claims.get((req.client_account, req.idempotency_key, req.stage))
        if claim is None or claim["state"] == "free":
            return ClaimReply(state="not_run", request_id=req.request_id)
        if claim["attempt_id"] == req.attempt_id and claim["state"] == "pending":
            if req.state == "not_run":
                claim["freed"].add(req.attempt_id)
            claim["state"] = "free" if req.state == "not_run" else req.state
            claim["answer"] = req.answer
        state = "not_run" if claim["state"] == "free" else claim["state"]
        return ClaimReply(state=state, request_id=req.request_id, attempt_id=req.attempt_id)

    async def put_record(self, request, *, timeout_s):
        return await self._reply("record", request, self._put, timeout_s)

    def _put(self, req):
        self.records.append(req.record)
        return PutRecordReply(index=len(self.records))

    async def find_records(self, request, *, timeout_s):
        return await self._reply("find", request, self._find, timeout_s)

    def _find(self, req):
        found = [
            record
            for record in self.records
            if req.request_id in ("", record.request_id)
            and req.result_digest in ("", record.result_digest)
        ]
        return FindRecordsReply(records=found)


class FakeSlots:
    def __init__(self, free=None):
        self.free = free or {}
        self.held, self.most_held = defaultdict(int), defaultdict(int)
        self.released, self.reports = [], []
        self.on_acquire = lambda: None

    async def acquire(self, upstream, attempt_id, hold_s):
        await trio.sleep(0.001)
        if self.held[upstream] >= self.free.get(upstream, 0):
            return failure(Reason.NO_SLOT, step="slot")
        self.on_acquire()
        self.held[upstream] += 1
        self.most_held[upstream] = max(self.most_held[upstream], self.held[upstream])
        return HeldSlot(
            slot_id=f"s-{attempt_id}",
            upstream=upstream,
            epoch=1,
            expires_in_s=min(hold_s, 12.0),
            instance="",
            expires_at=trio.current_time() + min(hold_s, 12.0),
            host="c1",
        )

    def release(self, grant, *, succeeded, ended, duration_ms, instance):
        self.held[grant.upstream] -= 1
        self.released.append((grant.upstream, succeeded))

    async def report(self, upstream, instance, state, reason):
        self.reports.append((upstream, instance, state))


class FakeUpstreams:
    """
    Answers calls by `plans`: functions or failures in turn, per upstream or "*" for any.

    A plan is called with the upstream and the call; it returns an output, a Failure or a
    StageAnswer, or an awaitable of one. Without a plan the output names the stage.
    """

    def __init__(self, timers, service_s=0.01):
        self.timers, self.service_s = timers, service_s
        self.plans, self.streams = defaultdict(list), defaultdict(list)
        self.calls, self.cancelled, self.moves = [], [], []
        self.running, self.most_running = defaultdict(int), defaultdict(int)
        self.most_total = 0
        self.default_tokens = 10
        self.token_s = 0.04

    def executed(self, stage):
        return [call for _, call in self.calls if call.stage == stage]

    async def call(self, upstream, request, *, timeout_s, may_repeat, slot=None):
        plan = _next_plan(self.plans, upstream.name)
        if isinstance(plan, Failure):
            return plan
        self.calls.append((upstream.name, request))
        self._enter(upstream.name)
        try:
            if plan is None:
                await trio.sleep(self.service_s)
                output = {"by": request.stage}
            else:
                output = await plan(upstream, request)
        finally:
            self.running[upstream.name] -= 1
        if isinstance(output, Failure | StageAnswer):
            return output
        return answer_to(request, output, instance=upstream.name + "#1")

    def _enter(self, name):
        self.running[name] += 1
        self.most_running[name] = max(self.most_running[name], self.running[name])
        self.most_total = max(self.most_total, sum(self.running.values()))

    @asynccontextmanager
    async def stream(self, upstream, request, *, timeout_s, slot=None):
        plan = _next_plan(self.streams, upstream.name)
        if isinstance(plan, Failure):
            yield plan
            return
        self.calls.append((upstream.name, request))
        self._enter(upstream.name)
        try:
            yield FakeStream(self, upstream, request, plan or tokens())
        finally:
            self.running[upstream.name] -= 1

    async def cancel(self, upstream, attempt_id):
        self.cancelled.append((upstream.name, attempt_id))

    async def export_kv(self, upstream, prompt, model):
        return upstream.name.encode()

    async def import_kv(self, upstream, data):
        self.moves.append((data.decode(), upstream.name))


def _next_plan(plans, name):
    for key in ("*", name):
        if plans[key]:
            return plans[key].pop(0)
    return None


class FakeStream:
    def __init__(self, client, upstream, request, plan):
        self.instance, self.state = upstream.name + "#1", "warm"
        self.request_id = request.request_id
        self.attempt_id = request.attempt_id
        self.client_account = request.client_account
        self._items = plan(client, request)

    def __aiter__(self):
        return self

    async def __anext__(self):
        return await self._items.__anext__()

    async def aclose(self):
        pass


def tokens(*, until=None, then=None, skip=(), repeat=0, hang=False):
    """Plan of a stream: tokens "0 ", "1 ", ... from resume_from on, with faults."""

    async def items(client, request):
        last = client.default_tokens if until is None else until
        for number in range(max(0, request.resume_from - repeat), last):
            await trio.sleep(client.token_s)
            if number not in skip:
                yield TokenChunk(first=number, text=f"{number} ")
        if hang:
            await trio.sleep_forever()
        if then is not None:
            yield then

    return items


def answer_to(call, output, **fields):
    values = {
        "request_id": call.request_id,
        "attempt_id": call.attempt_id,
        "client_account": call.client_account,
        "output": output,
        **fields,
    }
    return StageAnswer(**values)


def slow(seconds, output=None):
    async def plan(upstream, call):
        await trio.sleep(seconds)
        return output if output is not None else {"by": call.stage, "at": upstream.name}

    return plan


def fail_after(after_s=0.005, reason=Reason.UPSTREAM_ERROR):
    async def plan(upstream, call):
        await trio.sleep(after_s)
        return failure(reason, RunState.MAY_HAVE_RUN, "call", peer=upstream.name)

    return plan


CONNECT_REFUSED = failure(Reason.UNREACHABLE, step="connect")


def manifest(pipelines, *, replicas=3, capacity=8, accounts=(), links=(), **upstream_fields):
    """Manifest with one pool of `replicas` upstreams for each pool that a stage names."""
    kinds = {"generate": "engine", "encode": "encoder", "retrieve": "retriever"}
    kinds |= {"rerank": "reranker", "service": "service"}
    pools = {
        stage["pool"]: kinds[stage["kind"]] for stages in pipelines.values() for stage in stages
    }
    document = {
        "number": 1,
        "pipelines": [{"name": name, "stages": stages} for name, stages in pipelines.items()],
        "upstreams": [
            {
                "name": f"{pool}-{index}",
                "pool": pool,
                "kind": kind,
                "address": f"127.0.0.1:{9000 + index}",
                "data_centre": "dc1" if index % 2 == 0 else "dc2",
                "host": f"host-{pool}-{index}",
                "capacity": capacity,
                **upstream_fields,
            }
            for pool, kind in pools.items()
            for index in range(replicas)
        ],
        "client_accounts": [{"name": name, "weight": weight} for name, weight in accounts],
        "links": list(links),
    }
    return msgspec.convert(document, Manifest)


def stage(name, kind="service", **fields):
    return {"name": name, "kind": kind, "pool": fields.pop("pool", name), **fields}


def settings(host="entry-0"):
    return msgspec.convert(
        {
            "host": host,
            "data_centre": "dc1",
            "roles": ["entry"],
            "peer_address": "127.0.0.1:7000",
            "api_address": "127.0.0.1:8000",
            "control_hosts": [
                {"host": "c1", "data_centre": "dc1", "peer_address": "127.0.0.1:7001"}
            ],
        },
        Settings,
    )


def make_schedule_deterministic(seed):
    """Make trio run its tasks in the same order on every run with this seed."""
    # Trio has no public setting for this; hypothesis-trio uses the same two private names.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)


class ServerHarness:
    """A server with its fakes."""

    def __init__(self, document, *, seed=1, entries=1, slots=None, service_s=0.01):
        self.timers = Timers(wall_clock=trio.current_time, seed=seed)
        self.view = FakeView(document, entries)
        self.control, self.slots = FakeControl(), FakeSlots(slots)
        self.upstreams = FakeUpstreams(self.timers, service_s)
        self.telemetry = Telemetry(host="entry-0", timers=self.timers)
        self.server = Server(
            cfg=settings(),
            view=self.view,
            control=self.control,
            slots=self.slots,
            upstreams=self.upstreams,
            timers=self.timers,
            telemetry=self.telemetry,
            rng=random.Random(seed),
        )
        self._numbers = iter(range(1, 10**9))

    def request(self, pipeline="p", *, deadline_s=5.0, **fields):
        number = next(self._numbers)
        values = {
            "request_id": f"00{number:032x}",
            "pipeline": pipeline,
            "client_account": "acme",
            "idempotency_key": f"k{number}",
            "deadline": trio.current_time() + deadline_s,
            "input": {"n": number},
            "digest": "body",
            **fields,
        }
        return PipelineRequest(**values)

    async def run(self, pipeline="p", sink=None, **fields):
        return await self.server.run_request(self.request(pipeline, **fields), sink)


@asynccontextmanager
async def open_harness(document, **fields):
    harness = ServerHarness(document, **fields)
    make_schedule_deterministic(fields.get("seed", 1))
    async with trio.open_nursery() as nursery:
        await nursery.start(harness.server.run)
        yield harness
        nursery.cancel_scope.cancel()


class ListSink:
    def __init__(self, pause_s=0.0):
        self.events, self.pause_s = [], pause_s

    async def token(self, first, text):
        await trio.sleep(self.pause_s)
        self.events.append((trio.current_time(), first, text))

    @property
    def text(self):
        return "".join(text for _, _, text in self.events)

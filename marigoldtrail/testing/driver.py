"""Drives an in-memory fleet through faults and records what is observed from outside of it."""

from __future__ import annotations

import json
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from marigoldtrail.demo.deployments import Deployment, build_manifest
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import groups_of, new_request_id, record_groups_of
from marigoldtrail.net import Address
from marigoldtrail.schema import parse_manifest
from marigoldtrail.schema.generated.control import SubmitReply
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.serving import Answer
from marigoldtrail.standins import generate_text
from marigoldtrail.standins.services import extract_request_input
from marigoldtrail.standins.standin_fleet import EFFECT_FREE_PATHS
from marigoldtrail.testing.fleet import CollectedTokens, MemoryFleet
from marigoldtrail.testing.oracle import Call, History, Request, Span, Submission

SMALL = Deployment(
    name="kibanda",
    data_centres=["nbo-1", "nbo-2", "nbo-3"],
    hosts=5,
    control_hosts=3,
    engines=3,
    services={"order_stock": True, "ledger": False},
    replicas=3,
    first_port=21000,
)
ACCOUNTS = ("duka-moja", "harusi-co", "resellers")
PIPELINES = ("place_order", "stock_question", "design_brief")
DEADLINES_S = {"place_order": 4.0, "stock_question": 2.0, "design_brief": 5.0}
# Time within which a restored link delivers the bytes that it held back.
MAX_DELIVERY_S = 1.0
RESTART_DELAY_S = 0.1


def build_document(number: int, variant: int = 0) -> bytes:
    """Return a manifest of the fleet; variants differ only in the price of a model."""
    document = build_manifest(SMALL, number)
    document["models"][0]["price_per_token"] = 0.002 + variant / 1000
    return json.dumps(document).encode()


class Driver:
    """
    A fleet, the history of a run, and the faults in progress.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    nursery : trio.Nursery
        Runs the fleet and the requests.

    Attributes
    ----------
    fleet : MemoryFleet
        The fleet.
    history : History
        Observations so far.
    active_count : int
        Number of requests and faults in progress.
    down_hosts : set of str
        Hosts that are reserved by a fault in progress.
    """

    __slots__ = (
        "fleet",
        "history",
        "rng",
        "active_count",
        "down_hosts",
        "manifest_number",
        "service_numbers",
        "_nursery",
        "_scopes",
        "_restored",
        "_leaving",
        "_calls",
        "_stages",
        "_entries",
    )

    def __init__(self, *, seed: int, nursery: trio.Nursery) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.fleet = MemoryFleet(
            manifest=parse_valid_manifest(build_document(1)),
            data_centres=[SMALL.data_centres[i % 3] for i in range(SMALL.hosts)],
            control_hosts=SMALL.control_hosts,
            seed=seed,
            nursery=nursery,
        )
        self.active_count = 0
        self.down_hosts: set[str] = set()
        self.manifest_number = 0
        self.service_numbers: dict[tuple[str, str], int] = defaultdict(int)
        self._nursery = nursery
        self._scopes: dict[str, set[trio.CancelScope]] = defaultdict(set)
        self._restored: dict[str, float] = {}
        self._leaving: dict[str, tuple[str, Span]] = {}
        self._calls: dict[str, list[Call]] = defaultdict(list)
        self._entries: dict[str, str] = {}
        self._stages = {
            stage.name: stage
            for pipeline in self.fleet.standin_fleet.manifest.pipelines
            for stage in pipeline.stages
        }

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts."""
        return list(self.fleet.settings)

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams."""
        return self.fleet.standin_fleet.manifest.upstreams

    def upstream_ips(self) -> list[str]:
        """Return the IP addresses that upstreams listen on."""
        return sorted({Address.parse(upstream.address).ip for upstream in self.upstreams})

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.fleet.timers.now()

    async def start(self) -> None:
        """Start the fleet with its first manifest."""
        for upstream in self.upstreams:
            process = self.fleet.standin_fleet.get_process(upstream.name)
            process.observer = partial(self._observe, upstream)
        await self.fleet.start()
        await self.submit_manifest("h4", 1, 0)
        await self.fleet.wait_ready()

    def start_soon(self, run: Callable[..., Any], *args: Any) -> None:
        """Run a request or a fault in the background and count it as active until it ends."""

        async def run_counted() -> None:
            try:
                await run(*args)
            finally:
                self.active_count -= 1

        self.active_count += 1
        self._nursery.start_soon(run_counted)

    def _observe(self, upstream: Upstream, event: str, call: dict[str, Any], output: Any) -> None:
        now = self.now()
        self._end_leaving_span(upstream.name, now)
        if event == "cold_exceeded":
            self.history.overloads.append((upstream.name, now))
        elif event == "call":
            self._add_call(upstream, call, now)
        else:
            for seen in self._calls[call["attempt_id"]]:
                if seen.upstream == upstream.name:
                    seen.output = output
                    seen.effect_at = now

    def _add_call(self, upstream: Upstream, call: dict[str, Any], now: float) -> None:
        is_engine = upstream.kind == "engine"
        stage = "generate" if is_engine else str(call["stage"])
        fields = {} if is_engine else extract_request_input(call["input"])
        key = fields.get("idempotency_key", "") if isinstance(fields, dict) else ""
        known = self._stages[stage]
        restored = self._restored.get(self._entries.get(call["request_id"], ""), float("-inf"))
        seen = Call(
            upstream=upstream.name,
            pool=upstream.pool,
            data_centre=upstream.data_centre,
            stage=stage,
            account=call["client_account"],
            key=str(key or call["request_id"]),
            request_id=call["request_id"],
            at=now,
            has_effect=not known.idempotent and known.path not in EFFECT_FREE_PATHS,
            delayed=now - MAX_DELIVERY_S <= restored,
        )
        if is_engine:
            prompt = call["prompt"] if isinstance(call["prompt"], str) else str(call["prompt"])
            limit = int(call.get("max_tokens", 512))
            seen.output = generate_text(prompt, str(call.get("model", "")), limit)
        self._calls[call["attempt_id"]].append(seen)
        self.history.calls.append(seen)

    def _end_leaving_span(self, name: str, now: float) -> None:
        instance, span = self._leaving.get(name, ("", None))
        if span is not None and instance != self.fleet.standin_fleet.get_process(name).instance:
            span.ended_at = min(span.ended_at, now)
            del self._leaving[name]

    def begin_leaving(self, name: str) -> None:
        """Let an upstream report that it is leaving."""
        process = self.fleet.standin_fleet.get_process(name)
        if name not in self._leaving and process.is_alive:
            process.state = "leaving"
            span = Span(name, self.now())
            self._leaving[name] = (process.instance, span)
            self.history.leaving.append(span)

    def end_leaving(self, name: str) -> None:
        """Replace an upstream that was leaving by a new, cold instance."""
        if name in self._leaving:
            self._leaving.pop(name)[1].ended_at = self.now()
            self.fleet.standin_fleet.get_process(name).restart()

    def turn_cold(self, name: str) -> None:
        """Turn an upstream cold without a new instance."""
        if name not in self._leaving:
            self.history.silent_turns.append((name, self.now()))
            self.fleet.standin_fleet.get_process(name).turn_cold()

    async def request(
        self, host: str, pipeline: str, account: str, key: str, body: str, *, stream: bool = False
    ) -> Request | None:
        """Send a request and keep what its caller is told; None if no process listens."""
        node = self.fleet.nodes.get(host)
        if node is None:
            return None
        settings = self.fleet.settings[host]
        group = new_request_id(account, record_groups_of(settings))[:2]
        request_id = f"{group}{self.rng.getrandbits(120):030x}"
        sink = CollectedTokens() if stream else None
        seen = Request(
            request_id=request_id,
            entry=host,
            entry_data_centre=settings.data_centre,
            pipeline=pipeline,
            account=account,
            key=key or request_id,
            body=body,
            sent_at=self.now(),
            deadline_s=DEADLINES_S[pipeline],
            tokens=sink.parts if sink is not None else None,
        )
        self.history.requests.append(seen)
        self._entries[request_id] = host
        value = {"query": body, "idempotency_key": seen.key}
        scope = trio.CancelScope()
        self._scopes[host].add(scope)
        with scope:
            outcome = await self.fleet.send(
                host,
                pipeline,
                account,
                value,
                key=key,
                deadline_s=seen.deadline_s,
                sink=sink,
                request_id=request_id,
            )
            record_outcome(seen, outcome)
        self._scopes[host].discard(scope)
        seen.outcome = seen.outcome or "broken"
        seen.ended_at = self.now()
        return seen

    def _cut_callers(self, host: str) -> None:
        for scope in self._scopes.pop(host, set()):
            scope.cancel()

    async def kill(self, host: str, *, torn: bool) -> None:
        """Kill the process of a host, which breaks the connections of its callers."""
        self._cut_callers(host)
        self.fleet.kill(host, torn=torn)
        await self.fleet.timers.sleep(RESTART_DELAY_S)

    async def start_node(self, host: str) -> None:
        """Start the process of a host unless it is running."""
        if host not in self.fleet.nodes:
            await self.fleet.start_node(host)

    async def drain(self, host: str) -> None:
        """Shut a host down gracefully; requests still in progress at its end are cut off."""
        node = self.fleet.nodes[host]
        span = Span(host, self.now())
        self.history.drains.append(span)
        await node.drain()
        if self.fleet.nodes.get(host) is not node:
            # The process was killed meanwhile, so that this was no graceful shutdown.
            self.history.drains.remove(span)
            return
        span.ended_at = self.now()
        await self.kill(host, torn=False)

    def restore_links(self, host: str) -> None:
        """Restore all links of a host."""
        self.fleet.rejoin(host)
        self._restored[host] = self.now()

    async def submit_manifest(self, host: str, number: int, variant: int) -> Submission | None:
        """Submit a manifest through a host."""
        document = build_document(number, variant)
        self.manifest_number = max(self.manifest_number, number)
        seen = Submission("manifest", "", "", number, document.decode(), self.now())
        return await self._submit(
            seen, host, lambda: self.fleet.submit_manifest(host, document, f"op-{variant}")
        )

    async def set_service(
        self, host: str, kind: str, name: str, state: str, number: int
    ) -> Submission | None:
        """Take a target out of service or back in through a host."""
        known = self.service_numbers
        known[kind, name] = max(known[kind, name], number)
        seen = Submission(kind, name, state, number, state, self.now())
        return await self._submit(
            seen, host, lambda: self.fleet.set_service(host, kind, name, state, number)
        )

    async def _submit(
        self, seen: Submission, host: str, send: Callable[[], Any]
    ) -> Submission | None:
        if host not in self.fleet.nodes:
            return None
        self.history.submissions.append(seen)
        scope = trio.CancelScope()
        self._scopes[host].add(scope)
        with scope:
            reply = await send()
            seen.outcome = reply.outcome if isinstance(reply, SubmitReply) else "failed"
            seen.replied_at = self.now()
        self._scopes[host].discard(scope)
        return seen

    def is_repaired(self) -> bool:
        """Return whether every group has all control hosts with their present disks as voters."""
        for host in self.fleet.disks:
            node = self.fleet.nodes.get(host)
            if node is None or node.control is None:
                return False
            groups = node.control.groups
            for group in groups_of(node.parts.cfg):
                identity = groups[group.name].identify()
                if isinstance(identity, Failure) or groups[group.name].describe().learners:
                    return False
                voters = {(member.host, member.storage_id) for member in identity.voters}
                if len(voters) != SMALL.control_hosts:
                    return False
                if (host, identity.storage_id) not in voters:
                    return False
        return True

    async def wait_until_repaired(self, timeout_s: float = 60.0) -> bool:
        """Wait until `is_repaired`; return False if that takes longer than `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            while not self.is_repaired():
                await self.fleet.timers.sleep(0.25)
            return True
        return False

    async def collect_records(self) -> None:
        """Look up the records of all answered requests."""
        node = next(node for node in self.fleet.nodes.values() if node.entry is not None)
        assert node.entry is not None
        for req in self.history.requests:
            if req.outcome == "answer":
                found = await node.entry.server.find_request(req.request_id)
                req.recorded_digest = "" if isinstance(found, Failure) else found.result_digest


def record_outcome(seen: Request, outcome: Answer | Failure) -> None:
    """Copy the outcome that a caller received into the history."""
    if isinstance(outcome, Failure):
        seen.outcome = "refusal"
        seen.run_state = outcome.run_state.value
        seen.reason = outcome.reason.value
        seen.step = outcome.step
        return
    seen.outcome = "answer"
    seen.output = outcome.output
    seen.digest = outcome.digest
    seen.manifest_number = outcome.record.manifest_number


def parse_valid_manifest(document: bytes) -> Manifest:
    """Parse a document that is a valid manifest."""
    manifest = parse_manifest(document)
    assert isinstance(manifest, Manifest), manifest
    return manifest

"""One cell of the fault matrix: a small fleet, its requests with their outcomes, and the checks."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
import trio

from marigoldtrail.demo.deployments import TSVETANOV, Deployment, build_manifest
from marigoldtrail.errors import Failure, is_failure
from marigoldtrail.fleet import record_group_of, record_groups_of
from marigoldtrail.net import Address
from marigoldtrail.schema import parse_manifest
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.records import FindRecords
from marigoldtrail.serving import Answer
from marigoldtrail.standins import EffectService
from marigoldtrail.standins.process import FaultSwitches
from marigoldtrail.testing.disk import MemoryDisk
from marigoldtrail.testing.fleet import CollectedTokens, MemoryFleet

SMALL = Deployment(
    name="tsvetanov",
    data_centres=TSVETANOV.data_centres,
    hosts=4,
    control_hosts=3,
    engines=2,
    services={"booking": True},
    replicas=2,
    first_port=22000,
)
ENTRY = "h4"
ACCOUNT = "yard-7"
DEADLINE_S = 5.0
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.25
# The sweeper queries an outcome 15 s after a deadline of 5 s; a new slot owner waits 12 s to grant.
SETTLE_S = 30.0
MAX_SERVE_ATTEMPTS = 30
LINK_DELAY_S = 0.002
# Time after which an accepted manifest is in force everywhere (P9).
MANIFEST_BOUND_S = 11.0
# Time after which a takeout is in force everywhere: a view is valid for 5 s after a Sync, and each
# node sends one Sync a second.
TAKEOUT_BOUND_S = 6.0


class SentRequest(msgspec.Struct, kw_only=True):
    """
    A request of a caller and its outcome.

    Parameters
    ----------
    key : str
        Idempotency key.
    result : Answer or Failure or None
        The answer or the failure; None if the connection broke.
    effects_at_result : int
        Number of effects of the key at the time of the result.
    text : str
        Text received, if the answer was streamed.
    """

    key: str
    pipeline: str
    result: Any = None
    effects_at_result: int = 0
    text: str = ""


class Cell:
    """
    A fleet into which one fault is injected.

    Parameters
    ----------
    fleet : MemoryFleet
        The fleet.
    nursery : trio.Nursery
        Runs callers and delayed messages.

    Attributes
    ----------
    seen : list of str
        What callers and operators observed, in order.
    broken : list of str
        Promises that were broken.
    sent : list of SentRequest
        Requests of callers on which the promises are checked.
    accepted : dict of int to str
        Digests of accepted manifests by number.
    hosts_list : object
        List of hosts of the platform; not set by the present faults.
    """

    __slots__ = (
        "fleet",
        "nursery",
        "seen",
        "broken",
        "sent",
        "accepted",
        "takeouts",
        "attempted_takeouts",
        "hosts_list",
        "_scopes",
        "_start_lock",
    )

    def __init__(self, *, fleet: MemoryFleet, nursery: trio.Nursery) -> None:
        self.fleet = fleet
        self.nursery = nursery
        self.seen: list[str] = []
        self.broken: list[str] = []
        self.sent: list[SentRequest] = []
        self.accepted: dict[int, str] = {}
        self.takeouts: dict[tuple[str, str], tuple[int, str]] = {}
        # Includes takeouts whose reply was lost, which may have been accepted.
        self.attempted_takeouts: dict[tuple[str, str], tuple[int, str]] = {}
        self.hosts_list: Any = None
        self._scopes: dict[str, list[trio.CancelScope]] = {}
        # A fault and the repair after it may start the same host concurrently.
        self._start_lock = trio.Lock()

    def note(self, text: str) -> None:
        """Add an observation of a caller or operator to the report."""
        self.seen.append(text)

    def check(self, holds: bool, text: str) -> None:
        """Add a broken promise to the report unless a condition holds."""
        if not holds:
            self.broken.append(text)

    def effects_of(self, key: str) -> int:
        """Return the number of times that the order with a key took effect."""
        return self.fleet.standin_fleet.count_effects()["booking", f"{ACCOUNT}/{key}"]

    def booking_upstreams(self) -> list[str]:
        """Return the upstreams that take orders."""
        standins = self.fleet.standin_fleet.standins
        return [name for name, item in standins.items() if isinstance(item, EffectService)]

    def leader_of(self, group: str) -> str:
        """Return the leader of a log group, or the first control host if there is none."""
        for host, node in self.fleet.nodes.items():
            if node.control is not None and node.control.groups[group].is_leader:
                return host
        return next(iter(self.fleet.disks))

    def kill(self, host: str, *, torn: bool = False) -> None:
        """Kill a node and break the connections of its callers."""
        for scope in self._scopes.pop(host, []):
            scope.cancel()
        self.fleet.kill(host, torn=torn)

    async def start_host(self, host: str) -> None:
        """Start a node that is not running, after its old process has released the address."""
        async with self._start_lock:
            if host not in self.fleet.nodes:
                await self.fleet.timers.sleep(POLL_INTERVAL_S)
                await self.fleet.start_node(host)

    async def _call_through(self, host: str, call: Callable[[], Awaitable[Any]]) -> Any:
        """Make a call through a node; return None if the node is or goes down before it answers."""
        if host not in self.fleet.nodes:
            return None
        result: Any = None
        with trio.CancelScope() as scope:
            self._scopes.setdefault(host, []).append(scope)
            try:
                result = await call()
            except RuntimeError:
                # The nursery of a killed node accepts no more tasks.
                if not scope.cancel_called:
                    raise
        if scope in self._scopes.get(host, []):
            self._scopes[host].remove(scope)
        # A killed entry sends no answer, whatever its last step returned.
        return None if scope.cancel_called else result

    async def send_request(self, host: str, key: str, *, pipeline: str = "book") -> SentRequest:
        """Send a request as a caller does; killing the entry breaks the connection."""
        sent = SentRequest(key=key, pipeline=pipeline)
        value = {"idempotency_key": key, "query": "q", "quantity": 1}
        sink = CollectedTokens() if pipeline == "assistant" else None
        sent.result = await self._call_through(
            host,
            partial(
                self.fleet.send,
                host,
                pipeline,
                ACCOUNT,
                value,
                key=key,
                deadline_s=DEADLINE_S,
                sink=sink,
            ),
        )
        sent.effects_at_result = self.effects_of(key)
        sent.text = sink.text if sink is not None else ""
        return sent

    async def send(self, key: str, *, pipeline: str = "book", host: str = ENTRY) -> None:
        """Send a request and keep its outcome for the checks of the promises."""
        sent = await self.send_request(host, key, pipeline=pipeline)
        self.sent.append(sent)
        self.note(f"caller of {pipeline} {key}: {describe(sent.result)}")

    async def submit(self, number: int, host: str, weight: float, operator: str) -> None:
        """Submit a manifest and record the reply to the operator."""
        document = build_document(number, weight)
        submit = partial(self.fleet.submit_manifest, host, document, operator)
        reply = await self._call_through(host, submit)
        if reply is None or isinstance(reply, Failure):
            self.note(f"{operator}: manifest {number} {describe(reply)}")
            return
        self.note(f"{operator}: manifest {number} {reply.outcome}")
        if reply.outcome in ("accepted", "repeated"):
            known = self.accepted.setdefault(number, reply.digest)
            self.check(known == reply.digest, f"two digests were accepted as manifest {number}")
        if reply.outcome == "accepted":
            self.nursery.start_soon(self._check_in_force, number)

    async def _check_in_force(self, number: int) -> None:
        """Check that after the bound a node has the manifest or admits nothing."""
        await self.fleet.timers.sleep(MANIFEST_BOUND_S)
        for host, node in self.fleet.nodes.items():
            view = node.parts.view
            in_force = not view.is_current() or view.number >= number
            self.check(in_force, f"P9: {host} still admits under {view.number}, not {number}")

    async def take_out(self, kind: str, name: str, state: str, number: int, host: str) -> None:
        """Take a target out of service or back in and record the reply to the operator."""
        self.attempted_takeouts[kind, name] = (number, state)
        set_service = partial(self.fleet.set_service, host, kind, name, state, number)
        reply = await self._call_through(host, set_service)
        if reply is None or isinstance(reply, Failure):
            self.note(f"operator: {name} {state} {describe(reply)}")
            return
        self.note(f"operator: {name} {state} {reply.outcome}")
        if reply.outcome in ("accepted", "repeated"):
            self.takeouts[kind, name] = (number, state)

    async def heal(self) -> None:
        """Restore links, disks, upstreams and processes."""
        fleet = self.fleet
        for host in fleet.settings:
            fleet.rejoin(host)
            for address in other_ips(fleet, host):
                for link in links_between(fleet, fleet.ip_of(host), address):
                    link.delay_s, link.jitter_s = LINK_DELAY_S, 0.0
        for standin in fleet.standin_fleet.standins.values():
            standin.fault_switches = FaultSwitches()
            standin.process.start_next_instance()
        for host, disk in fleet.disks.items():
            node = fleet.nodes.get(host)
            stopped = node is not None and node.control is not None and has_stopped(node.control)
            disk.capacity_bytes = None
            disk.fail_syncs = False
            disk.sync_delay_s = 0.001
            if stopped:
                self.note(f"{host}: its log stopped on a disk failure; restarted")
                self.kill(host)
        for host in fleet.settings:
            await self.start_host(host)
        for (kind, name), (number, state) in list(self.attempted_takeouts.items()):
            if state == "out":
                await self.take_out(kind, name, "in", number + 1, "h2")

    async def settle(self) -> None:
        """Wait until every view is current, and then for the sweeper and the slot owners."""
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            async for _ in self.fleet.timers.subscribe("testing.settle", POLL_INTERVAL_S):
                views = [node.parts.view for node in self.fleet.nodes.values()]
                if all(view.is_current() and view.manifest is not None for view in views):
                    break
        self.check(not scope.cancelled_caught, "not every node has a current view after 60 s")
        await self.fleet.timers.sleep(SETTLE_S)

    async def check_promises(self) -> None:
        """Check the promises after the fleet has settled."""
        for sent in self.sent:
            self._check_refusal(sent)
        await self._check_repeats()
        await self._check_serving()
        self._check_configuration()
        for (pool, key), count in self.fleet.standin_fleet.count_effects().items():
            self.check(count <= 1, f"P6: {pool} {key} took effect {count} times")
        exceeded = self.fleet.standin_fleet.count_cold_limit_violations()
        self.check(exceeded == 0, f"P2: the cold limit was exceeded {exceeded} times")

    def _check_refusal(self, sent: SentRequest) -> None:
        """Check a refusal against the effects at its time and now, before any repeat."""
        result = sent.result
        if not is_failure(result) or result.run_state != "not_run":
            return
        self.check(not sent.text, f"P5: {sent.key} was not_run after {len(sent.text)} characters")
        now = self.effects_of(sent.key)
        self.check(sent.effects_at_result == 0, f"P5: {sent.key} was not_run after its effect")
        self.check(now == 0, f"P5: {sent.key} was not_run and took effect later")

    async def _check_repeats(self) -> None:
        """Repeat every order through another entry and compare with the recorded outcome."""
        for sent in [item for item in self.sent if item.pipeline == "book"]:
            again = await self._repeat(sent.key)
            self.note(f"repeat of {sent.key} after settling: {describe(again.result)}")
            self.check(
                not is_failure(again.result) or again.result.run_state != "not_run",
                f"the repeat of {sent.key} is refused as not_run for {MAX_SERVE_ATTEMPTS} s",
            )
            if isinstance(again.result, Answer):
                self.check(self.effects_of(sent.key) == 1, f"P1: {sent.key} answered, not run once")
                await self._check_record(sent.key)
            if isinstance(sent.result, Answer):
                same = isinstance(again.result, Answer) and again.result.output
                self.check(same == sent.result.output, f"P1: the outcome of {sent.key} was lost")

    async def _repeat(self, key: str) -> SentRequest:
        again = SentRequest(key=key, pipeline="book")
        for _ in range(MAX_SERVE_ATTEMPTS):
            again = await self.send_request("h1", key)
            if not is_failure(again.result) or again.result.run_state != "not_run":
                break
            self.check(self.effects_of(key) == 0, f"P5: the repeat of {key} was not_run falsely")
            await self.fleet.timers.sleep(1)
        return again

    async def _check_record(self, key: str) -> None:
        node = self.fleet.nodes["h1"]
        group = record_group_of(ACCOUNT, record_groups_of(node.parts.cfg))
        request = FindRecords(group=group, client_account=ACCOUNT, idempotency_key=key)
        reply = await node.parts.control.find_records(request)
        found = 0 if isinstance(reply, Failure) else len(reply.records)
        self.check(found > 0, f"P1: {key} was answered without a record")

    async def _check_serving(self) -> None:
        """Check that every entry serves orders and streams again."""
        for host in list(self.fleet.nodes):
            for pipeline in ("book", "assistant"):
                result: Any = None
                for number in range(MAX_SERVE_ATTEMPTS):
                    sent = await self.send_request(
                        host, f"after-{host}-{number}", pipeline=pipeline
                    )
                    result = sent.result
                    if isinstance(result, Answer):
                        break
                    await self.fleet.timers.sleep(1)
                serves = isinstance(result, Answer)
                self.check(serves, f"{host} does not serve {pipeline} again: {describe(result)}")
                if serves and pipeline == "assistant":
                    self.check(sent.text == result.output, f"P4: {host} streamed another text")

    def _check_configuration(self) -> None:
        newest = max(self.accepted)
        for host, node in self.fleet.nodes.items():
            view = node.parts.view
            self.check(view.number >= newest, f"P9: {host} has manifest {view.number} < {newest}")
            if view.number in self.accepted:
                same = view.digest == self.accepted[view.number]
                self.check(same, f"P9: {host} has another manifest {view.number}")
            for (kind, name), (_, state) in self.takeouts.items():
                is_out_of_service = view.is_out_of_service(kind, name)
                self.check(
                    is_out_of_service == (state == "out"),
                    f"P3: {host} has {name} wrong: {is_out_of_service}",
                )


def describe(result: Any) -> str:
    """Return a short description of the result that a caller received."""
    if result is None:
        return "broken connection"
    if is_failure(result):
        return f"{result.run_state} ({result.reason} at {result.step})"
    return "answered"


def has_stopped(control: Any) -> bool:
    """Return whether a log group of a control host has stopped on a disk failure."""
    return any(group.stop_failure is not None for group in control.groups.values())


def upstream_ips(fleet: MemoryFleet) -> set[str]:
    """Return the IP addresses on which the upstreams listen."""
    return {
        Address.parse(upstream.address).ip for upstream in fleet.standin_fleet.manifest.upstreams
    }


def other_ips(fleet: MemoryFleet, host: str) -> list[str]:
    """Return the IP addresses of all other hosts and of the upstreams."""
    return sorted({*map(fleet.ip_of, fleet.settings), *upstream_ips(fleet)} - {fleet.ip_of(host)})


def links_between(fleet: MemoryFleet, one: str, other: str) -> list[Any]:
    """Return the links between two IP addresses in both directions."""
    return [fleet.network.link(one, other), fleet.network.link(other, one)]


def build_document(number: int, weight: float = 1.0) -> bytes:
    """Return a manifest; documents with different `weight` differ from number 2 on."""
    document = build_manifest(SMALL, number)
    accounts = [{"name": ACCOUNT, "weight": weight}] if number > 1 else []
    return json.dumps({**document, "client_accounts": accounts}).encode()


async def start_cell(nursery: trio.Nursery, seed: int) -> Cell:
    """
    Start a fleet with a manifest in force and one recorded order.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the fleet.
    seed : int
        Seed of all random choices.

    Returns
    -------
    Cell
        Cell with a settled fleet, ready for a fault.
    """
    manifest = parse_manifest(build_document(1))
    assert isinstance(manifest, Manifest), manifest
    fleet = MemoryFleet(
        manifest=manifest,
        data_centres=[*SMALL.data_centres, SMALL.data_centres[0]],
        control_hosts=SMALL.control_hosts,
        seed=seed,
        nursery=nursery,
    )
    await fleet.start()
    cell = Cell(fleet=fleet, nursery=nursery)
    await cell.submit(1, ENTRY, 1.0, "operator")
    await fleet.wait_ready()
    await cell.send("before")
    assert isinstance(cell.sent[0].result, Answer), cell.seen
    cell.seen.clear()
    return cell


def used_bytes(disk: MemoryDisk) -> int:
    """Return the number of bytes on a disk."""
    return sum(len(file.data) for file in disk.files.values())

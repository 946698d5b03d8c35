"""What the demo does with one deployment."""

from __future__ import annotations

import itertools
import json
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import trio

from marigoldtrail.api import ApiClient, format_record
from marigoldtrail.demo.callers import Caller, Outcome
from marigoldtrail.demo.deployments import ACCOUNTS, Deployment, build_manifest
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address
from marigoldtrail.standins.world import World
from marigoldtrail.timers import Timers

READY_TIMEOUT_S = 20.0
POLL_S = 0.2
# "A few seconds": views last 5 s, and the answer to a call under way may take the rest.
TAKEOUT_BOUND_S = 6.0
LOAD_PAUSE_S = 0.05
OUT_S = 3.0
RETURN_S = 3.0
OPERATOR = "demo"

Print = Callable[[str], None]
Stop = Callable[[], Awaitable[bool]]


class Job:
    """
    The demo on one deployment.

    Parameters
    ----------
    deployment : Deployment
        Its shape.
    entries : list of Address
        API addresses of its entries.
    world : World
        Its upstreams.
    timers : Timers
        Clock.
    say : callable
        Prints a line of progress.
    drain_node, kill_leader : callable
        Asynchronous; shut a node down gracefully, and end the leader of ``config`` at once. Both
        return whether it went as it should.
    """

    __slots__ = (
        "deployment",
        "entries",
        "world",
        "broken",
        "callers",
        "_timers",
        "_say",
        "_drain_node",
        "_kill_leader",
        "_orders",
        "_operator",
    )

    def __init__(
        self,
        *,
        deployment: Deployment,
        entries: list[Address],
        world: World,
        timers: Timers,
        say: Print,
        drain_node: Stop,
        kill_leader: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.deployment = deployment
        self.entries = entries
        self.world = world
        self.broken: list[str] = []
        self._timers = timers
        self._say = lambda text: say(f"{deployment.name:<10} {text}")
        self._drain_node = drain_node
        self._kill_leader = kill_leader
        self._orders = itertools.count(1)
        # The last entry is the one that is shut down, the first ones may lead.
        self._operator = ApiClient(address=entries[-2])
        rng = random.Random(7)
        self.callers = [
            Caller(
                entries=entries,
                data_centre=rng.choice(deployment.data_centres),
                client_account=account,
                timers=timers,
                rng=random.Random(number),
            )
            for number, (account, _) in enumerate(ACCOUNTS[deployment.name])
        ]

    async def run(self) -> None:
        """Run all steps; `broken` lists the promises that did not hold."""
        await self.submit_manifest()
        await self.wait_warm()
        await self.show_requests()
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            for caller in self.callers:
                nursery.start_soon(self.keep_calling, caller, stop)
            await self.kill_engine()
            async with trio.open_nursery() as steps:
                steps.start_soon(self.move_data_centre)
                steps.start_soon(self.drain_node)
            await self.kill_leader()
            stop.set()
        self.report_load()
        await self.check_promises()
        await self.show_trace()
        await self._operator.aclose()
        for caller in self.callers:
            await caller.aclose()

    def expect(self, condition: bool, promise: str) -> None:
        """Note a broken promise."""
        if not condition:
            self.broken.append(f"{self.deployment.name}: {promise}")
            self._say(f"BROKEN PROMISE: {promise}")

    # Steps.

    async def submit_manifest(self) -> None:
        """Submit the manifest, twice, and wait until every entry has it in force."""
        document = json.dumps(build_manifest(self.deployment)).encode()
        reply = await self.retry(lambda: self._operator.submit_manifest(document, OPERATOR))
        again = await self.retry(lambda: self._operator.submit_manifest(document, OPERATOR))
        self.expect(again["outcome"] == "repeated", "a manifest sent again gets its first outcome")
        started = self._timers.now()
        for entry in self.entries:
            async with ApiClient(address=entry) as client:
                await self.retry(lambda client=client: client.addresses())  # type: ignore[misc]
        waited = self._timers.now() - started
        self._say(
            f"manifest {reply['number']} {reply['outcome']}, every entry answers "
            f"{waited:.1f} s later"
        )

    async def wait_warm(self) -> None:
        """Wait until the system knows the upstreams that report their load as warm."""
        reporting = {up.name for up in self.world.manifest.upstreams if up.reports_load}
        started = self._timers.now()
        warm: set[str] = set()
        while not reporting <= warm and self._timers.now() - started < READY_TIMEOUT_S:
            await self._timers.sleep(POLL_S)
            status = await self.retry(self._operator.status)
            warm = {item["upstream"] for item in status["upstreams"] if item["state"] == "warm"}
        waited = self._timers.now() - started
        self._say(f"{len(warm)} of {len(self.world.standins)} upstreams warm after {waited:.1f} s")

    async def retry(self, call: Callable[[], Any]) -> Any:
        """Repeat a call until it succeeds or the time is up."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                result = await call()
                if not isinstance(result, Failure):
                    return result
                await self._timers.sleep(POLL_S)

    async def show_requests(self) -> None:
        """Send one request of each kind and print what it got."""
        for number, (pipeline, value, key, stream) in enumerate(self.sample_requests()):
            caller = self.callers[number % len(self.callers)]
            outcome = await caller.send(pipeline, value, key=key, stream=stream)
            self._say(describe(outcome))
            if key:
                again = await caller.send(pipeline, value, key=key)
                self._say(f"  sent again with the same key: {describe(again)}")
                if outcome.answer and again.answer:
                    self.expect(
                        outcome.answer["output"] == again.answer["output"],
                        "a repeat of an order gets its first outcome",
                    )

    def sample_requests(self) -> Iterable[tuple[str, Any, str, bool]]:
        """Return pipeline, input, idempotency key and streaming of one request of each kind."""
        order = {"idempotency_key": f"{self.deployment.name}-{next(self._orders)}", "quantity": 3}
        if self.deployment.name == "kibanda":
            brief = " ".join(
                f"Panel {number}: a star in marigold and blue." for number in range(60)
            )
            yield "design_brief", {"query": brief}, "", True
            yield "stock_question", {"item": "star pinata"}, "", False
            yield "place_order", order, order["idempotency_key"], False  # type: ignore[misc]
        else:
            yield "assistant", {"query": "When does the lagoon at yard 7 overflow?"}, "", True
            yield "slot_list", {"day": "2026-12-05"}, "", False
            yield "book", order, order["idempotency_key"], False  # type: ignore[misc]

    async def keep_calling(self, caller: Caller, stop: trio.Event) -> None:
        """Send requests of all kinds until told to stop."""
        while not stop.is_set():
            for pipeline, value, key, stream in self.sample_requests():
                await caller.send(pipeline, value, key=key, stream=stream)
                await self._timers.sleep(LOAD_PAUSE_S)

    async def kill_engine(self) -> None:
        """End an engine under load and start it again; its next instance is cold."""
        await self._timers.sleep(1.0)
        engine = self.world.process("engines-1")
        engine.die()
        self._say("engines-1 died")
        await self._timers.sleep(2.0)
        engine.revive()
        self._say("engines-1 is back, cold")
        await self._timers.sleep(1.0)

    async def move_data_centre(self) -> None:
        """Take a data centre out under load, check that it gets no new work, bring it back."""
        data_centre = self.deployment.data_centres[0]
        await self.set_data_centre(data_centre, "out", 1)
        await self._timers.sleep(TAKEOUT_BOUND_S)
        before = self.calls_in(data_centre)
        await self._timers.sleep(OUT_S)
        after = self.calls_in(data_centre)
        self._say(f"{data_centre} out: {after - before} new calls in {OUT_S:.0f} s")
        self.expect(after == before, f"no new work in {data_centre} while it is out")
        await self.set_data_centre(data_centre, "in", 2)
        await self._timers.sleep(RETURN_S)
        self._say(f"{data_centre} in: {self.calls_in(data_centre) - after} calls since")

    async def drain_node(self) -> None:
        """Shut an entry down gracefully under load."""
        self._say("the last entry shuts down")
        ended = await self._drain_node()
        self.expect(ended, "a graceful shutdown ends by itself with exit code 0")

    async def kill_leader(self) -> None:
        """End the process that leads group config; the others go on."""
        status = await self.retry(self._operator.status)
        leader = status["leader"]
        await self._kill_leader(leader)
        started = self._timers.now()
        while True:
            await self._timers.sleep(POLL_S)
            status = await self.retry(self._operator.status)
            if status["leader"] != leader:
                break
        waited = self._timers.now() - started
        self._say(f"{leader} killed; {status['leader']} leads {waited:.1f} s later")
        self.expect(status["manifest_number"] == 1, "an accepted manifest never reverts")
        await self._timers.sleep(RETURN_S)

    async def set_data_centre(self, data_centre: str, state: str, number: int) -> None:
        """Submit a takeout or its end."""
        reply = await self.retry(
            lambda: self._operator.set_service("data_centre", data_centre, state, number, OPERATOR)
        )
        self._say(f"data centre {data_centre}: {state}, {reply['outcome']}")

    def calls_in(self, data_centre: str) -> int:
        """Return how many calls have reached a data centre."""
        return sum(self.world.calls_of(name) for name in self.world.find_upstreams_in(data_centre))

    # Results.

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of all callers."""
        return [outcome for caller in self.callers for outcome in caller.outcomes]

    def report_load(self) -> None:
        """Print how many requests got which outcome."""
        outcomes = self.outcomes()
        for pipeline in sorted({outcome.pipeline for outcome in outcomes}):
            mine = [outcome for outcome in outcomes if outcome.pipeline == pipeline]
            states = dict.fromkeys(("answered", "not_run", "may_have_run"), 0)
            for outcome in mine:
                states[outcome.state] += 1
            slowest = max(outcome.duration_ms for outcome in mine)
            counts = ", ".join(f"{count} {state}" for state, count in states.items())
            self._say(f"{pipeline}: {len(mine)} requests, {counts}, slowest {slowest} ms")
            for outcome in [item for item in mine if item.failure][:3]:
                self._say(f"  {outcome.failure}")

    async def check_promises(self) -> None:
        """Compare what callers were told with what the upstreams did."""
        effects = self.world.effects()
        doubled = [key for key, count in effects.items() if count > 1]
        self.expect(not doubled, f"no order runs twice: {doubled}")
        exceeded = self.world.cold_limit_exceeded()
        self.expect(exceeded == 0, f"no upstream in cold start is overloaded ({exceeded} times)")
        ran = {key for _, key in effects}
        for outcome in self.outcomes():
            key = f"{outcome.client_account}/{outcome.key}"
            if outcome.key and outcome.state == "not_run":
                self.expect(key not in ran, f"a refusal that says not run is true: {outcome.key}")
            if outcome.key and outcome.state == "answered":
                self.expect(key in ran, f"an answered order ran: {outcome.key}")

    async def show_trace(self) -> None:
        """Print the trace of one result, found by its digest."""
        answers = [item.answer for item in self.outcomes() if item.key and item.answer]
        if not answers:
            self.expect(False, "at least one order is answered")
            return
        answer = answers[-1]
        found = await self.retry(lambda: self._operator.show_results(answer["end"]["digest"]))
        records = [
            record for record in found["records"] if record["request_id"] == answer["request_id"]
        ]
        self.expect(len(records) == 1, "a result can be traced to its request")
        self._say("trace of the last order, found by the digest of its result:")
        for record in records:
            for line in format_record(record).splitlines():
                self._say(f"  {line}")


def describe(outcome: Outcome) -> str:
    """
    Format an outcome for the output of the demo.

    Parameters
    ----------
    outcome : Outcome
        What a request got.

    Returns
    -------
    str
        One line.
    """
    detail = outcome.failure
    if outcome.answer is not None:
        detail = json.dumps(outcome.answer["output"])[:60]
    return f"{outcome.pipeline}: {outcome.state} in {outcome.duration_ms} ms: {detail}"

"""Run the steps of the demo on one deployment and check the promises."""

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
from marigoldtrail.standins.standin_fleet import StandinFleet
from marigoldtrail.timers import Timers

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
# Bound for "a few seconds": a view is valid for 5 s; the rest is for calls in progress.
TAKEOUT_BOUND_S = 6.0
LOAD_PAUSE_S = 0.05
TAKEOUT_DURATION_S = 3.0
SETTLE_DURATION_S = 3.0
OPERATOR = "demo"

PrintLine = Callable[[str], None]
ShutDownNode = Callable[[], Awaitable[bool]]


class Scenario:
    """
    The demo scenario on one deployment.

    Parameters
    ----------
    deployment : Deployment
        Layout of the fleet.
    entries : list of Address
        API addresses of the entries.
    standin_fleet : StandinFleet
        Simulated upstreams.
    timers : Timers
        Clock.
    print_line : callable
        Prints a progress line.
    drain_node, kill_leader : callable
        Asynchronous functions that shut down a node gracefully, and kill the leader of group
        ``config``. Both return whether the node ended as expected.
    """

    __slots__ = (
        "deployment",
        "entries",
        "standin_fleet",
        "broken",
        "callers",
        "_timers",
        "_print_line",
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
        standin_fleet: StandinFleet,
        timers: Timers,
        print_line: PrintLine,
        drain_node: ShutDownNode,
        kill_leader: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.deployment = deployment
        self.entries = entries
        self.standin_fleet = standin_fleet
        self.broken: list[str] = []
        self._timers = timers
        self._print_line = lambda text: print_line(f"{deployment.name:<10} {text}")
        self._drain_node = drain_node
        self._kill_leader = kill_leader
        self._orders = itertools.count(1)
        # Avoids the last entry, which is shut down, and the first ones, which may be the leader.
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
        """Run all steps; `broken` then lists the broken promises."""
        await self.submit_manifest()
        await self.wait_until_warm()
        await self.send_sample_requests()
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            for caller in self.callers:
                nursery.start_soon(self.send_until_stopped, caller, stop)
            await self.kill_engine()
            async with trio.open_nursery() as steps:
                steps.start_soon(self.take_out_data_centre)
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
        """Record and print a broken promise unless the condition holds."""
        if not condition:
            self.broken.append(f"{self.deployment.name}: {promise}")
            self._print_line(f"BROKEN PROMISE: {promise}")

    # Steps.

    async def submit_manifest(self) -> None:
        """Submit the manifest twice and wait until it is in force on every entry."""
        document = json.dumps(build_manifest(self.deployment)).encode()
        reply = await self.retry(lambda: self._operator.submit_manifest(document, OPERATOR))
        again = await self.retry(lambda: self._operator.submit_manifest(document, OPERATOR))
        self.expect(
            again["outcome"] == "repeated",
            "a repeated submission of a manifest returns its first outcome",
        )
        started = self._timers.now()
        for entry in self.entries:
            async with ApiClient(address=entry) as client:
                await self.retry(lambda client=client: client.list_addresses())  # type: ignore[misc]
        waited = self._timers.now() - started
        self._print_line(
            f"manifest {reply['number']} {reply['outcome']}, every entry answers "
            f"{waited:.1f} s later"
        )

    async def wait_until_warm(self) -> None:
        """Wait until the fleet lists every upstream that reports its load as warm."""
        reporting = {up.name for up in self.standin_fleet.manifest.upstreams if up.reports_load}
        started = self._timers.now()
        warm: set[str] = set()
        while not reporting <= warm and self._timers.now() - started < READY_TIMEOUT_S:
            await self._timers.sleep(POLL_INTERVAL_S)
            status = await self.retry(self._operator.get_status)
            warm = {item["upstream"] for item in status["upstreams"] if item["state"] == "warm"}
        waited = self._timers.now() - started
        self._print_line(
            f"{len(warm)} of {len(self.standin_fleet.standins)} upstreams warm after {waited:.1f} s"
        )

    async def retry(self, call: Callable[[], Any]) -> Any:
        """Repeat a call until it succeeds or `READY_TIMEOUT_S` has passed."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                result = await call()
                if not isinstance(result, Failure):
                    return result
                await self._timers.sleep(POLL_INTERVAL_S)

    async def send_sample_requests(self) -> None:
        """Send one request of each kind and print its outcome."""
        for number, (pipeline, value, key, stream) in enumerate(self.sample_requests()):
            caller = self.callers[number % len(self.callers)]
            outcome = await caller.send(pipeline, value, key=key, stream=stream)
            self._print_line(format_outcome(outcome))
            if key:
                again = await caller.send(pipeline, value, key=key)
                self._print_line(f"  sent again with the same key: {format_outcome(again)}")
                if outcome.answer and again.answer:
                    self.expect(
                        outcome.answer["output"] == again.answer["output"],
                        "a repeated order returns its first outcome",
                    )

    def sample_requests(self) -> Iterable[tuple[str, Any, str, bool]]:
        """Yield pipeline, input, idempotency key and streaming flag of one request of each kind."""
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

    async def send_until_stopped(self, caller: Caller, stop: trio.Event) -> None:
        """Send requests of all kinds until `stop` is set."""
        while not stop.is_set():
            for pipeline, value, key, stream in self.sample_requests():
                await caller.send(pipeline, value, key=key, stream=stream)
                await self._timers.sleep(LOAD_PAUSE_S)

    async def kill_engine(self) -> None:
        """Kill an engine under load and restart it; its next instance is cold."""
        await self._timers.sleep(1.0)
        engine = self.standin_fleet.get_process("engines-1")
        engine.kill()
        self._print_line("engines-1 killed")
        await self._timers.sleep(2.0)
        engine.start_next_instance()
        self._print_line("engines-1 restarted, cold")
        await self._timers.sleep(1.0)

    async def take_out_data_centre(self) -> None:
        """Take a data centre out under load, check that it gets no calls, return it to service."""
        data_centre = self.deployment.data_centres[0]
        await self.set_data_centre(data_centre, "out", 1)
        await self._timers.sleep(TAKEOUT_BOUND_S)
        before = self.count_calls_in(data_centre)
        await self._timers.sleep(TAKEOUT_DURATION_S)
        after = self.count_calls_in(data_centre)
        self._print_line(
            f"{data_centre} out: {after - before} new calls in {TAKEOUT_DURATION_S:.0f} s"
        )
        self.expect(after == before, f"no new work in {data_centre} while it is out")
        await self.set_data_centre(data_centre, "in", 2)
        await self._timers.sleep(SETTLE_DURATION_S)
        self._print_line(
            f"{data_centre} in: {self.count_calls_in(data_centre) - after} calls since"
        )

    async def drain_node(self) -> None:
        """Shut down an entry gracefully under load."""
        self._print_line("the last entry shuts down")
        ended = await self._drain_node()
        self.expect(ended, "a graceful shutdown ends with exit code 0")

    async def kill_leader(self) -> None:
        """Kill the leader of group config and wait for a new leader."""
        status = await self.retry(self._operator.get_status)
        leader = status["leader"]
        await self._kill_leader(leader)
        started = self._timers.now()
        while True:
            await self._timers.sleep(POLL_INTERVAL_S)
            status = await self.retry(self._operator.get_status)
            if status["leader"] != leader:
                break
        waited = self._timers.now() - started
        self._print_line(f"{leader} killed; {status['leader']} leads {waited:.1f} s later")
        self.expect(status["manifest_number"] == 1, "an accepted manifest never reverts")
        await self._timers.sleep(SETTLE_DURATION_S)

    async def set_data_centre(self, data_centre: str, state: str, number: int) -> None:
        """Take a data centre out of service (``out``) or return it to service (``in``)."""
        reply = await self.retry(
            lambda: self._operator.set_service("data_centre", data_centre, state, number, OPERATOR)
        )
        self._print_line(f"data centre {data_centre}: {state}, {reply['outcome']}")

    def count_calls_in(self, data_centre: str) -> int:
        """Count the calls that have reached a data centre."""
        return sum(
            self.standin_fleet.count_calls(name)
            for name in self.standin_fleet.find_upstreams_in(data_centre)
        )

    # Results.

    def outcomes(self) -> list[Outcome]:
        """Collect the outcomes of all callers."""
        return [outcome for caller in self.callers for outcome in caller.outcomes]

    def report_load(self) -> None:
        """Print the number of requests by pipeline and outcome."""
        outcomes = self.outcomes()
        for pipeline in sorted({outcome.pipeline for outcome in outcomes}):
            matching = [outcome for outcome in outcomes if outcome.pipeline == pipeline]
            states = dict.fromkeys(("answered", "not_run", "may_have_run"), 0)
            for outcome in matching:
                states[outcome.state] += 1
            slowest = max(outcome.duration_ms for outcome in matching)
            counts = ", ".join(f"{count} {state}" for state, count in states.items())
            self._print_line(
                f"{pipeline}: {len(matching)} requests, {counts}, slowest {slowest} ms"
            )
            for outcome in [item for item in matching if item.failure][:3]:
                self._print_line(f"  {outcome.failure}")

    async def check_promises(self) -> None:
        """Compare the outcomes that callers got with the effects at the upstreams."""
        effects = self.standin_fleet.count_effects()
        doubled = [key for key, count in effects.items() if count > 1]
        self.expect(not doubled, f"no order runs twice: {doubled}")
        exceeded = self.standin_fleet.count_cold_limit_violations()
        self.expect(exceeded == 0, f"no upstream in cold start is overloaded ({exceeded} times)")
        ran = {key for _, key in effects}
        for outcome in self.outcomes():
            key = f"{outcome.client_account}/{outcome.key}"
            if outcome.key and outcome.state == "not_run":
                self.expect(
                    key not in ran, f"a refused order that says not run has not run: {outcome.key}"
                )
            if outcome.key and outcome.state == "answered":
                self.expect(key in ran, f"an answered order has run: {outcome.key}")

    async def show_trace(self) -> None:
        """Print the trace of one result, looked up by its digest."""
        answers = [item.answer for item in self.outcomes() if item.key and item.answer]
        if not answers:
            self.expect(False, "at least one order is answered")
            return
        answer = answers[-1]
        found = await self.retry(lambda: self._operator.get_result_records(answer["end"]["digest"]))
        records = [
            record for record in found["records"] if record["request_id"] == answer["request_id"]
        ]
        self.expect(len(records) == 1, "a result can be traced to its request")
        self._print_line("trace of the last order, looked up by the digest of its result:")
        for record in records:
            for line in format_record(record).splitlines():
                self._print_line(f"  {line}")


def format_outcome(outcome: Outcome) -> str:
    """
    Format an outcome as one line of output.

    Parameters
    ----------
    outcome : Outcome
        Outcome of a request.

    Returns
    -------
    str
        Pipeline, state, duration, and the output or failure.
    """
    detail = outcome.failure
    if outcome.answer is not None:
        detail = json.dumps(outcome.answer["output"])[:60]
    return f"{outcome.pipeline}: {outcome.state} in {outcome.duration_ms} ms: {detail}"

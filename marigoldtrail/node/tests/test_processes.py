"""Fault tests with real processes: SIGTERM under load, SIGKILL, a replaced disk."""

from __future__ import annotations

from pathlib import Path

import trio

from marigoldtrail.demo.callers import Caller
from marigoldtrail.node.tests.fleet import ProcessFleet, run_fleet

BOOKINGS = 12


async def book(caller: Caller, keys: list[str]) -> None:
    for key in keys:
        await caller.send("book", {"idempotency_key": key, "quantity": 1}, key=key)


def booking_keys(prefix: str) -> list[str]:
    return [f"{prefix}-{number}" for number in range(BOOKINGS)]


def assert_outcomes_match_effects(fleet: ProcessFleet, callers: list[Caller]) -> None:
    """Check the outcomes that callers received against the effects on the services."""
    effects = fleet.standin_fleet.count_effects()
    for caller in callers:
        for outcome in caller.outcomes:
            count = effects["booking", f"{outcome.client_account}/{outcome.key}"]
            assert count <= 1, f"{outcome.key} ran {count} times"
            if outcome.state == "answered":
                assert count == 1, f"{outcome.key} was answered and did not run"
            if outcome.state == "not_run":
                assert count == 0, f"{outcome.key} ran: {outcome.failure}"
    assert fleet.standin_fleet.count_cold_limit_violations() == 0


async def test_sigterm_under_load_interrupts_no_request(tmp_path: Path) -> None:
    """Guards against a shutdown that breaks connections or returns a non-zero exit code."""
    async with run_fleet(tmp_path) as fleet:
        callers = [fleet.caller(f"account-{number}", number) for number in range(4)]
        codes = []

        async def terminate() -> None:
            codes.append(await fleet.terminate("tsvetanov-4"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(terminate)
            for number, caller in enumerate(callers):
                nursery.start_soon(book, caller, booking_keys(f"drain-{number}"))
        assert codes == [0]
        outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        assert [outcome.failure for outcome in outcomes if outcome.state != "answered"] == []
        assert_outcomes_match_effects(fleet, callers)


async def test_node_is_one_process(tmp_path: Path) -> None:
    """Guards against child processes, started by a launcher or a library."""
    async with run_fleet(tmp_path) as fleet:
        for process in fleet.processes.values():
            children = trio.Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert await children.read_text() == ""


async def test_killed_control_hosts_keep_acknowledged_writes(tmp_path: Path) -> None:
    """Guards against acknowledging a write before it is durable."""
    async with run_fleet(tmp_path) as fleet:
        callers = [fleet.caller(f"account-{number}", number) for number in range(4)]
        hosts = ["tsvetanov-1", "tsvetanov-2", "tsvetanov-3"]
        keys = [booking_keys(f"kill-{number}") for number in range(4)]
        async with trio.open_nursery() as nursery:
            for caller, caller_keys in zip(callers, keys, strict=True):
                nursery.start_soon(book, caller, caller_keys)
            await trio.sleep(0.3)
            for host in hosts:
                fleet.kill(host)
            for host in hosts:
                fleet.start(host)
        first = [outcome for caller in callers for outcome in caller.outcomes]
        # Checked before the keys are used again, since a refused key may then run.
        assert_outcomes_match_effects(fleet, callers)
        for caller in callers:
            caller.outcomes.clear()
        status = await fleet.call_entry("tsvetanov-1", lambda client: client.get_status())
        assert status["manifest_number"] == 1
        await fleet.wait_warm("tsvetanov-1")
        for caller, caller_keys in zip(callers, keys, strict=True):
            await book(caller, caller_keys)
        assert_outcomes_match_effects(fleet, callers)
        answered = [outcome for outcome in first if outcome.answer is not None]
        for outcome in answered:
            request_id = outcome.answer["request_id"]  # type: ignore[index]
            record = await fleet.call_entry(
                "tsvetanov-1",
                lambda client, request_id=request_id: client.get_request_record(request_id),
            )
            assert record["client_account"] == outcome.client_account


async def test_second_host_is_lost_right_after_a_repair(tmp_path: Path) -> None:
    """Guards against a replaced host that counts towards a quorum before it has all entries."""
    async with run_fleet(tmp_path) as fleet:
        caller = fleet.caller("account-1")
        await book(caller, booking_keys("before"))
        status = await fleet.call_entry("tsvetanov-4", lambda client: client.get_status())
        old_ids = {id_ for group in status["groups"] for id_ in group["storage_ids"]}
        others = [host for host in list(fleet.settings)[:3] if host != status["leader"]]
        replaced, lost = others
        fleet.kill(replaced)
        fleet.delete_disk(replaced)
        fleet.start(replaced)

        def is_repaired(answer: dict) -> bool:
            return all(
                len(group["members"]) == 3 and len(old_ids & set(group["storage_ids"])) == 2
                for group in answer["groups"]
            )

        await fleet.wait_for("tsvetanov-4", lambda client: client.get_status(), is_repaired)
        fleet.kill(lost)
        await book(caller, booking_keys("after"))
        assert_outcomes_match_effects(fleet, [caller])
        for outcome in caller.outcomes:
            if outcome.answer is not None:
                request_id = outcome.answer["request_id"]
                await fleet.call_entry(
                    "tsvetanov-4",
                    lambda client, request_id=request_id: client.get_request_record(request_id),
                )
        assert sum(outcome.state == "answered" for outcome in caller.outcomes) >= BOOKINGS

"""Tests of the soak test: requests without an answer around planned stops of an entry."""

import os
import random
import signal
import subprocess
import sys
from collections import Counter

import pytest
import trio

from bench.soak.callers import Callers, Operators
from bench.soak.direct import DirectCallers
from bench.soak.fleet import BEGIN_CPU_S, Fleet, has_begun
from bench.soak.ledger import Attempt, Ledger
from bench.soak.networks import claim_network
from bench.soak.planned import (
    DEADLINE,
    END,
    LOST_S,
    RELOAD,
    RELOAD_S,
    RESET,
    STABILITY_S,
    STOP,
    Disruption,
    PlannedWork,
    judge_planned_work,
)
from bench.soak.proxy import reset_stream
from bench.soak.sockets import read_unread_bytes
from bench.soak.stops import draw_stops
from marigoldtrail.net import Address

ENTRY = "entry-1"
AT = 100.0


def judge(*, touched=(), work=None, faults=(), **fields):
    """Judge one request; return the broken promises and the lines on planned work."""
    ledger = Ledger(account="acme", key="secret")
    values = {"sent_at": AT, "ended_at": AT + 0.1, "failure": RESET, "is_direct": True}
    attempt = Attempt(
        request_id="a",
        path="/plain/a",
        body=b"",
        may_repeat=True,
        entry=(ENTRY, 1),
        deadline_s=4.0,
        **{**values, **fields},
    )
    ledger.record_attempt(attempt)
    ledger.touched["a"].update(touched)
    works = [work or PlannedWork(entry=(ENTRY, 1), kind=STOP, at=AT - 1.0, until=AT + 3.0)]
    return ledger.violations, judge_planned_work(works, list(faults), ledger)


def test_lost_requests_around_a_stop_are_reported():
    """Guards against a request that was passed on or read and got no answer, unseen."""
    violations, lines = judge(touched=["desk-0"])
    assert len(violations) == 1 and "was passed on" in violations[0]
    assert lines == ["stop of 4.0 s of entry-1, 1 requests: lost 1"]
    read = {"unread_bytes": 0, "ended_at": AT + LOST_S + 0.1, "failure": END}
    violations, _ = judge(**read)
    assert len(violations) == 1 and "was read" in violations[0]
    reload = PlannedWork(entry=(ENTRY, 1), kind=RELOAD, at=AT - 1.0)
    assert len(judge(**read, work=reload)[0]) == 1


def test_requests_that_were_not_read_are_counted_apart():
    """Guards against requests without an answer that are neither counted nor told apart."""
    for fields in ({}, {"unread_bytes": 90, "ended_at": AT + 1.0}, {"sent_at": float("inf")}):
        violations, lines = judge(**fields)
        assert violations == []
        assert lines == ["stop of 4.0 s of entry-1, 1 requests: not read, reset 1"]
    refused = PlannedWork(entry=(ENTRY, 1), kind=STOP, at=AT - 1.0, until=AT, refused=3)
    _, lines = judge(failure="", work=refused)
    assert lines == ["stop of 1.0 s of entry-1, 1 requests: refused connection 3"]
    assert judge(failure="") == ([], [])


def test_only_disturbed_requests_are_excused():
    """Guards against an excuse for a lost request that the rules do not have."""

    def fault(target, kind, until):
        return Disruption(target=target, kind=kind, at=AT - 9.0, until=until)

    near, far = AT - STABILITY_S + 0.1, AT - STABILITY_S - 0.1
    for disruption, is_excused in (
        (fault(ENTRY, "pause", near), True),
        (fault(ENTRY, "pause", far), False),
        (fault(ENTRY, "cut", near), False),
        (fault("entry-2", "pause", near), False),
        (fault("control-1", "kill", near), False),
        (fault("desk-0", "restart", near), True),
        (fault("desk-0", "limit", near), False),
        (fault("desk-1", "restart", near), False),
    ):
        violations, lines = judge(touched=["desk-0"], faults=[disruption])
        assert bool(violations) != is_excused
        assert ("excused" in lines[0]) == is_excused
    for fields in ({"failure": DEADLINE}, {"ended_at": AT + 3.9}):
        assert judge(touched=["desk-0"], **fields)[0] == []


def test_requests_away_from_planned_work_are_left_out():
    """Guards against requests of another time, process or link that are counted for a stop."""
    before = PlannedWork(entry=(ENTRY, 1), kind=STOP, at=AT + 0.2)
    other = PlannedWork(entry=(ENTRY, 2), kind=STOP, at=AT)
    late = PlannedWork(entry=(ENTRY, 1), kind=RELOAD, at=AT - RELOAD_S - 0.1)
    for work in (before, other, late):
        assert judge(touched=["desk-0"], work=work) == ([], [])
    assert judge(touched=["desk-0"], is_direct=False) == ([], [])


def test_stops_are_determined_by_the_seed():
    """Guards against a seed whose stops cannot be reproduced, or that stops no entry."""
    plans = [draw_stops(seed, ["c1"], ["e1"]) for seed in (*range(20), *range(20))]
    assert plans[:20] == plans[20:]
    played = [plan for plan in plans if plan]
    assert 0 < len(played) < len(plans)
    assert all((plan[0].kind, plan[0].target) == ("term", "e1") for plan in played)
    kinds = Counter(fault.kind for plan in played for fault in plan)
    assert set(kinds) == {"term", "term_twice", "reload"}


def test_signals_wait_for_the_program():
    """Guards against a signal that only the interpreter meets, or that waits without an end."""
    stop = "import os, time; os.kill(os.getpid(), 19)"
    work = f"while time.process_time() < {2 * BEGIN_CPU_S}: pass"
    command = [sys.executable, "-S", "-c", f"{stop}\n{work}\ninput()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:  # noqa: S603
        os.waitpid(process.pid, os.WUNTRACED)
        assert not has_begun(process.pid)
        process.send_signal(signal.SIGCONT)
        while not has_begun(process.pid):
            assert process.poll() is None
        process.communicate(b"\n")
    assert has_begun(process.pid)


async def test_unread_bytes_are_seen_from_outside():
    """Guards against a request that was read and counts as unread, or the other way round."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    server = Address(*listener.socket.getsockname())
    caller = await trio.open_tcp_stream(server.ip, server.port)
    own = Address(*caller.socket.getsockname())
    assert read_unread_bytes(server, own) == 0
    await caller.send_all(b"12345")
    # The connection is not accepted yet.
    assert read_unread_bytes(server, own) == 5
    accepted = await listener.accept()
    await accepted.receive_some(5)
    assert read_unread_bytes(server, own) == 0
    for stream in (caller, accepted, listener):
        await stream.aclose()
    assert read_unread_bytes(server, Address("127.0.0.1", 1)) is None


@pytest.fixture
def network():
    """Provide loopback addresses that no other run on this machine uses."""
    with claim_network() as claimed:
        yield claimed


@pytest.mark.parametrize("keeps", [False, True])
@pytest.mark.parametrize("reads", [False, True])
async def test_requests_that_a_stopped_entry_drops_are_found(keeps, reads, network, tmp_path):
    """Guards against callers that miss what an entry drops when it closes its connections."""
    ledger = Ledger(account="acme", key="secret")
    fleet = Fleet(network=network, folder=tmp_path, list_address=None, proxy=None)
    rng = random.Random(1)
    operators = Operators(ledger=ledger, fleet=fleet, rng=rng)
    callers = Callers(ledger=ledger, fleet=fleet, operators=operators, rng=rng, prefix="direct")
    direct = DirectCallers(callers=callers, fleet=fleet, rng=rng)

    async def drop(stream):
        if reads:
            await stream.receive_some(65536)
        await trio.sleep(2 * LOST_S)
        reset_stream(stream)

    address = fleet.bound_request_address(ENTRY)
    listeners = await trio.open_tcp_listeners(address.port, host=address.ip)
    work = PlannedWork(entry=(ENTRY, 0), kind=STOP, at=trio.current_time())
    fleet.planned.append(work)
    async with trio.open_nursery() as nursery:
        process = trio.CancelScope()

        async def run_process():
            with process:
                await trio.serve_listeners(drop, listeners)

        nursery.start_soon(run_process)
        nursery.start_soon(direct.call_on_kept if keeps else direct.call_once_each, ENTRY, 0.01)
        while not any(attempt.failure for attempt in ledger.attempts.values()):
            await trio.testing.wait_all_tasks_blocked(0.01)
        process.cancel()
        while not work.refused:
            await trio.testing.wait_all_tasks_blocked(0.01)
        nursery.cancel_scope.cancel()
    lines = judge_planned_work(fleet.planned, [], ledger)
    assert len(lines) == 1 and "refused connection" in lines[0]
    assert bool(ledger.violations) == reads
    assert ("not read, reset" in lines[0]) != reads

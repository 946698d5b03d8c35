"""Tests of the soak test: checks, fault plan, proxy, and a run of one short seed."""

import errno
import os
import random
from collections import Counter

import msgspec
import pytest
import trio
import trio.testing

from bench.soak.__main__ import read_regression_seeds
from bench.soak.callers import Operators
from bench.soak.crashing import MAX_ARRIVALS, WINDOW_S, count_late
from bench.soak.faults import Injector
from bench.soak.faulty_host import DISK_FAULTS, install_faults
from bench.soak.fleet import CONTROL, ENTRIES, Fleet
from bench.soak.full_disks import check_full_disks, draw_restarts, draw_turns
from bench.soak.ledger import Attempt, Run, compute_seal
from bench.soak.limits import NamedLimit
from bench.soak.networks import claim_network
from bench.soak.plan import draw_disk_faults, draw_signals, make_plan
from bench.soak.proxy import Proxy
from bench.soak.run import run_seed
from bench.soak.stops import draw_stops
from bench.soak.takeouts import IN, OUT, TakeoutOperator, check_takeout
from bench.tests.helpers import SECONDS, make_ledger
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address
from marigoldtrail.storage import open_folder
from marigoldtrail.timers import Timers

# The first of them plays planned stops in series after its faults, the other one full disks.
SEEDS = (7, 1)
FULL, BROKEN = errno.ENOSPC, errno.EIO
PLAN = {"control": ["c1", "c2"], "entries": ["e1"], "upstreams": ["u1"]}


def make_attempt(ledger, *, may_repeat=False, status=0):
    attempt = Attempt(
        request_id="a", path="/order/a", body=b"b", may_repeat=may_repeat, entry=("e", 1)
    )
    ledger.record_attempt(attempt)
    if status:
        ledger.check_status(attempt, status)
    return attempt


def run(**fields):
    values = {"request_id": "a", "path": "/order/a", "account": "acme"}
    return Run(**{**values, "body": b"b", **fields})


def test_correct_run_has_no_violations():
    """Guards against checks that report correct behaviour."""
    ledger = make_ledger()
    attempt = make_attempt(ledger)
    ledger.record_run(run(), {"x-request-id": "a"})
    ledger.check_status(attempt, 200)
    ledger.check_answer(attempt, {"x-response-seal": compute_seal("a", b"whole")}, b"whole")
    ledger.check_stream(attempt, [0, 1, 2], 3)
    ledger.sent[3] = ledger.accepted[3] = b"3"
    ledger.check_configuration(3, b"3")
    ledger.check_served_version(("e", 1), 3, 3)
    assert ledger.violations == []


def test_duplicate_run_of_an_order_is_reported():
    """Guards against a duplicate run that the checks miss."""
    ledger = make_ledger()
    make_attempt(ledger)
    ledger.record_run(run(), {})
    ledger.record_run(run(), {})
    assert ledger.violations == ["a: runs 2 times"]


def test_false_refusals_are_reported():
    """Guards against a refusal of a request that ran before or runs later that the checks miss."""
    for is_run_first in (True, False):
        ledger = make_ledger()
        attempt = make_attempt(ledger)
        if is_run_first:
            ledger.record_run(run(), {})
        ledger.check_status(attempt, 503)
        if not is_run_first:
            ledger.record_run(run(), {})
        assert len(ledger.violations) == 1


def test_altered_requests_are_reported():
    """Guards against altered or unknown requests, and forwarded keys, that the checks miss."""
    for fields, headers in (
        ({"path": "/other"}, {}),
        ({"body": b"other"}, {}),
        ({"account": "other"}, {}),
        ({"request_id": "unknown"}, {}),
        ({}, {"authorization": "Token secret"}),
    ):
        ledger = make_ledger()
        make_attempt(ledger)
        ledger.record_run(run(**fields), headers)
        assert len(ledger.violations) == 1


def test_wrong_answers_are_reported():
    """Guards against wrong answers, incomplete streams and false refusals that the checks miss."""
    ledger = make_ledger()
    attempt = make_attempt(ledger, may_repeat=True)
    ledger.check_answer(attempt, {"x-response-seal": compute_seal("b", b"whole")}, b"whole")
    ledger.check_stream(attempt, [0, 2], 3)
    ledger.check_stream(attempt, [0, 1], 3)
    ledger.check_stream(attempt, [0, 1, 1, 2], 3)
    ledger.check_status(attempt, 404)
    assert len(ledger.violations) == 5


def test_lost_configurations_are_reported():
    """Guards against a lost, altered or reverted configuration that the checks miss."""
    ledger = make_ledger()
    ledger.sent.update({3: b"3", 4: b"4"})
    ledger.accepted[4] = b"4"
    ledger.check_configuration(3, b"3")
    ledger.check_configuration(4, b"other")
    ledger.check_served_version(("e", 1), 3, 4)
    assert len(ledger.violations) == 3


def test_requests_over_a_limit_are_counted():
    """Guards against an upstream that gets more than it takes, which the checks miss."""
    limit = NamedLimit(requests_per_s=2.0)
    counts = [limit.record_request(number / 10) for number in range(100)]
    assert set(counts[:30]) == {0}
    assert max(counts) > limit.max_requests
    limit = NamedLimit(requests_per_s=2.0)
    assert max(limit.record_request(number / 2) for number in range(100)) <= limit.max_requests


def test_plan_is_determined_by_the_seed():
    """Guards against a seed whose faults cannot be reproduced."""
    plans = [make_plan(seed, 20.0, **PLAN) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    assert all(a.at <= b.at for a, b in zip(plans[0], plans[0][1:], strict=False))
    assert sum(fault.kind == "wipe" for fault in plans[0]) <= 1


def test_new_kinds_of_faults_leave_others_as_they_were(monkeypatch):
    """Guards against a new kind of fault that changes what a seed that has failed once does."""
    seed = next(seed for seed in range(9) if draw_signals(seed, 60.0, ["c1"]))
    plan = make_plan(seed, 60.0, **PLAN)
    added = draw_disk_faults(seed, 60.0, PLAN["control"])
    added += draw_signals(seed, 60.0, PLAN["control"] + PLAN["entries"])
    monkeypatch.setattr("bench.soak.plan.draw_disk_faults", lambda *_: [])
    monkeypatch.setattr("bench.soak.plan.draw_signals", lambda *_: [])
    others = make_plan(seed, 60.0, **PLAN)
    assert others != plan
    assert sorted(others + added, key=lambda fault: fault.at) == plan


def test_all_kinds_of_failing_disks_are_drawn():
    """Guards against a kind of failing disk that no seed plays."""
    kinds = {fault.kind for seed in range(50) for fault in make_plan(seed, 9.0, **PLAN)}
    assert kinds >= set(DISK_FAULTS)
    restarts = [draw_restarts(seed, CONTROL) for seed in range(50)]
    assert {fault.kind for plan in restarts for fault in plan} == {*DISK_FAULTS, "kill"}
    assert {len(plan) for plan in restarts} == {0, 6, 7}
    turns = [draw_turns(seed, CONTROL) for seed in range(50)]
    assert {len(plan.at_once) for plan in turns} == {0, 2}
    assert all(len({fault.target for fault in plan.at_once}) in (0, 2) for plan in turns)


@pytest.mark.parametrize("has_small_files", [False, True])
async def test_short_runs_create_and_remove_log_files(has_small_files, network, tmp_path):
    """Guards against failing disks that no short run meets at the creation of a file."""
    segments = []
    async with trio.open_nursery() as nursery:
        proxy = Proxy(nursery=nursery)
        fleet = Fleet(
            network=network,
            folder=tmp_path,
            list_address=Address(f"{network}.5.1", 1),
            proxy=proxy,
            has_small_files=has_small_files,
        )
        operators = Operators(ledger=make_ledger(), fleet=fleet, rng=random.Random(1))
        try:
            await fleet.start()
            for _ in range(30):
                assert await operators.send_next(30.0)
            segments = sorted(path.name for path in tmp_path.rglob("control-1/config/log/*.log"))
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    first = f"{1:020d}.log"
    assert (first not in segments and len(segments) > 1) == has_small_files
    assert (segments == [first]) != has_small_files


@pytest.fixture
def faulty_folder(tmp_path, monkeypatch):
    """Provide a folder whose calls fail as a file says, and that file."""
    for name in ("fsync", "replace", "ftruncate", "write"):
        # Restores the call after the test.
        monkeypatch.setattr(os, name, getattr(os, name))
    folder, control = tmp_path / "data", tmp_path / "faults"
    folder.mkdir()
    install_faults(str(control), str(folder))
    return folder, control


def use_calls(folder):
    """Make each wrapped call once; return the errors of those that fail, and the file's content."""
    errors = {}
    (folder / "source").write_bytes(b"")
    file = os.open(folder / "file", os.O_RDWR | os.O_CREAT | os.O_TRUNC)
    opened = os.open(folder, os.O_RDONLY)
    for name, use in (
        ("write", lambda: os.write(file, b"12345678"[: os.write(file, b"1234")])),
        ("fsync", lambda: os.fsync(file)),
        ("fsync of the folder", lambda: os.fsync(opened)),
        ("replace", lambda: os.replace(folder / "source", folder / "target")),
        ("ftruncate", lambda: os.ftruncate(file, 1)),
    ):
        try:
            use()
        except OSError as exc:
            errors[name] = exc.errno
    os.close(file)
    os.close(opened)
    return errors, (folder / "file").read_bytes()


@pytest.mark.parametrize(
    ("kind", "errors", "content"),
    [
        ("sync_error", {"fsync": BROKEN}, b"1"),
        ("sync_full", {"fsync": FULL}, b"1"),
        ("folder_sync_error", {"fsync of the folder": BROKEN}, b"1"),
        ("rename_error", {"replace": BROKEN}, b"1"),
        ("truncate_error", {"ftruncate": BROKEN}, b"12341234"),
        ("short_write", {"write": FULL}, b"1"),
        ("torn_append", {"write": FULL, "ftruncate": BROKEN}, b"12"),
        (
            "failing_disk",
            {
                "write": FULL,
                "fsync": BROKEN,
                "fsync of the folder": BROKEN,
                "replace": BROKEN,
                "ftruncate": BROKEN,
            },
            b"12",
        ),
    ],
)
def test_calls_fail_as_the_file_says(kind, errors, content, faulty_folder):
    """Guards against a fault that lets another call fail, has no effect, or does not end."""
    folder, control = faulty_folder
    assert use_calls(folder) == ({}, b"1")
    control.write_text(" ".join(DISK_FAULTS[kind]))
    assert use_calls(folder) == (errors, content)
    other = folder.parent / "other"
    other.mkdir()
    assert use_calls(other) == ({}, b"1")
    control.write_text("")
    assert use_calls(folder) == ({}, b"1")


@pytest.mark.parametrize("kind", DISK_FAULTS)
async def test_failing_calls_reach_the_disk_of_a_host(kind, faulty_folder):
    """Guards against a disk of the product that makes its calls in a way that is not wrapped."""
    folder, control = faulty_folder

    async def use_disk():
        results = [
            await disk.append("new/a", b"first"),
            await disk.sync("new/a"),
            await disk.append("log", b"second"),
            await disk.sync("log"),
            await disk.write_atomic("vote", b"third"),
            await disk.truncate("log", 2),
        ]
        return [result for result in results if isinstance(result, Failure)]

    disk = open_folder(folder, timers=Timers())
    assert await disk.append("log", b"begin") is None
    control.write_text(" ".join(DISK_FAULTS[kind]))
    assert await use_disk()
    control.write_text("")
    assert await use_disk() == []
    disk.close()


async def test_overlapping_faults_of_a_disk_end_one_by_one(tmp_path):
    """Guards against a fault of a disk that ends with another one of the same host."""
    fleet = Fleet(network="127.0", folder=tmp_path, list_address=None, proxy=None)
    control = tmp_path / f"{CONTROL[0]}.disk"
    for kind in ("sync_error", "torn_append", "sync_error"):
        fleet.begin_disk_fault(CONTROL[0], kind)
    fleet.end_disk_fault(CONTROL[0], "sync_error")
    assert control.read_text().split() == ["sync-error", "truncate", "write"]
    fleet.end_disk_fault(CONTROL[0], "sync_error")
    fleet.end_disk_fault(CONTROL[0], "torn_append")
    assert control.read_text() == ""


async def test_changes_that_are_refused_after_full_disks_are_reported(autojump_clock):
    """Guards against a site that accepts no change after its disks were full, unseen."""

    class Operators:
        def __init__(self, accepts):
            self.accepts = accepts

        async def run(self):
            await trio.sleep_forever()

        async def send_next(self, timeout_s):
            return self.accepts

    class Disks(Injector):
        async def inject(self, fault):
            self.counts[fault.target] += 1
            await trio.sleep(fault.duration_s)

    seed = next(seed for seed in range(50) if draw_turns(seed, CONTROL).at_once)
    turns = draw_turns(seed, CONTROL)
    for accepts in (True, False):
        ledger, injector = make_ledger(), Disks(fleet=None, platform=None, proxy=None)
        await check_full_disks(seed, injector, Operators(accepts), ledger)
        assert len(ledger.violations) == (not accepts)
        faults = [*turns.in_turn, *turns.at_once]
        assert injector.counts == Counter(fault.target for fault in faults)


async def test_proxy_faults_affect_connections(network):
    """Guards against proxy faults that have no effect."""
    async with trio.open_nursery() as nursery:
        proxy = Proxy(nursery=nursery)

        async def echo(stream):
            try:
                async for data in stream:
                    await stream.send_all(data)
            except trio.BrokenResourceError:
                # The proxy has reset the connection.
                pass

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        advertised = Address(f"{network}.0.1", 7001)
        await proxy.forward(advertised, Address("127.0.0.1", port))

        stream = await trio.open_tcp_stream(advertised.ip, advertised.port)
        await stream.send_all(b"one")
        assert await stream.receive_some(10) == b"one"
        for fields in ({"holds_requests": True}, {"holds_answers": True}):
            proxy.set_link(advertised.ip, **fields)
            await stream.send_all(b"two")
            with trio.move_on_after(0.05) as scope:
                await stream.receive_some(10)
            assert scope.cancelled_caught
            proxy.heal(advertised.ip)
            assert await stream.receive_some(10) == b"two"
        proxy.reset(advertised.ip)
        try:
            data = await stream.receive_some(10)
        except trio.BrokenResourceError:
            data = None
        assert data is None
        proxy.set_link(advertised.ip, is_cut=True)
        stream = await trio.open_tcp_stream(advertised.ip, advertised.port)
        try:
            data = await stream.receive_some(10)
        except trio.BrokenResourceError:
            data = None
        assert data is None
        nursery.cancel_scope.cancel()


async def test_requests_in_a_data_centre_that_was_taken_out_are_reported(autojump_clock):
    """Guards against a late order that undid the last one and that the check misses."""
    for last, runs, count in ((OUT, 1, 1), (OUT, 0, 0), (IN, 1, 0), ("", 1, 0)):
        ledger, seen = make_ledger(), []

        class Operator(TakeoutOperator):
            async def send(self, method, *, timeout_s=0.0):
                return method == IN

        async def send_requests(seen=seen, runs=runs):
            seen.extend([None] * runs)

        operator = Operator(fleet=None, count_runs=lambda seen=seen: len(seen), rng=None)
        operator.last = last
        await check_takeout(operator, send_requests, ledger)
        assert len(ledger.violations) == count


def test_each_reload_changes_seeds_and_bounds(tmp_path):
    """Guards against reloads of settings that are as they were."""
    fleet = Fleet(
        network="127.90", folder=tmp_path, list_address=Address("127.90.0.1", 1), proxy=None
    )
    written = [msgspec.json.decode(fleet.write_settings("entry-1").read_bytes()) for _ in range(3)]
    for one, other in zip(written, written[1:], strict=False):
        assert one["seeds"] != other["seeds"]
        assert one["bounds"] != other["bounds"]


def test_short_seeds_play_what_follows_the_faults():
    """Guards against short seeds that leave out the planned stops or the full disks."""
    assert [bool(draw_stops(seed, CONTROL, ENTRIES)) for seed in SEEDS] == [True, False]
    assert [bool(draw_turns(seed, CONTROL).at_once) for seed in SEEDS] == [False, True]


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_seed_keeps_all_promises(seed, network, tmp_path):
    """Guards against broken promises of the complete system with real processes and signals."""
    outcome = await run_seed(seed, SECONDS, network=network, folder=tmp_path)
    assert outcome.violations == []
    assert outcome.answers.total() > 0 and outcome.injected.total() > 0


def test_concurrent_runs_have_separate_networks():
    """Guards against address conflicts between concurrent test runs on one machine."""
    with claim_network() as one, claim_network() as other:
        assert one != other
    with claim_network() as again:
        assert again in (one, other)


def test_regression_seeds_can_be_read():
    """Guards against a file of seeds that cannot be parsed."""
    assert all(seed >= 0 and seconds > 0 for seed, seconds in read_regression_seeds())


def test_order_that_goes_on_to_crash_upstreams_is_counted():
    """Guards against a soak that passes although nothing holds a crashing order off."""
    crashes = [0.4 * number for number in range(25)]
    assert count_late(crashes) > MAX_ARRIVALS
    assert count_late([*crashes[:3], crashes[2] + WINDOW_S + 1]) == 1
    assert count_late(crashes[:2]) == 0

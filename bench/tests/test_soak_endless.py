"""Tests of the soak test: memory of the processes, and answers without end."""

import os
import subprocess
import sys

import h11
import msgspec
import pytest
import trio
import trio.testing

from bench.soak.endless import KINDS, EndlessTime, draw_endless, judge_endless
from bench.soak.endless_answers import ANSWERS, BLOCK_BYTES, REFUSAL, send_endless
from bench.soak.fleet import CONTROL, ENTRIES, Fleet
from bench.soak.ledger import Attempt
from bench.soak.memory import BYTES_PER_MB, LIMITS_MB, MemoryWatch, draw_limits, read_peak_mb
from bench.soak.run import ENDLESS, run_seed
from bench.tests.helpers import SECONDS, SERVICES, make_ledger

# Lets one engine, then all upstreams of the plain service send without end, with 160 MB for a host.
ENDLESS_SEED = 9
ALL_SERVICES = {**SERVICES, "board-3": "board"}


def test_process_over_its_memory_is_reported_once():
    """Guards against a process over its limit that is missed or reported again and again."""
    limits_mb = {"entry": 1_000_000, "control": 1}
    ledger = make_ledger()
    watch = MemoryWatch(ledger=ledger, limits_mb=limits_mb)
    watch.record("entry-1", "entry", os.getpid())
    assert ledger.violations == []
    watch.record("control-1", "control", os.getpid())
    watch.record("control-1", "control", os.getpid())
    assert len(ledger.violations) == 1
    assert watch.peaks_mb["entry"] == pytest.approx(watch.peaks_mb["control"], rel=0.1)


def test_peak_of_memory_is_that_of_the_kernel():
    """Guards against a peak in another unit, or that is forgotten when memory is given back."""
    before = read_peak_mb(os.getpid())
    # The kernel counts pages for each processor and adds them up now and then.
    error_mb = 10
    data = bytearray(b"x") * (300 * BYTES_PER_MB)
    with_data = read_peak_mb(os.getpid())
    del data
    assert 300 <= with_data <= before + 300 + error_mb
    assert abs(read_peak_mb(os.getpid()) - with_data) <= error_mb
    ended = subprocess.Popen([sys.executable, "-c", ""])
    ended.wait()
    assert read_peak_mb(ended.pid) == 0


def test_limits_of_memory_are_drawn_and_named_in_the_settings(tmp_path):
    """Guards against hosts that do not know their limit, and a limit that no seed has."""
    assert [draw_limits(seed) for seed in range(9)] == [draw_limits(seed) for seed in range(9)]
    for limits_mb in LIMITS_MB:
        assert limits_mb in [draw_limits(seed) for seed in range(20)]
        fleet = Fleet(
            network="127.0", folder=tmp_path, list_address=None, proxy=None, limits_mb=limits_mb
        )
        for name, role in ((CONTROL[0], "control"), (ENTRIES[0], "entry")):
            settings = msgspec.json.decode(fleet.write_settings(name).read_bytes())
            assert settings["memory_mb"] == limits_mb[role]


async def test_short_seed_with_endless_answers_stays_within_memory(network, tmp_path):
    """Guards against upstreams that send without end and take the memory or time of a host."""
    outcome = await run_seed(ENDLESS_SEED, SECONDS, network=network, folder=tmp_path, part=ENDLESS)
    assert outcome.violations == []
    assert outcome.injected["endless no_length"] > 0


def test_all_kinds_of_endless_answers_are_drawn():
    """Guards against a kind of endless answer that no seed plays."""
    plans = [draw_endless(seed, ALL_SERVICES) for seed in range(200)]
    assert plans == [draw_endless(seed, ALL_SERVICES) for seed in range(200)]
    drawn = {(played.service, played.kind) for plan in plans for played in plan}
    assert drawn == {(service, kind) for service, kinds in KINDS.items() for kind in kinds}
    assert {kind for kinds in KINDS.values() for kind in kinds} == set(ANSWERS)
    assert {len(p.targets) for plan in plans for p in plan if p.service == "desk"} == {1, 2}


@pytest.mark.parametrize("kind", ANSWERS)
async def test_endless_answers_go_on_as_http(kind, autojump_clock):
    """Guards against an endless answer that ends, or that is no HTTP response."""
    sender, receiver = trio.testing.memory_stream_pair()
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    conn.send(h11.EndOfMessage())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_endless, kind, sender, {"x-request-id": "a"})
        started = trio.current_time()
        received = 0
        while received < 5 * BLOCK_BYTES:
            data = bytes(await receiver.receive_some(BLOCK_BYTES))
            received += len(data)
            conn.receive_data(data)
            while not isinstance(event := conn.next_event(), type(h11.NEED_DATA)):
                if isinstance(event, h11.Response):
                    assert event.status_code == (503 if kind == REFUSAL else 200)
                    assert (b"x-request-id", b"a") in event.headers
                else:
                    assert isinstance(event, h11.Data)
        assert 0.1 <= trio.current_time() - started <= 0.2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("unserved", "count"), [({}, 0), ({"status": 503}, 1), ({"failure": "deadline"}, 1)]
)
def test_unserved_requests_beside_endless_answers_are_reported(unserved, count):
    """Guards against a host that serves nothing else while a faulty upstream sends, unseen."""
    ledger = make_ledger()
    for number in range(40):
        fields = {"status": 200, **(unserved if number < 10 else {})}
        ledger.record_attempt(
            Attempt(
                request_id=f"sound0-{number}",
                path="/plain/x",
                body=b"",
                may_repeat=True,
                entry=("e", 1),
                ended_at=1.0,
                **fields,
            )
        )
    played = EndlessTime(service="llm", kind=REFUSAL, targets=("llm-2",), entry="e")
    judge_endless(played, "sound0", [0.0], ledger)
    judge_endless(played, "sound1", [0.0], ledger)
    assert len(ledger.violations) == count

"""Test the behaviour of the stand-ins that other tests and the demo rely on."""

from functools import partial

import msgspec
import trio

from marigoldtrail.net import Address
from marigoldtrail.standins import (
    EffectService,
    Engine,
    HostList,
    Process,
    WeightStore,
    run_standin,
)
from marigoldtrail.standins.engine import Batch
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers

ADDRESS = Address("10.0.0.9", 9000)


def make_process(**options):
    return Process(name="p", timers=Timers(seed=1), **{"capacity": 8, **options})


async def start(nursery, standin, network):
    endpoint = network.endpoint(ADDRESS.ip)
    await nursery.start(partial(run_standin, standin, network=endpoint, address=ADDRESS))


async def ask(network, method, path, value=None):
    """Send one request; return status and decoded body."""
    body = msgspec.json.encode(value) if value is not None else b""
    stream = await network.endpoint("10.0.0.1").connect(ADDRESS)
    head = f"{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
    await stream.send_all(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
    answer = b""
    while chunk := await stream.receive_some():
        answer += chunk
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)


def test_cold_limit_doubles_with_each_full_round():
    """Guards against a cold start that does not end or that ends too early."""
    process = make_process(warm=False, cold_slots=2)
    limits = []
    while process.state != "warm":
        calls = [process.begin_call() for _ in range(process.limit)]
        limits.append(process.limit)
        for call in calls:
            process.finish_call(call, succeeded=True)
            process.finish_call(call, succeeded=True)
    assert limits == [2, 4] and process.cold_exceeded == process.running == 0


def test_calls_begun_before_cold_start_do_not_count():
    """Guards against calls from before the cold start that count towards its limit."""
    process = make_process()
    old = [process.begin_call() for _ in range(8)]
    process.turn_cold()
    new = process.begin_call()
    for call in old:
        process.finish_call(call, succeeded=True)
    assert (process.cold_exceeded, process.state) == (0, "cold")
    process.finish_call(new, succeeded=True)
    assert process.state == "warming" and process.running == 0
    process.limit = 1
    process.begin_call()
    assert process.begin_call() is None and (process.cold_exceeded, process.deaths) == (1, 1)


async def test_restart_breaks_connections_and_changes_the_instance(autojump_clock, nursery):
    """Guards against a restart that callers cannot detect."""
    network = MemoryNetwork(seed=1)
    service = EffectService(process=make_process(), timers=Timers(seed=1))
    await start(nursery, service, network)
    stream = await network.endpoint("10.0.0.1").connect(ADDRESS)
    _, before = await ask(network, "GET", "/load")
    service.process.kill()
    assert await stream.receive_some() == b""
    try:
        await network.endpoint("10.0.0.1").connect(ADDRESS)
        raise AssertionError("the connection was accepted")
    except ConnectionRefusedError:
        service.process.start_next_instance()
    await trio.sleep(0.1)
    _, after = await ask(network, "GET", "/load")
    assert (before["state"], after["state"]) == ("warm", "cold")
    assert before["instance"] != after["instance"]


async def test_malformed_calls_neither_run_nor_stop_the_service(autojump_clock, nursery):
    """Guards against a malformed request that stops the service or counts as a run."""
    network = MemoryNetwork(seed=1)
    service = EffectService(process=make_process(), timers=Timers(seed=1))
    await start(nursery, service, network)
    assert (await ask(network, "POST", "/cancel", {"attempt_id": "a1"}))[0] == 400
    assert (await ask(network, "POST", "/deposits"))[0] == 400
    assert service.runs_by_attempt == {} and (await ask(network, "GET", "/load"))[0] == 200


async def test_load_report_has_lag(autojump_clock):
    """Guards against load reports without lag: tests would then not cover stale reports."""
    process = make_process()
    process.report(lag_s=1.0)
    process.turn_cold()
    await trio.sleep(0.5)
    assert process.report(lag_s=1.0).state == "warm"
    await trio.sleep(1.0)
    assert process.report(lag_s=1.0).state == "cold"


async def test_batch_assigns_places_by_priority(autojump_clock, nursery):
    """Guards against an engine that ignores priorities or loses a place on cancellation."""
    batch = Batch(size=1)
    await batch.acquire(5)
    order = []

    async def run(priority):
        await batch.acquire(priority)
        order.append(priority)
        batch.release()

    with trio.move_on_after(1):
        await batch.acquire(0)
    for priority in (7, 1, 4):
        nursery.start_soon(run, priority)
    await trio.sleep(1)
    batch.release()
    await trio.sleep(1)
    assert order == [1, 4, 7]


async def test_order_is_executed_once_per_fencing_number(autojump_clock, nursery):
    """Guards against a repeated order that loads weights twice."""
    network = MemoryNetwork(seed=1)
    timers = Timers(seed=1)
    store = WeightStore(process=make_process(), timers=timers, concurrent_loads=1)
    engine = Engine(process=make_process(), timers=timers, load_weights=store.load)
    await start(nursery, engine, network)
    order = {"fencing": 3, "action": "load_model", "model": "m", "version": "1", "adapter": ""}
    for _ in range(2):
        assert await ask(network, "POST", "/orders", order) == (
            200,
            {"state": "done", "detail": ""},
        )
    assert store.loads == 1 and engine.process.models == ["m"] and len(engine.orders) == 1
    nursery.start_soon(store.load, "other")
    await trio.sleep(0.1)
    _, answer = await ask(network, "POST", "/orders", {**order, "fencing": 4, "model": "n"})
    assert answer["state"] == "refused" and engine.process.models == ["m"]
    assert (store.refused, store.max_running) == (1, 1)


async def test_host_list_is_published_with_lag(autojump_clock, nursery):
    """Guards against a host list without lag: tests would then not cover stale entries."""
    network = MemoryNetwork(seed=1)
    hosts = HostList(process=make_process(), timers=Timers(seed=1), lag_s=3.0)
    await start(nursery, hosts, network)
    hosts.set_host("a", "live")
    await trio.sleep(4)
    hosts.set_host("a", "leaving")
    listing = {"version": 2, "hosts": [{"host": "a", "state": "live"}]}
    assert await ask(network, "GET", "/hosts") == (200, listing)
    await trio.sleep(4)
    _, later = await ask(network, "GET", "/hosts")
    assert later == {"version": 3, "hosts": [{"host": "a", "state": "leaving"}]}

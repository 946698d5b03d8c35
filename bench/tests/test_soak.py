"""The soak: its checks find what they are for, its proxy disturbs, and one short seed holds."""

import pytest
import trio

from bench.soak.__main__ import read_seeds
from bench.soak.ledger import Attempt, Ledger, Run, seal_of
from bench.soak.networks import claim_network
from bench.soak.plan import make_plan
from bench.soak.proxy import Proxy
from bench.soak.run import run_seed
from marigoldtrail.net import Address

SEED = 7
SECONDS = 5.0
PLAN = {"control": ["c1", "c2"], "entries": ["e1"], "upstreams": ["u1"]}


def make_ledger():
    return Ledger(account="acme", key="secret")


def make_attempt(ledger, *, may_repeat=False, status=0):
    attempt = Attempt(
        request_id="a", path="/order/a", body=b"b", may_repeat=may_repeat, entry=("e", 1)
    )
    ledger.note_attempt(attempt)
    if status:
        ledger.note_status(attempt, status)
    return attempt


def run(**fields):
    values = {"request_id": "a", "path": "/order/a", "account": "acme"}
    return Run(**{**values, "body": b"b", **fields})


def test_proper_run_breaks_nothing():
    """Guards against checks that fail whatever happens."""
    ledger = make_ledger()
    attempt = make_attempt(ledger)
    ledger.note_run(run(), {"x-request-id": "a"})
    ledger.note_status(attempt, 200)
    ledger.note_answer(attempt, {"x-response-seal": seal_of("a", b"whole")}, b"whole")
    ledger.note_stream(attempt, [0, 1, 2], 3)
    ledger.sent[3] = ledger.accepted[3] = b"3"
    ledger.check_configuration(3, b"3")
    ledger.note_version_served(("e", 1), 3, 3)
    assert ledger.faults == []


def test_order_that_runs_twice_is_found():
    """Guards against a double run that the soak does not see."""
    ledger = make_ledger()
    make_attempt(ledger)
    ledger.note_run(run(), {})
    ledger.note_run(run(), {})
    assert ledger.faults == ["a: runs 2 times"]


def test_false_refusals_are_found():
    """Guards against a refusal of what has run, or runs later, that the soak does not see."""
    for is_run_first in (True, False):
        ledger = make_ledger()
        attempt = make_attempt(ledger)
        if is_run_first:
            ledger.note_run(run(), {})
        ledger.note_status(attempt, 503)
        if not is_run_first:
            ledger.note_run(run(), {})
        assert len(ledger.faults) == 1


def test_changed_requests_are_found():
    """Guards against requests that are changed, invented, or shown with the key."""
    for fields, headers in (
        ({"path": "/other"}, {}),
        ({"body": b"other"}, {}),
        ({"account": "other"}, {}),
        ({"request_id": "unknown"}, {}),
        ({}, {"authorization": "Token secret"}),
    ):
        ledger = make_ledger()
        make_attempt(ledger)
        ledger.note_run(run(**fields), headers)
        assert len(ledger.faults) == 1


def test_wrong_answers_are_found():
    """Guards against answers of others, torn streams and wrong denials."""
    ledger = make_ledger()
    attempt = make_attempt(ledger, may_repeat=True)
    ledger.note_answer(attempt, {"x-response-seal": seal_of("b", b"whole")}, b"whole")
    ledger.note_stream(attempt, [0, 2], 3)
    ledger.note_stream(attempt, [0, 1], 3)
    ledger.note_stream(attempt, [0, 1, 1, 2], 3)
    ledger.note_status(attempt, 404)
    assert len(ledger.faults) == 5


def test_lost_configurations_are_found():
    """Guards against an acknowledged configuration that is lost, changed or taken back."""
    ledger = make_ledger()
    ledger.sent.update({3: b"3", 4: b"4"})
    ledger.accepted[4] = b"4"
    ledger.check_configuration(3, b"3")
    ledger.check_configuration(4, b"other")
    ledger.note_version_served(("e", 1), 3, 4)
    assert len(ledger.faults) == 3


def test_plan_comes_from_the_seed():
    """Guards against a seed that can't be played again."""
    plans = [make_plan(seed, 20.0, **PLAN) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    assert all(a.at <= b.at for a, b in zip(plans[0], plans[0][1:], strict=False))
    assert sum(fault.kind == "wipe" for fault in plans[0]) <= 1


@pytest.fixture
def network():
    """Give a test loopback addresses that no other run on this machine uses."""
    with claim_network() as claimed:
        yield claimed


async def test_proxy_disturbs_connections(network):
    """Guards against a proxy whose faults change nothing."""
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


async def test_short_seed_keeps_all_promises(network, tmp_path):
    """Guards against faults of the whole system with real processes, links and signals."""
    outcome = await run_seed(SEED, SECONDS, network=network, folder=tmp_path)
    assert outcome.faults == []
    assert outcome.answers.total() > 0 and outcome.injected.total() > 0


def test_runs_at_the_same_time_have_networks_of_their_own():
    """Guards against addresses in use when the tests run twice on one machine."""
    with claim_network() as one, claim_network() as other:
        assert one != other
    with claim_network() as again:
        assert again in (one, other)


def test_failed_seeds_are_kept_with_their_causes():
    """Guards against a list of seeds that can't be read."""
    assert all(seed >= 0 and seconds > 0 for seed, seconds in read_seeds())

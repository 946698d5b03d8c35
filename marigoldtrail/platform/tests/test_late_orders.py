"""Orders of operators that a control host reads after their operator has left them."""

import pytest
import trio

from marigoldtrail.net import Address
from marigoldtrail.platform.tests.standin import DATA_CENTRES, OPERATOR_IP
from marigoldtrail.platform.tests.test_site import start_serving_site
from marigoldtrail.standins.client import HttpConnection

DATA_CENTRE = DATA_CENTRES[1]
PATH = f"/-/evacuations/{DATA_CENTRE}"
OPPOSITE = {"POST": "DELETE", "DELETE": "POST"}


async def order(site, number, method):
    reply = await site.http(f"{site.control[number]}:8628", method, PATH)
    return reply[0] if reply is not None else None


async def begin_order(site, number, method):
    """Send an order that does not arrive yet; return the operator's connection."""
    ip = site.control[number]
    stream = await site.network.endpoint(OPERATOR_IP).connect(Address(ip, 8628))
    await trio.sleep(0.1)
    site.network.cut(OPERATOR_IP, ip)
    await HttpConnection(stream=stream).send(method, PATH, [("host", "a.example")], b"")
    return stream


async def is_out(site):
    """Return whether the data centre is out of service at all entries."""
    await trio.sleep(1)
    site.seen.clear()
    for number in range(12):
        reply = await site.send_request("/plain/1", entry=number % 2, request_id=f"id-{number}")
        assert reply[0] == 200
    return not any(name.endswith("-1") for name, _ in site.seen)


def find_leader(site):
    return next(n for n, ip in enumerate(site.control) if site.hosts[ip].groups["config"].is_leader)


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("is_at_leader", [False, True])
async def test_order_that_its_operator_has_left_does_not_undo_a_later_one(
    autojump_clock, nursery, method, is_at_leader
):
    """Guards against a late order that undoes an acknowledged one, read by any control host."""
    site = await start_serving_site(nursery)
    leader = find_leader(site)
    late, other = (leader, (leader + 1) % 3) if is_at_leader else ((leader + 1) % 3, leader)
    assert await order(site, other, OPPOSITE[method]) == 200
    stream = await begin_order(site, late, method)
    await trio.sleep(1)
    await stream.aclose()
    assert await order(site, other, method) == 200
    await trio.sleep(0.5)
    assert await order(site, other, OPPOSITE[method]) == 200
    site.network.restore(OPERATOR_IP, site.control[late])
    assert await is_out(site) == (method == "DELETE")


async def test_order_that_a_cut_held_up_has_no_effect_without_a_close(autojump_clock, nursery):
    """Guards against a late order whose operator was lost and closed no connection."""
    site = await start_serving_site(nursery)
    leader = find_leader(site)
    late = (leader + 1) % 3
    ip = site.control[late]
    others = [other for other in site.control + site.entries if other != ip]
    for other in others:
        site.network.cut(ip, other)
    await begin_order(site, late, "DELETE")
    await trio.sleep(1)
    assert await order(site, leader, "DELETE") == 200
    assert await order(site, leader, "POST") == 200
    await trio.sleep(3)
    for other in [*others, OPERATOR_IP]:
        site.network.restore(ip, other)
    assert await is_out(site)


async def test_orders_are_accepted_again_after_a_cut(autojump_clock, nursery):
    """Guards against a control host that refuses orders for good after an interruption."""
    site = await start_serving_site(nursery)
    late = (find_leader(site) + 1) % 3
    ip = site.control[late]
    others = [other for other in site.control + site.entries if other != ip]
    for other in others:
        site.network.cut(ip, other)
    await trio.sleep(4)
    for other in others:
        site.network.restore(ip, other)
    await trio.sleep(0.5)
    assert await order(site, late, "POST") == 503
    await trio.sleep(3)
    assert await order(site, late, "POST") == 200


async def test_host_that_knows_no_leader_refuses_no_data_centre_for_good(autojump_clock, nursery):
    """Guards against an operator that gives an order up because of a host that has just started."""
    site = await start_serving_site(nursery)
    ip = site.control[0]
    await site.crash(ip)
    for other in [*site.control[1:], *site.entries]:
        site.network.cut(ip, other)
    await site.start_host(ip)
    await trio.sleep(1)
    assert await order(site, 0, "POST") == 503
    for other in [*site.control[1:], *site.entries]:
        site.network.restore(ip, other)
    await trio.sleep(5)
    assert await order(site, 0, "POST") == 200
    unknown = "/-/evacuations/nowhere"
    assert (await site.http(f"{ip}:8628", "POST", unknown))[0] == 404

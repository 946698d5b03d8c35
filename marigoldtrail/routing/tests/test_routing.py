"""Look-ups in routing tables and their validation."""

from collections import Counter

from marigoldtrail.routing import (
    ClientAccount,
    Route,
    RouteKind,
    RouteTable,
    Service,
    StageSpec,
    Target,
    build_index,
    check_table,
)
from marigoldtrail.routing.table import choose_service


def make_route(
    name="r", prefix="/", *, targets=None, timeout_s=1.0, stages=(), hostname="a.example"
):
    return Route(
        name=name,
        hostname=hostname,
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=timeout_s,
        target_latency_s=0.1,
        priority=0,
        targets=targets or (Target(service="s", weight=1.0),),
        max_attempts=1,
        stages=stages,
    )


def make_table(*routes, accounts=None):
    services = (Service(name="s", max_connections=4), Service(name="t", max_connections=4))
    return RouteTable(version=1, routes=routes, services=services, accounts=accounts)


def test_longest_prefix_wins_and_ports_are_ignored():
    """Guards against sending a request to the service of a shorter prefix."""
    index = build_index(make_table(make_route("short", "/a/"), make_route("long", "/a/b/")))
    assert index.find_route("A.example:8080", "/a/b/c").name == "long"
    assert index.find_route("a.example", "/a/c").name == "short"
    assert index.find_route("a.example", "/b") is None
    assert index.find_route("b.example", "/a/b/c") is None


def test_key_identifies_its_account():
    """Guards against a request counted for another account, or accepted with a removed key."""
    accounts = (ClientAccount(name="x", keys=("k1", "k2")), ClientAccount(name="y", keys=()))
    index = build_index(make_table(make_route(), accounts=accounts))
    assert index.requires_keys and index.find_account("k2").name == "x"
    assert index.find_account("k3") is None
    assert not build_index(make_table(make_route())).requires_keys


def test_targets_get_their_share_and_equal_ids_the_same_target():
    """Guards against ignored weights, and a request that changes its service between attempts."""
    targets = (Target(service="s", weight=90.0), Target(service="t", weight=10.0))
    route = make_route(targets=targets)
    chosen = Counter(choose_service(route, f"id-{n}") for n in range(2000))
    assert 140 < chosen["t"] < 260
    assert choose_service(route, "id-1") == choose_service(route, "id-1")
    all_to_first = make_route(
        targets=(Target(service="s", weight=1.0), Target(service="t", weight=0.0))
    )
    assert {choose_service(all_to_first, f"id-{n}") for n in range(100)} == {"s"}


def test_invalid_tables_are_refused():
    """Guards against a table with unknown services, no positive weight, or no timeout."""
    unknown = make_route(targets=(Target(service="none", weight=1.0),))
    assert "unknown service" in check_table(make_table(unknown))[0]
    assert "2 routes" in check_table(make_table(make_route("a"), make_route("b")))[0]
    weightless = make_route(targets=(Target(service="s", weight=0.0),))
    assert "add up to 0" in check_table(make_table(weightless))[0]
    assert "timeout" in check_table(make_table(make_route(timeout_s=0.0)))[0]
    accounts = (ClientAccount(name="x", keys=("k",)), ClientAccount(name="y", keys=("k",)))
    faults = check_table(make_table(make_route(), accounts=accounts))
    assert "more than one client account" in faults[0] and "'k'" not in faults[0]


def test_cyclic_and_unknown_stages_are_refused():
    """Guards against requests that hang because no stage can start."""
    stages = (StageSpec(service="s", after=(1,)), StageSpec(service="t", after=(0,)))
    assert "wait for each other" in check_table(make_table(make_route(stages=stages)))[0]
    unknown = (StageSpec(service="s", after=(3,)),)
    assert "unknown stage" in check_table(make_table(make_route(stages=unknown)))[0]
    fine = (StageSpec(service="s"), StageSpec(service="t", after=(0,)))
    assert check_table(make_table(make_route(stages=fine))) == []

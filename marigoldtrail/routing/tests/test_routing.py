"""Look-ups and checks of routing tables."""

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
from marigoldtrail.routing.table import choose_target


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
    """Guards against a request run by the service of a shorter prefix."""
    index = build_index(make_table(make_route("short", "/a/"), make_route("long", "/a/b/")))
    assert index.find_route("A.example:8080", "/a/b/c").name == "long"
    assert index.find_route("a.example", "/a/c").name == "short"
    assert index.find_route("a.example", "/b") is None
    assert index.find_route("b.example", "/a/b/c") is None


def test_keys_belong_to_one_account():
    """Guards against a request counted as another account's, or accepted with a removed key."""
    accounts = (ClientAccount(name="x", keys=("k1", "k2")), ClientAccount(name="y", keys=()))
    index = build_index(make_table(make_route(), accounts=accounts))
    assert index.needs_keys and index.account_of("k2").name == "x"
    assert index.account_of("k3") is None
    assert not build_index(make_table(make_route())).needs_keys


def test_targets_get_their_share_and_a_request_keeps_its_target():
    """Guards against a split that ignores its weights, or moves a request between services."""
    targets = (Target(service="s", weight=90.0), Target(service="t", weight=10.0))
    route = make_route(targets=targets)
    chosen = Counter(choose_target(route, f"id-{n}") for n in range(2000))
    assert 140 < chosen["t"] < 260
    assert choose_target(route, "id-1") == choose_target(route, "id-1")
    nothing = make_route(targets=(Target(service="s", weight=1.0), Target(service="t", weight=0.0)))
    assert {choose_target(nothing, f"id-{n}") for n in range(100)} == {"s"}


def test_invalid_tables_are_refused():
    """Guards against a table in force that names nothing, divides by 0 or never ends."""
    unknown = make_route(targets=(Target(service="none", weight=1.0),))
    assert "unknown service" in check_table(make_table(unknown))[0]
    assert "2 routes" in check_table(make_table(make_route("a"), make_route("b")))[0]
    weightless = make_route(targets=(Target(service="s", weight=0.0),))
    assert "add up to 0" in check_table(make_table(weightless))[0]
    assert "timeout" in check_table(make_table(make_route(timeout_s=0.0)))[0]
    accounts = (ClientAccount(name="x", keys=("k",)), ClientAccount(name="y", keys=("k",)))
    faults = check_table(make_table(make_route(), accounts=accounts))
    assert "more than one client account" in faults[0] and "'k'" not in faults[0]


def test_stages_that_wait_for_each_other_are_refused():
    """Guards against requests that hang because no stage can begin."""
    stages = (StageSpec(service="s", after=(1,)), StageSpec(service="t", after=(0,)))
    assert "wait for each other" in check_table(make_table(make_route(stages=stages)))[0]
    unknown = (StageSpec(service="s", after=(3,)),)
    assert "unknown stage" in check_table(make_table(make_route(stages=unknown)))[0]
    fine = (StageSpec(service="s"), StageSpec(service="t", after=(0,)))
    assert check_table(make_table(make_route(stages=fine))) == []

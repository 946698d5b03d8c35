"""Findings about routing tables before they are sent, and differences between two tables."""

import msgspec
import pytest

from marigoldtrail.routing import ClientAccount, Limits, PieceSpec, Service, StageSpec, Target
from marigoldtrail.routing.config_check import (
    check_routing_config,
    check_version,
    compare_tables,
    estimate_stages_s,
)
from marigoldtrail.routing.tests.test_routing import make_route, make_table

replace = msgspec.structs.replace
PIECES = PieceSpec(
    slots=1,
    queue=2,
    batch=4,
    call_overhead_s=0.25,
    item_s=0.25,
    result_capacity_bytes=1e6,
    result_retention_s=4.0,
)
BOTH = (Target(service="s", weight=1.0), Target(service="t", weight=1.0))
SECRET = "k" * 40


def route(name="r", prefix="/", *, targets=BOTH, **fields):
    return make_route(name, prefix, targets=targets, **fields)


def staged(*after, timeout_s):
    """Return a table with stages of 0.5 s each that follow the given stages."""
    stages = tuple(StageSpec(service="p", after=others) for others in after)
    table = make_table(route(stages=stages, timeout_s=timeout_s))
    piece_service = Service(name="p", max_connections=4, pieces=PIECES)
    return replace(table, services=(*table.services, piece_service))


def accounts(*keys):
    return tuple(ClientAccount(name=f"a{n}", keys=item) for n, item in enumerate(keys))


CASES = {
    "sound": (make_table(route()), set()),
    "host name with a port": (
        make_table(route(hostname="a.example:80")),
        {("never-matches", "route 'r'")},
    ),
    "prefix without slash": (make_table(route(prefix="a")), {("never-matches", "route 'r'")}),
    "prefix with a query": (make_table(route(prefix="/a?b")), {("never-matches", "route 'r'")}),
    "empty prefix beside /": (
        make_table(route("r", ""), route("all", "/")),
        {("shadowed", "route 'r'")},
    ),
    "empty prefix beside / of another host": (
        make_table(route("r", ""), route("all", "/", hostname="b.example")),
        set(),
    ),
    "longer prefix beside /": (make_table(route("r", "/a"), route("all", "/")), set()),
    "target above timeout": (
        make_table(replace(route(), target_latency_s=1.5)),
        {("target-above-timeout", "route 'r'")},
    ),
    "gap above timeout": (
        make_table(replace(route(), max_gap_s=1.5)),
        {("gap-above-timeout", "route 'r'")},
    ),
    "chain of stages above timeout": (
        staged((), (0,), timeout_s=1.0),
        {("stages-above-timeout", "route 'r'")},
    ),
    "chain of stages above target": (
        staged((), (0,), timeout_s=1.1),
        {("stages-above-target", "route 'r'")},
    ),
    "stage at a service without pieces": (
        make_table(route(stages=(StageSpec(service="s"),))),
        {("stage-without-pieces", "route 'r'")},
    ),
    "service without routes": (
        make_table(route(targets=BOTH[:1])),
        {("unused-service", "service 't'")},
    ),
    "service with weight 0": (
        make_table(route(targets=(BOTH[0], Target(service="t", weight=0.0)))),
        {("unused-service", "service 't'")},
    ),
    "name of two routes": (
        make_table(route("r", "/a"), route("r", "/b")),
        {("repeated-name", "route 'r'")},
    ),
    "account without keys": (
        make_table(route(), accounts=accounts(("k",), ())),
        {("no-keys", "client account 'a1'")},
    ),
    "no account": (make_table(route(), accounts=()), {("no-keys", "table")}),
    "no account for public routes": (
        make_table(replace(route(), is_public=True), accounts=()),
        set(),
    ),
    # 40 bytes of key, 9 of host name, 1 of prefix.
    "head below the longest key": (
        replace(
            make_table(route(), accounts=accounts((SECRET,))), limits=Limits(max_header_bytes=49)
        ),
        {("head-too-small", "route 'r'")},
    ),
    "head as large as the key needs": (
        replace(
            make_table(route(), accounts=accounts((SECRET,))), limits=Limits(max_header_bytes=50)
        ),
        set(),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_warnings(name):
    """Guards against a likely mistake that is not reported, and against false warnings."""
    table, expected = CASES[name]
    found = check_routing_config(table)
    assert {(item.code, item.entry) for item in found} == expected
    assert all(item.severity == "warning" for item in found)
    assert SECRET not in str(found)


def test_errors_are_those_of_control_hosts():
    """Guards against a table that passes the check and is refused, and an error without entry."""
    unknown = make_table(route(targets=(Target(service="x", weight=1.0),)))
    same_rule = make_table(route("a"), route("b"))
    shared = make_table(route(), accounts=accounts((SECRET,), (SECRET,)))
    found = [check_routing_config(table) for table in (unknown, same_rule, shared)]
    assert [[item.entry for item in items] for items in found] == [["route 'r'"], *[["table"]] * 2]
    assert all(item.severity == "error" for items in found for item in items)
    assert SECRET not in str(found)


def test_stages_side_by_side_take_the_longest_chain():
    """Guards against adding up stages that run at the same time."""
    table = staged((), (), (0, 1), timeout_s=9.0)
    services = {service.name: service for service in table.services}
    assert estimate_stages_s(table.routes[0].stages, services) == 1.0


def test_version_must_be_higher_unless_nothing_changes():
    """Guards against sending a table that control hosts acknowledge and ignore."""
    table = make_table(route())
    changed = replace(table, limits=Limits(max_body_bytes=1))
    assert check_version(table, table) == []
    assert [item.code for item in check_version(table, changed)] == ["version-not-higher"]
    assert check_version(table, replace(changed, version=2)) == []


def test_differences_name_entry_and_field_and_hide_keys():
    """Guards against a change that is not shown, and API keys that appear in the output."""
    old = make_table(route("a", "/a"), route("b", "/b"), accounts=accounts((SECRET,)))
    new = make_table(
        route("a", "/a", timeout_s=2.0), route("c", "/c"), accounts=accounts(("other",))
    )
    found = compare_tables(old, new)
    assert [(item.entry, item.change, item.field) for item in found] == [
        ("route 'b'", "removed", ""),
        ("route 'c'", "added", ""),
        ("route 'a'", "changed", "timeout_s"),
        ("client account 'a0'", "changed", "keys"),
    ]
    assert str(found[2]) == "changed: route 'a': timeout_s: 1.0 -> 2.0"
    assert found[3].after == "1 keys, 1 added and 1 removed"
    assert SECRET not in str(found) and "other" not in str(found)
    assert compare_tables(old, old) == []
    assert [item.field for item in compare_tables(make_table(route()), old)][-1] == ""
    without = compare_tables(replace(old, accounts=None), replace(old, accounts=()))
    assert [item.field for item in without] == ["requires_keys"]

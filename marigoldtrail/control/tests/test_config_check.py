"""Findings about manifests before they are sent, and differences between two manifests."""

import copy
import json

import pytest

from marigoldtrail.control.config_check import (
    check_manifest_config,
    check_number,
    compare_manifests,
)

STAGE = {"name": "s", "kind": "service", "pool": "p", "expected_ms": 100}
UPSTREAM = {
    "name": "u",
    "pool": "p",
    "kind": "service",
    "address": "127.0.0.1:1",
    "data_centre": "d",
    "host": "h",
    "capacity": 1,
}
MANIFEST = {
    "number": 1,
    "pipelines": [{"name": "l", "stages": [STAGE, {**STAGE, "name": "t"}], "deadline_ms": 200}],
    "upstreams": [UPSTREAM],
}
OTHER = {**UPSTREAM, "name": "v", "pool": "q", "address": "127.0.0.1:2"}
THIRD = {**OTHER, "name": "w", "address": "127.0.0.1:3"}
SHORT = {**MANIFEST["pipelines"][0], "deadline_ms": 199}


def check(**changes):
    return check_manifest_config(json.dumps({**copy.deepcopy(MANIFEST), **changes}).encode())


CASES = {
    "sound": ({}, []),
    "deadline below the stages": (
        {"pipelines": [SHORT]},
        [("stages-above-deadline", "$.pipelines[0].deadline_ms")],
    ),
    "model without stages": (
        {"models": [{"name": "m", "version": "1"}]},
        [("unused-model", "$.models[0]")],
    ),
    "pool without stages": (
        {"upstreams": [UPSTREAM, OTHER, THIRD]},
        [("unused-pool", "$.upstreams[1]")],
    ),
    "link to nowhere": (
        {"links": [{"source": "d", "target": "e"}]},
        [("unused-link", "$.links[0]")],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_warnings(name):
    """Guards against a likely mistake that is not reported, and against false warnings."""
    changes, expected = CASES[name]
    checked, found = check(**changes)
    assert checked is not None
    assert [(item.code, item.entry) for item in found] == expected
    assert all(item.severity == "warning" for item in found)


def test_errors_are_those_of_control_hosts():
    """Guards against a manifest that passes the check and is refused."""
    checked, found = check(upstreams=[])
    assert checked is None
    assert {(item.severity, item.entry) for item in found} == {
        ("error", "$.pipelines[0].stages[0].pool"),
        ("error", "$.pipelines[0].stages[1].pool"),
    }


def test_number_must_be_higher_unless_nothing_changes():
    """Guards against finding out only by sending that another manifest has the number."""
    old, same, lower = check(number=2)[0], check(number=2)[0], check()[0]
    other, next_one = check(number=2, pipelines=[])[0], check(number=3)[0]
    assert check_number(old, same) == check_number(old, next_one) == []
    for checked in (lower, other):
        assert [item.code for item in check_number(old, checked)] == ["version-not-higher"]


def test_differences_name_entry_and_field():
    """Guards against a change that is not shown."""
    old = check(links=[{"source": "d", "target": "e"}])[0].manifest
    new = check(
        pipelines=[SHORT],
        upstreams=[UPSTREAM, OTHER],
        client_accounts=[{"name": "a"}],
        weight_store={"concurrent_loads": 3},
    )[0].manifest
    assert [str(item) for item in compare_manifests(old, new)] == [
        "changed: pipeline 'l': deadline_ms: 200 -> 199",
        "added: upstream 'v'",
        "added: client account 'a'",
        "removed: link 'd to e'",
        "changed: weight_store: concurrent_loads: 2 -> 3",
    ]
    assert compare_manifests(old, old) == []

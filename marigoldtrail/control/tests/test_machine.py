"""Submission outcomes, idempotent commands and snapshots of the state machine."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldtrail.control import ConfigMachine, check_manifest
from marigoldtrail.control.commands import (
    AssignOwners,
    MarkOrder,
    OwnerChange,
    PlanOrder,
    PutManifest,
    PutService,
    encode_command,
)
from marigoldtrail.control.tests.harness import manifest


def put_manifest(number, content, operator="eve"):
    return PutManifest(
        number=number,
        digest=content,
        document=content.encode(),
        concurrent_loads=2,
        operator=operator,
        wall_ms=number,
    )


def apply_all(machine, *commands, start=1):
    return [
        machine.apply(index, encode_command(command))
        for index, command in enumerate(commands, start=start)
    ]


def test_outcome_follows_the_number():
    """Guards against two accepted submissions of one number, and a resend with another outcome."""
    machine = ConfigMachine()
    replies = apply_all(
        machine,
        put_manifest(2, "x", "ann"),
        put_manifest(2, "y", "ben"),
        put_manifest(1, "z", "ben"),
        put_manifest(3, "y", "ben"),
        put_manifest(2, "x", "ann"),
    )
    outcomes = [reply.outcome for reply in replies]
    assert outcomes == ["accepted", "conflict", "outdated", "accepted", "repeated"]
    assert (replies[1].winner_operator, replies[1].digest) == ("ann", "x")
    assert replies[2].number == 2
    assert machine.state.manifest.number == 3 and machine.state.manifest_index == 4


def test_each_target_has_its_own_numbers():
    """Guards against refusing a takeout of one target because of the number of another."""
    machine = ConfigMachine()

    def make_command(name, state, number):
        return PutService(
            kind="host", name=name, state=state, number=number, operator="eve", wall_ms=0
        )

    replies = apply_all(
        machine,
        make_command("a", "out", 5),
        make_command("b", "out", 1),
        make_command("a", "in", 5),
        make_command("a", "in", 4),
        make_command("a", "in", 6),
        make_command("a", "out", 5),
    )
    outcomes = [reply.outcome for reply in replies]
    assert outcomes == ["accepted", "accepted", "conflict", "outdated", "accepted", "repeated"]
    assert machine.state.services["host/a"].current.state == "in"


@given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from("xyz")), max_size=30))
def test_manifest_never_reverts(submissions):
    """Guards against any order of submissions that lowers the number or changes a winner."""
    machine = ConfigMachine()
    winners = {}
    highest = 0
    for index, (number, content) in enumerate(submissions, start=1):
        reply = machine.apply(index, encode_command(put_manifest(number, content)))
        if reply.outcome == "accepted":
            assert number > highest
            highest = number
            winners[number] = content
        assert machine.state.manifest.number == highest
        assert (reply.outcome == "repeated") <= (winners.get(number) == content)
        copy = ConfigMachine()
        copy.restore(machine.snapshot())
        assert copy.state == machine.state


def test_owner_change_names_the_epoch_that_it_replaces():
    """Guards against a resent or outdated assignment that displaces a newer owner."""
    machine = ConfigMachine()
    first = AssignOwners(changes=[OwnerChange(partition=7, host="a", previous_epoch=0)])
    move = AssignOwners(changes=[OwnerChange(partition=7, host="b", previous_epoch=1)])
    results = apply_all(machine, first, first, move, move, first)
    assert [len(result) for result in results] == [1, 0, 1, 0, 0]
    assert (machine.state.owners[7].host, machine.state.owners[7].epoch) == ("b", 3)


def plan_order(upstream, previous_fencing=0):
    return PlanOrder(
        upstream=upstream,
        action="load_model",
        model="quill",
        version="v1",
        previous_fencing=previous_fencing,
        wall_ms=0,
    )


def test_orders_are_limited_and_idempotent():
    """Guards against exceeding the load limit, two open orders to one engine, and a closed order
    that a resent command opens again."""
    machine = ConfigMachine()
    done = MarkOrder(upstream="a", fencing=2, state="done")
    results = apply_all(
        machine,
        put_manifest(1, "x"),
        plan_order("a"),
        plan_order("a"),
        plan_order("b"),
        plan_order("c"),
        done,
        MarkOrder(upstream="a", fencing=2, state="sent"),
        plan_order("a"),
        plan_order("c"),
    )
    planned = [result is not None for result in results[1:5]]
    assert planned == [True, False, True, False]
    assert machine.state.orders["a"].state == "done"
    assert results[7] is None and results[8].fencing == 9
    assert machine.loads_running() == 2


def test_unknown_command_is_not_skipped():
    """Guards against replicas that diverge because one of them skips a command."""
    with pytest.raises(Exception, match="Invalid value"):
        ConfigMachine().apply(1, b"\x81\xa4type\xa3New")


def test_equal_content_has_equal_digest():
    """Guards against a conflict between manifests that differ only in whitespace or key order."""
    value = json.loads(manifest(1))
    spaced = json.dumps(dict(reversed(value.items())), indent=4).encode()
    assert check_manifest(spaced).digest == check_manifest(manifest(1)).digest


def test_all_reference_faults_are_reported():
    """Guards against accepting a manifest with references to undefined objects."""
    value = json.loads(manifest(1))
    value["pipelines"][0]["stages"][0]["pool"] = "nowhere"
    value["pipelines"][0]["data_centres"] = ["moon"]
    value["upstreams"][1]["name"] = "llm-1"
    value["upstreams"][2]["models"] = ["ghost"]
    value["upstreams"][3]["cold_slots"] = 9
    value["models"][0]["min_warm"] = 7
    paths = {fault.path for fault in check_manifest(json.dumps(value).encode())}
    assert paths == {
        "$.pipelines[0].stages[0].pool",
        "$.pipelines[0].data_centres[0]",
        "$.upstreams[1].name",
        "$.upstreams[2].models[0]",
        "$.upstreams[3].cold_slots",
        "$.models[0].min_warm",
    }


def test_documents_that_nodes_cannot_decode_are_rejected():
    """Guards against accepting a manifest that nodes cannot decode."""
    for data in (
        manifest(1).replace(b'"number": 1', b'"number": 1.0'),
        manifest(1).replace(b'"capacity": 8', b'"capacity": 8, "price": 1e999'),
        manifest(1).replace(b'"quotes"', b'"\\ud800"'),
        manifest(2**60),
    ):
        faults = check_manifest(data)
        assert isinstance(faults, list) and faults[0].message

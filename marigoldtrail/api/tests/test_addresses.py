"""Tests of the selection and ranking of entry addresses."""

import random

from marigoldtrail.api import rank_addresses
from marigoldtrail.api.tests.helpers import make_node, make_view


def rank(view, data_centre="nbo-1", seed=1):
    return [entry.host for entry in rank_addresses(view, random.Random(seed), data_centre)]


async def test_unfit_entries_are_never_named():
    """Guards against directing callers to entries that are out, leaving, draining or suspect."""
    nodes = [
        make_node("a", "nbo-1"),
        make_node("b", "nbo-1", state="suspect"),
        make_node("c", "nbo-1", state="draining"),
        make_node("d", "nbo-1", state="dead"),
        make_node("e", "nbo-1", roles=["control"]),
        make_node("f", "nbo-2"),
        make_node("g", "nbo-3"),
        make_node("h", "nbo-3"),
    ]
    out = [("data_centre", "nbo-2"), ("host", "g")]
    view = make_view(nodes, out=out, leaving=["h"])
    for seed in range(20):
        assert rank(view, seed=seed) == ["a"]


async def test_near_entries_come_first_and_callers_spread():
    """Guards against ranking distant entries first and sending all callers to the same entry."""
    places = {"a": "nbo-2", "b": "nbo-1", "c": "nbo-1", "d": "nbo-3"}
    nodes = [make_node(host, data_centre) for host, data_centre in places.items()]
    view = make_view(nodes)
    first = set()
    for seed in range(50):
        order = rank(view, seed=seed)
        assert set(order[:2]) == {"b", "c"} and order[2:] == ["d", "a"]
        first.add(order[0])
    assert first == {"b", "c"}
    assert {rank(view, "elsewhere", seed)[0] for seed in range(50)} == set("abcd")

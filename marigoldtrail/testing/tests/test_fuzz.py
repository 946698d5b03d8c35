"""Tests that sequences keep the promises, and that the oracle detects each broken promise."""

import logging
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldtrail.control import machine
from marigoldtrail.errors import RunState
from marigoldtrail.fleet import FleetView
from marigoldtrail.serving import claims, generation, pipeline
from marigoldtrail.serving.run import Run
from marigoldtrail.serving.server import Server
from marigoldtrail.serving.shared import SharedState
from marigoldtrail.slots.tracker import UpstreamTracker
from marigoldtrail.testing.fuzz import run_steps
from marigoldtrail.testing.operations import (
    MAX_PAUSE_S,
    MAX_VALUE,
    OPERATIONS,
    Step,
    build_steps,
)
from marigoldtrail.upstream import gate

SEEDS = (1, 2)
STEPS = 10
ORDER_STOCK = 12
FULL = 999


@pytest.fixture(autouse=True)
def no_logs():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("seed", SEEDS)
def test_fixed_sequences_keep_the_promises(seed):
    """Guards against a broken promise under mixed faults, and against verdicts that differ."""
    first, again = (run_steps(seed, build_steps(random.Random(seed), STEPS)) for _ in range(2))
    assert first.broken == []
    assert first.outcomes["answer"] > STEPS
    assert again == first


STEP = st.builds(
    Step,
    name=st.sampled_from(sorted(OPERATIONS)),
    a=st.integers(0, MAX_VALUE),
    b=st.integers(0, MAX_VALUE),
    c=st.integers(0, MAX_VALUE),
    pause_s=st.integers(0, 15).map(lambda part: part / 15 * MAX_PAUSE_S),
)


@settings(max_examples=6, deadline=None, derandomize=True, database=None)
@given(steps=st.lists(STEP, min_size=8, max_size=16))
def test_drawn_sequences_keep_the_promises(steps):
    """Guards against a broken promise; hypothesis reduces a failing sequence by itself."""
    assert run_steps(1, steps).broken == []


def make_orders_step(count: int, pause_s: float = 0.2, a: int = 0) -> Step:
    """Return the step that sends orders concurrently through all entries."""
    return Step("send_orders", a, 0, count - 1, pause_s)


def find_broken(seed: int, steps: list[Step]) -> set[str]:
    """Return the names of the broken promises."""
    verdict = run_steps(seed, steps, settle_s=1.0)
    return {line.split(":")[0] for line in verdict.broken}


async def do_nothing(*args, **kwargs):
    return None


def test_lost_record_breaks_p1(monkeypatch):
    """Guards against an oracle that misses an answer whose record was never committed."""
    monkeypatch.setattr(pipeline, "_commit", do_nothing)
    assert "P1" in find_broken(1, [make_orders_step(3)])


def test_slots_without_limit_break_p2(monkeypatch):
    """Guards against an oracle that misses too many calls to a cold upstream."""
    monkeypatch.setattr(UpstreamTracker, "allowed", lambda self: 1000)
    cold = [Step("turn_cold", ORDER_STOCK + index, 0, 0, 0.0) for index in range(3)]
    slow = [Step("slow_upstream", ORDER_STOCK + index, 300, FULL, 0.0) for index in range(3)]
    load = [make_orders_step(12, 0.0, index) for index in range(6)]
    wait = [Step("submit", 0, 0, 2, 4.0) for _ in range(3)]
    assert "P2" in find_broken(1, [*wait, *cold, *slow, *load])


def test_selection_that_ignores_takeouts_breaks_p3(monkeypatch):
    """Guards against an oracle that misses new work at an upstream that is out of service."""
    monkeypatch.setattr(SharedState, "is_usable", lambda self, upstream: True)
    out = Step("take_out", ORDER_STOCK, 0, 1, 7.0)
    assert "P3" in find_broken(1, [out, *(make_orders_step(12) for _ in range(3))])


def test_view_that_never_expires_breaks_p3(monkeypatch):
    """Guards against an oracle that misses an entry that serves on an outdated view."""
    monkeypatch.setattr(FleetView, "is_current", lambda self: True)
    cut = Step("isolate", 3, 3, FULL, 1.0)
    # The entry prefers upstreams of its own data centre, which is the one taken out.
    out = Step("take_out", 0, 1, 1, 7.0)
    load = [Step("send_burst", 3, 0, index, 0.1) for index in range(8)]
    assert "P3" in find_broken(1, [cut, out, *load])


def test_lost_stream_position_breaks_p4(monkeypatch):
    """Guards against an oracle that misses tokens repeated after a resume."""
    original = generation._attempt

    async def forget(state):
        state.next_token = 0
        return await original(state)

    monkeypatch.setattr(generation, "_attempt", forget)
    breaks = [Step("break_streams", index, 5, 0, 0.0) for index in range(2)]
    load = [Step("send_burst", 0, index, 11, 0.5) for index in range(3)]
    assert "P4" in find_broken(1, [*breaks, *load])


def test_false_not_run_breaks_p5(monkeypatch):
    """Guards against an oracle that misses a ``not_run`` refusal of a request that has run."""
    monkeypatch.setattr(Run, "run_state", property(lambda self: RunState.NOT_RUN))
    losses = [Step("spoil_answers", ORDER_STOCK + index, 0, 3, 0.0) for index in range(6)]
    assert "P5" in find_broken(1, [*losses, make_orders_step(12)])


def test_claim_always_granted_breaks_p6(monkeypatch):
    """Guards against an oracle that misses an order that ran twice."""
    monkeypatch.setattr(claims, "_is_granted", lambda state, reply: True)
    assert "P6" in find_broken(1, [make_orders_step(3), Step("repeat_key", 0, 1, 2, 0.5)])


def test_leaving_upstream_treated_as_warm_breaks_p7(monkeypatch):
    """Guards against an oracle that misses calls to an upstream that is leaving."""
    # Three checks refuse such a call: the selection, the gate and the report of a new connection.
    monkeypatch.setattr(SharedState, "is_usable", lambda self, upstream: True)
    monkeypatch.setattr(SharedState, "is_warm", lambda self, upstream: True)
    monkeypatch.setattr(gate, "UNAVAILABLE_STATES", ())
    monkeypatch.setattr(gate.Gate, "needs_slot", lambda *args: False)
    leave = Step("leave_upstream", ORDER_STOCK, 0, FULL, 7.0)
    assert "P7" in find_broken(1, [leave, *(make_orders_step(12) for _ in range(6))])


def test_drain_without_waiting_breaks_p8(monkeypatch):
    """Guards against an oracle that misses requests cut off by a graceful shutdown."""
    monkeypatch.setattr(Server, "wait_idle", do_nothing)
    monkeypatch.setattr(Server, "wait_for_requests", do_nothing)
    slow = [Step("slow_upstream", ORDER_STOCK + index, 300, FULL, 0.0) for index in range(3)]
    drains = [Step("drain_node", host, 0, 0, 0.0) for host in (3, 4)]
    assert "P8" in find_broken(1, [*slow, make_orders_step(12), *drains])


def test_accepting_a_lower_manifest_breaks_p9(monkeypatch):
    """Guards against an oracle that misses a manifest that reverts."""
    monkeypatch.setattr(machine, "resolve_outcome", lambda *args: None)
    submits = [Step("submit", 0, index, 2, 2.0) for index in range(2)]
    assert "P9" in find_broken(1, [*submits, Step("submit", 0, 0, 1, 2.0)])


def test_refusals_at_the_end_of_a_drain_reach_their_callers():
    """Guards against a node that exits during the key lookup of a request that it refuses."""
    steps = [make_orders_step(1, 1.0, 3)]
    for host in range(3):
        # Orders that arrive after the grace period are refused after a lookup of 0.1 s.
        repeats = [Step("repeat_key", 0, host, 0, 0.01) for _ in range(5)]
        steps += [Step("delay_links", host, 400, 0, 0.0), Step("drain_node", host, 0, 0, 6.0)]
        steps += [*repeats, make_orders_step(1, 3.0, 3)]
    assert run_steps(1, steps, settle_s=1.0).broken == []

"""Test a log group under random crashes, partitions, delays, disk faults and replacements."""

import pytest

from marigoldtrail.consensus import election, follower, group
from marigoldtrail.consensus.tests.simulation import Violation, shrink_limits, simulate


@pytest.mark.parametrize("seed", range(20))
async def test_guarantees_hold_under_random_faults(autojump_clock, monkeypatch, seed):
    """Guards against lost or changed entries, two leaders in a term, stale reads, false not_run."""
    shrink_limits(monkeypatch)
    oracle = await simulate(seed, size=3 if seed % 3 else 5)
    assert oracle.acknowledged and oracle.reads


@pytest.mark.parametrize("seed", range(1000, 1004))
async def test_reads_are_linearizable_without_quorum_check(autojump_clock, monkeypatch, seed):
    """Guards against a read barrier that is correct only because an isolated leader steps down."""
    shrink_limits(monkeypatch)
    monkeypatch.setattr(election, "CHECK_QUORUM_S", 60)
    oracle = await simulate(seed)
    assert oracle.acknowledged and oracle.reads


def contains_violation(exc):
    if isinstance(exc, BaseExceptionGroup):
        return any(contains_violation(inner) for inner in exc.exceptions)
    return isinstance(exc, Violation)


async def find_violation(seeds, **options):
    """Return the first seed whose run violates a guarantee; None if there is none."""
    for seed in seeds:
        try:
            await simulate(seed, **options)
        except BaseExceptionGroup as exc:
            if contains_violation(exc):
                return seed
    return None


async def test_simulation_detects_acknowledgement_before_sync(autojump_clock, monkeypatch):
    """Guards against a simulation that does not detect acknowledgements without fsync."""
    shrink_limits(monkeypatch)
    assert await find_violation(range(1050, 1090), lie_about_sync=True) is not None


async def test_simulation_detects_replaced_host_in_quorum(autojump_clock, monkeypatch):
    """Guards against a simulation that does not detect the vote of a host that lost its log."""
    shrink_limits(monkeypatch)
    assert await find_violation(range(1000, 1040), forge_storage_id=True) is not None


async def test_simulation_detects_vote_for_outdated_log(autojump_clock, monkeypatch):
    """Guards against a simulation that does not detect votes granted without comparing logs."""
    shrink_limits(monkeypatch)
    monkeypatch.setattr(election, "is_up_to_date", lambda state, req: True)
    assert await find_violation(range(1000, 1040)) is not None


async def test_simulation_detects_read_without_read_round(autojump_clock, monkeypatch):
    """Guards against a simulation that does not detect stale reads from an isolated leader."""
    shrink_limits(monkeypatch)
    monkeypatch.setattr(election, "CHECK_QUORUM_S", 60)
    monkeypatch.setattr(group, "get_confirmed_read_round", lambda state: state.read_round)
    assert await find_violation(range(1001, 1040)) is not None


async def test_simulation_detects_append_without_log_comparison(autojump_clock, monkeypatch):
    """Guards against a simulation that does not detect entries after a wrong predecessor."""

    def compare_length(state, req):
        return state.log.last_index if req.prev_index > state.log.last_index else None

    shrink_limits(monkeypatch)
    monkeypatch.setattr(follower, "find_mismatch", compare_length)
    assert await find_violation(range(1000, 1040)) is not None

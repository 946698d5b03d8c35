"""Rules of claims, one command at a time."""

import pytest

from marigoldtrail.records.claim import ClaimState, Location, SettledBy
from marigoldtrail.records.claims import ClaimTable
from marigoldtrail.records.tests.fakes import open_claim, settle_claim

HOLDER, SWEEPER, OPERATOR = SettledBy.ATTEMPT, SettledBy.SWEEPER, SettledBy.OPERATOR


def opened(table, *args, **fields):
    return table.open(open_claim(*args, **fields), at_ms=1).reply.state


def settled(table, state, *args, by=HOLDER, at_ms=2, **fields):
    answer = Location(1, 0) if state == "done" else None
    return table.settle(
        settle_claim(state, *args, **fields), by=by, at_ms=at_ms, answer=answer
    ).reply.state


def test_one_of_two_attempts_gets_the_claim():
    """Guards against two entries that run the same order."""
    table = ClaimTable()
    assert opened(table, "a1") == "granted"
    assert opened(table, "a2", request="00r2") == "pending"
    assert opened(table, "a1") == "granted", "a resend of the holder"


def test_settle_is_idempotent_and_done_is_final():
    """Guards against a resent or contradicting settle that changes a recorded outcome."""
    table = ClaimTable()
    opened(table)
    assert settled(table, "done") == "done"
    assert settled(table, "done") == "done"
    for by in SettledBy:
        for state in ("not_run", "may_have_run"):
            assert settled(table, state, by=by) == "done"
    assert table.open(open_claim("a2"), at_ms=3).answer == Location(1, 0)


def test_only_the_holder_settles():
    """Guards against another attempt that frees a claim whose call may run."""
    table = ClaimTable()
    opened(table)
    for state in ("done", "not_run", "may_have_run"):
        assert settled(table, state, "a2") in ("pending", "not_run")
    assert opened(table, "a3") == "pending"
    assert settled(table, "not_run", by=OPERATOR) == "pending", "the call may still run"


def test_key_with_another_digest_is_a_mismatch_while_in_use():
    """Guards against the answer of one order being given to another, in any stage."""
    table = ClaimTable()
    opened(table)
    assert opened(table, "a2", digest="other") == "mismatch"
    assert opened(table, "a2", digest="other", stage="pay") == "mismatch"
    settled(table, "not_run")
    assert opened(table, "a2", digest="other") == "granted"


def test_not_run_frees_the_key_for_a_later_attempt():
    """Guards against a key that stays blocked, or that a late copy of the first try takes."""
    table = ClaimTable()
    opened(table)
    assert settled(table, "not_run") == "not_run"
    assert opened(table, "a1") == "not_run", "a late copy of the freed attempt"
    assert opened(table, "a2", request="00r2") == "granted"
    assert settled(table, "not_run", "a1") == "not_run"
    assert opened(table, "a3") == "pending", "a late settle must not free the next attempt"


def test_settle_that_overtakes_its_open():
    """Guards against a claim granted to an entry that has given up."""
    table = ClaimTable()
    assert settled(table, "not_run") == "not_run"
    assert opened(table, "a1") == "not_run"
    assert opened(table, "a2") == "granted"
    assert settled(table, "done", "a9", key="unknown") == "mismatch"


def test_may_have_run_changes_only_with_better_knowledge():
    """Guards against a free key while a call may have run."""
    table = ClaimTable()
    opened(table)
    assert settled(table, "may_have_run") == "may_have_run"
    assert opened(table, "a2") == "may_have_run"
    assert settled(table, "not_run") == "may_have_run", "the holder contradicts itself"
    assert settled(table, "not_run", by=SWEEPER) == "may_have_run"
    assert settled(table, "not_run", "a2", by=OPERATOR) == "may_have_run", "another attempt"
    assert settled(table, "not_run", by=OPERATOR) == "not_run"
    assert opened(table, "a2") == "granted"


@pytest.mark.parametrize("first", ["may_have_run", "not_run"])
def test_holder_corrects_the_sweeper(first):
    """Guards against an answer that is lost because the sweeper was faster."""
    table = ClaimTable()
    opened(table)
    settled(table, first, by=SWEEPER)
    assert settled(table, "done") == "done"
    assert opened(table, "a2") == "done"


def test_every_upstream_of_an_attempt_is_kept():
    """Guards against a sweeper that asks only one of the upstreams that an attempt tried."""
    table = ClaimTable()
    opened(table, upstream="u1")
    opened(table, upstream="u2")
    opened(table, upstream="u1")
    [pending] = table.pending()
    assert [target.upstream for target in pending.claim.targets] == ["u1", "u2"]


def test_retention_keeps_what_is_open_and_what_is_young():
    """Guards against a key that is forgotten before its record, or kept for ever."""
    table = ClaimTable()
    for attempt, state, at_ms in (
        ("a1", "done", 2),
        ("a2", "may_have_run", 2),
        ("a3", "may_have_run", 50),
        ("a4", "not_run", 2),
    ):
        opened(table, attempt, key=attempt)
        settled(table, state, attempt, key=attempt, at_ms=at_ms)
    opened(table, "a5", key="a5")
    assert table.forget(first_segment=1, before_ms=10, at_ms=3_600_000) == 1
    assert [claim.attempt_id for claim in table.list_claims(ClaimState.MAY_HAVE_RUN)] == ["a3"]
    assert table.forget(first_segment=2, before_ms=10, at_ms=3_600_003) == 2
    assert opened(table, "new", key="a5") == "pending"
    assert opened(table, "new", key="a1") == "granted"

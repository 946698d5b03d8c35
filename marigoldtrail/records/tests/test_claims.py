"""Rules of the claim table, one command at a time."""

import pytest

from marigoldtrail.records.claim import ClaimState, Location, SettledBy
from marigoldtrail.records.claims import ClaimTable
from marigoldtrail.records.tests.fakes import open_claim, settle_claim

HOLDER, SWEEPER, OPERATOR = SettledBy.ATTEMPT, SettledBy.SWEEPER, SettledBy.OPERATOR


def apply_open(table, *args, **fields):
    return table.open(open_claim(*args, **fields), at_ms=1).reply.state


def apply_settle(table, state, *args, by=HOLDER, at_ms=2, **fields):
    answer = Location(1, 0) if state == "done" else None
    return table.settle(
        settle_claim(state, *args, **fields), by=by, at_ms=at_ms, answer=answer
    ).reply.state


def test_one_of_two_attempts_gets_the_claim():
    """Guards against two entries running the same request."""
    table = ClaimTable()
    assert apply_open(table, "a1") == "granted"
    assert apply_open(table, "a2", request="00r2") == "pending"
    assert apply_open(table, "a1") == "granted", "resend by the holder"


def test_settle_is_idempotent_and_done_is_final():
    """Guards against a repeated or conflicting SettleClaim that changes a final outcome."""
    table = ClaimTable()
    apply_open(table)
    assert apply_settle(table, "done") == "done"
    assert apply_settle(table, "done") == "done"
    for by in SettledBy:
        for state in ("not_run", "may_have_run"):
            assert apply_settle(table, state, by=by) == "done"
    assert table.open(open_claim("a2"), at_ms=3).answer == Location(1, 0)


def test_only_the_holder_settles():
    """Guards against a claim being freed by another attempt or operator while its call may run."""
    table = ClaimTable()
    apply_open(table)
    for state in ("done", "not_run", "may_have_run"):
        assert apply_settle(table, state, "a2") in ("pending", "not_run")
    assert apply_open(table, "a3") == "pending"
    assert apply_settle(table, "not_run", by=OPERATOR) == "pending", "the call may still run"


def test_key_with_another_digest_is_a_mismatch_while_in_use():
    """Guards against returning the answer of one request for another, in any stage."""
    table = ClaimTable()
    apply_open(table)
    assert apply_open(table, "a2", digest="other") == "mismatch"
    assert apply_open(table, "a2", digest="other", stage="pay") == "mismatch"
    apply_settle(table, "not_run")
    assert apply_open(table, "a2", digest="other") == "granted"


def test_not_run_frees_the_key_for_a_later_attempt():
    """Guards against a key that stays held, or is acquired by a delayed copy of a freed attempt."""
    table = ClaimTable()
    apply_open(table)
    assert apply_settle(table, "not_run") == "not_run"
    assert apply_open(table, "a1") == "not_run", "delayed copy of the freed attempt"
    assert apply_open(table, "a2", request="00r2") == "granted"
    assert apply_settle(table, "not_run", "a1") == "not_run"
    assert apply_open(table, "a3") == "pending", "a delayed settle must not free the next attempt"


def test_settle_before_its_open():
    """Guards against a grant to an attempt already settled as not run by reordered messages."""
    table = ClaimTable()
    assert apply_settle(table, "not_run") == "not_run"
    assert apply_open(table, "a1") == "not_run"
    assert apply_open(table, "a2") == "granted"
    assert apply_settle(table, "done", "a9", key="unknown") == "mismatch"


def test_may_have_run_changes_only_with_more_reliable_information():
    """Guards against a key being freed while its call may have run."""
    table = ClaimTable()
    apply_open(table)
    assert apply_settle(table, "may_have_run") == "may_have_run"
    assert apply_open(table, "a2") == "may_have_run"
    assert apply_settle(table, "not_run") == "may_have_run", "the holder contradicts itself"
    assert apply_settle(table, "not_run", by=SWEEPER) == "may_have_run"
    assert apply_settle(table, "not_run", "a2", by=OPERATOR) == "may_have_run", "another attempt"
    assert apply_settle(table, "not_run", by=OPERATOR) == "not_run"
    assert apply_open(table, "a2") == "granted"


@pytest.mark.parametrize("first", ["may_have_run", "not_run"])
def test_holder_corrects_the_sweeper(first):
    """Guards against an answer that is lost because the sweeper settled the claim first."""
    table = ClaimTable()
    apply_open(table)
    apply_settle(table, first, by=SWEEPER)
    assert apply_settle(table, "done") == "done"
    assert apply_open(table, "a2") == "done"


def test_every_upstream_of_an_attempt_is_kept():
    """Guards against the sweeper querying only one of the upstreams that an attempt tried."""
    table = ClaimTable()
    apply_open(table, upstream="u1")
    apply_open(table, upstream="u2")
    apply_open(table, upstream="u1")
    [pending] = table.pending()
    assert [target.upstream for target in pending.claim.targets] == ["u1", "u2"]


def test_retention_keeps_pending_and_recent_claims():
    """Guards against a key that is dropped before its record expires, or never dropped."""
    table = ClaimTable()
    for attempt, state, at_ms in (
        ("a1", "done", 2),
        ("a2", "may_have_run", 2),
        ("a3", "may_have_run", 50),
        ("a4", "not_run", 2),
    ):
        apply_open(table, attempt, key=attempt)
        apply_settle(table, state, attempt, key=attempt, at_ms=at_ms)
    apply_open(table, "a5", key="a5")
    assert table.drop_expired(first_segment=1, before_ms=10, at_ms=3_600_000) == 1
    assert [claim.attempt_id for claim in table.list_claims(ClaimState.MAY_HAVE_RUN)] == ["a3"]
    assert table.drop_expired(first_segment=2, before_ms=10, at_ms=3_600_003) == 2
    assert apply_open(table, "new", key="a5") == "pending"
    assert apply_open(table, "new", key="a1") == "granted"

"""Tests of the oracle on handwritten histories."""

import dataclasses

from marigoldtrail.testing.oracle import Call, History, Request, Submission, check

ORDER = Request(
    request_id="r1",
    entry="h1",
    entry_data_centre="nbo-1",
    pipeline="place_order",
    account="a",
    key="k",
    body="b",
    sent_at=1.0,
    deadline_s=4.0,
    ended_at=2.0,
    outcome="refusal",
    run_state="may_have_run",
)
COPY = dataclasses.replace(ORDER, request_id="r2", sent_at=3.0, ended_at=3.5, run_state="not_run")
CALL = Call(
    upstream="ledger-1",
    pool="ledger",
    data_centre="nbo-1",
    stage="deposit",
    account="a",
    key="k",
    request_id="r1",
    at=1.5,
    has_effect=True,
)


def find_broken(history: History) -> list[str]:
    return [line.split(":")[0] for line in check(history)]


def test_not_run_refusal_of_a_copy_of_an_order_that_ran_is_reported():
    """Guards against a refusal after which the caller places an order again under a new key."""
    assert find_broken(History(requests=[ORDER, COPY], calls=[CALL])) == ["P5"]


def test_run_of_another_pipeline_with_the_key_is_ignored():
    """Guards against a false report when one caller uses a key for a question and an order."""
    question = dataclasses.replace(COPY, pipeline="stock_question")
    assert find_broken(History(requests=[ORDER, question], calls=[CALL])) == []


def test_second_run_under_a_key_is_reported():
    """Guards against an oracle that counts runs by request instead of by key."""
    again = dataclasses.replace(CALL, request_id="r2", upstream="ledger-2")
    assert find_broken(History(requests=[ORDER], calls=[CALL, again])) == ["P6"]


def test_takeout_applies_from_its_reply_until_it_is_reverted():
    """Guards against a report of work before the bound, and against a missing one after it."""
    out = Submission("data_centre", "nbo-1", "out", 1, "out", 0.0, 1.0, "accepted")
    back = Submission("data_centre", "nbo-1", "in", 2, "in", 9.0, 9.5, "accepted")
    late = [dataclasses.replace(CALL, at=at, has_effect=False) for at in (6.9, 7.1, 9.2)]
    assert find_broken(History(calls=late, submissions=[out, back])) == ["P3"]

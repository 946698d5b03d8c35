"""Record service: handlers, sweeper, retention and host failures."""

import pytest
import trio

from marigoldtrail.consensus import applying
from marigoldtrail.errors import Reason, RunState, is_failure
from marigoldtrail.records import Outcome, claims
from marigoldtrail.records.maintenance import DAY_MS
from marigoldtrail.records.service import MAX_PAYLOAD_BYTES
from marigoldtrail.records.tests.cluster import RecordCluster
from marigoldtrail.records.tests.fakes import (
    GROUP,
    FakeLog,
    Upstreams,
    corrupt,
    failure,
    make_disk,
    make_machine,
    make_record,
    make_service,
    open_claim,
    settle_claim,
)
from marigoldtrail.schema.generated.records import (
    FindRecords,
    FindRecordsReply,
    ListClaims,
    PutRecord,
    PutRecordReply,
)

FINAL = {"outcome_path": "/outcome", "outcome_final": True}
QUERYABLE = {"outcome_path": "/outcome"}
DONE = Outcome("done", {"seat": 4})
NOT_FOUND = Outcome("not_found")
UNREACHABLE = failure(Reason.UNREACHABLE, RunState.NOT_RUN)


def make_host(nursery, **options):
    machine = make_machine(make_disk())
    log = FakeLog(machine)
    service = make_service(machine, log, **options)
    nursery.start_soon(service.run)
    return machine, log, service


async def test_concurrent_attempts_race_for_one_key(autojump_clock, nursery):
    """Guards against two grants for concurrent attempts, and against a lost recorded answer."""
    cluster = await RecordCluster(nursery).form()
    replies = []

    async def race(attempt):
        replies.append(await cluster.call(open_claim(attempt)))

    async with trio.open_nursery() as entries:
        for number in range(6):
            entries.start_soon(race, f"a{number}")
    assert sorted(reply.state for reply in replies) == ["granted"] + ["pending"] * 5
    winner = replies[0].attempt_id
    await cluster.call(settle_claim("done", winner, answer=b'{"seat": 4}'))
    again = await cluster.call(open_claim("late"))
    assert (again.state, again.answer) == ("done", b'{"seat": 4}')


async def test_only_the_leader_answers(autojump_clock, nursery):
    """Guards against a follower or former leader that answers from stale state."""
    cluster = await RecordCluster(nursery).form()
    leader = await cluster.leader()
    other = next(host for host in cluster.HOSTS if host != leader)
    for request in (open_claim(), ListClaims(group=GROUP, state="done"), FindRecords(group=GROUP)):
        address = cluster.addresses[other]
        reply = await cluster.peers.call(address, request, FindRecordsReply, timeout_s=1)
        assert is_failure(reply) and reply.reason is Reason.NOT_LEADER
        assert (reply.hint, reply.run_state) == (leader, RunState.NOT_RUN)


async def test_claim_is_settled_after_entry_and_leader_fail(autojump_clock, nursery):
    """Guards against a claim that stays pending when both its entry and the leader fail."""
    cluster = await RecordCluster(nursery).form()
    cluster.upstreams.outcomes["u1"] = DONE
    await cluster.call(open_claim(**QUERYABLE))
    await cluster.kill(await cluster.leader())
    await trio.sleep(25)
    assert (await cluster.call(open_claim("a2"))).state == "pending", "before deadline plus 15 s"
    await trio.sleep(10)
    reply = await cluster.call(open_claim("a2"))
    assert (reply.state, reply.answer) == ("done", b'{"seat":4}')


async def test_replaced_host_fetches_the_segments(autojump_clock, nursery, monkeypatch):
    """Guards against a replaced host that has the snapshot but not the segments listed in it."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 20)
    cluster = await RecordCluster(nursery).form()
    for number in range(60):
        await cluster.call(PutRecord(record=make_record(number)), PutRecordReply)
    await trio.sleep(1)
    lost = await cluster.leader()
    await cluster.kill(lost)
    await cluster.replace(lost)
    await trio.sleep(10)
    machine = cluster.machines[lost]
    assert machine.is_complete() and machine.store.list_numbers()[-1] > 3
    for host in cluster.HOSTS:
        assert cluster.machines[host].store.list_numbers() == machine.store.list_numbers()
    reply = await cluster.call(FindRecords(group=GROUP, request_id="00000003"), FindRecordsReply)
    assert reply.records == [make_record(3)]


@pytest.mark.parametrize(
    ("targets", "expected"),
    [
        ([("u1", QUERYABLE, DONE)], "done"),
        ([("u1", FINAL, NOT_FOUND)], "not_run"),
        ([("u1", QUERYABLE, NOT_FOUND)], "may_have_run"),
        ([("u1", FINAL, UNREACHABLE)], "may_have_run"),
        ([("u1", {}, DONE)], "may_have_run"),
        ([("", {}, UNREACHABLE)], "not_run"),
        ([("", {}, UNREACHABLE), ("u1", QUERYABLE, UNREACHABLE)], "may_have_run"),
        ([("u1", FINAL, NOT_FOUND), ("u2", FINAL, NOT_FOUND)], "not_run"),
        ([("u1", FINAL, NOT_FOUND), ("u2", FINAL, UNREACHABLE)], "may_have_run"),
        ([("u1", FINAL, UNREACHABLE), ("u2", QUERYABLE, DONE)], "done"),
    ],
)
async def test_sweeper_outcomes(autojump_clock, nursery, targets, expected):
    """Guards against settling with an inconclusive outcome, or ignoring a conclusive one."""
    upstreams = Upstreams()
    machine, _, service = make_host(nursery, upstreams=upstreams)
    for name, fields, outcome in targets:
        upstreams.outcomes[name] = outcome
        await service.open_claim(open_claim(upstream=name, **fields), "e1")
    await trio.sleep(25)
    assert machine.claims.pending() and not upstreams.queries, "the call may still run"
    await trio.sleep(5)
    reply = await service.settle_claim(settle_claim("may_have_run", "a1"), "e1")
    assert reply.state == expected
    assert all(attempt == "a1" for _, _, attempt in upstreams.queries)


async def test_lost_answer_is_fetched_from_the_upstream(autojump_clock, nursery):
    """Guards against a claim left to an operator although its upstream reports the outcome."""
    upstreams = Upstreams()
    upstreams.outcomes["u1"] = Outcome(state="not_found")
    machine, _, service = make_host(nursery, upstreams=upstreams)
    await service.open_claim(open_claim(upstream="u1", outcome_path="/outcome"), "e1")
    await service.settle_claim(settle_claim("may_have_run", "a1"), "e1")
    await trio.sleep(60)
    assert 1 < len(upstreams.queries) < 10, "queried again with increasing delays"
    assert len(machine.claims.find_queryable()) == 1, "not found does not rule out a later run"
    upstreams.outcomes["u1"] = Outcome(state="done", output={"receipt": 7})
    await trio.sleep(60)
    assert not machine.claims.find_queryable()
    reply = await service.open_claim(open_claim("a2"), "e2")
    assert (reply.state, reply.answer) == ("done", b'{"receipt":7}')


async def test_sweeper_restarts_deadline_on_new_leader_and_ignores_wall_clock(
    autojump_clock, nursery
):
    """Guards against a claim settled before its deadline because of a clock jump or new leader."""
    wall = [0.0]
    machine, log, service = make_host(nursery, wall_clock=lambda: wall[0])
    await service.open_claim(open_claim(), "e1")
    wall[0] = 1e9
    log.is_leader = False
    await trio.sleep(40)
    log.is_leader = True
    await trio.sleep(25)
    assert machine.claims.pending()
    await trio.sleep(5)
    assert not machine.claims.pending()


async def test_failed_commit_is_returned(autojump_clock, nursery):
    """Guards against reporting a grant or a durable record without a commit."""
    _, log, service = make_host(nursery)
    log.failure = failure(Reason.UNKNOWN_OUTCOME, RunState.MAY_HAVE_RUN)
    for reply in (
        await service.open_claim(open_claim(), "e1"),
        await service.put_record(PutRecord(record=make_record(1)), "e1"),
    ):
        assert is_failure(reply) and reply.run_state is RunState.MAY_HAVE_RUN
    assert (await service.find_records(FindRecords(group="other"), "e1")).reason is (
        Reason.NOT_LEADER
    )
    big = make_record(1, output=bytes(MAX_PAYLOAD_BYTES))
    reply = await service.put_record(PutRecord(record=big), "e1")
    assert is_failure(reply) and reply.reason is Reason.BAD_REQUEST


async def test_unreadable_answer_is_reported_as_corrupt(autojump_clock, nursery):
    """Guards against an empty answer or a second run when the recorded answer is corrupt."""
    machine, _, service = make_host(nursery)
    await service.open_claim(open_claim(), "e1")
    await service.settle_claim(settle_claim("done", answer=b'{"seat": 4}'), "e1")
    await trio.sleep(1)
    corrupt(machine.store._disk, 1, 20)
    reply = await service.open_claim(open_claim("a2"), "e1")
    assert is_failure(reply) and reply.reason is Reason.CORRUPT
    assert reply.run_state is RunState.MAY_HAVE_RUN


async def test_archived_claims_return_the_same_replies(autojump_clock, nursery, monkeypatch):
    """Guards against a second run or a lost answer after a done claim is archived."""
    monkeypatch.setattr(claims, "MAX_RECENT_DONE", 0)
    machine, log, service = make_host(nursery)
    await service.open_claim(open_claim(), "e1")
    settled = settle_claim("done", answer=b'{"seat": 4}')
    for _ in range(2):
        reply = await service.settle_claim(settled, "e1")
        assert reply.state == "done"
    assert (len(machine.claims.archive), machine.claims.dump().accounts) == (1, {})
    log.machine = make_machine(machine.store._disk)
    await machine.store.flush()
    log.machine.restore(machine.snapshot())
    service = make_service(log.machine, log)
    again = await service.open_claim(open_claim("a2"), "e1")
    assert (again.state, again.attempt_id, again.answer) == ("done", "a1", b'{"seat": 4}')
    other = await service.open_claim(open_claim("a2", digest="other", stage="pay"), "e1")
    assert other.state == "mismatch"
    assert (await service.open_claim(open_claim("a2", stage="pay"), "e1")).state == "granted"
    assert (await service.open_claim(open_claim("a3", stage="pay"), "e1")).state == "pending"
    late = await service.settle_claim(settle_claim("not_run", "a9"), "e1")
    assert (late.state, late.attempt_id) == ("done", "a1")


async def test_retention_survives_a_clock_set_years_ahead(autojump_clock, nursery):
    """Guards against dropping years of records at once because of a wrong wall clock."""
    wall = [10_000.0]
    machine, _, service = make_host(nursery, wall_clock=lambda: wall[0], retention_days=1)
    for number in range(30):
        wall[0] += 7200
        await service.put_record(PutRecord(record=make_record(number)), "e1")
    oldest = machine.store.list_numbers()[0]
    wall[0] += 3650 * DAY_MS / 1000
    await trio.sleep(3601)
    assert machine.store.list_numbers()[0] <= oldest + 1
    await trio.sleep(3600 * 8)
    assert (
        machine.store.list_numbers()[0] > oldest + 1
    ), "retention advances by a bounded step per round"

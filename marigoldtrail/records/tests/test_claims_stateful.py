"""Stateful test of claims under lost, repeated and reordered messages."""

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from marigoldtrail.records import claims
from marigoldtrail.records.claim import ArchivedClaims, ClaimState, SettledBy
from marigoldtrail.records.entries import decode_entry
from marigoldtrail.records.machine import (
    OpenCommand,
    SettleCommand,
    StoredAnswer,
    encode_command,
)
from marigoldtrail.records.service import compare_archived
from marigoldtrail.records.tests.fakes import make_disk, make_machine, open_claim, settle_claim
from marigoldtrail.schema.generated.records import SettleClaim

FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
KEYS = ("k1", "k2")


class Attempt:
    """Attempt of an entry: opens a claim, calls the upstream at most once, then settles."""

    def __init__(self, name, key, digest):
        self.name = name
        self.key = key
        self.digest = digest
        self.state = "opening"
        self.ran = False


class ClaimMachine(RuleBasedStateMachine):
    """
    The oracle is the list of attempts that the upstream really ran, for each key.

    Messages stay in the network after they were delivered, so that each can arrive again later.
    """

    def __init__(self):
        super().__init__()
        self.machine = make_machine(make_disk())
        self.index = 0
        self.network = []
        self.attempts = {}
        self.runs = {key: [] for key in KEYS}
        self.answers = {}

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command))

    @rule(key=st.sampled_from(KEYS), digest=st.sampled_from(["d1", "d1", "d2"]))
    def start_attempt(self, key, digest):
        attempt = Attempt(f"a{len(self.attempts)}", key, digest)
        self.attempts[attempt.name] = attempt
        self.network.append(open_claim(attempt.name, key=key, digest=digest))

    @precondition(lambda self: self.network)
    @rule()
    def deliver_all(self):
        for age in reversed(range(min(len(self.network), 4))):
            self.deliver(age, False)

    @precondition(lambda self: self.network)
    @rule(age=st.integers(0, 6), reply_lost=st.sampled_from([False, False, True]))
    def deliver(self, age, reply_lost):
        message = self.network[max(-1 - age, -len(self.network))]
        attempt = self.attempts[message.attempt_id]
        if isinstance(message, SettleClaim):
            result = self.apply(SettleCommand(message, SettledBy.ATTEMPT, self.index))
            if message.state == "done" and not isinstance(result, ArchivedClaims):
                assert result.reply.state == "done", "an answer of the holder is recorded"
            return
        reply = self.open(message)
        if reply.state == "done":
            self.check_answer(attempt, reply)
        elif attempt.key in self.answers:
            assert reply.state in ("mismatch", "not_run"), "done is final"
        if attempt.state == "opening" and not reply_lost:
            attempt.state = "granted" if reply.state == "granted" else "refused"

    def open(self, req, checked=0):
        """Apply an OpenClaim and read stored answers as the service does."""
        result = self.apply(OpenCommand(req, self.index, checked))
        if isinstance(result, ArchivedClaims):
            stored = [self.read(location) for location in result.locations]
            replies = [compare_archived(answer, req) for answer in stored]
            return next(filter(None, replies), None) or self.open(req, len(replies))
        if result.answer is not None:
            result.reply.answer = self.read(result.answer).answer
        return result.reply

    def read(self, location):
        segment = self.machine.store._segments[location.segment]
        entry = decode_entry(segment.tail, location.offset - segment.flushed, segment.flushed)
        return msgspec.msgpack.decode(entry.payload, type=StoredAnswer)

    def check_answer(self, attempt, reply):
        """The answer is that of a run for the same digest, and never another one."""
        ran = reply.answer.decode()
        assert ran in self.runs[attempt.key]
        assert self.attempts[ran].digest == attempt.digest
        assert self.answers.setdefault(attempt.key, ran) == ran

    def pick(self, data, *states):
        names = sorted(name for name, item in self.attempts.items() if item.state in states)
        return self.attempts[data.draw(st.sampled_from(names))] if names else None

    @rule(data=st.data(), seen=st.booleans())
    def call_upstream(self, data, seen):
        attempt = self.pick(data, "granted")
        if attempt is not None:
            attempt.ran = True
            attempt.state = "ended"
            self.runs[attempt.key].append(attempt.name)
            state = "done" if seen else "may_have_run"
            self.settle(attempt, state, answer=attempt.name.encode() if seen else b"")

    @rule(data=st.data(), dies=st.booleans())
    def end_without_call(self, data, dies):
        attempt = self.pick(data, "opening", "granted", "refused")
        if attempt is not None:
            attempt.state = "ended"
            if not dies:
                self.settle(attempt, "not_run")

    def settle(self, attempt, state, answer=b""):
        self.network.append(settle_claim(state, attempt.name, key=attempt.key, answer=answer))

    @rule(final=st.booleans())
    def sweep(self, final):
        """Settle every pending claim whose attempt is over, by the upstream's word."""
        for key, claim in [(item.idempotency_key, item.claim) for item in self.pending()]:
            attempt = self.attempts[claim.attempt_id]
            if attempt.state in ("ended", "refused"):
                state = "done" if attempt.ran else "not_run" if final else "may_have_run"
                answer = attempt.name.encode() if attempt.ran else b""
                req = settle_claim(state, attempt.name, key=key, answer=answer)
                self.apply(SettleCommand(req, SettledBy.SWEEPER, self.index))

    def pending(self):
        return self.machine.claims.pending()

    @rule()
    def operator_frees(self):
        for status in self.machine.claims.list_claims(ClaimState.MAY_HAVE_RUN):
            attempt = self.attempts[status.attempt_id]
            if not attempt.ran and attempt.state == "ended":
                req = settle_claim("not_run", attempt.name, key=attempt.key)
                self.apply(SettleCommand(req, SettledBy.OPERATOR, self.index))

    @rule()
    def restore_from_snapshot(self):
        data = self.machine.snapshot()
        self.machine = make_machine(make_disk())
        self.machine.restore(data)
        assert self.machine.snapshot() == data

    @invariant()
    def each_key_runs_at_most_once(self):
        for key, runs in self.runs.items():
            assert len(runs) <= 1, (key, runs)


@pytest.mark.parametrize("recent", [8192, 1, 0])
def test_each_key_runs_at_most_once(monkeypatch, recent):
    """Guards against a second run after lost, repeated or reordered messages, or a restore."""
    monkeypatch.setattr(claims, "MAX_RECENT_DONE", recent)
    run_machine(ClaimMachine, settings=FIXED)


def allow_every_settlement(monkeypatch):
    monkeypatch.setattr(claims, "_may_settle", lambda claim, state, by: True)


def ignore_digests(monkeypatch):
    monkeypatch.setattr(claims.KeyClaims, "is_free", lambda self: True)


def forget_archived_claims(monkeypatch):
    monkeypatch.setattr(claims, "MAX_RECENT_DONE", 0)
    monkeypatch.setattr(claims.Archive, "find", lambda self, account, key: [])


@pytest.mark.parametrize("fault", [allow_every_settlement, ignore_digests, forget_archived_claims])
def test_state_machine_detects_injected_fault(monkeypatch, fault):
    """Guards against a stateful test that does not detect a fault in the claim rules."""
    fault(monkeypatch)
    found = settings(FIXED, phases=[Phase.generate], print_blob=False)
    with pytest.raises(AssertionError):
        run_machine(ClaimMachine, settings=found)
